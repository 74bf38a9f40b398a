"""Tests of the configuration, which depends only on the log's order."""

import json
import unittest
from typing import NamedTuple

from whinwinch import configuration
from whinwinch.configuration import ApplyReason, Change, Configuration, TooOld


class Record(NamedTuple):
    offset: int
    time: float
    data: bytes


def change(number, name="catalog", replaces=0, body=(("n", 1),)):
    fields = None if body is None else dict(body)
    return Change(f"c{number}", "service", name, replaces, fields, "ana", "noon")


class Log:
    """In-memory log that keeps its records in a list."""

    def __init__(self):
        self.records = []

    def write(self, data):
        data = configuration.encode_change(data) if isinstance(data, Change) else data
        offset = len(self.records)
        self.records.append(Record(offset, 1000.0 + offset, data))
        return offset

    def replay(self, reader, start=0):
        return [reader.apply(*record) for record in self.records[start:]]


class ReaderTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.reader = Configuration()

    def write(self, data):
        offset = self.log.write(data)
        return self.reader.apply(*self.log.records[offset])


class AcceptanceTest(ReaderTest):
    def test_a_change_of_the_current_version_is_accepted(self):
        first = self.write(change(1))
        self.assertTrue(first.accepted)
        second = self.write(change(2, replaces=first.version, body={"n": 2}))
        self.assertEqual(self.reader.version, second.version)
        self.assertEqual(self.reader.get("service", "catalog").body, {"n": 2})

    def test_of_two_racing_operators_the_first_by_offset_wins(self):
        """Guards against one operator silently overwriting another's change.

        Two operators change a resource concurrently, both based on the same
        version. The second change is a conflict that reports the current version.
        """
        first = self.write(change(1))
        winner = self.write(change(2, replaces=first.version, body={"n": 2}))
        loser = self.write(change(3, replaces=first.version, body={"n": 3}))
        self.assertIs(loser.ground, ApplyReason.CONFLICT)
        self.assertEqual(loser.present, winner.version)
        self.assertEqual(self.reader.get("service", "catalog").body, {"n": 2})

    def test_a_duplicate_change_is_accepted_once(self):
        """Guards against a duplicate change restoring a deleted resource.

        The answer to an append is lost and the operator's tool appends the change
        again. Meanwhile another operator has deleted the resource.
        """
        first = self.write(change(1))
        self.write(change(2, replaces=first.version, body=None))
        again = self.write(change(1))
        self.assertEqual(again[:2], (True, ApplyReason.DUPLICATE))
        self.assertEqual(again.version, first.version)
        self.assertEqual(self.reader.resources(), ())

    def test_a_rejected_change_is_not_accepted_by_a_late_copy(self):
        first = self.write(change(1))
        self.write(change(2))
        self.write(change(3, replaces=first.version, body=None))
        self.assertFalse(self.write(change(2)).accepted)
        self.assertEqual(self.reader.resources(), ())

    def test_deleting_a_missing_resource_is_a_conflict(self):
        self.assertIs(self.write(change(1, body=None)).ground, ApplyReason.CONFLICT)

    def test_malformed_records_are_rejected(self):
        good = json.loads(configuration.encode_change(change(1)))
        truncated = json.dumps({**good, "content": good["content"][:-1]}).encode()
        wrong = configuration.encode_record("change", {"change_id": 1})
        other = configuration.encode_record("snapshot", {"resources": 3})
        for data in (b"", b"\xff", b"7", b"[" * 100_000, truncated, wrong, other):
            self.assertIs(self.write(data).ground, ApplyReason.MALFORMED)
        self.assertTrue(self.write(change(1)).accepted)

    def test_readers_move_forward_without_gaps(self):
        self.write(change(1))
        record = self.log.records[0]
        self.assertIs(self.reader.apply(*record).ground, ApplyReason.ALREADY_READ)
        ahead = self.reader.apply(5, 1.0, record.data)
        self.assertIs(ahead.ground, ApplyReason.GAP)
        self.assertEqual(self.reader.offset, 1)

    def test_the_number_of_kept_decisions_is_bounded(self):
        for number in range(configuration.MAX_DECISIONS + 200):
            self.write(change(number, name=f"s{number % 7}"))
        self.assertEqual(
            len(self.reader.take_snapshot().decisions), configuration.MAX_DECISIONS
        )


