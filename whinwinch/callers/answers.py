"""HTTP form of answers: the outcome is always stated."""

import http
import json
import math

from ..errors import Finding
from ..messages import Outcome, Reason

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


def format_status(status):
    """Return the status line's text, for example "404 Not Found"."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"
