"""What the stand-in servers share: a WSGI server, JSON answers, broken answers."""

import errno
import json
import signal
import threading
from typing import NamedTuple
from urllib.parse import parse_qs

from cheroot import wsgi

BACKLOG = 512
EXPIRATION_INTERVAL = 0.1
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
    """Where a server listens.

    Attributes:
        host: IP number.
        port: TCP port; 0 lets the system choose one.
    """

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class Reply(NamedTuple):
    """An answer of a stand-in, before it is sent.

    Attributes:
        status: HTTP status.
        body: The whole body.
        headers: Pairs of header name and value.
        part: Bytes of the body that are sent before the connection is closed;
            None sends the whole body.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    part: int | None = None


def parse_address(text):
    """Read "host:port".

    Raises:
        ValueError: When there is no port or it isn't a number.
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def form_json(status, value, headers=()):
    """Return a `Reply` whose body is the value as JSON."""
    body = json.dumps(value).encode()
    return Reply(status, body, (("Content-Type", "application/json"), *headers))


def read_body(environ):
    """Return the whole body of a WSGI request."""
    if environ.get("wsgi.input_terminated"):
        return environ["wsgi.input"].read()
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def read_query(environ):
    """Return the query of a WSGI request; of a name given twice the last counts."""
    pairs = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return {name: values[-1] for name, values in pairs.items()}


def break_connection():
    """Close the connection of the request at hand without another byte.

    Raises:
        ConnectionResetError: Always. The server closes a connection on it and
            sends nothing, where any other error would become a status of 500.
    """
    raise ConnectionResetError(errno.ECONNRESET, "closed by a fault that was set")


def wrap_application(answer):
    """Make a WSGI callable of a function from environ to `Reply`."""

    def serve(environ, start_response):
        reply = answer(environ)
        length = ("Content-Length", str(len(reply.body)))
        status = f"{reply.status} {REASONS.get(reply.status, 'Other')}"
        start_response(status, [*reply.headers, length])
        if reply.part is None:
            return [reply.body]
        return _send_part(reply.body[: reply.part])

    return serve


def _send_part(body):
    yield body
    break_connection()


def build_server(address, answer, threads):
    """Bind a server that answers with `answer(environ) -> Reply`.

    Args:
        address: `Address`; with port 0 read the real one by `find_address`.
        answer: Function from the WSGI environ to a `Reply`.
        threads: Requests that can be answered at once.
    """
    server = wsgi.Server(
        tuple(address),
        wrap_application(answer),
        numthreads=threads,
        request_queue_size=BACKLOG,
        timeout=60,
        shutdown_timeout=1,
    )
    # Beyond the default of ten kept connections the server closes each one
    # after its answer; callers would then see resets and pay for connecting.
    server.keep_alive_conn_limit = None
    # How long stopping may take.
    server.expiration_interval = EXPIRATION_INTERVAL
    server.prepare()
    return server


def find_address(server):
    """Return the `Address` that a prepared server listens on."""
    return Address(*server.socket.getsockname()[:2])


def start_server(server):
    """Serve on a thread of its own and return that thread."""
    thread = threading.Thread(target=server.serve, name="server", daemon=True)
    thread.start()
    return thread


def wait_for_signal():
    """Return once SIGTERM or SIGINT has come."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait()
