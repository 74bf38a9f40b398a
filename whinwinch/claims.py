"""Claims on non-idempotent work, decided by the order of the log.

Failure prevented: under overload, callers retry at another daemon while the
first attempt is still in transit or its gatekeeper is paused. Without claims,
both attempts reach a backend server and a royalty is paid twice.

A gatekeeper appends a claim (key, attempt, its own incarnation) to the stream
of its service. The claim with the lowest offset wins its key, and the winner
runs only after it has read its own claim back from the log. All readers apply
the same records in the same order, so they agree without communicating. This
module does no I/O and never blocks: it maps log records to verdicts.

A key is a UUID of version 7, so it contains its creation time. The log keeps
records for a limited time; a key older than the window could have been claimed
in records that were dropped since, so it is refused. Ages are computed from the
record times that the log assigns, never from an instance's clock. The design
and its alternatives are described in ``docs/design/claims.md``.
"""

import enum
import heapq
import json
import sys
import uuid
from typing import NamedTuple

from .errors import Finding
from .messages import Outcome, Reason

# Default number of seconds after its creation during which a key may be claimed
# and its claims are kept in memory. Long enough for a person to retry after an
# outage of a few minutes, short compared with the retention of the log.
KEY_WINDOW = 900.0

# Default number of seconds by which a key's creation time may be later than the
# log's time, because the clocks of callers and of the log differ.
MAX_CLOCK_SKEW = 60.0

# Maximum number of attempts tracked per key. When a caller retries more often
# than this within the window, further attempts with the key are refused.
MAX_ATTEMPTS_PER_KEY = 64

# Default maximum number of keys kept by one reader, about 0.7 kB each. When a
# service has more keys than this in the window, the oldest ones get GAP.
MAX_KEYS = 20_000

FORMAT = 1
KEY_VERSION = 7
MILLISECONDS_PER_SECOND = 1000.0
TIMESTAMP_SHIFT = 80


class Claim(NamedTuple):
    """A gatekeeper's request for the right to run an attempt.

    Attributes:
        key: Idempotency key.
        attempt: Identifier of the attempt.
        incarnation: Identifier of the gatekeeper's daemon, new at every start.
    """

    key: str
    attempt: str
    incarnation: str


class Release(NamedTuple):
    """A gatekeeper's statement that an attempt did not run and never will.

    Attributes:
        key: Idempotency key.
        attempt: Identifier of the attempt.
        incarnation: Incarnation that appended the claim. A release by any other
            incarnation has no effect on the claim.
    """

    key: str
    attempt: str
    incarnation: str


class Done(NamedTuple):
    """A winner's record that its backend server has answered.

    Attributes:
        key: Idempotency key.
        attempt: Identifier of the attempt.
        incarnation: Incarnation that appended the claim.
        status: HTTP status of the backend server's answer.
    """

    key: str
    attempt: str
    incarnation: str
    status: int


class Verdict(enum.Enum):
    """Decision on a claim. Only an attempt with the verdict WON may run.

    WON: this is the first claim of its key. LOST: another attempt was first, or
    this claim was released. PENDING: the claim has not been read from the log
    yet. STALE: by the log's time, the key is too old or too far in the future.
    GAP: records that might contain an earlier claim were dropped before this
    reader read them. LOG_DOWN: the log does not answer. ABANDONED: no caller
    waits for the attempt any more, or its deadline has passed.
    """

    WON = "won"
    LOST = "lost"
    PENDING = "pending"
    STALE = "stale"
    GAP = "gap"
    LOG_DOWN = "log-down"
    ABANDONED = "abandoned"


class ClaimVerdict(NamedTuple):
    """A verdict on a claim and the state of the attempt that holds the key.

    Attributes:
        verdict: The `Verdict`.
        winner: Identifier of the attempt that holds the key, or "" if none does.
        done: Whether the winner's backend server has answered.
        status: HTTP status of that answer, or 0.
        offset: Offset of the winning claim's record, or -1.
        retry_after: Seconds after which the caller should retry; 0 if there is
            no such hint.
    """

    verdict: Verdict
    winner: str = ""
    done: bool = False
    status: int = 0
    offset: int = -1
    retry_after: float = 0.0


class ReportedOutcome(NamedTuple):
    """Outcome that is reported to the caller when a claim did not win.

    Attributes:
        outcome: Outcome of the request.
        reason: Reason for the outcome.
    """

    outcome: Outcome
    reason: Reason


class Batch(NamedTuple):
    """The decoded content of one record of the stream.

    Attributes:
        entries: `Claim`, `Release` and `Done` entries in the order of the record.
    """

    entries: tuple = ()


