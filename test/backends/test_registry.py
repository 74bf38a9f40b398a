"""Tests of the registration of the local backend server."""

import unittest

from whinwinch import errors
from whinwinch.backends import registry

DOCUMENT = {
    "service": "catalog",
    "address": "127.0.0.1:8000",
    "slots": 70,
    "connections": 500,
    "health": "/health",
}


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registry.Registry(lease=3.0)
        self.announcement = registry.check_announcement(DOCUMENT)

    def test_a_renewal_changes_nothing_but_the_lease(self):
        self.assertTrue(self.registry.announce(self.announcement, 0.0))
        self.assertFalse(self.registry.announce(self.announcement, 2.0))
        self.assertFalse(self.registry.expire(4.9))

    def test_a_backend_server_that_stops_announcing_is_removed(self):
        """Guards against accepting work for a backend server that was killed.

        It sends no withdrawal. Without the lease its daemon would go on accepting
        work, and callers would get one broken answer after another.
        """
        self.registry.announce(self.announcement, 0.0)
        self.assertTrue(self.registry.expire(3.0))
        self.assertIsNone(self.registry.announcement)
        self.assertFalse(self.registry.expire(4.0))

    def test_all_findings_are_reported_at_once(self):
        wrong = {"service": "", "address": "x", "slots": True, "more": 1}
        with self.assertRaises(errors.InputErrors) as caught:
            registry.check_announcement(wrong)
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(["service", "address", "slots", "connections", "more"], places)

    def test_a_document_that_is_not_an_object_is_rejected(self):
        with self.assertRaises(errors.InputErrors):
            registry.check_announcement([])


if __name__ == "__main__":
    unittest.main()
