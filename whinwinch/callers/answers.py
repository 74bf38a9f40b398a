"""HTTP form of answers: the outcome is always stated."""

import http
import json
import math

from ..errors import Finding
from ..http1.messages import HttpResponse
from ..messages import Outcome, Reason

JSON_TYPE = ("Content-Type", "application/json")
# What a request that can't be read as HTTP is told, by status.
UNREADABLE = {
    400: Finding("request", "is no whole HTTP/1.1 request"),
    408: Finding("head", "did not come in time"),
    413: Finding("body", "is too large"),
    431: Finding("head", "is too large"),
}

STATUSES = {
    Reason.SHARE: 429,
    Reason.DEADLINE: 504,
    Reason.BROKEN: 502,
    Reason.KEY_CLAIMED: 409,
    Reason.KEY_AGE: 422,
    Reason.KEY_MISSING: 400,
    Reason.TOO_DEEP: 508,
}
EXPLANATIONS = {
    Reason.LEVEL: "the service, or one that it calls, is overloaded",
    Reason.QUEUE: "too much work is waiting",
    Reason.SHARE: "this caller or key has more than its share",
    Reason.DEADLINE: "the time that the caller allows is not enough",
    Reason.LEAVING: "this instance is leaving",
    Reason.NOT_READY: "this daemon has not read the configuration yet, so it can't "
    "tell which calls must not be repeated",
    Reason.NO_ENDPOINT: "no endpoint of this service is known",
    Reason.NOT_SENT: "the endpoint could not be reached",
    Reason.BROKEN: "the connection broke before the whole answer had come",
    Reason.ABANDONED: "this attempt had been given up",
    Reason.LOG_DOWN: "the platform's log does not answer, so non-idempotent "
    "work can't be claimed",
    Reason.KEY_CLAIMED: "work with this key has been claimed before",
    Reason.KEY_AGE: "the key is too old to be claimed; the work may have run while "
    "it was good",
    Reason.KEY_MISSING: "this call must not be repeated: it needs a good key",
    Reason.TOO_DEEP: "the call has passed too many services; do they call in a ring?",
    Reason.BAD_REQUEST: "the request is wrong",
    Reason.DEEPER: "a service further down refused",
}
# Refusals that the caller can mend in its request.
FINDINGS = {
    Reason.KEY_MISSING: Finding(
        "Idempotency-Key", "must be a UUID of version 7 that was made lately"
    )
}


def build_headers(routed):
    """Return the header pairs that every answer to a call carries."""
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
    """Return the HTTP status of an answer."""
    if answer.outcome is Outcome.COMPLETED or answer.reason is Reason.BAD_REQUEST:
        return answer.status
    return STATUSES.get(answer.reason, answer.status)


def build_body(answer):
    """Return the body of an answer that doesn't come from a backend server."""
    error = {
        "outcome": answer.outcome.value,
        "reason": answer.reason.value,
        "message": EXPLANATIONS.get(answer.reason, answer.reason.value),
    }
    if answer.reason in FINDINGS:
        error["findings"] = [FINDINGS[answer.reason]._asdict()]
    return encode_json({"error": error})


def build_findings_body(findings):
    """Return the body that lists everything wrong with a request."""
    error = {
        "outcome": Outcome.NOT_RUN.value,
        "reason": Reason.BAD_REQUEST.value,
        "message": EXPLANATIONS[Reason.BAD_REQUEST],
        "findings": [finding._asdict() for finding in findings],
    }
    return encode_json({"error": error})


def encode_json(document):
    """Return a JSON document as bytes with a line break at its end."""
    return (json.dumps(document) + "\n").encode()


def find_phrase(status):
    """Return the text behind a status code, for example "Not Found"."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def form_answer(routed):
    """Return the `HttpResponse` for the end of a call."""
    answer = routed.answer
    pairs = build_headers(routed)
    if answer.outcome is Outcome.COMPLETED:
        named = {name.lower() for name, _ in pairs}
        pairs += [pair for pair in answer.headers if pair[0].lower() not in named]
        body = answer.body
    else:
        pairs.append(JSON_TYPE)
        body = build_body(answer)
    return _form(choose_status(answer), pairs, body)


def form_findings(status, findings, identifier=""):
    """Return the `HttpResponse` that lists everything wrong with a request."""
    pairs = [
        ("X-Request-Id", identifier),
        ("Whinwinch-Outcome", Outcome.NOT_RUN.value),
        ("Whinwinch-Reason", Reason.BAD_REQUEST.value),
        JSON_TYPE,
    ]
    return _form(status, pairs, build_findings_body(findings))


def form_unreadable(status):
    """Return the `HttpResponse` to what can't be read as a request."""
    return form_findings(status, [UNREADABLE[status]])


def form_text(status, text):
    """Return an `HttpResponse` of plain text."""
    return _form(status, [("Content-Type", "text/plain")], text.encode())


def _form(status, pairs, body):
    return HttpResponse(status, find_phrase(status), tuple(pairs), body)
