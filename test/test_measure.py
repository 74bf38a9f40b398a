"""Short runs of the measured scenarios, judged by what callers receive.

The bounds are wider than the targets, as the runs are shorter: the surge at
their start weighs more. ``make measure`` holds the targets.
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
        """Demand is five times what the last of six services carries.

        Readers see pages that never load while every service is busy.
        """
        plan = scenarios.plan_overload(6, 5, SECONDS, seed=SEED)
        values = get_values(measure.judge_overload(plan, run))
        self.assertGreater(values["goodput of capacity"], 0.92)
        self.assertLess(values["wasted work"], 0.08)
        self.assertLess(values["1 s goodput off its mean"], 0.2)

    def test_important_requests_complete(self):
        """Notifications share an overloaded mesh with refreshing readers.

        Shed alike, most notifications would fail.
        """
        plan = scenarios.plan_importance(3, SECONDS, seed=SEED)
        values = get_values(measure.judge_importance(plan, run))
        self.assertGreaterEqual(values["important completed"], 0.999)

    def test_goodput_comes_back(self):
        """An overload ends while its clients still retry.

        Without control goodput stays near nothing though demand is low.
        """
        plan = scenarios.plan_recovery(3, 2 * SECONDS, seed=SEED)
        values = get_values(measure.judge_recovery(plan, scenarios.WORK, run))
        self.assertLess(values["recovery"], 1.5)

    def test_baseline_does_not_come_back(self):
        plan = scenarios.plan_recovery(3, 2 * SECONDS, seed=SEED)
        result = fakes.run_plan(plan, False)
        self.assertEqual(measure.find_recovery(result, SECONDS), math.inf)

    def test_hot_caller_leaves_the_others_alone(self):
        """One caller asks twenty times its share.

        The other nine are refused with it, though they ask for little.
        """
        plan = scenarios.plan_hot("caller", SECONDS, seed=SEED)
        values = get_values(measure.judge_hot(plan, run))
        self.assertGreater(values["others completed"], 0.97)


class EndpointTest(unittest.TestCase):
    def judge(self, fault, seconds):
        usual = scenarios.plan_endpoint(None, 0.5, seconds, seed=SEED)
        plan = scenarios.plan_endpoint(fault, 0.5, seconds, seed=SEED)
        return get_values(measure.judge_endpoint(plan, usual, run))

    def test_slow_endpoint_does_not_show(self):
        """One of four endpoints is ten times slower.

        Every fourth request is late, and its caller gives up.
        """
        # Each daemon has to meet the endpoint before it knows it: in a run of
        # 4 s that alone is near one request in a hundred.
        values = self.judge(fakes.Fault(slower=10.0), 2 * SECONDS)
        self.assertLess(values["p99 to that without"], 1.3)

    def test_endpoint_that_fails_at_once_attracts_no_work(self):
        """One of four endpoints answers an error at once.

        It always looks idle, so it would get most requests and fail them.
        """
        values = self.judge(fakes.Fault(failing=True), SECONDS)
        self.assertGreaterEqual(values["completed"], 0.999)
