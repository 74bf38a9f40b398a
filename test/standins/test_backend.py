"""Tests of the stand-in backend server, over HTTP on free ports."""

import json
import threading
import unittest

import urllib3

from standins import announcement, backend, outgoing, serving

LOOPBACK = serving.Address("127.0.0.1", 0)


def start(test, settings):
    server, load = backend.build_server(LOOPBACK, settings)
    serving.start_server(server)
    test.addCleanup(server.stop)
    return f"http://{serving.find_address(server)}", load


class BackendTest(unittest.TestCase):
    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, maxsize=8)
        self.addCleanup(self.http.clear)

    def test_chain_and_marker(self):
        archive, _ = start(self, backend.Settings("archive", 2, 0.0))
        direct = {"archive": (archive.removeprefix("http://"),)}
        catalog, _ = start(self, backend.Settings("catalog", 2, 0.0, direct=direct))
        url = f"{catalog}/list?direct=1&marker=m7&next=archive/x&size=5"
        answer = self.http.request("GET", url, headers={"X-Request-Id": "r1"}).json()
        below = answer["below"][0]
        self.assertEqual((answer["marker"], answer["filler"]), ("m7", "m7m7m"))
        self.assertEqual((below["service"], below["path"]), ("archive", "/x"))
        self.assertEqual((below["marker"], below["request"]), ("m7", "r1"))

    def test_next_call_passes_on_the_following_calls(self):
        (call,) = outgoing.parse_next("archive,royalties/payouts", "/list")
        self.assertEqual(call, outgoing.Call("archive", "/list", "royalties/payouts"))

    def test_call_to_a_service_without_an_address(self):
        url, _ = start(self, backend.Settings("catalog", 1, 0.0))
        answer = self.http.request("GET", f"{url}/list?direct=1&next=archive")
        self.assertEqual(answer.status, 502)

    def test_runs_are_counted_by_key(self):
        url, _ = start(self, backend.Settings("royalties", 2, 0.0))
        for _ in range(2):
            headers = {"Idempotency-Key": "k", "X-Request-Id": "r"}
            self.http.request("POST", f"{url}/payouts", headers=headers)
        ran = self.http.request("GET", f"{url}/ran").json()
        self.assertEqual(ran, {"keys": {"k": 2}, "requests": {"r": 2}})

    def test_sheds_load(self):
        """All slots are occupied and there is no queue: a caller gets 503 at once.

        A request that was shed must not be counted as executed.
        """
        url, load = start(self, backend.Settings("submissions", 1, 0.0))
        with load.hold_slot(0):
            answer = self.http.request("GET", f"{url}/status")
            self.assertEqual(self.http.request("GET", f"{url}/load").status, 200)
        self.assertEqual((answer.status, answer.headers["Retry-After"]), (503, "1"))
        self.assertEqual(load.report_runs()["requests"], {})

    def test_faults(self):
        """A backend server closes the connection in or before a response.

        The caller sees a broken connection, although the request was executed.
        """
        url, load = start(self, backend.Settings("archive", 2, 0.0))
        body = {"half": 1, "lose_answers": 1, "errors": 1}
        self.http.request("POST", f"{url}/faults", json=body)
        for _ in range(2):
            with self.assertRaises(urllib3.exceptions.HTTPError):
                self.http.request("GET", f"{url}/x", headers={"X-Request-Id": "r"})
            if load.faults["errors"]:
                answer = self.http.request("GET", f"{url}/x")
                self.assertEqual(answer.status, 500)
        self.assertEqual(self.http.request("GET", f"{url}/x").status, 200)
        self.assertEqual(load.report_runs()["requests"]["r"], 2)

    def test_deadline_frees_the_slot(self):
        """A request takes far longer than its deadline allows.

        It must end at the deadline and free its slot for the next request.
        """
        url, load = start(self, backend.Settings("archive", 1, 3600.0))
        headers = {"Whinwinch-Timeout": "1"}
        answer = self.http.request("GET", f"{url}/x", headers=headers)
        self.assertEqual(answer.status, 504)
        self.assertTrue(load.wait_until_idle(20))

    def test_announces_and_withdraws(self):
        received, announced = [], threading.Event()

        def answer(environ):
            body = serving.read_body(environ)
            received.append((environ["REQUEST_METHOD"], body and json.loads(body)))
            announced.set()
            return serving.Reply(204)

        daemon = serving.build_server(LOOPBACK, answer, 2)
        serving.start_server(daemon)
        self.addCleanup(daemon.stop)
        url = f"http://{serving.find_address(daemon)}"
        settings = backend.Settings("archive", 7, 0.0, daemon=url)
        stopping = threading.Event()
        address = serving.Address("127.0.0.1", 9)
        arguments = (settings, address, stopping)
        announcer = threading.Thread(target=announcement.announce, args=arguments)
        announcer.start()
        self.assertTrue(announced.wait(20))
        stopping.set()
        announcer.join(20)
        self.assertEqual([method for method, _ in received], ["PUT", "DELETE"])
        self.assertEqual(received[0][1]["address"], "127.0.0.1:9")
        self.assertEqual(received[0][1]["slots"], 7)
