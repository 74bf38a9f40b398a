"""HTTP handler for the local backend server on the loopback address."""

import json

from ..callers import answers
from ..errors import Finding, InputErrors
from ..http1.messages import HttpResponse
from .registry import check_announcement

ANNOUNCEMENT_PATH = "/announcement"
MAX_ANNOUNCEMENT_BYTES = 4096


def build_handler(calls, announce, withdraw):
    """Return a coroutine function that handles the backend server's requests.

    It takes an HTTP request and its sender and returns an `HttpResponse`.

    Args:
        calls: Handler with the same signature for calls to services, see
            `callers.app.build_handler`.
        announce: Called with each valid `Announcement`.
        withdraw: Called when the backend server withdraws its announcement.
    """

    async def serve_backend(http, sender):
        path = http.target.partition("?")[0]
        if path.startswith("/services/"):
            return await calls(http, sender)
        if path != ANNOUNCEMENT_PATH:
            return answers.build_findings_response(
                404, [Finding("path", "does not exist")]
            )
        return _serve_announcement(http, announce, withdraw)

    return serve_backend


def _serve_announcement(http, announce, withdraw):
    if http.method == "DELETE":
        withdraw()
        return HttpResponse(204, "No Content")
    if http.method != "PUT":
        return answers.build_findings_response(405, [Finding("method", "must be PUT")])
    if len(http.body) > MAX_ANNOUNCEMENT_BYTES:
        problem = f"must be at most {MAX_ANNOUNCEMENT_BYTES} bytes"
        return answers.build_findings_response(413, [Finding("body", problem)])
    try:
        announce(check_announcement(json.loads(http.body)))
    except (ValueError, RecursionError) as error:
        return answers.build_findings_response(
            400, [Finding("body", f"is not valid JSON: {error}")]
        )
    except InputErrors as errors:
        return answers.build_findings_response(400, errors.findings)
    return HttpResponse(204, "No Content")
