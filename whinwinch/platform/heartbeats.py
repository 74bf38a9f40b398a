"""What a backend server says of itself, read into an announcement."""

import json

from ..announcements import Announcement, State
from ..errors import Finding, raise_findings
from .values import parse_duration

_STATES = {"ready": State.READY, "draining": State.LEAVING}


def parse_heartbeat(identity, data):
    """Return the `Announcement` of a heartbeat's bytes.

    Args:
        identity: Identifier from the path.
        data: The body.

    Raises:
        InputErrors: With every field that is missing or of another type.
        ValueError: When it isn't a JSON table.
    """
    document = json.loads(data)
    if not isinstance(document, dict):
        raise ValueError("a heartbeat must be a table")
    findings = []

    def read(name, parse):
        try:
            return parse(document.get(name))
        except (TypeError, ValueError) as error:
            findings.append(Finding(name, str(error)))
            return None

    announcement = Announcement(
        identity=identity,
        # `born` is the start of this incarnation; some never send it.
        start_time_ms=read("born", _parse_started),
        sequence=read("seq", _parse_count),
        service=read("service", _parse_text),
        address=read("address", _parse_text),
        slots=read("slots", _parse_count),
        state=read("state", _parse_state),
        warmup_left=read("warmup_left", lambda text: parse_duration(text or "0ms")),
    )
    raise_findings("a heartbeat that can't be read", findings)
    return announcement


def parse_start(data):
    """Return the start that the body of a leave names, 0 where it names none.

    Raises:
        ValueError: When there is a body that can't be read.
    """
    if not data:
        return 0
    document = json.loads(data)
    return _parse_started(document.get("born") if isinstance(document, dict) else None)


def _parse_started(value):
    if value is None:
        return 0
    return _parse_count(value)


def _parse_count(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"must be a whole number, but is {value!r}")
    return value


def _parse_text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"must be a text, but is {value!r}")
    return value


def _parse_state(value):
    if value not in _STATES:
        raise ValueError(f"must be one of {', '.join(_STATES)}, but is {value!r}")
    return _STATES[value]
