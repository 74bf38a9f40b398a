"""The backend server that has announced itself to its daemon, under a lease."""

from typing import NamedTuple

from ..errors import Finding, raise_findings
from ..settings import parse_address

HIGHEST_SLOTS = 100_000
LONGEST_NAME = 64


class Announcement(NamedTuple):
    """What a backend server says of itself.

    Attributes:
        service: Name of its service.
        address: "host:port" where it serves.
        slots: Requests that it can work on at once.
        connections: Connections that it accepts.
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
    """The present announcement and when its lease ends.

    A backend server that dies says nothing; without the lease its daemon would
    take work for it for ever, and callers would see broken answers.

    Args:
        lease: Seconds for which one announcement is good.
    """

    def __init__(self, lease):
        self._lease = lease
        self._expires = 0.0
        self.announcement = None

    def announce(self, announcement, now):
        """Take an announcement; return whether anything but the lease changed."""
        changed = announcement != self.announcement
        self.announcement = announcement
        self._expires = now + self._lease
        return changed

    def withdraw(self):
        """Forget the backend server; return whether there was one."""
        was_there = self.announcement is not None
        self.announcement = None
        return was_there

    def expire(self, now):
        """Forget the backend server when its lease is over; return whether so."""
        if self.announcement is None or now < self._expires:
            return False
        return self.withdraw()


def check_announcement(document):
    """Return the announcement that a JSON document holds.

    Raises:
        InputErrors: With every finding.
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
        yield Finding(name, "must be a text")
    elif len(value) > LONGEST_NAME:
        yield Finding(name, f"must have at most {LONGEST_NAME} characters")


def _check_address(document):
    try:
        parse_address(str(document.get("address", "")))
    except ValueError as error:
        yield Finding("address", str(error))


def _check_number(document, name):
    value = document.get(name)
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not 1 <= value <= HIGHEST_SLOTS:
        yield Finding(name, f"must be a whole number from 1 to {HIGHEST_SLOTS}")
