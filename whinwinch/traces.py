"""Checks recorded traces against the guarantees of the mesh.

`check_trace` reports every record that violates a guarantee, in trace order.
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
    encode_header,
    merge_traces,
)

PASSED = 0
BROKEN = 1


class Replay(NamedTuple):
    """Result of a replay, for the command line.

    Attributes:
        code: Exit code: 0 (`PASSED`) if no guarantee was violated, otherwise 1
            (`BROKEN`).
        text: Report to print.
    """

    code: int
    text: str


class History:
    """State accumulated from the records checked so far.

    Attributes:
        budgets: Retry budget by root request.
        attempts: `Attempt` record by attempt.
        retries: Number of retries by root request.
        runs: Line number of the run by attempt.
        key_runs: Line number of the first run by idempotency key.
        claims: Claims and releases by key, each as a mapping from offset and
            place in the log to kind, attempt and incarnation.
        claims_read: Claims that a daemon has read, as tuples of daemon, key and
            attempt.
        backend_answers: Length and digest of the backend server's answer by
            attempt.
        answers: First `Answered` record by attempt.
        delivered: Root requests whose caller has received an answer.
        open: Set of admitted attempts not yet answered, by gatekeeper.
        leaving: Daemons that refuse new work because they are about to stop.
        stopped: Daemons that have stopped.
        versions: Configuration version in force by daemon.
        digests: Digest of the configuration by version.
    """

    def __init__(self):
        self.budgets = {}
        self.attempts = {}
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
    """Check a trace against the guarantees.

    Args:
        lines: Lines of the trace, starting with its header.

    Returns:
        A tuple of `Finding`, one for each malformed record or violated
        guarantee, in the order of the lines.
    """
    lines = tuple(lines)
    history = History()
    collect_claims(history, lines)
    findings = []
    for line_number, line in enumerate(lines, 1):
        place = f"line {line_number}"
        if line_number == 1:
            problems = check_header(line)
        else:
            problems = check_line(history, line, line_number)
        findings.extend(Finding(place, problem) for problem in problems)
    if not findings and not history.attempts and not history.versions:
        findings.append(Finding("trace", "contains no record that can be checked"))
    return tuple(findings)


def collect_claims(history, lines):
    """Collect all claims and releases that any daemon read, before the checks.

    The log's order decides which claim wins. A daemon that missed an earlier
    claim has not recorded it, but a record of another daemon may contain it,
    possibly on a later line.

    Args:
        history: The `History` whose `claims` are filled.
        lines: Lines of the trace, starting with its header.
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


def check_header(line):
    """Return the problems of the first line, the header, as a list of texts."""
    try:
        header = json.loads(line)
    except ValueError:
        header = None
    if not isinstance(header, dict) or header.get("format") != FORMAT:
        return [f"is not the header of a trace: {encode_header()}"]
    if header.get("version") != VERSION:
        return [
            f"is of version {header.get('version')}; supported is version {VERSION}"
        ]
    return []


def check_line(history, line, line_number):
    """Check one record and add it to the history; return the problems as a list."""
    try:
        record = decode_record(line)
    except ValueError as error:
        return [f"is not a valid record: {error}"]
    check = CHECKS.get(type(record))
    return list(check(history, record, line_number)) if check else []


def check_root_request(history, record, line_number):
    """Record the retry budget of a root request; its identifier must be new."""
    if record.root in history.budgets:
        yield f"root request {record.root} is recorded twice"
    history.budgets[record.root] = record.budget


def check_attempt(history, record, line_number):
    """Check that the retries of a root request don't exceed its budget."""
    history.attempts[record.attempt] = record
    if not record.retry:
        return
    made = history.retries.get(record.root, 0) + 1
    history.retries[record.root] = made
    limit = history.budgets.get(record.root)
    if limit is not None and made > limit:
        yield f"root request {record.root} causes retry {made}, its budget is {limit}"


def check_admission(history, record, line_number):
    """Check that shedding follows the level, and that leaving daemons admit nothing.

    An attempt whose rank is below the admission level must be shed. While the
    level is above 0, an attempt whose rank reaches it must not be shed.
    """
    if record.admitted and record.rank < record.level:
        yield f"attempt {record.attempt} is admitted with a rank below the level"
    if not record.admitted and record.rank >= record.level > 0:
        yield f"attempt {record.attempt} is shed although its rank reaches the level"
    if not record.admitted:
        return
    if record.daemon in history.leaving:
        yield f"{record.daemon} is leaving and admits attempt {record.attempt}"
    history.open.setdefault(record.daemon, set()).add(record.attempt)


def check_claim(history, record, line_number):
    """Check that readers agree on the log, and record the claim as read."""
    entry = ("claim", record.attempt, record.incarnation)
    if history.claims[record.key][(record.offset, record.place)] != entry:
        yield f"two readers disagree on offset {record.offset}"
    history.claims_read.add((record.daemon, record.key, record.attempt))


def check_release(history, record, line_number):
    """Check that an attempt that ran is not released."""
    if record.attempt in history.runs:
        yield f"attempt {record.attempt} ran and is released"


