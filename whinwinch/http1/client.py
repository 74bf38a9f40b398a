"""HTTP/1.1 client with keep-alive connections and complete responses.

The kind of failure decides whether a request may be sent again. A request for which
no connection could be opened was not sent (`NotSentError`). A request whose connection
broke after it was written may have run (`BrokenError`), or one without a response in
time (`TimeoutError`). Truncated responses, and bytes that belong to no request, are
never returned to a caller.
"""

import asyncio
import collections
import itertools
import math
from typing import NamedTuple

from . import bodies, messages, responses

# Seconds until opening a connection fails. On the local instance or within a region it
# takes a few round trips. A lost packet delays it by a second, by which time another
# endpoint is the better choice.
CONNECT_TIMEOUT = 1.0
# An idle connection is reused within this share of the server's idle timeout: if the
# server closes it while a request is being sent, the request may or may not have run.
IDLE_TIMEOUT_SHARE = 0.6
# Seconds for which an idle connection is reused if the server states no idle timeout.
DEFAULT_IDLE_SECONDS = 5.0
# Bytes of the bodies that a pool receives at once, beyond the first of each. With the
# copies that are made of a complete one, they fit into 200 MB.
MAX_PENDING_BODY_BYTES = 64 << 20


class NotSentError(Exception):
    """No connection could be opened, so no byte was sent."""


class BrokenError(Exception):
    """The connection broke, or the response was invalid, after sending the request."""


class Send(NamedTuple):
    """A request that is being written to a connection.

    Attributes:
        connection: Number of the connection, unique in this process.
        use: Number of requests that the connection has carried, this one included.
    """

    connection: int
    use: int


class PoolCounts(NamedTuple):
    """Counts of a `Pool` since its creation.

    Attributes:
        opened: Connections opened.
        unexpected: Connections on which data arrived while no request was pending.
    """

    opened: int = 0
    unexpected: int = 0


_CONNECTION_NUMBERS = itertools.count(1)


def _accept(response):
    return True


def _ignore_send(send):
    pass


