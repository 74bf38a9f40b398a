"""Conversion of answers to HTTP responses, which always state the outcome."""

import http
import json
import math

from ..errors import Finding
from ..http1.messages import HttpResponse
from ..messages import Outcome, Reason

JSON_TYPE = ("Content-Type", "application/json")
# Finding for a malformed HTTP request, by status.
MALFORMED_FINDINGS = {
    400: Finding("request", "is not a complete HTTP/1.1 request"),
    408: Finding("head", "did not arrive in time"),
    413: Finding("body", "is too large"),
    431: Finding("head", "is too large"),
}

# HTTP status by reason; for other reasons the status of the answer is used.
STATUSES = {
    Reason.SHARE: 429,
    Reason.DEADLINE: 504,
    Reason.BROKEN: 502,
    Reason.CRASHED: 502,
    Reason.KEY_CLAIMED: 409,
    Reason.KEY_AGE: 422,
    Reason.KEY_MISSING: 400,
    Reason.TOO_DEEP: 508,
}
EXPLANATIONS = {
    Reason.LEVEL: "the service or a service that it calls is overloaded",
    Reason.QUEUE: "too many requests are waiting",
    Reason.SHARE: "this caller or key exceeds its fair share",
    Reason.DEADLINE: "the request can't be completed within its timeout",
    Reason.LEAVING: "this instance is leaving",
    Reason.NOT_READY: "this daemon has not read the configuration yet, so it can't "
    "determine which calls must not be repeated",
    Reason.NO_ENDPOINT: "this service has no known endpoint",
    Reason.NOT_SENT: "the endpoint could not be reached",
    Reason.BROKEN: "the connection was closed before the complete answer arrived",
    Reason.ABANDONED: "this attempt was abandoned",
    Reason.LOG_DOWN: "the platform's log does not answer, so non-idempotent "
    "work can't be claimed",
    Reason.KEY_CLAIMED: "this idempotency key has already been claimed",
    Reason.KEY_AGE: "the idempotency key is too old to be claimed; the request may "
    "have run while the key was valid",
    Reason.KEY_MISSING: "this call must not be repeated and requires a valid "
    "idempotency key",
    Reason.TOO_DEEP: "the call path has too many services; check for a call cycle",
    Reason.BAD_REQUEST: "the request is invalid",
    Reason.LIMIT: "the backend server takes a limited rate of requests",
    Reason.CRASHED: "the backend server crashed while it ran the request",
    Reason.SUSPECT: "backend servers crashed while they ran this request; it waits to "
    "run alone",
    Reason.CAUSES_CRASHES: "backend servers crash when they run this request",
    Reason.DEEPER: "a service further down the call graph refused the request",
}
# Findings by reason, for refusals that the caller can resolve by changing its request.
FINDINGS = {
    Reason.KEY_MISSING: Finding(
        "Idempotency-Key", "must be a recently generated UUID of version 7"
    )
}


def build_headers(routed):
    """Return the header pairs that every answer to a call has.

    Args:
        routed: `router.CallResult`.
    """
    answer = routed.answer
    headers = [
        ("Whinwinch-Outcome", answer.outcome.value),
        ("Whinwinch-Reason", answer.reason.value),
        ("Whinwinch-Retries", str(routed.retries)),
        ("X-Request-Id", routed.root),
    ]
    if answer.retry_after > 0:
        headers.append(("Retry-After", str(math.ceil(answer.retry_after))))
        headers.append(
            ("Whinwinch-Retry-After", str(math.ceil(answer.retry_after * 1000)))
        )
    return headers


def choose_status(answer):
    """Return the HTTP status of an `Answer`."""
    if answer.outcome is Outcome.COMPLETED or answer.reason is Reason.BAD_REQUEST:
        return answer.status
    return STATUSES.get(answer.reason, answer.status)


def build_body(answer):
    """Return the JSON body of an `Answer` that doesn't come from a backend server."""
    error = {
        "outcome": answer.outcome.value,
        "reason": answer.reason.value,
        "message": EXPLANATIONS.get(answer.reason, answer.reason.value),
    }
    if answer.reason in FINDINGS:
        error["findings"] = [FINDINGS[answer.reason]._asdict()]
    return encode_json({"error": error})


def build_findings_body(findings):
    """Return the JSON body that lists all findings about an invalid request."""
    error = {
        "outcome": Outcome.NOT_RUN.value,
        "reason": Reason.BAD_REQUEST.value,
        "message": EXPLANATIONS[Reason.BAD_REQUEST],
        "findings": [finding._asdict() for finding in findings],
    }
    return encode_json({"error": error})


def encode_json(document):
    """Return a document as JSON bytes that end with a newline."""
    return (json.dumps(document) + "\n").encode()


def find_phrase(status):
    """Return the reason phrase of an HTTP status, for example "Not Found"."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def build_response(routed):
    """Return the `HttpResponse` for a `router.CallResult`."""
    answer = routed.answer
    pairs = build_headers(routed)
    if answer.outcome is Outcome.COMPLETED:
        named = {name.lower() for name, _ in pairs}
        pairs += [pair for pair in answer.headers if pair[0].lower() not in named]
        body = answer.body
    else:
        pairs.append(JSON_TYPE)
        body = build_body(answer)
    return _build_response(choose_status(answer), pairs, body)


def build_findings_response(status, findings, identifier=""):
    """Return the `HttpResponse` that lists all findings about an invalid request."""
    pairs = [
        ("X-Request-Id", identifier),
        ("Whinwinch-Outcome", Outcome.NOT_RUN.value),
        ("Whinwinch-Reason", Reason.BAD_REQUEST.value),
        JSON_TYPE,
    ]
    return _build_response(status, pairs, build_findings_body(findings))


def build_malformed_response(status):
    """Return the `HttpResponse` to a malformed HTTP request."""
    return build_findings_response(status, [MALFORMED_FINDINGS[status]])


def build_text_response(status, text):
    """Return an `HttpResponse` of plain text."""
    return _build_response(status, [("Content-Type", "text/plain")], text.encode())


def _build_response(status, pairs, body):
    return HttpResponse(status, find_phrase(status), tuple(pairs), body)
