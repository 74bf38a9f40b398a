"""Conversion between the platform's HTTP headers and statuses and typed messages."""

import math
from typing import NamedTuple

from absl import logging

from ..backends.interface import Notice
from ..http1.messages import (
    CONNECTION_HEADERS,
    HttpRequest,
    HttpResponse,
    drop_headers,
    find_header,
    format_request,
)
from ..messages import Answer, Outcome, Reason, Request, build_failure, new_identifier
from ..workspaces.keys import parse_credentials
from ..workspaces.registry import UNCHECKED

REQUEST_ID = "X-Request-Id"
# Remaining time in milliseconds, not a point in time as the name suggests.
TIME_LEFT = "X-Deadline-Ms"
EXPECTED_BACKEND = "X-Expected-Instance"
CALLER_SERVICE = "X-Caller-Service"
WORKSPACE = "X-Tenant-Id"
CREDENTIALS = "authorization"
CREDENTIALS_SCHEME = "Bearer"
# Present on an answer if the backend server did not run the request.
NOT_RUN = "x-not-executed"
# Signature that only the answers of a backend server carry.
SIGNATURE = "x-response-seal"
# Requests a second that the backend server takes from all daemons together.
SERVER_LIMIT = "server-limit"
# "1" on all answers of a backend server that leaves.
SERVER_LEAVING = "server-leaving"
# Headers that the daemon sets; values sent by callers are dropped.
_DAEMON_HEADERS = CONNECTION_HEADERS | {
    name.lower() for name in (TIME_LEFT, EXPECTED_BACKEND, CALLER_SERVICE)
}
# Further ones where there are workspaces.
_WORKSPACE_HEADERS = _DAEMON_HEADERS | {WORKSPACE.lower(), CREDENTIALS}
_REQUEST_ID = REQUEST_ID.lower()
_TIME_LEFT = TIME_LEFT.lower()
# Statuses that guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_WRONG_BACKEND = 421
_UNAUTHORIZED = 401
# Statuses of refusals, 503 for the reasons that aren't listed.
_REFUSAL_STATUSES = {Reason.UNKNOWN_KEY: _UNAUTHORIZED, Reason.QUOTA: 429}
# Seconds that a caller waits if its request has no deadline header.
DEFAULT_TIMEOUT = 60.0

_PHRASES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Arrival(NamedTuple):
    """Attributes of an HTTP request that determine its route and deadline.

    Attributes:
        host: Host without a port, in lower case.
        path: Path without the query.
        seconds: Seconds that the caller waits for the answer.
    """

    host: str
    path: str
    seconds: float


def read_arrival(http):
    """Return the `Arrival` of an `HttpRequest`.

    Raises:
        ValueError: When the target, the host or the remaining time is invalid.
    """
    if not http.target.startswith("/"):
        raise ValueError("the request target must be a path")
    host = find_header(http.headers, "host").partition(":")[0].lower()
    if not host:
        raise ValueError("the Host header is missing")
    milliseconds = find_header(http.headers, _TIME_LEFT)
    seconds = float(milliseconds) / 1000.0 if milliseconds else DEFAULT_TIMEOUT
    if not math.isfinite(seconds):
        raise ValueError("the remaining milliseconds must be a finite number")
    return Arrival(host, http.target.partition("?")[0], seconds)


def read_key(http):
    """Return the key of a workspace that an `HttpRequest` carries, or None."""
    size = len(CREDENTIALS)
    values = [
        value
        for name, value in http.headers
        if len(name) == size and name.lower() == CREDENTIALS
    ]
    return parse_credentials(values, CREDENTIALS_SCHEME) if values else None


def build_request(
    http, route, service, caller_service, deadline, due, identity=UNCHECKED
):
    """Return the `Request` of an `HttpRequest`.

    Args:
        http: The request as received.
        route: `routes.Route` of the request.
        service: Name of the service chosen from the route.
        caller_service: Service of the instance at which the request entered.
        deadline: Time of the loop's clock at which the caller stops waiting.
        due: Time of the same clock by which the request should be answered.
        identity: `workspaces.registry.Identity` of the request.
    """
    dropped = _WORKSPACE_HEADERS if identity.is_checked else _DAEMON_HEADERS
    headers = drop_headers(http.headers, dropped)
    if identity.name:
        headers = (*headers, (WORKSPACE, identity.name))
    return Request(
        attempt=new_identifier(),
        root=find_identifier(http.headers) or new_identifier(),
        service=service,
        call=route.name,
        method=http.method,
        path=http.target,
        importance=identity.choose_importance(route.importance),
        deadline=deadline,
        repeatable=route.repeatable,
        caller=identity.name,
        headers=(*headers, (CALLER_SERVICE, caller_service)),
        body=http.body,
        due=due,
    )


