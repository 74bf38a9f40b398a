"""Tests of the selection of the daemons that read the log for the others."""

import unittest

from whinwinch.logservice import sources
from whinwinch.messages import Endpoint


def build_mesh(zones, size):
    return tuple(
        Endpoint(f"10.0.{zone}.{n}:1", f"10.0.{zone}.{n}:1", "s", f"z{zone}", "r", 4)
        for zone in range(zones)
        for n in range(size)
    )


def choose(mesh, dead=()):
    """Return the `Sources` of each live daemon by address, with some daemons dead."""
    return {
        each.address: sources.Ranks(each.address, each.zone, mesh).choose(
            lambda address: address not in dead
        )
        for each in mesh
        if each.address not in dead
    }


class SourcesTest(unittest.TestCase):
    def test_one_reader_in_each_group_of_a_zone(self):
        for size, groups in ((1, 1), (4, 1), (30, 1), (64, 1), (100, 2), (400, 8)):
            chosen = choose(build_mesh(3, size))
            readers = [address for address, each in chosen.items() if each.is_reader]
            self.assertEqual(len(readers), 3 * groups, size)
            for address in readers:
                self.assertEqual(
                    {address, *chosen[address].other_readers}, set(readers)
                )
            for address, each in chosen.items():
                reachable_readers = {address, *each.peer_addresses} & set(readers)
                self.assertGreaterEqual(len(reachable_readers), 2)

    def test_single_zone_has_two_readers(self):
        chosen = choose(build_mesh(1, 9))
        self.assertEqual(sum(each.is_reader for each in chosen.values()), 2)

    def test_one_relay_in_each_group(self):
        """Guards against two relays of admission levels in one group.

        A single zone has two readers, so that one may fail. If both relayed levels,
        the zone would alternately receive those of all daemons and those of one
        daemon only, and callers would alternately be admitted and refused.
        """
        for zones, size in ((1, 9), (3, 5), (1, 1)):
            chosen = choose(build_mesh(zones, size))
            relays = [address for address, each in chosen.items() if each.is_relay]
            self.assertEqual(len(relays), zones)
            self.assertEqual({each.reader for each in chosen.values()}, set(relays))

    def test_daemon_alone_reads(self):
        self.assertTrue(choose(build_mesh(1, 1))["10.0.0.0:1"].is_reader)

    def test_reader_that_dies_is_replaced(self):
        """Guards against a zone without a reader after its reader loses power.

        The next daemon in rank detects locally that the reader is unreachable and
        replaces it.
        """
        mesh = build_mesh(3, 5)
        first = [a for a, each in choose(mesh).items() if each.is_reader]
        after = choose(mesh, dead=first)
        readers = [address for address, each in after.items() if each.is_reader]
        self.assertEqual(len(readers), 3)
        # The unreachable reader is retried, and reads again once it is back.
        self.assertTrue(all(set(first) & set(e.peer_addresses) for e in after.values()))

    def test_reader_contacts_unreachable_daemons(self):
        """Guards against a restarted daemon staying without a configuration.

        It restarts while the log can't be read and knows no peers, so a reader has
        to contact it.
        """
        mesh = build_mesh(3, 5)
        readers = [a for a, each in choose(mesh).items() if each.is_reader]
        lost = [each.address for each in mesh if each.address not in readers]
        visited = {
            a for each in choose(mesh, lost).values() for a in each.peer_addresses
        }
        self.assertLessEqual(set(lost), visited)

    def test_all_other_daemons_of_the_zone_are_dead(self):
        mesh = build_mesh(2, 4)
        dead = [each.address for each in mesh[1:4]]
        chosen = choose(mesh, dead)["10.0.0.0:1"]
        self.assertTrue(chosen.is_reader)
        self.assertLessEqual(
            len(chosen.peer_addresses), 2 * (sources.MAX_UNREACHABLE_TRIED + 1)
        )


if __name__ == "__main__":
    unittest.main()
