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

import httptools

from . import bodies, messages

# Seconds until opening a connection fails. On the local instance or within a region it
# takes a few round trips. A lost packet delays it by a second, by which time another
# endpoint is the better choice.
CONNECT_TIMEOUT = 1.0
# An idle connection is reused within this share of the server's idle timeout: if the
# server closes it while a request is being sent, the request may or may not have run.
IDLE_TIMEOUT_SHARE = 0.6
# Seconds for which an idle connection is reused if the server states no idle timeout.
DEFAULT_IDLE_SECONDS = 5.0
# Bytes received for one request beside the body of its response: status line, headers,
# interim responses, trailers. Four times what servers commonly accept as headers.
MAX_HEAD_BYTES = 64 << 10
# Bytes of framing that may come with each byte of a body. Long bodies in chunks of less
# than five bytes would take the daemon's time from its other requests.
MAX_FRAMING_BYTES = 1
# Bytes counted for each header in addition to its own: a short one takes more memory
# than that as an object.
HEADER_COST_BYTES = 64
# Responses to other requests that may come before the awaited one.
MAX_DROPPED_RESPONSES = 4
# Bytes of the bodies that a pool receives at once, beyond the first of each. With the
# copies that are made of a complete one, they fit into 200 MB.
MAX_PENDING_BODY_BYTES = 64 << 20


class NotSentError(Exception):
    """No connection could be opened, so no byte was sent."""


class BrokenError(Exception):
    """The connection broke, or the response was invalid, after sending the request."""


class ResponseTooLargeError(Exception):
    """A server sends more than any response may have."""


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
        self._parser = None
        self._waiter = None
        self._ends_at_close = False
        self._is_unusable = False
        self._is_head = False
        self._accepts = _accept
        # Bytes taken from the budget for the body that is being received.
        self._taken_bytes = 0
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
        if exc is None and self._ends_at_close:
            self._finish(False)
        else:
            self._fail("connection closed before the response was complete")

    def data_received(self, data):
        """Feed the parser; close the connection if no request is pending."""
        if self._waiter is None:
            if not self._is_unusable:
                self._handle_unexpected()
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_head_size()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # What a callback raises is the context of the parser's own error.
            self._fail(f"invalid response: {error.__context__ or error}")
            self.abort()
        except ResponseTooLargeError as error:
            self._fail(str(error))
            self.abort()

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
        self._accepts = accepts
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._dropped_responses = 0
        self._reset()
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
            self._body_budget.give_back(self._taken_bytes)
            self._taken_bytes = 0

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

    def on_message_begin(self):
        """Begin a response; after an unsolicited one the connection isn't reused."""
        if self._waiter is None or self._waiter.done():
            self._is_unusable = True
            return
        self._reset()

    def on_status(self, status):
        """Add a part of the reason phrase."""
        self._phrase += status

    def on_header(self, name, value):
        """Add a header; trailers after the body are dropped."""
        if self._in_body:
            return
        self._head_cost += len(name) + len(value) + HEADER_COST_BYTES
        if self._head_cost > MAX_HEAD_BYTES:
            raise ResponseTooLargeError("response headers too large")
        key, text = name.decode("latin-1"), value.decode("latin-1")
        self._headers.append((key, text))
        lowered = key.lower()
        if lowered in ("content-length", "transfer-encoding"):
            self._is_framed = True
        elif lowered == "keep-alive":
            self._parse_keep_alive(text)

    def on_headers_complete(self):
        """Determine how the end of the body is marked."""
        self._in_body = True
        status = self._parser.get_status_code()
        has_body = status >= 200 and status not in (204, 304)
        self._ends_at_close = has_body and not self._is_framed
        if status >= 200:
            self._is_awaited = self._accepts(self._build_response(False))
        if self._is_head and status >= 200:
            # No body follows, whatever length is stated. The parser would wait for
            # one, so the connection isn't used again.
            self._ends_at_close = False
            self._finish(False)

    def on_body(self, body):
        """Add a part of the body."""
        size = len(body)
        self._body_size += size
        self._received_body_bytes += size
        if self._body_size > self._max_body_bytes:
            raise ResponseTooLargeError("response body too large")
        if not self._is_awaited:
            return
        if self._body_size > bodies.UNCOUNTED_BYTES:
            if not self._body_budget.try_take(size):
                raise ResponseTooLargeError("too many large response bodies at once")
            self._taken_bytes += size
        self._body += body

    def on_message_complete(self):
        """Return the complete response to the waiting caller; drop interim ones."""
        if self._parser.get_status_code() < 200 or self._ends_at_close:
            return
        self._finish(self._parser.should_keep_alive())

    def _finish(self, keep_alive):
        if self._waiter is None or self._waiter.done():
            return
        if not keep_alive:
            self._is_unusable = True
        if not self._is_awaited:
            # A late duplicate of the response to an earlier request. The response to
            # the present one is still to come, but the connection isn't reused.
            self._is_unusable = True
            self._dropped_responses += 1
            if self._dropped_responses > MAX_DROPPED_RESPONSES:
                raise ResponseTooLargeError("too many responses to other requests")
            return
        self.idle_until = self._loop.time() + self._max_idle_seconds
        self._waiter.set_result(self._build_response(keep_alive))

    def _build_response(self, keep_alive):
        """Return what has been received of the present response."""
        return messages.HttpResponse(
            self._parser.get_status_code(),
            self._phrase.decode("latin-1"),
            tuple(self._headers),
            bytes(self._body),
            keep_alive,
        )

    def _check_head_size(self):
        """Limit what is received beside bodies and their framing.

        Raises:
            ResponseTooLargeError: If it is too much.
        """
        framing = MAX_FRAMING_BYTES * self._received_body_bytes
        beside_bodies = self._received_bytes - self._received_body_bytes
        if beside_bodies > MAX_HEAD_BYTES + framing:
            raise ResponseTooLargeError("too many bytes beside the response body")

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

    def _reset(self):
        self._phrase = b""
        self._headers = []
        self._body = bytearray()
        self._body_size = 0
        self._head_cost = 0
        self._is_awaited = True
        self._is_framed = False
        self._in_body = False
        self._ends_at_close = False


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
