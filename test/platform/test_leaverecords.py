"""Tests of the records of backend servers that leave."""

import asyncio
import json
import unittest
import unittest.mock

from emulator import store as emulated
from whinwinch.logservice import keyed
from whinwinch.platform import leaverecords
from whinwinch.platform.recordkeeping import INSTANCES_TOPIC
from whinwinch.platform.records import LEAVE_PREFIX
from whinwinch.platform.store import Store
from whinwinch.settings import Address
from whinwinch.starts import Leave

ADDRESS = "10.0.0.1:7"
# Begins like the other address, and is another daemon's.
OTHER_ADDRESS = "10.0.0.1:70"
LEAVE = Leave("i-1", 100)
CLEANUP_SECONDS = 0.05


class LeaveRecordsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.emulated = emulated.Store()
        port = await self.emulated.listen()
        self.store = Store(Address("127.0.0.1", port))
        self.applied = []
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.store.close()
        self.emulated.server.abort()
        await asyncio.sleep(0.02)

    def build(self, address=ADDRESS):
        records = leaverecords.LeaveRecords(
            self.store, address, self.applied.append, lambda: True
        )
        self.addCleanup(records.close)
        return records

    def maintain(self, records, is_cleaner=False):
        task = asyncio.create_task(records.maintain(lambda: is_cleaner))
        self.addCleanup(task.cancel)

    async def wait_until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.005)

    @property
    def keys(self):
        return set(self.emulated.find(INSTANCES_TOPIC).newest)

    async def test_successor_reads_what_was_written(self):
        """Guards against a leave that ends with the process."""
        self.assertTrue(await self.build().write(LEAVE, 1.0))
        self.assertTrue(
            await self.build(OTHER_ADDRESS).write(Leave("i-2", None, 700), 1.0)
        )
        for address, leave in (
            (ADDRESS, LEAVE),
            (OTHER_ADDRESS, Leave("i-2", None, 700)),
        ):
            self.maintain(self.build(address))
            await self.wait_until(lambda: self.applied)
            self.assertEqual(self.applied.pop(), (leave,))

    async def test_write_goes_on_after_the_wait(self):
        """Guards against a leave that is lost in an outage of the store."""
        records = self.build()
        self.emulated.faults = emulated.Faults(refuse=503)
        self.assertFalse(await records.write(LEAVE, 0.01))
        self.emulated.faults = emulated.Faults()
        await self.wait_until(lambda: self.keys)
        self.assertTrue(await records.write(LEAVE, 1.0))

    async def test_leave_is_written_once(self):
        """Guards against a write for each heartbeat of a leaving backend server."""
        records = self.build()
        for _ in range(3):
            self.assertTrue(await records.write(LEAVE, 1.0))
        self.assertEqual(len(self.emulated.calls), 1)

    async def test_leaves_are_read_once_the_store_is_back(self):
        """Guards against a daemon that never learns what its predecessor was told."""
        self.emulated.faults = emulated.Faults(refuse=503)
        records = self.build()
        self.maintain(records)
        await self.wait_until(lambda: self.emulated.calls)
        self.assertFalse(records.is_read)
        self.emulated.faults = emulated.Faults()
        await self.wait_until(lambda: records.is_read)
        self.assertEqual(self.applied, [()])

    @unittest.mock.patch.object(leaverecords, "CLEANUP_INTERVAL", CLEANUP_SECONDS)
    async def test_old_records_are_deleted(self):
        """Guards against records of removed daemons that grow for ever."""
        await self.build().write(LEAVE, 1.0)
        bystander = self.build(OTHER_ADDRESS)
        self.maintain(bystander)
        await asyncio.sleep(4 * CLEANUP_SECONDS)
        self.assertTrue(self.keys)
        self.maintain(self.build(OTHER_ADDRESS), is_cleaner=True)
        await self.wait_until(lambda: not self.keys)

    async def test_record_of_another_writer_is_passed_over(self):
        """Guards against a daemon that serves nobody for an unreadable record."""
        for number, value in enumerate((b"\xff", b"[]", b"{}", b'{"identity": 7}')):
            key = f"{LEAVE_PREFIX}{ADDRESS}/bad-{number}"
            self.emulated.put(INSTANCES_TOPIC, key, value)
        bad_start = json.dumps({"identity": "i", "start_time_ms": "1"}).encode()
        self.emulated.put(INSTANCES_TOPIC, f"{LEAVE_PREFIX}{ADDRESS}/bad", bad_start)
        await self.build().write(LEAVE, 1.0)
        self.maintain(self.build())
        await self.wait_until(lambda: self.applied)
        self.assertEqual(self.applied, [(LEAVE,)])

    async def test_read_of_the_whole_topic_saves_a_read_of_the_leaves(self):
        """Guards against another call to the store at each start of a daemon."""
        records = leaverecords.LeaveRecords(
            self.store, ADDRESS, self.applied.append, lambda: False
        )
        self.maintain(records)
        key = f"{LEAVE_PREFIX}{ADDRESS}/i-1"
        value = json.dumps(LEAVE._asdict()).encode()
        records.apply_records((keyed.Record(key, value), keyed.Record("h:1", b"{}")))
        self.assertFalse(records.is_read)
        self.assertEqual(self.applied, [(LEAVE,)])
        records.note_read()
        await asyncio.sleep(2 * leaverecords.READ_CHECK_INTERVAL)
        self.assertTrue(records.is_read)
        self.assertEqual(self.emulated.calls, [])
