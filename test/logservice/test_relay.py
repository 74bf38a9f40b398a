"""Tests of the relay and the store of configuration records."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch.logservice import client, relay


class FakeConfiguration:
    """Applies records in order; a snapshot ``s3`` covers all before offset 3."""

    def __init__(self):
        self.offset = 0
        self.store = relay.RecordStore(find_covered)
        self.relay = relay.Relay(
            self.apply, self.store.records_from, lambda: self.offset
        )

    def apply(self, record):
        covered = find_covered(record.data)
        if covered is not None and covered > self.offset:
            self.offset = covered
        elif record.offset == self.offset:
            self.offset += 1
        else:
            return False
        self.store.add(record)
        return True


def find_covered(data):
    return int(data[1:]) if data.startswith(b"s") else None


def build_records(*data):
    return [client.Record(i, float(i), item) for i, item in enumerate(data)]


class RelayTest(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.lists(st.integers(0, 9), max_size=60))
    def test_only_moves_forward_for_records_in_any_order(self, offsets):
        """Guards against restoring a configuration that was replaced.

        Peers send late, duplicate and old records.
        """
        configuration = FakeConfiguration()
        records = build_records(*[b"x"] * 10)
        for offset in offsets:
            before = configuration.offset
            configuration.relay.apply_records([records[offset]])
            self.assertIn(configuration.offset, (before, before + 1))
        configuration.relay.apply_records(records)
        self.assertEqual(configuration.offset, 10)

    def test_age_counts_only_when_nothing_is_missing(self):
        configuration = FakeConfiguration()
        configuration.relay.record_log_end(2, 0.0, 10.0)
        self.assertEqual(configuration.relay.find_age(10.0), float("inf"))
        configuration.relay.apply_records(build_records(b"a", b"b"))
        configuration.relay.record_log_end(2, 3.0, 10.0)
        configuration.relay.record_log_end(2, 9.0, 10.0)
        self.assertEqual(configuration.relay.find_age(12.0), 5.0)

    def test_gives_at_least_one_record_and_otherwise_respects_the_limit(self):
        configuration = FakeConfiguration()
        configuration.relay.apply_records(
            build_records(b"a" * 50, b"b" * 30, b"c" * 30)
        )
        given_records = configuration.relay.list_records(0, limit=40)
        self.assertEqual([r.offset for r in given_records], [0])
        given_records = configuration.relay.list_records(1, limit=60)
        self.assertEqual([r.offset for r in given_records], [1, 2])
        self.assertEqual(configuration.relay.list_records(3), ())

    def test_peer_brings_a_new_daemon_up_to_date_after_retention(self):
        """Guards against a new daemon without a complete configuration.

        The log has dropped the first records and is down. The daemon must get the
        configuration from a peer: the snapshot and the records that it does not
        cover.
        """
        records = build_records(b"a", b"b", b"c", b"s2", b"d")
        old = FakeConfiguration()
        old.store._limit = 3
        old.relay.apply_records(records)
        for _ in range(3):
            newcomer = FakeConfiguration()
            for _ in range(3):
                newcomer.relay.apply_records(old.relay.list_records(newcomer.offset))
            self.assertEqual(newcomer.offset, 5)
            # The next daemon gets the configuration from this one.
            old = newcomer

    def test_store_gives_nothing_after_a_gap(self):
        store = relay.RecordStore(find_covered, limit=3)
        for record in build_records(b"aa", b"bb", b"c"):
            store.add(record)
        self.assertEqual(store.records_from(0), ())
        self.assertEqual([r.offset for r in store.records_from(2)], [2])

    @settings(derandomize=True, max_examples=100)
    @given(st.integers(0, 2**32), st.integers(1, 40))
    def test_exchanges_in_any_order_bring_all_peers_up_to_date(self, seed, limit):
        source = random.Random(seed)
        records = build_records(*[b"x" * 8] * 20)
        peers = [FakeConfiguration() for _ in range(4)]
        peers[0].relay.apply_records(records)
        for _ in range(400):
            supplier, receiver = source.sample(peers, 2)
            receiver.relay.apply_records(
                supplier.relay.list_records(receiver.offset, limit)
            )
        self.assertEqual({peer.offset for peer in peers}, {20})


if __name__ == "__main__":
    unittest.main()
