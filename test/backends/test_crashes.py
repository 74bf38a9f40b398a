"""Tests of telling a crash of the backend server from a broken connection."""

import asyncio
import unittest

from test import requests
from whinwinch.backends import crashes, interface
from whinwinch.settings import Address

BACKEND = interface.Backend("i-1", "s", 2)


class CrashDetectorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        self.address = Address(*self.listener.sockets[0].getsockname())
        self.reports = []
        self.detector = crashes.CrashDetector(
            self.address, lambda *report: self.reports.append(report)
        )
        self.addCleanup(self.listener.close)

    async def test_reset_connection_is_not_taken_for_a_crash(self):
        self.detector.start(requests.build("a"))
        self.assertFalse(await self.detector.check(BACKEND))
        self.assertEqual(self.reports, [])

    async def test_backend_server_that_answers_again_has_not_crashed(self):
        """Guards against taking each later reset for a crash."""
        self.listener.close()
        self.assertTrue(await self.detector.check(BACKEND))
        loop = asyncio.get_running_loop()
        again = await loop.create_server(asyncio.Protocol, *self.address)
        self.addCleanup(again.close)
        self.detector.record_answer()
        self.assertFalse(await self.detector.check(BACKEND))

    async def test_crash_is_reported_once_with_all_requests_in_flight(self):
        """Guards against counting one crash as often as it broke connections."""
        first, second, ended = map(requests.build, ("a", "b", "c"))
        for each in (first, second, ended):
            self.detector.start(each)
        self.detector.end(ended)
        self.listener.close()
        both = await asyncio.gather(*(self.detector.check(BACKEND) for _ in range(2)))
        self.assertEqual(both, [True, True])
        self.assertTrue(await self.detector.check(BACKEND))
        self.assertEqual(self.reports, [(BACKEND, (first, second))])

    async def test_crash_is_told_before_a_request_that_was_not_sent_goes_elsewhere(
        self,
    ):
        """Guards against sending the cause on before its crash is known."""
        self.detector.start(requests.build("a"))
        self.listener.close()
        check = asyncio.create_task(self.detector.check(BACKEND))
        await asyncio.sleep(0)
        await self.detector.wait_for_check()
        self.assertEqual(len(self.reports), 1)
        await check
