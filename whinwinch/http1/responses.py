"""Reading of the response to one request, within limits on what a server may send.

A server in trouble may send bytes without end, in the headers, in a body, or as other
responses before the awaited one. Each of them would fill the memory until the deadline.
"""

import httptools

from . import bodies, messages

# Bytes received for one request beside the body of its response: status line, headers,
# interim responses, trailers. Four times what servers commonly accept as headers.
MAX_HEAD_BYTES = 64 << 10
# Bytes of framing that may come with each byte of a body. Long bodies in chunks of less
# than five bytes would take the daemon's time from its other requests.
MAX_FRAMING_BYTES = 1
# Bytes counted for each header in addition to its own: a short one takes more memory
# than that as an object.
HEADER_COST_BYTES = 64
# Status codes of HTTP. The parser reads others as well, 000 among them.
MIN_STATUS = 100
MAX_STATUS = 599
# Responses to other requests that may come before the awaited one.
MAX_DROPPED_RESPONSES = 4


class InvalidResponseError(Exception):
    """A server sends something that is no response, or more than one may have."""


class ResponseReader:
    """Reads the response to one request from the bytes of a connection.

    Args:
        is_head: Whether the response has no body, whatever length it states.
        accepts: Function from a response without its body to whether it belongs to the
            request. Responses to other requests are dropped.
        max_body_bytes: Maximum size of a body in bytes.
        body_budget: `bodies.BodyBudget` of all responses that are being read.

    Attributes:
        response: The complete `messages.HttpResponse`, None until then.
        has_excess: Whether another response came before or behind it. Nothing that
            comes later on the connection can be told from a response to it.
    """

    def __init__(self, is_head, accepts, max_body_bytes, body_budget):
        self._is_head = is_head
        self._accepts = accepts
        self._max_body_bytes = max_body_bytes
        self._body_budget = body_budget
        # Bytes taken from the budget for the body that is being received.
        self._taken_bytes = 0
        self._received_bytes = 0
        self._received_body_bytes = 0
        self._dropped_responses = 0
        self._parser = httptools.HttpResponseParser(self)
        self.response = None
        self.has_excess = False
        self._reset()

    def feed(self, data):
        """Read received bytes.

        Raises:
            InvalidResponseError: If they are no response or too many.
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # What a callback raises is the context of the parser's own error.
            problem = error.__context__ or error
            raise InvalidResponseError(f"invalid response: {problem}") from error
        self._check_head_size()

    def end(self):
        """End the response at the end of its connection, which may delimit it."""
        if self._ends_at_close and self._is_awaited:
            self._finish(False)

    def close(self):
        """Give back what the body took from the budget; nothing is fed after this."""
        self._body_budget.give_back(self._taken_bytes)
        # The parser refers to this reader: without this both would stay in memory
        # until the garbage collector runs.
        self._parser = None

    def on_message_begin(self):
        """Begin a response."""
        if self.response is not None:
            self.has_excess = True
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
            raise InvalidResponseError("headers too large")
        key, text = name.decode("latin-1"), value.decode("latin-1")
        self._headers.append((key, text))
        if key.lower() in ("content-length", "transfer-encoding"):
            self._is_framed = True

    def on_headers_complete(self):
        """Determine whose response it is, and how the end of the body is marked."""
        self._in_body = True
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            # Taken for an interim or a final response, it would be waited behind until
            # the deadline, or handed to the caller.
            raise InvalidResponseError(f"no status code of HTTP: {status}")
        if status < 200:
            if self._is_framed:
                raise InvalidResponseError("interim response with a body")
            return
        has_body = status not in (204, 304)
        self._ends_at_close = has_body and not self._is_framed
        if self.response is None:
            self._is_awaited = self._accepts(self._build_response(False))
        if self._is_head:
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
            raise InvalidResponseError("body too large")
        if not self._is_awaited:
            return
        if self._body_size > bodies.UNCOUNTED_BYTES:
            if not self._body_budget.try_take(size):
                raise InvalidResponseError("too many large bodies at once")
            self._taken_bytes += size
        self._body += body

    def on_message_complete(self):
        """Finish the response; interim ones are dropped."""
        if self._parser.get_status_code() < 200 or self._ends_at_close:
            return
        self._finish(self._parser.should_keep_alive())

    def _finish(self, keep_alive):
        if self.response is not None:
            return
        if self._is_awaited:
            self.response = self._build_response(keep_alive)
            return
        # A late duplicate of the response to an earlier request. The response to the
        # present one is still to come.
        self.has_excess = True
        self._dropped_responses += 1
        if self._dropped_responses > MAX_DROPPED_RESPONSES:
            raise InvalidResponseError("too many responses to other requests")

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
            InvalidResponseError: If it is too much.
        """
        framing = MAX_FRAMING_BYTES * self._received_body_bytes
        beside_bodies = self._received_bytes - self._received_body_bytes
        if beside_bodies > MAX_HEAD_BYTES + framing:
            raise InvalidResponseError("too many bytes beside the body")

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
