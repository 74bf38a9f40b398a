"""Claims of non-idempotent work, decided by the order of the log.

Load pattern: under overload callers ask again, at another daemon, while the
first attempt is still on its way or its gatekeeper is paused. Without claims
both attempts reach a backend server and a royalty is paid twice.

A gatekeeper appends a claim (key, attempt, its own incarnation) to the stream
of its service. The first claim of a key by offset wins, and the winner runs
only after it has read its own claim at its offset. All readers fold the same
records in the same order and agree without talking. Nothing here waits,
appends or reads: records go in, verdicts come out.

A key is a UUID of version 7, so it carries when it was made. The log keeps
records for a limited time; a key older than the window could have been claimed
in records that are gone, so it is refused. The log's own record time decides,
never an instance's clock. Grounds and the ways weighed: ``docs/design/claims.md``.
"""

import enum
import heapq
import json
import sys
import uuid
from typing import NamedTuple

from .errors import Finding
from .messages import Outcome, Reason

# Seconds for which a key may be claimed and its claim is remembered. Long
# enough for a person to ask again after an outage of some minutes, short
# beside the time for which the log keeps records.
WINDOW = 900.0

# Seconds by which a key may be ahead of the log's time: callers' clocks differ.
AHEAD = 60.0

# Attempts remembered for one key. A caller that asks again more often than
# this within the window is refused for the key's remaining time.
ATTEMPTS_PER_KEY = 64

# Keys remembered by one reader, some 0.7 kB each. A service with more keys in
# the window than this answers GAP for its older ones.
CAPACITY = 20_000

FORMAT = 1
KEY_VERSION = 7
MILLISECONDS = 1000.0
TIMESTAMP_SHIFT = 80


class Claim(NamedTuple):
    """A gatekeeper's wish to run an attempt.

    Attributes:
        key: Idempotency key.
        attempt: The attempt.
        incarnation: Identifier of the gatekeeper's daemon, new at every start.
    """

    key: str
    attempt: str
    incarnation: str


class Release(NamedTuple):
    """A gatekeeper's word that an attempt was never run and never will be.

    Attributes:
        key: Idempotency key.
        attempt: The attempt.
        incarnation: The incarnation that claimed; no other may release.
    """

    key: str
    attempt: str
    incarnation: str


class Done(NamedTuple):
    """A winner's note that its backend server has answered.

    Attributes:
        key: Idempotency key.
        attempt: The attempt.
        incarnation: The incarnation that claimed.
        status: HTTP status of the backend server's answer.
    """

    key: str
    attempt: str
    incarnation: str
    status: int


class Verdict(enum.Enum):
    """What is decided about a claim.

    WON: the first claim of its key. LOST: another attempt was first, or this
    one was given up. PENDING: not read yet. STALE: the key is too old or too
    far ahead by the log's time. GAP: records that might hold an earlier claim
    were dropped before this reader read them. LOG_DOWN: the log does not
    answer. ABANDONED: nobody waits for the attempt any more, or its deadline
    has passed. Only WON may run.
    """

    WON = "won"
    LOST = "lost"
    PENDING = "pending"
    STALE = "stale"
    GAP = "gap"
    LOG_DOWN = "log-down"
    ABANDONED = "abandoned"


class ClaimVerdict(NamedTuple):
    """A verdict with what is known of the winner.

    Attributes:
        verdict: The `Verdict`.
        winner: Attempt that holds the key, or "".
        done: Whether the winner's backend server has answered.
        status: HTTP status of that answer, or 0.
        offset: Offset of the record that decided, or -1.
        retry_after: Seconds after which asking again is of use; 0 for none.
    """

    verdict: Verdict
    winner: str = ""
    done: bool = False
    status: int = 0
    offset: int = -1
    retry_after: float = 0.0


class Settlement(NamedTuple):
    """What the caller is told of an attempt whose claim did not win.

    Attributes:
        outcome: Outcome of the request.
        reason: Why.
    """

    outcome: Outcome
    reason: Reason


