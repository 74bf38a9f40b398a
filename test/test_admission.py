"""Tests of the inferred demand and the admission levels."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import admission

COUNT = admission.IMPORTANCE_COUNT
RATES = st.lists(st.floats(0.0, 1000.0), min_size=COUNT, max_size=COUNT)


def build_rates(*rates):
    """Return the rates of the lowest importances, and 0 for the others."""
    return [*rates, *(COUNT - len(rates)) * [0.0]]


class FindLevelsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(RATES, min_size=1, max_size=5), st.floats(0.0, 3000.0))
    def test_admits_as_much_demand_as_fits(self, rates, capacity):
        levels = admission.find_levels([(each, 1) for each in rates], capacity)
        admitted = 0.0
        for level, each in zip(levels, rates, strict=True):
            for index, rate in enumerate(each):
                admitted += rate * min(max(index + 1 - level, 0.0), 1.0)
        wanted = sum(map(sum, rates))
        self.assertAlmostEqual(admitted, min(wanted, capacity), places=3)

    def test_most_important_class_is_cut_last(self):
        (level,) = admission.find_levels(
            [(build_rates(100.0, 100.0, 0.0, 50.0), 1)], 100.0
        )
        self.assertAlmostEqual(level, 1.5)

    def test_hot_group_cannot_take_the_share_of_others(self):
        """One of ten callers requests twice the capacity.

        A common level would refuse half of the requests of the nine others.
        """
        others = build_rates(0.0, 45.0), 9
        hot = build_rates(0.0, 200.0), 1
        levels = admission.find_levels([others, hot], 100.0)
        self.assertEqual(levels[0], 1.0)
        self.assertAlmostEqual(levels[1], 2.0 - 55.0 / 200.0)


class DemandTest(unittest.TestCase):
    def test_infers_the_whole_demand_despite_a_level(self):
        rng = random.Random(3)
        demand = admission.Demand(0.0)
        now = 0.0
        for _ in range(20000):
            now += rng.expovariate(2000.0)
            demand.record_level(1.8, now)
            rank = 1.0 + rng.random()
            if rank >= 1.8:
                demand.record(rank, now)
        self.assertAlmostEqual(demand.rates(now)[1], 2000.0, delta=200.0)

    def test_detects_a_surge_within_a_quarter_of_a_second(self):
        rng = random.Random(3)
        demand = admission.Demand(0.0)
        now = 0.0
        while now < 5.25:
            now += rng.expovariate(100.0 if now < 5.0 else 1000.0)
            demand.record(1.0 + rng.random(), now)
        self.assertGreater(demand.rates(now)[1], 400.0)
