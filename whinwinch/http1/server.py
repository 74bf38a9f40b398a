"""The serving side of HTTP/1.1: connections, pipelining, cancellation.

Load pattern: many kept connections, each with a few requests at a time. A
thread for each would hold its stack for as long as a request is out and could
not notice that its caller hung up; here a request is a task, which is cancelled
when the connection goes.
"""

import asyncio
import collections
import itertools
from typing import NamedTuple

import httptools
from absl import logging

from . import messages

# Seconds for which a connection that was answered for the last time is still
# read: closed with unread bytes it would be reset, and the answer lost.
LINGER_SECONDS = 0.5
# Requests of one connection worked on at once; reading stops at that many, so a
# caller can't fill the memory with requests sent ahead.
MOST_PIPELINED = 16


class Limits(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body.
        header_seconds: Longest time from the first byte to the whole head.
        idle_seconds: Longest time between two requests.
    """

    header_bytes: int = 32 << 10
    body_bytes: int = 4 << 20
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


class Sender(NamedTuple):
    """Where a request came from: the IP number, and the connection's number."""

    host: str
    connection: int


class Slot:
    """One request of a connection and its answer, sent in the order received."""

    __slots__ = ("answer", "is_head", "keep_alive", "task")

    def __init__(self, keep_alive, is_head):
        self.keep_alive = keep_alive
        self.is_head = is_head
        self.task = None
        self.answer = None


class Connection(asyncio.Protocol):
    """One accepted connection.

    Args:
        server: The `Server` that it belongs to.
    """

    def __init__(self, server):
        self._server = server
        self._transport = None
        self._sender = None
        self._parser = httptools.HttpRequestParser(self)
        self._slots = collections.deque()
        self._timer = None
        self._is_closing = False
        self._writable = True
        self._read_time = 0.0
        self._reset()

    def connection_made(self, transport):
        """Take the connection over."""
        self._transport = transport
        host = transport.get_extra_info("peername")[0]
        self._sender = Sender(host, next(self._server.numbers))
        self._server.connections.add(self)
        self._read_time = self._server.loop.time()
        self._arm()

    def connection_lost(self, exc):
        """Cancel what is under way: nobody is there for the answers."""
        self._server.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()
        self._slots.clear()
        self._transport = None

    def data_received(self, data):
        """Feed the parser; what can't be framed ends the connection."""
        if self._is_closing:
            return
        self._read_time = self._server.loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # An upgrade is declined by answering as if it wasn't asked for;
            # what follows could be another protocol, so nothing more is read.
            self._is_closing = True
            if self._slots:
                self._slots[-1].keep_alive = False
                self._in_head = False
        except httptools.HttpParserError:
            self._refuse_input(self._fault or 400)
        self._check_pressure()

    def eof_received(self):
        """Answer a request that was cut off half way; none of it is handed on.

        Returns:
            Whether the connection is kept, for that answer only.
        """
        if not self._in_head or self._is_closing:
            return False
        self._refuse_input(400)
        return True

    def pause_writing(self):
        """Read no more requests while the caller doesn't read its answers."""
        self._writable = False
        self._check_pressure()

    def resume_writing(self):
        """Go on reading."""
        self._writable = True
        self._check_pressure()

    def on_message_begin(self):
        """Begin a request."""
        self._reset()

    def on_url(self, url):
        """Take a part of the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name, value):
        """Take a header; trailers behind the body are dropped."""
        if self._in_body:
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self):
        """Invite the body where the caller waits for that."""
        self._in_body = True
        expect = messages.find_header(self._headers, "expect")
        if expect.lower() == "100-continue" and not self._slots:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body):
        """Take a part of the body."""
        self._size += len(body)
        if self._size > self._server.limits.body_bytes:
            self._fault = 413
            raise ValueError("the body is too large")
        self._body.append(body)

    def on_message_complete(self):
        """Start to serve a whole request."""
        keep_alive = self._parser.should_keep_alive()
        request = messages.HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            b"".join(self._body),
            keep_alive,
        )
        slot = Slot(keep_alive, request.method == "HEAD")
        self._slots.append(slot)
        self._in_head = False
        slot.task = self._server.loop.create_task(self._serve(slot, request))

    def stop_reading(self):
        """Let the next answer be the last; an idle connection is closed."""
        if not self._slots and not self._in_head and self._transport is not None:
            self._transport.close()

    def serves(self, task):
        """Return whether a task answers a request of this connection."""
        return any(slot.task is task for slot in self._slots)

    def abort(self):
        """Drop the connection and what is under way for it."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_idle(self):
        """Whether no request is being read or answered."""
        return not self._slots and not self._in_head

    async def _serve(self, slot, request):
        try:
            slot.answer = await self._server.handle(request, self._sender)
        except Exception:
            # One request that meets a fault of ours must not leave those
            # behind it on its connection without an answer.
            logging.exception("a request could not be handled")
            slot.answer = messages.HttpResponse(500, "Internal Server Error")
        self._flush()

    def _flush(self):
        """Send the answers that are due, in the order of their requests."""
        while self._slots and self._slots[0].answer is not None:
            slot = self._slots.popleft()
            if self._transport is None:
                return
            closing = not slot.keep_alive or not slot.answer.keep_alive
            closing = closing or self._server.is_stopping
            data = messages.format_response(slot.answer, closing, slot.is_head)
            self._transport.write(data)
            if closing:
                self._drop_rest()
                return
        self._check_pressure()

    def _drop_rest(self):
        """Close behind an answer; what was sent behind it counts as not read."""
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()
        self._slots.clear()
        self._is_closing = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(LINGER_SECONDS, self._transport.close)

    def _refuse_input(self, status):
        """Answer what can't be read, behind the answers still due, and close."""
        slot = Slot(False, False)
        slot.answer = self._server.refuse(status)
        self._slots.append(slot)
        self._is_closing = True
        self._in_head = False
        self._flush()

    def _count_head(self, size):
        self._in_head = True
        self._head_size += size
        if self._head_size > self._server.limits.header_bytes:
            self._fault = 431
            raise ValueError("the head is too large")

    def _reset(self):
        self._target = b""
        self._headers = []
        self._body = []
        self._size = 0
        self._head_size = 0
        self._in_head = False
        self._in_body = False
        self._fault = 0

    def _check_pressure(self):
        if self._transport is None or self._transport.is_closing():
            return
        if self._writable and len(self._slots) < MOST_PIPELINED:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _arm(self):
        limits = self._server.limits
        wait = limits.header_seconds if self._in_head else limits.idle_seconds
        due = self._read_time + wait
        self._timer = self._server.loop.call_at(due, self._check_time)

    def _check_time(self):
        """Close an idle connection, or one whose head doesn't get complete."""
        if self._transport is None or self._is_closing:
            return
        limits = self._server.limits
        since = self._server.loop.time() - self._read_time
        if self.is_idle and since >= limits.idle_seconds:
            self._transport.close()
        elif self._in_head and since >= limits.header_seconds:
            self._refuse_input(408)
        else:
            if self._slots:
                self._read_time = self._server.loop.time()
            self._arm()


def refuse_plainly(status):
    """Return the answer to what can't be read, without a body."""
    return messages.HttpResponse(status, "Bad Request")


class Server:
    """A listening address and its connections.

    Args:
        handle: Coroutine function from `messages.HttpRequest` and its `Sender` to
            `messages.HttpResponse`. It is cancelled when the
            caller hangs up.
        limits: `Limits`; may be replaced while it runs.
        refuse: Function from a status code to the `messages.HttpResponse` for what
            can't be read as a request.
    """

    def __init__(self, handle, limits, refuse=refuse_plainly):
        self.loop = asyncio.get_running_loop()
        self.handle = handle
        self.limits = limits
        self.refuse = refuse
        self.connections = set()
        self.numbers = itertools.count(1)
        self.is_stopping = False
        self._listener = None

    async def listen(self, host, port, backlog=1024):
        """Accept connections.

        Args:
            host: IP number.
            port: Port; 0 for a free one.
            backlog: Connections that may wait to be accepted.

        Returns:
            The port.
        """
        self._listener = await self.loop.create_server(
            lambda: Connection(self), host, port, backlog=backlog, reuse_address=True
        )
        return self._listener.sockets[0].getsockname()[1]

    def begin_stop(self):
        """Close each connection behind its next answer."""
        self.is_stopping = True

    def end_stop(self):
        """Accept nothing more and close the connections that are idle."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.stop_reading()

    def abort(self):
        """Accept nothing more and drop all connections, answered or not."""
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self.connections):
            connection.abort()

    @property
    def is_idle(self):
        """Whether no connection waits for an answer."""
        return all(connection.is_idle for connection in self.connections)
