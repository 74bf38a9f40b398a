"""Tests of the memory of connections on which requests were turned down."""

import unittest

from whinwinch.backends import refusals


class RefusalMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = refusals.RefusalMemory(max_requests=3)

    def test_connections_of_a_request_add_up(self):
        self.memory.record("q1", 4, expires=5.0, now=0.0)
        self.memory.record("q1", 7, expires=5.0, now=0.1)
        self.assertEqual(self.memory.find_connections("q1"), {4, 7})
        self.assertEqual(self.memory.find_connections("q2"), frozenset())

    def test_full_memory_says_so_until_requests_expire(self):
        """Guards against memory that grows with the refusals, and forgotten ones."""
        for number in range(3):
            self.assertTrue(self.memory.record(f"q{number}", 1, 5.0, 0.0))
        self.assertFalse(self.memory.record("q3", 1, 5.0, 0.0))
        self.assertTrue(self.memory.record("q0", 2, 5.0, 0.0))
        self.assertEqual(self.memory.find_connections("q0"), {1, 2})
        self.assertTrue(self.memory.record("q3", 1, 9.0, 5.0))
        self.assertEqual(len(self.memory), 1)

    def test_long_identifier_is_not_remembered(self):
        """Guards against callers that fill the memory with their identifiers."""
        long = "q" * (refusals.MAX_IDENTIFIER_CHARACTERS + 1)
        self.assertFalse(self.memory.record(long, 1, expires=5.0, now=0.0))
        self.assertEqual(len(self.memory), 0)

    def test_requests_are_kept_until_their_last_deadline(self):
        self.memory.record("q1", 1, expires=5.0, now=0.0)
        self.memory.record("q1", 2, expires=9.0, now=1.0)
        self.memory.record("q2", 3, expires=20.0, now=6.0)
        self.assertEqual(self.memory.find_connections("q1"), {1, 2})


if __name__ == "__main__":
    unittest.main()
