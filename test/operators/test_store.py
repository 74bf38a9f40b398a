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
    """Propose several consecutive changes of one service."""
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

    def test_one_of_two_concurrent_changes_is_rejected(self):
        """Two operators read version 0 of a service and both change it.

        If both changes were accepted, one would be overwritten unnoticed.
        """
        first = self.store.propose(fakes.make_change(body={}, change_id="a"), 1)
        second = self.store.propose(fakes.make_change(body={}, change_id="b"), 1)
        self.assertEqual(first.decision, store.Decision.ACCEPTED)
        self.assertEqual(second.decision, store.Decision.REJECTED)
        accepted = [entry.accepted for entry in self.store.list_history()]
        self.assertEqual(accepted, [False, True])

    def test_lost_answer_is_resolved_by_reading_the_log(self):
        """The log stores a change but its answer is lost.

        If a failure were reported, the operator would make the change again and
        overwrite another operator's change made in between.
        """
        self.log.fault, self.log.keeps = fakes.LogDown(None), True
        with self.assertLogs(level="WARNING"):
            verdict = self.store.propose(fakes.make_change(body={}), 1)
        self.assertEqual(verdict.decision, store.Decision.ACCEPTED)

    def test_unread_change_is_unknown(self):
        """The log's answer is lost and the log cannot be read either."""
        self.log.fault = fakes.LogDown(None)
        with self.assertLogs(level="WARNING"):
            verdict = self.store.propose(fakes.make_change(body={}), 0)
        self.assertEqual(verdict.decision, store.Decision.UNKNOWN)
        self.log.fault = fakes.LogDown(False)
        with self.assertLogs(level="WARNING"):
            verdict = self.store.propose(fakes.make_change(body={}), 0)
        self.assertEqual(verdict.decision, store.Decision.NOT_WRITTEN)

    def test_duplicate_change_keeps_its_first_verdict(self):
        """The log stores one append twice, as after a retry on the way to it.

        The duplicate conflicts with the first copy. Its verdict must not replace
        the first one, or a change in force would be reported as rejected.
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

    def test_number_of_stored_changes_is_bounded(self):
        """A watcher resumes after the changes that it missed were dropped.

        It has to receive an error, or its state would stay wrong unnoticed.
        """
        put_many(self.store, configuration.MAX_HISTORY + 1)
        found = self.store.wait_changes(1, 0)
        self.assertEqual(len(found), configuration.MAX_HISTORY)
        with self.assertRaises(store.VersionTooOld):
            self.store.wait_changes(0, 0)

    def test_verdict_from_a_snapshot(self):
        """A daemon falls behind while an operator's change is pending.

        It catches up with a peer's snapshot and never reads the change itself. The
        operator still has to receive the verdict that the change is in force.
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

    def test_waiting_ends_on_a_change_and_on_close(self):
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

    def test_unreadable_fields_get_their_defaults(self):
        """A record with an unreadable field was written to the log without the API."""
        body = {"timeout": "soon", "retry_budget": 1}
        with self.assertLogs(level="ERROR"):
            self.store.propose(fakes.make_change(body=body), 1)
        spec = self.store.snapshot().find_service("archive")
        self.assertEqual((spec.timeout, spec.retry_budget), (2.0, 1))


if __name__ == "__main__":
    unittest.main()
