"""Parser of a backend server's heartbeat into an announcement."""

from ..announcements import Announcement, State
from ..errors import Finding, raise_findings
from ..messages import MAX_SLOTS
from .values import parse_address, parse_duration, parse_number, parse_object

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
    document = parse_object(data)
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
        sequence=read("seq", parse_number),
        service=read("service", _parse_text),
        address=read("address", lambda text: str(parse_address(text))),
        slots=read("slots", lambda count: parse_number(count, MAX_SLOTS)),
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
        ValueError: When the body isn't a JSON object or the start is invalid.
    """
    if not data:
        return 0
    return _parse_start_time(parse_object(data).get("born"))


def _parse_start_time(value):
    if value is None:
        return 0
    return parse_number(value)


def _parse_text(value):
    if not isinstance(value, str) or not value:
        raise ValueError("must be a non-empty string")
    return value


def _parse_state(value):
    if value not in _STATES:
        raise ValueError(f"must be one of {', '.join(_STATES)}")
    return _STATES[value]
