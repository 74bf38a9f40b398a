"""Replay of recorded traces against the stated outcomes.

`check_trace` names every record by which a promise is broken, the first one
first.
"""

import json
from typing import NamedTuple

from .errors import Finding
from .messages import Outcome
from .tracerecords import (
    FORMAT,
    KIND_NAMES,
    VERSION,
    Admission,
    Answered,
    Attempt,
    BackendAnswer,
    ClaimRead,
    Configured,
    Delivered,
    Leaving,
    ReleaseRead,
    RootRequest,
    Run,
    Stopped,
    decode_record,
    encode_head,
    merge_traces,
)

PASSED = 0
BROKEN = 1


class Replay(NamedTuple):
    """Result of a replay, for the command line.

    Attributes:
        code: Exit code: 0 when every promise held.
        text: What to print.
    """

    code: int
    text: str


class History:
    """What the records read so far say.

    Attributes:
        budgets: Budget of each root request.
        makers: The `Attempt` record of each attempt.
        retries: Retries seen for each root request.
        runs: Attempts that ran, with the line.
        key_runs: The run of each key, with the line.
        claims: Claims and releases of each key, by place in the log.
        claims_read: Claims that each daemon has read, as pairs with the daemon.
        backend_answers: Length and digest of each backend server's answer.
        answers: The `Answered` of each attempt.
        delivered: Root requests whose caller has its answer.
        open: Attempts inside each gatekeeper.
        leaving: Daemons that are leaving.
        stopped: Daemons that have stopped.
        versions: Version in force at each daemon.
        digests: Digest of each version.
    """

    def __init__(self):
        self.budgets = {}
        self.makers = {}
        self.retries = {}
        self.runs = {}
        self.key_runs = {}
        self.claims = {}
        self.claims_read = set()
        self.backend_answers = {}
        self.answers = {}
        self.delivered = set()
        self.open = {}
        self.leaving = set()
        self.stopped = set()
        self.versions = {}
        self.digests = {}


def check_trace(lines):
    """Check a trace against the stated outcomes.

    Args:
        lines: Its lines, the head first.

    Returns:
        A tuple of `Finding`, one for each record that is malformed or breaks a
        promise, in the order of the lines.
    """
    lines = tuple(lines)
    history = History()
    take_in_claims(history, lines)
    findings = []
    for number, line in enumerate(lines, 1):
        place = f"line {number}"
        if number == 1:
            problems = check_head(line)
        else:
            problems = check_line(history, line, number)
        findings.extend(Finding(place, problem) for problem in problems)
    if not findings and not history.makers and not history.versions:
        findings.append(Finding("trace", "holds no record that could be judged"))
    return tuple(findings)


def take_in_claims(history, lines):
    """Take in all that any daemon read of the log, before judging.

    The log's order decides, and a daemon that missed an earlier claim will not
    have recorded it; another daemon's record shows it, perhaps further down.
    """
    for line in lines[1:]:
        try:
            record = decode_record(line)
        except ValueError:
            continue
        if type(record) in (ClaimRead, ReleaseRead):
            place = (record.offset, record.place)
            entry = (KIND_NAMES[type(record)], record.attempt, record.incarnation)
            history.claims.setdefault(record.key, {}).setdefault(place, entry)


def check_head(line):
    """Return what is wrong with the first line."""
    try:
        head = json.loads(line)
    except ValueError:
        head = None
    if not isinstance(head, dict) or head.get("format") != FORMAT:
        return [f"is not the head of a trace: {encode_head()}"]
    if head.get("version") != VERSION:
        return [f"is of version {head.get('version')}; this reads {VERSION}"]
    return []


def check_line(history, line, number):
    """Return what is wrong with a record, having taken it in."""
    try:
        record = decode_record(line)
    except ValueError as error:
        return [f"is not a record: {error}"]
    check = CHECKS.get(type(record))
    return list(check(history, record, number)) if check else []


def check_root_request(history, record, number):
    """Take in a root request."""
    if record.root in history.budgets:
        yield f"root request {record.root} is recorded twice"
    history.budgets[record.root] = record.budget


def check_attempt(history, record, number):
    """Check the bound on the retries of a whole request."""
    history.makers[record.attempt] = record
    if not record.retry:
        return
    made = history.retries.get(record.root, 0) + 1
    history.retries[record.root] = made
    bound = history.budgets.get(record.root)
    if bound is not None and made > bound:
        yield f"root request {record.root} causes retry {made}, its bound is {bound}"


def check_admission(history, record, number):
    """Check that a level sheds by rank, and that nobody leaving takes work."""
    if record.admitted and record.rank < record.level:
        yield f"attempt {record.attempt} is admitted below the level"
    if not record.admitted and record.rank >= record.level > 0:
        yield f"attempt {record.attempt} is shed though its rank reaches the level"
    if not record.admitted:
        return
    if record.daemon in history.leaving:
        yield f"{record.daemon} is leaving and admits attempt {record.attempt}"
    history.open.setdefault(record.daemon, set()).add(record.attempt)


def check_claim(history, record, number):
    """Check that readers agree on the log, and note who has read what."""
    entry = ("claim", record.attempt, record.incarnation)
    if history.claims[record.key][(record.offset, record.place)] != entry:
        yield f"two readers disagree on offset {record.offset}"
    history.claims_read.add((record.daemon, record.key, record.attempt))


def check_release(history, record, number):
    """Check that nothing that ran is released."""
    if record.attempt in history.runs:
        yield f"attempt {record.attempt} ran and is released"


