"""Tests of the client of the store, against the stand-in and its faults."""

import asyncio
import unittest
import unittest.mock

from emulator import store as standin
from whinwinch.logservice import keyed
from whinwinch.platform import followers, store
from whinwinch.settings import Address

TOPIC = "keyed.things"


class Harness(unittest.IsolatedAsyncioTestCase):
    """Starts the stand-in and a client of it."""

    async def asyncSetUp(self):
        self.standin = standin.Store()
        port = await self.standin.listen()
        self.store = store.Store(Address("127.0.0.1", port))
        self.addAsyncCleanup(self.end)
        patch = unittest.mock.patch.object(store, "CALL_SECONDS", 0.1)
        patch.start()
        self.addCleanup(patch.stop)

    async def end(self):
        self.store.close()
        self.standin.server.end_stop()
        await asyncio.sleep(0.01)

    def fault(self, **faults):
        self.standin.faults = standin.Faults(**faults)

    async def find_outcome(self, call):
        with self.assertRaises(store.StoreError) as caught:
            await call
        return caught.exception.outcome


class StoreTest(Harness):
    async def test_newest_of_each_key_over_pages(self):
        for number in range(2 * standin.PAGE_ITEMS):
            self.standin.put(TOPIC, f"k{number % 700}", b"%d" % number)
        page = await self.store.read_newest(TOPIC)
        self.assertEqual(len(page.records), 700)
        self.assertIn(store.Record("k5", b"705", 705), page.records)
        self.assertEqual(page.end, 2 * standin.PAGE_ITEMS)

    async def test_append_and_long_read(self):
        reading = asyncio.create_task(self.store.read_on(TOPIC, 0, 5.0))
        await asyncio.sleep(0.01)
        await self.store.append(TOPIC, store.Record("k", b"v"))
        page = await reading
        self.assertEqual(page, store.Page((store.Record("k", b"v"),), 1))

    async def test_nothing_new(self):
        page = await self.store.read_on(TOPIC, 0, 0.01)
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
        self.standin.put(TOPIC, "k", b"v")
        self.standin.find(TOPIC).compact()
        outcome = await self.find_outcome(self.store.read_on(TOPIC, 0, 0.0))
        self.assertIs(outcome, store.Outcome.GONE)

    async def test_append_whose_answer_is_lost(self):
        """An append takes effect a moment after its caller gave up on it.

        Taken for not done it would be a surprise; it is of unknown outcome.
        """
        self.fault(lose=True, late=0.15)
        record = store.Record("k", b"v")
        outcome = await self.find_outcome(self.store.append(TOPIC, record))
        self.assertIs(outcome, store.Outcome.UNKNOWN)
        await asyncio.sleep(0.1)
        self.assertEqual((await self.store.read_newest(TOPIC)).records, (record,))

    async def test_record_of_another_writer(self):
        """Another writer leaves bytes that are no record of a keyed topic."""
        self.standin.find(TOPIC).records.extend([b"", b"\x09k", b"\x01\xff1"])
        self.standin.put(TOPIC, "k", b"v")
        page = await self.store.read_on(TOPIC, 0, 0.0)
        self.assertEqual(page, store.Page((store.Record("k", b"v", 3),), 4, 3))


class FollowerTest(Harness):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.taken = []

    async def follow(self):
        task = asyncio.create_task(
            followers.follow_topic(
                self.store,
                TOPIC,
                keyed.Following(keyed.Copy(self.taken.extend), 1.0),
                lambda: True,
                lambda topic, end, now: None,
                0.2,
            )
        )
        self.addCleanup(task.cancel)
        return task

    async def wait_for(self, value):
        async with asyncio.timeout(10):
            while not any(r.value == value for r in self.taken):
                await asyncio.sleep(0.005)

    async def test_changes_arrive_through_every_fault(self):
        """The store is down, turns callers away, falls silent, forgets.

        After each of these a change made meanwhile has to arrive.
        """
        await self.follow()
        for number, faults in enumerate(
            ({"refuse": 503}, {"refuse": 429}, {"silent": True}, {"delay": 0.2})
        ):
            self.fault(**faults)
            await asyncio.sleep(0.05)
            self.standin.put(TOPIC, "k", b"%d" % number)
            self.fault()
            await self.wait_for(b"%d" % number)
        self.fault(refuse=503)
        await asyncio.sleep(0.25)
        self.standin.put(TOPIC, "k", b"last")
        self.standin.find(TOPIC).compact()
        self.fault()
        await self.wait_for(b"last")
