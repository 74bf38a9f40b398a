"""Task that writes one service's claims to the log and reads the verdicts.

Load pattern: many keyed requests arrive together, while the log accepts several
hundred appends a second from all daemons. Each append therefore carries all claims
that were queued during the previous append.

The task owns its state and runs on the event loop. It calls the blocking log
client through a runner that is passed in. It returns LOG_DOWN promptly when the log
does not answer, and never WON without having read the claim back.
"""

import asyncio
import collections
import random
from typing import NamedTuple

from .. import claims
from ..claims import Claim, ClaimVerdict, Done, Release, Verdict
from . import streams

# Maximum number of entries in one append: about 75 kB, which the log carries in one
# message.
MAX_BATCH_ENTRIES = 500

# Maximum number of records in one read.
MAX_PAGE_RECORDS = 200

# Number of unread records above which a reader searches for the first relevant one
# instead of reading all: about ten reads of one record replace at least ten reads
# of a page.
SEARCH_THRESHOLD = 10 * MAX_PAGE_RECORDS

# Maximum number of queued entries. Beyond it new claims are refused; a queue that
# grew during an outage would be stale when the log answers again.
MAX_QUEUED_ENTRIES = 5_000

# Maximum number of remembered claims, by which duplicate messages of an attempt
# are detected and not run twice.
MAX_REMEMBERED_CLAIMS = 100_000

# Seconds that a claim waits for its verdict before LOG_DOWN is returned.
VERDICT_TIMEOUT = 2.0

# Timeout of one call to the log, in seconds.
CALL_TIMEOUT = 1.0

# Seconds that the log may delay a read until an expected record is available.
READ_WAIT = 0.25

# Minimum and maximum seconds between the starts of two appends of one task; the first
# append starts immediately. The interval grows with the time that an append takes:
# the log accepts several hundred appends a second from all daemons and slows down
# before it fails.
MIN_APPEND_INTERVAL = 0.02
MAX_APPEND_INTERVAL = 8.0
APPEND_INTERVAL_FACTOR = 4.0

# Weight of the newest append in the moving average of the append time.
APPEND_TIME_WEIGHT = 0.25

# Seconds without a read after which the task reads before it appends, so that it
# detects dropped records before its claim is sent.
MAX_READ_AGE = 30.0

# Bounds in seconds of the exponential backoff after failed calls.
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 4.0


class Waiter(NamedTuple):
    """A claim whose verdict a caller awaits.

    Attributes:
        claim: The `Claim`.
        future: Future of the `ClaimVerdict`.
    """

    claim: Claim
    future: asyncio.Future


