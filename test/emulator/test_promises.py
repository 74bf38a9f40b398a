"""Tests that each promise is found broken where it is."""

import unittest

from emulator import backend, caller, promises, troubles
from whinwinch import repeats

TERMS = repeats.RepeatLimits(0.2, 2.0, 10.0)


def build_server(service="front"):
    """Return a backend server that has run nothing."""
    return backend.Backend(f"i-{service}", service, 4, {})


def build_run(request, method="GET", calling="front"):
    """Return a run of a request."""
    return backend.Run(request, method, "/read/1", b"", calling)


def build_told(request, status, whole=False):
    """Return what the caller of one request was told."""
    return caller.Told((request,), (status,), 0.1, whole, 0.0)


class PromisesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = build_server()
        self.other = build_server("deep")
        self.told = [build_told("a", 200, whole=True)]
        self.server.runs.append(build_run("a"))
        self.left = []

    def find(self):
        """Return the names of the promises that are found broken."""
        servers = (self.server, self.other)
        seen = promises.Seen(tuple(self.told), servers, tuple(self.left), TERMS)
        return {each.promise for each in promises.find_broken(seen)}

    async def test_nothing_is_broken(self):
        self.assertEqual(self.find(), set())

    async def test_unsafe_work_that_ran_twice(self):
        self.told.append(build_told("pay", 502))
        self.server.runs += [build_run("pay", "POST"), build_run("pay", "POST")]
        self.assertEqual(self.find(), {"unsafe work runs once"})

    async def test_safe_work_may_run_twice(self):
        self.server.runs.append(build_run("a"))
        self.assertEqual(self.find(), set())

    async def test_refused_work_that_ran(self):
        self.told.append(build_told("b", 503))
        self.server.runs.append(build_run("b"))
        self.assertEqual(self.find(), {"refused work has not run"})

    async def test_refused_work_that_ran_when_asked_again(self):
        again = caller.Told(("b", "c"), (503, 200), 0.2, True, 0.0)
        self.told.append(again)
        self.server.runs.append(build_run("c"))
        self.assertEqual(self.find(), set())

    async def test_part_of_an_answer(self):
        self.told.append(build_told("b", 200))
        self.assertEqual(self.find(), {"answers are whole and the caller's own"})

    async def test_too_many_attempts(self):
        self.server.runs += [build_run("a"), build_run("a")]
        self.assertEqual(self.find(), {"attempts are bounded"})

    async def test_request_that_nobody_sent(self):
        self.server.runs.append(build_run("forged"))
        self.assertEqual(self.find(), {"only what was asked for runs"})

    async def test_call_that_names_another_service(self):
        self.server.parents["call-1"] = "a"
        self.other.runs.append(build_run("call-1", calling="elsewhere"))
        expected = {"calls name the service that makes them"}
        self.assertEqual(self.find(), expected)

    async def test_work_for_a_backend_server_that_has_left(self):
        left = troubles.Left(self.server)
        left.runs = 0
        self.left.append(left)
        expected = {"a leaving backend server gets nothing more"}
        self.assertEqual(self.find(), expected)

    async def test_more_repeats_than_allowed(self):
        for number in range(4):
            request = f"r{number}"
            self.told.append(build_told(request, 200, whole=True))
            self.server.runs += [build_run(request), build_run(request)]
        self.assertEqual(self.find(), {"repeats stay within the budget"})
