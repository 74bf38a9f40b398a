"""Tests of the stand-in log service, over HTTP on a free port."""

import base64
import threading
import unittest

import urllib3

from standins import log, serving


class LogTest(unittest.TestCase):
    def setUp(self):
        self.server = log.build_server(serving.Address("127.0.0.1", 0))
        serving.start_server(self.server)
        self.addCleanup(self.server.stop)
        self.url = f"http://{serving.find_address(self.server)}"
        self.http = urllib3.PoolManager(retries=False, maxsize=8)
        self.addCleanup(self.http.clear)

    def append(self, data):
        return self.http.request("POST", f"{self.url}/streams/s", body=data)

    def read(self, query):
        return self.http.request("GET", f"{self.url}/streams/s?{query}").json()

    def set_faults(self, **faults):
        self.http.request("POST", f"{self.url}/faults", json=faults)

    def test_offsets_and_pages(self):
        offsets = [self.append(data).json()["offset"] for data in (b"a", b"\0", b"c")]
        self.assertEqual(offsets, [0, 1, 2])
        page = self.read("offset=1&limit=1")
        self.assertEqual((page["first"], page["next"]), (0, 3))
        self.assertEqual(base64.b64decode(page["records"][0]["data"]), b"\0")
        self.assertEqual(self.read("offset=9")["next"], 3)

    def test_long_polls_do_not_block_appends(self):
        pages = []
        polls = [
            threading.Thread(
                target=lambda: pages.append(self.read("offset=0&wait=30")),
                daemon=True,
            )
            for _ in range(20)
        ]
        for poll in polls:
            poll.start()
        self.append(b"x")
        for poll in polls:
            poll.join(20)
        self.assertEqual([len(page["records"]) for page in pages], [1] * 20)

    def test_retention_moves_the_first_offset(self):
        self.set_faults(retain=2)
        for data in (b"a", b"b", b"c"):
            self.append(data)
        page = self.read("offset=0")
        self.assertEqual(page["first"], 1)
        self.assertEqual([record["offset"] for record in page["records"]], [1, 2])

    def test_down(self):
        """The log is down: appends get 503, and work again afterwards."""
        self.set_faults(down=True)
        self.assertEqual(self.append(b"a").status, 503)
        self.set_faults(down=False)
        self.assertEqual(self.append(b"a").json(), {"offset": 0})

    def test_lost_answer(self):
        """The response to an append is lost after the append took effect.

        The writer sees a broken connection and can't know whether the record
        was written; a reader sees the record.
        """
        self.set_faults(lose_answers=1)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.append(b"a")
        self.assertEqual(len(self.read("offset=0")["records"]), 1)
        self.assertEqual(self.append(b"b").json(), {"offset": 1})

    def test_invalid_offset(self):
        self.assertEqual(self.read("offset=x").keys(), {"error"})