def format_backend_request(request, seconds, identity):
    """Return the bytes of the HTTP request that sends an attempt to a backend server.

    Args:
        request: The attempt, a `messages.Request`.
        seconds: Seconds until its deadline.
        identity: Identifier that the backend server has announced.
    """
    headers = (
        *request.headers,
        (TIME_LEFT, str(max(1, int(seconds * 1000)))),
        (EXPECTED_BACKEND, identity),
    )
    return format_request(
        HttpRequest(request.method, request.path, headers, request.body), ""
    )


def find_identifier(headers):
    """Return the identifier of a request in its or its answer's headers, or ""."""
    return find_header(headers, _REQUEST_ID)


def is_answer_to(request, response):
    """Return whether an `HttpResponse` answers a request.

    A duplicate answer to an earlier request may arrive in place of the expected one.
    """
    return find_identifier(response.headers) == find_identifier(request.headers)


def parse_backend_answer(request, response):
    """Return the `Answer` for the `HttpResponse` of a backend server."""
    if response.status == _WRONG_BACKEND:
        return _fail(request, Outcome.NOT_RUN, Reason.WRONG_BACKEND, 503)
    if find_header(response.headers, NOT_RUN):
        return _fail(request, Outcome.NOT_RUN, Reason.SHED, 503)
    if response.status in _NOT_RUN_STATUSES and not request.repeatable:
        # Without the header, the request may have run. Passed on to the caller, the
        # status would guarantee that it has not.
        return _fail(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
    if response.status < 300 and not find_header(response.headers, SIGNATURE):
        return _fail(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
    return Answer(
        request.attempt,
        Outcome.COMPLETED,
        status=response.status,
        headers=(("", response.phrase), *drop_headers(response.headers)),
        body=response.body,
        reached_backend=True,
    )


def read_notice(response):
    """Return the `Notice` in the headers of a backend server's `HttpResponse`."""
    text = find_header(response.headers, SERVER_LIMIT)
    leaving = find_header(response.headers, SERVER_LEAVING) == "1"
    return Notice(_parse_rate(text) if text else None, leaving)


def _parse_rate(text):
    """Return a rate in requests a second, None with a log line if it isn't one."""
    try:
        rate = float(text)
    except ValueError:
        rate = math.nan
    if 0.0 <= rate < math.inf:
        return rate
    logging.warning("ignored a limit that is not a number: %r", text)
    return None


def build_response(answer, identifier):
    """Return the `HttpResponse` for a caller.

    Args:
        answer: The `Answer`.
        identifier: Identifier of the request, for the X-Request-Id header.
    """
    if answer.outcome is Outcome.COMPLETED:
        (_, phrase), *headers = answer.headers
        return HttpResponse(answer.status, phrase, tuple(headers), answer.body)
    if answer.outcome is Outcome.NOT_RUN:
        status = _REFUSAL_STATUSES.get(answer.reason, 503)
        return refuse(status, answer.reason, answer.retry_after, identifier)
    status = 504 if answer.reason is Reason.DEADLINE else 502
    return refuse(status, answer.reason, 0.0, identifier)


def refuse(status, reason, retry_after=0.0, identifier=""):
    """Return an `HttpResponse` that the daemon sends instead of a backend server.

    Args:
        status: Status code.
        reason: `Reason` of the refusal or failure.
        retry_after: Seconds after which the caller may retry; 0 for no hint.
        identifier: Identifier of the request, "" to leave the header out.
    """
    headers = [("Whinwinch-Reason", reason.value)]
    if identifier:
        headers.append((REQUEST_ID, identifier))
    if retry_after:
        headers.append(("Retry-After", f"{retry_after:.3f}"))
    if status == _UNAUTHORIZED:
        headers.append(("WWW-Authenticate", CREDENTIALS_SCHEME))
    return HttpResponse(status, _PHRASES[status], tuple(headers))


def _fail(request, outcome, reason, status):
    return build_failure(request, outcome, reason, status)._replace(
        reached_backend=True
    )