class Batch(NamedTuple):
    """What one record of the stream holds, in order.

    Attributes:
        entries: `Claim`, `Release` and `Done` entries.
    """

    entries: tuple = ()


# A lost claim says nothing of the work itself: the winner may be running it.
# Told "not run", the caller would make a new key and pay a second time. The
# same holds for a key that is too old: it was good once, and an earlier ask may
# have run. A key that is still good can be asked again, so "not run" of this
# attempt does no harm there.
SETTLEMENTS = {
    Verdict.LOST: Settlement(Outcome.UNKNOWN, Reason.KEY_CLAIMED),
    Verdict.STALE: Settlement(Outcome.UNKNOWN, Reason.KEY_AGE),
    Verdict.GAP: Settlement(Outcome.UNKNOWN, Reason.KEY_AGE),
    Verdict.LOG_DOWN: Settlement(Outcome.NOT_RUN, Reason.LOG_DOWN),
    Verdict.PENDING: Settlement(Outcome.NOT_RUN, Reason.LOG_DOWN),
    Verdict.ABANDONED: Settlement(Outcome.NOT_RUN, Reason.ABANDONED),
}


def settle_verdict(verdict):
    """Return the `Settlement` for a `ClaimVerdict` that isn't WON.

    "Not run" is said of this attempt. A caller that asked before with the same
    key must keep the key when it asks again.
    """
    return SETTLEMENTS[verdict.verdict]


def may_run(verdict, abandoned, deadline, now):
    """Return whether an attempt may go to the backend server now.

    Call it directly before sending, under the lock that guards `abandoned`: a
    gatekeeper may have been paused since the verdict was made, and have said
    "not run" meanwhile or missed the deadline.

    Args:
        verdict: The `ClaimVerdict` of the attempt.
        abandoned: Whether "not run" was said of the attempt.
        deadline: Event loop time after which no answer is wanted.
        now: Event loop time.
    """
    return verdict.verdict is Verdict.WON and not abandoned and now < deadline


def make_key(wall, random_bits):
    """Return an idempotency key: a UUID of version 7.

    Args:
        wall: Wall-clock seconds since 1970.
        random_bits: 74 random bits, for example ``random.getrandbits(74)``.
    """
    high = int(wall * MILLISECONDS) << TIMESTAMP_SHIFT
    version = KEY_VERSION << 76
    middle = ((random_bits >> 62) & 0xFFF) << 64
    variant = 0b10 << 62
    low = random_bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=high | version | middle | variant | low))


def normalize_key(key):
    """Return a key in its one spelling, or "" when it isn't a UUID version 7.

    Two spellings of one UUID would otherwise be two keys, and both would run.
    """
    try:
        parsed = uuid.UUID(key)
    except (ValueError, AttributeError, TypeError):
        return ""
    return str(parsed) if parsed.version == KEY_VERSION else ""


def get_key_time(key):
    """Return the wall-clock seconds at which a normalized key was made."""
    return (uuid.UUID(key).int >> TIMESTAMP_SHIFT) / MILLISECONDS


def check_key(key, wall_now, window=WINDOW, ahead=AHEAD):
    """Find out early whether a key cannot be claimed.

    This spares the log hopeless claims. It uses this instance's clock and is
    never the last word: the log's time decides.

    Args:
        key: The caller's idempotency key.
        wall_now: This instance's wall-clock seconds.
        window: Seconds for which a key may be claimed.
        ahead: Seconds by which it may lie in the future.

    Returns:
        A tuple of `Finding`, empty when the key may be claimed.
    """
    normal = normalize_key(key)
    if not normal:
        return (Finding("idempotency key", "is not a UUID of version 7"),)
    made = get_key_time(normal)
    if made < wall_now - window:
        problem = f"was made more than {window:g} s ago; make a new one"
        return (Finding("idempotency key", problem),)
    if made > wall_now + ahead:
        problem = f"is more than {ahead:g} s ahead; set the caller's clock"
        return (Finding("idempotency key", problem),)
    return ()


KINDS = {"claim": Claim, "release": Release, "done": Done}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}


