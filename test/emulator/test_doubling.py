"""Tests of backend servers that turn down work and send some answers twice."""

import asyncio
import collections
import unittest

from emulator import backend, caller, doubling, mesh, samplemesh
from whinwinch import repeats

PATH = "/pay/"
PAYMENT = caller.Kind("f.example", PATH, "POST", 5.0, 1.5, retries=1)
SERVICES = (
    mesh.Service("front", 2, 40, {PATH: backend.Work(0.05, (), 400)}),
    mesh.Service("other", 2, 40, {"/other/": backend.Work(0.01)}),
)
ROUTE = samplemesh.build_route("f.example", PATH, "front", "unsafe", 0, 5000, 1500)
# Each payment is sent again to the endpoint that has turned it down.
ROUTES = {"pay": {**ROUTE, "max_attempts": 1}}
CONFIGURATION = {**samplemesh.CONFIGURATION, "routes": ROUTES}
AMPLE_REPEATS = repeats.RepeatLimits(1.0, 100_000.0, 10.0)
REQUEST_COUNT = 240
REQUESTS_PER_SECOND = 30
TURNED_DOWN_SHARE = 0.5
DOUBLED_SHARE = 0.2


class DoublingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(
            SERVICES,
            CONFIGURATION,
            repeat_limits=AMPLE_REPEATS,
            build_backend=doubling.DoublingBackend,
        )
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.entries = [member.callers for member in self.mesh.members]
        self.backends = [member.backend for member in self.mesh.find("front")]

    async def send_all(self):
        """Send payments one after the other, and return their results."""
        tasks = []
        for number in range(REQUEST_COUNT):
            entry = self.entries[number % len(self.entries)]
            work = caller.send_with_retries(entry, PAYMENT)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
        return await asyncio.gather(*tasks)

    async def test_late_copy_of_a_refusal_neither_repeats_nor_refuses_a_payment(self):
        """Guards against a refusal's copy taken for the answer to the next send."""
        for server in self.backends:
            server.faults = backend.Faults(shed=TURNED_DOWN_SHARE)
            server.doubled_share = DOUBLED_SHARE
        results = await self.send_all()
        runs = collections.Counter(
            run.request for server in self.backends for run in server.runs
        )
        refused = [
            request
            for result in results
            for request, status in zip(result.requests, result.statuses, strict=True)
            if status in caller.NOT_RUN_STATUSES
        ]
        run_twice = [request for request, count in runs.items() if count > 1]
        refused_and_run = [request for request in refused if request in runs]
        self.assertEqual((run_twice, refused_and_run), ([], []))
        self.assertGreater(sum(server.copies for server in self.backends), 20)
        served = sum(result.whole for result in results)
        self.assertGreaterEqual(served, 0.9 * REQUEST_COUNT)


if __name__ == "__main__":
    unittest.main()
