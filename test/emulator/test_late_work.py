"""Tests of work that reaches a daemon while it is being stopped."""

import asyncio
import unittest

from emulator import backend, caller, mesh, samplemesh
from whinwinch import callerdrain, stopwindow

SLOW_SECONDS = 4.0
SLOW_PATH, QUICK_PATH = "/slow/", "/quick/"
HOST = "r.example"
SLOW = caller.Kind(HOST, SLOW_PATH, "POST", 8.0, 6.0, retries=0)
QUICK = caller.Kind(HOST, QUICK_PATH, "GET", 8.0, 6.0, retries=0)
SERVICES = (
    mesh.Service(
        "reads",
        2,
        80,
        {
            SLOW_PATH: backend.Work(SLOW_SECONDS, spread=0.0),
            QUICK_PATH: backend.Work(0.02),
        },
    ),
    mesh.Service("front", 1, 40, {}),
)
CONFIGURATION = {
    **samplemesh.CONFIGURATION,
    "routes": {
        "slow": samplemesh.build_route(
            HOST, SLOW_PATH, "reads", "unsafe", 0, 8000, 6000
        ),
        "quick": samplemesh.build_route(
            HOST, QUICK_PATH, "reads", "safe", 1, 8000, 6000
        ),
    },
}
SEND_INTERVAL_SECONDS = 0.1
# Requests of a kind that show a daemon how long they take.
KNOWN_COUNT = stopwindow.MIN_SAMPLES + 5


class LateWorkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(SERVICES, CONFIGURATION)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.member = self.mesh.find("reads")[0]
        known = [self.send(kind) for kind in (SLOW, QUICK) for _ in range(KNOWN_COUNT)]
        await asyncio.gather(*known)
        self.stopped_at = asyncio.get_running_loop().time()
        self.member.node.stop()

    async def send(self, kind, entry=None):
        """Send one request to the daemon that stops, or to another entry daemon."""
        entry = entry or self.member
        return await caller.send_with_retries(entry.callers, kind)

    async def send_during_stop(self, kind, entry=None):
        """Send requests until the daemon has stopped; return the results."""
        sent = []
        while not self.member.task.done():
            sent.append(asyncio.create_task(self.send(kind, entry)))
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
        return await asyncio.gather(*sent)

    def list_run(self, results):
        """Return the results of requests that a backend server has run."""
        ran = {
            run.request for member in self.mesh.members for run in member.backend.runs
        }
        return [result for result in results if ran.intersection(result.requests)]

    async def test_no_accepted_request_of_a_caller_is_cut_off(self):
        """Guards against unsafe work that runs while its caller is cut off."""
        results = await self.send_during_stop(SLOW)
        ran = self.list_run(results)
        self.assertTrue(ran)
        self.assertEqual([], [result for result in ran if not result.whole])
        refused = [result for result in results if result.statuses == (503,)]
        self.assertTrue(refused)

    async def test_no_attempt_of_another_daemon_is_cut_off(self):
        """Guards against unsafe work lost at a daemon that accepts calls too late."""
        entry = self.mesh.find("front")[0]
        results = await self.send_during_stop(SLOW, entry)
        self.assertEqual([], [result for result in results if not result.whole])

    async def test_short_work_is_served_while_long_work_is_in_flight(self):
        """Guards against refusing work that ends before the stop."""
        slow = asyncio.create_task(self.send(SLOW))
        await asyncio.sleep(callerdrain.ROUTING_SECONDS + 0.3)
        result = await self.send(QUICK)
        self.assertTrue(result.whole, result)
        self.assertTrue((await slow).whole)

    async def test_refused_caller_is_told_when_the_next_process_serves(self):
        """Guards against callers sent back while the address is closed."""
        results = await self.send_during_stop(SLOW)
        seconds = asyncio.get_running_loop().time() - self.stopped_at
        refused = [result for result in results if result.statuses == (503,)]
        hints = [result.retry_after for result in refused]
        self.assertTrue(hints)
        self.assertGreater(max(hints), 1.0)
        self.assertLess(max(hints), seconds + 2.0 * stopwindow.RETURN_SECONDS)

    async def test_callers_that_keep_coming_do_not_delay_the_stop(self):
        """Guards against a backend server that is out of service for longer."""
        await self.send_during_stop(QUICK)
        seconds = asyncio.get_running_loop().time() - self.stopped_at
        self.assertLess(seconds, SLOW_SECONDS)

    async def test_request_that_is_received_in_part_is_answered(self):
        """Guards against a stop that ends while a request is still being sent."""
        host, _, port = self.member.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(f"GET {QUICK_PATH} HTTP/1.1\r\nHost: {HOST}\r\n".encode())
        await asyncio.sleep(callerdrain.ROUTING_SECONDS + 0.3)
        self.assertFalse(self.member.task.done())
        writer.write(b"X-Request-Id: part\r\nX-Deadline-Ms: 8000\r\n\r\n")
        async with asyncio.timeout(5):
            answer = await reader.read()
        self.assertRegex(answer, rb"^HTTP/1.1 (200|503) ")
        self.assertIn(b"\r\nConnection: close\r\n", answer)

    async def test_second_signal_changes_nothing(self):
        """Guards against work cut off by a platform that sends its signal again."""
        slow = asyncio.create_task(self.send(SLOW))
        for _ in range(2):
            await asyncio.sleep(1.0)
            self.member.node.stop()
        result = await slow
        self.assertTrue(result.whole, result)
