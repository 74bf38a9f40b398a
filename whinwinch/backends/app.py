"""What the own backend server says on the loopback address."""

import json

from ..callers import answers
from ..errors import Finding, InputErrors
from ..http1.messages import HttpResponse
from .registry import check_announcement

ANNOUNCEMENT_PATH = "/announcement"
LARGEST_ANNOUNCEMENT = 4096


def build_handler(calls, announce, withdraw):
    """Return a coroutine function from a request and its sender to the answer.

    Args:
        calls: The same for calls, see `callers.app.build_handler`.
        announce: Takes an `Announcement`.
        withdraw: Called when the backend server leaves.
    """

    async def serve_backend(http, sender):
        path = http.target.partition("?")[0]
        if path.startswith("/services/"):
            return await calls(http, sender)
        if path != ANNOUNCEMENT_PATH:
            return answers.form_findings(404, [Finding("path", "is not known")])
        return _serve_announcement(http, announce, withdraw)

    return serve_backend


def _serve_announcement(http, announce, withdraw):
    if http.method == "DELETE":
        withdraw()
        return HttpResponse(204, "No Content")
    if http.method != "PUT":
        return answers.form_findings(405, [Finding("method", "must be PUT")])
    if len(http.body) > LARGEST_ANNOUNCEMENT:
        problem = f"must have at most {LARGEST_ANNOUNCEMENT} bytes"
        return answers.form_findings(413, [Finding("body", problem)])
    try:
        announce(check_announcement(json.loads(http.body)))
    except ValueError as error:
        return answers.form_findings(400, [Finding("body", f"is no JSON: {error}")])
    except InputErrors as errors:
        return answers.form_findings(400, errors.findings)
    return HttpResponse(204, "No Content")