class ClientConnection(asyncio.Protocol):
    """One connection to a server, for one request at a time.

    Args:
        loop: The event loop.
        max_body_bytes: Maximum size of a response body in bytes.
        body_budget: `bodies.BodyBudget` of all connections of the pool.
        handle_unexpected: Function called when data arrives while no request is
            pending.
    """

    def __init__(self, loop, max_body_bytes, body_budget, handle_unexpected):
        self._loop = loop
        self._body_budget = body_budget
        self._handle_unexpected = handle_unexpected
        self.number = next(_CONNECTION_NUMBERS)
        self._use_count = 0
        self._max_body_bytes = max_body_bytes
        self._transport = None
        # Reader and future of the pending response.
        self._reader = None
        self._waiter = None
        self._is_unusable = False
        self._max_idle_seconds = DEFAULT_IDLE_SECONDS
        self._keep_alive_text = ""
        self.idle_until = math.inf

    def connection_made(self, transport):
        """Store the transport of the new connection."""
        self._transport = transport

    def connection_lost(self, exc):
        """End the pending response, which is complete only if delimited by close."""
        self._transport = None
        self._is_unusable = True
        if self._waiter is None:
            return
        if exc is None:
            self._reader.end()
        self._complete()
        self._fail("connection closed before the response was complete")

    def data_received(self, data):
        """Read the pending response; close the connection if there is none."""
        if self._waiter is None:
            if not self._is_unusable:
                self._handle_unexpected()
            self.close()
            return
        try:
            self._reader.feed(data)
        except responses.InvalidResponseError as error:
            self._complete()
            self._fail(str(error))
            self.abort()
        else:
            self._complete()

    @property
    def is_open(self):
        """Whether another request may be sent."""
        return self._transport is not None and not self._is_unusable

    def begin_use(self):
        """Count one more request on this connection and return its `Send`."""
        self._use_count += 1
        return Send(self.number, self._use_count)

    async def exchange(self, data, is_head, accepts, until):
        """Send the bytes of a request and return the `messages.HttpResponse`.

        Args:
            data: Bytes of the request.
            is_head: Whether the response has no body, whatever length it states.
            accepts: Function from a response to whether it belongs to the request.
            until: Time of the loop's clock by which the response must be complete.

        Raises:
            BrokenError: If no complete response came; the request may have run.
            TimeoutError: If it didn't come in time; the request may have run.
        """
        self._reader = responses.ResponseReader(
            is_head, accepts, self._max_body_bytes, self._body_budget
        )
        self._waiter = self._loop.create_future()
        timer = self._loop.call_at(until, self._expire)
        self._transport.write(data)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            # The server cancels a request whose connection closes. If the connection
            # were reused, the late response would count as that of the next request.
            self.abort()
            raise
        finally:
            timer.cancel()
            self._waiter = None
            self._reader.close()
            self._reader = None

    def close(self):
        """Close the connection."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.close()

    def abort(self):
        """Close the connection and discard unsent bytes."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def _complete(self):
        """Return the response to the waiting caller once it is complete."""
        response = self._reader.response
        self._is_unusable |= self._reader.has_excess
        if response is None or self._waiter.done():
            return
        self._is_unusable |= not response.keep_alive
        self._parse_keep_alive(messages.find_header(response.headers, "keep-alive"))
        self.idle_until = self._loop.time() + self._max_idle_seconds
        self._waiter.set_result(response)

    def _expire(self):
        """Fail the request, whose response takes too long, and drop the connection."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(TimeoutError())
        self.abort()

    def _fail(self, problem):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(BrokenError(problem))

    def _parse_keep_alive(self, text):
        # Most servers send the same value in each response, so parse it only once.
        if text == self._keep_alive_text:
            return
        self._keep_alive_text = text
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self._max_idle_seconds = int(value) * IDLE_TIMEOUT_SHARE


class Pool:
    """A pool of keep-alive connections to one address, most recently used first.

    Args:
        host: IP address.
        port: Port.
        max_body_bytes: Maximum size of a response body in bytes.
    """

    def __init__(self, host, port, max_body_bytes):
        self._loop = asyncio.get_running_loop()
        self._address = (host, port)
        self._max_body_bytes = max_body_bytes
        self._body_budget = bodies.BodyBudget(MAX_PENDING_BODY_BYTES)
        self._idle = collections.deque()
        self.counts = PoolCounts()

    async def exchange(
        self,
        data,
        until,
        is_head=False,
        accepts=_accept,
        on_send=_ignore_send,
        avoided=frozenset(),
    ):
        """Send the bytes of a request and return the `messages.HttpResponse`.

        Args:
            data: Bytes of the request.
            until: Time of the loop's clock by which the response must be complete.
            is_head: Whether the response has no body, whatever length it states.
            accepts: Function from a response to whether it belongs to the request.
            on_send: Function called with the `Send` when a connection is open, before
                sending.
            avoided: Numbers of the connections that the request isn't sent over.

        Raises:
            NotSentError: If no connection could be opened.
            BrokenError: If no complete response came; the request may have run.
            TimeoutError: If it didn't come in time; the request may have run.
        """
        connection = self._pop_usable(avoided) or await self._open(until)
        on_send(connection.begin_use())
        try:
            return await connection.exchange(data, is_head, accepts, until)
        finally:
            if connection.is_open:
                self._idle.append(connection)
            else:
                connection.close()

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def discard(self, number):
        """Close a connection if it is idle, so that it isn't used again."""
        for connection in tuple(self._idle):
            if connection.number == number:
                self._idle.remove(connection)
                connection.close()

    def _pop_usable(self, avoided):
        """Return an idle connection within its reuse time, None if there is none.

        Args:
            avoided: Numbers of the connections that stay idle.
        """
        now = self._loop.time()
        passed_over = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_open or now >= connection.idle_until:
                connection.close()
            elif connection.number in avoided:
                passed_over.append(connection)
            else:
                found = connection
        self._idle.extend(reversed(passed_over))
        return found

    async def _open(self, until):
        connect_deadline = min(until, self._loop.time() + CONNECT_TIMEOUT)
        try:
            async with asyncio.timeout_at(connect_deadline):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(
                        self._loop,
                        self._max_body_bytes,
                        self._body_budget,
                        self._count_unexpected,
                    ),
                    *self._address,
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {self._address}: {error}") from error
        self.counts = self.counts._replace(opened=self.counts.opened + 1)
        return connection

    def _count_unexpected(self):
        self.counts = self.counts._replace(unexpected=self.counts.unexpected + 1)
