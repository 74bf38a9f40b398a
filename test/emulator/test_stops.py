"""Tests of planned stops of daemons, with and without their backend servers."""

import asyncio
import unittest

from emulator import backend, caller, mesh, samplemesh
from whinwinch.platform.localbackend import HEARTBEAT_WAIT

READ_PATH = "/read/"
READ = caller.Kind("r.example", READ_PATH, "GET", 3.0, 1.0, retries=0)
SERVICES = (mesh.Service("reads", 3, 40, {READ_PATH: backend.Work(0.02)}),)
CONFIGURATION = {
    **samplemesh.CONFIGURATION,
    "routes": {
        "read": samplemesh.build_route(
            "r.example", READ_PATH, "reads", "safe", 2, 3000, 1000
        )
    },
}
# Interval of the platform's readiness probes; callers stop after two misses.
PROBE_INTERVAL_SECONDS = 1.0
MAX_MISSES = 2
# Seconds from the word that a backend server leaves to the signal to stop.
NOTICE_SECONDS = 4.5
# Seconds from the signal to stop to the loss of power.
POWER_SECONDS = 0.5
# Seconds after the signal to stop for which callers still come.
LATE_SECONDS = 1.0
# Seconds in which the daemons that still run read a change of the records.
RECORD_SECONDS = 1.0


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(SERVICES, CONFIGURATION)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.member = self.mesh.members[0]
        self.backend = self.member.backend

    async def drain_backend(self):
        self.backend.state = "draining"
        self.assertEqual(await self.backend.announce(), 200)

    async def restart_without_backend(self):
        """Kill the daemon and its backend server and restart only the daemon."""
        self.backend.exit()
        await self.mesh.kill(self.member)
        self.member = await self.mesh.restart(self.member)
        instance = self.member.node.instance
        await self.mesh.wait_until(lambda: instance.table.version)

    async def start_next_backend(self):
        self.backend.identity = "i-next"
        self.backend.state = "ready"
        self.assertEqual(await self.backend.announce(), 200)

    def has_read_leave(self):
        """Return whether the daemon has read that its backend server leaves."""
        instance = self.member.node.instance
        recorded = instance.directory.find_recorded(instance.location.address)
        return recorded is not None and recorded.leaving_backend != ""

    async def assert_readiness(self, status):
        self.assertEqual(await self.mesh.probe_readiness(self.member), status)

    async def send_until(self, is_over):
        """Send requests to the daemon, one after the other; return the results."""
        results = []
        while not is_over():
            results.append(await caller.send_with_retries(self.member.callers, READ))
        return results

    async def send_until_routed(self):
        """Send requests to the daemon until two of its readiness probes have failed."""
        misses = 0

        async def probe():
            nonlocal misses
            while misses < MAX_MISSES:
                is_ready = await self.mesh.probe_readiness(self.member) == 200
                misses = 0 if is_ready else misses + 1
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)

        probing = asyncio.create_task(probe())
        self.addCleanup(probing.cancel)
        return await self.send_until(lambda: misses == MAX_MISSES)

    def assert_all_whole(self, results):
        self.assertTrue(results)
        self.assertEqual([], [result for result in results if not result.whole])

    async def test_idle_daemon_withdraws_its_record(self):
        """Guards against records of removed daemons that are counted for good."""
        self.member.node.stop()
        await self.member.task
        await asyncio.sleep(RECORD_SECONDS)
        records = self.mesh.store.find("keyed.instances").newest
        self.assertNotIn(str(self.member.settings.daemons), records)

    async def test_stop_is_over_before_power_is_lost(self):
        """Guards against a stop that is cut off since callers were told too late."""
        await self.drain_backend()
        sending = asyncio.create_task(self.send_until_routed())
        await asyncio.sleep(NOTICE_SECONDS)
        await self.backend.leave()
        self.assertTrue(sending.done(), "callers were not routed to other daemons")
        self.member.node.stop()
        await asyncio.wait([self.member.task], timeout=POWER_SECONDS)
        self.assertTrue(self.member.task.done(), "the daemon is still there")
        self.assert_all_whole(await sending)

    async def test_stop_waits_for_callers_that_still_come(self):
        """Guards against closing while too few daemons are ready to take callers."""
        await self.drain_backend()
        until = asyncio.get_running_loop().time() + NOTICE_SECONDS + LATE_SECONDS
        sending = asyncio.create_task(
            self.send_until(lambda: asyncio.get_running_loop().time() > until)
        )
        await asyncio.sleep(NOTICE_SECONDS)
        self.member.node.stop()
        self.assert_all_whole(await sending)

    async def test_callers_are_let_in_again_by_the_next_backend_server(self):
        """Guards against a daemon that stays and takes no callers for good."""
        await self.drain_backend()
        await self.assert_readiness(503)
        await self.backend.leave()
        await self.assert_readiness(503)
        await self.start_next_backend()
        await self.assert_readiness(200)

    async def test_crashed_backend_server_keeps_callers_in(self):
        """Guards against sending callers away from a daemon that stays."""
        self.backend.crash()
        await asyncio.sleep(0.1)
        await self.assert_readiness(200)

    async def test_restarted_daemon_of_a_leaving_backend_server_takes_no_callers(self):
        """Guards against callers cut off at the end of the grace time of a stop."""
        await self.drain_backend()
        records = self.mesh.store.find("keyed.instances").newest
        key = str(self.member.settings.daemons)
        await self.mesh.wait_until(lambda: '"leaving": true' in str(records.get(key)))
        await self.backend.leave()
        await self.restart_without_backend()
        # Another daemon may hand on an earlier record first.
        await self.mesh.wait_until(self.has_read_leave)
        await self.assert_readiness(503)

    async def test_restarted_daemon_without_a_backend_server_takes_no_callers(self):
        """Guards against callers cut off where the word to leave was not recorded."""
        await self.restart_without_backend()
        await self.assert_readiness(200)
        await asyncio.sleep(HEARTBEAT_WAIT)
        await self.assert_readiness(503)
        await self.start_next_backend()
        await self.assert_readiness(200)
