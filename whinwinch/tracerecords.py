"""Records of traces, to and from their lines.

A trace is a file of JSON lines: a head with the version of the format, then one
record a line, each with its type. Daemons write them; records of several
daemons are merged by time, so that an answer stands after what it answers.
"""

import json
import operator
import threading
from typing import NamedTuple

FORMAT = "whinwinch-trace"
VERSION = 1


class RootRequest(NamedTuple):
    """An outside caller's request reached its entry.

    Attributes:
        daemon: The entry.
        root: Identifier of the root request.
        budget: Retries that the whole tree may cause.
        caller: Name of the caller.
    """

    daemon: str
    root: str
    budget: int
    caller: str = ""


class Attempt(NamedTuple):
    """A daemon made an attempt of a call.

    Attributes:
        daemon: The daemon that made it.
        root: Identifier of the root request.
        attempt: The attempt.
        service: Service called.
        retry: Whether it repeats an attempt that was refused or lost.
        key: Idempotency key, or "".
    """

    daemon: str
    root: str
    attempt: str
    service: str
    retry: bool = False
    key: str = ""


class Admission(NamedTuple):
    """A gatekeeper decided on an attempt by its admission level.

    Attributes:
        daemon: The gatekeeper.
        attempt: The attempt.
        admitted: Whether it was let in.
        rank: Rank of the request, importance first.
        level: Admission level at that moment.
    """

    daemon: str
    attempt: str
    admitted: bool
    rank: float = 0.0
    level: float = 0.0


class ClaimRead(NamedTuple):
    """A claim was read from the log.

    Attributes:
        daemon: The reader.
        key: Idempotency key.
        attempt: The attempt.
        incarnation: Incarnation that claimed.
        offset: Offset of the record.
        place: Place within the record.
    """

    daemon: str
    key: str
    attempt: str
    incarnation: str
    offset: int
    place: int = 0


class ReleaseRead(NamedTuple):
    """A release was read from the log; the attributes are those of a claim."""

    daemon: str
    key: str
    attempt: str
    incarnation: str
    offset: int
    place: int = 0


class Run(NamedTuple):
    """An attempt was sent to a backend server.

    Attributes:
        daemon: The gatekeeper, also the incarnation that claims.
        attempt: The attempt.
        key: Idempotency key, or "".
    """

    daemon: str
    attempt: str
    key: str = ""


class BackendAnswer(NamedTuple):
    """A backend server answered.

    Attributes:
        daemon: The gatekeeper.
        attempt: The attempt.
        status: HTTP status.
        length: Bytes of the body.
        digest: Digest of the body.
    """

    daemon: str
    attempt: str
    status: int
    length: int
    digest: str


class Answered(NamedTuple):
    """A daemon answered an attempt, towards whoever made it.

    Attributes:
        daemon: The daemon that answers.
        attempt: The attempt.
        outcome: Value of its `messages.Outcome`.
        reason: Value of its `messages.Reason`.
        length: Bytes of the body.
        digest: Digest of the body.
    """

    daemon: str
    attempt: str
    outcome: str
    reason: str = "none"
    length: int = 0
    digest: str = ""


class Delivered(NamedTuple):
    """The outside caller got its answer.

    Attributes:
        daemon: The entry.
        root: Identifier of the root request.
        outcome: Value of its `messages.Outcome`.
        source: Attempt whose answer it is, or "" where the entry made it.
        length: Bytes of the body.
        digest: Digest of the body.
    """

    daemon: str
    root: str
    outcome: str
    source: str = ""
    length: int = 0
    digest: str = ""


class Leaving(NamedTuple):
    """A gatekeeper began to refuse new work."""

    daemon: str


class Stopped(NamedTuple):
    """A daemon stopped as planned."""

    daemon: str


class Configured(NamedTuple):
    """A daemon put a configuration in force.

    Attributes:
        daemon: The daemon, new at every start.
        version: Version of the configuration.
        digest: Digest of all resources.
    """

    daemon: str
    version: int
    digest: str


class Fault(NamedTuple):
    """Something went wrong or was made to; it explains, and is not judged.

    Attributes:
        daemon: Where, or "" for the platform.
        text: What.
    """

    daemon: str
    text: str


KINDS = {
    "root-request": RootRequest,
    "attempt": Attempt,
    "admission": Admission,
    "claim": ClaimRead,
    "release": ReleaseRead,
    "run": Run,
    "backend-answer": BackendAnswer,
    "answered": Answered,
    "delivered": Delivered,
    "leaving": Leaving,
    "stopped": Stopped,
    "configured": Configured,
    "fault": Fault,
}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}


def encode_head():
    """Return the first line of a trace, without its line end."""
    return json.dumps({"format": FORMAT, "version": VERSION})


def encode_record(record, at=0.0):
    """Return one record as a line, without its line end.

    Args:
        record: The record.
        at: Wall-clock seconds, by which the traces of several daemons are
            merged.
    """
    head = {"kind": KIND_NAMES[type(record)]}
    if at:
        head["at"] = at
    return json.dumps({**head, **record._asdict()})


def decode_record(line):
    """Return the record of one line.

    Raises:
        ValueError: When the line isn't a record; the message says why.
    """
    try:
        fields = json.loads(line)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(fields, dict):
        raise ValueError("not an object")
    kind = KINDS.get(str(fields.pop("kind", "")))
    fields.pop("at", None)
    if kind is None:
        raise ValueError("no known kind")
    try:
        record = kind(**fields)
    except TypeError as error:
        raise ValueError(f"wrong fields: {error}") from error
    check_types(record)
    return record


def check_types(record):
    """Check that each field of a record has the type that it declares.

    Raises:
        ValueError: When one hasn't.
    """
    for name, wanted in type(record).__annotations__.items():
        value = getattr(record, name)
        if wanted is float and type(value) is int:
            continue
        if type(value) is not wanted:
            raise ValueError(f"{name} is not of type {wanted.__name__}")


def merge_traces(traces):
    """Return the lines of one trace from those of several daemons, by time.

    Their instances' clocks have to agree better than a call takes; where they
    don't, an answer may stand before what it answers and be found wrong.

    Args:
        traces: Iterable of traces, each the lines of one daemon in their order.
    """
    lines = []
    for trace in traces:
        last = 0.0
        for line in trace:
            at = find_time(line)
            if at is None:
                continue
            # A daemon's own order holds, also where its clock is set back.
            last = max(last, at)
            lines.append((last, line))
    lines.sort(key=operator.itemgetter(0))
    return (encode_head(), *(line for _, line in lines))


def find_time(line):
    """Return the time of a record's line, or None for another line."""
    try:
        fields = json.loads(line)
        return float(fields["at"]) if "kind" in fields else None
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def make_recorder(stream, clock=None):
    """Return a function that writes records to a text stream, one a line.

    Several threads may call it: a lock keeps lines whole and in the order in
    which a daemon did things, on which the replay relies.

    Args:
        stream: Text stream; the head is written at once.
        clock: Returns the wall-clock time in seconds; None writes no times.
    """
    lock = threading.Lock()

    def record(entry):
        with lock:
            line = encode_record(entry, clock() if clock else 0.0)
            stream.write(line + "\n")
            stream.flush()

    stream.write(encode_head() + "\n")
    return record
