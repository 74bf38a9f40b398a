"""Tests that the violation of each guarantee is detected."""

import unittest

from emulator import backend, caller, disruptions, guarantees
from whinwinch import repeats
from whinwinch.workspaces.quotas import QuotaTerms
from whinwinch.workspaces.registry import Quota

TERMS = repeats.RepeatLimits(0.2, 2.0, 10.0)


def build_server(service="front"):
    """Return a backend server without any runs."""
    return backend.Backend(f"i-{service}", service, 4, {})


def build_run(request, method="GET", calling_service="front"):
    """Return a `backend.Run` of a request."""
    return backend.Run(request, method, "/read/1", b"", calling_service)


def build_result(request, status, whole=False):
    """Return the `caller.CallerResult` of a request with one attempt."""
    return caller.CallerResult((request,), (status,), 0.1, whole, 0.0)


class GuaranteesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = build_server()
        self.other = build_server("deep")
        self.results = [build_result("a", 200, whole=True)]
        self.server.runs.append(build_run("a"))
        self.left = []

    def find(self):
        """Return the names of the violated guarantees."""
        servers = (self.server, self.other)
        observations = guarantees.Observations(
            tuple(self.results),
            servers,
            tuple(self.left),
            TERMS,
            {"key-of-w": "w"},
            {"w": Quota(1.0, 2.0)},
            QuotaTerms(5.0, 0.0, 1.0),
        )
        return {each.guarantee for each in guarantees.find_violations(observations)}

    async def test_no_violation(self):
        self.assertEqual(self.find(), set())

    def run_for_workspace(self, request, workspace="w", time=0.0, credentials=""):
        """Record a request with the key of the workspace w and its run."""
        result = build_result(request, 200, whole=True)._replace(key="key-of-w")
        self.results.append(result)
        run = build_run(request)._replace(
            workspace=workspace, time=time, credentials=credentials
        )
        self.server.runs.append(run)

    async def test_run_for_another_workspace(self):
        self.run_for_workspace("b")
        self.assertEqual(self.find(), set())
        self.run_for_workspace("c", "v")
        self.assertEqual(self.find(), {"runs name the workspace that holds the key"})

    async def test_run_of_a_workspace_without_its_key(self):
        self.server.runs[0] = self.server.runs[0]._replace(workspace="w")
        self.assertEqual(self.find(), {"runs name the workspace that holds the key"})

    async def test_key_that_reached_a_backend_server(self):
        self.run_for_workspace("b", credentials="Bearer key-of-w")
        self.assertEqual(self.find(), {"keys don't reach backend servers"})

    async def test_more_requests_of_a_workspace_than_its_quota(self):
        for number in range(8):
            self.run_for_workspace(f"w{number}", time=0.5 * number)
        self.assertEqual(self.find(), set())
        self.run_for_workspace("late", time=5.1)
        self.assertEqual(self.find(), set())
        self.run_for_workspace("early", time=3.6)
        self.assertEqual(self.find(), {"quotas hold over all daemons"})

    async def test_unsafe_work_that_ran_twice(self):
        self.results.append(build_result("pay", 502))
        self.server.runs += [build_run("pay", "POST"), build_run("pay", "POST")]
        self.assertEqual(self.find(), {"unsafe work runs once"})

    async def test_safe_work_may_run_twice(self):
        self.server.runs.append(build_run("a"))
        self.assertEqual(self.find(), set())

    async def test_refused_work_that_ran(self):
        self.results.append(build_result("b", 503))
        self.server.runs.append(build_run("b"))
        self.assertEqual(self.find(), {"refused work has not run"})

    async def test_refused_work_that_ran_when_retried(self):
        again = caller.CallerResult(("b", "c"), (503, 200), 0.2, True, 0.0)
        self.results.append(again)
        self.server.runs.append(build_run("c"))
        self.assertEqual(self.find(), set())

    async def test_incomplete_answer(self):
        self.results.append(build_result("b", 200))
        self.assertEqual(self.find(), {"answers are whole and the caller's own"})

    async def test_too_many_attempts(self):
        self.server.runs += [build_run("a"), build_run("a")]
        self.assertEqual(self.find(), {"attempts are bounded"})

    async def test_request_that_nobody_sent(self):
        self.server.runs.append(build_run("forged"))
        self.assertEqual(self.find(), {"only requests that were sent run"})

    async def test_call_that_names_another_service(self):
        self.server.parents["call-1"] = "a"
        self.other.runs.append(build_run("call-1", calling_service="elsewhere"))
        expected = {"calls name the service that makes them"}
        self.assertEqual(self.find(), expected)

    async def test_work_for_a_backend_server_that_has_left(self):
        left = disruptions.DrainingBackend(self.server)
        left.runs = 0
        self.left.append(left)
        expected = {"a leaving backend server gets nothing more"}
        self.assertEqual(self.find(), expected)

    async def test_more_repeats_than_allowed(self):
        for number in range(4):
            request = f"r{number}"
            self.results.append(build_result(request, 200, whole=True))
            self.server.runs += [build_run(request), build_run(request)]
        self.assertEqual(self.find(), {"repeats stay within the budget"})
