"""The task that writes one service's claims to the log and reads the verdicts.

Load pattern: many keyed requests arrive together while the log takes several
hundred appends a second for everybody. Each append therefore carries all
claims that gathered while the one before was on its way.

The task owns its state and runs on the event loop. It calls the blocking log
client through a runner that is passed in. It answers LOG_DOWN promptly when
the log does not answer, and never WON without having read the claim back.
"""

import asyncio
import collections
import random
from typing import NamedTuple

from .. import claims
from ..claims import Claim, ClaimVerdict, Done, Release, Verdict
from . import streams

# Entries of one append: some 75 kB, a page that the log carries in one message.
BATCH = 500

# Records of one read.
PAGE = 200

# Records behind which a reader looks for the first one that still matters,
# instead of reading them all: some ten reads of a page against as many of one.
FAR_BEHIND = 10 * PAGE

# Entries that may wait for the log. Beyond it new claims are refused; a queue
# that grew through an outage would be stale when the log answers again.
QUEUE = 5_000

# Attempts remembered so that a doubled message of one is not let run twice.
ASKED = 100_000

# Seconds a claim waits for its verdict before its caller is told LOG_DOWN.
PATIENCE = 2.0

# Seconds that one call to the log may take.
CALL_TIMEOUT = 1.0

# Seconds for which a read waits at the log for a record that must come.
READ_WAIT = 0.25

# Seconds between the starts of two appends of one task, at least; the first one
# goes at once. It grows with the time that an append takes: the log takes
# several hundred a second for everybody, and slows down before it fails.
SPACING = 0.02
LONGEST_SPACING = 8.0
SPACING_PER_APPEND = 4.0

# Weight of the newest append in the smoothed time of an append.
APPEND_WEIGHT = 0.25

# Seconds without a read after which the task reads on before it appends, so
# that it notices dropped records before its own claim is on its way.
IDLE = 30.0

# Pauses after a failed call: doubled each time, within these limits.
FIRST_PAUSE = 0.25
LONGEST_PAUSE = 4.0


class Waiter(NamedTuple):
    """A claim whose verdict somebody awaits.

    Attributes:
        claim: The `Claim`.
        future: Future of the `ClaimVerdict`.
    """

    claim: Claim
    future: asyncio.Future


