"""Tests of backend servers that turn down work although they have free slots."""

import asyncio
import unittest

from emulator import backend, caller, mesh, samplemesh
from whinwinch import repeats

CALL_COUNT = 8
REQUEST_COUNT = 40
PATH = "/pay/"
PAYMENT = caller.Kind("f.example", PATH, "POST", 6.0, 3.0)
DEEP_CALL = backend.Call("d.example", "/queue/", 4.0)
SERVICES = (
    mesh.Service("front", 2, 40, {PATH: backend.Work(0.01, (DEEP_CALL,) * CALL_COUNT)}),
    mesh.Service("deep", 3, 20, {"/queue/": backend.Work(0.005)}),
)
ROUTES = {
    "pay": samplemesh.build_route("f.example", PATH, "front", "unsafe", 0, 6000, 3000),
    "queue": samplemesh.build_route(
        "d.example", "/queue/", "deep", "safe", 1, 4000, 1000
    ),
}
CONFIGURATION = {**samplemesh.CONFIGURATION, "routes": ROUTES}
# Within a second of their start, daemons allow more repeats than the test needs.
AMPLE_REPEATS = repeats.RepeatLimits(1.0, 100_000.0, 10.0)
BUDGET_SECONDS = 1.0


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(SERVICES, CONFIGURATION, repeat_limits=AMPLE_REPEATS)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.entries = [member.callers for member in self.mesh.members]

    async def test_payments_survive_a_service_that_turns_down_half_of_its_calls(self):
        """Guards against failed payments while the budget of repeats has room."""
        await asyncio.sleep(BUDGET_SECONDS)
        for member in self.mesh.find("deep"):
            member.backend.faults = backend.Faults(shed=0.5)
        results = await asyncio.gather(
            *(
                caller.send_with_retries(self.entries[n % len(self.entries)], PAYMENT)
                for n in range(REQUEST_COUNT)
            )
        )
        served = sum(result.whole for result in results)
        self.assertGreaterEqual(served, 0.6 * REQUEST_COUNT, results)
        runs = [run for m in self.mesh.find("front") for run in m.backend.runs]
        self.assertEqual(len(runs), len({run.request for run in runs}))


if __name__ == "__main__":
    unittest.main()
