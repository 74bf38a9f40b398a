"""Sending a request of a trace once, and what its answer tells."""

import json
import random
import time
import uuid
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3

# The daemon answers by the deadline; only one that is stuck takes longer.
GRACE = 1.0
LOW_URGENCY = "u=5"


class Sent(NamedTuple):
    """What came of asking once.

    Attributes:
        request: The ``X-Request-Id`` used.
        outcome: "completed", "not-run" or "unknown".
        reason: ``Whinwinch-Reason``, or the kind of a connection's error.
        status: HTTP status, 0 when there was no answer.
        latency: Seconds from sending to the whole answer.
        retries: ``Whinwinch-Retries``: retries that this request caused.
        retry_after: Seconds after which the answer invites to come back.
        whole: Whether the answer is whole and this request's own.
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
        """Whether the request was completed and its whole answer came."""
        return self.outcome == "completed" and self.status == 200 and self.whole


def build_sender(entries, seed=0, direct=False, connections=64):
    """Return a function that sends a request once and tells what came of it.

    Args:
        entries: URLs of the daemons to enter by, one of which is drawn for each
            request; or, with `direct`, of the service's backend servers.
        seed: Seed of the draw.
        direct: Whether to ask backend servers without daemons.
        connections: Connections kept to each entry.
    """
    http = urllib3.PoolManager(
        num_pools=len(entries), maxsize=connections, retries=False
    )
    draw = random.Random(seed)

    def send(request, key="", timeout=None):
        identifier = uuid.uuid4().hex
        timeout = request.timeout if timeout is None else timeout
        target = find_target(draw.choice(entries), request, identifier, direct)
        headers = form_headers(request, identifier, key, timeout)
        began = time.monotonic()
        try:
            answer = http.request(
                request.method, target, headers=headers, timeout=timeout + GRACE
            )
        except urllib3.exceptions.HTTPError as error:
            return judge_error(error, identifier, time.monotonic() - began)
        latency = time.monotonic() - began
        return judge_answer(answer, request, identifier, latency)

    return send


def find_target(entry, request, identifier, direct):
    """Return the URL of a request; its own identifier is its marker."""
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


def form_headers(request, identifier, key, timeout):
    """Return the headers of a request to a daemon.

    Only an importance below normal is sent: callers may lower what the
    resource declares, and the resource is what the demo is about.
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


def judge_error(error, identifier, latency):
    """Return what a broken connection tells: nothing, unless none was opened."""
    opened = not isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    outcome = "unknown" if opened else "not-run"
    return Sent(identifier, outcome, type(error).__name__, 0, latency)


def judge_answer(answer, request, identifier, latency):
    """Return what an answer tells; without a daemon's headers, by its status."""
    by_status = {200: "completed", 503: "not-run"}.get(answer.status, "unknown")
    whole = answer.status == 200 and is_whole(answer.data, request, identifier)
    return Sent(
        identifier,
        answer.headers.get("Whinwinch-Outcome", by_status),
        answer.headers.get("Whinwinch-Reason", ""),
        answer.status,
        latency,
        int(answer.headers.get("Whinwinch-Retries", 0)),
        find_retry_after(answer.headers),
        whole,
    )


def find_retry_after(headers):
    """Return the seconds after which an answer invites to come back, 0 for none."""
    if "Whinwinch-Retry-After" in headers:
        return int(headers["Whinwinch-Retry-After"]) / 1000
    return float(headers.get("Retry-After", 0))


def is_whole(body, request, identifier):
    """Return whether a body is all of the answer to this request, at every hop."""
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    if len(answer.get("filler", "")) != request.size:
        return False
    hops = list_hops(answer)
    services = [hop.get("service") for hop in hops]
    calls = [call.partition("/")[0] for call in request.next.split(",") if call]
    own = all(hop.get("marker") == identifier for hop in hops)
    return own and services == [request.service, *calls]


def list_hops(answer):
    """Return the answers of a chain, the entry's first."""
    hops = [answer]
    for below in answer.get("below") or ():
        hops += list_hops(below or {})
    return hops
