"""Tests of the task that writes snapshots, with the real configuration."""

import asyncio
import random
import unittest

from bench import clocks
from whinwinch import configuration
from whinwinch.configuration import Change, Configuration
from whinwinch.logservice import client, snapshots

RETENTION = 3600.0


class FakeStream:
    """A stream that drops records older than the retention."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.down = False

    async def append(self, data):
        if self.down:
            raise client.LogUnavailable("down", False)
        now = asyncio.get_running_loop().time()
        self.records.append(client.Record(len(self.records), now, data))
        return len(self.records) - 1

    def drop_old(self):
        now = asyncio.get_running_loop().time()
        while (
            self.first < len(self.records)
            and self.records[self.first].time < now - RETENTION
        ):
            self.first += 1


def build_change(number):
    return Change(f"c{number}", "Service", f"s{number}", 0, {}, "ana", "")


class Daemon:
    """A daemon that reads all new records immediately and writes snapshots."""

    def __init__(self, stream, seed):
        self.stream = stream
        self.state = Configuration()
        self.random = random.Random(seed)

    def catch_up(self):
        for record in self.stream.records[self.state.offset :]:
            self.state.apply(record.offset, record.time, record.data)

    def plan(self):
        self.catch_up()
        return configuration.plan_snapshot(
            self.state.offset,
            self.state.snapshot_covers,
            self.state.snapshot_time or 0.0,
            asyncio.get_running_loop().time(),
            RETENTION,
        )

    def run(self):
        return snapshots.run_snapshots(
            self.plan,
            self.state.encode_snapshot,
            self.stream.append,
            lambda: True,
            self.random,
        )


class SnapshotsTest(unittest.TestCase):
    def test_a_new_daemon_has_resources_whose_changes_were_dropped(self):
        """Guards against a new daemon that lacks old resources.

        A resource is declared once, and a daemon starts many hours later, when the
        log has dropped the change. Without a snapshot the daemon would not know
        which calls must never be repeated.
        """

        async def main():
            stream = FakeStream()
            await stream.append(configuration.encode_change(build_change(1)))
            writers = [Daemon(stream, seed) for seed in range(3)]
            tasks = [asyncio.create_task(writer.run()) for writer in writers]
            for _ in range(100):
                await asyncio.sleep(RETENTION / 10)
                stream.drop_old()
                self.assertLess(stream.first, len(stream.records))
            for task in tasks:
                task.cancel()
            kept = stream.records[stream.first :]
            snapshot = configuration.choose_snapshot(kept, stream.first)
            newcomer = Configuration()
            self.assertTrue(newcomer.install(snapshot))
            self.assertIsNotNone(newcomer.get("Service", "s1"))
            # Three writers write about one snapshot for each time one is due.
            self.assertLess(len(stream.records), 60)

        clocks.run_jumping(main())

    def test_an_outage_of_the_log_only_delays_a_snapshot(self):
        """Guards against losing a snapshot that is due while the log is down."""

        async def main():
            stream = FakeStream()
            await stream.append(configuration.encode_change(build_change(1)))
            writer = Daemon(stream, 1)
            task = asyncio.create_task(writer.run())
            stream.down = True
            with self.assertLogs("absl", "WARNING"):
                await asyncio.sleep(RETENTION)
            self.assertEqual(1, len(stream.records))
            stream.down = False
            await asyncio.sleep(RETENTION / 4)
            self.assertGreater(len(stream.records), 1)
            task.cancel()

        clocks.run_jumping(main())


if __name__ == "__main__":
    unittest.main()
