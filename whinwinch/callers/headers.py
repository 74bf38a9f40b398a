"""Reading of a call's HTTP headers, with all findings at once."""

import re
import urllib.parse
from typing import NamedTuple

from ..errors import Finding
from ..messages import Importance
from ..router import Incoming

PREFIX = "/services/"
IDENTIFIER = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")
SERVICE = re.compile(r"[a-z0-9][a-z0-9-]{0,62}\Z")
URGENCY = re.compile(r"(?:^|,)\s*u\s*=\s*([0-7])\s*(?=,|;|$)")
LONGEST_CALLER = 64
LONGEST_TIMEOUT = 3_600_000
LONGEST_KEY = 128

# RFC 9218 counts urgency from 0, the most urgent, to 7; 3 is its default.
URGENCIES = (
    Importance.CRITICAL,
    Importance.CRITICAL,
    Importance.HIGH,
    Importance.NORMAL,
    Importance.NORMAL,
    Importance.LOW,
    Importance.LOW,
    Importance.LOW,
)
# Read here or belonging to this hop; everything else is handed on.
OWN_HEADERS = frozenset(
    {
        "HTTP_CONNECTION",
        "HTTP_HOST",
        "HTTP_IDEMPOTENCY_KEY",
        "HTTP_KEEP_ALIVE",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_UPGRADE",
        "HTTP_WHINWINCH_ROOT",
        "HTTP_WHINWINCH_TIMEOUT",
        "HTTP_X_REQUEST_ID",
    }
)


class Parsed(NamedTuple):
    """A call as read, and what is wrong with it."""

    incoming: Incoming
    findings: tuple[Finding, ...]


def parse_call(environ, body):
    """Read a call from a WSGI environment.

    Args:
        environ: The WSGI environment.
        body: The whole body.

    Returns:
        `Parsed`; with findings, nothing of it may be run.
    """
    findings = []
    service, path = _split_path(environ, findings)
    incoming = Incoming(
        identifier=_read_identifier(environ, findings),
        service=service,
        method=environ["REQUEST_METHOD"],
        path=path,
        importance=_read_importance(environ, findings),
        timeout=_read_timeout(environ, findings),
        key=_read_key(environ, findings),
        caller=_read_caller(environ, findings),
        headers=_collect_headers(environ),
        body=body,
    )
    return Parsed(incoming, tuple(findings))


def _split_path(environ, findings):
    # WSGI gives the path decoded; quoting again keeps a "?" or a space in a
    # segment from changing what the backend server sees.
    path = environ.get("PATH_INFO", "").encode("latin-1")
    text = urllib.parse.quote(path, safe="/:@!$&'()*+,;=~-._")
    service, _, rest = text.removeprefix(PREFIX).partition("/")
    if not SERVICE.match(service):
        findings.append(
            Finding("path", "must be /services/SERVICE/PATH; letters, digits, -")
        )
    query = environ.get("QUERY_STRING", "")
    return service, f"/{rest}?{query}" if query else f"/{rest}"


def _read_identifier(environ, findings):
    text = environ.get("HTTP_X_REQUEST_ID", "")
    if text and not IDENTIFIER.match(text):
        findings.append(
            Finding("X-Request-Id", "must be 1 to 128 of A-Z a-z 0-9 . _ : -")
        )
        return ""
    return text


def _read_importance(environ, findings):
    text = environ.get("HTTP_PRIORITY", "")
    if not text:
        return None
    found = URGENCY.search(text)
    if found:
        return URGENCIES[int(found.group(1))]
    if re.search(r"(?:^|,)\s*u\s*=", text):
        findings.append(Finding("Priority", "u must be 0 to 7, for example u=1"))
    return None


def _read_timeout(environ, findings):
    text = environ.get("HTTP_WHINWINCH_TIMEOUT", "")
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:9]):
        findings.append(
            Finding("Whinwinch-Timeout", "must be whole milliseconds above 0")
        )
        return None
    if len(text) > 7 or int(text) > LONGEST_TIMEOUT:
        findings.append(
            Finding("Whinwinch-Timeout", f"must be at most {LONGEST_TIMEOUT}")
        )
        return None
    return int(text) / 1000


def _read_key(environ, findings):
    text = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip('"')
    if len(text) > LONGEST_KEY:
        findings.append(
            Finding("Idempotency-Key", f"must have at most {LONGEST_KEY} characters")
        )
    return text


def _read_caller(environ, findings):
    text = environ.get("HTTP_WHINWINCH_CALLER", "")
    if len(text) > LONGEST_CALLER or not text.isprintable():
        findings.append(
            Finding("Whinwinch-Caller", "must have at most 64 printable characters")
        )
    # A caller without a name is told apart by its address, so that one of them
    # can't take the share of all the nameless ones.
    return text or environ.get("REMOTE_ADDR", "")


def _collect_headers(environ):
    pairs = [
        (_name_header(name), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name not in OWN_HEADERS
    ]
    if environ.get("CONTENT_TYPE"):
        pairs.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(pairs)


def _name_header(variable):
    return variable.removeprefix("HTTP_").replace("_", "-").title()
