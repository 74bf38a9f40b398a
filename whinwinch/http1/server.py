"""HTTP/1.1 server with pipelining and cancellation.

The load is many keep-alive connections, each with a few requests at a time. A thread
per request would occupy its stack while the request is pending and could not notice
that the caller has disconnected. Here each request is a task, which is cancelled when
the connection is lost.
"""

import asyncio
import collections
import itertools
from typing import NamedTuple

import httptools
from absl import logging

from . import messages

# Seconds for which a connection is still read after its last response. Closing it with
# unread bytes would reset it, and the response would be lost.
LINGER_SECONDS = 0.5
# Maximum number of pending requests of one connection. Reading stops there, so that a
# caller can't fill the memory with pipelined requests.
MAX_PIPELINED = 16
# Bytes of framing that may come with each byte of a body: those of a chunk of one byte.
MAX_FRAMING_BYTES = 5


class RequestTooLargeError(Exception):
    """A caller sends more than the limits allow."""


class Limits(NamedTuple):
    """Limits on the size and duration of requests.

    Attributes:
        header_bytes: Maximum size of the target and headers of a request.
        body_bytes: Maximum size of a body.
        header_seconds: Maximum time without received bytes within a request.
        idle_seconds: Maximum time between two requests.
    """

    header_bytes: int = 32 << 10
    body_bytes: int = 4 << 20
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


class Sender(NamedTuple):
    """The source of a request: the IP address and the number of the connection."""

    host: str
    connection: int


class PendingResponse:
    """The task of a request and its response, sent in the order of the requests."""

    __slots__ = ("is_head", "keep_alive", "response", "task")

    def __init__(self, keep_alive, is_head):
        self.keep_alive = keep_alive
        self.is_head = is_head
        self.task = None
        self.response = None


class Connection(asyncio.Protocol):
    """A connection accepted from a caller.

    Args:
        server: The `Server` that accepted it.
    """

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._sender = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending = collections.deque()
        self._timer = None
        self._is_closing = False
        self._writable = True
        self._last_read_time = 0.0
        self._reset()

    def connection_made(self, transport):
        """Register the new connection and start its timer."""
        self._transport = transport
        host = transport.get_extra_info("peername")[0]
        self._sender = Sender(host, next(self._server.connection_numbers))
        self._server.connections.add(self)
        self._last_read_time = self._server.loop.time()
        self._start_timer()

    def connection_lost(self, exc):
        """Cancel the pending requests, since nobody can receive the responses."""
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()
        self._transport = None

    def data_received(self, data):
        """Feed the parser; reject invalid input and close the connection."""
        if self._is_closing:
            return
        self._last_read_time = self._server.loop.time()
        self._has_begun = False
        try:
            self._parser.feed_data(data)
            self._check_received_size(len(data))
        except httptools.HttpParserUpgrade:
            # An upgrade is declined by answering the request as if it had none. The
            # following bytes may be of another protocol, so reading stops.
            self._is_closing = True
            if self._pending:
                self._pending[-1].keep_alive = False
                self._in_request = False
        except httptools.HttpParserError:
            self._reject_input(self._error_status or 400)
        except RequestTooLargeError:
            self._reject_input(self._error_status)
        self._apply_backpressure()

    def eof_received(self):
        """Reject a truncated request without passing any of it to the handler.

        Returns:
            Whether the connection stays open, for that response only.
        """
        if not self._in_request or self._is_closing:
            return False
        self._reject_input(400)
        return True

    def pause_writing(self):
        """Stop reading requests while the caller doesn't read its responses."""
        self._writable = False
        self._apply_backpressure()

    def resume_writing(self):
        """Resume reading requests."""
        self._writable = True
        self._apply_backpressure()

    def on_message_begin(self):
        """Begin a request."""
        self._reset()
        self._has_begun = True

    def on_url(self, url):
        """Add a part of the target."""
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name, value):
        """Add a header; trailers after the body are dropped."""
        if self._in_body:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self):
        """Send "100 Continue" if the caller waits for it."""
        self._in_body = True
        expect = messages.find_header(self._headers, "expect")
        if expect.lower() == "100-continue" and not self._pending:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        """Add a part of the body."""
        self._body_size += len(body)
        if self._body_size > self._server.limits.body_bytes:
            self._error_status = 413
            raise RequestTooLargeError("request body too large")
        self._body += body

    def on_message_complete(self):
        """Start a task that serves the complete request."""
        keep_alive = self._parser.should_keep_alive()
        request = messages.HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            bytes(self._body),
            keep_alive,
        )
        pending = PendingResponse(keep_alive, request.method == "HEAD")
        self._pending.append(pending)
        self._in_request = False
        pending.task = self._server.loop.create_task(self._serve(pending, request))

    def close_if_idle(self):
        """Close the connection unless a request is being read or answered."""
        if not self._pending and not self._in_request and self._transport is not None:
            self._transport.close()

    def serves(self, task):
        """Return whether a task serves a request of this connection."""
        return any(pending.task is task for pending in self._pending)

    def abort(self):
        """Abort the connection, which cancels its pending requests."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_reading(self):
        """Whether a request has been received in part."""
        return self._in_request

    @property
    def pending_count(self):
        """Number of requests that are being answered."""
        return len(self._pending)

    @property
    def is_idle(self):
        """Whether no request is being read or answered."""
        return not self._pending and not self._in_request

    @property
    def has_unsent_bytes(self):
        """Whether bytes of a response wait for the caller to read."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    async def _serve(self, pending, request):
        try:
            pending.response = await self._server.handle(request, self._sender)
        except Exception:
            # An error in the handler must not leave the following requests of the
            # connection without a response.
            logging.exception("request handler failed")
            pending.response = messages.HttpResponse(500, "Internal Server Error")
        self._flush()

    def _flush(self):
        """Send the responses that are ready, in the order of their requests."""
        while self._pending and self._pending[0].response is not None:
            pending = self._pending.popleft()
            if self._transport is None:
                return
            closing = not pending.keep_alive or not pending.response.keep_alive
            if self._server.is_stopping:
                # The later requests of the connection may be running. They are
                # answered, and those that have not been read are sent again elsewhere.
                self._stop_reading()
                closing = closing or not self._pending
            data = messages.format_response(pending.response, closing, pending.is_head)
            self._transport.write(data)
            if closing:
                self._close_after_response()
                return
        self._apply_backpressure()

    def _stop_reading(self):
        self._is_closing = True
        self._in_request = False

    def _close_after_response(self):
        """Close after a response and cancel the later requests."""
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()
        self._stop_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(LINGER_SECONDS, self._transport.close)

    def _reject_input(self, status):
        """Reject invalid input, after the pending responses, and close."""
        pending = PendingResponse(False, False)
        pending.response = self._server.refuse(status)
        self._pending.append(pending)
        self._stop_reading()
        self._flush()

    def _add_header_bytes(self, size):
        self._in_request = True
        self._header_size += size
        if self._header_size > self._server.limits.header_bytes:
            self._error_status = 431
            raise RequestTooLargeError("request headers too large")

    def _check_received_size(self, size):
        """Limit what is received of a request beside its body.

        A single header, a trailer or a chunk's extension without end never reaches a
        callback of the parser.

        Args:
            size: Bytes just received. Those in which the request begins aren't
                counted, as earlier requests may end in them.

        Raises:
            RequestTooLargeError: If it is too much.
        """
        if not self._in_request or self._has_begun:
            return
        self._received_bytes += size
        allowed = self._server.limits.header_bytes
        allowed += MAX_FRAMING_BYTES * self._body_size
        if self._received_bytes - self._body_size > allowed:
            self._error_status = 431
            raise RequestTooLargeError("request headers or trailers too large")

    def _reset(self):
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._body_size = 0
        self._header_size = 0
        self._received_bytes = 0
        self._in_request = False
        self._in_body = False
        self._error_status = 0

    def _apply_backpressure(self):
        if self._transport is None or self._transport.is_closing():
            return
        if self._writable and len(self._pending) < MAX_PIPELINED:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _start_timer(self):
        limits = self._server.limits
        wait = limits.header_seconds if self._in_request else limits.idle_seconds
        due = self._last_read_time + wait
        self._timer = self._server.loop.call_at(due, self._check_timeouts)

    def _check_timeouts(self):
        """Close an idle connection, or reject an incomplete request after its timeout.

        The time of pending requests doesn't count.
        """
        if self._transport is None or self._is_closing:
            return
        limits = self._server.limits
        elapsed = self._server.loop.time() - self._last_read_time
        if self.is_idle and elapsed >= limits.idle_seconds:
            self._transport.close()
        elif self._in_request and elapsed >= limits.header_seconds:
            self._reject_input(408)
        else:
            if self._pending:
                self._last_read_time = self._server.loop.time()
            self._start_timer()


