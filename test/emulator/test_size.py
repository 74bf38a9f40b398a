"""Tests that a daemon's links and level messages don't grow with the mesh."""

import asyncio
import unittest
import unittest.mock

from emulator import caller, mesh, samplemesh
from whinwinch.daemons import links
from whinwinch.subsets import SUBSET_SIZE

SIZE = 40
SECONDS = 2.0
BROWSE = samplemesh.FLOWS[-1].kind._replace(deadline=8.0)
# Links to readers of the log, in addition to those to called endpoints.
SOURCES = 4


def find_readers(built):
    """Return the members whose daemons read the log for others."""
    return [m for m in built.members if m.node.instance.is_reader()]


class SizeTest(unittest.TestCase):
    """Runs without asyncio's debug mode, which is too slow at this size."""

    async def check_mesh(self, size, check, zones=("a", "b")):
        """Run `check` on a mesh in which each daemon has served some requests."""
        services = tuple(
            s._replace(endpoints=size if s.name == "front" else 2)
            for s in samplemesh.SERVICES
        )
        async with mesh.Mesh(services, samplemesh.CONFIGURATION, zones) as built:
            await built.wait_until(lambda: len(find_readers(built)) == 2)
            # Links made at the start, before the readers were known, are not used
            # again.
            with unittest.mock.patch.object(links, "UNUSED_TIMEOUT", 0.5):
                await asyncio.sleep(1.0)
            entries = [member.callers for member in built.members]
            for _ in range(2):
                await asyncio.gather(
                    *(caller.send_with_retries(entry, BROWSE) for entry in entries)
                )
            await check(built)

    def test_links_of_a_daemon_are_bounded(self):
        """Each daemon calls a service with many endpoints.

        With links to all of them, a daemon of a large mesh would run out of file
        descriptors, and keep-alive messages would outnumber the calls.
        """

        async def check(built):
            # Links to endpoints of the small services, and to readers of the log.
            other_links = 4 + SOURCES
            readers = find_readers(built)
            for member in built.members:
                connected = member.node.instance.peers.count_connected()
                if member not in readers:
                    self.assertLessEqual(connected, SUBSET_SIZE + other_links)

        asyncio.run(self.check_mesh(SIZE, check))

    def test_level_messages_are_bounded(self):
        """A service is overloaded, and every daemon has a level to report.

        If hundreds of daemons reported their levels to all others ten times per
        second, there would be more of these messages than calls.
        """

        async def check(built):
            for member in built.members:
                member.node.instance.guard.find_level = lambda route: 1.5
            before = self.count_levels(built)
            await asyncio.sleep(SECONDS)
            sent_frames = self.count_levels(built) - before
            # Ten per second to a relay, twenty from it, and some between relays.
            self.assertGreater(sent_frames, len(built.members))
            self.assertLess(sent_frames, 32 * SECONDS * len(built.members))
            for member in built.members:
                instance = member.node.instance
                now = asyncio.get_running_loop().time()
                endpoints = instance.directory.find_endpoints("front")
                level = instance._reported_levels.level("browse", endpoints, now)
                self.assertAlmostEqual(level, 1.5, delta=0.05)

        asyncio.run(self.check_mesh(SIZE, check))

    def test_levels_are_stable_with_two_readers_in_one_zone(self):
        """All daemons are in one zone, and two of them read the log for it.

        If the second one forwarded its own levels as those of the zone, callers would
        alternately be admitted and refused.
        """

        async def check(built):
            for member in built.members:
                member.node.instance.guard.find_level = lambda route: 1.5
            await asyncio.sleep(0.5)
            for _ in range(20):
                await asyncio.sleep(0.03)
                now = asyncio.get_running_loop().time()
                for member in built.members:
                    instance = member.node.instance
                    endpoints = instance.directory.find_endpoints("front")
                    level = instance._reported_levels.level("browse", endpoints, now)
                    self.assertAlmostEqual(level, 1.5, delta=0.05)

        asyncio.run(self.check_mesh(6, check, ("a",)))

    def count_levels(self, built):
        return sum(
            sent.frames
            for member in built.members
            for sent in member.node.instance.traffic.list_sent()
            if sent.kind in ("levels", "levelsum")
        )


if __name__ == "__main__":
    unittest.main()
