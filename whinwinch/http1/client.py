"""The asking side of HTTP/1.1: kept connections, whole answers.

What can go wrong here decides whether a request may be sent again. A request
that found no connection was not sent; one whose connection broke after it was
written may have run; an answer that is cut short, or followed by bytes that
belong to no request, must reach nobody. Each has an exception of its own.
"""

import asyncio
import collections
import math

import httptools

from . import messages

# A new connection on the own instance or within a region takes a few round
# trips; one lost packet costs a second, and by then another endpoint is better.
CONNECT_SECONDS = 1.0
# A kept connection is used for this share of the time its server keeps it idle:
# a request that crosses the server's close may have run or not.
IDLE_SHARE = 0.6
# Used where the server doesn't say how long it keeps an idle connection.
IDLE_SECONDS = 5.0


class NotSentError(Exception):
    """No connection could be had, so not a byte was sent."""


class BrokenError(Exception):
    """The connection or the answer broke after the request was sent."""


def _accept(response):
    return True


class ClientConnection(asyncio.Protocol):
    """One connection to a server, for one request at a time."""

    def __init__(self, loop, most_body):
        self._loop = loop
        self._most_body = most_body
        self._transport = None
        self._parser = None
        self._waiter = None
        self._until_close = False
        self._is_spoilt = False
        self._is_head = False
        self._accepts = _accept
        self._keep_seconds = IDLE_SECONDS
        self._keep_text = ""
        self.idle_until = math.inf

    def connection_made(self, transport):
        """Take the connection over."""
        self._transport = transport

    def connection_lost(self, exc):
        """End the answer under way: whole only if it may end this way."""
        self._transport = None
        self._is_spoilt = True
        if self._waiter is None:
            return
        if exc is None and self._until_close:
            self._finish(False)
        else:
            self._fail("the connection was closed before the answer was whole")

    def data_received(self, data):
        """Feed the parser; bytes that nobody asked for end the connection."""
        if self._waiter is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._is_spoilt = True
            self._fail(f"the answer can't be read: {error}")
            self.close()

    @property
    def is_open(self):
        """Whether another request may be sent."""
        return self._transport is not None and not self._is_spoilt

    async def exchange(self, data, is_head, accepts, until):
        """Send the bytes of a request and return the `messages.HttpResponse`.

        Args:
            data: The bytes.
            is_head: Whether the answer has no body, whatever length it states.
            accepts: Function that tells whether an answer belongs to the request.
            until: Time of the loop's clock by which the answer must be whole.

        Raises:
            BrokenError: When no whole answer came; the request may have run.
            TimeoutError: When it didn't come in time; the request may have run.
        """
        self._accepts = accepts
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self._reset()
        self._waiter = self._loop.create_future()
        timer = self._loop.call_at(until, self._expire)
        self._transport.write(data)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            # The server drops a request whose connection closes; kept, the
            # late answer would be taken for that of the next request.
            self.abort()
            raise
        finally:
            timer.cancel()
            self._waiter = None

    def close(self):
        """Close the connection."""
        self._is_spoilt = True
        if self._transport is not None:
            self._transport.close()

    def abort(self):
        """Close the connection without sending what is still to be written."""
        self._is_spoilt = True
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self):
        """Begin an answer; a second one to a request belongs to nobody."""
        if self._waiter is None or self._waiter.done():
            self._is_spoilt = True
            return
        self._reset()

    def on_status(self, status):
        """Take a part of the text behind the status code."""
        self._phrase += status

    def on_header(self, name, value):
        """Take a header; trailers behind the body are dropped."""
        if self._in_body:
            return
        key, text = name.decode("latin-1"), value.decode("latin-1")
        self._headers.append((key, text))
        lowered = key.lower()
        if lowered in ("content-length", "transfer-encoding"):
            self._is_framed = True
        elif lowered == "keep-alive":
            self._read_keep_alive(text)

    def on_headers_complete(self):
        """Find out how the body ends."""
        self._in_body = True
        status = self._parser.get_status_code()
        has_body = status >= 200 and status not in (204, 304)
        self._until_close = has_body and not self._is_framed
        if self._is_head and status >= 200:
            # No body follows, whatever length is stated; the parser would wait
            # for it, so the connection is not used again.
            self._until_close = False
            self._finish(False)

    def on_body(self, body):
        """Take a part of the body."""
        self._size += len(body)
        if self._size > self._most_body:
            raise ValueError("the answer is too large")
        self._body.append(body)

    def on_message_complete(self):
        """Hand a whole answer over; an interim one is dropped."""
        if self._parser.get_status_code() < 200 or self._until_close:
            return
        self._finish(self._parser.should_keep_alive())

    def _finish(self, keep_alive):
        if self._waiter is None or self._waiter.done():
            return
        if not keep_alive:
            self._is_spoilt = True
        response = messages.HttpResponse(
            self._parser.get_status_code(),
            self._phrase.decode("latin-1"),
            tuple(self._headers),
            b"".join(self._body),
            keep_alive,
        )
        if not self._accepts(response):
            # A second answer to an earlier request that came late: this one's
            # own is still to come. What else comes here isn't to be trusted.
            self._is_spoilt = True
            return
        self.idle_until = self._loop.time() + self._keep_seconds
        self._waiter.set_result(response)

    def _expire(self):
        """Give up an answer that takes too long, and its connection with it."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(TimeoutError())
        self.abort()

    def _fail(self, why):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(BrokenError(why))

    def _read_keep_alive(self, text):
        # A server says the same in each answer.
        if text == self._keep_text:
            return
        self._keep_text = text
        for part in text.split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self._keep_seconds = int(value) * IDLE_SHARE

    def _reset(self):
        self._phrase = b""
        self._headers = []
        self._body = []
        self._size = 0
        self._is_framed = False
        self._in_body = False
        self._until_close = False


class Pool:
    """Kept connections to one address, the last used first.

    Args:
        host: IP number.
        port: Port.
        most_body: Largest answer taken, in bytes.
    """

    def __init__(self, host, port, most_body):
        self._loop = asyncio.get_running_loop()
        self._address = (host, port)
        self._most_body = most_body
        self._idle = collections.deque()

    async def exchange(self, data, until, is_head=False, accepts=_accept):
        """Send the bytes of a request and return the `messages.HttpResponse`.

        Args:
            data: The bytes.
            until: Time of the loop's clock by which the answer must be whole.
            is_head: Whether the answer has no body, whatever length it states.
            accepts: Function that tells whether an answer belongs to the request.

        Raises:
            NotSentError: When no connection could be had.
            BrokenError: When no whole answer came; the request may have run.
            TimeoutError: When it didn't come in time; the request may have run.
        """
        connection = self._take() or await self._open(until)
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

    def _take(self):
        """Return an idle connection that its server surely still keeps."""
        now = self._loop.time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and now < connection.idle_until:
                return connection
            connection.close()
        return None

    async def _open(self, until):
        latest = min(until, self._loop.time() + CONNECT_SECONDS)
        try:
            async with asyncio.timeout_at(latest):
                _, connection = await self._loop.create_connection(
                    lambda: ClientConnection(self._loop, self._most_body),
                    *self._address,
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to {self._address}: {error}") from error
        return connection
