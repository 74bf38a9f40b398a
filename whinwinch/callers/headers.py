"""Reading of a call's HTTP headers, with all findings at once."""

import re
from typing import NamedTuple

from ..errors import Finding
from ..http1.messages import drop_headers, find_header
from ..messages import Importance
from ..router import IncomingCall

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
# Read here; a backend server is told its own by the gatekeeper.
OWN_HEADERS = frozenset(
    {
        "host",
        "idempotency-key",
        "whinwinch-root",
        "whinwinch-timeout",
        "x-request-id",
    }
)
# Sent twice with two values, one reader would take the first and the next one
# the second: the key that is claimed would not be the key that is run.
SINGLE_HEADERS = (
    "Host",
    "Idempotency-Key",
    "Whinwinch-Caller",
    "Whinwinch-Timeout",
    "X-Request-Id",
)


class Parsed(NamedTuple):
    """A call as read, and what is wrong with it."""

    incoming: IncomingCall
    findings: tuple[Finding, ...]


def parse_call(http, address):
    """Read a call from an HTTP request.

    Args:
        http: The whole `http1.messages.HttpRequest`.
        address: IP number that it came from.

    Returns:
        `Parsed`; with findings, nothing of it may be run.
    """
    findings = []
    service, path = _split_path(http.target, findings)
    given = http.headers
    incoming = IncomingCall(
        identifier=_read_identifier(find_header(given, "x-request-id"), findings),
        service=service,
        method=http.method,
        path=path,
        importance=_read_importance(find_header(given, "priority"), findings),
        timeout=_read_timeout(find_header(given, "whinwinch-timeout"), findings),
        key=_read_key(find_header(given, "idempotency-key"), findings),
        caller=_read_caller(find_header(given, "whinwinch-caller"), address, findings),
        headers=_collect_headers(given),
        body=http.body,
    )
    findings.extend(_find_repeated(given))
    return Parsed(incoming, tuple(findings))


def _split_path(target, findings):
    path, mark, query = target.partition("?")
    service, _, rest = path.removeprefix(PREFIX).partition("/")
    if not path.startswith(PREFIX) or not SERVICE.match(service):
        findings.append(
            Finding("path", "must be /services/SERVICE/PATH; letters, digits, -")
        )
    return service, f"/{rest}{mark}{query}" if query else f"/{rest}"


def _read_identifier(text, findings):
    if text and not IDENTIFIER.match(text):
        findings.append(
            Finding("X-Request-Id", "must be 1 to 128 of A-Z a-z 0-9 . _ : -")
        )
        return ""
    return text


def _read_importance(text, findings):
    if not text:
        return None
    found = URGENCY.search(text)
    if found:
        return URGENCIES[int(found.group(1))]
    if re.search(r"(?:^|,)\s*u\s*=", text):
        findings.append(Finding("Priority", "u must be 0 to 7, for example u=1"))
    return None


def _read_timeout(text, findings):
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


def _read_key(given, findings):
    text = given.strip('"')
    if len(text) > LONGEST_KEY:
        findings.append(
            Finding("Idempotency-Key", f"must have at most {LONGEST_KEY} characters")
        )
    return text


def _read_caller(text, address, findings):
    if len(text) > LONGEST_CALLER or not text.isprintable():
        findings.append(
            Finding("Whinwinch-Caller", "must have at most 64 printable characters")
        )
    # A caller without a name is told apart by its address, so that one of them
    # can't take the share of all the nameless ones.
    return text or address


def _collect_headers(given):
    """Return the headers for the backend server.

    Names with an underscore are dropped: many servers can't tell them from those
    with a dash, so that one could stand in for the other unseen.
    """
    return tuple(
        pair for pair in drop_headers(given, OWN_HEADERS) if "_" not in pair[0]
    )


def _find_repeated(given):
    """Yield a finding for each header that must come once and comes again."""
    names = [name.lower() for name, _ in given]
    for name in SINGLE_HEADERS:
        if names.count(name.lower()) > 1:
            yield Finding(name, "must come only once")
