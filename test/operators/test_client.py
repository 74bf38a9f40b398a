"""Tests of the client against the API of two daemons."""

import itertools
import unittest

from test.operators import fakes
from test.operators.test_api import DOCUMENT, TOKEN, ApiCase
from test.operators.test_store import make_store
from whinwinch import configuration, errors
from whinwinch.operators import client

# Nothing listens on this port: connections are refused at once.
DEAD = "http://127.0.0.1:1"


class ClientTest(ApiCase):
    def setUp(self):
        super().setUp()
        self.pauses = []
        self.client = self.make_client(self.url)

    def make_client(self, *urls, token=TOKEN):
        servers = [url.removesuffix("/admin/v1") for url in urls]
        made = client.Client(servers, token, sleep=self.pauses.append)
        self.addCleanup(made.close)
        return made

    def test_applies_gets_lists_and_deletes(self):
        version = self.client.apply_service(DOCUMENT)
        service = self.client.get_service("archive")
        self.assertEqual((service.version, service.author), (version, "ana"))
        self.assertEqual(service.spec, DOCUMENT["spec"])
        self.assertEqual(self.client.list_services().services, (service,))
        deleted = self.client.delete_service("archive", version)
        self.assertEqual(self.client.list_services(), client.Listing(deleted, ()))
        self.assertEqual(len(self.client.read_history()), 2)
        self.assertEqual(self.client.read_status(), {"daemon": "d1"})

    def test_errors_have_types(self):
        with self.assertRaises(client.NotFound):
            self.client.get_service("a/b?c")
        with self.assertRaises(client.NotFound):
            self.client.delete_service("archive")
        with self.assertRaises(client.AccessDenied):
            self.make_client(self.url, token="x" * 20).list_services()
        with self.assertRaises(errors.InputErrors) as caught:
            self.client.apply_service(DOCUMENT | {"spec": {"timeout": 0}})
        self.assertEqual(caught.exception.findings[0].place, "spec.timeout")
        version = self.client.apply_service(DOCUMENT, replaces=0)
        with self.assertRaises(client.Conflict) as caught:
            self.client.apply_service(DOCUMENT, replaces=0)
        self.assertEqual(caught.exception.present_version, version)
        with self.assertRaises(client.Unreachable):
            self.make_client(DEAD).list_services()
        with self.assertRaises(client.Unreachable):
            self.make_client(DEAD).apply_service(DOCUMENT)

    def test_fails_over_to_the_next_daemon(self):
        subject = self.make_client(DEAD, self.url)
        self.assertTrue(subject.apply_service(DOCUMENT))
        self.assertEqual(len(subject.list_services().services), 1)

    def test_drain_goes_to_one_daemon_only(self):
        """The daemon to be drained does not answer.

        With a failover to the next daemon, a healthy backend server would leave.
        """
        with self.assertRaises(client.Unreachable):
            self.make_client(DEAD, self.url).drain()
        self.assertEqual(self.drained, [])
        self.assertEqual(self.client.drain(), {"daemon": "d1"})
        self.assertEqual(self.drained, [self.store])

    def test_log_down(self):
        """The log is down or its answer is lost while a change is applied."""
        self.log.fault = fakes.LogDown(False)
        with self.assertLogs(level="WARNING"), self.assertRaises(client.Unreachable):
            self.client.apply_service(DOCUMENT)
        self.log.fault = fakes.LogDown(None)
        with (
            self.assertLogs(level="WARNING"),
            self.assertRaises(client.Undecided) as caught,
        ):
            self.client.apply_service(DOCUMENT)
        self.assertTrue(caught.exception.change_id)

    def test_change_sent_to_two_daemons_takes_effect_once(self):
        """The log stores a change, but its answer is lost and the read is late.

        The client sends the change to the next daemon. If it took effect a second
        time there, it would overwrite another operator's change made in between.
        """
        stores, self.log.stores = self.log.stores, []
        self.log.fault, self.log.keeps = fakes.LogDown(None), True
        original = self.log.append

        def append(stream, data, timeout):
            if len(self.log.records) == 1:
                self.log.fault, self.log.stores = None, stores
                colleague = fakes.make_change(replaces=1, body={"timeout": 9})
                self.log.records.append(configuration.encode_change(colleague))
            return original(stream, data, timeout)

        self.store._append = append
        subject = self.make_client(self.url, self.url)
        with self.assertLogs(level="WARNING"):
            self.assertEqual(subject.apply_service(DOCUMENT), 1)
        self.assertEqual(self.client.get_service("archive").spec, {"timeout": 9})

    def test_same_key_for_another_change(self):
        headers = {"Idempotency_Key": "k1"}
        self.put(**headers)
        first = self.put(**headers)
        self.assertEqual(first.headers["ETag"], '"1"')
        other = self.put(DOCUMENT | {"spec": {}}, **headers)
        self.assertEqual(other.headers["ETag"], '"2"')

    def test_watch_resumes_after_a_disconnect(self):
        """A daemon stops while a watch is open.

        The watcher must receive each change once, including those made before it
        reconnects.
        """
        second = make_store(self.log)
        second_url = self.start_daemon(second)
        other = self.make_client(second_url)
        subject = self.make_client(self.url, second_url)
        first = self.client.apply_service(DOCUMENT)
        events = subject.watch_services(0)
        self.assertEqual(next(events).version, first)
        self.store.close()
        later = [other.apply_service(DOCUMENT) for _ in range(2)]
        seen = [event.version for event in itertools.islice(events, 2)]
        self.assertEqual(seen, later)
        events.close()

    def test_watch_from_an_expired_version(self):
        for number in range(configuration.MAX_HISTORY + 1):
            change = fakes.make_change(replaces=number, body={}, change_id=f"c{number}")
            self.store.propose(change, 0)
        with self.assertRaises(client.WatchExpired):
            next(self.client.watch_services(0))

    def test_watch_backs_off_and_gives_up(self):
        with self.assertRaises(client.Unreachable):
            next(self.make_client(DEAD).watch_services())
        self.assertEqual(self.pauses[:3], [0.2, 0.4, 0.8])
        self.assertEqual(len(self.pauses), client.MAX_FAILED_ROUNDS - 1)


if __name__ == "__main__":
    unittest.main()
