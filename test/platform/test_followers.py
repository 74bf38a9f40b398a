"""Tests of the task that follows a topic of the store."""

import asyncio
import unittest

from whinwinch import events
from whinwinch.logservice import keyed
from whinwinch.logservice.keyed import Record
from whinwinch.platform import followers
from whinwinch.platform.store import Outcome, Page, StoreError


class RecordingLog:
    """Event log that records the events written to it."""

    lost = 0

    def __init__(self):
        self.written = []

    def write(self, kind, event):
        self.written.append((kind, event))

    def sample(self, kind, event, group=""):
        self.write(kind, event)


class ScriptedStore:
    """Store that returns or raises the given answers in order, then never answers."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.reads = []

    async def read_newest(self, topic):
        return await self._answer(("newest", topic))

    async def read_from(self, topic, offset, wait):
        return await self._answer(("on", topic, offset))

    async def _answer(self, read):
        self.reads.append(read)
        if not self._answers:
            await asyncio.Event().wait()
        answer = self._answers.pop(0)
        if isinstance(answer, StoreError):
            raise answer
        return answer


class FollowTest(unittest.IsolatedAsyncioTestCase):
    async def follow(self, *answers):
        self.log, self.applied = RecordingLog(), []
        self.store = ScriptedStore(*answers)
        events.install(self.log)
        self.addCleanup(events.install, events.NullLog())
        followed = keyed.FollowedTopic(keyed.TopicCopy(self.applied.extend), 1.0)
        task = asyncio.create_task(
            followers.follow_topic(
                self.store,
                "keyed.op",
                followed,
                lambda: True,
                lambda topic, end, now: followed.record_read(end, now),
            )
        )
        async with asyncio.timeout(5.0):
            while len(self.store.reads) <= len(answers):
                await asyncio.sleep(0.01)
        task.cancel()

    async def test_unavailable_store_is_logged_once_when_lost_and_regained(self):
        """The store doesn't answer for a while.

        Without these two lines the log would not explain why a change was delayed.
        """
        error = StoreError(Outcome.UNKNOWN, "no answer in time")
        record = Record("config", b"{}")
        await self.follow(Page((record,), 7), error, error, Page((), 7))
        lines = [event for kind, event in self.log.written if kind == "dependency"]
        self.assertEqual([line.state for line in lines], ["lost", "regained"])
        self.assertEqual(lines[0].problem, "no answer in time")
        self.assertGreater(lines[1].seconds, 0.0)
        self.assertEqual(self.applied, [record])

    async def test_newest_records_are_read_after_the_history_was_dropped(self):
        gone = StoreError(Outcome.GONE, "status 410")
        await self.follow(Page((), 7), gone, Page((), 9))
        self.assertEqual(
            [read[0] for read in self.store.reads], ["newest", "on", "newest", "on"]
        )


if __name__ == "__main__":
    unittest.main()
