"""The recorded trace of requests that the stand-in caller plays.

A trace is a file of JSON lines, one request each, in the order of ``at``. What
is left out has the default of `Request`.
"""

import itertools
import json
from typing import NamedTuple

IMPORTANCES = ("low", "normal", "high", "critical")


class Request(NamedTuple):
    """One request of a trace.

    Attributes:
        at: Seconds after the start of the trace.
        service: Service wanted.
        method: HTTP method.
        path: Path there.
        importance: Importance that the service's resource declares, of
            `IMPORTANCES`; the table's rows.
        key: Idempotency key; "new" for one made when the request is played.
        next: Calls down the chain, as the stand-in backend server reads them.
        timeout: Seconds within which an answer is wanted.
        caller: Name of the caller.
        work: Factor on the service time.
        size: Characters of filler in the answer.
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
    """Read a trace from JSON lines.

    Raises:
        ValueError: With the number of the first line that is no request.
    """
    requests = []
    for number, line in enumerate(lines, 1):
        try:
            requests.append(Request(**json.loads(line)))
        except (TypeError, ValueError) as error:
            raise ValueError(f"line {number} of the trace: {error}") from error
    return tuple(requests)


def write_trace(requests):
    """Return the lines of a trace, defaults left out."""
    defaults = Request._field_defaults
    for request in requests:
        fields = request._asdict().items()
        kept = {name: value for name, value in fields if value != defaults.get(name)}
        yield json.dumps(kept) + "\n"


def find_length(requests):
    """Return the seconds that a trace lasts, with the gap after its last request."""
    if not requests:
        return 0.0
    return requests[-1].at * len(requests) / max(1, len(requests) - 1)


def schedule_requests(requests, rate, seconds):
    """Yield the requests at a multiple of their rate for some time.

    A trace that is over before then begins again.

    Args:
        requests: The trace.
        rate: 2.0 plays it in half of its time.
        seconds: Time to play for; None plays it once.
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
