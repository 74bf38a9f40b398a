"""Attempts for the backend server beside the daemon, over HTTP."""

from absl import logging

from ..http1 import client
from ..http1.messages import HttpRequest, drop_headers, format_request
from ..messages import Answer, Outcome, Reason, build_failure


class BackendClient:
    """Kept connections to one backend server.

    Args:
        address: "host:port" of the backend server.
        max_body: Largest answer taken, in bytes.
    """

    def __init__(self, address, max_body):
        host, _, port = address.rpartition(":")
        self._address = address
        self._pool = client.Pool(host, int(port), max_body)

    async def forward(self, request, left):
        """Send one attempt and return its answer; never raises for the network.

        Args:
            request: The attempt.
            left: Seconds until its deadline.
        """
        data = _form_request(request, left, self._address)
        is_head = request.method == "HEAD"
        try:
            response = await self._pool.exchange(data, request.deadline, is_head)
        except client.NotSentError as error:
            logging.info("backend server not reached: %s", error)
            return build_failure(request, Outcome.NOT_RUN, Reason.NOT_SENT, 503)
        except client.BrokenError as error:
            logging.info("attempt=%s broken: %s", request.attempt, error)
            return build_failure(request, Outcome.UNKNOWN, Reason.BROKEN, 502)
        except TimeoutError:
            return build_failure(request, Outcome.UNKNOWN, Reason.DEADLINE, 504)
        return Answer(
            request.attempt,
            Outcome.COMPLETED,
            status=response.status,
            headers=drop_headers(response.headers),
            body=response.body,
        )

    def close(self):
        """Close the kept connections."""
        self._pool.close()


def _form_request(request, left, address):
    """Return the bytes of an attempt, with what the daemon states itself."""
    headers = [
        *request.headers,
        ("X-Request-Id", request.attempt),
        ("Whinwinch-Root", request.root),
        ("Whinwinch-Timeout", str(max(1, int(left * 1000)))),
    ]
    if request.key:
        headers.append(("Idempotency-Key", request.key))
    http = HttpRequest(request.method, request.path, tuple(headers), request.body)
    return format_request(http, address)
