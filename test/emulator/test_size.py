"""Tests that what a daemon does for others doesn't grow with their number."""

import asyncio
import unittest
import unittest.mock

from emulator import caller, mesh, press
from whinwinch.daemons import links
from whinwinch.subsets import SUBSET_SIZE

SIZE = 40
SECONDS = 2.0
BROWSE = press.FLOWS[-1].kind._replace(deadline=8.0)
# Besides the endpoints that a daemon calls: readers of the log.
SOURCES = 4


def find_readers(built):
    """Return the members that read the log for others."""
    return [m for m in built.members if m.node.instance.is_reader()]


class SizeTest(unittest.TestCase):
    """Without the loop's debugging, which takes most of the time at this size."""

    async def play(self, size, check, zones=("a", "b")):
        """Check a mesh in which each daemon has served some requests."""
        services = tuple(
            s._replace(endpoints=size if s.name == "front" else 2)
            for s in press.SERVICES
        )
        async with mesh.Mesh(services, press.CONFIGURATION, zones) as built:
            await built.wait_until(lambda: len(find_readers(built)) == 2)
            # Links of the start, when nobody knew who reads, are not used again.
            with unittest.mock.patch.object(links, "UNUSED_TIMEOUT", 0.5):
                await asyncio.sleep(1.0)
            entries = [member.callers for member in built.members]
            for _ in range(2):
                await asyncio.gather(*(caller.ask(entry, BROWSE) for entry in entries))
            await check(built)

    def test_links_of_a_daemon_are_bounded(self):
        """Each daemon calls a service of many endpoints.

        Connected with all of them, a daemon of a large mesh would run out of
        descriptors, and signs of life would outweigh the calls.
        """

        async def check(built):
            # Those of the small services, and readers of the log.
            more = 4 + SOURCES
            readers = find_readers(built)
            for member in built.members:
                connected = member.node.instance.peers.count_connected()
                if member not in readers:
                    self.assertLessEqual(connected, SUBSET_SIZE + more)

        asyncio.run(self.play(SIZE, check))

    def test_levels_are_told_a_few_times_only(self):
        """A service is full, and every daemon has a level to tell.

        Told to all others ten times a second, levels of hundreds of daemons are more
        messages than there are calls.
        """

        async def check(built):
            for member in built.members:
                member.node.instance.guard.find_level = lambda route: 1.5
            before = self.count_levels(built)
            await asyncio.sleep(SECONDS)
            told = self.count_levels(built) - before
            # Ten a second to a relay, and twenty from it, and some between relays.
            self.assertGreater(told, len(built.members))
            self.assertLess(told, 32 * SECONDS * len(built.members))
            for member in built.members:
                instance = member.node.instance
                now = asyncio.get_running_loop().time()
                endpoints = instance.directory.find_endpoints("front")
                level = instance._reported_levels.level("browse", endpoints, now)
                self.assertAlmostEqual(level, 1.5, delta=0.05)

        asyncio.run(self.play(SIZE, check))

    def test_levels_hold_where_two_read_for_one_zone(self):
        """All daemons stand in one zone, and two of them read the log for it.

        Did the second pass on its own levels as those of all, callers would be let in
        and refused in turn.
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

        asyncio.run(self.play(6, check, ("a",)))

    def count_levels(self, built):
        return sum(
            sent.frames
            for member in built.members
            for sent in member.node.instance.traffic.list_sent()
            if sent.kind in ("levels", "levelsum")
        )


if __name__ == "__main__":
    unittest.main()
