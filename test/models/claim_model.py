"""Model of claims: one key, asked for at two daemons and again after a restart.

Every gatekeeper may pause between any two steps. An append reaches the log not
at all, once or twice, at any time after it began, and its writer never sees the
answer: it decides by reading alone. Retention drops records at any time that it
may. Verdicts come from the package's own `Claims` and `may_run`.
"""

import functools
from typing import NamedTuple

from minicheck import Protocol

from whinwinch import claims
from whinwinch.claims import Claim, Claims, Release, Verdict

START = 1_800_000_000
WINDOW = 2.0
MAX_CLOCK_SKEW = 0.5
RETENTION = 2
LAST_TICK = 4
KEY_TICK = 1
KEY = claims.make_key(START + KEY_TICK, 0)

# Attempt 2 is the first message again, at the first gatekeeper restarted.
CLAIMS = (Claim(KEY, "a", "g1"), Claim(KEY, "b", "g2"), Claim(KEY, "a", "g1-again"))
FIRST, SECOND, REBORN = range(3)


class Record(NamedTuple):
    """One record of the log.

    Attributes:
        tick: The log's clock when it was taken in.
        kind: Kind of the entry. A `Claim` equals a `Release` with the same
            fields, so without it two states would be taken for one.
        entry: The entry, or None for one of another key.
    """

    tick: int
    kind: str = "other"
    entry: tuple | None = None


# Records of other keys, older than this one.
FILLERS = (Record(0), Record(0))

NEW, ASKED, WON, SENT, REFUSED, LOST, DEAD = (
    "new",
    "asked",
    "won",
    "sent",
    "refused",
    "lost",
    "dead",
)
DECIDED = frozenset({SENT, REFUSED, LOST, DEAD})


class Options(NamedTuple):
    """Mechanisms taken out, and bounds.

    Attributes:
        state: Class of the fold.
        unclaimed: Whether an attempt runs although the log does not answer.
        acknowledged: Whether an attempt runs once its claim is in the log,
            without having read what stands before it.
        unchecked: Whether a winner runs without a last check.
        stealing: Whether the claim of a silent winner is released by another.
        forgetful: Whether "not run" is said while the attempt may still run.
        patient: Whether gatekeepers wait for the log instead of giving up.
        again: Whether they append again what reading on does not show.
        honest: Whether the log keeps records as long as it promises.
        asked: Numbers of the attempts that may be asked for; REBORN among
            them lets the first gatekeeper restart.
        ticks: Highest tick of the log's clock.
        copies: How often one append can take effect.
    """

    state: type = Claims
    unclaimed: bool = False
    acknowledged: bool = False
    unchecked: bool = False
    stealing: bool = False
    forgetful: bool = False
    patient: bool = False
    again: bool = True
    honest: bool = True
    asked: tuple = (FIRST, SECOND)
    ticks: int = LAST_TICK
    copies: int = 2


class Attempt(NamedTuple):
    """One attempt at its gatekeeper.

    Attributes:
        phase: How far it is.
        start: Offset from which its gatekeeper has read without a gap.
        next: Next offset that it reads.
        base: `start` when the append began.
        claims: Copies of its claim that may still reach the log.
        releases: Copies of its release that may still reach the log.
        told: Whether "not run" was said of it.
    """

    phase: str = NEW
    start: int = 0
    next: int = 0
    base: int = 0
    claims: int = 0
    releases: int = 0
    told: bool = False


class State(NamedTuple):
    """The whole model.

    Attributes:
        tick: The log's clock.
        log: Each `Record`, dropped ones too.
        first: Oldest offset kept.
        runs: How often the backend servers were given the work.
        attempts: The three `Attempt`.
    """

    tick: int = KEY_TICK
    log: tuple = FILLERS
    first: int = 0
    runs: int = 0
    attempts: tuple = (Attempt(), Attempt(), Attempt())


@functools.lru_cache(maxsize=None)
def judge(kind, log, start, own, confirmed):
    """Return the verdict on a claim after reading from an offset to the end.

    Args:
        kind: Class of the fold.
        log: Records up to the end of the read.
        start: Offset at which the read began.
        own: The claim.
        confirmed: Whether the gap, if any, was noticed before the append.
    """
    state = kind(
        window=WINDOW, max_clock_skew=MAX_CLOCK_SKEW, retention=float(RETENTION)
    )
    state.skip_to(start)
    for offset, record in enumerate(log[start:], start):
        data = claims.encode_batch([record.entry]) if record.entry else b""
        time = float(START + record.tick)
        state.apply(offset, time, data)
        if confirmed and is_claim_of(record, own):
            state.confirm_retention(time, state.skips)
    return state.get_verdict(own).verdict


def is_claim_of(record, own):
    """Return whether a record holds a copy of a claim."""
    return record.kind == "claim" and record.entry == own


def make_protocol(options, name="claims", goal=None):
    """Return the model as a `Protocol`.

    Args:
        options: `Options`.
        name: Name of the model.
        goal: Predicate on the fields that must stay reachable.
    """
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(find_steps(state, options)),
        invariants={
            "a non-idempotent request runs at most once": lambda d: d["runs"] <= 1,
            "what was said not to have run was not run": is_word_kept,
            "a released key is free": lambda d: is_released_free(d, options.state),
        },
        goal=goal,
    )


def is_word_kept(fields):
    """Return whether no attempt ran of which "not run" was said."""
    return not any(each.told and each.phase == SENT for each in fields["attempts"])


