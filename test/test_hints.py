"""Tests of the time that a refused caller is told to wait."""

import unittest

from whinwinch import hints


class HintsTest(unittest.TestCase):
    def test_grows_with_pressure_and_is_capped(self):
        pauses = [hints.choose_retry_after(p, "a") for p in (0.0, 0.5, 0.9, 1.0)]
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], 1.5 * hints.MOST_SECONDS)

    def test_refused_together_do_not_return_together(self):
        """A thousand callers are refused in the same instant.

        Told the same time, they would all be back in one instant and be refused
        again, so that each of them waits for nothing.
        """
        pauses = [hints.choose_retry_after(0.5, str(i)) for i in range(1000)]
        width = (max(pauses) - min(pauses)) / 10
        counts = [0] * 10
        for pause in pauses:
            counts[min(int((pause - min(pauses)) / width), 9)] += 1
        self.assertLess(max(counts), 150)

    def test_caller_comes_back_while_its_answer_is_still_in_time(self):
        """A caller is told to wait longer than its objective allows.

        Its answer would come late and be of little use, for the same work.
        """
        pauses = [hints.fit_retry_after(1.5, 0.8, str(i)) for i in range(200)]
        self.assertLessEqual(max(pauses), 0.8)
        self.assertGreaterEqual(min(pauses), 0.4)
        self.assertGreater(len(set(pauses)), 150)

    def test_pause_that_fits_or_cannot_fit_stays(self):
        self.assertEqual(hints.fit_retry_after(0.3, 0.8, "a"), 0.3)
        self.assertEqual(hints.fit_retry_after(1.5, 0.01, "a"), 1.5)
        self.assertEqual(hints.fit_retry_after(1.5, -2.0, "a"), 1.5)
