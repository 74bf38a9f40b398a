"""Tests of recognizing the work that was in flight at several crashes."""

import unittest

from test import requests
from whinwinch import crashes, messages

HEADERS = (("Host", "h"), ("X-Request-Id", "1"))


class FingerprintTest(unittest.TestCase):
    def test_attempts_of_the_same_work_have_the_same_fingerprint(self):
        """Guards against taking a request that comes again for a new one."""
        first = requests.build("a", "/x?y", headers=HEADERS, body=b"z")
        again = first._replace(
            attempt="b", root="b", headers=(("host", "h"), ("X-Request-Id", "2"))
        )
        self.assertEqual(*map(crashes.build_fingerprint, (first, again)))

    def test_other_work_has_another_fingerprint(self):
        """Guards against refusing other requests for what one of them did."""
        request = requests.build("a", "/x", headers=HEADERS, body=b"z")
        others = (
            request._replace(path="/x?"),
            request._replace(method="POST"),
            request._replace(body=b""),
            request._replace(caller="other"),
            request._replace(headers=(("Host", "i"),)),
        )
        prints = {crashes.build_fingerprint(each) for each in (request, *others)}
        self.assertEqual(len(prints), 6)


class CrashHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = crashes.CrashHistory()
        self.cause = requests.build("a", "/cause")
        self.beside = requests.build("b", "/beside")

    def crash(self, identity, *in_flight, now=0.0):
        record = self.history.build_record(identity, in_flight)
        self.history.apply(record, now)

    def crash_often(self, *in_flight, count=3):
        for number in range(count):
            self.crash(f"i-{number}", *in_flight)

    def test_work_that_was_alone_at_its_third_crash_is_refused(self):
        self.crash_often(self.cause, self.beside, count=2)
        self.assertTrue(self.history.is_suspect(self.cause))
        self.assertFalse(self.history.find_refusal(self.cause, 0.0))
        self.crash("i-2", self.cause)
        self.assertGreater(self.history.find_refusal(self.cause, 0.0), 0.0)

    def test_work_that_ran_beside_the_cause_is_never_refused(self):
        """Guards against refusing innocent requests that were in flight as often."""
        self.crash_often(self.cause, self.beside)
        for request in (self.cause, self.beside):
            self.assertFalse(self.history.find_refusal(request, 0.0))
        self.crash("i-3", self.cause, requests.build("c", "/first"))
        self.assertTrue(self.history.find_refusal(self.cause, 0.0))
        self.assertFalse(self.history.find_refusal(self.beside, 0.0))

    def test_work_that_was_answered_is_no_longer_suspect(self):
        """Guards against refusing work that is in flight at every crash."""
        self.crash_often(self.beside, count=2)
        self.crash("i-2", self.beside)
        self.assertTrue(self.history.find_refusal(self.beside, 0.0))
        self.history.record_answer(self.beside)
        self.assertFalse(self.history.find_refusal(self.beside, 0.0))
        self.assertFalse(self.history.is_suspect(self.beside))

    def test_last_endpoint_is_spared_until_the_others_can_be_back(self):
        """Guards against refusing innocent work for ever where one endpoint is left."""
        self.crash_often(self.beside, count=2)
        hold = self.history.find_hold(self.beside, 1.0)
        self.assertEqual(hold, crashes.LAST_ENDPOINT_HOLD_SECONDS - 1.0)
        self.assertEqual(self.history.find_hold(self.beside, 1.0 + hold), 0.0)
        self.assertEqual(self.history.find_hold(self.cause, 1.0), 0.0)

    def test_part_of_a_record_completes_with_the_rest(self):
        """Guards against a record that is ignored since a part of it came first."""
        self.crash_often(self.cause, self.beside, count=2)
        parts = self.history.list_suspicions(self.cause)
        self.assertEqual([each.identity for each in parts], ["i-0", "i-1"])
        other = crashes.CrashHistory()
        for part in parts:
            other.apply(part, 0.0)
        self.assertTrue(other.is_suspect(self.cause))
        self.assertFalse(other.is_suspect(self.beside))
        for identity in ("i-0", "i-1"):
            whole = self.history.build_record(identity, (self.cause, self.beside))
            other.apply(whole._replace(proven=""), 0.0)
        self.assertTrue(other.is_suspect(self.beside))

    def test_proof_that_arrives_later_counts(self):
        """Guards against losing a proof to a part of its record."""
        self.crash_often(self.cause, count=3)
        other = crashes.CrashHistory()
        for part in self.history.list_suspicions(self.cause):
            other.apply(part._replace(proven=""), 0.0)
        self.assertFalse(other.find_refusal(self.cause, 0.0))
        for part in self.history.list_suspicions(self.cause):
            other.apply(part, 0.0)
        self.assertTrue(other.find_refusal(self.cause, 0.0))

    def test_late_record_does_not_undo_an_answer(self):
        """Guards against suspicion that comes back with the record from the log."""
        record = self.history.build_record("i-0", [self.beside])
        self.crash_often(self.beside, count=2)
        self.history.record_answer(self.beside)
        self.history.apply(record, 0.0)
        self.assertEqual(self.history.find_hold(self.beside, 0.0), 0.0)

    def test_record_that_arrives_again_counts_once(self):
        """Guards against counting a crash twice: locally and from the log."""
        record = self.history.build_record("i-0", [self.cause])
        for _ in range(3):
            self.history.apply(record, 0.0)
        self.assertFalse(self.history.is_suspect(self.cause))

    def test_refused_work_gets_another_try_after_ever_longer_times(self):
        """Guards against refusing work for ever after its service was mended."""
        self.crash_often(self.cause)
        first = self.history.find_refusal(self.cause, 0.0)
        self.assertFalse(self.history.find_refusal(self.cause, first))
        self.crash("i-3", self.cause)
        self.assertGreater(self.history.find_refusal(self.cause, 0.0), first)

    def test_forgotten_crashes_leave_nothing_behind(self):
        self.crash_often(self.cause)
        self.assertFalse(self.history.list_expired(crashes.RETENTION_SECONDS))
        for identity in self.history.list_expired(crashes.RETENTION_SECONDS + 1.0):
            self.history.forget(identity)
        self.history.forget("i-unknown")
        self.assertFalse(self.history.is_suspect(self.cause))

    def test_number_of_remembered_crashes_is_bounded(self):
        for number in range(crashes.MAX_RECORDS + 10):
            self.crash(f"i-{number}", requests.build("a", f"/{number}"))
        expired = self.history.list_expired(2.0 * crashes.RETENTION_SECONDS)
        self.assertEqual(len(expired), crashes.MAX_RECORDS)
        self.assertEqual(expired[0], "i-10")

    def test_all_daemons_send_work_of_a_crash_to_the_same_endpoint(self):
        """Guards against as many crashes at once as there are endpoints."""
        endpoints = [messages.Endpoint(f"d{n}", f"10.0.0.{n}:1") for n in range(3)]
        chosen = self.history.choose_endpoint(self.cause, endpoints)
        other = crashes.CrashHistory()
        self.assertEqual(other.choose_endpoint(self.cause, endpoints[::-1]), chosen)
        left = [each for each in endpoints if each != chosen]
        self.assertIn(self.history.choose_endpoint(self.cause, left), left)

    def test_work_is_involved_in_a_crash_until_it_is_answered(self):
        """Guards against one endpoint for popular work that ran beside the cause."""
        self.assertFalse(self.history.is_involved(self.beside))
        self.crash("i-1", self.cause, self.beside)
        self.assertTrue(self.history.is_involved(self.beside))
        self.history.record_answer(self.beside)
        self.assertFalse(self.history.is_involved(self.beside))
