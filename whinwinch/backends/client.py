"""Requests to the backend server beside the daemon, over HTTP."""

import urllib3

from ..messages import Answer, Outcome, Reason, build_failure

CONNECT_TIMEOUT = 1.0
# These belong to one connection, not to the request or the answer.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class BackendClient:
    """Kept connections to one backend server.

    Args:
        address: "host:port" of the backend server.
        connections: Connections that it accepts.
        max_body: Largest answer taken, in bytes.
    """

    def __init__(self, address, connections, max_body):
        host, _, port = address.rpartition(":")
        self._max_body = max_body
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections, block=False, retries=False
        )

    def forward(self, request, left):
        """Send one attempt and return its answer; never raises for the network.

        Args:
            request: The attempt.
            left: Seconds until its deadline.
        """
        timeout = urllib3.Timeout(connect=min(left, CONNECT_TIMEOUT), total=left)
        try:
            response = self._pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=_build_headers(request, left),
                timeout=timeout,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            return self._read_answer(request, response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            # No connection, so not a byte has been sent.
            return build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT, 503)
        except urllib3.exceptions.TimeoutError:
            return build_failure(request, Outcome.UNKNOWN, Reason.DEADLINE, 504)
        except (urllib3.exceptions.HTTPError, OSError):
            return build_failure(request, Outcome.UNKNOWN, Reason.BROKEN, 502)

    def _read_answer(self, request, response):
        """Read the whole body; half of one is no answer."""
        try:
            body = response.read(self._max_body + 1)
            if len(body) > self._max_body:
                response.close()
                return build_failure(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
            # Reading on to the end makes urllib3 check the length: a backend
            # server that died half way shows only here.
            body += response.read()
        finally:
            response.release_conn()
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return Answer(
            request.attempt,
            Outcome.COMPLETED,
            status=response.status,
            headers=headers,
            body=body,
        )

    def close(self):
        """Close the kept connections."""
        self._pool.close()


def _build_headers(request, left):
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        if name.lower() not in HOP_HEADERS:
            headers.add(name, value)
    headers["X-Request-Id"] = request.attempt
    headers["Whinwinch-Root"] = request.root
    headers["Whinwinch-Timeout"] = str(max(1, int(left * 1000)))
    if request.key:
        headers["Idempotency-Key"] = request.key
    return headers
