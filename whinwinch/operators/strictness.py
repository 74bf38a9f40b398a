"""Strict HTTP parsing that rejects ambiguous requests.

A proxy and this daemon may interpret a request with two different lengths or keys
differently. Part of one caller's body would then be parsed as the next request on
the connection (request smuggling). The server answers such requests with 400.
"""

from cheroot import server

SINGLE_VALUE_HEADERS = frozenset(
    {
        b"Content-Length",
        b"Host",
        b"Idempotency-Key",
        b"Transfer-Encoding",
        b"Whinwinch-Timeout",
        b"X-Request-Id",
    }
)


class UniqueHeaders(dict):
    """Headers of one request; those in `SINGLE_VALUE_HEADERS` must not be repeated."""

    def __setitem__(self, name, value):
        if name in SINGLE_VALUE_HEADERS and name in self:
            raise ValueError(f"{name.decode()} must not be repeated.")
        super().__setitem__(name, value)


class StrictHeaderReader(server.HeaderReader):
    """Header reader that raises ValueError for ambiguous headers.

    Names with an underscore are dropped: WSGI cannot distinguish them from names
    with a dash, so that one could replace the other unnoticed.
    """

    def __call__(self, rfile, hdict=None):
        """Read headers into `hdict`; raise ValueError for ambiguous ones."""
        headers = super().__call__(rfile, UniqueHeaders())
        if b"Content-Length" in headers and b"Transfer-Encoding" in headers:
            raise ValueError("Content-Length and Transfer-Encoding exclude each other.")
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict

    def _allow_header(self, key_name):
        # cheroot's DropUnderscoreHeaderReader does not work, because it mixes bytes
        # and text.
        return b"_" not in key_name


class StrictRequest(server.HTTPRequest):
    """Request with strictly parsed headers."""

    header_reader = StrictHeaderReader()


class StrictConnection(server.HTTPConnection):
    """Connection with strictly parsed requests."""

    RequestHandlerClass = StrictRequest
