"""Tests of what the demo concludes from its results."""

import unittest

from demo import draw, mesh, report, run
from standins import caller, processes, sender, trace

BUDGETS = {"royalties": 1}


def form_sent(request, outcome, status=200, **more):
    return sender.Sent(request, outcome, "", status, 0.1, **more)


def form_result(*sent, key=""):
    return caller.Result(0.0, "royalties", "", "critical", key, 0.0, 0.1, sent)


def list_broken(results, by_key=None, by_request=None):
    promises = report.check_promises(results, by_key or {}, by_request or {}, BUDGETS)
    return [promise.example for promise in promises if promise.broken]


class PromiseTest(unittest.TestCase):
    def test_all_kept(self):
        whole = form_result(form_sent("a", "completed", whole=True, retries=1), key="k")
        refused = form_result(form_sent("b", "not-run", 503))
        self.assertEqual(list_broken([whole, refused], {"k": 1}, {"a": 1}), [])

    def test_payout_run_twice(self):
        """A payout runs at two backend servers and overpays a poet."""
        result = form_result(form_sent("a", "completed", whole=True), key="k")
        self.assertEqual(list_broken([result], {"k": 2}), ["k"])

    def test_not_run_that_ran(self):
        """A caller is told "not run" of a request that a backend server ran."""
        result = form_result(form_sent("a", "not-run", 503), form_sent("b", "unknown"))
        self.assertEqual(list_broken([result], by_request={"a": 1, "b": 1}), ["a"])

    def test_too_many_retries(self):
        """The hops together retry a request more often than its budget allows."""
        result = form_result(form_sent("a", "unknown", 504, retries=2))
        self.assertEqual(list_broken([result]), ["a"])

    def test_answer_that_is_not_whole(self):
        """Half of an answer, or another caller's, is delivered as completed."""
        result = form_result(form_sent("a", "completed"))
        self.assertEqual(list_broken([result]), ["a"])

    def test_lost_payout(self):
        """A payout is reported as done that no backend server ever ran."""
        result = form_result(form_sent("a", "completed", whole=True), key="k")
        self.assertEqual(list_broken([result]), ["k"])

    def test_unknown_stays_unknown_after_a_refusal(self):
        result = form_result(form_sent("a", "unknown", 0), form_sent("b", "not-run"))
        self.assertEqual(report.judge_result(result), "unknown")


class MachineTest(unittest.TestCase):
    def note(self, late):
        result = form_result(form_sent("a", "completed", whole=True))
        results = [result] * (100 - late) + [result._replace(late=1.0)] * late
        return "\n".join(report.form_notes(results))

    def test_busy_machine_is_named(self):
        """Other work holds the processors, so callers send late.

        The table then shows low goodput that no daemon is to blame for.
        """
        self.assertIn("this machine was the limit", self.note(6))
        self.assertNotIn("this machine was the limit", self.note(5))


class OrderTest(unittest.TestCase):
    def list_upset(self, *outcomes):
        results = [
            form_result(form_sent("a", outcome, whole=outcome == "completed"))._replace(
                importance=importance, service="submissions"
            )
            for importance, outcome in outcomes
        ]
        return report.check_order(results, "submissions").example

    def test_important_work_survives(self):
        self.assertEqual(
            self.list_upset(("critical", "completed"), ("low", "not-run")), ""
        )
        self.assertEqual(self.list_upset(("high", "completed")), "")

    def test_important_work_is_shed_first(self):
        """Payouts are refused while poets' refreshes get through."""
        upset = self.list_upset(("critical", "not-run"), ("low", "completed"))
        self.assertEqual(upset, "low above critical")


class TraceTest(unittest.TestCase):
    def test_recorded_trace_is_the_drawn_one(self):
        drawn = "".join(trace.write_trace(draw.draw_trace()))
        self.assertEqual(run.TRACE.read_text(), drawn)

    def test_results_of_another_phase(self):
        """Results of the phase before are read as this one's.

        The table then shows more whole requests than the service can carry.
        """
        phase = run.Phase("ordinary", "", 1.0, 12.0)
        count = len(run.TRACE.read_text().splitlines())
        run.check_count([None] * count, phase)
        with self.assertRaisesRegex(processes.NotReady, f"{count + 1} results"):
            run.check_count([None] * (count + 1), phase)

    def test_overload_is_three_times_the_capacity(self):
        requests = trace.read_trace(run.TRACE.read_text().splitlines())
        wanted = [each for each in requests if "submissions" in str(each)]
        rate = len(wanted) / trace.find_length(requests) * run.find_overload(requests)
        capacity = {each.name: each.capacity for each in mesh.SERVICES}["submissions"]
        self.assertAlmostEqual(rate, 3 * capacity)
