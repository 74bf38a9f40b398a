"""Tests of the calls that requests of one route make."""

import unittest

from whinwinch import callpatterns


class CallPatternTest(unittest.TestCase):
    def setUp(self):
        self.pattern = callpatterns.CallPattern()
        for _ in range(60):
            self.pattern.record_end(4, True)

    def test_number_of_calls_follows_requests_that_succeed(self):
        self.assertTrue(self.pattern.has_more(3))
        self.assertFalse(self.pattern.has_more(4))
        for _ in range(200):
            self.pattern.record_end(2, True)
        self.assertFalse(self.pattern.has_more(2))

    def test_number_of_calls_stands_while_many_requests_fail(self):
        """Guards against learning from the few requests that come through."""
        for number in range(300):
            self.pattern.record_end(number % 2, number % 2 == 0)
        self.assertAlmostEqual(self.pattern.calls, 4.0, delta=0.5)

    def test_routes_beyond_the_limit_are_forgotten(self):
        patterns = callpatterns.CallPatterns()
        first = patterns.find("r0")
        for number in range(callpatterns.MAX_PATTERNS):
            patterns.find(f"r{number + 1}")
        self.assertIsNot(patterns.find("r0"), first)


if __name__ == "__main__":
    unittest.main()
