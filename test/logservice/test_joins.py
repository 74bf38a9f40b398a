"""Tests for joins on the log."""

import asyncio
import unittest

from whinwinch import messages
from whinwinch.logservice import client, joins


class FakeLog:
    """A stream in memory."""

    def __init__(self):
        self.data = []
        self.down = False

    def append(self, stream, data):
        if self.down:
            raise client.LogUnavailable("down", False)
        self.data.append(data)
        return len(self.data) - 1

    def read(self, stream, offset, limit):
        if self.down:
            raise client.LogUnavailable("down", False)
        chosen = enumerate(self.data[offset : offset + limit], offset)
        records = tuple(client.Record(at, 1e12, data) for at, data in chosen)
        return client.Page(records, 0, len(self.data))


class FakeOwn:
    def __init__(self, daemon):
        self.endpoint = messages.Endpoint(daemon, f"127.0.0.1:{daemon}")


class FakeMembers:
    def __init__(self, daemon, known=1):
        self.own = FakeOwn(daemon)
        self.contacts = []
        self.known = known

    def __len__(self):
        return self.known

    def load_join(self, endpoint):
        self.contacts.append(endpoint.daemon)


async def run_here(function, *arguments):
    """Run a blocking function at once; the others get their turn before."""
    await asyncio.sleep(0)
    return function(*arguments)


class Pauses:
    """Random numbers that make every pause end at once."""

    def random(self):
        return 0.0

    def uniform(self, low, high):
        return 0.0


async def run_for_a_while(*tasks):
    """Let tasks run for some rounds of the loop, then cancel them."""
    running = [asyncio.ensure_future(task) for task in tasks]
    for _ in range(50):
        await asyncio.sleep(0)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


class JoinsTest(unittest.IsolatedAsyncioTestCase):
    async def test_daemons_that_start_together_find_each_other(self):
        """A mesh starts for the first time, all daemons at once.

        Each reads an empty stream before the others' joins are in it. Without
        a second look they would stay alone, and callers be told no-endpoint.
        """
        log = FakeLog()
        first, second = FakeMembers("1"), FakeMembers("2")
        await run_for_a_while(
            joins.run_joins(first, log, run_here, Pauses()),
            joins.run_joins(second, log, run_here, Pauses()),
        )
        self.assertIn("2", first.contacts)
        self.assertIn("1", second.contacts)

    async def test_a_daemon_that_starts_during_an_outage_joins_after_it(self):
        """The log is down while an instance is replaced."""
        log = FakeLog()
        log.down = True
        members = FakeMembers("1")
        task = asyncio.ensure_future(joins.run_joins(members, log, run_here, Pauses()))
        await run_for_a_while()
        self.assertFalse(log.data)
        log.down = False
        await run_for_a_while()
        self.assertEqual("1", joins.decode_join(log.data[0]).daemon)
        task.cancel()

    async def test_a_zone_that_restarts_does_not_storm_the_log(self):
        """500 daemons of an availability zone restart at once.

        Appends of all of them would use the log up for seconds, and payouts
        would be told to come back later.
        """
        log = FakeLog()
        for number in range(joins.ENOUGH_RECENT):
            log.data.append(joins.encode_join(FakeOwn(str(number)).endpoint))
        zone = [FakeMembers(f"new-{number}", known=40) for number in range(500)]
        await run_for_a_while(
            *(joins.run_joins(one, log, run_here, Pauses()) for one in zone)
        )
        self.assertEqual(joins.ENOUGH_RECENT, len(log.data))

    def test_what_is_no_join_is_passed_over(self):
        for data in (b"", b"[]", b"{}", b'{"type":"join","odd":1}', b"\xff"):
            with self.subTest(data):
                self.assertIsNone(joins.decode_join(data))

    def test_a_join_survives(self):
        endpoint = messages.Endpoint("d", "127.0.0.1:1", "catalog", "a", "main", 70)
        self.assertEqual(endpoint, joins.decode_join(joins.encode_join(endpoint)))


if __name__ == "__main__":
    unittest.main()
