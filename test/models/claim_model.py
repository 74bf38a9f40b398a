"""Model of claims: two daemons claim one key, one of them again after a restart.

A gatekeeper may pause between any two steps. An append takes effect zero, one or
two times, at any time after it was sent, and its writer never receives the answer:
it decides only by reading the log. The log may drop a record at any time after its
retention. Verdicts come from the package's own `Claims` and `may_run`.
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

# Attempt 2 is a duplicate of the first message, which the first gatekeeper receives
# after it has restarted.
CLAIMS = (Claim(KEY, "a", "g1"), Claim(KEY, "b", "g2"), Claim(KEY, "a", "g1-again"))
FIRST, SECOND, RESTARTED = range(3)


class Record(NamedTuple):
    """One record of the log.

    Attributes:
        tick: Time on the log's clock when the record was appended.
        kind: Kind of the entry. A `Claim` compares equal to a `Release` with the
            same fields, so without the kind two different states would be merged.
        entry: The entry, or None for an entry of another key.
    """

    tick: int
    kind: str = "other"
    entry: tuple | None = None


# Records of other keys, which are older than `KEY`.
FILLERS = (Record(0), Record(0))

NEW, CLAIMING, WON, SENT, REFUSED, LOST, CRASHED = (
    "new",
    "claiming",
    "won",
    "sent",
    "refused",
    "lost",
    "crashed",
)
DECIDED = frozenset({SENT, REFUSED, LOST, CRASHED})


class Options(NamedTuple):
    """Disabled mechanisms and the bounds of the model.

    Attributes:
        claims_class: Class that derives the verdicts from the log.
        unclaimed: Whether an attempt runs although the log does not answer.
        acknowledged: Whether an attempt runs as soon as its claim is in the log,
            without having read the records before the claim.
        unchecked: Whether a winner runs without the check by `may_run`.
        stealing: Whether another gatekeeper releases the claim of a winner that
            does not respond.
        reports_early: Whether "not run" is reported while the attempt may still
            run.
        waits_for_log: Whether gatekeepers wait for the log instead of giving up.
        again: Whether gatekeepers repeat an append that they do not find in the
            log.
        keeps_retention: Whether the log keeps records for the whole retention.
        attempt_numbers: Numbers of the attempts that may be made; with RESTARTED
            among them, the first gatekeeper may restart.
        ticks: Highest tick of the log's clock.
        copies: Maximum number of times that one append takes effect.
    """

    claims_class: type = Claims
    unclaimed: bool = False
    acknowledged: bool = False
    unchecked: bool = False
    stealing: bool = False
    reports_early: bool = False
    waits_for_log: bool = False
    again: bool = True
    keeps_retention: bool = True
    attempt_numbers: tuple = (FIRST, SECOND)
    ticks: int = LAST_TICK
    copies: int = 2


class Attempt(NamedTuple):
    """One attempt at its gatekeeper.

    Attributes:
        phase: Phase of the attempt, such as NEW or CLAIMING.
        start: Offset from which the gatekeeper has read the log without a gap.
        next: Next offset that the gatekeeper reads.
        start_at_append: Value of `start` when the append was sent.
        claims: Copies of the claim that may still reach the log.
        releases: Copies of the release that may still reach the log.
        reported_not_run: Whether "not run" was reported for the attempt.
    """

    phase: str = NEW
    start: int = 0
    next: int = 0
    start_at_append: int = 0
    claims: int = 0
    releases: int = 0
    reported_not_run: bool = False


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        tick: Time on the log's clock.
        log: All `Record` objects, including dropped ones.
        first: Oldest offset that the log still keeps.
        runs: Number of times that the request was sent to a backend server.
        attempts: The three `Attempt` objects.
    """

    tick: int = KEY_TICK
    log: tuple = FILLERS
    first: int = 0
    runs: int = 0
    attempts: tuple = (Attempt(), Attempt(), Attempt())


@functools.lru_cache(maxsize=None)
def compute_verdict(claims_class, log, start, claim, confirmed):
    """Return the verdict on a claim after reading the log from an offset to its end.

    Args:
        claims_class: Class that derives the verdicts from the log.
        log: Records up to the end of the read.
        start: Offset at which the read began.
        claim: The claim.
        confirmed: Whether the gap, if any, was noticed before the append.
    """
    state = claims_class(
        window=WINDOW, max_clock_skew=MAX_CLOCK_SKEW, retention=float(RETENTION)
    )
    state.skip_to(start)
    for offset, record in enumerate(log[start:], start):
        data = claims.encode_batch([record.entry]) if record.entry else b""
        time = float(START + record.tick)
        state.apply(offset, time, data)
        if confirmed and is_claim_of(record, claim):
            state.confirm_retention(time, state.skips)
    return state.get_verdict(claim).verdict


def is_claim_of(record, claim):
    """Return whether a record holds a copy of a claim."""
    return record.kind == "claim" and record.entry == claim


def make_protocol(options, name="claims", goal=None):
    """Return the model as a `Protocol`.

    Args:
        options: `Options`.
        name: Name of the model.
        goal: Predicate on the fields; a state that satisfies it must stay reachable.
    """
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(find_steps(state, options)),
        invariants={
            "a non-idempotent request runs at most once": lambda d: d["runs"] <= 1,
            "a request reported as not run did not run": is_report_true,
            "a released key is free": lambda d: are_released_keys_free(
                d, options.claims_class
            ),
        },
        goal=goal,
    )


def is_report_true(fields):
    """Return whether no attempt was run that was reported as not run."""
    return not any(
        each.reported_not_run and each.phase == SENT for each in fields["attempts"]
    )


