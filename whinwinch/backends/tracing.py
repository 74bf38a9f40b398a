"""Trace of one attempt that is sent to the backend server, for the log.

An endpoint may get the same request more than once. Which connection carried it each
time, and which answer was taken for its own, shows whether it was sent again in error.
"""

import asyncio

from .. import decisions
from ..http1.client import Send
from ..messages import Outcome

# Characters of an identifier that the backend server sends, in a log line.
MAX_LOGGED_CHARACTERS = 100


class AttemptTrace:
    """What is logged of one attempt at the backend server.

    Args:
        request: The `messages.Request`.
        identifier: Identifier that the caller gave the request.
        backend: Identifier of the backend server.

    Attributes:
        request: The `messages.Request`.
        identifier: Identifier that the caller gave the request.
        send: `http1.client.Send` of the attempt, with number 0 until it is sent.
    """

    def __init__(self, request, identifier, backend):
        self._loop = asyncio.get_running_loop()
        self.request = request
        self.identifier = identifier
        self._backend = backend
        self._started = self._loop.time()
        self.send = Send(0, 0)

    def record_send(self, send):
        """Record the `http1.client.Send` of the attempt."""
        self.send = send

    def log_dropped(self, status, answered):
        """Log that an answer to another request was dropped.

        Args:
            status: HTTP status of the answer.
            answered: Identifier of the request that it answers, "" if it has none.
        """
        request = self.request
        decisions.log_decision(
            decisions.Dropped(
                request.root,
                request.attempt,
                self.identifier,
                self.send.connection,
                status,
                answered[:MAX_LOGGED_CHARACTERS],
            ),
            request.repeatable,
        )

    def log_answer(self, answer):
        """Log the `messages.Answer` if non-idempotent work may run more than once."""
        request = self.request
        if request.repeatable:
            return
        if answer.outcome is Outcome.COMPLETED and not request.again:
            return
        decisions.log_decision(
            decisions.Exchanged(
                request.root,
                request.attempt,
                self.identifier,
                request.service,
                self._backend,
                self.send.connection,
                self.send.use,
                request.again,
                answer.outcome.value,
                answer.reason.value,
                answer.status,
                self._loop.time() - self._started,
            ),
            request.repeatable,
        )
