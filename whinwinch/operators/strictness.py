"""Requests that could be read in two ways are refused before anything reads them.

A request with two different lengths or keys means one thing to the sender's
proxy and another to this daemon: a part of one caller's body would be taken
for the next request on the connection. The server then answers 400.
"""

from cheroot import server

SINGLE = frozenset(
    {
        b"Content-Length",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
        b"Whinwinch-Timeout",
        b"X-Request-Id",
    }
)


class SingleHeaders(dict):
    """Headers of one request, of which some may come only once."""

    def __setitem__(self, name, value):
        if name in SINGLE and name in self:
            raise ValueError(f"{name.decode()} must come only once.")
        super().__setitem__(name, value)


class StrictHeaderReader(server.HeaderReader):
    """Reads headers, or raises ValueError when they are ambiguous.

    Names with an underscore are dropped: WSGI can't tell them from those with
    a dash, so that one could stand in for the other unseen.
    """

    def __call__(self, rfile, hdict=None):
        """Read headers into `hdict`; raises ValueError for ambiguous ones."""
        headers = super().__call__(rfile, SingleHeaders())
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("Either Content-Length or Transfer-Encoding, not both.")
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict

    def _allow_header(self, key_name):
        # cheroot's own reader that drops these names mixes bytes and text.
        return b"_" not in key_name


class StrictRequest(server.HTTPRequest):
    """A request whose headers are read strictly."""

    header_reader = StrictHeaderReader()


class StrictConnection(server.HTTPConnection):
    """A connection whose requests are read strictly."""

    RequestHandlerClass = StrictRequest
