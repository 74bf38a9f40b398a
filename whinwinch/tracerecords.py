"""Record types of traces, and their encoding as lines of JSON.

A trace is a file in JSON Lines format: a header line with the version of the
format, then one record per line, each with its kind. Each daemon writes its own
trace. Traces of several daemons are merged by time, so that an answer follows
the request that it belongs to.
"""

import json
import operator
import threading
from typing import NamedTuple

FORMAT = "whinwinch-trace"
VERSION = 1


class RootRequest(NamedTuple):
    """A request of an outside caller arrived at its entry daemon.

    Attributes:
        daemon: The entry daemon.
        root: Identifier of the root request.
        budget: Maximum number of retries in the whole call tree.
        caller: Name of the caller.
    """

    daemon: str
    root: str
    budget: int
    caller: str = ""


class Attempt(NamedTuple):
    """A daemon sent an attempt of a call.

    Attributes:
        daemon: The daemon that sent the attempt.
        root: Identifier of the root request.
        attempt: Identifier of the attempt.
        service: Name of the service called.
        retry: Whether the attempt repeats one that was refused or lost.
        key: Idempotency key, or "".
    """

    daemon: str
    root: str
    attempt: str
    service: str
    retry: bool = False
    key: str = ""


class Admission(NamedTuple):
    """A gatekeeper admitted or shed an attempt by its admission level.

    Attributes:
        daemon: The gatekeeper's daemon.
        attempt: Identifier of the attempt.
        admitted: Whether the attempt was admitted.
        rank: Rank of the request, determined by its importance first.
        level: Admission level at that time.
    """

    daemon: str
    attempt: str
    admitted: bool
    rank: float = 0.0
    level: float = 0.0


class ClaimRead(NamedTuple):
    """A daemon read a claim from the log.

    Attributes:
        daemon: The daemon that read the claim.
        key: Idempotency key.
        attempt: Identifier of the attempt that claims the key.
        incarnation: Incarnation that appended the claim.
        offset: Offset of the log record.
        place: Index of the claim within the log record.
    """

    daemon: str
    key: str
    attempt: str
    incarnation: str
    offset: int
    place: int = 0


class ReleaseRead(NamedTuple):
    """A daemon read a release from the log.

    Attributes:
        daemon: The daemon that read the release.
        key: Idempotency key.
        attempt: Identifier of the attempt that releases the key.
        incarnation: Incarnation that appended the release.
        offset: Offset of the log record.
        place: Index of the release within the log record.
    """

    daemon: str
    key: str
    attempt: str
    incarnation: str
    offset: int
    place: int = 0


class Run(NamedTuple):
    """An attempt was sent to a backend server.

    Attributes:
        daemon: The gatekeeper's daemon, which is also the incarnation that claims.
        attempt: Identifier of the attempt.
        key: Idempotency key, or "".
    """

    daemon: str
    attempt: str
    key: str = ""


class BackendAnswer(NamedTuple):
    """A backend server answered an attempt.

    Attributes:
        daemon: The gatekeeper's daemon.
        attempt: Identifier of the attempt.
        status: HTTP status.
        length: Length of the body in bytes.
        digest: Digest of the body.
    """

    daemon: str
    attempt: str
    status: int
    length: int
    digest: str


class Answered(NamedTuple):
    """A daemon sent the answer to an attempt back to the sender of the attempt.

    Attributes:
        daemon: The daemon that answers.
        attempt: Identifier of the attempt.
        outcome: Value of the answer's `messages.Outcome`.
        reason: Value of the answer's `messages.Reason`.
        length: Length of the body in bytes.
        digest: Digest of the body.
    """

    daemon: str
    attempt: str
    outcome: str
    reason: str = "none"
    length: int = 0
    digest: str = ""


class Delivered(NamedTuple):
    """An outside caller received the answer to its request.

    Attributes:
        daemon: The entry daemon.
        root: Identifier of the root request.
        outcome: Value of the answer's `messages.Outcome`.
        source: Attempt that the answer comes from, or "" if the entry daemon
            generated it.
        length: Length of the body in bytes.
        digest: Digest of the body.
    """

    daemon: str
    root: str
    outcome: str
    source: str = ""
    length: int = 0
    digest: str = ""


class Leaving(NamedTuple):
    """A gatekeeper started to refuse new work.

    Attributes:
        daemon: The gatekeeper's daemon.
    """

    daemon: str


class Stopped(NamedTuple):
    """A daemon stopped as planned.

    Attributes:
        daemon: The daemon.
    """

    daemon: str


class Configured(NamedTuple):
    """A daemon put a configuration in force.

    Attributes:
        daemon: Identifier of the daemon, new at every start.
        version: Version of the configuration.
        digest: Digest of all resources.
    """

    daemon: str
    version: int
    digest: str


class Fault(NamedTuple):
    """A fault that occurred or was injected; it is for information, not checked.

    Attributes:
        daemon: The daemon concerned, or "" for the platform.
        text: Description of the fault.
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


def encode_header():
    """Return the header line of a trace without the line break."""
    return json.dumps({"format": FORMAT, "version": VERSION})


def encode_record(record, at=0.0):
    """Encode a record as a line without the line break.

    Args:
        record: The record.
        at: Time of the record in wall-clock seconds, by which traces of several
            daemons are merged; 0 to leave it out.
    """
    header = {"kind": KIND_NAMES[type(record)]}
    if at:
        header["at"] = at
    return json.dumps({**header, **record._asdict()})


def decode_record(line):
    """Decode one line into a record.

    Raises:
        ValueError: If the line isn't a valid record; the message is the reason.
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
        raise ValueError("unknown kind")
    try:
        record = kind(**fields)
    except TypeError as error:
        raise ValueError(f"wrong fields: {error}") from error
    check_types(record)
    return record


def check_types(record):
    """Check that each field of a record has its declared type.

    Raises:
        ValueError: If a field has another type.
    """
    for name, declared in type(record).__annotations__.items():
        value = getattr(record, name)
        if declared is float and type(value) is int:
            continue
        if type(value) is not declared:
            raise ValueError(f"{name} is not of type {declared.__name__}")


def merge_traces(traces):
    """Merge the traces of several daemons by time into the lines of one trace.

    The clocks of the instances must differ by less than the duration of a call.
    Otherwise an answer may precede its request and be reported as a violation.

    Args:
        traces: Iterable of traces, each the lines of one daemon in order.
    """
    lines = []
    for trace in traces:
        last = 0.0
        for line in trace:
            at = get_line_time(line)
            if at is None:
                continue
            # Keep the order of each daemon's records even if its clock is set back.
            last = max(last, at)
            lines.append((last, line))
    lines.sort(key=operator.itemgetter(0))
    return (encode_header(), *(line for _, line in lines))


def get_line_time(line):
    """Return the time of a record's line in seconds, or None if it has none."""
    try:
        fields = json.loads(line)
        return float(fields["at"]) if "kind" in fields else None
    except (ValueError, KeyError, TypeError, RecursionError):
        return None


def make_recorder(stream, clock=None):
    """Return a function that writes records to a text stream, one per line.

    Several threads may call the function. A lock keeps lines intact and in the
    order of the daemon's actions, on which the replay relies.

    Args:
        stream: Text stream; the header is written immediately.
        clock: Returns the wall-clock time in seconds; if None, no times are
            written.
    """
    lock = threading.Lock()

    def record(entry):
        with lock:
            line = encode_record(entry, clock() if clock else 0.0)
            stream.write(line + "\n")
            stream.flush()

    stream.write(encode_header() + "\n")
    return record