def build_plain_refusal(status):
    """Return a response without a body for input that is not a valid request."""
    return messages.HttpResponse(status, "Bad Request")


class Server:
    """A listening socket and its connections.

    Args:
        handle: Coroutine function from `messages.HttpRequest` and its `Sender` to
            `messages.HttpResponse`. It is cancelled when the caller disconnects.
        limits: `Limits`; may be replaced while the server runs.
        refuse: Function from a status code to the `messages.HttpResponse` for input
            that is not a valid request.
    """

    def __init__(self, handle, limits, refuse=build_plain_refusal):
        self.loop = asyncio.get_running_loop()
        self.handle = handle
        self.limits = limits
        self.refuse = refuse
        self.connections = set()
        self.connection_numbers = itertools.count(1)
        self.is_stopping = False
        self._listener = None

    async def listen(self, host, port, backlog=1024):
        """Accept connections.

        Args:
            host: IP address.
            port: Port; 0 for a free one.
            backlog: Connections that may wait to be accepted.

        Returns:
            The port that it listens on.
        """
        self._listener = await self.loop.create_server(
            lambda: Connection(self), host, port, backlog=backlog, reuse_address=True
        )
        return self._listener.sockets[0].getsockname()[1]

    def begin_stop(self):
        """Close each connection after its next response."""
        self.is_stopping = True

    def end_stop(self):
        """Stop listening and close the idle connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def abort(self):
        """Stop listening and abort all connections, pending requests included."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.abort()

    @property
    def is_idle(self):
        """Whether no request is being read or answered, and all bytes are sent."""
        return all(
            connection.is_idle and not connection.has_unsent_bytes
            for connection in self.connections
        )

    def count_pending(self):
        """Return the number of requests that are being answered."""
        return sum(connection.pending_count for connection in self.connections)

    def count_unread(self):
        """Return the number of requests that have been received in part."""
        return sum(connection.is_reading for connection in self.connections)
