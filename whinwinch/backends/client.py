"""HTTP client that sends attempts to the local backend server.

A backend server may send a second answer, late, where that of the next request is
expected. `Whinwinch-Attempt`, which backend servers send back, tells whose it is; a
connection on which an answer comes without it is not used again.
"""

import functools

from absl import logging

from ..http1 import client
from ..http1.messages import HttpRequest, drop_headers, find_header, format_request
from ..messages import Answer, Outcome, Reason, build_failure

# Header with the identifier of an attempt, in the request and in its answer. It is not
# `X-Request-Id`, which backend servers may set as they like.
ATTEMPT = "whinwinch-attempt"


class BackendClient:
    """Connection pool of one backend server.

    Args:
        address: "host:port" of the backend server.
        max_body: Maximum size of an answer's body, in bytes.
    """

    def __init__(self, address, max_body):
        host, _, port = address.rpartition(":")
        self._address = address
        self._pool = client.Pool(host, int(port), max_body)

    async def forward(self, request, remaining):
        """Send one attempt and return its answer, also after a network error.

        Args:
            request: The attempt.
            remaining: Seconds until its deadline.
        """
        data = _format_attempt(request, remaining, self._address)
        is_head = request.method == "HEAD"
        accepts = functools.partial(_may_answer, request.attempt)
        sends = []
        try:
            response = await self._pool.exchange(
                data, request.deadline, is_head, accepts, sends.append
            )
        except client.NotSentError as error:
            logging.info("failed to reach the backend server: %s", error)
            return build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT, 503)
        except client.BrokenError as error:
            logging.info(
                "connection broken during attempt %s: %s", request.attempt, error
            )
            return build_failure(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
        except TimeoutError:
            return build_failure(request, Outcome.UNKNOWN, Reason.DEADLINE, 504)
        if not find_header(response.headers, ATTEMPT):
            # A late copy of this answer could not be told from the next request's.
            self._pool.discard(sends[0].connection)
        return Answer(
            request.attempt,
            Outcome.COMPLETED,
            status=response.status,
            headers=drop_headers(response.headers, frozenset({ATTEMPT})),
            body=response.body,
        )

    def close(self):
        """Close the pooled connections."""
        self._pool.close()


def _may_answer(attempt, response):
    """Return whether a response may be the answer to an attempt."""
    answered = find_header(response.headers, ATTEMPT)
    if answered in ("", attempt):
        return True
    logging.warning("dropped an answer to %s while %s is pending", answered, attempt)
    return False


def _format_attempt(request, remaining, address):
    """Return the bytes of an attempt, including the headers the daemon sets."""
    headers = [
        *request.headers,
        ("X-Request-Id", request.attempt),
        (ATTEMPT, request.attempt),
        ("Whinwinch-Root", request.root),
        ("Whinwinch-Timeout", str(max(1, int(remaining * 1000)))),
    ]
    if request.key:
        headers.append(("Idempotency-Key", request.key))
    http = HttpRequest(request.method, request.path, tuple(headers), request.body)
    return format_request(http, address)