# A lost claim does not mean that the work did not run: the winner may be running
# it. If "not run" were reported, the caller would create a new key and pay a
# second time. The same applies to a key that is too old: it was valid once, and
# an earlier attempt with it may have run. While a key is still valid the caller
# can retry with it, so reporting "not run" for this attempt is safe.
OUTCOMES_BY_VERDICT = {
    Verdict.LOST: ReportedOutcome(Outcome.UNKNOWN, Reason.KEY_CLAIMED),
    Verdict.STALE: ReportedOutcome(Outcome.UNKNOWN, Reason.KEY_AGE),
    Verdict.GAP: ReportedOutcome(Outcome.UNKNOWN, Reason.KEY_AGE),
    Verdict.LOG_DOWN: ReportedOutcome(Outcome.NOT_RUN, Reason.LOG_DOWN),
    Verdict.PENDING: ReportedOutcome(Outcome.NOT_RUN, Reason.LOG_DOWN),
    Verdict.ABANDONED: ReportedOutcome(Outcome.NOT_RUN, Reason.ABANDONED),
}


def get_reported_outcome(verdict):
    """Return the `ReportedOutcome` for a `ClaimVerdict` other than WON.

    "Not run" refers to this attempt only. A caller that sent an earlier attempt
    with the same key must use the same key when it retries.
    """
    return OUTCOMES_BY_VERDICT[verdict.verdict]


def may_run(verdict, abandoned, deadline, now):
    """Return whether an attempt may be sent to the backend server now.

    Call it directly before sending, under the lock that guards `abandoned`: the
    gatekeeper may have been paused since it received the verdict, and may have
    reported "not run" or missed the deadline meanwhile.

    Args:
        verdict: The `ClaimVerdict` of the attempt.
        abandoned: Whether "not run" was reported for the attempt.
        deadline: Event loop time in seconds after which the caller no longer
            waits for an answer.
        now: Current event loop time in seconds.
    """
    return verdict.verdict is Verdict.WON and not abandoned and now < deadline


def make_key(wall, random_bits):
    """Return a new idempotency key: a UUID of version 7.

    Args:
        wall: Creation time of the key in wall-clock seconds since 1970.
        random_bits: 74 random bits, for example ``random.getrandbits(74)``.
    """
    high = int(wall * MILLISECONDS_PER_SECOND) << TIMESTAMP_SHIFT
    version = KEY_VERSION << 76
    middle = ((random_bits >> 62) & 0xFFF) << 64
    variant = 0b10 << 62
    low = random_bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=high | version | middle | variant | low))


def normalize_key(key):
    """Return a key in canonical form, or "" if it isn't a UUID of version 7.

    Otherwise two spellings of one UUID would count as two keys, and the work of
    both would run.
    """
    try:
        parsed = uuid.UUID(key)
    except (ValueError, AttributeError, TypeError):
        return ""
    return str(parsed) if parsed.version == KEY_VERSION else ""


def get_key_time(key):
    """Return the creation time of a normalized key in wall-clock seconds."""
    return (uuid.UUID(key).int >> TIMESTAMP_SHIFT) / MILLISECONDS_PER_SECOND


def check_key(key, wall_now, window=KEY_WINDOW, max_clock_skew=MAX_CLOCK_SKEW):
    """Check whether a key can be claimed, before a claim is appended.

    This avoids appending claims that cannot win. The check uses this instance's
    clock and is not final: the log's time decides.

    Args:
        key: The caller's idempotency key.
        wall_now: Current wall-clock time of this instance in seconds.
        window: Seconds after its creation during which a key may be claimed.
        max_clock_skew: Seconds by which its creation time may be in the future.

    Returns:
        A tuple of `Finding`, empty if the key may be claimed.
    """
    normal = normalize_key(key)
    if not normal:
        return (Finding("idempotency key", "is not a UUID of version 7"),)
    made = get_key_time(normal)
    if made < wall_now - window:
        problem = f"was made more than {window:g} s ago; make a new one"
        return (Finding("idempotency key", problem),)
    if made > wall_now + max_clock_skew:
        problem = (
            f"is more than {max_clock_skew:g} s in the future; "
            "correct the caller's clock"
        )
        return (Finding("idempotency key", problem),)
    return ()


KINDS = {"claim": Claim, "release": Release, "done": Done}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}


def encode_batch(entries):
    """Return the encoded record that contains the given entries.

    Args:
        entries: `Claim`, `Release` and `Done` entries in order.
    """
    rows = [[KIND_NAMES[type(entry)], *entry] for entry in entries]
    text = json.dumps({"format": FORMAT, "entries": rows}, separators=(",", ":"))
    return text.encode()


def decode_batch(data):
    """Decode a record into a `Batch`, skipping malformed entries.

    All readers skip the same entries, so a malformed record cannot make their
    states diverge.
    """
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError):
        return Batch()
    if not isinstance(decoded, dict) or decoded.get("format") != FORMAT:
        return Batch()
    rows = decoded.get("entries")
    if not isinstance(rows, list):
        return Batch()
    entries = (decode_entry(row) for row in rows)
    return Batch(tuple(entry for entry in entries if entry is not None))


