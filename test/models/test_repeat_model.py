"""Tests of what the choice of repeats serves while a service turns down calls."""

import unittest

from test.models import repeat_model

# Share of the most that could be served which is to be served.
MIN_SHARE_OF_BOUND = 0.75


class RepeatModelTest(unittest.TestCase):
    def test_short_budget_serves_most_of_the_root_requests_that_it_could(self):
        """Guards against repeats for root requests that fail at a later call."""
        for calls in (2, 4, 8):
            with self.subTest(calls=calls):
                load = repeat_model.Load(calls)
                result = repeat_model.average(load, repeat_model.tell_calls_left)
                bound = repeat_model.find_bound(calls, load.refused, result.repeats)
                self.assertGreater(result.served, MIN_SHARE_OF_BOUND * bound)

    def test_ample_budget_serves_nearly_all(self):
        """Guards against refusing repeats that the budget has room for."""
        load = repeat_model.Load(4, seconds=2.0, refused=0.3)
        result = repeat_model.average(load, repeat_model.tell_calls_left)
        self.assertGreater(result.served, 0.97)

    def test_bound_is_all_with_a_repeat_for_each_refusal(self):
        refused = 0.5
        self.assertEqual(repeat_model.find_bound(4, refused, 4.0), 1.0)
        self.assertEqual(repeat_model.find_bound(4, refused, 0.0), 0.5**4)


if __name__ == "__main__":
    unittest.main()
