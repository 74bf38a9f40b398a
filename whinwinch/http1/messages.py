"""Typed HTTP messages, their encoding and the handling of hop-by-hop headers."""

from typing import NamedTuple

# Headers that apply to one connection, not to the request or response itself.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)

Headers = tuple[tuple[str, str], ...]


class HttpRequest(NamedTuple):
    """A complete request.

    Attributes:
        method: Method, as received.
        target: Path and query, as received.
        headers: Pairs of name and value in the order received.
        body: The complete body.
        keep_alive: Whether the client keeps the connection open.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    keep_alive: bool = True


class HttpResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: Status code.
        phrase: Reason phrase after the status code.
        headers: Pairs of name and value in the order sent.
        body: The complete body.
        keep_alive: Whether the connection may be used again.
    """

    status: int
    phrase: str = ""
    headers: Headers = ()
    body: bytes = b""
    keep_alive: bool = True


def find_header(headers, name):
    """Return the value of the first header with a lower-case name, or ""."""
    size = len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == name:
            return value
    return ""


def drop_headers(headers, names=frozenset()):
    """Return headers without the hop-by-hop headers and some others.

    Headers that ``Connection`` lists are dropped too, as the standard requires.

    Args:
        headers: Pairs of name and value.
        names: Additional lower-case names to drop.
    """
    dropped = CONNECTION_HEADERS | names if names else CONNECTION_HEADERS
    listed = find_header(headers, "connection").lower()
    if listed and listed not in ("close", "keep-alive"):
        dropped |= {part.strip() for part in listed.split(",")}
    return tuple([pair for pair in headers if pair[0].lower() not in dropped])


def format_request(request, host):
    """Return the bytes of a request.

    ``Content-Length`` is added if the request has a body or its method isn't GET or
    HEAD.

    Args:
        request: `HttpRequest` without headers that state the length or encoding of
            the body.
        host: Value of ``Host``, "" if the headers contain it.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if host:
        lines.append(f"Host: {host}")
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + request.body


def format_response(response, closing, is_head=False):
    """Return the bytes of a response, with ``Content-Length`` if it has a body.

    Args:
        response: `HttpResponse` without hop-by-hop headers.
        closing: Whether the connection is closed after the response.
        is_head: Whether the request was a HEAD request, so that no body is sent.
    """
    lines = [f"HTTP/1.1 {response.status} {response.phrase}"]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    has_body = response.status >= 200 and response.status not in (204, 304)
    if has_body:
        lines.append(f"Content-Length: {len(response.body)}")
    if closing:
        lines.append("Connection: close")
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    return head + response.body if has_body and not is_head else head
