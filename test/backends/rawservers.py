"""A backend server that answers with scripted bytes, and a guard in front of it."""

import asyncio

from test import requests
from whinwinch import callgraph, crashes, repeats, stopwindow
from whinwinch.backends import guard, interface
from whinwinch.http1.messages import find_header
from whinwinch.platform import dialect
from whinwinch.settings import Address

IDENTITY = "i-1"
HEAD_END = b"\r\n\r\n"


def build_response(status, identifier, *more, body=b""):
    """Return the bytes of a response; an empty identifier is left out."""
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}", *more]
    if identifier:
        lines.append(f"X-Request-Id: {identifier}")
    return "\r\n".join((*lines, "", "")).encode() + body


def build_attempt_response(attempt, body):
    """Return the bytes of an answer on the product's own interface.

    Args:
        attempt: Identifier of the attempt, "" for an answer that doesn't name it.
        body: Body of the answer.
    """
    more = (f"Whinwinch-Attempt: {attempt}",) if attempt else ()
    return build_response(200, "", *more, body=body)


def build_refusal(identifier):
    """Return the bytes of a response that says that a request has not run."""
    return build_response(503, identifier, "X-Not-Executed: 1")


def build_success(identifier, body=b"whole"):
    """Return the bytes of a successful response."""
    return build_response(200, identifier, "X-Response-Seal: s", body=body)


class RawServer:
    """A server that hands each request to a function which writes the answer.

    Args:
        answer: Coroutine function from the identifier of a request, the number of its
            connection and the stream writer.
    """

    def __init__(self, answer):
        self._answer = answer
        self._listener = None
        self._tasks = set()
        self.connections = 0

    async def listen(self):
        """Accept connections and return the port."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._listener.sockets[0].getsockname()[1]

    async def close(self):
        """Close all connections."""
        self._listener.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(HEAD_END)).decode()
                fields = [line.partition(": ")[::2] for line in head.split("\r\n")]
                identifier = find_header(fields, "x-request-id")
                await self._answer(identifier, connection, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The stream protocol logs a task that ends by being cancelled.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()


def build_guard(port):
    """Return a `guard.Guard` of the platform's backend server at a port."""
    loop = asyncio.get_running_loop()
    limits = repeats.RepeatLimits(1.0, 1000.0, 10.0)
    built = guard.Guard(
        Address("127.0.0.1", port),
        interface.Dialect(
            dialect.format_backend_request,
            dialect.parse_backend_answer,
            dialect.is_answer_to,
            dialect.read_notice,
            dialect.find_identifier,
        ),
        repeats.RepeatBudget(limits, lambda: 1, loop.time() - 10.0),
        lambda request: 1.0,
        callgraph.CallGraph(),
        lambda: 2,
        crashes.CrashHistory(),
        lambda backend, requests: None,
        lambda identity: None,
        stopwindow.StopWindow(),
    )
    built.install(interface.Backend(IDENTITY, "s", 50))
    return built


def build_attempt(attempt, identifier, seconds=5.0, **changed):
    """Return a `messages.Request` of non-idempotent work with an identifier."""
    return requests.build(
        attempt,
        root=identifier,
        method="POST",
        headers=(("X-Request-Id", identifier),) if identifier else (),
        deadline=asyncio.get_running_loop().time() + seconds,
        repeatable=False,
        **changed,
    )
