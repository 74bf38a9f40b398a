"""Registration of the local backend server under a lease."""

from typing import NamedTuple

from ..errors import Finding, raise_findings
from ..settings import parse_address

MAX_SLOTS = 100_000
MAX_TEXT_LENGTH = 64


class Announcement(NamedTuple):
    """Announcement of a backend server to its daemon.

    Attributes:
        service: Name of its service.
        address: "host:port" where it serves.
        slots: Number of requests that it can process concurrently.
        connections: Maximum number of connections that it accepts.
        load: Path of its load endpoint, "" for none.
        health: Path of its health endpoint, "" for none.
    """

    service: str
    address: str
    slots: int
    connections: int
    load: str = ""
    health: str = ""


class Registry:
    """The current announcement and the end of its lease.

    A backend server that crashes sends no withdrawal. Without the lease its daemon
    would accept work for it forever, and callers would get broken answers.

    Args:
        lease: Seconds for which an announcement is valid.

    Attributes:
        announcement: Current `Announcement`, or None.
    """

    def __init__(self, lease):
        self._lease = lease
        self._expires = 0.0
        self.announcement = None

    def announce(self, announcement, now):
        """Apply an announcement; return whether anything but the lease changed."""
        changed = announcement != self.announcement
        self.announcement = announcement
        self._expires = now + self._lease
        return changed

    def withdraw(self):
        """Remove the announcement; return whether there was one."""
        was_announced = self.announcement is not None
        self.announcement = None
        return was_announced

    def expire(self, now):
        """Remove the announcement if its lease is over; return whether it was."""
        if self.announcement is None or now < self._expires:
            return False
        return self.withdraw()


def check_announcement(document):
    """Validate a decoded JSON document and return its `Announcement`.

    Raises:
        InputErrors: With every finding, if the document is invalid.
    """
    if not isinstance(document, dict):
        raise_findings("announcement", [Finding("body", "must be a JSON object")])
    findings = []
    findings.extend(_check_text(document, "service", required=True))
    findings.extend(_check_address(document))
    findings.extend(_check_number(document, "slots"))
    findings.extend(_check_number(document, "connections"))
    findings.extend(_check_text(document, "load", required=False))
    findings.extend(_check_text(document, "health", required=False))
    for name in sorted(set(document) - set(Announcement._fields)):
        findings.append(Finding(name, "is not a field of an announcement"))
    raise_findings("announcement", findings)
    return Announcement(**document)


def _check_text(document, name, required):
    value = document.get(name, None if required else "")
    if not isinstance(value, str) or (required and not value):
        yield Finding(name, "must be a string")
    elif len(value) > MAX_TEXT_LENGTH:
        yield Finding(name, f"must have at most {MAX_TEXT_LENGTH} characters")


def _check_address(document):
    try:
        parse_address(str(document.get("address", "")))
    except ValueError as error:
        yield Finding("address", str(error))


def _check_number(document, name):
    value = document.get(name)
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 1 <= value <= MAX_SLOTS:
        yield Finding(name, f"must be a whole number from 1 to {MAX_SLOTS}")
