"""Tests of the selection of a zone's log readers."""

import unittest

from bench import rounds
from whinwinch.logservice import readers
from whinwinch.membertable import Member, State


def count_readers(members, age=0.0, stream="configuration"):
    return sum(readers.is_reader(members, own, stream, age) for own in members)


class ReadersTest(unittest.TestCase):
    def setUp(self):
        self.members = [Member(rounds.build_endpoint(i, zones=3)) for i in range(90)]

    def find_readers(self):
        return [
            m
            for m in self.members
            if readers.is_reader(self.members, m, "configuration", 0.0)
        ]

    def test_each_zone_has_its_readers(self):
        found = self.find_readers()
        zones = [member.endpoint.zone for member in found]
        self.assertEqual(
            {zone: zones.count(zone) for zone in zones},
            dict.fromkeys(["zone-0", "zone-1", "zone-2"], readers.READERS_PER_ZONE),
        )

    def test_others_take_over_from_readers_that_die(self):
        """Guards against a zone without readers after all of them die at once.

        The next daemons in rank read as soon as they detect it.
        """
        dead = set(self.find_readers())
        self.members = [
            m._replace(state=State.GONE) if m in dead else m for m in self.members
        ]
        alive = [m for m in self.members if m.state is State.ALIVE]
        found = [m for m in alive if m in self.find_readers()]
        self.assertEqual(len(found), 3 * readers.READERS_PER_ZONE)

    def test_spare_readers_read_while_the_configuration_is_not_confirmed(self):
        """Guards against a zone whose readers are alive but can't reach the log.

        A few more daemons read then, but never all of them, which would overload a
        log that is recovering.
        """
        many = readers.READERS_PER_ZONE + readers.SPARE_READERS
        self.assertEqual(count_readers(self.members, age=1e9), 3 * many)

    def test_streams_have_different_readers(self):
        found = {
            stream: frozenset(
                m for m in self.members if readers.is_reader(self.members, m, stream, 0)
            )
            for stream in ("configuration", "claims")
        }
        self.assertNotEqual(found["configuration"], found["claims"])


if __name__ == "__main__":
    unittest.main()