def decode_entry(row):
    """Decode one row of a batch into its entry; return None if it is malformed."""
    if not isinstance(row, list) or not row or not isinstance(row[0], str):
        return None
    kind = KINDS.get(row[0])
    fields = row[1:]
    if kind is None or len(fields) != len(kind._fields):
        return None
    if not all(isinstance(field, str) and field for field in fields[:3]):
        return None
    if kind is Done and type(fields[3]) is not int:
        return None
    key = normalize_key(fields[0])
    if not key:
        return None
    # All claims of a daemon have the same incarnation: share one string object.
    return kind(key, fields[1], sys.intern(fields[2]), *fields[3:])


class KeyState:
    """State of one key after the records applied so far.

    Attributes:
        made: Creation time of the key in wall-clock seconds.
        holder: The `Claim` that holds the key, or None if the key is free.
        offset: Offset of the holder's claim, or -1.
        status: HTTP status recorded by the holder when done, or None.
        decided: `Verdict` on each claim read so far, keyed by attempt and
            incarnation.
    """

    __slots__ = ("decided", "holder", "made", "offset", "status")

    def __init__(self, made):
        self.made = made
        self.holder = None
        self.offset = -1
        self.status = None
        self.decided = {}


class Claims:
    """State built by applying one service's stream of claims in log order.

    A reader may start at any retained offset. It tracks the time from which on
    it has read every record; keys that could have been claimed before that time
    get the verdict GAP.

    Args:
        window: Seconds after its creation during which a key may be claimed.
        max_clock_skew: Seconds by which the creation time of a key may be later
            than the log's time.
        capacity: Maximum number of keys kept. Keys evicted to stay within it get
            the verdict GAP, so a flood of keys costs availability, not safety.
        retention: Seconds for which the log guarantees to keep records, or 0 if
            it guarantees nothing.
    """

    def __init__(
        self,
        window=KEY_WINDOW,
        max_clock_skew=MAX_CLOCK_SKEW,
        capacity=MAX_KEYS,
        retention=0.0,
    ):
        self._window = window
        self._max_clock_skew = max_clock_skew
        self._capacity = capacity
        self._retention = retention
        self._keys = {}
        self._keys_by_age = []
        self._next_offset = 0
        self._time = float("-inf")
        self._complete_since = float("-inf")
        self._newest_evicted = float("-inf")
        self._skips = 0
        self._after_skip = False

    def __len__(self):
        return len(self._keys)

    @property
    def next(self):
        """Offset of the next record to apply."""
        return self._next_offset

    @property
    def time(self):
        """Highest record time applied, in wall-clock seconds."""
        return self._time

    @property
    def skips(self):
        """Number of times that records were dropped before they could be read."""
        return self._skips

    def skip_to(self, offset):
        """Continue at a later offset because earlier records were dropped.

        All state is discarded: in the records that were not read, the holder of
        a key may have released it, or another attempt may have claimed it. Keys
        get the verdict GAP until their whole window lies after the skip.

        Args:
            offset: Oldest offset that can still be read.
        """
        if offset <= self._next_offset:
            return
        self._keys.clear()
        self._keys_by_age.clear()
        self._next_offset = offset
        self._newest_evicted = float("-inf")
        self._complete_since = float("inf")
        self._skips += 1
        self._after_skip = True

    def confirm_retention(self, time, skips):
        """Limit the age of the skipped records by the log's guaranteed retention.

        If a service makes one payout an hour, all records of its stream have
        been dropped when the next key arrives. Without this method each such key
        would get the verdict GAP. A record appended after the skip was detected
        proves that the log's time at the skip was no later than the record's
        time. All records dropped by then are therefore older than the record's
        time minus the retention.

        Args:
            time: The log's time of a record that this process appended, in
                wall-clock seconds.
            skips: Value of `skips` before that append started.
        """
        if self._retention and skips == self._skips:
            self._complete_since = min(self._complete_since, time - self._retention)

    def apply(self, offset, time, data):
        """Apply one record to the state.

        Args:
            offset: Offset of the record. A record that was already applied
                changes nothing.
            time: The log's time of the record, in wall-clock seconds.
            data: The encoded record.
        """
        if offset < self._next_offset:
            return
        self.skip_to(offset)
        self._next_offset = offset + 1
        # If the log's clock is set back, expired keys must not become valid again.
        self._time = max(self._time, time)
        if self._after_skip:
            self._complete_since = self._time
            self._after_skip = False
        self._drop_expired_keys()
        for entry in decode_batch(data).entries:
            self._apply_entry(entry, offset)

    def get_cutoff_time(self, time):
        """Return the time before which records no longer affect any verdict.

        A reader that starts with a record older than this has complete
        information on every key that can still be claimed.

        Args:
            time: The log's time, in wall-clock seconds.
        """
        return time - self._window - self._max_clock_skew

    def is_too_old(self, made):
        """Return whether a key created at a given time can't be claimed any more.

        Args:
            made: Creation time of the key in wall-clock seconds.
        """
        return made < self._time - self._window

    def get_verdict(self, claim):
        """Return the `ClaimVerdict` on a claim after the records read so far.

        Args:
            claim: The `Claim`. Its key must be normalized.
        """
        made = get_key_time(claim.key)
        if self._is_outside_window(made):
            return ClaimVerdict(Verdict.STALE)
        if not self._covers(made):
            return ClaimVerdict(Verdict.GAP)
        state = self._keys.get(claim.key)
        if state is None:
            return ClaimVerdict(Verdict.PENDING)
        identity = (claim.attempt, claim.incarnation)
        verdict = state.decided.get(identity)
        if verdict is None:
            if len(state.decided) >= MAX_ATTEMPTS_PER_KEY:
                return self._build_verdict(state, Verdict.LOST)
            return ClaimVerdict(Verdict.PENDING)
        return self._build_verdict(state, verdict)

    def _apply_entry(self, entry, offset):
        made = get_key_time(entry.key)
        if self._is_outside_window(made):
            return
        state = self._keys.get(entry.key)
        if state is None:
            if type(entry) is Done:
                return
            state = self._add_key(entry.key, made)
        if type(entry) is Claim:
            apply_claim(state, entry, offset)
        elif type(entry) is Release:
            apply_release(state, entry)
        else:
            apply_done(state, entry)

    def _add_key(self, key, made):
        state = KeyState(made)
        self._keys[key] = state
        heapq.heappush(self._keys_by_age, (made, key))
        if len(self._keys) > self._capacity:
            self._evict_oldest_key()
        return state

    def _evict_oldest_key(self):
        made, key = heapq.heappop(self._keys_by_age)
        del self._keys[key]
        self._newest_evicted = max(self._newest_evicted, made)

    def _drop_expired_keys(self):
        while self._keys_by_age and self._is_outside_window(self._keys_by_age[0][0]):
            _, key = heapq.heappop(self._keys_by_age)
            del self._keys[key]

    def _is_outside_window(self, made):
        too_new = (
            self._time > float("-inf") and made > self._time + self._max_clock_skew
        )
        return too_new or self.is_too_old(made)

    def _covers(self, made):
        # No valid claim of the key is older than its creation time minus the
        # allowed skew: it would have been refused as too far in the future. The
        # comparison is strict because the last record that was dropped may have
        # the same time as the first record read.
        return (
            made - self._max_clock_skew > self._complete_since
            and made > self._newest_evicted
        )

    def _build_verdict(self, state, verdict):
        holder = state.holder.attempt if state.holder else ""
        done = state.status is not None
        return ClaimVerdict(verdict, holder, done, state.status or 0, state.offset)