def are_released_keys_free(fields, claims_class):
    """Return whether no claim whose release is in the log wins its key."""
    log = fields["log"]
    released = {record.entry for record in log if record.kind == "release"}
    return all(
        compute_verdict(claims_class, log, 0, Claim(*entry), False) is not Verdict.WON
        for entry in released
    )


def is_decided(fields):
    """Return whether every attempt that was made is decided."""
    return all(each.phase in DECIDED | {NEW} for each in fields["attempts"])


def has_run(fields):
    """Return whether the request was run."""
    return fields["runs"] > 0


def find_steps(state, options):
    """Yield each possible step as a pair of its label and the next state."""
    if state.tick < options.ticks:
        yield "tick", state._replace(tick=state.tick + 1)
    yield from find_drops(state, options)
    for number in options.attempt_numbers:
        attempt = state.attempts[number]
        if number == RESTARTED and state.attempts[FIRST].phase != CRASHED:
            continue
        for label, following in find_attempt_steps(state, number, attempt, options):
            yield f"{label} {number}", following


def find_drops(state, options):
    """Yield the drop of the oldest record, if the log may drop it."""
    if state.first == len(state.log):
        return
    keep = RETENTION if options.keeps_retention else 0
    if state.log[state.first].tick < state.tick - keep:
        yield "drop", state._replace(first=state.first + 1)


def find_attempt_steps(state, number, attempt, options):
    """Yield the steps of one attempt, its gatekeeper and its messages."""

    def change(**fields):
        attempts = list(state.attempts)
        following = attempt._replace(**fields)
        if following.phase in DECIDED:
            # The read position no longer matters; resetting it merges equal states.
            following = following._replace(start=0, next=0, start_at_append=0)
        attempts[number] = following
        return state._replace(attempts=tuple(attempts))

    def append(kind, entry, **fields):
        record = Record(state.tick, kind, entry)
        return change(**fields)._replace(log=(*state.log, record))

    yield from find_append_effects(number, attempt, change, append)
    if attempt.phase == NEW:
        yield from find_claim_steps(state, attempt, options, change)
        if options.stealing and number == SECOND and ends_with_first_claim(state):
            yield "take over", release_first_claim(state)
    elif attempt.phase == CLAIMING:
        yield from find_read_steps(state, number, attempt, options, change)
    elif attempt.phase == WON:
        yield from find_run_steps(state, attempt, options, change)
    if number == FIRST and can_crash(attempt, options):
        yield "crash", change(phase=CRASHED)


def find_append_effects(number, attempt, change, append):
    """Yield the effect of one copy of an append; a copy may also never take effect."""
    if attempt.claims:
        copies = attempt.claims - 1
        yield "claim appended", append("claim", CLAIMS[number], claims=copies)
    if attempt.releases:
        copies = attempt.releases - 1
        entry = Release(*CLAIMS[number])
        yield "release appended", append("release", entry, releases=copies)


def find_claim_steps(state, attempt, options, change):
    """Yield the start of an attempt: read to the end of the log, then append."""
    start, end = read_log(state, attempt)
    claiming = attempt._replace(
        phase=CLAIMING, start=start, next=end, start_at_append=start
    )
    yield "claim", change(**claiming._replace(claims=options.copies)._asdict())


def find_read_steps(state, number, attempt, options, change):
    """Yield the verdicts that a gatekeeper can read, and that it gives up."""
    claim = CLAIMS[number]
    start, end = read_log(state, attempt)
    confirmed = start == attempt.start_at_append
    verdict = compute_verdict(options.claims_class, state.log, start, claim, confirmed)
    landed = any(is_claim_of(record, claim) for record in state.log)
    if verdict is Verdict.WON or (options.acknowledged and landed):
        yield "win", change(phase=WON, start=start, next=end)
    elif verdict is Verdict.LOST:
        yield "lose", change(phase=LOST, start=start, next=end)
    elif verdict in (Verdict.GAP, Verdict.STALE):
        yield "refuse", change(phase=REFUSED, reported_not_run=True, releases=1)
    if not options.waits_for_log:
        yield "give up", change(phase=REFUSED, reported_not_run=True, releases=1)
    elif options.again and not attempt.claims and not landed:
        yield "append again", change(claims=1)
    if options.unclaimed:
        sent = change(phase=SENT)
        yield "run unclaimed", sent._replace(runs=state.runs + 1)


def ends_with_first_claim(state):
    """Return whether the log ends with the claim of the first attempt."""
    return is_claim_of(state.log[-1], CLAIMS[FIRST])


def release_first_claim(state):
    """Return the state after another gatekeeper released the first claim."""
    record = Record(state.tick, "release", Release(*CLAIMS[FIRST]))
    return state._replace(log=(*state.log, record))


def find_run_steps(state, attempt, options, change):
    """Yield that a winner is sent to the backend server or given up."""
    verdict = claims.ClaimVerdict(Verdict.WON)
    if options.unchecked or claims.may_run(verdict, attempt.reported_not_run, 1.0, 0.0):
        sent = change(phase=SENT)
        yield "run", sent._replace(runs=state.runs + 1)
    if options.waits_for_log:
        return
    if attempt.reported_not_run:
        yield "give up", change(phase=REFUSED)
    elif options.reports_early:
        yield "report not run", change(reported_not_run=True, releases=1)
    else:
        yield "report not run", change(phase=REFUSED, reported_not_run=True, releases=1)


def read_log(state, attempt):
    """Return the first and the next offset of a reader's gapless history."""
    start = attempt.start if attempt.next >= state.first else state.first
    return start, len(state.log)


def can_crash(attempt, options):
    """Return whether the first gatekeeper may crash and restart without its state."""
    return RESTARTED in options.attempt_numbers and attempt.phase not in (NEW, CRASHED)
