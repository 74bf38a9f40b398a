"""Minimal HTTP/1.1 messages over asyncio streams, for the stand-ins."""

from typing import NamedTuple


class Message(NamedTuple):
    """One HTTP message.

    Attributes:
        start: First line, without its line end.
        headers: Pairs of lower-case name and value.
        body: The complete body.
    """

    start: str
    headers: tuple
    body: bytes

    def find(self, name):
        """Return the value of a header, "" if it is missing."""
        return next((value for key, value in self.headers if key == name), "")

    @property
    def status(self):
        """Status code of a response."""
        return int(self.start.split()[1])


async def read_message(reader):
    """Read one message whose body has a stated length, or none.

    Raises:
        EOFError: If the connection ends before the message is complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.split("\r\n")
    headers = []
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    message = Message(start, tuple(headers), b"")
    length = int(message.find("content-length") or 0)
    if length:
        message = message._replace(body=await reader.readexactly(length))
    return message


def build_request(method, target, headers=(), body=b""):
    """Return the bytes of a request; a body is sent with its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


def build_response(status, phrase, headers=(), body=b""):
    """Return the bytes of a response with a stated length."""
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body
