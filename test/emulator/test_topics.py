"""Tests of how a change reaches all daemons though few of them read the store."""

import asyncio
import unittest

from emulator import caller, mesh, press
from whinwinch.platform.store import Outcome, StoreError

# Seconds within which a change has to be in force everywhere.
BOUND = 2.0


class TopicTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.mesh = mesh.Mesh(press.SERVICES, press.CONFIGURATION)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        await self.mesh.wait_until(lambda: len(self.find_readers()) == 2)

    def find_readers(self):
        """Return the members that read the store for the others."""
        return [m for m in self.mesh.members if m.node.instance.is_reader()]

    def change(self, version):
        self.mesh.configure({**press.CONFIGURATION, "version": f"r{version}"})

    async def wait_for(self, version, members=None, seconds=BOUND):
        members = self.mesh.members if members is None else members
        await self.mesh.wait_until(
            lambda: all(m.node.instance.table.version == version for m in members),
            seconds,
        )

    def fail_reads(self, member, error=None):
        """Let the reads of one daemon fail, or hang until they are given up."""

        async def read(*_):
            if error is None:
                await asyncio.sleep(1.7)
                raise StoreError(Outcome.UNKNOWN, "no answer in time")
            raise StoreError(error, "turned away")

        store = member.node._store
        store.read_from = store.read_newest = read

    async def test_two_read_for_all(self):
        """Nothing happens for a while.

        If each daemon read for itself, the store would serve thousands of calls that
        all say the same.
        """
        # What the daemons read while they started has been confirmed by then.
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
        """The connection of a reader to the store falls silent, then a change is made.

        Until it gave up its read it answered as the version before says; its peers
        had the new one all the while.
        """
        reader = self.find_readers()[0]
        self.fail_reads(reader)
        # The read that is out is given up with its connection.
        await asyncio.sleep(1.0)
        self.change(4)
        await self.wait_for(4, [reader], 1.0)
        await self.wait_for(4)

    async def test_readers_that_die(self):
        """All daemons that read for the others are killed, and a change follows.

        Nobody tells the others of it; they have to notice and to read.
        """
        dead = self.find_readers()
        for member in dead:
            await self.mesh.kill(member)
        self.change(4)
        await self.wait_for(4, [m for m in self.mesh.members if m not in dead])

    async def test_readers_that_hang(self):
        """All daemons that read for the others stop hearing of the store.

        They live and are connected, so only their silence tells that they read no
        more.
        """
        for member in self.find_readers():
            self.fail_reads(member)
        await asyncio.sleep(0.5)
        self.change(4)
        await self.wait_for(4)

    async def test_readers_that_are_turned_away(self):
        """The store turns those away that read for the others, and serves the rest."""
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

    async def test_daemon_that_comes_back_after_a_change(self):
        """A daemon is away while a change is made and hears of it when it is back."""
        reader = self.find_readers()[0]
        await self.mesh.kill(reader)
        self.change(4)
        again = await self.mesh.start_again(reader)
        await self.wait_for(4, [again])

    async def test_daemon_that_starts_anew_while_the_store_is_away(self):
        """The store is down, and a daemon is stopped and started again meanwhile.

        Its callers would get 503 and its backend server no work until the store is
        back, though all its peers know what it has forgotten.
        """
        # Both may read for their zones; one that doesn't is the usual case.
        deep = self.mesh.find("deep")
        member = min(deep, key=lambda member: member.node.instance.is_reader())
        self.mesh.store.faults = self.mesh.store.faults._replace(refuse=503)
        member.node.stop()
        await member.task
        again = await self.mesh.start_again(member)
        await self.wait_for(3, [again])
        seen = len(again.backend.runs)
        status = press.FLOWS[1].kind._replace(deadline=5.0)
        for _ in range(20):
            told = await asyncio.gather(
                *(caller.ask(m.callers, status) for m in self.mesh.members)
            )
            self.assertTrue(all(each.whole for each in told), told)
            await asyncio.sleep(0.1)
        self.assertGreater(len(again.backend.runs), seen)


if __name__ == "__main__":
    unittest.main()
