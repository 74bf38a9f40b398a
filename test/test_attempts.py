"""Tests for the duplicate detection of attempts."""

import unittest

from whinwinch import attempts


class AttemptsTest(unittest.TestCase):
    def test_duplicate_message_is_detected(self):
        """The network delivers one message twice.

        Without detection both copies would run, and the work would be done twice.
        """
        recent = attempts.AttemptHistory(retention=60.0)
        self.assertTrue(recent.record("a", 0.0))
        self.assertFalse(recent.record("a", 59.0))

    def test_old_attempts_are_forgotten(self):
        recent = attempts.AttemptHistory(retention=60.0)
        for number in range(1000):
            recent.record(str(number), float(number))
        self.assertLessEqual(len(recent), 61)


if __name__ == "__main__":
    unittest.main()