class Claimer:
    """Claims for one service by one incarnation of a daemon.

    All methods are called on the event loop's thread.

    Args:
        client: Log client with `append` and `read`, and its `LogUnavailable`
            error with attribute `written`.
        service: Name of the service.
        incarnation: Identifier of this daemon, new at every start.
        unavailable: The client's error class.
        run: Function that runs a blocking function with arguments and can be
            awaited.
        state: The `claims.Claims` to fold into, or None for a new one.
        patience: Seconds after which a claim is answered LOG_DOWN.
        timeout: Seconds that one call to the log may take.
        draw: Function that returns a float from 0 to 1, for the pauses.
        note: Called with offset and data of each record read, for a trace.
    """

    def __init__(
        self,
        client,
        service,
        incarnation,
        unavailable,
        run=asyncio.to_thread,
        state=None,
        patience=PATIENCE,
        timeout=CALL_TIMEOUT,
        draw=random.random,
        note=None,
    ):
        self._client = client
        self._stream = f"{streams.CLAIMS}.{service}"
        self._incarnation = incarnation
        self._unavailable = unavailable
        self._run = run
        self._state = claims.Claims() if state is None else state
        self._patience = patience
        self._timeout = timeout
        self._draw = draw
        self._note = note or (lambda offset, data: None)
        self._queue = collections.deque()
        self._waiters = {}
        self._sent = set()
        self._asked = {}
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._last_append = float("-inf")
        self._append_time = 0.0
        self._last_read = float("-inf")
        self._down_until = float("-inf")
        self._pause = FIRST_PAUSE

    async def claim(self, key, attempt, deadline):
        """Claim a key for an attempt and wait for the verdict.

        An answer other than WON is final: this attempt must never run. After
        WON, check `claims.may_run` directly before sending, and call `release`
        if it isn't sent.

        Args:
            key: The caller's idempotency key.
            attempt: The attempt.
            deadline: Event loop time after which no answer is wanted.

        Returns:
            A `ClaimVerdict`, never PENDING.
        """
        claim = Claim(claims.normalize_key(key), attempt, self._incarnation)
        now = asyncio.get_running_loop().time()
        refusal = self._refuse(claim, now, deadline)
        if refusal:
            return refusal
        waiter = Waiter(claim, asyncio.get_running_loop().create_future())
        self._asked[claim] = claims.get_key_time(claim.key)
        self._waiters[claim] = waiter
        self._enqueue(claim)
        return await self._await_verdict(waiter, now, deadline)

    def release(self, key, attempt):
        """Write that an attempt was never run and never will be.

        Args:
            key: The caller's idempotency key.
            attempt: The attempt.
        """
        self._enqueue(Release(claims.normalize_key(key), attempt, self._incarnation))

    def note_done(self, key, attempt, status):
        """Write that the backend server has answered.

        Args:
            key: The caller's idempotency key.
            attempt: The attempt.
            status: HTTP status of the answer.
        """
        normal = claims.normalize_key(key)
        self._enqueue(Done(normal, attempt, self._incarnation, status))

    async def flush(self):
        """Wait until nothing is left to write; for the stop of a daemon."""
        await self._idle.wait()

    async def run(self):
        """Append and read until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                await self._wait_for_turn()
                await self._take_turn()
            self._idle.set()

    def _refuse(self, claim, now, deadline):
        if not claim.key:
            return ClaimVerdict(Verdict.STALE)
        # The second copy of a message would find that its attempt has won and
        # run it again: the log cannot tell the copies apart, this process can.
        if claim in self._asked:
            return ClaimVerdict(Verdict.LOST, winner=claim.attempt)
        if now >= deadline:
            return ClaimVerdict(Verdict.ABANDONED)
        if now < self._down_until:
            return self._describe_outage(now)
        # Told now, the caller can come back in time; told after the wait, it has
        # held a slot for nothing and its claim has to be released.
        wait = self._find_start() - now
        if now + wait + self._append_time >= min(deadline, now + self._patience):
            return ClaimVerdict(Verdict.LOG_DOWN, retry_after=wait)
        self._forget_asked()
        if len(self._queue) >= QUEUE or len(self._asked) >= ASKED:
            return ClaimVerdict(Verdict.LOG_DOWN, retry_after=self._patience)
        return None

    def _describe_outage(self, now):
        wait = max(self._down_until - now, FIRST_PAUSE)
        return ClaimVerdict(Verdict.LOG_DOWN, retry_after=wait)

    def _forget_asked(self):
        # Keys come in about the order of their making, so the old ones lead.
        for claim in list(self._asked)[:2]:
            if self._state.is_too_old(self._asked[claim]):
                del self._asked[claim]

    def _enqueue(self, entry):
        # Releases and notes only spare callers a wait. Past the limit they are
        # left out: the key then stays claimed until its window is over.
        if type(entry) is not Claim and len(self._queue) >= 2 * QUEUE:
            return
        self._queue.append(entry)
        self._idle.clear()
        self._wake.set()

    async def _await_verdict(self, waiter, now, deadline):
        limit = min(deadline, now + self._patience)
        try:
            async with asyncio.timeout_at(limit):
                verdict = await waiter.future
        except TimeoutError:
            self._abandon(waiter.claim)
            if limit == deadline:
                return ClaimVerdict(Verdict.ABANDONED)
            return ClaimVerdict(Verdict.LOG_DOWN, retry_after=self._patience)
        except asyncio.CancelledError:
            # The verdict may have come in the same moment; nobody runs it now.
            self._abandon(waiter.claim)
            raise
        self._sent.discard(waiter.claim)
        return verdict

    def _abandon(self, claim):
        """Give up a claim, and release it where it may come into the log."""
        self._waiters.pop(claim, None)
        if claim in self._sent:
            self._sent.discard(claim)
            self._enqueue(Release(*claim))

    async def _wait_for_turn(self):
        wait = self._find_start() - asyncio.get_running_loop().time()
        if wait > 0:
            await asyncio.sleep(wait)

    def _find_start(self):
        """Return when the next append may begin, at the earliest."""
        spacing = max(SPACING, SPACING_PER_APPEND * self._append_time)
        start = self._last_append + min(LONGEST_SPACING, spacing)
        return max(start, self._down_until)

    async def _take_turn(self):
        """Append one batch and read until its claims are decided."""
        loop = asyncio.get_running_loop()
        try:
            if loop.time() - self._last_read > IDLE:
                await self._read_to_end()
        except self._unavailable:
            self._note_outage()
            self._refuse_waiters()
            return
        batch = self._gather()
        if batch:
            await self._write(batch)

    def _gather(self):
        wanted = []
        while self._queue and len(wanted) < BATCH:
            entry = self._queue.popleft()
            if self._is_awaited(entry):
                self._sent.add(entry)
                wanted.append(entry)
            elif type(entry) is not Claim:
                wanted.append(entry)
        return wanted

    def _is_awaited(self, entry):
        # A release equals the claim that it releases, being the same tuple.
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
            await self._settle_lost(batch, error.written)
            return
        took = asyncio.get_running_loop().time() - self._last_append
        self._append_time += APPEND_WEIGHT * (took - self._append_time)
        try:
            await self._read_past(offset, skips)
        except self._unavailable:
            self._note_outage()
            self._refuse_waiters()
            return
        self._note_answer()
        self._settle(batch)

    async def _settle_lost(self, batch, written):
        """Find out by reading on what became of an append without an answer.

        What is not found is written again. The first append may still take
        effect after that; a second copy of an entry changes nothing.
        """
        if written is not False:
            try:
                await self._read_to_end()
            except self._unavailable:
                written = False
        if written is False:
            self._note_outage()
            self._requeue(batch)
            self._refuse_waiters()
            return
        self._tell_decided(batch)
        self._requeue(batch)

    def _requeue(self, batch):
        self._queue.extendleft(reversed(batch))

    def _settle(self, batch):
        """Tell all verdicts; a claim that its own record didn't decide is stale."""
        self._tell_decided(batch)
        for entry in batch:
            if self._is_awaited(entry):
                self._tell(entry, self._judge_left(entry))

    def _judge_left(self, claim):
        verdict = self._state.get_verdict(claim)
        if verdict.verdict is Verdict.PENDING:
            return ClaimVerdict(Verdict.STALE)
        return verdict

    def _tell_decided(self, batch):
        for entry in batch:
            if not self._is_awaited(entry):
                continue
            verdict = self._state.get_verdict(entry)
            if verdict.verdict in (Verdict.WON, Verdict.LOST):
                self._tell(entry, verdict)

    def _tell(self, claim, verdict):
        waiter = self._waiters.pop(claim)
        if not waiter.future.done():
            waiter.future.set_result(verdict)
        if verdict.verdict not in (Verdict.WON, Verdict.LOST):
            # Readers with a longer history see this claim hold its key. Nobody
            # could ever run the work unless it is released.
            self._abandon(claim)

    def _refuse_waiters(self):
        """Answer LOG_DOWN to all that wait, and release what may be written."""
        refusal = self._describe_outage(asyncio.get_running_loop().time())
        for waiter in tuple(self._waiters.values()):
            if not waiter.future.done():
                waiter.future.set_result(refusal)
            self._abandon(waiter.claim)

    def _note_outage(self):
        now = asyncio.get_running_loop().time()
        # Half of the pause is drawn: daemons that lost the log together would
        # otherwise all come back to it in the same moment.
        self._down_until = now + self._pause * (0.5 + 0.5 * self._draw())
        self._pause = min(LONGEST_PAUSE, 2 * self._pause)

    def _note_answer(self):
        self._pause = FIRST_PAUSE
        self._down_until = float("-inf")

    async def _read_to_end(self):
        end = (await self._read_page()).next
        if end - self._state.next > FAR_BEHIND:
            await self._skip_old_records(end)
        while self._state.next < end:
            await self._read_page()

    async def _skip_old_records(self, end):
        """Go on at the last record that is older than any key can be.

        A new gatekeeper of a busy service would otherwise read all that the
        log keeps, and refuse its callers meanwhile.
        """
        newest = await self._read_time(end - 1)
        if newest is None:
            return
        cutoff = self._state.get_cutoff_time(newest)
        low = self._state.next
        high = end - 1
        while high - low > PAGE:
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
        """Return the time of one record, or None when it is gone."""
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
            PAGE,
            wait,
            self._timeout,
        )
        self._last_read = asyncio.get_running_loop().time()
        self._state.skip_to(page.first)
        for record in page.records:
            self._state.apply(record.offset, record.time, record.data)
            self._note(record.offset, record.data)
        return page
