"""The WSGI callable on the loopback address, for the own backend server."""

import json

from ..callers import answers, bodies
from ..errors import Finding, InputErrors
from .registry import check_announcement

ANNOUNCEMENT_PATH = "/announcement"
LARGEST_ANNOUNCEMENT = 4096


def build_app(calls, announce, withdraw):
    """Return a WSGI callable for announcements and outgoing calls.

    Args:
        calls: WSGI callable for calls, see `callers.app.build_app`.
        announce: Takes an `Announcement`.
        withdraw: Called when the backend server leaves.
    """

    def serve_backend(environ, start_response):
        path = environ.get("PATH_INFO", "")
        if path.startswith("/services/"):
            return calls(environ, start_response)
        if path != ANNOUNCEMENT_PATH:
            return _respond(start_response, 404, [Finding("path", "is not known")])
        return _serve_announcement(environ, start_response, announce, withdraw)

    return serve_backend


def _serve_announcement(environ, start_response, announce, withdraw):
    method = environ["REQUEST_METHOD"]
    if method == "DELETE":
        withdraw()
        return _respond(start_response, 204, [])
    if method != "PUT":
        return _respond(start_response, 405, [Finding("method", "must be PUT")])
    body = bodies.read_body(environ, LARGEST_ANNOUNCEMENT)
    if body.finding is not None:
        return _respond(start_response, body.status, [body.finding])
    try:
        announce(check_announcement(json.loads(body.data)))
    except ValueError as error:
        return _respond(start_response, 400, [Finding("body", f"is no JSON: {error}")])
    except InputErrors as errors:
        return _respond(start_response, 400, errors.findings)
    return _respond(start_response, 204, [])


def _respond(start_response, status, findings):
    body = answers.build_findings_body(findings) if findings else b""
    pairs = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(answers.format_status(status), pairs)
    return [body]
