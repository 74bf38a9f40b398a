"""Tests of the reports of the local backend server and their acknowledgements."""

import asyncio
import json
import types
import unittest

from emulator import store as emulated
from whinwinch import callerdrain
from whinwinch.http1.messages import HttpRequest
from whinwinch.platform import localbackend
from whinwinch.platform.store import Store
from whinwinch.settings import Address

TARGET = f"{localbackend.REPORT_PREFIX}i-1"
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:1",
    "slots": 4,
    "state": "ready",
    "seq": 1,
    "born": 100,
}


class LocalBackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.emulated = emulated.Store()
        self.store = Store(Address("127.0.0.1", await self.emulated.listen()))
        self.installed = []
        self.drain = callerdrain.CallerDrain()
        instance = types.SimpleNamespace(
            location=types.SimpleNamespace(address="10.0.0.1:7"),
            caller_drain=self.drain,
            install_backend=self.installed.append,
        )
        self.has_records = True
        self.backend = localbackend.LocalBackend(
            self.store,
            instance,
            lambda: "s",
            lambda: self.has_records,
            lambda: None,
            lambda: False,
        )
        self.backend.begin()
        self.maintaining = asyncio.create_task(
            self.backend.maintain_leaves(lambda: False)
        )
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.maintaining.cancel()
        self.backend.close()
        self.store.close()
        self.emulated.server.abort()
        await asyncio.sleep(0.02)

    async def report(self, method, target=TARGET, **changed):
        """Send a report and return the status of its acknowledgement."""
        body = json.dumps({**HEARTBEAT, **changed}).encode()
        request = HttpRequest(method, target, body=body)
        return (await self.backend.answer_report(request, None)).status

    async def wait_until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    async def test_reports_that_are_not_understood(self):
        for target in ("/", localbackend.REPORT_PREFIX, f"{TARGET}/more"):
            self.assertEqual(await self.report("PUT", target), 404)
        self.assertEqual(await self.report("POST"), 405)
        self.assertEqual(await self.report("PUT", slots="many"), 400)
        self.assertEqual(await self.report("PUT", service="other"), 400)
        self.assertEqual(await self.report("DELETE", born="today"), 400)
        self.assertNotIn("i-1", str(self.installed))

    async def test_heartbeat_waits_until_earlier_leaves_are_read(self):
        """Guards against work for one that an earlier process promised none."""
        self.assertEqual(await self.report("PUT"), 200)
        self.assertEqual(self.installed, [])
        await self.wait_until(lambda: self.installed)
        self.assertFalse(self.installed[-1].leaving)

    async def test_heartbeat_waits_until_the_records_are_read(self):
        self.has_records = False
        self.assertEqual(await self.report("PUT"), 200)
        await asyncio.sleep(0.1)
        self.assertEqual(self.installed, [])
        self.has_records = True
        self.backend.install_deferred()
        self.assertEqual(self.installed[-1].identity, "i-1")

    async def test_leave_counts_at_once_and_is_acknowledged_once_recorded(self):
        """Guards against a promise that ends with this process."""
        await self.report("PUT")
        await self.wait_until(lambda: self.installed)
        self.emulated.faults = emulated.Faults(refuse=503)
        self.assertEqual(await self.report("PUT", state="draining", seq=2), 503)
        self.assertTrue(self.installed[-1].leaving)
        self.assertTrue(self.drain.is_active)
        self.emulated.faults = emulated.Faults()
        await self.wait_until(lambda: self.emulated.find("keyed.instances").newest)
        self.assertEqual(await self.report("DELETE"), 200)
        self.assertIsNone(self.installed[-1])

    async def test_suspected_leave_holds_until_the_leaves_are_read(self):
        """Guards against a later start that is refused for good."""
        self.backend.suspect_leave("i-1")
        self.assertTrue(self.drain.is_active)
        await self.report("PUT")
        await self.wait_until(lambda: self.installed)
        self.assertFalse(self.installed[-1].leaving)
        self.assertFalse(self.drain.is_active)
