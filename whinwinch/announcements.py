"""Which of a backend server's announcements is the newest.

Announcements arrive late and out of order, and a backend server may start again
under its old identifier, with its counts anew. Taken in the order of arrival, a
late "ready" would bring a leaving backend server back, and callers would be sent
to one that is about to vanish.
"""

import enum
from typing import NamedTuple


class State(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    LEAVING = "leaving"


class Announcement(NamedTuple):
    """One announcement of a backend server.

    Attributes:
        identity: Its identifier.
        started: When it started, in milliseconds of its wall clock; 0 when not
            told.
        sequence: Number of the announcement, ascending from its start.
        service: Its service.
        address: "host:port" of it.
        slots: Requests that it can work on at once.
        state: What it says of itself.
        warm_in: Seconds for which it stays slow after its start.
    """

    identity: str
    started: int
    sequence: int
    service: str
    address: str
    slots: int
    state: State
    warm_in: float = 0.0


class Announcements:
    """The newest announcement of the backend server beside the daemon."""

    def __init__(self):
        self._newest = None
        self._left = {}

    @property
    def newest(self):
        """The announcement that counts, None while there is none."""
        return self._newest

    def take(self, announcement):
        """Take an announcement.

        Returns:
            Why it doesn't count, "" when it is the newest now.
        """
        obstacle = self._find_obstacle(announcement)
        if not obstacle:
            self._newest = announcement
        return obstacle

    def leave(self, identity, started):
        """Take the word that a backend server is gone.

        Args:
            identity: Its identifier.
            started: The start that the word is about; 0 when not told.

        Returns:
            Whether it is the one that counted.
        """
        newest = self._newest
        is_newest = newest is not None and newest.identity == identity
        if is_newest and 0 < started < newest.started:
            # The word of an earlier start under the same identifier.
            return False
        known = newest.started if is_newest else 0
        self._left[identity] = max(started, known, self._left.get(identity, 0))
        if is_newest:
            self._newest = None
        return is_newest

    def _find_obstacle(self, announcement):
        left = self._left.get(announcement.identity)
        if left is not None and announcement.started <= left:
            return "it has left"
        newest = self._newest
        if newest is None:
            return ""
        if newest.identity != announcement.identity:
            older = 0 < announcement.started < newest.started
            return "an older start than the one known" if older else ""
        if announcement.started != newest.started:
            older = announcement.started < newest.started
            return "an older start than the one known" if older else ""
        if announcement.sequence <= newest.sequence:
            return "a newer announcement is known"
        return ""