class Claimer:
    """Writer of the claims for one service by one incarnation of a daemon.

    All methods must be called on the event loop's thread.

    Args:
        client: Log client with `append` and `read`.
        service: Name of the service.
        incarnation: Identifier of this daemon, new at every start.
        unavailable: Error class of the client, like `client.LogUnavailable` with an
            attribute `written`.
        run: Awaitable function that runs a blocking function with its arguments.
        state: The `claims.Claims` that applies the records, or None for a new one.
        verdict_timeout: Seconds after which a claim gets LOG_DOWN.
        timeout: Timeout of one call to the log, in seconds.
        draw: Function that returns a random float from 0 to 1, for the backoff.
        trace_record: Trace hook, called with the offset and data of each record read.
    """

    def __init__(
        self,
        client,
        service,
        incarnation,
        unavailable,
        run=asyncio.to_thread,
        state=None,
        verdict_timeout=VERDICT_TIMEOUT,
        timeout=CALL_TIMEOUT,
        draw=random.random,
        trace_record=None,
    ):
        self._client = client
        self._stream = f"{streams.CLAIMS}.{service}"
        self._incarnation = incarnation
        self._unavailable = unavailable
        self._run = run
        self._state = claims.Claims() if state is None else state
        self._verdict_timeout = verdict_timeout
        self._timeout = timeout
        self._draw = draw
        self._trace_record = trace_record or (lambda offset, data: None)
        self._queue = collections.deque()
        self._waiters = {}
        self._sent = set()
        self._remembered = {}
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._last_append = float("-inf")
        self._append_time = 0.0
        self._last_read = float("-inf")
        self._down_until = float("-inf")
        self._backoff = INITIAL_BACKOFF

    async def claim(self, key, attempt, deadline):
        """Claim a key for an attempt and wait for the verdict.

        A verdict other than WON is final: this attempt must never run. After WON,
        check `claims.may_run` directly before sending the request, and call
        `release` if it isn't sent.

        Args:
            key: The caller's idempotency key.
            attempt: Identifier of the attempt.
            deadline: Event loop time after which the verdict is no longer needed.

        Returns:
            A `ClaimVerdict`, never PENDING.
        """
        claim = Claim(claims.normalize_key(key), attempt, self._incarnation)
        now = asyncio.get_running_loop().time()
        refusal = self._refuse(claim, now, deadline)
        if refusal:
            return refusal
        waiter = Waiter(claim, asyncio.get_running_loop().create_future())
        self._remembered[claim] = claims.get_key_time(claim.key)
        self._waiters[claim] = waiter
        self._enqueue(claim)
        return await self._await_verdict(waiter, now, deadline)

    def release(self, key, attempt):
        """Queue the record that an attempt was not run and never will be.

        Args:
            key: The caller's idempotency key.
            attempt: Identifier of the attempt.
        """
        self._enqueue(Release(claims.normalize_key(key), attempt, self._incarnation))

    def record_done(self, key, attempt, status):
        """Queue the record that the backend server has answered an attempt.

        Args:
            key: The caller's idempotency key.
            attempt: Identifier of the attempt.
            status: HTTP status of the answer.
        """
        normal = claims.normalize_key(key)
        self._enqueue(Done(normal, attempt, self._incarnation, status))

    async def flush(self):
        """Wait until all queued entries are written, before a daemon stops."""
        await self._idle.wait()

    async def run(self):
        """Append queued entries and read verdicts until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._wait_for_append_time()
                await self._process_batch()
            self._idle.set()

    def _refuse(self, claim, now, deadline):
        if not claim.key:
            return ClaimVerdict(Verdict.STALE)
        # A duplicate message would find that its attempt has won and run it again.
        # The log can't distinguish the copies, but this process can.
        if claim in self._remembered:
            return ClaimVerdict(Verdict.LOST, winner=claim.attempt)
        if now >= deadline:
            return ClaimVerdict(Verdict.ABANDONED)
        if now < self._down_until:
            return self._describe_outage(now)
        # A caller that is refused now can retry in time. Refused after the wait, it
        # would have occupied a slot in vain, and its claim would need a release.
        wait = self._find_next_append_time() - now
        if now + wait + self._append_time >= min(deadline, now + self._verdict_timeout):
            return ClaimVerdict(Verdict.LOG_DOWN, retry_after=wait)
        self._forget_old_claims()
        if (
            len(self._queue) >= MAX_QUEUED_ENTRIES
            or len(self._remembered) >= MAX_REMEMBERED_CLAIMS
        ):
            return ClaimVerdict(Verdict.LOG_DOWN, retry_after=self._verdict_timeout)
        return None

    def _describe_outage(self, now):
        wait = max(self._down_until - now, INITIAL_BACKOFF)
        return ClaimVerdict(Verdict.LOG_DOWN, retry_after=wait)

    def _forget_old_claims(self):
        # Keys arrive roughly in the order of their creation, so the oldest come first.
        for claim in list(self._remembered)[:2]:
            if self._state.is_too_old(self._remembered[claim]):
                del self._remembered[claim]

    def _enqueue(self, entry):
        # Releases and done records only shorten the wait of callers. Beyond the limit
        # they are dropped: the key then stays claimed until its window is over.
        if type(entry) is not Claim and len(self._queue) >= 2 * MAX_QUEUED_ENTRIES:
            return
        self._queue.append(entry)
        self._idle.clear()
        self._wake.set()

    async def _await_verdict(self, waiter, now, deadline):
        limit = min(deadline, now + self._verdict_timeout)
        try:
            async with asyncio.timeout_at(limit):
                verdict = await waiter.future
        except TimeoutError:
            self._abandon(waiter.claim)
            if limit == deadline:
                return ClaimVerdict(Verdict.ABANDONED)
            return ClaimVerdict(Verdict.LOG_DOWN, retry_after=self._verdict_timeout)
        except asyncio.CancelledError:
            # The verdict may have arrived at the same moment; the work won't run.
            self._abandon(waiter.claim)
            raise
        self._sent.discard(waiter.claim)
        return verdict

    def _abandon(self, claim):
        """Give up a claim, and release it if it may have been written to the log."""
        self._waiters.pop(claim, None)
        if claim in self._sent:
            self._sent.discard(claim)
            self._enqueue(Release(*claim))

    async def _wait_for_append_time(self):
        wait = self._find_next_append_time() - asyncio.get_running_loop().time()
        if wait > 0:
            await asyncio.sleep(wait)

    def _find_next_append_time(self):
        """Return the earliest event loop time at which the next append may start."""
        interval = max(MIN_APPEND_INTERVAL, APPEND_INTERVAL_FACTOR * self._append_time)
        start = self._last_append + min(MAX_APPEND_INTERVAL, interval)
        return max(start, self._down_until)

    async def _process_batch(self):
        """Append one batch and read until its claims have verdicts."""
        loop = asyncio.get_running_loop()
        try:
            if loop.time() - self._last_read > MAX_READ_AGE:
                await self._read_to_end()
        except self._unavailable:
            self._record_outage()
            self._refuse_waiters()
            return
        batch = self._collect_batch()
        if batch:
            await self._write(batch)

    def _collect_batch(self):
        batch = []
        while self._queue and len(batch) < MAX_BATCH_ENTRIES:
            entry = self._queue.popleft()
            if self._is_awaited(entry):
                self._sent.add(entry)
                batch.append(entry)
            elif type(entry) is not Claim:
                batch.append(entry)
        return batch

    def _is_awaited(self, entry):
        # A release equals its claim: both are tuples with the same fields.
        return type(entry) is Claim and entry in self._waiters

    async def _write(self, batch):
        skips = self._state.skips
        self._last_append = asyncio.get_running_loop().time()
        try:
            offset = await self._run(
                self._client.append,
                self._stream,
                claims.encode_batch(batch),
                self._timeout,
            )
        except self._unavailable as error:
            await self._resolve_lost_append(batch, error.written)
            return
        elapsed = asyncio.get_running_loop().time() - self._last_append
        self._append_time += APPEND_TIME_WEIGHT * (elapsed - self._append_time)
        try:
            await self._read_past(offset, skips)
        except self._unavailable:
            self._record_outage()
            self._refuse_waiters()
            return
        self._reset_backoff()
        self._deliver_all(batch)

    async def _resolve_lost_append(self, batch, written):
        """Read on to determine the result of an append whose answer was lost.

        Entries that are not found are written again. The first append may still
        take effect after that; a duplicate of an entry changes nothing.
        """
        if written is not False:
            try:
                await self._read_to_end()
            except self._unavailable:
                written = False
        if written is False:
            self._record_outage()
            self._requeue(batch)
            self._refuse_waiters()
            return
        self._deliver_decided(batch)
        self._requeue(batch)

    def _requeue(self, batch):
        self._queue.extendleft(reversed(batch))

    def _deliver_all(self, batch):
        """Deliver all verdicts; a claim still pending after its record is stale."""
        self._deliver_decided(batch)
        for entry in batch:
            if self._is_awaited(entry):
                self._deliver(entry, self._get_final_verdict(entry))

    def _get_final_verdict(self, claim):
        verdict = self._state.get_verdict(claim)
        if verdict.verdict is Verdict.PENDING:
            return ClaimVerdict(Verdict.STALE)
        return verdict

    def _deliver_decided(self, batch):
        for entry in batch:
            if not self._is_awaited(entry):
                continue
            verdict = self._state.get_verdict(entry)
            if verdict.verdict in (Verdict.WON, Verdict.LOST):
                self._deliver(entry, verdict)

    def _deliver(self, claim, verdict):
        waiter = self._waiters.pop(claim)
        if not waiter.future.done():
            waiter.future.set_result(verdict)
        if verdict.verdict not in (Verdict.WON, Verdict.LOST):
            # For readers with a longer history this claim owns its key. Unless it is
            # released, no attempt could ever run the work.
            self._abandon(claim)

    def _refuse_waiters(self):
        """Deliver LOG_DOWN to all waiters, and release claims that may be written."""
        refusal = self._describe_outage(asyncio.get_running_loop().time())
        for waiter in tuple(self._waiters.values()):
            if not waiter.future.done():
                waiter.future.set_result(refusal)
            self._abandon(waiter.claim)

    def _record_outage(self):
        now = asyncio.get_running_loop().time()
        # Half of the backoff is random: daemons that lost the log together would
        # otherwise all retry at the same moment.
        self._down_until = now + self._backoff * (0.5 + 0.5 * self._draw())
        self._backoff = min(MAX_BACKOFF, 2 * self._backoff)

    def _reset_backoff(self):
        self._backoff = INITIAL_BACKOFF
        self._down_until = float("-inf")

    async def _read_to_end(self):
        end = (await self._read_page()).next
        if end - self._state.next > SEARCH_THRESHOLD:
            await self._skip_old_records(end)
        while self._state.next < end:
            await self._read_page()

    async def _skip_old_records(self, end):
        """Skip to the last record that is older than any valid key.

        A new gatekeeper of a busy service would otherwise read the whole stream,
        and refuse its callers meanwhile.
        """
        newest = await self._read_time(end - 1)
        if newest is None:
            return
        cutoff = self._state.get_cutoff_time(newest)
        low = self._state.next
        high = end - 1
        while high - low > MAX_PAGE_RECORDS:
            middle = (low + high) // 2
            time = await self._read_time(middle)
            if time is not None and time >= cutoff:
                high = middle
            else:
                low = middle
        time = await self._read_time(low)
        if time is not None and time < cutoff:
            self._state.skip_to(low)

    async def _read_time(self, offset):
        """Return the time of one record, or None if the log has dropped it."""
        page = await self._run(
            self._client.read, self._stream, offset, 1, 0.0, self._timeout
        )
        if not page.records or page.records[0].offset != offset:
            return None
        return page.records[0].time

    async def _read_past(self, offset, skips):
        while self._state.next <= offset:
            page = await self._read_page(READ_WAIT)
            for record in page.records:
                if record.offset == offset:
                    self._state.confirm_retention(record.time, skips)

    async def _read_page(self, wait=0.0):
        page = await self._run(
            self._client.read,
            self._stream,
            self._state.next,
            MAX_PAGE_RECORDS,
            wait,
            self._timeout,
        )
        self._last_read = asyncio.get_running_loop().time()
        self._state.skip_to(page.first)
        for record in page.records:
            self._state.apply(record.offset, record.time, record.data)
            self._trace_record(record.offset, record.data)
        return page
