"""Tests of the fleet's state, read from the metrics pages of its daemons."""

import collections
import unittest

from whinwinch import fleet
from whinwinch.gauges import build_labels
from whinwinch.metrics import Gauge, Metrics

FULL = fleet.Refused("gatekeeper", "queue", "queue-full")
LEVEL = fleet.Refused("entry", "browse", "admission-level")


def build_state(address, **fields):
    """Return the state of one daemon of a service with eight slots."""
    default = fleet.DaemonState(address, "front", "a", False, 3, 8, 8)
    return default._replace(**fields)


def aggregate(before, after, seconds=2.0, more=()):
    """Return the fleet of states read twice, and of unreachable addresses."""
    addresses = [page.address for page in after] + list(more)
    return fleet.aggregate(
        addresses,
        {page.address: page for page in before},
        {page.address: page for page in after},
        seconds,
    )


class PageTest(unittest.TestCase):
    def test_page_of_a_daemon_is_read(self):
        labels = build_labels(service="front", zone="a", state="leaving")
        gauges = [
            Gauge("backend", 1, labels),
            Gauge("configuration_version", 7),
            Gauge("slots", 8),
            Gauge("waiting", 2),
            Gauge("level", 1.5, build_labels(route="browse")),
            Gauge("level", 0.5, build_labels(route="pay")),
            Gauge("refusals_total", 9, build_labels(**FULL._asdict())),
            Gauge("set_aside", 1, build_labels(endpoint="h:1")),
        ]
        text = Metrics(lambda: gauges).render_metrics()
        page = fleet.parse_state("m:1", text)
        self.assertEqual((page.service, page.zone), ("front", "a"))
        self.assertTrue(page.leaving)
        self.assertEqual((page.version, page.slots, page.waiting), (7, 8, 2))
        self.assertEqual(page.level, 1.5)
        self.assertEqual(page.refused, {FULL: 9})
        self.assertEqual(page.set_aside, ("h:1",))


class FleetTest(unittest.TestCase):
    def test_services_are_sorted_by_refusals(self):
        before = [build_state("m:1"), build_state("m:2", service="deep")]
        refused = collections.Counter({FULL: 10})
        after = [
            build_state("m:1"),
            build_state("m:2", service="deep", refused=refused),
        ]
        found = aggregate(before, after)
        self.assertEqual([s.name for s in found.services], ["deep", "front"])
        self.assertEqual(found.services[0].refused, {FULL: 5.0})

    def test_rates_of_a_daemon_that_has_restarted_count_from_its_start(self):
        before = [build_state("m:1", ended=500)]
        found = aggregate(before, [build_state("m:1", ended=6)])
        self.assertEqual(found.services[0].ended, 3.0)

    def test_daemon_with_an_older_version_is_named(self):
        pages = [build_state("m:1"), build_state("m:2", version=2)]
        lines = fleet.render_fleet(aggregate(pages, pages))
        self.assertIn("version 2 in force at 1: m:2", lines)
        self.assertIn("version 3 in force at 1", lines)

    def test_daemon_without_a_page_is_named(self):
        pages = [build_state("m:1")]
        found = aggregate(pages, pages, more=("m:9",))
        self.assertIn("no page from 1: m:9", fleet.render_fleet(found))

    def test_endpoint_that_many_have_set_aside_is_named(self):
        pages = [build_state(f"m:{n}", set_aside=("h:1",)) for n in range(3)]
        lines = fleet.render_fleet(aggregate(pages, pages))
        self.assertIn("set aside by 3: h:1", lines)

    def test_reasons_are_added_up_over_routes(self):
        refused = collections.Counter({LEVEL: 4, LEVEL._replace(route="pay"): 4})
        found = aggregate([build_state("m:1")], [build_state("m:1", refused=refused)])
        self.assertIn("4.0 admission-level at entry", fleet.render_fleet(found)[1])
