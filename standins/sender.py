"""Sending one attempt of a traced request and classifying its response."""

import json
import random
import time
import uuid
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3

# Seconds after the deadline until a daemon counts as hung: daemons answer by the
# deadline.
RESPONSE_GRACE = 1.0
LOW_URGENCY = "u=5"


class Sent(NamedTuple):
    """Result of sending a request once.

    Attributes:
        request: Value of ``X-Request-Id``.
        outcome: "completed", "not-run" or "unknown".
        reason: ``Whinwinch-Reason``, or the class name of a connection error.
        status: HTTP status, 0 without a response.
        latency: Seconds from sending to the end of the response.
        retries: ``Whinwinch-Retries``, the number of retries that this request
            caused.
        retry_after: Retry delay in seconds that the response requests, 0 for none.
        whole: Whether the response is complete and belongs to this request.
    """

    request: str
    outcome: str
    reason: str
    status: int
    latency: float
    retries: int = 0
    retry_after: float = 0.0
    whole: bool = False

    @property
    def succeeded(self):
        """Whether the request was completed and its complete response received."""
        return self.outcome == "completed" and self.status == 200 and self.whole


def build_sender(entries, seed=0, direct=False, connections=64):
    """Return a function that sends a request once and returns a `Sent`.

    Args:
        entries: URLs of the entry daemons or, with `direct`, of the service's
            backend servers. One is drawn for each request.
        seed: Seed of the draw.
        direct: Whether requests bypass the daemons.
        connections: Maximum number of connections kept open to each entry.
    """
    http = urllib3.PoolManager(
        num_pools=len(entries), maxsize=connections, retries=False
    )
    draw = random.Random(seed)

    def send(request, key="", timeout=None):
        identifier = uuid.uuid4().hex
        timeout = request.timeout if timeout is None else timeout
        target = build_url(draw.choice(entries), request, identifier, direct)
        headers = build_headers(request, identifier, key, timeout)
        started_at = time.monotonic()
        try:
            answer = http.request(
                request.method,
                target,
                headers=headers,
                timeout=timeout + RESPONSE_GRACE,
            )
        except urllib3.exceptions.HTTPError as error:
            return classify_error(error, identifier, time.monotonic() - started_at)
        latency = time.monotonic() - started_at
        return classify_response(answer, request, identifier, latency)

    return send


def build_url(entry, request, identifier, direct):
    """Return the URL of a request, with its identifier as the marker."""
    query = {"marker": identifier}
    if request.next:
        query["next"] = request.next
    if request.work != 1:
        query["work"] = request.work
    if request.size:
        query["size"] = request.size
    if direct:
        return f"{entry}{request.path}?{urlencode({**query, 'direct': 1})}"
    return f"{entry}/services/{request.service}{request.path}?{urlencode(query)}"


def build_headers(request, identifier, key, timeout):
    """Return the headers of a request to a daemon.

    Only an importance below normal is sent: callers may lower the importance
    that the resource declares, and the demo shows the effect of the resources.
    """
    headers = {
        "X-Request-Id": identifier,
        "Whinwinch-Timeout": str(max(1, int(timeout * 1000))),
    }
    if request.importance == "low":
        headers["Priority"] = LOW_URGENCY
    if request.caller:
        headers["Whinwinch-Caller"] = request.caller
    if key:
        headers["Idempotency-Key"] = key
    return headers


def classify_error(error, identifier, latency):
    """Return the `Sent` of a request that ended with a connection error.

    The outcome is "not-run" if no connection was opened, else "unknown".
    """
    opened = not isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    outcome = "unknown" if opened else "not-run"
    return Sent(identifier, outcome, type(error).__name__, 0, latency)


def classify_response(answer, request, identifier, latency):
    """Return the `Sent` of a request that got a response.

    Without a daemon's headers the outcome is derived from the status.
    """
    by_status = {200: "completed", 503: "not-run"}.get(answer.status, "unknown")
    whole = answer.status == 200 and is_whole(answer.data, request, identifier)
    return Sent(
        identifier,
        answer.headers.get("Whinwinch-Outcome", by_status),
        answer.headers.get("Whinwinch-Reason", ""),
        answer.status,
        latency,
        int(answer.headers.get("Whinwinch-Retries", 0)),
        get_retry_after(answer.headers),
        whole,
    )


def get_retry_after(headers):
    """Return the retry delay in seconds from response headers, 0 for none."""
    if "Whinwinch-Retry-After" in headers:
        return int(headers["Whinwinch-Retry-After"]) / 1000
    return float(headers.get("Retry-After", 0))


def is_whole(body, request, identifier):
    """Return whether a body is complete and belongs to this request, at every hop."""
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    if len(answer.get("filler", "")) != request.size:
        return False
    hops = list_hops(answer)
    services = [hop.get("service") for hop in hops]
    calls = [call.partition("/")[0] for call in request.next.split(",") if call]
    markers_match = all(hop.get("marker") == identifier for hop in hops)
    return markers_match and services == [request.service, *calls]


def list_hops(answer):
    """Return the JSON objects of all hops of a call chain, the entry's first."""
    hops = [answer]
    for below in answer.get("below") or ():
        hops += list_hops(below or {})
    return hops
