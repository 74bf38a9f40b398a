"""Tests of who reads the log for the others."""

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
    """Return the `Sources` of each daemon, where all others but some are up."""
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
                self.assertEqual({address, *chosen[address].others}, set(readers))
            for address, each in chosen.items():
                heard = {address, *each.wanted} & set(readers)
                self.assertGreaterEqual(len(heard), 2)

    def test_single_zone_has_two_readers(self):
        chosen = choose(build_mesh(1, 9))
        self.assertEqual(sum(each.is_reader for each in chosen.values()), 2)

    def test_one_relay_in_each_group(self):
        """A single zone has two readers, so that one may fail.

        Did both pass levels on, a zone would hear in turn of all of them and of one
        daemon's only, and callers be let in and refused in turn.
        """
        for zones, size in ((1, 9), (3, 5), (1, 1)):
            chosen = choose(build_mesh(zones, size))
            relays = [address for address, each in chosen.items() if each.is_relay]
            self.assertEqual(len(relays), zones)
            self.assertEqual({each.reader for each in chosen.values()}, set(relays))

    def test_daemon_alone_reads(self):
        self.assertTrue(choose(build_mesh(1, 1))["10.0.0.0:1"].is_reader)

    def test_reader_that_dies_is_replaced(self):
        """The daemon that reads for a zone loses power.

        The next in rank sees by itself that it is out of reach and takes its place.
        """
        mesh = build_mesh(3, 5)
        first = [a for a, each in choose(mesh).items() if each.is_reader]
        after = choose(mesh, dead=first)
        readers = [address for address, each in after.items() if each.is_reader]
        self.assertEqual(len(readers), 3)
        # The one out of reach is tried again and again, and reads once it is back.
        self.assertTrue(all(set(first) & set(e.wanted) for e in after.values()))

    def test_reader_visits_those_out_of_reach(self):
        """A daemon starts anew while the log can't be read, and knows nobody.

        Nobody calls it, so it stays without a configuration unless it is found.
        """
        mesh = build_mesh(3, 5)
        readers = [a for a, each in choose(mesh).items() if each.is_reader]
        lost = [each.address for each in mesh if each.address not in readers]
        visited = {a for each in choose(mesh, lost).values() for a in each.wanted}
        self.assertLessEqual(set(lost), visited)

    def test_all_others_of_the_zone_are_gone(self):
        mesh = build_mesh(2, 4)
        dead = [each.address for each in mesh[1:4]]
        chosen = choose(mesh, dead)["10.0.0.0:1"]
        self.assertTrue(chosen.is_reader)
        self.assertLessEqual(len(chosen.wanted), 2 * (sources.MOST_TRIED + 1))


if __name__ == "__main__":
    unittest.main()
