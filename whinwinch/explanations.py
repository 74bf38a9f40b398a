"""Why a request failed, from the log lines of several daemons.

A request leaves lines at each daemon that refused it, or a call made for it. Read
alone, each tells what was decided there; put in order, with what those daemons had
lost or were told shortly before, they tell what decided the outcome.
"""

import json
import os
from typing import NamedTuple

from .messages import Reason

# Changes of what a daemon believes, worth showing beside its decisions.
CONTEXT = ("configuration", "dependency", "backend", "stop", "start", "reload")
# So long before the first decision a change still counts as its context, in seconds.
CONTEXT_SECONDS = 10.0
# Fields that every line has, or that are shown in its own words.
_SHOWN_APART = ("time", "event", "root", "attempt", "left_out")

MEANINGS = {
    Reason.NONE: "no reason was given",
    Reason.LEVEL: "a service that it needs is full, and admits only more important "
    "requests; it was refused before any work was done",
    Reason.QUEUE: "the backend server is full, and so is the queue in front of it",
    Reason.SHARE: "its caller asked for more than its share of a full service",
    Reason.DEADLINE: "it could not be answered in the time that was left, or had "
    "waited for a slot as long as it may",
    Reason.LEAVING: "the backend server, or the daemon beside it, was leaving",
    Reason.NOT_READY: "the daemon had not read a configuration yet",
    Reason.NO_ENDPOINT: "no backend server of the service was known or left to try",
    Reason.NOT_SENT: "no connection could be had, so nothing was sent",
    Reason.BROKEN: "the connection broke, or the answer was not whole, after the "
    "request had been sent",
    Reason.ABANDONED: "the daemon that had taken it knows nothing of it any more",
    Reason.LOG_DOWN: "the platform's log did not answer",
    Reason.KEY_CLAIMED: "another attempt with the same key runs or has run",
    Reason.KEY_AGE: "its key is too old for the log to tell whether it has run",
    Reason.KEY_MISSING: "it has no key, which its call needs",
    Reason.REPEATS: "it was a repeat, and the budget of repeats was spent",
    Reason.SHED: "the backend server turned it down itself",
    Reason.WRONG_BACKEND: "another backend server has got the address",
    Reason.NO_ROUTE: "no route of the configuration in force leads anywhere",
    Reason.TOO_DEEP: "it had passed too many services",
    Reason.BAD_REQUEST: "it could not be read",
    Reason.DEEPER: "a service further down refused a call made for it",
}


class Line(NamedTuple):
    """One structured log line.

    Attributes:
        time: Time of day in seconds.
        source: The last word before it, else the name of its file.
        event: Kind of event.
        root: Identifier of the request that it is about, "" for none.
        attempt: Identifier of the attempt, "" for none.
        reason: `Reason`, None where it states none.
        is_final: Whether it says that nothing more was tried.
        left_out: Lines of its kind that were left out before it.
        rest: Its other fields, as ``name=value``.
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
    """What was read: the lines in order of time, and how many can't be read."""

    lines: tuple[Line, ...]
    unreadable: int


class Explanation(NamedTuple):
    """What the logs say of one request.

    Attributes:
        lines: Its lines and their context, in order of time.
        deciding: The line that decided the outcome, None where there is none.
        left_out: Lines about other decisions of that time that were left out.
    """

    lines: tuple[Line, ...]
    deciding: Line | None
    left_out: int


def read_logs(paths):
    """Return the `Logs` of some files.

    Raises:
        OSError: When a file can't be read.
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
    """Return the fields of a structured line by name, None when it is none."""
    try:
        fields = json.loads(text)
        float(fields["time"]), str(fields["event"])
    except (ValueError, TypeError, KeyError):
        return None
    return fields


def parse_line(text, source):
    """Return the `Line` of a text, None when it is no structured line."""
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
        if name not in _SHOWN_APART and value != ""
    )
    return Line(
        time,
        source,
        event,
        str(fields.get("root", "")),
        str(fields.get("attempt", "")),
        reason,
        event == "refused" or fields.get("again") is False,
        int(fields.get("left_out", 0)),
        rest,
    )


def _format_value(value):
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def explain(logs, identifier):
    """Return the `Explanation` of a request or attempt.

    Args:
        logs: `Logs`.
        identifier: The identifier that its caller gave it, or one of an attempt.
    """
    own = [line for line in logs.lines if identifier in (line.root, line.attempt)]
    if not own:
        return Explanation((), None, 0)
    sources = {line.source for line in own}
    first, last = own[0].time - CONTEXT_SECONDS, own[-1].time
    near = [line for line in logs.lines if first <= line.time <= last]
    context = [
        line for line in near if line.event in CONTEXT and line.source in sources
    ]
    lines = sorted({*own, *context}, key=lambda line: line.time)
    left_out = sum(line.left_out for line in near if line.source in sources)
    return Explanation(tuple(lines), find_deciding(own), left_out)


def find_deciding(lines):
    """Return the line of a request that decided what became of it, or None.

    That is the refusal behind the first answer after which nothing more was tried:
    what is refused later is refused because the request has failed already.
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
    """Return the text that is shown of an `Explanation`."""
    if not explanation.lines:
        return (
            f"No line tells of {identifier}. A request that was served without a "
            "refusal leaves none; under load the lines of some refusals are left out."
        )
    texts = [_format_line(line, explanation.deciding) for line in explanation.lines]
    deciding = explanation.deciding
    if deciding is not None:
        meaning = MEANINGS[deciding.reason or Reason.NONE]
        texts.append(f"\nDecided at {deciding.source}: {meaning}.")
    if explanation.left_out:
        texts.append(
            f"{explanation.left_out} lines of these daemons were left out in that time."
        )
    return "\n".join(texts)


def _format_line(line, deciding):
    mark = ">" if line is deciding else " "
    return (
        f"{mark} {line.time:.3f} {line.source}: {line.event} {' '.join(line.rest)}"
    ).rstrip()
