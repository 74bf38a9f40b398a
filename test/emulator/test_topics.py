"""Tests that changes reach all daemons although few of them read the store."""

import asyncio
import unittest

from emulator import caller, mesh, samplemesh
from whinwinch.platform.store import Outcome, StoreError

# Time within which a change must be in force at all daemons.
MAX_PROPAGATION_SECONDS = 2.0


class TopicTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(samplemesh.SERVICES, samplemesh.CONFIGURATION)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        await self.mesh.wait_until(lambda: len(self.find_readers()) == 2)

    def find_readers(self):
        """Return the members whose daemons read the store for the others."""
        return [m for m in self.mesh.members if m.node.instance.is_reader()]

    def change(self, version):
        self.mesh.configure({**samplemesh.CONFIGURATION, "version": f"r{version}"})

    async def wait_for(self, version, members=None, seconds=MAX_PROPAGATION_SECONDS):
        members = self.mesh.members if members is None else members
        await self.mesh.wait_until(
            lambda: all(m.node.instance.table.version == version for m in members),
            seconds,
        )

    def fail_reads(self, member, error=None):
        """Make the reads of a daemon fail with `error`, or time out without one."""

        async def read(*_):
            if error is None:
                await asyncio.sleep(1.7)
                raise StoreError(Outcome.UNKNOWN, "no answer in time")
            raise StoreError(error, "turned away")

        store = member.node._store
        store.read_from = store.read_newest = read

    async def test_two_daemons_read_for_all(self):
        """Only the readers call the store while nothing changes.

        If each daemon read for itself, the store would serve thousands of calls with
        the same result.
        """
        # By then, the readers have confirmed what the daemons read during their start.
        await asyncio.sleep(1.5)
        before = [sum(m.node._store.calls.values()) for m in self.mesh.members]
        await asyncio.sleep(3.0)
        after = [sum(m.node._store.calls.values()) for m in self.mesh.members]
        called = [
            member
            for member, first, last in zip(
                self.mesh.members, before, after, strict=True
            )
            if last > first
        ]
        self.assertEqual(called, self.find_readers())

    async def test_reader_whose_read_hangs(self):
        """A read of a reader hangs, and a change is made.

        A reader that waited for its own read to time out would keep the previous
        version in force while its peers already had the new one.
        """
        reader = self.find_readers()[0]
        self.fail_reads(reader)
        # The pending read times out together with its connection.
        await asyncio.sleep(1.0)
        self.change(4)
        await self.wait_for(4, [reader], 1.0)
        await self.wait_for(4)

    async def test_readers_that_die(self):
        """All readers are killed, and a change is made.

        No daemon reports the failure; the others must detect it and read the store.
        """
        dead = self.find_readers()
        for member in dead:
            await self.mesh.kill(member)
        self.change(4)
        await self.wait_for(4, [m for m in self.mesh.members if m not in dead])

    async def test_readers_that_hang(self):
        """The reads of all readers time out.

        The readers stay alive and connected, so that only missing confirmations show
        that they no longer read.
        """
        for member in self.find_readers():
            self.fail_reads(member)
        await asyncio.sleep(0.5)
        self.change(4)
        await self.wait_for(4)

    async def test_readers_that_the_store_refuses(self):
        """The store refuses the readers and serves all other daemons."""
        for member in self.find_readers():
            self.fail_reads(member, Outcome.BUSY)
        await asyncio.sleep(0.5)
        self.change(4)
        await self.wait_for(4)

    async def test_history_that_is_lost_with_two_changes_in_it(self):
        self.change(4)
        self.change(5)
        self.mesh.store.find("keyed.op").compact()
        await self.wait_for(5)

    async def test_changes_in_quick_succession(self):
        for version in range(4, 12):
            self.change(version)
            await asyncio.sleep(0.01)
        await self.wait_for(11)

    async def test_daemon_that_restarts_after_a_change(self):
        """A daemon is down while a change is made, and applies it after its restart."""
        reader = self.find_readers()[0]
        await self.mesh.kill(reader)
        self.change(4)
        again = await self.mesh.restart(reader)
        await self.wait_for(4, [again])

    async def test_daemon_that_restarts_while_the_store_is_down(self):
        """A daemon is restarted while the store is down.

        Without the state of its peers, its callers would get 503 and its backend
        server no work until the store is back.
        """
        # Prefer a daemon that isn't a reader, which is the usual case.
        deep = self.mesh.find("deep")
        member = min(deep, key=lambda member: member.node.instance.is_reader())
        self.mesh.store.faults = self.mesh.store.faults._replace(refuse=503)
        member.node.stop()
        await member.task
        again = await self.mesh.restart(member)
        await self.wait_for(3, [again])
        runs_before = len(again.backend.runs)
        status = samplemesh.FLOWS[1].kind._replace(deadline=5.0)
        for _ in range(20):
            results = await asyncio.gather(
                *(
                    caller.send_with_retries(m.callers, status)
                    for m in self.mesh.members
                )
            )
            self.assertTrue(all(each.whole for each in results), results)
            await asyncio.sleep(0.1)
        self.assertGreater(len(again.backend.runs), runs_before)


if __name__ == "__main__":
    unittest.main()
