"""Tests of the budget of repeats."""

import unittest

from whinwinch import repeats


class RepeatBudgetTest(unittest.TestCase):
    def test_repeats_stay_a_share_of_the_firsts(self):
        """Answers are lost for a while and everybody repeats.

        Without a bound a service that is short of room is asked twice for all.
        """
        budget = repeats.RepeatBudget(0.2)
        taken = 0
        for _ in range(1000):
            budget.note_first()
            taken += budget.take()
        self.assertLessEqual(taken, 0.1 * 1000 + repeats.STOCK)
        self.assertGreaterEqual(taken, 0.09 * 1000)

    def test_quiet_time_saves_up_only_a_few(self):
        budget = repeats.RepeatBudget(0.2)
        for _ in range(1000):
            budget.note_first()
        self.assertEqual(sum(budget.take() for _ in range(100)), int(repeats.STOCK))
