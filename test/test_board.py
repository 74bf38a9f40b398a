"""Tests of what daemons know of the levels of whole services."""

import unittest

from whinwinch import board, messages


def combine(told):
    """Return what levels of as many endpoints make together."""
    cuts = [board.cut_level(level) for level in told]
    return board.combine_cuts([sum(cut) for cut in zip(*cuts, strict=True)], len(told))


class BoardTest(unittest.TestCase):
    def setUp(self):
        self.board = board.Board()
        self.endpoints = [messages.Endpoint(name, name, "s") for name in ("h:1", "h:2")]

    def level(self, now):
        return self.board.level("c", self.endpoints, now)

    def test_endpoints_admit_their_parts(self):
        """One of two endpoints is full, and the other has room.

        With a plain mean of the levels all requests of the importance that is cut
        would be let in, and half of them fail at the full one.
        """
        self.board.tell("h:1", (("c", 2.0), ("d", 3.0)), 1.0)
        self.assertEqual(self.level(1.1), 1.5)
        self.board.tell("h:2", (("c", 1.0),), 1.1)
        self.assertEqual(self.level(1.2), 1.5)
        self.board.tell("h:2", (("c", 1.4),), 1.2)
        self.assertAlmostEqual(self.level(1.3), 1.7)

    def test_highest_importance_that_is_cut_decides(self):
        self.assertAlmostEqual(combine((1.9, 2.6)), 2.3)
        self.assertEqual(combine((0.0, 0.0)), 0.0)
        self.assertEqual(combine(()), 0.0)

    def test_level_that_is_no_longer_told_is_forgotten(self):
        """A daemon that told a high level is gone.

        Believed for ever, it would keep callers out though there is room.
        """
        self.board.tell("h:1", (("c", 4.0),), 1.0)
        self.assertEqual(self.level(1.0 + board.TOLD_SECONDS), 0.0)

    def test_no_endpoint_refuses_nothing(self):
        self.assertEqual(self.board.level("c", (), 1.0), 0.0)

    def test_relays_add_up_what_their_daemons_tell(self):
        """Endpoints of one service stand in two zones, each with a relay.

        Told only what its own zone says, a daemon would let in what the others have
        no room for.
        """
        far, near, daemon = board.Board(), board.Board(), board.Board()
        far.tell("h:1", (("c", 2.0),), 1.0)
        near.tell("h:2", (("c", 1.4),), 1.0)
        near.tell_sum("far", far.add_up(1.1), 1.1)
        daemon.tell_total(near.add_up_all(1.2), 1.2)
        self.assertAlmostEqual(daemon.level("c", self.endpoints, 1.3), 1.7)

    def test_relay_passes_on_its_own_part_only(self):
        """Two relays tell each other.

        Were a sum sent back with what came from its receiver, levels would add up
        without end, and callers be refused for nothing.
        """
        self.board.tell("h:1", (("c", 1.0),), 1.0)
        self.board.tell_sum("far", (board.RouteCut("c", (5000, 0, 0, 0)),), 1.0)
        cuts = (board.RouteCut("c", (1000, 0, 0, 0)),)
        self.assertEqual(self.board.add_up(1.1), cuts)

    def test_relay_that_falls_silent_is_forgotten(self):
        """The relay of another zone loses power while its services are full.

        Its sum believed for ever, callers would be kept from endpoints that are idle.
        """
        self.board.tell_sum("far", (board.RouteCut("c", (2000, 0, 0, 0)),), 1.0)
        self.assertNotEqual(self.board.add_up_all(1.1), ())
        self.assertEqual(self.board.add_up_all(1.0 + board.TOLD_SECONDS), ())

    def test_own_levels_count_while_no_relay_tells(self):
        self.board.tell_total((board.RouteCut("c", (0, 0, 0, 0)),), 1.0)
        self.board.tell("h:1", (("c", 1.0),), 2.0)
        self.board.tell("h:2", (("c", 1.0),), 2.0)
        self.assertEqual(self.level(2.1), 1.0)