def check_run(history, record, line_number):
    """Check a run against at-most-once, claims and reported outcomes.

    A key must not run twice, the attempt must hold its key when it runs, and it
    must not run after it was reported as "not run".
    """
    answer = history.answers.get(record.attempt)
    if answer and answer.outcome == Outcome.NOT_RUN.value:
        yield f'attempt {record.attempt} runs after it was reported as "not run"'
    history.runs[record.attempt] = line_number
    if not record.key:
        return
    earlier = history.key_runs.setdefault(record.key, line_number)
    if earlier != line_number:
        yield f"key {record.key} runs a second time, first at line {earlier}"
    if (record.daemon, record.key, record.attempt) not in history.claims_read:
        yield f"attempt {record.attempt} runs before its claim was read"
    elif find_holder(history, record.key) != (record.attempt, record.daemon):
        yield f"attempt {record.attempt} runs without holding key {record.key}"


def find_holder(history, key):
    """Return the attempt and incarnation that hold a key, or None if it is free."""
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


def check_backend_answer(history, record, line_number):
    """Check that an answered attempt has run, and record the answer."""
    if record.attempt not in history.runs:
        yield f"attempt {record.attempt} has a backend answer but did not run"
    history.backend_answers[record.attempt] = (record.length, record.digest)


def check_answered(history, record, line_number):
    """Check that an answer is complete, for its own attempt, and correct.

    An attempt reported as "not run" must not have run, and a completed one must
    have the content of its backend server's answer.
    """
    history.open.get(record.daemon, set()).discard(record.attempt)
    history.answers.setdefault(record.attempt, record)
    if record.outcome == Outcome.NOT_RUN.value and record.attempt in history.runs:
        line = history.runs[record.attempt]
        yield (
            f'attempt {record.attempt} is reported as "not run" but ran at line {line}'
        )
    if record.outcome != Outcome.COMPLETED.value:
        return
    content = history.backend_answers.get(record.attempt)
    if content is None:
        yield f"attempt {record.attempt} is completed without a backend answer"
    elif content != (record.length, record.digest):
        yield f"attempt {record.attempt} gets a wrong or incomplete answer"


def check_delivered(history, record, line_number):
    """Check that a caller gets one complete answer, to its own request."""
    if record.root in history.delivered:
        yield f"root request {record.root} is answered twice"
    history.delivered.add(record.root)
    attempt = history.attempts.get(record.source)
    expected = (record.daemon, record.root)
    if record.source and (
        attempt is None or (attempt.daemon, attempt.root) != expected
    ):
        yield f"root request {record.root} gets the answer to another request"
    answer = history.answers.get(record.source)
    if record.outcome == Outcome.COMPLETED.value:
        if answer is None:
            yield f"root request {record.root} is completed without an answer"
        elif (answer.length, answer.digest) != (record.length, record.digest):
            yield f"root request {record.root} gets an incomplete answer"
    if record.outcome == Outcome.NOT_RUN.value and record.source in history.runs:
        yield f'root request {record.root} is reported as "not run" but ran'


def check_leaving(history, record, line_number):
    """Record that a gatekeeper refuses new work from now on."""
    history.leaving.add(record.daemon)
    return ()


def check_stopped(history, record, line_number):
    """Check that no attempt is in flight when a daemon stops as planned."""
    history.stopped.add(record.daemon)
    unfinished = sorted(history.open.get(record.daemon, ()))
    if unfinished:
        yield f"{record.daemon} stops with attempts in flight: {', '.join(unfinished)}"


def check_configured(history, record, line_number):
    """Check that versions never go back and are the same at all daemons."""
    present = history.versions.get(record.daemon, 0)
    if record.version < present:
        yield f"{record.daemon} reverts from version {present} to {record.version}"
    history.versions[record.daemon] = record.version
    digest = history.digests.setdefault(record.version, record.digest)
    if digest != record.digest:
        yield f"{record.daemon} has different content for version {record.version}"


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
    """Merge the trace files of several daemons of one mesh and check the result.

    Args:
        paths: Paths of the trace files.

    Returns:
        The result as a `Replay`.

    Raises:
        OSError: If a file can't be read.
    """
    traces = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            traces.append(tuple(lines))
    findings = check_trace(merge_traces(traces))
    return build_replay(", ".join(paths), findings)


def replay_file(path):
    """Check a trace file.

    Args:
        path: Path of the trace file.

    Returns:
        The result as a `Replay`.

    Raises:
        OSError: If the file can't be read.
    """
    with open(path, encoding="utf-8", errors="replace") as lines:
        findings = check_trace(lines)
    return build_replay(path, findings)


def build_replay(name, findings):
    """Return a `Replay` with the exit code and report for findings.

    Args:
        name: Name of the trace, for the report.
        findings: Tuple of `Finding`, empty if no guarantee was violated.
    """
    if not findings:
        return Replay(PASSED, f"{name}: no guarantee was violated")
    first, *others = findings
    report = [f"{name}: {first.place}: {first.problem}"]
    report.extend(f"  then {other.place}: {other.problem}" for other in others)
    return Replay(BROKEN, "\n".join(report))