def check_run(history, record, number):
    """Check at-most-once, claims and the word "not run"."""
    answer = history.answers.get(record.attempt)
    if answer and answer.outcome == Outcome.NOT_RUN.value:
        yield f'attempt {record.attempt} runs after "not run" was said of it'
    history.runs[record.attempt] = number
    if not record.key:
        return
    earlier = history.key_runs.setdefault(record.key, number)
    if earlier != number:
        yield f"key {record.key} runs a second time, first at line {earlier}"
    if (record.daemon, record.key, record.attempt) not in history.claims_read:
        yield f"attempt {record.attempt} runs before its claim was read"
    elif find_holder(history, record.key) != (record.attempt, record.daemon):
        yield f"attempt {record.attempt} runs without holding key {record.key}"


def find_holder(history, key):
    """Return attempt and incarnation of the claim that holds a key, or None."""
    holder = None
    decided = set()
    claims = history.claims.get(key, {})
    for place in sorted(claims):
        kind, *identity = claims[place]
        identity = tuple(identity)
        if kind == "release":
            decided.add(identity)
            holder = None if holder == identity else holder
        elif identity not in decided:
            decided.add(identity)
            holder = holder or identity
    return holder


def check_backend_answer(history, record, number):
    """Take in what a backend server answered."""
    if record.attempt not in history.runs:
        yield f"attempt {record.attempt} is answered without having run"
    history.backend_answers[record.attempt] = (record.length, record.digest)


def check_answered(history, record, number):
    """Check that an answer is whole, its own, and true."""
    history.open.get(record.daemon, set()).discard(record.attempt)
    history.answers.setdefault(record.attempt, record)
    if record.outcome == Outcome.NOT_RUN.value and record.attempt in history.runs:
        line = history.runs[record.attempt]
        yield f'attempt {record.attempt} is said "not run" but ran at line {line}'
    if record.outcome != Outcome.COMPLETED.value:
        return
    content = history.backend_answers.get(record.attempt)
    if content is None:
        yield f"attempt {record.attempt} is completed without a backend answer"
    elif content != (record.length, record.digest):
        yield f"attempt {record.attempt} gets an answer that isn't its own or whole"


def check_delivered(history, record, number):
    """Check that a caller gets the whole answer to its own request, once."""
    if record.root in history.delivered:
        yield f"root request {record.root} is answered twice"
    history.delivered.add(record.root)
    maker = history.makers.get(record.source)
    wanted = (record.daemon, record.root)
    if record.source and (maker is None or (maker.daemon, maker.root) != wanted):
        yield f"root request {record.root} gets the answer to another"
    answer = history.answers.get(record.source)
    if record.outcome == Outcome.COMPLETED.value:
        if answer is None:
            yield f"root request {record.root} is completed without an answer"
        elif (answer.length, answer.digest) != (record.length, record.digest):
            yield f"root request {record.root} gets a part of its answer"
    if record.outcome == Outcome.NOT_RUN.value and record.source in history.runs:
        yield f'root request {record.root} is said "not run" but ran'


def check_leaving(history, record, number):
    """Take in that a gatekeeper refuses new work from now on."""
    history.leaving.add(record.daemon)
    return ()


def check_stopped(history, record, number):
    """Check that a planned stop cuts nothing off."""
    history.stopped.add(record.daemon)
    left = sorted(history.open.get(record.daemon, ()))
    if left:
        yield f"{record.daemon} stops with attempts in flight: {', '.join(left)}"


def check_configured(history, record, number):
    """Check that configuration never reverts and is the same everywhere."""
    present = history.versions.get(record.daemon, 0)
    if record.version < present:
        yield f"{record.daemon} goes back from version {present} to {record.version}"
    history.versions[record.daemon] = record.version
    digest = history.digests.setdefault(record.version, record.digest)
    if digest != record.digest:
        yield f"{record.daemon} holds a different version {record.version}"


CHECKS = {
    RootRequest: check_root_request,
    Attempt: check_attempt,
    Admission: check_admission,
    ClaimRead: check_claim,
    ReleaseRead: check_release,
    Run: check_run,
    BackendAnswer: check_backend_answer,
    Answered: check_answered,
    Delivered: check_delivered,
    Leaving: check_leaving,
    Stopped: check_stopped,
    Configured: check_configured,
}


def replay_files(paths):
    """Check the traces of several daemons of one mesh as one.

    Args:
        paths: Paths of the traces.

    Returns:
        A `Replay`.

    Raises:
        OSError: When a file can't be read.
    """
    traces = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            traces.append(tuple(lines))
    findings = check_trace(merge_traces(traces))
    return form_replay(", ".join(paths), findings)


def replay_file(path):
    """Check a trace file.

    Args:
        path: Path of the trace.

    Returns:
        A `Replay`.

    Raises:
        OSError: When the file can't be read.
    """
    with open(path, encoding="utf-8", errors="replace") as lines:
        findings = check_trace(lines)
    return form_replay(path, findings)


def form_replay(name, findings):
    """Return the `Replay` that reports findings.

    Args:
        name: Name of the trace.
        findings: Tuple of `Finding`.
    """
    if not findings:
        return Replay(PASSED, f"{name}: every stated outcome held")
    first, *others = findings
    report = [f"{name}: {first.place}: {first.problem}"]
    report.extend(f"  then {each.place}: {each.problem}" for each in others)
    return Replay(BROKEN, "\n".join(report))