def apply_claim(state, claim, offset):
    """Decide a claim: it wins if the key is free.

    Each claim is decided once, by its first copy in the log. A later copy of a
    claim that lost or was released must not win, because its gatekeeper has
    reported "not run".

    Args:
        state: The `KeyState` of the claim's key.
        claim: The `Claim`.
        offset: Offset of the claim's record.
    """
    identity = (claim.attempt, claim.incarnation)
    if identity in state.decided or len(state.decided) >= MAX_ATTEMPTS_PER_KEY:
        return
    if state.holder is not None or state.status is not None:
        state.decided[identity] = Verdict.LOST
        return
    state.decided[identity] = Verdict.WON
    state.holder = claim
    state.offset = offset


def apply_release(state, release):
    """Free a key that its holder releases, and void a claim not yet read.

    A claim whose append timed out may reach the log after its release. If the
    release were not recorded, that claim would win and block the key, or would
    be run by a gatekeeper that has already reported "not run".

    Args:
        state: The `KeyState` of the release's key.
        release: The `Release`.
    """
    identity = (release.attempt, release.incarnation)
    if identity not in state.decided and len(state.decided) >= MAX_ATTEMPTS_PER_KEY:
        return
    if state.decided.get(identity) is not Verdict.WON:
        state.decided[identity] = Verdict.LOST
        return
    # A release after an answer is a bug of its writer: answered work did run.
    if state.status is None:
        state.decided[identity] = Verdict.LOST
        state.holder = None
        state.offset = -1


def apply_done(state, done):
    """Record the status of the answer from the holder's backend server.

    Args:
        state: The `KeyState` of the entry's key.
        done: The `Done` entry.
    """
    holder = state.holder
    if holder is None or state.status is not None:
        return
    if (holder.attempt, holder.incarnation) == (done.attempt, done.incarnation):
        state.status = done.status
