"""Tests of the pause requested from a refused caller before its retry."""

import unittest

from whinwinch import hints


class HintsTest(unittest.TestCase):
    def test_grows_with_pressure_and_is_capped(self):
        pauses = [hints.choose_retry_after(p, "a") for p in (0.0, 0.5, 0.9, 1.0)]
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], 1.5 * hints.MAX_PAUSE_SECONDS)

    def test_callers_refused_together_do_not_return_together(self):
        """A thousand callers are refused at the same instant.

        With equal pauses they would all return at one instant and be refused again, so
        that each of them waits for nothing.
        """
        pauses = [hints.choose_retry_after(0.5, str(i)) for i in range(1000)]
        width = (max(pauses) - min(pauses)) / 10
        counts = [0] * 10
        for pause in pauses:
            counts[min(int((pause - min(pauses)) / width), 9)] += 1
        self.assertLess(max(counts), 150)

    def test_caller_retries_while_its_answer_can_be_in_time(self):
        """The suggested pause is longer than the objective of the caller allows.

        After that pause its answer would be late and of little use, for the same work.
        """
        pauses = [hints.fit_retry_after(1.5, 0.8, str(i)) for i in range(200)]
        self.assertLessEqual(max(pauses), 0.8)
        self.assertGreaterEqual(min(pauses), 0.4)
        self.assertGreater(len(set(pauses)), 150)

    def test_pause_that_fits_or_cannot_fit_is_kept(self):
        self.assertEqual(hints.fit_retry_after(0.3, 0.8, "a"), 0.3)
        self.assertEqual(hints.fit_retry_after(1.5, 0.01, "a"), 1.5)
        self.assertEqual(hints.fit_retry_after(1.5, -2.0, "a"), 1.5)
