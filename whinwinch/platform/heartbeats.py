"""Parser of a backend server's heartbeat into an announcement."""

import json

from ..announcements import Announcement, State
from ..errors import Finding, raise_findings
from .values import parse_duration

_STATES = {"ready": State.READY, "draining": State.LEAVING}


def parse_heartbeat(identity, data):
    """Return the `Announcement` parsed from the body of a heartbeat.

    Args:
        identity: Identifier of the backend server, from the request path.
        data: Body of the request.

    Raises:
        InputErrors: With a finding for every missing or invalid field.
        ValueError: When the body isn't a JSON object.
    """
    document = json.loads(data)
    if not isinstance(document, dict):
        raise ValueError("a heartbeat must be a JSON object")
    findings = []

    def read(name, parse):
        try:
            return parse(document.get(name))
        except (TypeError, ValueError) as error:
            findings.append(Finding(name, str(error)))
            return None

    announcement = Announcement(
        identity=identity,
        # `born` is the start of this incarnation; some backend servers don't send it.
        start_time_ms=read("born", _parse_start_time),
        sequence=read("seq", _parse_count),
        service=read("service", _parse_text),
        address=read("address", _parse_text),
        slots=read("slots", _parse_count),
        state=read("state", _parse_state),
        warmup_left=read("warmup_left", lambda text: parse_duration(text or "0ms")),
    )
    raise_findings("invalid heartbeat", findings)
    return announcement


def parse_start(data):
    """Return the start of the incarnation, from the body of a leave request.

    Returns:
        The start in milliseconds, 0 if the body doesn't contain it.

    Raises:
        ValueError: When the body isn't JSON or the start is invalid.
    """
    if not data:
        return 0
    document = json.loads(data)
    return _parse_start_time(
        document.get("born") if isinstance(document, dict) else None
    )


def _parse_start_time(value):
    if value is None:
        return 0
    return _parse_count(value)


def _parse_count(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(f"must be a non-negative integer, but is {value!r}")
    return value


def _parse_text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"must be a non-empty string, but is {value!r}")
    return value


def _parse_state(value):
    if value not in _STATES:
        raise ValueError(f"must be one of {', '.join(_STATES)}, but is {value!r}")
    return _STATES[value]
