"""Tests of the claimer with an in-memory log and a simulated clock."""

import asyncio
import random
import unittest
from typing import NamedTuple

from whinwinch import claims
from whinwinch.claims import Claim, Claims, Verdict
from whinwinch.errors import UserError
from whinwinch.logservice import claimer

START = 1_800_000_000.0
GENERATOR = random.Random(3)


class LogUnavailable(UserError):
    def __init__(self, written):
        super().__init__("the log does not answer")
        self.written = written


class Record(NamedTuple):
    offset: int
    time: float
    data: bytes


class Page(NamedTuple):
    records: tuple
    first: int
    next: int


class PausedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances to the next timer instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self._wait = self._selector.select
        self._selector.select = self._jump

    def time(self):
        return self.now

    def _jump(self, timeout=None):
        if timeout:
            self.now += timeout
        return self._wait(0)


class FakeLog:
    """An in-memory log with scripted failures.

    `faults` has one entry for each of the next appends: with None it succeeds, with
    "refused" it is not written, with "lost" only its answer is lost. All further
    appends succeed unless `down` is set.
    """

    def __init__(self, loop):
        self.loop = loop
        self.records = []
        self.first = 0
        self.faults = []
        self.down = False
        self.appends = 0

    def get_time(self):
        return START + self.loop.time()

    def append(self, stream, data, timeout):
        self.appends += 1
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == "refused":
            raise LogUnavailable(False)
        self.records.append(Record(len(self.records), self.get_time(), data))
        if fault == "lost":
            raise LogUnavailable(None)
        return len(self.records) - 1

    def read(self, stream, offset, limit, wait, timeout):
        if self.down:
            raise LogUnavailable(False)
        start = max(offset, self.first)
        kept = tuple(self.records[start : start + limit])
        return Page(kept, self.first, len(self.records))

    def drop_all(self):
        self.first = len(self.records)


async def run_now(function, *arguments):
    await asyncio.sleep(0)
    return function(*arguments)


def make_key():
    return claims.make_key(START, GENERATOR.getrandbits(74))


