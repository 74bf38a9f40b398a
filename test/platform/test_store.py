"""Tests of the client of the store, against an emulated store with faults."""

import asyncio
import unittest
import unittest.mock

from emulator import store as emulated
from whinwinch.logservice import keyed
from whinwinch.platform import followers, store
from whinwinch.settings import Address

TOPIC = "keyed.things"


class Harness(unittest.IsolatedAsyncioTestCase):
    """Starts an emulated store and a client of it."""

    async def asyncSetUp(self):
        self.emulated = emulated.Store()
        port = await self.emulated.listen()
        self.store = store.Store(Address("127.0.0.1", port))
        self.addAsyncCleanup(self.end)
        patch = unittest.mock.patch.object(store, "CALL_TIMEOUT", 0.1)
        patch.start()
        self.addCleanup(patch.stop)

    async def end(self):
        self.store.close()
        self.emulated.server.end_stop()
        await asyncio.sleep(0.01)

    def fault(self, **faults):
        self.emulated.faults = emulated.Faults(**faults)

    async def find_outcome(self, call):
        with self.assertRaises(store.StoreError) as caught:
            await call
        return caught.exception.outcome


class StoreTest(Harness):
    async def test_newest_record_of_each_key_over_several_pages(self):
        for number in range(2 * emulated.PAGE_ITEMS):
            self.emulated.put(TOPIC, f"k{number % 700}", b"%d" % number)
        page = await self.store.read_newest(TOPIC)
        self.assertEqual(len(page.records), 700)
        self.assertIn(store.Record("k5", b"705", 705), page.records)
        self.assertEqual(page.end, 2 * emulated.PAGE_ITEMS)

    async def test_append_and_long_read(self):
        reading = asyncio.create_task(self.store.read_from(TOPIC, 0, 5.0))
        await asyncio.sleep(0.01)
        await self.store.append(TOPIC, store.Record("k", b"v"))
        page = await reading
        self.assertEqual(page, store.Page((store.Record("k", b"v"),), 1))

    async def test_read_without_new_records(self):
        page = await self.store.read_from(TOPIC, 0, 0.01)
        self.assertEqual(page, store.Page((), 0))

    async def test_outcomes(self):
        record = store.Record("k", b"v")
        self.fault(refuse=429)
        outcome = await self.find_outcome(self.store.append(TOPIC, record))
        self.assertIs(outcome, store.Outcome.BUSY)
        self.fault(silent=True)
        outcome = await self.find_outcome(self.store.read_newest(TOPIC))
        self.assertIs(outcome, store.Outcome.UNKNOWN)
        self.fault()
        self.emulated.put(TOPIC, "k", b"v")
        self.emulated.find(TOPIC).compact()
        outcome = await self.find_outcome(self.store.read_from(TOPIC, 0, 0.0))
        self.assertIs(outcome, store.Outcome.GONE)

    async def test_append_whose_answer_is_lost(self):
        """An append takes effect shortly after its call has timed out.

        Its outcome must be unknown: reported as not done, it would be wrong.
        """
        self.fault(lose=True, late=0.15)
        record = store.Record("k", b"v")
        outcome = await self.find_outcome(self.store.append(TOPIC, record))
        self.assertIs(outcome, store.Outcome.UNKNOWN)
        await asyncio.sleep(0.1)
        self.assertEqual((await self.store.read_newest(TOPIC)).records, (record,))

    async def test_record_of_another_writer(self):
        """Another program writes bytes that are no record of a keyed topic."""
        self.emulated.find(TOPIC).records.extend([b"", b"\x09k", b"\x01\xff1"])
        self.emulated.put(TOPIC, "k", b"v")
        page = await self.store.read_from(TOPIC, 0, 0.0)
        self.assertEqual(page, store.Page((store.Record("k", b"v", 3),), 4, 3))


class FollowerTest(Harness):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.applied = []

    async def follow(self):
        task = asyncio.create_task(
            followers.follow_topic(
                self.store,
                TOPIC,
                keyed.FollowedTopic(keyed.TopicCopy(self.applied.extend), 1.0),
                lambda: True,
                lambda topic, end, now: None,
                0.2,
            )
        )
        self.addCleanup(task.cancel)
        return task

    async def wait_for(self, value):
        async with asyncio.timeout(10):
            while not any(r.value == value for r in self.applied):
                await asyncio.sleep(0.005)

    async def test_changes_arrive_through_every_fault(self):
        """The store is down, refuses calls, doesn't answer, or has dropped its history.

        A change made during each of these faults has to arrive afterwards.
        """
        await self.follow()
        for number, faults in enumerate(
            ({"refuse": 503}, {"refuse": 429}, {"silent": True}, {"delay": 0.2})
        ):
            self.fault(**faults)
            await asyncio.sleep(0.05)
            self.emulated.put(TOPIC, "k", b"%d" % number)
            self.fault()
            await self.wait_for(b"%d" % number)
        self.fault(refuse=503)
        await asyncio.sleep(0.25)
        self.emulated.put(TOPIC, "k", b"last")
        self.emulated.find(TOPIC).compact()
        self.fault()
        await self.wait_for(b"last")
