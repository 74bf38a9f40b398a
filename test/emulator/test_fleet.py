"""Tests of the summary of a mesh's state."""

import asyncio
import unittest

from emulator import caller, mesh, samplemesh
from whinwinch import fleet

BROWSE = samplemesh.FLOWS[-1].kind._replace(deadline=8.0)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_state_of_a_mesh_with_a_daemon_that_is_down(self):
        async with mesh.Mesh(samplemesh.SERVICES, samplemesh.CONFIGURATION) as running:
            settings = [member.settings for member in running.members]
            pages = [f"{given.daemons.host}:{given.metrics}" for given in settings]
            await running.kill(running.find("front")[0])
            entry = running.find("front")[1].callers
            report = asyncio.create_task(
                asyncio.to_thread(fleet.measure_fleet, pages, 1.5)
            )
            await asyncio.gather(
                *(caller.send_with_retries(entry, BROWSE) for _ in range(6))
            )
            found = await report
        self.assertEqual(len(found.unreachable), 1)
        daemons = {service.name: service.daemons for service in found.services}
        self.assertEqual(daemons, {"front": 1, "middle": 2, "deep": 2})
        deep = next(s for s in found.services if s.name == "deep")
        self.assertEqual(deep.slots, 4)
        self.assertGreater(deep.ended, 0.0)
        self.assertEqual(set(found.versions), {3})
