"""Calls of callers and of the own backend server, from HTTP to the router."""

from .. import hints, messages
from ..messages import Answer, Outcome, Reason
from ..router import CallResult
from . import answers, headers

FULL_PRESSURE = 1.0


def build_handler(route, most, count_in_flight, count_event):
    """Return a coroutine function from a request and its sender to the answer.

    Args:
        route: Coroutine function from an `IncomingCall` to a `CallResult`.
        most: Calls handled at once; what comes beyond is refused at once, where
            it would otherwise fill the memory in a surge.
        count_in_flight: Returns the number of calls being handled.
        count_event: Counts a request that isn't routed, by a short text.
    """

    async def serve_call(http, sender):
        parsed = headers.parse_call(http, sender.host)
        incoming = parsed.incoming
        if parsed.findings:
            count_event("bad-request")
            return answers.form_findings(400, parsed.findings, incoming.identifier)
        if count_in_flight() >= most:
            count_event("too-many-requests")
            return answers.form_answer(_refuse_full(incoming))
        return answers.form_answer(await route(incoming))

    return serve_call


def _refuse_full(incoming):
    attempt = messages.new_identifier()
    answer = Answer(
        attempt,
        Outcome.NOT_RUN,
        Reason.QUEUE,
        status=503,
        retry_after=hints.choose_retry_after(FULL_PRESSURE, attempt),
    )
    return CallResult(answer, incoming.identifier or attempt, 0)
