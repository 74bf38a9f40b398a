"""Headers and statuses of callers and backend servers, read into typed messages."""

import math
from typing import NamedTuple

from ..http1.messages import (
    CONNECTION_HEADERS,
    HttpRequest,
    HttpResponse,
    drop_headers,
    find_header,
    format_request,
)
from ..messages import Answer, Outcome, Reason, Request, build_failure, new_identifier

REQUEST_ID = "X-Request-Id"
# Milliseconds that are left; the name sounds like a point in time.
TIME_LEFT = "X-Deadline-Ms"
EXPECTED_BACKEND = "X-Expected-Instance"
CALLER_SERVICE = "X-Caller-Service"
# Present on an answer: the backend server did not run the request.
NOT_RUN = "x-not-executed"
# The backend server's signature; only its own answers carry one.
SIGNATURE = "x-response-seal"
# What the system sets itself, whatever was sent.
_OWN_HEADERS = CONNECTION_HEADERS | {
    name.lower() for name in (TIME_LEFT, EXPECTED_BACKEND, CALLER_SERVICE)
}
_REQUEST_ID = REQUEST_ID.lower()
_TIME_LEFT = TIME_LEFT.lower()
# Statuses that promise that a request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
_WRONG_BACKEND = 421
# A caller that names no time waits this long, in seconds.
LONGEST_SECONDS = 60.0

_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Arrival(NamedTuple):
    """What of an HTTP request decides its route and how long it may take.

    Attributes:
        host: Host without a port, in lower case.
        path: Path without the query.
        seconds: Seconds that the caller waits.
    """

    host: str
    path: str
    seconds: float


def read_arrival(http):
    """Return the `Arrival` of an `HttpRequest`.

    Raises:
        ValueError: When it is no request that could be routed.
    """
    if not http.target.startswith("/"):
        raise ValueError("the target must be a path")
    host = find_header(http.headers, "host").partition(":")[0].lower()
    if not host:
        raise ValueError("no host")
    left = find_header(http.headers, _TIME_LEFT)
    seconds = float(left) / 1000.0 if left else LONGEST_SECONDS
    if not math.isfinite(seconds):
        raise ValueError("the time left must be a number")
    return Arrival(host, http.target.partition("?")[0], seconds)


def build_request(http, route, service, caller_service, deadline, due):
    """Return the `Request` of an `HttpRequest`.

    Args:
        http: The request as it came.
        route: `routes.Route`.
        service: The service chosen.
        caller_service: Service of the instance where the request began.
        deadline: Time of the loop's clock.
        due: When it should be answered, on the same clock.
    """
    headers = drop_headers(http.headers, _OWN_HEADERS)
    return Request(
        attempt=new_identifier(),
        root=find_header(http.headers, _REQUEST_ID) or new_identifier(),
        service=service,
        call=route.name,
        method=http.method,
        path=http.target,
        importance=route.importance,
        deadline=deadline,
        repeatable=route.repeatable,
        headers=(*headers, (CALLER_SERVICE, caller_service)),
        body=http.body,
        due=due,
    )


def form_backend_request(request, left, identity):
    """Return the bytes of an attempt for the backend server of an identity."""
    headers = (
        *request.headers,
        (TIME_LEFT, str(max(1, int(left * 1000)))),
        (EXPECTED_BACKEND, identity),
    )
    return format_request(
        HttpRequest(request.method, request.path, headers, request.body), ""
    )


def belongs_to(request, response):
    """Return whether an `HttpResponse` is the answer to a request.

    An extra answer to an earlier request may come at the place of this one's.
    """
    echoed = find_header(response.headers, _REQUEST_ID)
    return not echoed or echoed == find_header(request.headers, _REQUEST_ID)


def judge_backend_answer(request, response):
    """Return the `Answer` that a backend server's `HttpResponse` is."""
    if response.status == _WRONG_BACKEND:
        return _fail(request, Outcome.NOT_RUN, Reason.WRONG_BACKEND, 503)
    if find_header(response.headers, NOT_RUN):
        return _fail(request, Outcome.NOT_RUN, Reason.SHED, 503)
    if response.status in _PROMISES and not request.repeatable:
        # It doesn't say that it did not run; passed on, the status would.
        return _fail(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
    if response.status < 300 and not find_header(response.headers, SIGNATURE):
        return _fail(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
    return Answer(
        request.attempt,
        Outcome.COMPLETED,
        status=response.status,
        headers=(("", response.phrase), *drop_headers(response.headers)),
        body=response.body,
        offered=True,
    )


def form_answer(answer, identifier):
    """Return the `HttpResponse` for a caller.

    Args:
        answer: The `Answer`.
        identifier: Identifier that the caller gave its request.
    """
    if answer.outcome is Outcome.COMPLETED:
        (_, phrase), *headers = answer.headers
        return HttpResponse(answer.status, phrase, tuple(headers), answer.body)
    if answer.outcome is Outcome.NOT_RUN:
        return refuse(503, answer.reason, answer.retry_after, identifier)
    status = 504 if answer.reason is Reason.DEADLINE else 502
    return refuse(status, answer.reason, 0.0, identifier)


def refuse(status, reason, retry_after=0.0, identifier=""):
    """Return an answer of the daemon's own.

    Args:
        status: Status code.
        reason: `Reason`.
        retry_after: Seconds after which the caller may come back; 0 for none.
        identifier: Identifier that the caller gave its request.
    """
    headers = [("Whinwinch-Reason", reason.value)]
    if identifier:
        headers.append((REQUEST_ID, identifier))
    if retry_after:
        headers.append(("Retry-After", f"{retry_after:.3f}"))
    return HttpResponse(status, _PHRASES[status], tuple(headers))


def _fail(request, outcome, reason, status):
    return build_failure(request, outcome, reason, status)._replace(offered=True)