class ClaimerTest(unittest.TestCase):
    def setUp(self):
        self.loop = PausedLoop()
        self.addCleanup(self.loop.close)
        self.log = FakeLog(self.loop)
        self.tasks = []
        self.addCleanup(self.stop)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))

    def start(self, incarnation="g1", run=run_now, **options):
        started = claimer.Claimer(
            self.log,
            "royalties",
            incarnation,
            LogUnavailable,
            run=run,
            state=Claims(retention=3600.0),
            draw=lambda: 1.0,
            **options,
        )
        self.tasks.append(self.loop.create_task(started.run()))
        return started

    def wait(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def claim(self, one, key, attempt="a1", deadline=60.0):
        return self.wait(one.claim(key, attempt, self.loop.time() + deadline))

    def read_all(self):
        entries = []
        for record in self.log.records:
            entries.extend(claims.decode_batch(record.data).entries)
        return entries

    def test_one_claim_wins_and_the_other_loses(self):
        """Guards against a retry at another daemon winning the same key."""
        key = make_key()
        self.assertIs(self.claim(self.start("g1"), key).verdict, Verdict.WON)
        lost = self.claim(self.start("g2"), key, "a2")
        self.assertEqual(lost[:2], (Verdict.LOST, "a1"))

    def test_a_duplicate_message_does_not_run(self):
        """Guards against running a request that reaches its gatekeeper twice.

        Both copies carry the same attempt, so by the log alone both would win.
        """
        one = self.start()
        key = make_key()
        self.assertIs(self.claim(one, key).verdict, Verdict.WON)
        self.assertIs(self.claim(one, key).verdict, Verdict.LOST)

    def test_claims_that_come_together_share_an_append(self):
        one = self.start()

        async def claim_many():
            claim_calls = [one.claim(make_key(), f"a{n}", 60.0) for n in range(300)]
            return await asyncio.gather(*claim_calls)

        verdicts = self.wait(claim_many())
        self.assertEqual({each.verdict for each in verdicts}, {Verdict.WON})
        self.assertLessEqual(self.log.appends, 2)

    def test_appends_become_less_frequent_when_the_log_slows_down(self):
        """Guards against overloading a log that hundreds of gatekeepers share.

        If each kept its append rate near the log's limit, the log would fail for all.
        """
        one = self.start(run=self.make_slow_runner(0.1))

        async def claim_for(seconds):
            claim_calls = []
            while self.loop.time() < seconds:
                claim_call = one.claim(make_key(), f"a{len(claim_calls)}", 60.0)
                claim_calls.append(asyncio.ensure_future(claim_call))
                await asyncio.sleep(0.01)
            return await asyncio.gather(*claim_calls)

        verdicts = self.wait(claim_for(10.0))
        self.assertEqual({each.verdict for each in verdicts}, {Verdict.WON})
        self.assertLessEqual(self.log.appends, 10.0 / (3 * 0.1))

    def test_a_claim_that_would_wait_too_long_is_refused_immediately(self):
        """Guards against a claim waiting in vain for an append after its deadline.

        The log is slow. The caller learns immediately that the request was not run,
        and no release is needed.
        """
        one = self.start(run=self.make_slow_runner(0.9), verdict_timeout=5.0)
        for number in range(8):
            self.claim(one, make_key(), f"a{number}")
        before = self.loop.time()
        refused = self.claim(one, make_key(), "late", deadline=0.5)
        self.assertIs(refused.verdict, Verdict.LOG_DOWN)
        self.assertGreater(refused.retry_after, 0.5)
        self.assertEqual(self.loop.time(), before)

    def make_slow_runner(self, seconds):
        async def run(function, *arguments):
            if function == self.log.append:
                await asyncio.sleep(seconds)
            return function(*arguments)

        return run

    def test_a_lost_answer_is_resolved_by_reading_on(self):
        """Guards against losing a claim whose append was written but not answered.

        The writer can't know whether it has won until it reads its claim back.
        """
        self.log.faults = ["lost"]
        self.assertIs(self.claim(self.start(), make_key()).verdict, Verdict.WON)
        self.assertEqual(self.log.appends, 1)

    def test_claims_are_refused_immediately_while_the_log_is_down(self):
        """Guards against a payout waiting for a log that is down.

        The caller learns promptly that it was not run and when to retry.
        """
        self.log.down = True
        one = self.start()
        before = self.loop.time()
        refused = self.claim(one, make_key())
        again = self.claim(one, make_key(), "a2")
        for verdict in (refused, again):
            self.assertIs(verdict.verdict, Verdict.LOG_DOWN)
            self.assertGreater(verdict.retry_after, 0)
        self.assertEqual(self.loop.time(), before)

    def test_a_claim_that_was_given_up_is_released(self):
        """Guards against a key that stays claimed after an outage of the log.

        The log writes a claim and fails before it can be read back, so the caller
        gets "not run". Afterwards the key must be free for the caller's retry.
        """
        one = self.start()
        key = make_key()
        append = self.log.append

        def append_and_go_down(*arguments):
            self.log.down = True
            self.log.append = append
            self.log.records.append(Record(0, self.log.get_time(), arguments[1]))
            raise LogUnavailable(None)

        self.log.append = append_and_go_down
        self.assertIs(self.claim(one, key).verdict, Verdict.LOG_DOWN)
        self.log.down = False
        self.wait(one.flush())
        self.assertIs(self.claim(one, key, "a2").verdict, Verdict.WON)

    def test_the_log_is_used_again_after_an_outage(self):
        one = self.start()
        self.log.down = True
        refused = self.claim(one, make_key())
        self.log.down = False
        self.wait(asyncio.sleep(refused.retry_after))
        self.assertIs(self.claim(one, make_key(), "a2").verdict, Verdict.WON)

    def test_a_claim_past_its_deadline_never_wins(self):
        """Guards against running work whose verdict arrives after the deadline.

        The log hangs until the caller's deadline has passed.
        """
        gate = asyncio.Event()

        async def run_later(function, *arguments):
            await gate.wait()
            return function(*arguments)

        one = self.start(run=run_later)
        key = make_key()
        verdict = self.claim(one, key, deadline=1.0)
        self.assertIs(verdict.verdict, Verdict.ABANDONED)
        gate.set()
        self.wait(one.flush())
        other = self.start("g2")
        self.assertIs(self.claim(other, key, "a2").verdict, Verdict.WON)

    def test_a_caller_that_disconnects_releases_the_key(self):
        one = self.start()
        key = make_key()

        async def claim_and_cancel():
            claim_call = asyncio.ensure_future(one.claim(key, "a1", 60.0))
            while not self.log.records:
                await asyncio.sleep(0)
            claim_call.cancel()
            await asyncio.gather(claim_call, return_exceptions=True)

        self.wait(claim_and_cancel())
        self.wait(one.flush())
        self.assertIs(self.claim(one, key, "a2").verdict, Verdict.WON)

    def test_a_stream_whose_records_were_dropped_can_be_used(self):
        """Guards against failing claims where retention has emptied the stream.

        A service makes one payout an hour and the log keeps records for less.
        """
        self.claim(self.start("g1"), make_key())
        self.log.drop_all()
        self.assertIs(self.claim(self.start("g2"), make_key()).verdict, Verdict.WON)

    def test_a_new_reader_skips_expired_records(self):
        """Guards against a new gatekeeper reading the whole stream of a busy service.

        That would take longer than the caller of the first payout waits.
        """
        key = make_key()
        old = claims.encode_batch([Claim(make_key(), "x", "g0")])
        for number in range(100_000):
            time = START - 50_000 + number / 2
            self.log.records.append(Record(number, time, old))
        first = claims.encode_batch([Claim(key, "a1", "g1")])
        self.log.records.append(Record(100_000, START, first))
        reads = []
        read = self.log.read

        def count_read(*arguments):
            reads.append(arguments)
            return read(*arguments)

        self.log.read = count_read
        one = self.start("g2")
        self.assertIs(self.claim(one, key, "a2").verdict, Verdict.LOST)
        self.assertIs(self.claim(one, make_key(), "a3").verdict, Verdict.WON)
        self.assertLess(len(reads), 60)

    def test_records_dropped_after_the_append_are_a_gap(self):
        """Guards against winning a claim after unread records were dropped.

        The daemon is paused between append and read for longer than the retention.
        The dropped records may contain an earlier claim, so the work does not run.
        Its claim is released for readers that did see it.
        """
        one = self.start()
        append = self.log.append

        def append_and_drop(stream, data, timeout):
            offset = append(stream, data, timeout)
            if len(self.log.records) == 2:
                self.log.first = 1
            return offset

        self.log.append = append_and_drop
        self.log.records.append(Record(0, START, b""))
        state = one._state
        one._last_read = 0.0
        key = make_key()
        self.assertIs(self.claim(one, key).verdict, Verdict.GAP)
        self.assertEqual(state.skips, 1)
        self.wait(one.flush())
        self.assertIn(claims.Release(key, "a1", "g1"), self.read_all())

    def test_a_stale_key_is_refused(self):
        old = claims.make_key(START - claims.KEY_WINDOW - 5, 1)
        self.assertIs(self.claim(self.start(), old).verdict, Verdict.STALE)
        self.assertIs(self.claim(self.start(), "k").verdict, Verdict.STALE)

    def test_done_records_reach_later_claims(self):
        one = self.start()
        key = make_key()
        self.claim(one, key)
        one.record_done(key, "a1", 201)
        self.wait(one.flush())
        later = self.claim(self.start("g2"), key, "a2")
        self.assertEqual(later[:4], (Verdict.LOST, "a1", True, 201))

    def test_at_most_one_attempt_wins_whatever_fails(self):
        """Guards against two winners while appends fail and callers retry."""
        generator = random.Random(11)
        for _ in range(60):
            self.log.faults = generator.choices([None, "lost", "refused"], k=12)
            self.log.records.clear()
            ones = [self.start(f"g{n}", verdict_timeout=5.0) for n in range(3)]
            key = make_key()
            verdicts = [
                self.claim(generator.choice(ones), key, f"a{n}") for n in range(6)
            ]
            won = [each for each in verdicts if each.verdict is Verdict.WON]
            self.assertLessEqual(len(won), 1)

    def test_the_claim_is_in_the_log_before_it_wins(self):
        key = make_key()
        self.claim(self.start(), key)
        self.assertIn(Claim(key, "a1", "g1"), self.read_all())


if __name__ == "__main__":
    unittest.main()
