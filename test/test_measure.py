"""Tests of the simulated overload scenarios, in short runs.

The bounds are wider than the targets of ``make measure``: in a shorter run the
initial surge has a greater effect.
"""

import math
import unittest

from bench import fakes, measure, scenarios

SECONDS = 4.0
SEED = 11


def run(plan):
    return fakes.run_plan(plan, True)


def get_values(figures):
    return {figure.name: figure.value for figure in figures}


class OverloadTest(unittest.TestCase):
    def test_overload_of_a_deep_chain(self):
        """Demand is five times the capacity of the last of six services.

        Guards against a collapse of goodput: services spend their time on requests
        that fail further down the call graph.
        """
        plan = scenarios.plan_overload(6, 5, SECONDS, seed=SEED)
        values = get_values(measure.evaluate_overload(plan, run))
        self.assertGreater(values["goodput of capacity"], 0.92)
        self.assertLess(values["wasted work"], 0.08)
        self.assertLess(values["1 s goodput off its mean"], 0.2)

    def test_important_requests_complete(self):
        """Critical requests share an overloaded mesh with many normal ones.

        If all were shed alike, most critical requests would fail.
        """
        plan = scenarios.plan_importance(3, SECONDS, seed=SEED)
        values = get_values(measure.evaluate_importance(plan, run))
        self.assertGreaterEqual(values["important completed"], 0.999)

    def test_goodput_comes_back(self):
        """An overload ends while clients still retry.

        Without control, retries keep goodput near zero although demand is low.
        """
        plan = scenarios.plan_recovery(3, 2 * SECONDS, seed=SEED)
        values = get_values(measure.evaluate_recovery(plan, scenarios.WORK, run))
        self.assertLess(values["recovery"], 1.5)

    def test_baseline_does_not_come_back(self):
        plan = scenarios.plan_recovery(3, 2 * SECONDS, seed=SEED)
        result = fakes.run_plan(plan, False)
        self.assertEqual(measure.find_recovery(result, SECONDS), math.inf)

    def test_hot_caller_leaves_the_others_alone(self):
        """One caller sends twenty times its share of requests.

        Guards against refusing the nine other callers, which send half their share.
        """
        plan = scenarios.plan_hot("caller", SECONDS, seed=SEED)
        values = get_values(measure.evaluate_hot(plan, run))
        self.assertGreater(values["others completed"], 0.97)


class EndpointTest(unittest.TestCase):
    def evaluate(self, fault, seconds):
        usual = scenarios.plan_endpoint(None, 0.5, seconds, seed=SEED)
        plan = scenarios.plan_endpoint(fault, 0.5, seconds, seed=SEED)
        return get_values(measure.evaluate_endpoint(plan, usual, run))

    def test_slow_endpoint_does_not_show(self):
        """One of four endpoints is ten times slower.

        Without detection every fourth request would be late and time out.
        """
        # Each daemon detects the slow endpoint only after sending it requests.
        # In a run of 4 s these are already nearly 1 % of all requests.
        values = self.evaluate(fakes.Fault(slowdown=10.0), 2 * SECONDS)
        self.assertLess(values["p99 to that without"], 1.3)

    def test_endpoint_that_fails_at_once_attracts_no_work(self):
        """One of four endpoints immediately answers every request with an error.

        As it always looks idle, it would receive and fail most requests.
        """
        values = self.evaluate(fakes.Fault(failing=True), SECONDS)
        self.assertGreaterEqual(values["completed"], 0.999)
