"""Tests of the guarantees, the reports and the trace of the demo."""

import unittest

from demo import draw, mesh, report, run
from standins import caller, processes, sender, trace

BUDGETS = {"royalties": 1}


def build_sent(request, outcome, status=200, **more):
    return sender.Sent(request, outcome, "", status, 0.1, **more)


def build_result(*sent, key=""):
    return caller.Result(0.0, "royalties", "", "critical", key, 0.0, 0.1, sent)


def list_violations(results, by_key=None, by_request=None):
    guarantees = report.check_guarantees(
        results, by_key or {}, by_request or {}, BUDGETS
    )
    return [guarantee.example for guarantee in guarantees if guarantee.violations]


class GuaranteeTest(unittest.TestCase):
    def test_no_violation(self):
        whole = build_result(
            build_sent("a", "completed", whole=True, retries=1), key="k"
        )
        refused = build_result(build_sent("b", "not-run", 503))
        self.assertEqual(list_violations([whole, refused], {"k": 1}, {"a": 1}), [])

    def test_payout_run_twice(self):
        """A payout runs at two backend servers, so that a poet is paid twice."""
        result = build_result(build_sent("a", "completed", whole=True), key="k")
        self.assertEqual(list_violations([result], {"k": 2}), ["k"])

    def test_not_run_that_ran(self):
        """A request is reported as not run although a backend server ran it."""
        result = build_result(
            build_sent("a", "not-run", 503), build_sent("b", "unknown")
        )
        self.assertEqual(list_violations([result], by_request={"a": 1, "b": 1}), ["a"])

    def test_too_many_retries(self):
        """All hops together retry a request more often than its budget allows."""
        result = build_result(build_sent("a", "unknown", 504, retries=2))
        self.assertEqual(list_violations([result]), ["a"])

    def test_incomplete_answer(self):
        """A truncated answer, or one to another request, is delivered as completed."""
        result = build_result(build_sent("a", "completed"))
        self.assertEqual(list_violations([result]), ["a"])

    def test_lost_payout(self):
        """A payout is reported as completed although no backend server ran it."""
        result = build_result(build_sent("a", "completed", whole=True), key="k")
        self.assertEqual(list_violations([result]), ["k"])

    def test_unknown_stays_unknown_after_a_refusal(self):
        result = build_result(build_sent("a", "unknown", 0), build_sent("b", "not-run"))
        self.assertEqual(report.classify_result(result), "unknown")


class MachineTest(unittest.TestCase):
    def format_with_late(self, late):
        result = build_result(build_sent("a", "completed", whole=True))
        results = [result] * (100 - late) + [result._replace(late=1.0)] * late
        return "\n".join(report.format_notes(results))

    def test_busy_machine_is_reported(self):
        """Other processes occupy the processors, so that callers send late.

        The table then shows a low goodput that the daemons don't cause.
        """
        self.assertIn("this machine was the limit", self.format_with_late(6))
        self.assertNotIn("this machine was the limit", self.format_with_late(5))


class OrderTest(unittest.TestCase):
    def find_violation(self, *outcomes):
        results = [
            build_result(
                build_sent("a", outcome, whole=outcome == "completed")
            )._replace(importance=importance, service="submissions")
            for importance, outcome in outcomes
        ]
        return report.check_order(results, "submissions").example

    def test_more_important_work_completes_first(self):
        self.assertEqual(
            self.find_violation(("critical", "completed"), ("low", "not-run")), ""
        )
        self.assertEqual(self.find_violation(("high", "completed")), "")

    def test_more_important_work_is_shed_first(self):
        """Critical payouts are refused while requests of low importance complete."""
        example = self.find_violation(("critical", "not-run"), ("low", "completed"))
        self.assertEqual(example, "low above critical")


class TraceTest(unittest.TestCase):
    def test_recorded_trace_equals_the_generated_one(self):
        drawn = "".join(trace.write_trace(draw.draw_trace()))
        self.assertEqual(run.TRACE.read_text(), drawn)

    def test_results_of_another_phase(self):
        """Results of the previous phase are read as results of this phase.

        The table then shows more completed requests than the service's capacity.
        """
        phase = run.Phase("ordinary", "", 1.0, 12.0)
        count = len(run.TRACE.read_text().splitlines())
        run.check_result_count([None] * count, phase)
        with self.assertRaisesRegex(processes.NotReady, f"{count + 1} results"):
            run.check_result_count([None] * (count + 1), phase)

    def test_overload_is_three_times_the_capacity(self):
        requests = trace.read_trace(run.TRACE.read_text().splitlines())
        needed_requests = [each for each in requests if "submissions" in str(each)]
        rate = (
            len(needed_requests)
            / trace.find_length(requests)
            * run.get_overload_rate(requests)
        )
        capacity = {each.name: each.capacity for each in mesh.SERVICES}["submissions"]
        self.assertAlmostEqual(rate, 3 * capacity)
