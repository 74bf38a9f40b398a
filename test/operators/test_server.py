"""Tests of the HTTP server for operators."""

import http.client
import socket
import types
import unittest

from whinwinch.operators import server
from whinwinch.settings import Address

SETTINGS = types.SimpleNamespace(max_header=32 << 10, max_body=1 << 20)


def answer(environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def find_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return Address(*listener.getsockname())


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.address = find_address()
        self.stop = server.start_server(self.address, answer, SETTINGS)

    def ask(self, path):
        connection = http.client.HTTPConnection(*self.address, timeout=30)
        self.addCleanup(connection.close)
        connection.request("GET", path)
        return connection.getresponse().status

    def test_serves_only_paths_under_its_mount(self):
        self.addCleanup(self.stop)
        self.assertEqual(self.ask("/admin/v1/services"), 200)
        self.assertEqual(self.ask("/services/catalog/x"), 404)

    def test_stops_although_its_port_is_reused_at_once(self):
        """Another program listens on the port as soon as the server has stopped.

        If the server treated this as a failed stop, the daemon would exit with an
        error although nothing is wrong.
        """
        self.ask("/admin/x")
        self.stop()
        with socket.create_server(self.address, reuse_port=False):
            self.stop()

    def test_start_fails_if_the_address_is_in_use(self):
        self.addCleanup(self.stop)
        with self.assertRaises(OSError):
            server.start_server(self.address, answer, SETTINGS)


if __name__ == "__main__":
    unittest.main()
