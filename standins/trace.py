"""Reading, writing and scheduling recorded traces of requests.

A trace is a file of JSON lines, one request each, in the order of ``at``. Absent
fields have the defaults of `Request`. The stand-in caller plays traces.
"""

import itertools
import json
from typing import NamedTuple

IMPORTANCES = ("low", "normal", "high", "critical")


class Request(NamedTuple):
    """One request of a trace.

    Attributes:
        at: Seconds after the start of the trace.
        service: Name of the called service.
        method: HTTP method.
        path: Path of the request.
        importance: Importance that the service's resource declares, one of
            `IMPORTANCES`; tables of results have a row for each.
        key: Idempotency key; "new" for one generated when the request is played.
        next: Nested calls, in the format of the stand-in backend server's query.
        timeout: Seconds from sending to the deadline.
        caller: Name of the caller.
        work: Factor on the service time.
        size: Number of filler characters in the response.
    """

    at: float
    service: str
    method: str = "GET"
    path: str = "/"
    importance: str = "normal"
    key: str = ""
    next: str = ""
    timeout: float = 2.0
    caller: str = ""
    work: float = 1.0
    size: int = 0


def read_trace(lines):
    """Parse a trace from JSON lines.

    Raises:
        ValueError: When a line is no request; the message has its number.
    """
    requests = []
    for number, line in enumerate(lines, 1):
        try:
            requests.append(Request(**json.loads(line)))
        except (TypeError, ValueError) as error:
            raise ValueError(f"line {number} of the trace: {error}") from error
    return tuple(requests)


def write_trace(requests):
    """Yield the JSON lines of a trace, without fields that have the default."""
    defaults = Request._field_defaults
    for request in requests:
        fields = request._asdict().items()
        kept = {name: value for name, value in fields if value != defaults.get(name)}
        yield json.dumps(kept) + "\n"


def find_length(requests):
    """Return the length of a trace in seconds.

    It includes an average gap after the last request, before the trace repeats.
    """
    if not requests:
        return 0.0
    return requests[-1].at * len(requests) / max(1, len(requests) - 1)


def schedule_requests(requests, rate, seconds):
    """Yield the requests at a multiple of their recorded rate.

    A trace that is shorter than `seconds` is repeated.

    Args:
        requests: The trace.
        rate: Multiple of the recorded rate; 2.0 plays the trace in half the time.
        seconds: Length of the schedule; None plays the trace once.
    """
    length = find_length(requests)
    for lap in itertools.count():
        for request in requests:
            at = (lap * length + request.at) / rate
            if seconds is not None and at >= seconds:
                return
            yield request._replace(at=at)
        if seconds is None or not requests:
            return
