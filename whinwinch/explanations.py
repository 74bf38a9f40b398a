"""Explanation of why a request failed, from the log lines of several daemons.

Each daemon that refused a request, or a call made for it, logs a line with its own
decision. Sorted by time, and together with the dependencies that those daemons lost
and the configuration that they received shortly before, the lines show which decision
determined the outcome.
"""

import json
import os
from typing import NamedTuple

from .messages import Reason

# Events that are shown as context of a daemon's decisions.
CONTEXT_EVENTS = ("configuration", "dependency", "backend", "stop", "start", "reload")
# Events of requests that are refused at their entry.
FINAL_EVENTS = frozenset({"refused", "unidentified", "overquota"})
# Seconds before the first decision from which such events are shown.
MAX_CONTEXT_AGE = 10.0
# Fields that are not shown as ``name=value``.
_OMITTED_FIELDS = ("time", "event", "root", "attempt", "left_out")

MEANINGS = {
    Reason.NONE: "no reason was given",
    Reason.LEVEL: "a service that it needs is overloaded and admits only more "
    "important requests; it was refused before any work was done",
    Reason.QUEUE: "the backend server has no free slot, and its queue is full",
    Reason.SHARE: "its caller exceeded its share of an overloaded service",
    Reason.DEADLINE: "it could not be answered before its deadline, or had waited "
    "for a slot for the maximum time",
    Reason.LEAVING: "the backend server or its daemon was leaving",
    Reason.NOT_READY: "the daemon had not read a configuration yet",
    Reason.NO_ENDPOINT: "no known backend server of the service was left to try",
    Reason.NOT_SENT: "no connection could be established, so nothing was sent",
    Reason.BROKEN: "the connection broke, or the answer was incomplete, after the "
    "request had been sent",
    Reason.ABANDONED: "the daemon that had accepted it no longer has any record of it",
    Reason.LOG_DOWN: "the platform's log did not answer",
    Reason.KEY_CLAIMED: "another attempt with the same key is running or has run",
    Reason.KEY_AGE: "its key is too old to determine from the log whether it has run",
    Reason.KEY_MISSING: "it has no idempotency key, which its call requires",
    Reason.REPEATS: "it was a repeat, and the repeat budget was exhausted",
    Reason.SHED: "the backend server itself refused it",
    Reason.WRONG_BACKEND: "the address now belongs to another backend server",
    Reason.NO_ROUTE: "no route of the configuration in force matches it",
    Reason.TOO_DEEP: "it had passed through too many services",
    Reason.BAD_REQUEST: "it could not be parsed",
    Reason.LIMIT: "the backend server names a limit, and others took all of it",
    Reason.CRASHED: "the backend server crashed while it ran the request",
    Reason.SUSPECT: "it was in flight at two crashes, and waited too long to run alone",
    Reason.CAUSES_CRASHES: "backend servers crash when they run it",
    Reason.UNKNOWN_KEY: "it carries no key that a workspace of the configuration in "
    "force holds",
    Reason.QUOTA: "its workspace asked for more than its quota allows",
    Reason.DEEPER: "a service further down the call graph refused a call made for it",
}


class Line(NamedTuple):
    """One structured log line.

    Attributes:
        time: Wall-clock time in seconds.
        source: Name of the daemon: the last word before the JSON object, or the
            name of the log file if there is none.
        event: Kind of event.
        root: Identifier of the root request, "" for none.
        attempt: Identifier of the attempt, "" for none.
        reason: `Reason` of the decision, None if the line has none.
        is_final: Whether the request was not tried again after this line.
        left_out: Lines of the same kind that were left out before this one.
        rest: Other fields as ``name=value``.
    """

    time: float
    source: str
    event: str
    root: str
    attempt: str
    reason: Reason | None
    is_final: bool
    left_out: int
    rest: tuple[str, ...]


class Logs(NamedTuple):
    """Contents of log files.

    Attributes:
        lines: Structured lines, sorted by time.
        unreadable: Number of lines that could not be parsed.
    """

    lines: tuple[Line, ...]
    unreadable: int


