"""Reading of request bodies whose stated length can't be trusted."""

from typing import NamedTuple

from ..errors import Finding


class Body(NamedTuple):
    """A request's body.

    Attributes:
        data: The whole body, or b"" when there is a problem.
        status: HTTP status for the problem, 0 for none.
        finding: What is wrong, or None.
    """

    data: bytes
    status: int = 0
    finding: Finding | None = None


def read_body(environ, most):
    """Read a request's body of at most `most` bytes from a WSGI environment."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return _read_chunked(environ, most)
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isascii() or not text.isdigit():
        return _build_problem(400, "Content-Length", "must be a whole number")
    length = int(text)
    if length > most:
        return _build_problem(413, "body", f"must have at most {most} bytes")
    if not length:
        return Body(b"")
    return _read_exactly(environ, length)


def _read_exactly(environ, length):
    try:
        data = environ["wsgi.input"].read(length)
    except (OSError, ValueError):
        return _build_problem(408, "body", "stopped half way")
    if len(data) != length:
        # Handing on half a body would make the backend server act on half a
        # request; the caller learns that nothing was run.
        return _build_problem(
            400, "body", f"has {len(data)} bytes where {length} were stated"
        )
    return Body(data)


def _read_chunked(environ, most):
    try:
        data = environ["wsgi.input"].read(most + 1)
    except (OSError, ValueError):
        return _build_problem(400, "body", "is not a whole chunked body")
    if len(data) > most:
        return _build_problem(413, "body", f"must have at most {most} bytes")
    return Body(data)


def _build_problem(status, place, problem):
    return Body(b"", status, Finding(place, problem))
