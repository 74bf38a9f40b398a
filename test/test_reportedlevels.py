"""Tests of the reported admission levels of routes."""

import unittest

from whinwinch import messages, reportedlevels


def combine(levels):
    """Return the combined level of endpoints with one level each."""
    shed_shares = [reportedlevels.compute_shed_shares(level) for level in levels]
    return reportedlevels.combine_shed_shares(
        [sum(shares) for shares in zip(*shed_shares, strict=True)], len(levels)
    )


class BoardTest(unittest.TestCase):
    def setUp(self):
        self.reported_levels = reportedlevels.ReportedLevels()
        self.endpoints = [messages.Endpoint(name, name, "s") for name in ("h:1", "h:2")]

    def level(self, now):
        return self.reported_levels.level("c", self.endpoints, now)

    def test_combined_level_admits_what_the_endpoints_admit(self):
        """One of two endpoints is full, and the other has capacity.

        The plain mean of the levels would admit all requests of the importance that
        is shed, and half of them would fail at the full endpoint.
        """
        self.reported_levels.record_levels("h:1", (("c", 2.0), ("d", 3.0)), 1.0)
        self.assertEqual(self.level(1.1), 1.5)
        self.reported_levels.record_levels("h:2", (("c", 1.0),), 1.1)
        self.assertEqual(self.level(1.2), 1.5)
        self.reported_levels.record_levels("h:2", (("c", 1.4),), 1.2)
        self.assertAlmostEqual(self.level(1.3), 1.7)

    def test_highest_importance_that_is_shed_decides(self):
        self.assertAlmostEqual(combine((1.9, 2.6)), 2.3)
        self.assertEqual(combine((0.0, 0.0)), 0.0)
        self.assertEqual(combine(()), 0.0)

    def test_limited_endpoint_counts_by_the_slots_that_it_leaves_in_use(self):
        """Guards against the level of a few slots deciding for all."""
        self.reported_levels.record_levels("h:1", (("c", 1.0),), 1.0, 0.02)
        self.reported_levels.record_levels("h:2", (("c", 0.5),), 1.0)
        self.assertAlmostEqual(self.level(1.1), 0.52 / 1.02, 3)
        self.reported_levels.record_levels("h:2", (("c", 0.5),), 1.0, 0.02)
        self.assertAlmostEqual(self.level(1.1), 0.75)

    def test_limited_endpoint_refuses_nothing_that_others_have_room_for(self):
        """Guards against refusing requests for the limit that one endpoint names."""
        self.reported_levels.record_levels("h:1", (("c", 2.0),), 1.0, 0.02)
        self.assertEqual(self.level(1.1), 0.0)

    def test_level_that_is_no_longer_told_is_forgotten(self):
        """A daemon that reported a high level has stopped.

        If its level counted for ever, callers would be refused despite free capacity.
        """
        self.reported_levels.record_levels("h:1", (("c", 4.0),), 1.0)
        self.assertEqual(self.level(1.0 + reportedlevels.MAX_REPORT_AGE_SECONDS), 0.0)

    def test_service_without_endpoints_has_level_zero(self):
        self.assertEqual(self.reported_levels.level("c", (), 1.0), 0.0)

    def test_relays_add_up_the_levels_of_their_daemons(self):
        """Endpoints of one service are in two zones, each with a relay.

        If a daemon got only the levels of its own zone, it would admit requests that
        the other zone has no capacity for.
        """
        remote_relay, local_relay, daemon = (
            reportedlevels.ReportedLevels(),
            reportedlevels.ReportedLevels(),
            reportedlevels.ReportedLevels(),
        )
        remote_relay.record_levels("h:1", (("c", 2.0),), 1.0)
        local_relay.record_levels("h:2", (("c", 1.4),), 1.0)
        local_relay.record_relay_sum("far", remote_relay.sum_daemons(1.1), 1.1)
        daemon.record_total(local_relay.sum_all(1.2), 1.2)
        self.assertAlmostEqual(daemon.level("c", self.endpoints, 1.3), 1.7)

    def test_relay_sends_only_the_sum_of_its_own_daemons(self):
        """Two relays report to each other.

        If a relay's sum included what it received from the other, levels would add up
        without end, and callers would be refused without need.
        """
        self.reported_levels.record_levels("h:1", (("c", 1.0),), 1.0)
        self.reported_levels.record_relay_sum(
            "far",
            (
                reportedlevels.RouteShedding(
                    "c", (5000, *reportedlevels.NO_SHED_SHARES[1:])
                ),
            ),
            1.0,
        )
        shed_shares = (
            reportedlevels.RouteShedding(
                "c", (1000, *reportedlevels.NO_SHED_SHARES[1:])
            ),
        )
        self.assertEqual(self.reported_levels.sum_daemons(1.1), shed_shares)

    def test_sum_of_a_stopped_relay_expires(self):
        """The relay of another zone loses power while its services are full.

        If its sum counted for ever, callers would be kept from idle endpoints.
        """
        self.reported_levels.record_relay_sum(
            "far",
            (
                reportedlevels.RouteShedding(
                    "c", (2000, *reportedlevels.NO_SHED_SHARES[1:])
                ),
            ),
            1.0,
        )
        self.assertNotEqual(self.reported_levels.sum_all(1.1), ())
        self.assertEqual(
            self.reported_levels.sum_all(1.0 + reportedlevels.MAX_REPORT_AGE_SECONDS),
            (),
        )

    def test_levels_of_daemons_count_while_no_relay_reports(self):
        self.reported_levels.record_total(
            (
                reportedlevels.RouteShedding(
                    "c", (0, *reportedlevels.NO_SHED_SHARES[1:])
                ),
            ),
            1.0,
        )
        self.reported_levels.record_levels("h:1", (("c", 1.0),), 2.0)
        self.reported_levels.record_levels("h:2", (("c", 1.0),), 2.0)
        self.assertEqual(self.level(2.1), 1.0)