class Explanation(NamedTuple):
    """Log lines that explain the outcome of one request.

    Attributes:
        lines: Lines of the request and their context, sorted by time.
        deciding: Line that determined the outcome, None if there is none.
        left_out: Lines that the same daemons left out during that time.
    """

    lines: tuple[Line, ...]
    deciding: Line | None
    left_out: int


def read_logs(paths):
    """Return the `Logs` read from files.

    Raises:
        OSError: If a file cannot be read.
    """
    lines, unreadable = [], 0
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                before, brace, rest = text.partition("{")
                if not brace:
                    continue
                words = before.split() or [os.path.basename(path)]
                line = parse_line(brace + rest, words[-1])
                if line is None:
                    unreadable += 1
                else:
                    lines.append(line)
    lines.sort(key=lambda line: line.time)
    return Logs(tuple(lines), unreadable)


def read_fields(text):
    """Return the fields of a structured line by name, None if it is invalid."""
    try:
        fields = json.loads(text)
        float(fields["time"]), str(fields["event"])
    except (ValueError, TypeError, KeyError):
        return None
    return fields


def parse_line(text, source):
    """Return the `Line` parsed from a JSON text, None if it is invalid."""
    fields = read_fields(text)
    if fields is None:
        return None
    time, event = float(fields["time"]), str(fields["event"])
    try:
        reason = Reason(fields.get("reason"))
    except ValueError:
        reason = None
    rest = tuple(
        f"{name}={_format_value(value)}"
        for name, value in fields.items()
        if name not in _OMITTED_FIELDS and value != ""
    )
    return Line(
        time,
        source,
        event,
        str(fields.get("root", "")),
        str(fields.get("attempt", "")),
        reason,
        event in FINAL_EVENTS or fields.get("again") is False,
        int(fields.get("left_out", 0)),
        rest,
    )


def _format_value(value):
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def explain(logs, identifier):
    """Return the `Explanation` of a request or attempt.

    Args:
        logs: `Logs`.
        identifier: Identifier that the caller sent, or that of an attempt.
    """
    matches = [line for line in logs.lines if identifier in (line.root, line.attempt)]
    if not matches:
        return Explanation((), None, 0)
    sources = {line.source for line in matches}
    first, last = matches[0].time - MAX_CONTEXT_AGE, matches[-1].time
    nearby = [line for line in logs.lines if first <= line.time <= last]
    context = [
        line
        for line in nearby
        if line.event in CONTEXT_EVENTS and line.source in sources
    ]
    lines = sorted({*matches, *context}, key=lambda line: line.time)
    left_out = sum(line.left_out for line in nearby if line.source in sources)
    return Explanation(tuple(lines), find_deciding(matches), left_out)


def find_deciding(lines):
    """Return the line that determined the outcome of a request, or None.

    This is the refusal that caused the first final answer. Later refusals only
    follow from the request having failed already.
    """
    for line in lines:
        if line.event != "answered" or not line.is_final:
            continue
        refusals = [
            other
            for other in lines
            if other.event == "refused" and other.attempt == line.attempt
        ]
        return refusals[0] if refusals else line
    return next((line for line in lines if line.is_final), None)


def format_explanation(explanation, identifier):
    """Return the text of an `Explanation` for the user."""
    if not explanation.lines:
        return (
            f"No line mentions {identifier}. A request that was served without a "
            "refusal is not logged; under load the lines of some refusals are left out."
        )
    texts = [_format_line(line, explanation.deciding) for line in explanation.lines]
    deciding = explanation.deciding
    if deciding is not None:
        meaning = MEANINGS[deciding.reason or Reason.NONE]
        texts.append(f"\nDecided at {deciding.source}: {meaning}.")
    if explanation.left_out:
        texts.append(
            f"{explanation.left_out} lines of these daemons were left out meanwhile."
        )
    return "\n".join(texts)


def _format_line(line, deciding):
    mark = ">" if line is deciding else " "
    return (
        f"{mark} {line.time:.3f} {line.source}: {line.event} {' '.join(line.rest)}"
    ).rstrip()
