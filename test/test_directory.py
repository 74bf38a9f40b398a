"""Tests of which backend servers a daemon knows."""

import unittest
import unittest.mock

from whinwinch import directory
from whinwinch.backends.guard import Backend
from whinwinch.messages import Endpoint

ONE = Endpoint("h:1", "h:1", "s", "a", "r", 4)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory("own:1")
        self.directory.record("h:1", ONE)

    def test_a_connection_knows_better_than_a_record(self):
        """A backend server leaves; its record in the store is older."""
        self.directory.tell("h:1", ONE._replace(leaving=True))
        self.directory.record("h:1", ONE)
        self.assertEqual(self.directory.find_endpoints("s"), ())

    def test_address_that_another_service_got(self):
        """An instance is gone and its address belongs to another service now."""
        self.directory.tell("h:1", ONE)
        self.directory.record("h:1", ONE._replace(service="t"))
        self.assertEqual(self.directory.find_endpoints("s"), ())
        self.assertEqual(len(self.directory.find_endpoints("t")), 1)

    def test_many_records_are_sorted_once(self):
        """A daemon starts and takes in a record of every other one.

        Sorted anew for each of thousands, they would keep it busy for half a minute.
        """
        with unittest.mock.patch.object(
            directory, "sorted", side_effect=sorted, create=True
        ) as sort:
            for number in range(500):
                address = f"h:{number}"
                endpoint = ONE._replace(daemon=address, address=address)
                self.directory.record(address, endpoint)
            self.assertEqual(len(self.directory.find_endpoints("s")), 500)
            self.assertEqual(len(self.directory.everyone), 500)
        self.assertEqual(sort.call_count, 1)

    def test_withdrawn(self):
        self.directory.tell("h:1", ONE)
        self.directory.record("h:1", None)
        self.assertEqual(self.directory.addresses, frozenset())

    def test_daemon_without_backend_server_is_no_endpoint(self):
        endpoint = directory.build_endpoint("h:2", None, "a", "r")
        self.directory.tell("h:2", endpoint)
        self.assertEqual(self.directory.find_endpoints(""), ())
        backend = Backend("i-1", "s", 4)
        self.directory.tell("h:2", directory.build_endpoint("h:2", backend, "a", "r"))
        self.assertEqual(len(self.directory.find_endpoints("s")), 2)
