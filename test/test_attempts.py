"""Tests for the memory of attempts."""

import unittest

from whinwinch import attempts


class AttemptsTest(unittest.TestCase):
    def test_a_doubled_message_is_noticed(self):
        """The network delivers one message twice.

        Both copies would run, and the caller would find its work done twice.
        """
        known = attempts.Attempts(keep=60.0)
        self.assertTrue(known.note("a", 0.0))
        self.assertFalse(known.note("a", 59.0))

    def test_the_memory_is_bounded_by_time(self):
        known = attempts.Attempts(keep=60.0)
        for number in range(1000):
            known.note(str(number), float(number))
        self.assertLessEqual(len(known), 61)


if __name__ == "__main__":
    unittest.main()
