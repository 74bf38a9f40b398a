"""Tests of records and reports that another program writes."""

import asyncio
import json
import unittest

from emulator import caller, mesh, store
from test.emulator import test_leaves
from test.platform.test_followers import RecordingLog
from whinwinch import events
from whinwinch.platform.node import CONFIGURATION_KEY, CONFIGURATION_TOPIC
from whinwinch.platform.recordkeeping import INSTANCES_TOPIC

DEEP = b"[" * 100_000
HUGE = 10**400
REQUEST_COUNT = 10
BEHIND = "127.0.0.9:9"


def build_value(key, **changed):
    fields = {
        "daemon": key,
        "address": key,
        "service": "reads",
        "zone": "a",
        "region": "r",
        "slots": 4,
        "leaving": False,
        "leaving_backend": "",
        **changed,
    }
    return json.dumps(fields).encode()


ODD_KEYS = (
    "x",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:" + 30 * "9",
    "127.0.0.1:\u0663",
    "[::1:5",
    "h\x00:1",
    "h\u2028h:1",
    150 * "a" + ":1",
)
ODD_RECORDS = (
    ("calls", DEEP),
    ("crash/x", DEEP),
    ("leave/127.0.0.1:1/x", DEEP),
    ("127.0.0.8:1", DEEP),
    ("127.0.0.8:2", build_value("127.0.0.8:2", slots=HUGE)),
    ("127.0.0.8:3", build_value("127.0.0.8:3", slots=-5)),
    *((key, build_value(key)) for key in ODD_KEYS),
)


class OddRecordsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = RecordingLog()
        events.install(self.log)
        self.addCleanup(events.install, events.NullLog())
        self.mesh = mesh.Mesh(test_leaves.SERVICES, test_leaves.CONFIGURATION)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.member = self.mesh.members[0]

    @property
    def directory(self):
        return self.member.node.instance.directory

    def is_behind_recorded(self):
        return BEHIND in {each.address for each in self.directory.all_endpoints}

    def list_odd_endpoints(self):
        """Return the addresses that are in use although no daemon has them."""
        known = {str(member.settings.daemons) for member in self.mesh.members}
        used = {endpoint.address for endpoint in self.directory.all_endpoints}
        return used - known - {BEHIND}

    def write_in_one_batch(self, records):
        """Write records that the daemons read together."""
        self.mesh.store.faults = store.Faults(refuse=503)
        for key, value in records:
            self.mesh.store.put(INSTANCES_TOPIC, key, value)
        self.mesh.store.faults = store.Faults()

    async def assert_serves(self):
        for _ in range(REQUEST_COUNT):
            result = await caller.send_with_retries(
                self.member.callers, test_leaves.READ
            )
            self.assertTrue(result.whole, result)
        self.assertNotIn("task-ended", [kind for kind, _ in self.log.written])

    async def test_records_behind_an_odd_one_are_applied(self):
        """Guards against a record that hides all that are read together with it."""
        for odd in ODD_RECORDS:
            with self.subTest(key=odd[0]):
                self.mesh.store.put(INSTANCES_TOPIC, BEHIND, b"")
                await self.mesh.wait_until(lambda: not self.is_behind_recorded())
                self.write_in_one_batch((odd, (BEHIND, build_value(BEHIND))))
                await self.mesh.wait_until(self.is_behind_recorded, 3.0)
                self.assertEqual(self.list_odd_endpoints(), set())
        await self.assert_serves()

    async def test_daemon_that_starts_among_odd_records_serves(self):
        """Guards against a daemon that never gets through the list as it starts."""
        for key, value in ODD_RECORDS:
            self.mesh.store.put(INSTANCES_TOPIC, key, value)
        await self.mesh.kill(self.member)
        self.member = await self.mesh.restart(self.member)
        await self.mesh.wait_until(self.mesh.is_complete)
        self.assertEqual(self.list_odd_endpoints(), set())
        await self.assert_serves()

    async def test_leave_behind_an_odd_record_is_known_after_a_restart(self):
        """Guards against work for one that left, behind a record nobody can read."""
        backend = self.member.backend
        backend.silence()
        for key, value in ODD_RECORDS:
            self.mesh.store.put(INSTANCES_TOPIC, key, value)
        self.assertEqual(await backend.leave(), 200)
        await self.mesh.kill(self.member)
        self.member = await self.mesh.restart(self.member)
        instance = self.member.node.instance
        await self.mesh.wait_until(lambda: instance.table.version)
        self.assertEqual(await backend.announce(), 200)
        await asyncio.sleep(1.0)
        self.assertFalse(instance.guard.has_free_slot("reads"))

    async def test_odd_configuration_does_not_hide_the_next_one(self):
        """Guards against routes that stay as they were for good."""
        version = self.member.node.instance.table.version
        odd = (DEEP, b'{"version": "r9", "limits": [1]}', b'{"version": "r9"')
        for number, value in enumerate(odd):
            self.mesh.store.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)
            await asyncio.sleep(0.2)
            later = {**test_leaves.CONFIGURATION, "version": f"r{version + number + 1}"}
            self.mesh.configure(later)
            await self.mesh.wait_until(
                lambda expected=version + number + 1: all(
                    member.node.instance.table.version == expected
                    for member in self.mesh.members
                ),
                3.0,
            )
        await self.assert_serves()

    async def test_odd_reports_are_refused(self):
        """Guards against a heartbeat that ends in an error, or in a record."""
        backend = self.member.backend
        heartbeat = {
            "service": backend.service,
            "address": backend.address,
            "slots": 4,
            "state": "ready",
            "seq": 1_000,
            "born": backend.born,
        }
        for changed in (
            {"slots": HUGE},
            {"slots": -5},
            {"born": 10**300},
            {"seq": 10**300},
            {"address": "127.0.0.1:70000"},
            {"address": "x"},
        ):
            with self.subTest(changed):
                body = json.dumps({**heartbeat, **changed}).encode()
                self.assertEqual(await backend.send_report("PUT", body), 400)
        deep_slots = json.dumps({**heartbeat, "slots": 0}).encode()
        deep_slots = deep_slots.replace(b'"slots": 0', b'"slots": ' + _nest(900))
        for method, body in (("PUT", DEEP), ("DELETE", DEEP), ("PUT", deep_slots)):
            self.assertEqual(await backend.send_report(method, body), 400)
        await self.assert_serves()


def _nest(depth):
    return b"[" * depth + b"]" * depth
