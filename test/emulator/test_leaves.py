"""Tests of backend servers that leave beside a daemon that doesn't stay."""

import asyncio
import json
import unittest

from emulator import backend, caller, mesh, samplemesh, store
from whinwinch.platform import localbackend
from whinwinch.platform.recordkeeping import INSTANCES_TOPIC
from whinwinch.platform.records import LEAVE_PREFIX

READ_PATH = "/read/"
READ = caller.Kind("r.example", READ_PATH, "GET", 3.0, 1.0, retries=0)
SERVICES = (mesh.Service("reads", 2, 40, {READ_PATH: backend.Work(0.02)}),)
CONFIGURATION = {
    **samplemesh.CONFIGURATION,
    "routes": {
        "read": samplemesh.build_route(
            "r.example", READ_PATH, "reads", "safe", 2, 3000, 1000
        )
    },
}
READ_COUNT = 20
# Delay of an answer of the store for which an acknowledgement has to wait.
SLOW_SECONDS = 0.3


class LeavesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(SERVICES, CONFIGURATION)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.member, self.other = self.mesh.members
        self.backend = self.member.backend

    def build_late_heartbeat(self, sequence=1_000):
        """Return the next heartbeat as it is before the backend server leaves."""
        heartbeat = {
            "service": self.backend.service,
            "address": self.backend.address,
            "slots": self.backend.slots,
            "state": "ready",
            "seq": sequence,
            "born": self.backend.born,
        }
        return json.dumps(heartbeat).encode()

    async def restart_daemon(self):
        """Kill the daemon and start it again; its backend server keeps running."""
        await self.mesh.kill(self.member)
        self.member = await self.mesh.restart(self.member)
        instance = self.member.node.instance
        await self.mesh.wait_until(lambda: instance.table.version)

    async def leave_and_restart_daemon_without_store(self):
        """Kill the daemon after a leave; only other daemons tell its next process."""
        self.backend.state = "draining"
        self.assertEqual(await self.backend.announce(), 200)
        address = str(self.member.settings.daemons)
        directory = self.other.node.instance.directory
        await self.mesh.wait_until(
            lambda: directory.find_recorded(address).leaving_backend
        )
        await self.mesh.kill(self.member)
        self.mesh.store.faults = store.Faults(refuse=503)
        self.member = await self.mesh.restart(self.member)

    async def send_late_heartbeat(self):
        """Let the heartbeat arrive and wait until the daemon would believe it."""
        await self.backend.send_report("PUT", self.build_late_heartbeat())
        await asyncio.sleep(localbackend.LEAVES_WAIT)

    async def assert_gets_no_work(self):
        """Send requests through both daemons; none may reach the backend server."""
        count = len(self.backend.arrivals)
        for member in self.mesh.members:
            for _ in range(READ_COUNT):
                await caller.send_with_retries(member.callers, READ)
        self.assertEqual(len(self.backend.arrivals), count)

    async def assert_gets_work(self):
        """Wait until requests reach the backend server through its own daemon."""
        instance = self.member.node.instance
        await self.mesh.wait_until(lambda: instance.guard.has_free_slot("reads"))
        count = len(self.backend.arrivals)
        await self.assert_serves(self.member)
        self.assertGreater(len(self.backend.arrivals), count)

    async def assert_serves(self, member):
        results = [
            await caller.send_with_retries(member.callers, READ)
            for _ in range(READ_COUNT)
        ]
        self.assertTrue(all(result.whole for result in results), results)

    def list_recorded(self):
        keys = self.mesh.store.find(INSTANCES_TOPIC).newest
        return [key for key in keys if key.startswith(LEAVE_PREFIX)]

    async def test_kill_right_after_a_delete_does_not_bring_work_back(self):
        """Guards against requests lost at a backend server that counts as gone."""
        self.assertEqual(await self.backend.leave(), 200)
        await self.restart_daemon()
        await self.send_late_heartbeat()
        await self.assert_gets_no_work()

    async def test_kill_right_after_draining_does_not_bring_work_back(self):
        """Guards against an acknowledgement that only the killed process knew."""
        self.backend.state = "draining"
        self.mesh.store.faults = store.Faults(delay=SLOW_SECONDS)
        self.assertEqual(await self.backend.announce(), 200)
        await self.restart_daemon()
        self.mesh.store.faults = store.Faults()
        self.backend.state = "ready"
        await self.send_late_heartbeat()
        await self.assert_gets_no_work()

    async def test_planned_stop_keeps_the_word_of_a_leave(self):
        """Guards against a stop that deletes what a backend server was promised."""
        self.assertEqual(await self.backend.leave(), 200)
        self.member.node.stop()
        await self.member.task
        self.member = await self.mesh.restart(self.member)
        await self.send_late_heartbeat()
        await self.assert_gets_no_work()

    async def test_leave_is_not_acknowledged_before_it_is_recorded(self):
        """Guards against a promise that ends with this process."""
        self.mesh.store.faults = store.Faults(refuse=503)
        self.assertEqual(await self.backend.leave(), 503)
        await self.assert_gets_no_work()
        self.mesh.store.faults = store.Faults()
        await self.mesh.wait_until(self.list_recorded)
        self.assertEqual(await self.backend.leave(), 200)

    async def test_lost_answer_of_the_store_delays_the_acknowledgement_only(self):
        """Guards against a leave that is never acknowledged after a lost answer."""
        self.backend.state = "draining"
        self.mesh.store.faults = store.Faults(lose=True)
        self.assertEqual(await self.backend.announce(), 503)
        self.mesh.store.faults = store.Faults()
        async with asyncio.timeout(4.0):
            while await self.backend.announce() != 200:
                await asyncio.sleep(0.1)

    async def test_same_identifier_with_a_later_start_gets_work(self):
        """Guards against an endpoint that is dead for good after its restart."""
        self.backend.state = "draining"
        self.assertEqual(await self.backend.announce(), 200)
        self.assertEqual(await self.backend.leave(), 200)
        await self.restart_daemon()
        self.backend.state = "ready"
        self.backend.born = backend.read_wall_clock()
        self.assertEqual(await self.backend.announce(), 200)
        await self.assert_gets_work()
        self.assertEqual(await self.mesh.probe_readiness(self.member), 200)

    async def test_daemon_serves_although_leaves_cannot_be_read(self):
        """Guards against an outage of the store that takes backend servers away."""
        await self.mesh.kill(self.member)
        self.mesh.store.faults = store.Faults(refuse=503)
        self.member = await self.mesh.restart(self.member)
        instance = self.member.node.instance
        await self.mesh.wait_until(lambda: instance.table.version)
        await self.backend.announce()
        await asyncio.sleep(localbackend.LEAVES_WAIT)
        self.assertTrue(instance.guard.has_free_slot("reads"))
        await self.assert_serves(self.member)

    async def test_leave_that_other_daemons_know_holds_while_the_store_is_away(self):
        """Guards against a promise that is forgotten in an outage of the store."""
        await self.leave_and_restart_daemon_without_store()
        self.backend.state = "ready"
        await self.send_late_heartbeat()
        await self.assert_gets_no_work()

    async def test_start_that_was_taken_for_leaving_serves_after_the_outage(self):
        """Guards against requests that all end in an error for good."""
        await self.leave_and_restart_daemon_without_store()
        self.backend.state = "ready"
        self.backend.born = backend.read_wall_clock()
        self.assertEqual(await self.backend.announce(), 200)
        instance = self.member.node.instance
        await self.mesh.wait_until(lambda: instance.guard.backend is not None)
        self.assertTrue(instance.guard.backend.leaving)
        self.mesh.store.faults = store.Faults()
        await self.mesh.wait_until(lambda: not instance.guard.backend.leaving)
        await self.assert_gets_work()

    async def test_late_heartbeat_of_a_restarted_one_does_not_undo_its_leave(self):
        """Guards against payouts that run at an endpoint that has left."""
        self.backend.silence()
        self.backend.born = backend.read_wall_clock()
        self.assertEqual(await self.backend.leave(), 200)
        await self.backend.send_report("PUT", self.build_late_heartbeat(1))
        await self.assert_gets_no_work()
        await self.restart_daemon()
        await self.backend.send_report("PUT", self.build_late_heartbeat(2))
        await asyncio.sleep(localbackend.LEAVES_WAIT)
        await self.assert_gets_no_work()

    async def test_delete_to_a_new_process_does_not_count_for_later_starts(self):
        """Guards against an endpoint that is dead for good after its restart."""
        self.backend.silence()
        await self.restart_daemon()
        self.assertEqual(await self.backend.leave(), 200)
        await self.backend.send_report("PUT", self.build_late_heartbeat())
        await self.assert_gets_no_work()
        self.backend.born = backend.read_wall_clock() + 2_001
        self.assertEqual(await self.backend.announce(), 200)
        await self.assert_gets_work()

    async def test_clock_set_back_before_a_new_start_delays_work_only(self):
        """Guards against an endpoint that is dead for good after its restart."""
        self.backend.silence()
        self.assertEqual(await self.backend.leave(), 200)
        self.backend.born = backend.read_wall_clock() - 2_000
        self.backend.go_on()
        await self.assert_gets_work()

    async def test_leave_is_not_acknowledged_while_its_start_is_in_doubt(self):
        """Guards against a promise to one whose clock was set back at its restart."""
        self.backend.silence()
        self.backend.born -= 2_000
        self.backend.state = "draining"
        self.backend.restart_sequence()
        self.assertEqual(await self.backend.announce(), 503)
        self.backend.go_on()
        await self.mesh.wait_until(self.list_recorded)
        self.assertEqual(await self.backend.announce(), 200)
        await self.assert_gets_no_work()

    async def test_identifier_that_no_record_can_hold_is_refused(self):
        """Guards against an error in the middle of an acknowledgement."""
        self.backend.identity = "i" * (localbackend.MAX_IDENTIFIER_BYTES + 1)
        self.assertEqual(await self.backend.announce(), 400)
