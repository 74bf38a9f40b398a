"""Tests of the records of joins and leaves, and of the delays that spread them."""

import random
import unittest

from bench import rounds
from whinwinch import joins, membership
from whinwinch.logservice import client


class JoinsTest(unittest.TestCase):
    def test_record_round_trip(self):
        endpoint = rounds.build_endpoint(3)._replace(service="", slots=0)
        record = joins.JoinRecord((endpoint,), ("x",))
        self.assertEqual(joins.decode_record(joins.encode_record(record)), record)

    def test_invalid_record_is_decoded_as_empty(self):
        deep = b"[" * 100_000
        for data in (b"", b"\xff", b"[]", b'{"joined": [{}], "left": []}', b"3", deep):
            self.assertEqual(joins.decode_record(data), joins.JoinRecord())

    def test_record_names_companions_which_become_contacts(self):
        mesh = rounds.build_mesh(30)
        first = next(iter(mesh.values()))
        record = joins.build_join(first, random.Random(1))
        self.assertEqual(len(record.joined), joins.COMPANIONS + 1)
        self.assertEqual(record.joined[0], first.local_member.endpoint)

        newcomer = membership.Membership(rounds.build_endpoint(99), random.Random(1))
        data = joins.encode_record(record)
        leave = joins.encode_record(joins.JoinRecord(left=(record.joined[1].daemon,)))
        page = [
            client.Record(0, 0.0, data),
            client.Record(1, 100.0, data),
            client.Record(2, 101.0, leave),
        ]
        self.assertEqual(joins.apply_records(newcomer, page), 1)
        self.assertEqual(len(newcomer.find_contacts()), joins.COMPANIONS)

    def test_restart_of_a_zone_keeps_to_the_append_rate(self):
        """Five hundred daemons start together.

        Unless they delay their joins, all are appended to the log within a second.
        """
        source = random.Random(1)
        delays = [joins.find_append_delay(500, source) for _ in range(500)]
        busiest = max(
            sum(start <= delay < start + 5 for delay in delays)
            for start in range(0, 50, 5)
        )
        self.assertLess(busiest, 2 * 5 * joins.APPEND_RATE)

    def test_total_read_rate_is_independent_of_the_mesh_size(self):
        source = random.Random(1)
        for count in (10, 1000, 4500):
            intervals = [joins.find_read_interval(count, source) for _ in range(200)]
            self.assertLess(count * 200 / sum(intervals), 1.2 * joins.READ_RATE)


if __name__ == "__main__":
    unittest.main()
