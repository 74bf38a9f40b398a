"""End-to-end tests of the quotas of workspaces on the emulated platform."""

import asyncio
import unittest

from emulator import backend, caller, mesh, samplemesh
from whinwinch.messages import Reason

KEY_OF_HOT, KEY_OF_QUIET = "key-of-hot", "key-of-quiet"
RATE, BURST = 20.0, 10.0
WINDOW_SECONDS = 5.0
OVERAGE, SLACK = 0.1, 20.0
READ_PATH, PAY_PATH = "/read/", "/pay/"
READ = caller.Kind("n.example", READ_PATH, "GET", 3.0, 1.0, retries=0, key=KEY_OF_HOT)
PAY = READ._replace(path=PAY_PATH, method="POST")
SERVICES = (
    mesh.Service(
        "shop", 6, 40, {path: backend.Work(0.02) for path in (READ_PATH, PAY_PATH)}
    ),
)


def build_route(prefix, kind, priority):
    return samplemesh.build_route(
        "n.example", prefix, "shop", kind, priority, 3000, 1000
    )


def build_configuration(version, rate=RATE, burst=BURST):
    quota = {"rate_per_s": rate, "burst": burst}
    return {
        **samplemesh.CONFIGURATION,
        "version": version,
        "routes": {
            "read": build_route(READ_PATH, "safe", 2),
            "pay": build_route(PAY_PATH, "unsafe", 0),
        },
        "tenants": {
            "hot": {"api_keys": [KEY_OF_HOT], **quota},
            "quiet": {"api_keys": [KEY_OF_QUIET], **quota},
        },
    }


def find_bound(rate=RATE, burst=BURST):
    """Return the most requests of a window that the platform's page allows."""
    return (rate * WINDOW_SECONDS + burst) * (1.0 + OVERAGE) + SLACK


class QuotaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(SERVICES, build_configuration("r3"))
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.entries = [member.callers for member in self.mesh.members]

    def now(self):
        return asyncio.get_running_loop().time()

    async def send_series(self, kind, seconds, rate, entries=None):
        """Send requests to entries in turn at a constant rate; return the results."""
        entries = entries or self.entries
        tasks, start = [], self.now()
        for number in range(round(seconds * rate)):
            await asyncio.sleep(max(0.0, start + number / rate - self.now()))
            entry = entries[number % len(entries)]
            tasks.append(asyncio.create_task(caller.send_with_retries(entry, kind)))
        return await asyncio.gather(*tasks)

    def count_worst_window(self, workspace, since=0.0):
        times = sorted(
            run.time
            for member in self.mesh.members
            for run in member.backend.runs
            if run.workspace == workspace and run.time >= since
        )
        return max(
            sum(first <= time < first + WINDOW_SECONDS for time in times)
            for first in times
        )

    async def test_hot_workspace_keeps_its_quota_and_quiet_ones_are_served(self):
        """Guards against one workspace that takes what others are to have."""
        hot, quiet = await asyncio.gather(
            self.send_series(READ, 8.0, 3 * RATE),
            self.send_series(READ._replace(key=KEY_OF_QUIET), 8.0, 0.6 * RATE),
        )
        self.assertLessEqual(self.count_worst_window("hot"), find_bound())
        served = sum(each.whole for each in quiet)
        self.assertGreaterEqual(served, 0.98 * len(quiet))
        self.assertGreaterEqual(sum(each.whole for each in hot), 0.8 * 8.0 * RATE)
        refused = [each for each in hot if not each.whole]
        self.assertEqual({each.statuses for each in refused}, {(429,)})
        reasons = {sent.reason for each in refused for sent in each.answers}
        self.assertEqual(reasons, {Reason.QUOTA.value})
        self.assertTrue(all(each.retry_after > 0.0 for each in refused))

    async def test_quota_holds_for_all_requests_at_one_entry(self):
        """Guards against fixed shares: one entry may use the whole quota."""
        results = await self.send_series(READ, 8.0, 3 * RATE, self.entries[:1])
        self.assertLessEqual(self.count_worst_window("hot"), find_bound())
        served = sum(each.whole for each in results)
        self.assertGreaterEqual(served, 0.8 * 8.0 * RATE)

    async def test_payments_get_the_quota_before_reads(self):
        """Guards against refusing payments while reads use the quota."""
        await self.send_series(READ, 2.0, 2 * RATE)
        payments, _ = await asyncio.gather(
            self.send_series(PAY, 6.0, 0.5 * RATE),
            self.send_series(READ, 6.0, 2 * RATE),
        )
        served = sum(each.whole for each in payments)
        self.assertGreaterEqual(served, 0.9 * len(payments))

    async def test_lower_quota_binds_one_window_after_the_change(self):
        """Guards against tokens of the former quota that are still spent."""
        series = asyncio.create_task(self.send_series(READ, 14.0, RATE))
        await asyncio.sleep(2.0)
        self.mesh.configure(build_configuration("r4", RATE / 5, BURST / 5))
        await asyncio.sleep(2.5 + WINDOW_SECONDS)
        since = self.now()
        await series
        worst = self.count_worst_window("hot", since)
        self.assertLessEqual(worst, find_bound(RATE / 5, BURST / 5))

    async def test_quota_holds_over_a_restart_of_all_daemons(self):
        """Guards against a full bucket at each daemon that starts."""
        series = asyncio.create_task(self.send_series(READ, 9.0, 3 * RATE))
        await asyncio.sleep(4.0)
        for member in self.mesh.members:
            await self.mesh.kill(member)
        for member in tuple(self.mesh.members):
            await self.mesh.restart(member)
        await series
        self.assertLessEqual(self.count_worst_window("hot"), find_bound())

    async def test_refused_requests_give_their_token_back(self):
        """Guards against a quota that is used up by requests that did not run."""
        for member in self.mesh.members:
            member.backend.faults = backend.Faults(shed=1.0)
        await self.send_series(READ, 4.0, 0.9 * RATE)
        for member in self.mesh.members:
            member.backend.faults = backend.Faults()
        # An endpoint that refused is set aside for a while.
        await asyncio.sleep(2.0)
        results = await self.send_series(READ, 1.0, 1.2 * RATE)
        reasons = {sent.reason for each in results for sent in each.answers}
        self.assertNotIn(Reason.QUOTA.value, reasons)
