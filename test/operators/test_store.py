"""Tests of the store of accepted resources."""

import threading
import unittest

from test.operators import fakes
from whinwinch import configuration
from whinwinch.messages import Importance
from whinwinch.operators import store


def make_store(log):
    made = store.Store(configuration.Configuration(), log.append)
    log.stores.append(made)
    made.mark_ready()
    return made


def put_many(subject, count, body=None, first=0):
    """Accept a number of changes to one service."""
    for number in range(first, first + count):
        change = fakes.make_change(
            replaces=number,
            body=body or {"timeout": 1 + number},
            change_id=f"c{number}",
        )
        subject.propose(change, 0)


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.log = fakes.Log()
        self.store = make_store(self.log)

    def test_accepted_change_is_in_force(self):
        before = self.store.snapshot()
        body = {"importance": "high"}
        verdict = self.store.propose(fakes.make_change(body=body), 1)
        self.assertEqual(verdict.decision, store.Decision.ACCEPTED)
        self.assertEqual(verdict.resource.version, 1)
        after = self.store.snapshot()
        self.assertEqual(after.find_service("archive").importance, Importance.HIGH)
        self.assertEqual(before.find_service("archive").importance, Importance.NORMAL)
        self.store.propose(fakes.make_change(replaces=1, change_id="c2"), 1)
        self.assertEqual(self.store.snapshot().list_resources("Service"), [])

    def test_of_two_racing_operators_one_is_told_of_the_conflict(self):
        """Two operators change the same service, both having read version 0.

        Were both told that all went well, one's change would be lost unseen.
        """
        first = self.store.propose(fakes.make_change(body={}, change_id="a"), 1)
        second = self.store.propose(fakes.make_change(body={}, change_id="b"), 1)
        self.assertEqual(first.decision, store.Decision.ACCEPTED)
        self.assertEqual(second.decision, store.Decision.REJECTED)
        accepted = [entry.accepted for entry in self.store.list_history()]
        self.assertEqual(accepted, [False, True])

    def test_lost_answer_is_settled_by_reading_on(self):
        """The log takes a change but its answer is lost.

        An operator who is told that it failed makes it again, over the change
        of a colleague in between.
        """
        self.log.fault, self.log.keeps = fakes.LogDown(None), True
        with self.assertLogs(level="WARNING"):
            verdict = self.store.propose(fakes.make_change(body={}), 1)
        self.assertEqual(verdict.decision, store.Decision.ACCEPTED)

    def test_unread_change_is_unknown(self):
        """The log's answer is lost and the log can't be read either."""
        self.log.fault = fakes.LogDown(None)
        with self.assertLogs(level="WARNING"):
            verdict = self.store.propose(fakes.make_change(body={}), 0)
        self.assertEqual(verdict.decision, store.Decision.UNKNOWN)
        self.log.fault = fakes.LogDown(False)
        with self.assertLogs(level="WARNING"):
            verdict = self.store.propose(fakes.make_change(body={}), 0)
        self.assertEqual(verdict.decision, store.Decision.NOT_WRITTEN)

    def test_change_copied_by_the_log_keeps_its_first_verdict(self):
        """The log takes one append twice, as after a repeat on the way to it.

        The copy conflicts with the first, and a change in force would be
        reported as refused.
        """
        change = fakes.make_change(body={})
        self.log.records.append(configuration.encode_change(change))
        verdict = self.store.propose(change, 0)
        self.assertEqual(verdict.decision, store.Decision.ACCEPTED)

    def test_changes_after_a_version(self):
        put_many(self.store, 5)
        versions = [event.version for event in self.store.wait_changes(2, 0)]
        self.assertEqual(versions, [3, 4, 5])
        self.assertEqual(self.store.wait_changes(5, 0), ())
        self.assertEqual(self.store.wait_changes(99, 0), ())

    def test_changes_are_kept_within_bounds(self):
        """A watcher comes back after the changes it misses were dropped.

        It has to be told, or its picture would stay wrong unseen.
        """
        put_many(self.store, configuration.MAX_HISTORY + 1)
        found = self.store.wait_changes(1, 0)
        self.assertEqual(len(found), configuration.MAX_HISTORY)
        with self.assertRaises(store.VersionTooOld):
            self.store.wait_changes(0, 0)

    def test_verdict_comes_with_a_snapshot(self):
        """A daemon falls behind while its operator's change is under way.

        It catches up by a peer's snapshot and never reads the change itself.
        The operator still has to learn that it is in force.
        """
        other = make_store(self.log)
        self.log.stores = [other]
        body = {"timeout": 9}

        def append(stream, data, timeout):
            self.log.append(stream, data, timeout)
            self.assertTrue(behind.install_snapshot(other.encode_snapshot()))
            self.assertFalse(behind.install_snapshot(other.encode_snapshot()))

        behind = store.Store(configuration.Configuration(), append)
        verdict = behind.propose(fakes.make_change(body=body), 0)
        self.assertEqual(verdict.decision, store.Decision.ACCEPTED)
        self.assertEqual(verdict.resource.body, body)
        self.assertEqual(behind.snapshot().find_service("archive").timeout, 9)
        with self.assertRaises(store.VersionTooOld):
            behind.wait_changes(0, 0)

    def test_waiting_ends_with_a_change_and_with_closing(self):
        found = []
        waiter = threading.Thread(
            target=lambda: found.append(self.store.wait_changes(0, 60))
        )
        waiter.start()
        self.store.propose(fakes.make_change(body={}), 1)
        waiter.join(30)
        self.assertEqual([event.version for event in found[0]], [1])
        waiter = threading.Thread(target=self.store.wait_changes, args=(1, 60))
        waiter.start()
        self.store.close()
        waiter.join(30)
        self.assertFalse(waiter.is_alive())

    def test_unreadable_record_is_taken_as_far_as_possible(self):
        """Something wrote a record to the log past the API."""
        body = {"timeout": "soon", "retry_budget": 1}
        with self.assertLogs(level="ERROR"):
            self.store.propose(fakes.make_change(body=body), 1)
        spec = self.store.snapshot().find_service("archive")
        self.assertEqual((spec.timeout, spec.retry_budget), (2.0, 1))


if __name__ == "__main__":
    unittest.main()