class WatchTest(ReaderTest):
    def test_changes_since_a_version(self):
        first = self.write(change(1))
        self.write(change(2))
        gone = self.write(change(3, replaces=first.version, body=None))
        events = self.reader.changes_since(first.version)
        self.assertEqual([event.version for event in events], [gone.version])
        self.assertIsNone(events[0].resource)
        self.assertEqual(len(self.reader.changes_since(0)), 2)

    def test_a_watch_that_is_too_old_must_list_again(self):
        version = 0
        for number in range(configuration.MAX_HISTORY + 1):
            version = self.write(change(number, replaces=version)).version
        self.assertIsInstance(self.reader.changes_since(0), TooOld)
        kept = self.reader.changes_since(self.reader.changes_since(0).oldest)
        self.assertEqual(len(kept), configuration.MAX_HISTORY)


class SnapshotTest(unittest.TestCase):
    def setUp(self):
        self.log = Log()
        self.reader = Configuration()
        self.log.write(change(1))
        self.log.write(change(2, name="royalties"))
        self.log.replay(self.reader)

    def test_a_reader_catches_up_from_a_snapshot(self):
        self.log.write(self.reader.encode_snapshot())
        self.log.write(change(3, replaces=1, body={"n": 3}))
        kept = self.log.records[2:]
        late = Configuration()
        self.assertTrue(late.install(configuration.choose_snapshot(kept, 2)))
        for record in kept:
            late.apply(*record)
        self.log.replay(self.reader, 2)
        self.assertEqual(late.take_snapshot(), self.reader.take_snapshot())
        self.assertIsInstance(late.changes_since(1), TooOld)

    def test_a_snapshot_of_a_paused_process_is_harmless(self):
        """Guards against an old snapshot restoring replaced resources.

        A process is paused before it writes a snapshot and writes it days later.
        """
        old = self.reader.encode_snapshot()
        self.log.write(change(3, replaces=1, body={"n": 3}))
        self.log.write(old)
        self.log.replay(self.reader, 2)
        self.assertFalse(self.reader.install(old))
        self.assertEqual(self.reader.get("service", "catalog").body, {"n": 3})

    def test_a_snapshot_contains_the_decisions(self):
        """Guards against diverging decisions on a duplicate change.

        A daemon starts from a snapshot and then reads a copy of a change that the
        snapshot covers. Without the decisions, it alone would accept the copy.
        """
        self.log.write(change(3, replaces=1, body=None))
        self.log.replay(self.reader, 2)
        late = Configuration()
        late.install(self.reader.encode_snapshot())
        self.log.write(change(1))
        self.assertIs(late.apply(*self.log.records[3]).ground, ApplyReason.DUPLICATE)

    def test_a_snapshot_that_leaves_a_gap_is_skipped(self):
        old = self.reader.encode_snapshot()
        self.log.write(change(3, replaces=1, body={"n": 3}))
        self.log.write(old)
        self.assertIsNone(configuration.choose_snapshot(self.log.records[3:], 3))

    def test_a_snapshot_that_covers_later_records_is_malformed(self):
        snapshot = self.reader.take_snapshot()._replace(covers=99)
        data = configuration.encode_snapshot(snapshot)
        self.assertIs(self.reader.apply(2, 1.0, data).ground, ApplyReason.MALFORMED)

    def test_snapshots_are_due_before_retention_drops_what_they_cover(self):
        def is_due(offset, covered, age):
            plan = configuration.plan_snapshot(offset, covered, 0.0, age, 3600.0)
            return plan.due

        self.assertFalse(is_due(0, 0, 9999.0))
        self.assertFalse(is_due(10, 9, 1199.0))
        self.assertTrue(is_due(10, 9, 1200.0))
        self.assertTrue(is_due(configuration.SNAPSHOT_INTERVAL_RECORDS, 0, 0.0))


if __name__ == "__main__":
    unittest.main()
