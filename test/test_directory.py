"""Tests of the directory of backend servers."""

import unittest
import unittest.mock

from whinwinch import directory
from whinwinch.backends.interface import Backend
from whinwinch.messages import Endpoint

ONE = Endpoint("h:1", "h:1", "s", "a", "r", 4)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = directory.Directory("own:1")
        self.directory.apply_record("h:1", ONE)

    def test_report_takes_precedence_over_record(self):
        """A backend server leaves while its record in the store is still outdated."""
        self.directory.apply_report("h:1", ONE._replace(leaving=True))
        self.directory.apply_record("h:1", ONE)
        self.assertEqual(self.directory.find_endpoints("s"), ())

    def test_address_reassigned_to_another_service(self):
        """An instance was removed and its address reassigned to another service."""
        self.directory.apply_report("h:1", ONE)
        self.directory.apply_record("h:1", ONE._replace(service="t"))
        self.assertEqual(self.directory.find_endpoints("s"), ())
        self.assertEqual(len(self.directory.find_endpoints("t")), 1)

    def test_index_is_rebuilt_once_after_many_records(self):
        """A daemon starts and receives a record of every other one.

        Sorting again after each of thousands would keep it busy for half a minute.
        """
        with unittest.mock.patch.object(
            directory, "sorted", side_effect=sorted, create=True
        ) as sort:
            for number in range(500):
                address = f"h:{number}"
                endpoint = ONE._replace(daemon=address, address=address)
                self.directory.apply_record(address, endpoint)
            self.assertEqual(len(self.directory.find_endpoints("s")), 500)
            self.assertEqual(len(self.directory.all_endpoints), 500)
        self.assertEqual(sort.call_count, 1)

    def test_withdrawn_record_removes_the_report(self):
        self.directory.apply_report("h:1", ONE)
        self.directory.apply_record("h:1", None)
        self.assertEqual(self.directory.addresses, frozenset())

    def test_daemon_without_backend_server_is_not_an_endpoint(self):
        endpoint = directory.build_endpoint("h:2", None, "a", "r")
        self.directory.apply_report("h:2", endpoint)
        self.assertEqual(self.directory.find_endpoints(""), ())
        backend = Backend("i-1", "s", 4)
        self.directory.apply_report(
            "h:2", directory.build_endpoint("h:2", backend, "a", "r")
        )
        self.assertEqual(len(self.directory.find_endpoints("s")), 2)
