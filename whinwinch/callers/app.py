"""Handler that routes HTTP calls of callers and of the local backend server."""

from .. import hints, messages
from ..messages import Answer, Outcome, Reason
from ..router import CallResult
from . import answers, headers

# Pressure for the retry hint of a refusal at the maximum number of requests.
MAX_PRESSURE = 1.0


def build_handler(route, max_in_flight, count_in_flight, count_event):
    """Return a coroutine function from a request and its sender to the response.

    Args:
        route: Coroutine function from an `IncomingCall` to a `CallResult`.
        max_in_flight: Maximum number of calls handled at once. Calls beyond it are
            refused immediately; otherwise a surge would fill the memory.
        count_in_flight: Function that returns the number of calls being handled.
        count_event: Function that counts a request that isn't routed, by its reason.
    """

    async def serve_call(http, sender):
        parsed = headers.parse_call(http, sender.host)
        incoming = parsed.incoming
        if parsed.findings:
            count_event("bad-request")
            return answers.build_findings_response(
                400, parsed.findings, incoming.identifier
            )
        if count_in_flight() >= max_in_flight:
            count_event("too-many-requests")
            return answers.build_response(_refuse_excess(incoming))
        return answers.build_response(await route(incoming))

    return serve_call


def _refuse_excess(incoming):
    attempt = messages.new_identifier()
    answer = Answer(
        attempt,
        Outcome.NOT_RUN,
        Reason.QUEUE,
        status=503,
        retry_after=hints.choose_retry_after(MAX_PRESSURE, attempt),
    )
    return CallResult(answer, incoming.identifier or attempt, 0)
