"""Tests of admission and forwarding to one backend server."""

import asyncio
import unittest
import unittest.mock

from test import requests
from whinwinch import callgraph, crashes, repeats, stopwindow
from whinwinch.backends import guard, interface
from whinwinch.http1 import messages as http
from whinwinch.http1 import server
from whinwinch.messages import Answer, Outcome, Reason, Refusal
from whinwinch.settings import Address

BACKEND = interface.Backend("i-1", "s", 2)


def form(request, left, identity):
    return http.format_request(http.HttpRequest("GET", f"/{request.attempt}"), "h")


def judge(request, response):
    return Answer(
        request.attempt, Outcome.COMPLETED, body=response.body, reached_backend=True
    )


class GuardTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.started = []
        self.ended = []
        self.crashes = []
        self.notice = interface.Notice()
        self.leaves = []
        self.endpoints = 2
        self.history = crashes.CrashHistory()
        self.hold = asyncio.Event()
        self.backend = server.Server(self.answer, server.Limits())
        port = await self.backend.listen("127.0.0.1", 0)
        self.wait = 5.0
        self.stop_window = stopwindow.StopWindow()
        self.port = port
        self.guard = self.build_guard(port)
        self.guard.install(BACKEND)
        self.addAsyncCleanup(self.end)

    def build_guard(self, port):
        return guard.Guard(
            Address("127.0.0.1", port),
            interface.Dialect(
                form,
                judge,
                lambda request, response: True,
                lambda response: self.notice,
                lambda headers: http.find_header(headers, "x-request-id"),
            ),
            repeats.RepeatBudget(
                repeats.RepeatLimits(0.2, 3.0, 10.0),
                lambda: 1,
                asyncio.get_running_loop().time() - 10.0,
            ),
            lambda request: self.wait,
            callgraph.CallGraph(),
            lambda: self.endpoints,
            self.history,
            lambda backend, requests: self.crashes.append(requests),
            self.leaves.append,
            self.stop_window,
        )

    async def end(self):
        self.hold.set()
        self.backend.abort()
        self.guard.close()
        await asyncio.sleep(0.02)

    async def answer(self, request, peer):
        self.started.append(request.target)
        if "quick" not in request.target:
            await self.hold.wait()
        self.ended.append(request.target)
        return http.HttpResponse(200, "OK", (), request.target.encode())

    def start(self, name, seconds=5.0, **changed):
        deadline = asyncio.get_running_loop().time() + seconds
        request = requests.build(name, deadline=deadline, **changed)
        return asyncio.create_task(self.guard.serve(request))

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)

    async def occupy_all_slots(self):
        tasks = [self.start(f"full{number}") for number in range(2)]
        await self.wait_until(lambda: len(self.started) == 2)
        return tasks

    async def test_running_requests_never_exceed_the_slots(self):
        """Guards against forwarding more requests than there are slots.

        Their order could not be controlled inside the backend server.
        """
        await self.occupy_all_slots()
        waiting = self.start("third")
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.started), 2)
        self.hold.set()
        self.assertEqual((await waiting).body, b"/third")

    async def test_wait_for_a_slot_is_limited(self):
        await self.occupy_all_slots()
        self.wait = 0.05
        answer = await self.start("third")
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(answer.reason, Reason.DEADLINE)
        self.assertEqual(len(self.started), 2)

    async def test_waiting_requests_are_refused_when_the_backend_server_leaves(self):
        """Guards against admitting requests after a leave was acknowledged.

        A backend server drains while requests wait for a slot; requests that kept
        waiting would be admitted later.
        """
        running = await self.occupy_all_slots()
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

    async def test_caller_that_disconnects_frees_its_queue_position(self):
        """Guards against cancelled requests staying in the queue."""
        await self.occupy_all_slots()
        gone = [self.start(f"gone{number}") for number in range(3)]
        await asyncio.sleep(0.02)
        for task in gone:
            task.cancel()
        waiting = self.start("third")
        await asyncio.sleep(0.02)
        self.hold.set()
        self.assertEqual((await waiting).body, b"/third")
        self.assertFalse(any("gone" in target for target in self.started))
        self.assertEqual(self.guard.load().waiting, 0)

    async def test_repeatable_work_stops_when_its_caller_disconnects(self):
        running = await self.occupy_all_slots()
        for task in running:
            task.cancel()
        await self.wait_until(lambda: not self.guard.running)
        await self.wait_until(lambda: not self.backend.connections)
        self.hold.set()
        await asyncio.sleep(0.02)
        self.assertEqual(self.ended, [])

    async def test_unrepeatable_work_runs_to_its_end(self):
        """Guards against cancelling a payout when its caller disconnects.

        The payout might be half made, and no one would learn its outcome.
        """
        task = self.start("pay", repeatable=False)
        await self.wait_until(lambda: self.started)
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
        self.assertEqual(self.started, [])

    async def test_repeats_beyond_the_budget_are_not_run(self):
        """Guards against repeats doubling the load of an overloaded service."""
        self.hold.set()
        answers = [await self.start(f"r{n}", again=True) for n in range(9)]
        refused = [each for each in answers if each.reason is Reason.REPEATS]
        self.assertGreaterEqual(len(refused), 6)
        self.assertTrue(all(each.outcome is Outcome.NOT_RUN for each in refused))

    async def test_backend_server_that_has_exited(self):
        """Guards against reporting an attempt without a connection as possibly run."""
        self.backend.abort()
        await asyncio.sleep(0.02)
        answer = await self.start("x")
        self.assertEqual(
            (answer.outcome, answer.reason), (Outcome.NOT_RUN, Reason.NOT_SENT)
        )

    async def test_no_answer_by_the_deadline(self):
        answer = await self.start("slow", 0.1)
        self.assertEqual((answer.outcome, answer.status), (Outcome.UNKNOWN, 504))

    def record_crashes(self, count, *paths):
        """Record crashes with a request of each path in flight."""
        in_flight = [requests.build("a", path) for path in paths]
        for number in range(count):
            record = self.history.build_record(f"i-{number}", in_flight)
            self.history.apply(record, asyncio.get_running_loop().time())

    async def test_suspect_requests_run_one_at_a_time_beside_innocent_ones(self):
        """Guards against a crash that could be the fault of several requests."""
        self.guard.install(BACKEND._replace(identity="i-9", slots=9))
        self.record_crashes(2, "/x", "/y")
        suspects = [self.start(name, path=f"/{name}") for name in ("x", "y")]
        innocent = self.start("z", path="/z")
        await self.wait_until(lambda: len(self.started) == 2)
        await asyncio.sleep(0.05)
        self.assertEqual(sorted(self.started), ["/x", "/z"])
        self.hold.set()
        answers = await asyncio.gather(*suspects, innocent)
        self.assertEqual({each.outcome for each in answers}, {Outcome.COMPLETED})

    async def test_suspect_request_does_not_wait_for_ever(self):
        """Guards against holding a request until its caller gives up."""
        self.record_crashes(2, "/x")
        self.wait = 0.05
        first = self.start("first", path="/x")
        second = await self.start("second", path="/x")
        self.assertEqual(
            (second.outcome, second.reason), (Outcome.NOT_RUN, Reason.SUSPECT)
        )
        self.hold.set()
        self.assertIs((await first).outcome, Outcome.COMPLETED)

    async def test_answer_ends_the_waits_for_the_same_work(self):
        """Guards against serving popular work one by one after crashes."""
        self.guard.install(BACKEND._replace(identity="i-9", slots=9))
        self.record_crashes(2, "/x")
        tasks = [self.start(f"x{number}", path="/x") for number in range(5)]
        await self.wait_until(lambda: self.started)
        self.hold.set()
        await tasks[0]
        self.hold.clear()
        await self.wait_until(lambda: len(self.started) == 5)
        self.hold.set()
        await asyncio.gather(*tasks)

    async def test_crash_is_reported_with_its_requests_and_not_a_reset(self):
        """Guards against blaming requests for connections that were reset."""
        tasks = await self.occupy_all_slots()
        for connection in tuple(self.backend.connections):
            connection.abort()
        answers = await asyncio.gather(*tasks)
        self.assertEqual({each.reason for each in answers}, {Reason.BROKEN})
        self.assertEqual(self.crashes, [])
        self.started.clear()
        tasks = await self.occupy_all_slots()
        self.backend.abort()
        answers = await asyncio.gather(*tasks)
        self.assertEqual({each.reason for each in answers}, {Reason.CRASHED})
        self.assertEqual([len(each) for each in self.crashes], [2])

    async def test_end_of_a_leaving_backend_server_is_no_crash(self):
        """Guards against blaming requests for a planned end."""
        tasks = await self.occupy_all_slots()
        self.guard.install(BACKEND._replace(leaving=True))
        self.backend.abort()
        answers = await asyncio.gather(*tasks)
        self.assertEqual({each.reason for each in answers}, {Reason.BROKEN})
        self.assertEqual(self.crashes, [])

    async def test_named_limit_is_kept_until_the_backend_server_is_replaced(self):
        """Guards against passing on more than the backend server names."""
        self.guard.install(BACKEND._replace(identity="i-9", slots=50))
        self.hold.set()
        self.notice = interface.Notice(rate=4.0)
        await self.start("first")
        named_at = asyncio.get_running_loop().time()
        for number in range(10):
            await self.start(f"later{number}")
        seconds = asyncio.get_running_loop().time() - named_at
        # The first request, a burst of one, and the rate.
        self.assertLessEqual(len(self.started), 2 + 4.0 * seconds)
        self.assertFalse(self.guard.has_free_slot("s"))
        self.assertIn(Refusal("c", Reason.LIMIT), self.guard.refused)
        self.notice = interface.Notice()
        self.guard.install(BACKEND._replace(identity="i-10", slots=50))
        answers = await asyncio.gather(*(self.start(f"new{n}") for n in range(20)))
        self.assertEqual({each.outcome for each in answers}, {Outcome.COMPLETED})

    async def test_requests_wait_a_moment_for_a_named_limit(self):
        """Guards against refusing requests between two tokens."""
        self.hold.set()
        self.notice = interface.Notice(rate=50.0)
        await self.start("first")
        for number in range(30):
            answer = await self.start(f"later{number}")
            self.assertIs(answer.outcome, Outcome.COMPLETED)

    async def test_leave_in_an_answer_is_told_of_the_backend_server_that_answered(self):
        """Guards against ending the next backend server for an old answer."""
        task = self.start("old")
        await self.wait_until(lambda: self.started)
        self.notice = interface.Notice(leaving=True)
        self.guard.install(BACKEND._replace(identity="i-2"))
        self.hold.set()
        await task
        self.assertEqual(self.leaves, [])
        await self.start("new")
        self.assertEqual(self.leaves, ["i-2"])

    async def test_suspect_request_is_not_given_the_last_endpoint(self):
        """Guards against a crash of the only endpoint that is left of a service."""
        self.record_crashes(2, "/x")
        self.endpoints = 1
        refused = await self.start("suspect", path="/x")
        self.assertEqual(
            (refused.outcome, refused.reason), (Outcome.NOT_RUN, Reason.SUSPECT)
        )
        self.assertGreater(refused.retry_after, 0.0)
        self.hold.set()
        self.assertIs((await self.start("z", path="/z")).outcome, Outcome.COMPLETED)
        self.endpoints = 2
        served = await self.start("again", path="/x")
        self.assertIs(served.outcome, Outcome.COMPLETED)

    async def test_leave_that_is_taken_back_lets_work_in(self):
        """Guards against a first backend server that is refused for good.

        It is installed as leaving, and then turns out not to leave.
        """
        fresh = self.build_guard(self.port)
        self.addCleanup(fresh.close)
        fresh.install(BACKEND._replace(leaving=True))
        self.assertEqual(fresh.find_level("c"), 0.0)
        fresh.install(BACKEND)
        self.hold.set()
        self.assertTrue(fresh.has_free_slot("s"))
        deadline = asyncio.get_running_loop().time() + 5.0
        answer = await fresh.serve(requests.build("first", deadline=deadline))
        self.assertEqual(answer.outcome, Outcome.COMPLETED)

    async def test_start_that_is_installed_as_leaving_first_gets_its_own_slots(self):
        """Guards against a new process that is held to the limits of the last one."""
        await self.occupy_all_slots()
        later = BACKEND._replace(start_time_ms=1, slots=3)
        self.guard.install(later._replace(leaving=True))
        self.guard.install(later)
        self.assertEqual(self.guard.load().in_service, 0)
        self.assertEqual(self.guard.load().limit, 3)

    async def test_slots_announced_while_leaving_count_once_that_is_taken_back(self):
        """Guards against a limit that differs from what was announced last."""
        changed = BACKEND._replace(slots=5)
        self.guard.install(changed._replace(leaving=True))
        self.guard.install(changed)
        self.assertEqual(self.guard.load().limit, 5)

    async def test_requests_that_wait_for_a_crashed_start_are_refused_at_once(self):
        """Guards against requests that wait in a queue that is no longer served."""
        await self.occupy_all_slots()
        waiting = self.start("third")
        await asyncio.sleep(0.02)
        self.guard.install(BACKEND._replace(start_time_ms=1))
        answer = await asyncio.wait_for(waiting, 1.0)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)

    async def test_stop_takes_no_work_like_that_which_has_not_ended_yet(self):
        """Guards against work that is cut off as only short work has ended so far."""
        self.guard.install(BACKEND._replace(slots=50))
        for number in range(stopwindow.MIN_SAMPLES):
            held = self.start(f"long{number}")
            self.addCleanup(held.cancel)
        for number in range(stopwindow.MIN_SAMPLES):
            await self.start(f"quick{number}")
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        self.stop_window.begin(now, now + 2.0, 0.0)
        answer = await self.start("quick", seconds=5.0)
        self.assertEqual(answer.reason, Reason.LEAVING)
        answer = await self.start("quick", seconds=1.0)
        self.assertEqual(answer.outcome, Outcome.COMPLETED)

    async def test_error_in_a_decision_is_answered_as_not_run(self):
        """Guards against "unknown" for work that was never sent."""
        error = unittest.mock.Mock(side_effect=KeyError)
        with unittest.mock.patch.object(self.guard._repeat_budget, "try_spend", error):
            answer = await self.start("x", again=True, repeatable=False)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertGreater(answer.retry_after, 0.0)
        self.assertEqual(self.started, [])

    async def test_error_after_the_attempt_was_sent_is_not_answered_as_not_run(self):
        """Guards against a payout that runs twice because of an unrelated error."""
        self.hold.set()
        error = unittest.mock.Mock(side_effect=KeyError)
        with unittest.mock.patch.object(self.guard._slots, "leave", error):
            with self.assertRaises(KeyError):
                await self.start("x", repeatable=False)
        self.assertEqual(self.started, ["/x"])

    async def test_next_start_under_the_same_identifier_gets_new_connections(self):
        """Guards against requests lost on connections to the process before."""
        self.hold.set()
        identified = (("X-Request-Id", "r"),)
        for start_time_ms, opened in ((100, 1), (100, 1), (200, 2)):
            self.guard.install(BACKEND._replace(start_time_ms=start_time_ms))
            await self.start("work", headers=identified)
            self.assertEqual(self.guard.connection_counts.opened, opened)
