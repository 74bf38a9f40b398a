"""Tests of the task that reads the configuration, with a simulated clock."""

import asyncio
import random
import unittest

from bench import clocks
from test.logservice.test_relay import FakeConfiguration, build_records
from whinwinch.logservice import client, follower


class FakeLog:
    """A log that keeps records from `first` on; `down` makes every read fail."""

    def __init__(self, *data):
        self.records = build_records(*data)
        self.first = 0
        self.down = False
        self.reads = 0

    async def read(self, offset, limit, wait):
        self.reads += 1
        if self.down:
            raise client.LogUnavailable("down", False)
        if offset >= len(self.records):
            await asyncio.sleep(wait)
        found = [r for r in self.records[self.first :] if r.offset >= offset]
        return client.Page(tuple(found[:limit]), self.first, len(self.records))


class FollowerTest(unittest.TestCase):
    def follow(self, log, seconds, act=lambda: None, is_reader=lambda now: True):
        """Run the task for some seconds and call `act` after half of them."""
        configuration = FakeConfiguration()

        async def main():
            wake = asyncio.Event()
            task = asyncio.create_task(
                follower.run_follower(
                    log.read, configuration.relay, is_reader, wake, random.Random(1)
                )
            )
            await asyncio.sleep(seconds / 2)
            act()
            await asyncio.sleep(seconds / 2)
            task.cancel()
            return wake.is_set(), configuration.relay.find_age(
                asyncio.get_running_loop().time()
            )

        woken, age = clocks.run_jumping(main())
        return configuration, woken, age

    def test_reads_to_the_end_and_goes_on(self):
        log = FakeLog(b"a", b"b")
        configuration, woken, age = self.follow(
            log, 20.0, lambda: log.records.extend(build_records(b"", b"", b"c")[2:])
        )
        self.assertEqual(configuration.offset, 3)
        self.assertTrue(woken)
        self.assertLessEqual(age, follower.POLL_WAIT)

    def test_does_not_read_when_it_is_not_a_reader(self):
        log = FakeLog(b"a")
        configuration, woken, _ = self.follow(log, 60.0, is_reader=lambda now: False)
        self.assertEqual((log.reads, configuration.offset, woken), (0, 0, False))

    def test_recovers_soon_after_an_outage_at_a_bounded_rate(self):
        """Guards against a burst of reads after a long outage of the log.

        A reader retries at a bounded rate during the outage, and reads a change
        within seconds afterwards.
        """
        log = FakeLog(b"a")
        log.down = True
        seconds = 600.0
        half = []

        def end_outage():
            half.append(log.reads)
            log.down = False

        configuration, _, _ = self.follow(log, seconds, end_outage)
        shortest = follower.MAX_BACKOFF / 2
        self.assertLess(half[0], seconds / 2 / shortest + 10)
        self.assertEqual(configuration.offset, 1)

    def test_returns_to_records_that_a_snapshot_does_not_cover(self):
        """Guards against losing records that were written during a snapshot.

        Retention has dropped the first records. The reader applies nothing after
        the gap until it finds a snapshot, then reads again the records that the
        snapshot does not cover.
        """
        log = FakeLog(b"a", b"b", b"c", b"s2", b"d")
        log.first = 1
        configuration, _, _ = self.follow(log, 20.0)
        self.assertEqual(configuration.offset, 5)

    def test_gap_without_snapshot_is_never_skipped(self):
        log = FakeLog(b"a", b"b", b"c")
        log.first = 1
        configuration, _, age = self.follow(log, 20.0)
        self.assertEqual(configuration.offset, 0)
        self.assertEqual(age, float("inf"))

    def test_backoff_is_bounded_and_jittered(self):
        source = random.Random(1)
        waits = [follower.draw_backoff(50, source) for _ in range(100)]
        self.assertLessEqual(max(waits), follower.MAX_BACKOFF)
        self.assertGreater(max(waits) - min(waits), 1.0)


if __name__ == "__main__":
    unittest.main()
