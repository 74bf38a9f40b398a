"""Connections to the backend server, none of which carries a request twice.

Answers name the request, not the send. Only because a connection carries each request
once is an answer that names it the answer to the present send.
"""

import asyncio
import functools

from ..http1 import client
from . import refusals

# Seconds after its deadline that a request may still come again: it was sent on by
# another daemon, whose clock isn't quite this one's.
REPEAT_GRACE = 1.0
# Maximum size of an answer from a backend server, in bytes.
MAX_ANSWER_BYTES = 16 << 20


class UnidentifiedAnswerError(Exception):
    """An answer doesn't tell which request it answers."""


class Connections:
    """Connections to one backend server.

    Args:
        address: `settings.Address` of the backend server.
        dialect: `interface.Dialect` of the backend server.

    Attributes:
        dropped_answers: Number of answers dropped because they belong to another
            request.
    """

    def __init__(self, address, dialect):
        self._loop = asyncio.get_running_loop()
        self._dialect = dialect
        self._pool = client.Pool(address.host, address.port, MAX_ANSWER_BYTES)
        self._refusals = refusals.RefusalMemory()
        self.dropped_answers = 0

    @property
    def counts(self):
        """The `http1.client.PoolCounts` since the start."""
        return self._pool.counts

    async def send(self, trace, data, until, on_send):
        """Send the bytes of an attempt and return the `http1.messages.HttpResponse`.

        Args:
            trace: The `tracing.AttemptTrace` of the attempt.
            data: Bytes of the attempt.
            until: Time of the loop's clock by which the response must be complete.
            on_send: Function called when a connection is open, before sending.

        Raises:
            http1.client.NotSentError: If no connection could be opened.
            http1.client.BrokenError: If no complete response came; it may have run.
            TimeoutError: If it didn't come in time; it may have run.
        """

        def handle_send(send):
            trace.record_send(send)
            on_send()

        try:
            return await self._pool.exchange(
                data,
                until,
                trace.request.method == "HEAD",
                functools.partial(self._accept, trace),
                handle_send,
                self._refusals.find_connections(trace.identifier),
            )
        finally:
            if not trace.identifier:
                # A late copy of its answer could not be told from the next request's.
                self._pool.discard(trace.send.connection)

    def record_refusal(self, trace):
        """Keep a request that was turned down from this connection from now on."""
        connection = trace.send.connection
        expires = trace.request.deadline + REPEAT_GRACE
        is_remembered = self._refusals.record(
            trace.identifier, connection, expires, self._loop.time()
        )
        if not is_remembered:
            self._pool.discard(connection)

    def close(self):
        """Close the idle connections."""
        self._pool.close()

    def _accept(self, trace, response):
        """Return whether a response is the answer to an attempt; log any other.

        Raises:
            UnidentifiedAnswerError: If it doesn't tell which request it answers. Taken
                for the answer, it might say "not run" of a request that runs.
        """
        if self._dialect.is_answer_to(trace.request, response):
            return True
        self.dropped_answers += 1
        answered = self._dialect.find_identifier(response.headers)
        trace.log_dropped(response.status, answered)
        if not answered:
            raise UnidentifiedAnswerError("answer without the identifier of a request")
        return False
