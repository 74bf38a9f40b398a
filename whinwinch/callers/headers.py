"""Parser of a call's HTTP target and headers, which reports all findings at once."""

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
MAX_CALLER_LENGTH = 64
MAX_TIMEOUT_MS = 3_600_000
MAX_KEY_LENGTH = 128

# Importance by urgency. RFC 9218 defines urgency from 0, the most urgent, to 7; 3 is
# its default.
IMPORTANCES = (
    Importance.CRITICAL,
    Importance.CRITICAL,
    Importance.HIGH,
    Importance.NORMAL,
    Importance.NORMAL,
    Importance.LOW,
    Importance.LOW,
    Importance.LOW,
)
# Headers that aren't passed on; the gatekeeper sets them for the backend server.
DAEMON_HEADERS = frozenset(
    {
        "host",
        "idempotency-key",
        "whinwinch-attempt",
        "whinwinch-root",
        "whinwinch-timeout",
        "x-request-id",
    }
)
# Headers that must not be repeated. With two values, one program could use the first
# and the next one the second, so that the claimed key would differ from the key of the
# request that runs.
SINGLE_HEADERS = (
    "Host",
    "Idempotency-Key",
    "Whinwinch-Caller",
    "Whinwinch-Timeout",
    "X-Request-Id",
)


class Parsed(NamedTuple):
    """Parsed call and the findings about it."""

    incoming: IncomingCall
    findings: tuple[Finding, ...]


def parse_call(http, address):
    """Parse a call from an HTTP request.

    Args:
        http: The complete `http1.messages.HttpRequest`.
        address: IP address of the caller.

    Returns:
        `Parsed`; a call with findings must not be routed.
    """
    findings = []
    service, path = _split_path(http.target, findings)
    pairs = http.headers
    incoming = IncomingCall(
        identifier=_read_identifier(find_header(pairs, "x-request-id"), findings),
        service=service,
        method=http.method,
        path=path,
        importance=_read_importance(find_header(pairs, "priority"), findings),
        timeout=_read_timeout(find_header(pairs, "whinwinch-timeout"), findings),
        key=_read_key(find_header(pairs, "idempotency-key"), findings),
        caller=_read_caller(find_header(pairs, "whinwinch-caller"), address, findings),
        headers=_collect_headers(pairs),
        body=http.body,
    )
    findings.extend(_find_repeated(pairs))
    return Parsed(incoming, tuple(findings))


def _split_path(target, findings):
    path, mark, query = target.partition("?")
    service, _, rest = path.removeprefix(PREFIX).partition("/")
    if not path.startswith(PREFIX) or not SERVICE.match(service):
        findings.append(
            Finding(
                "path",
                "must be /services/SERVICE/PATH, with a service name of a-z 0-9 -",
            )
        )
    return service, f"/{rest}{mark}{query}" if query else f"/{rest}"


def _read_identifier(text, findings):
    if text and not IDENTIFIER.match(text):
        findings.append(
            Finding(
                "X-Request-Id", "must be 1 to 128 characters of A-Z a-z 0-9 . _ : -"
            )
        )
        return ""
    return text


def _read_importance(text, findings):
    if not text:
        return None
    match = URGENCY.search(text)
    if match:
        return IMPORTANCES[int(match.group(1))]
    if re.search(r"(?:^|,)\s*u\s*=", text):
        findings.append(Finding("Priority", "u must be 0 to 7, for example u=1"))
    return None


def _read_timeout(text, findings):
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:9]):
        findings.append(
            Finding("Whinwinch-Timeout", "must be a positive integer of milliseconds")
        )
        return None
    if len(text) > 7 or int(text) > MAX_TIMEOUT_MS:
        findings.append(
            Finding("Whinwinch-Timeout", f"must be at most {MAX_TIMEOUT_MS}")
        )
        return None
    return int(text) / 1000


def _read_key(quoted, findings):
    text = quoted.strip('"')
    if len(text) > MAX_KEY_LENGTH:
        findings.append(
            Finding("Idempotency-Key", f"must have at most {MAX_KEY_LENGTH} characters")
        )
    return text


def _read_caller(text, address, findings):
    if len(text) > MAX_CALLER_LENGTH or not text.isprintable():
        findings.append(
            Finding("Whinwinch-Caller", "must have at most 64 printable characters")
        )
    # A caller without a name is identified by its address, so that one of them can't
    # use up the fair share of all callers without a name.
    return text or address


def _collect_headers(pairs):
    """Return the headers for the backend server.

    Names with an underscore are dropped: many servers don't distinguish them from
    names with a dash, so a caller could use them to replace a header unnoticed.
    """
    return tuple(
        pair for pair in drop_headers(pairs, DAEMON_HEADERS) if "_" not in pair[0]
    )


def _find_repeated(pairs):
    """Yield a finding for each repeated header of `SINGLE_HEADERS`."""
    names = [name.lower() for name, _ in pairs]
    for name in SINGLE_HEADERS:
        if names.count(name.lower()) > 1:
            yield Finding(name, "must not be repeated")
