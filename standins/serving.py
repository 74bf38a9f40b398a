"""WSGI server, JSON replies and truncated replies of the stand-in servers."""

import errno
import json
import signal
import threading
from typing import NamedTuple
from urllib.parse import parse_qs

from cheroot import wsgi

BACKLOG = 512  # connections
EXPIRATION_INTERVAL = 0.1  # seconds
REASONS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class Address(NamedTuple):
    """Address that a server listens on.

    Attributes:
        host: IP address.
        port: TCP port; with 0 the system chooses a free one.
    """

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class Reply(NamedTuple):
    """HTTP response of a stand-in server, before it is sent.

    Attributes:
        status: HTTP status.
        body: Complete body.
        headers: Pairs of header name and value.
        part: Number of bytes of the body that are sent before the connection is
            closed; None sends the complete body.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    part: int | None = None


def parse_address(text):
    """Parse "host:port".

    Raises:
        ValueError: When the port is missing or no number.
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def form_json(status, value, headers=()):
    """Return a `Reply` whose body is the value as JSON."""
    body = json.dumps(value).encode()
    return Reply(status, body, (("Content-Type", "application/json"), *headers))


def read_body(environ):
    """Return the complete body of a WSGI request."""
    if environ.get("wsgi.input_terminated"):
        return environ["wsgi.input"].read()
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def read_query(environ):
    """Return the query of a WSGI request; the last value of a repeated name wins."""
    pairs = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return {name: values[-1] for name, values in pairs.items()}


def break_connection():
    """Close the connection of the current request without sending more bytes.

    Raises:
        ConnectionResetError: Always. On this error the server closes the
            connection and sends nothing; any other error would become a
            response with status 500.
    """
    raise ConnectionResetError(errno.ECONNRESET, "closed by an injected fault")


def wrap_application(answer):
    """Return a WSGI application that sends the `Reply` of a function.

    Args:
        answer: Function from the WSGI environ to a `Reply`.
    """

    def serve(environ, start_response):
        reply = answer(environ)
        length = ("Content-Length", str(len(reply.body)))
        status = f"{reply.status} {REASONS.get(reply.status, 'Other')}"
        start_response(status, [*reply.headers, *_echo_attempt(environ), length])
        if reply.part is None:
            return [reply.body]
        return _send_part(reply.body[: reply.part])

    return serve


def _echo_attempt(environ):
    """Return the header by which a daemon tells answers of a connection apart."""
    attempt = environ.get("HTTP_WHINWINCH_ATTEMPT")
    return [("Whinwinch-Attempt", attempt)] if attempt else []


def _send_part(body):
    yield body
    break_connection()


def build_server(address, answer, threads):
    """Create a server that is bound to its address.

    Args:
        address: `Address`; if its port is 0, `find_address` returns the actual one.
        answer: Function from the WSGI environ to a `Reply`.
        threads: Maximum number of requests that are processed concurrently.
    """
    server = wsgi.Server(
        tuple(address),
        wrap_application(answer),
        numthreads=threads,
        request_queue_size=BACKLOG,
        timeout=60,
        shutdown_timeout=1,
    )
    # By default the server keeps ten connections alive and closes all others after
    # their response; callers would then see resets and have to reconnect.
    server.keep_alive_conn_limit = None
    # Interval of the server's expiration checks, which also delay its stop.
    server.expiration_interval = EXPIRATION_INTERVAL
    server.prepare()
    return server


def find_address(server):
    """Return the `Address` that a bound server listens on."""
    return Address(*server.socket.getsockname()[:2])


def start_server(server):
    """Start serving on a new thread and return the thread."""
    thread = threading.Thread(target=server.serve, name="server", daemon=True)
    thread.start()
    return thread


def wait_for_signal():
    """Wait until SIGTERM or SIGINT arrives."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait()
