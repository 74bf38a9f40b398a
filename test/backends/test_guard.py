"""Tests of the only way to a backend server."""

import asyncio
import unittest

from whinwinch import callgraph, repeats
from whinwinch.backends import guard
from whinwinch.http1 import messages as http
from whinwinch.http1 import server
from whinwinch.messages import Answer, Importance, Outcome, Reason, Request
from whinwinch.settings import Address

BACKEND = guard.Backend("i-1", "s", 2)


def form(request, left, identity):
    return http.format_request(http.HttpRequest("GET", f"/{request.attempt}"), "h")


def judge(request, response):
    return Answer(request.attempt, Outcome.COMPLETED, body=response.body, offered=True)


class GuardTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.begun = []
        self.ended = []
        self.hold = asyncio.Event()
        self.backend = server.Server(self.answer, server.Limits())
        port = await self.backend.listen("127.0.0.1", 0)
        self.wait = 5.0
        self.guard = guard.Guard(
            Address("127.0.0.1", port),
            guard.Dialect(form, judge, lambda request, response: True),
            repeats.RepeatBudget(
                repeats.RepeatLimits(0.2, 3.0, 10.0),
                lambda: 1,
                asyncio.get_running_loop().time() - 10.0,
            ),
            lambda request: self.wait,
            callgraph.CallGraph(),
        )
        self.guard.install(BACKEND)
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.hold.set()
        self.backend.abort()
        self.guard.close()
        await asyncio.sleep(0.02)

    async def answer(self, request, peer):
        self.begun.append(request.target)
        await self.hold.wait()
        self.ended.append(request.target)
        return http.HttpResponse(200, "OK", (), request.target.encode())

    def start(self, name, seconds=5.0, **changed):
        deadline = asyncio.get_running_loop().time() + seconds
        request = Request(
            name, name, "s", "c", "GET", "/", Importance.NORMAL, deadline
        )._replace(**changed)
        return asyncio.create_task(self.guard.serve(request))

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)

    async def fill(self):
        tasks = [self.start(f"full{number}") for number in range(2)]
        await self.wait_until(lambda: len(self.begun) == 2)
        return tasks

    async def test_no_more_inside_than_it_has_slots(self):
        """Work is asked for beyond the slots; inside, its order could not be kept."""
        await self.fill()
        waiting = self.start("third")
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.begun), 2)
        self.hold.set()
        self.assertEqual((await waiting).body, b"/third")

    async def test_wait_has_an_end(self):
        await self.fill()
        self.wait = 0.05
        answer = await self.start("third")
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(answer.reason, Reason.DEADLINE)
        self.assertEqual(len(self.begun), 2)

    async def test_what_waits_is_refused_when_the_backend_server_leaves(self):
        """A backend server drains while requests wait for it.

        Kept waiting, they would go in after its leave was acknowledged.
        """
        running = await self.fill()
        waiting = self.start("third")
        await asyncio.sleep(0.02)
        self.guard.install(BACKEND._replace(leaving=True))
        answer = await waiting
        self.assertEqual(
            (answer.outcome, answer.reason), (Outcome.NOT_RUN, Reason.LEAVING)
        )
        self.hold.set()
        answers = await asyncio.gather(*running)
        self.assertTrue(all(each.outcome is Outcome.COMPLETED for each in answers))

    async def test_caller_that_leaves_gives_its_place_back(self):
        """Requests that wait are given up; their places must not stay taken."""
        await self.fill()
        gone = [self.start(f"gone{number}") for number in range(3)]
        await asyncio.sleep(0.02)
        for task in gone:
            task.cancel()
        waiting = self.start("third")
        await asyncio.sleep(0.02)
        self.hold.set()
        self.assertEqual((await waiting).body, b"/third")
        self.assertFalse(any("gone" in target for target in self.begun))
        self.assertEqual(self.guard.load().waiting, 0)

    async def test_safe_work_stops_when_its_caller_leaves(self):
        running = await self.fill()
        for task in running:
            task.cancel()
        await self.wait_until(lambda: not self.guard.running)
        await self.wait_until(lambda: not self.backend.connections)
        self.hold.set()
        await asyncio.sleep(0.02)
        self.assertEqual(self.ended, [])

    async def test_unsafe_work_runs_to_its_end(self):
        """The caller of a payout leaves while it is being made.

        Broken off, it is perhaps half made, and nobody learns of it.
        """
        task = self.start("pay", repeatable=False)
        await self.wait_until(lambda: self.begun)
        task.cancel()
        await asyncio.sleep(0.02)
        self.hold.set()
        await self.wait_until(lambda: self.ended)
        await self.wait_until(lambda: not self.guard.running)

    async def test_not_run_where_there_is_no_backend_server(self):
        for backend in (None, BACKEND._replace(leaving=True)):
            self.guard.install(backend)
            answer = await self.start("x")
            self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.guard.install(BACKEND)
        answer = await self.start("x", service="another")
        self.assertEqual(answer.reason, Reason.NO_ENDPOINT)
        self.assertEqual(self.begun, [])

    async def test_repeats_beyond_the_budget_are_not_run(self):
        """Everybody repeats lost work; a service short of room gets twice as much."""
        self.hold.set()
        answers = [await self.start(f"r{n}", again=True) for n in range(9)]
        refused = [each for each in answers if each.reason is Reason.REPEATS]
        self.assertGreaterEqual(len(refused), 6)
        self.assertTrue(all(each.outcome is Outcome.NOT_RUN for each in refused))

    async def test_backend_server_that_is_gone(self):
        """Its process has ended; what found no connection was not run."""
        self.backend.abort()
        await asyncio.sleep(0.02)
        answer = await self.start("x")
        self.assertEqual(
            (answer.outcome, answer.reason), (Outcome.NOT_RUN, Reason.NOT_SENT)
        )

    async def test_no_answer_by_the_deadline(self):
        answer = await self.start("slow", 0.1)
        self.assertEqual((answer.outcome, answer.status), (Outcome.UNKNOWN, 504))