def is_released_free(fields, kind):
    """Return whether no claim whose release is in the log holds its key."""
    log = fields["log"]
    released = {record.entry for record in log if record.kind == "release"}
    return all(
        judge(kind, log, 0, Claim(*entry), False) is not Verdict.WON
        for entry in released
    )


def is_decided(fields):
    """Return whether every attempt that was asked for is decided."""
    return all(each.phase in DECIDED | {NEW} for each in fields["attempts"])


def has_run(fields):
    """Return whether the work was done."""
    return fields["runs"] > 0


def find_steps(state, options):
    """Yield each step as a pair of label and next state."""
    if state.tick < options.ticks:
        yield "tick", state._replace(tick=state.tick + 1)
    yield from find_drops(state, options)
    for number in options.asked:
        attempt = state.attempts[number]
        if number == REBORN and state.attempts[FIRST].phase != DEAD:
            continue
        for label, following in find_attempt_steps(state, number, attempt, options):
            yield f"{label} {number}", following


def find_drops(state, options):
    """Yield the drop of the oldest record, where the log may drop it."""
    if state.first == len(state.log):
        return
    keep = RETENTION if options.honest else 0
    if state.log[state.first].tick < state.tick - keep:
        yield "drop", state._replace(first=state.first + 1)


def find_attempt_steps(state, number, attempt, options):
    """Yield the steps of one attempt, its gatekeeper and its messages."""

    def change(**fields):
        attempts = list(state.attempts)
        following = attempt._replace(**fields)
        if following.phase in DECIDED:
            # What it has read matters no more; fewer states stand for the same.
            following = following._replace(start=0, next=0, base=0)
        attempts[number] = following
        return state._replace(attempts=tuple(attempts))

    def land(kind, entry, **fields):
        record = Record(state.tick, kind, entry)
        return change(**fields)._replace(log=(*state.log, record))

    yield from find_landings(number, attempt, change, land)
    if attempt.phase == NEW:
        yield from find_asks(state, attempt, options, change)
        if options.stealing and number == SECOND and is_held(state):
            yield "take over", steal(state)
    elif attempt.phase == ASKED:
        yield from find_readings(state, number, attempt, options, change)
    elif attempt.phase == WON:
        yield from find_runs(state, attempt, options, change)
    if number == FIRST and can_crash(attempt, options):
        yield "crash", change(phase=DEAD)


def find_landings(number, attempt, change, land):
    """Yield that a copy of an append takes effect; one that never does is lost."""
    if attempt.claims:
        left = attempt.claims - 1
        yield "claim lands", land("claim", CLAIMS[number], claims=left)
    if attempt.releases:
        left = attempt.releases - 1
        entry = Release(*CLAIMS[number])
        yield "release lands", land("release", entry, releases=left)


def find_asks(state, attempt, options, change):
    """Yield the beginning of an attempt: read on, then append."""
    start, end = read(state, attempt)
    asked = attempt._replace(phase=ASKED, start=start, next=end, base=start)
    yield "ask", change(**asked._replace(claims=options.copies)._asdict())


def find_readings(state, number, attempt, options, change):
    """Yield what reading on tells a gatekeeper, and that it gives up."""
    own = CLAIMS[number]
    start, end = read(state, attempt)
    confirmed = start == attempt.base
    verdict = judge(options.state, state.log, start, own, confirmed)
    landed = any(is_claim_of(record, own) for record in state.log)
    if verdict is Verdict.WON or (options.acknowledged and landed):
        yield "win", change(phase=WON, start=start, next=end)
    elif verdict is Verdict.LOST:
        yield "lose", change(phase=LOST, start=start, next=end)
    elif verdict in (Verdict.GAP, Verdict.STALE):
        yield "refuse", change(phase=REFUSED, told=True, releases=1)
    if not options.patient:
        yield "give up", change(phase=REFUSED, told=True, releases=1)
    elif options.again and not attempt.claims and not landed:
        yield "append again", change(claims=1)
    if options.unclaimed:
        sent = change(phase=SENT)
        yield "run unclaimed", sent._replace(runs=state.runs + 1)


def is_held(state):
    """Return whether the log ends with the claim of the first attempt."""
    return is_claim_of(state.log[-1], CLAIMS[FIRST])


def steal(state):
    """Return the state after somebody else released the first claim."""
    record = Record(state.tick, "release", Release(*CLAIMS[FIRST]))
    return state._replace(log=(*state.log, record))


def find_runs(state, attempt, options, change):
    """Yield that a winner is sent to the backend server, or given up."""
    verdict = claims.ClaimVerdict(Verdict.WON)
    if options.unchecked or claims.may_run(verdict, attempt.told, 1.0, 0.0):
        sent = change(phase=SENT)
        yield "run", sent._replace(runs=state.runs + 1)
    if options.patient:
        return
    if attempt.told:
        yield "drop it", change(phase=REFUSED)
    elif options.forgetful:
        yield "say not run", change(told=True, releases=1)
    else:
        yield "say not run", change(phase=REFUSED, told=True, releases=1)


def read(state, attempt):
    """Return where a reader's unbroken history begins and ends after a read."""
    start = attempt.start if attempt.next >= state.first else state.first
    return start, len(state.log)


def can_crash(attempt, options):
    """Return whether the first gatekeeper may restart without memory now."""
    return REBORN in options.asked and attempt.phase not in (NEW, DEAD)