def encode_batch(entries):
    """Return one record of the stream.

    Args:
        entries: `Claim`, `Release` and `Done` entries in order.
    """
    rows = [[KIND_NAMES[type(entry)], *entry] for entry in entries]
    text = json.dumps({"format": FORMAT, "entries": rows}, separators=(",", ":"))
    return text.encode()


def decode_batch(data):
    """Return the `Batch` of a record; what is malformed is left out.

    All readers leave out the same, so a bad record cannot divide them.
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
    """Return the entry of one row of a batch, or None when it is malformed."""
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
    # A daemon's claims all carry the same incarnation; one copy is enough.
    return kind(key, fields[1], sys.intern(fields[2]), *fields[3:])


class KeyState:
    """What the log has said of one key so far.

    Attributes:
        made: When the key was made, in wall-clock seconds.
        holder: The `Claim` that holds the key, or None after a release.
        offset: Offset of the holder's claim, or -1.
        status: HTTP status noted by the holder, or None.
        decided: Verdict and offset of each claim seen, by attempt and incarnation.
    """

    __slots__ = ("decided", "holder", "made", "offset", "status")

    def __init__(self, made):
        self.made = made
        self.holder = None
        self.offset = -1
        self.status = None
        self.decided = {}


class Claims:
    """The fold of one service's stream of claims.

    A reader may begin at any retained offset. It then knows from which time on
    it has seen everything; keys that could have been claimed before are
    answered GAP.

    Args:
        window: Seconds for which a key may be claimed.
        ahead: Seconds by which a key may lie ahead of the log's time.
        capacity: Keys remembered at most. What is dropped to stay below it is
            answered GAP, so a flood of keys costs availability, not safety.
        retention: Seconds for which the log promises to keep records, or 0
            where it promises nothing.
    """

    def __init__(self, window=WINDOW, ahead=AHEAD, capacity=CAPACITY, retention=0.0):
        self._window = window
        self._ahead = ahead
        self._capacity = capacity
        self._retention = retention
        self._keys = {}
        self._order = []
        self._next = 0
        self._time = float("-inf")
        self._since = float("-inf")
        self._dropped = float("-inf")
        self._skips = 0
        self._resume = False

    def __len__(self):
        return len(self._keys)

    @property
    def next(self):
        """Offset of the next record to apply."""
        return self._next

    @property
    def time(self):
        """Highest record time applied, in wall-clock seconds."""
        return self._time

    @property
    def skips(self):
        """How often records were gone before they could be read."""
        return self._skips

    def skip_to(self, offset):
        """Go on at a later offset because the records before it are gone.

        All that was known is dropped: a key's holder may have released it, or
        a new one claimed it, in what was not read. Keys are answered GAP until
        their whole window lies after the skip.

        Args:
            offset: Oldest offset that can still be read.
        """
        if offset <= self._next:
            return
        self._keys.clear()
        self._order.clear()
        self._next = offset
        self._dropped = float("-inf")
        self._since = float("inf")
        self._skips += 1
        self._resume = True

    def confirm_retention(self, time, skips):
        """Use the log's promise to learn how old the skipped records are.

        A service with a payout an hour has a stream whose records are all gone
        when the next key comes. Without this each such key would be answered
        GAP. A record appended after the skip was noticed proves that the log's
        time then was no later than the record's, so all that was gone by then
        is older than that time less the retention.

        Args:
            time: Log's time of a record appended by this process.
            skips: `skips` as it stood before that append began.
        """
        if self._retention and skips == self._skips:
            self._since = min(self._since, time - self._retention)

    def apply(self, offset, time, data):
        """Fold in one record.

        Args:
            offset: Offset of the record; one already applied changes nothing.
            time: The log's time of the record, in wall-clock seconds.
            data: The record.
        """
        if offset < self._next:
            return
        self.skip_to(offset)
        self._next = offset + 1
        # A step back of the log's clock must not give old keys a second life.
        self._time = max(self._time, time)
        if self._resume:
            self._since = self._time
            self._resume = False
        self._drop_old_keys()
        for entry in decode_batch(data).entries:
            self._apply_entry(entry, offset)

    def find_horizon(self, time):
        """Return the time before which records no longer matter.

        A reader that begins with a record older than this covers every key
        that can still be claimed.

        Args:
            time: The log's time, in wall-clock seconds.
        """
        return time - self._window - self._ahead

    def is_too_old(self, made):
        """Return whether keys made at a time can't be claimed any more.

        Args:
            made: Wall-clock seconds.
        """
        return made < self._time - self._window

    def judge(self, claim):
        """Return the `ClaimVerdict` for a claim as far as the log has been read.

        Args:
            claim: The `Claim`, its key normalized.
        """
        made = get_key_time(claim.key)
        if self._is_outside(made):
            return ClaimVerdict(Verdict.STALE)
        if not self._covers(made):
            return ClaimVerdict(Verdict.GAP)
        state = self._keys.get(claim.key)
        if state is None:
            return ClaimVerdict(Verdict.PENDING)
        identity = (claim.attempt, claim.incarnation)
        verdict = state.decided.get(identity)
        if verdict is None:
            if len(state.decided) >= ATTEMPTS_PER_KEY:
                return self._describe(state, Verdict.LOST)
            return ClaimVerdict(Verdict.PENDING)
        return self._describe(state, verdict)

    def _apply_entry(self, entry, offset):
        made = get_key_time(entry.key)
        if self._is_outside(made):
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
        heapq.heappush(self._order, (made, key))
        if len(self._keys) > self._capacity:
            self._drop_oldest_key()
        return state

    def _drop_oldest_key(self):
        made, key = heapq.heappop(self._order)
        del self._keys[key]
        self._dropped = max(self._dropped, made)

    def _drop_old_keys(self):
        while self._order and self._is_outside(self._order[0][0]):
            _, key = heapq.heappop(self._order)
            del self._keys[key]

    def _is_outside(self, made):
        too_new = self._time > float("-inf") and made > self._time + self._ahead
        return too_new or self.is_too_old(made)

    def _covers(self, made):
        # No claim of the key is older than this: it would have been refused as
        # too far ahead. The comparison is strict because the last record lost
        # may carry the same time as the first one read.
        return made - self._ahead > self._since and made > self._dropped

    def _describe(self, state, verdict):
        holder = state.holder.attempt if state.holder else ""
        done = state.status is not None
        return ClaimVerdict(verdict, holder, done, state.status or 0, state.offset)


def apply_claim(state, claim, offset):
    """Decide a claim: the first one while the key is free wins.

    Each claim is decided once, by its first copy. A later copy of one that
    lost or was released must not win: its gatekeeper has said "not run".

    Args:
        state: The `KeyState`.
        claim: The `Claim`.
        offset: Offset of its record.
    """
    identity = (claim.attempt, claim.incarnation)
    if identity in state.decided or len(state.decided) >= ATTEMPTS_PER_KEY:
        return
    if state.holder is not None or state.status is not None:
        state.decided[identity] = Verdict.LOST
        return
    state.decided[identity] = Verdict.WON
    state.holder = claim
    state.offset = offset


def apply_release(state, release):
    """Free a key whose holder releases it, and void a claim not seen yet.

    A claim whose append timed out may reach the log after its release. Were
    the release forgotten, that claim would win and block the key, or be run by
    a gatekeeper that has already said "not run".

    Args:
        state: The `KeyState`.
        release: The `Release`.
    """
    identity = (release.attempt, release.incarnation)
    if identity not in state.decided and len(state.decided) >= ATTEMPTS_PER_KEY:
        return
    if state.decided.get(identity) is not Verdict.WON:
        state.decided[identity] = Verdict.LOST
        return
    # Work that was answered was run: such a release is a fault of its writer.
    if state.status is None:
        state.decided[identity] = Verdict.LOST
        state.holder = None
        state.offset = -1


def apply_done(state, done):
    """Note the status of the answer that the holder's backend server gave.

    Args:
        state: The `KeyState`.
        done: The `Done`.
    """
    holder = state.holder
    if holder is None or state.status is not None:
        return
    if (holder.attempt, holder.incarnation) == (done.attempt, done.incarnation):
        state.status = done.status
