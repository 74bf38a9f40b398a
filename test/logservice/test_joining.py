"""Tests of joining through the log, with daemons and a log in memory."""

import asyncio
import random
import unittest

from bench import clocks, rounds
from bench.network import Network, wait_for
from test.daemons.test_gossip import add_daemon
from test.logservice.test_follower import FakeLog
from whinwinch.daemons import gossip
from whinwinch.logservice import client, joining


class MembersLog(FakeLog):
    """A fake log that also accepts appends."""

    async def append(self, data):
        if self.down:
            raise client.LogUnavailable("down", False)
        now = asyncio.get_running_loop().time()
        self.records.append(client.Record(len(self.records), now, data))


def start(network, log, number):
    """Start a numbered daemon; return it."""
    daemon = add_daemon(network, rounds.build_endpoint(number, 3, 1, 4))
    source = random.Random(number)
    task = asyncio.gather(
        gossip.run_gossip(daemon, source),
        joining.run_joining(log.read, log.append, daemon.members, source),
    )
    network.tasks.append(task)
    return daemon


def run_mesh(steps):
    """Run `steps(network, log)` on a simulated clock, then stop the daemons."""

    async def main():
        network, log = Network(), MembersLog()
        network.tasks = []
        try:
            await steps(network, log)
            assert not any(task.done() for task in network.tasks), network.tasks
        finally:
            for task in network.tasks:
                task.cancel()
            await asyncio.gather(*network.tasks, return_exceptions=True)

    clocks.run_jumping(main())


def is_whole(network, count):
    return lambda: {len(d.members) for d in network.daemons.values()} == {count}


class JoiningTest(unittest.TestCase):
    def test_daemons_that_start_together_become_one_mesh(self):
        """Guards against a partitioned mesh after a simultaneous start.

        All daemons start at once with an empty log.
        """

        async def steps(network, log):
            for number in range(20):
                start(network, log, number)
            await wait_for(is_whole(network, 20))

        run_mesh(steps)

    def test_restart_of_a_zone_does_not_overload_the_log(self):
        """Guards against a burst of appends when a zone restarts.

        Sixty daemons restart simultaneously; their appends would compete with the
        claims of all payouts.
        """

        async def steps(network, log):
            for number in range(6):
                start(network, log, number)
            await wait_for(is_whole(network, 6))
            await asyncio.sleep(60.0)
            before = len(log.records)
            for number in range(100, 160):
                start(network, log, number)
            await wait_for(is_whole(network, 66))
            await asyncio.sleep(240.0)
            times = [record.time for record in log.records[before:]]
            busiest = max(sum(t <= u < t + 1.0 for u in times) for t in times)
            self.assertLess(busiest, 20)
            self.assertLessEqual(len(times), 66)

        run_mesh(steps)

    def test_outage_of_the_log_does_not_matter_once_joined(self):
        async def steps(network, log):
            for number in range(6):
                start(network, log, number)
            await wait_for(is_whole(network, 6))
            log.down = True
            first = next(iter(network.daemons.values()))
            first.members.announce("archive", 7, False, 0.0)
            await wait_for(
                lambda: all(
                    d.members.find_endpoints("archive")
                    for d in network.daemons.values()
                )
            )
            await asyncio.sleep(300.0)
            self.assertTrue(is_whole(network, 6)())

        run_mesh(steps)

    def test_daemon_that_starts_while_the_log_is_down_joins_afterwards(self):
        """Guards against a daemon staying alone after an outage of the log.

        An instance is replaced during the outage. It finds no peers, retries at a
        bounded rate and joins when the log is available again.
        """

        async def steps(network, log):
            for number in range(4):
                start(network, log, number)
            await wait_for(is_whole(network, 4))
            log.down = True
            reads = log.reads
            newcomer = start(network, log, 10)
            await asyncio.sleep(300.0)
            self.assertEqual(len(newcomer.members), 1)
            self.assertLess(log.reads - reads, 2 * 300 / joining.MAX_BACKOFF + 60)
            log.down = False
            await wait_for(is_whole(network, 5), 60.0)

        run_mesh(steps)

    def test_two_meshes_discover_each_other_through_the_log(self):
        """Guards against two partial meshes that stay separate.

        Each has written its joins without knowing the other. Calls would fail for
        lack of endpoints although they exist.
        """

        async def steps(network, log):
            for number in range(2):
                start(network, log, number)
            await wait_for(is_whole(network, 2))
            # Two other daemons know only each other, as after the log lost its data.
            other = MembersLog()
            pair = [start(network, other, number) for number in (7, 8)]
            await wait_for(lambda: {len(d.members) for d in pair} == {2})
            log.records.extend(
                client.Record(len(log.records), 0.0, r.data) for r in other.records
            )
            await wait_for(is_whole(network, 4))

        run_mesh(steps)

    def test_joins_are_written_again_after_retention_empties_the_stream(self):
        """Guards against a new daemon staying alone after all joins were dropped.

        The running daemons have to write joins again.
        """

        async def steps(network, log):
            for number in range(3):
                start(network, log, number)
            await wait_for(is_whole(network, 3))
            log.first = len(log.records)
            await asyncio.sleep(400.0)
            self.assertGreater(len(log.records), log.first)
            start(network, log, 10)
            await wait_for(is_whole(network, 4), 60.0)

        run_mesh(steps)


if __name__ == "__main__":
    unittest.main()
