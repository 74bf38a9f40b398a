"""Typed HTTP messages, and what of them belongs to one connection only."""

from typing import NamedTuple

# These belong to one connection, not to the request or the answer.
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
    """One whole request.

    Attributes:
        method: Method, as sent.
        target: Path and query, as sent.
        headers: Pairs of name and value in the order sent.
        body: The whole body.
        keep_alive: Whether the sender goes on using the connection.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    keep_alive: bool = True


class HttpResponse(NamedTuple):
    """One whole answer.

    Attributes:
        status: Status code.
        phrase: Text behind the status code.
        headers: Pairs of name and value in the order sent.
        body: The whole body.
        keep_alive: Whether the connection may be used again.
    """

    status: int
    phrase: str = ""
    headers: Headers = ()
    body: bytes = b""
    keep_alive: bool = True


def find_header(headers, name):
    """Return the value of the first header of a lower-case name, or ""."""
    size = len(name)
    for key, value in headers:
        if len(key) == size and key.lower() == name:
            return value
    return ""


def drop_headers(headers, names=frozenset()):
    """Return headers without those of one connection and some others.

    Headers that ``Connection`` lists go too, as the standard asks.

    Args:
        headers: Pairs of name and value.
        names: Further lower-case names to leave out.
    """
    dropped = CONNECTION_HEADERS | names if names else CONNECTION_HEADERS
    listed = find_header(headers, "connection").lower()
    if listed and listed not in ("close", "keep-alive"):
        dropped |= {part.strip() for part in listed.split(",")}
    return tuple([pair for pair in headers if pair[0].lower() not in dropped])


def format_request(request, host):
    """Return the bytes of a request; its length is always stated.

    Args:
        request: `HttpRequest`; headers that frame the body are left out by the
            caller.
        host: Value of ``Host``, "" when it stands among the headers.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if host:
        lines.append(f"Host: {host}")
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + request.body


def format_response(response, closing, is_head=False):
    """Return the bytes of an answer; its length is always stated.

    Args:
        response: `HttpResponse` without the headers of a connection.
        closing: Whether the connection is closed behind it.
        is_head: Whether it answers a HEAD request, which has no body.
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
