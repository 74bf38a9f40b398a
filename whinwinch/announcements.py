"""Ordering of a backend server's announcements.

Announcements can arrive late and out of order, and a backend server can restart
under its previous identifier with its sequence numbers reset. If announcements
were applied in order of arrival, a late "ready" would override "leaving", and
callers would be sent to a backend server that is about to stop.

A backend server that has said that it leaves keeps leaving. The word holds for one
start of it: a later start under the same identifier is another backend server.
"""

import enum
import math
from typing import NamedTuple


class State(enum.Enum):
    """State that a backend server announces."""

    READY = "ready"
    LEAVING = "leaving"


class Announcement(NamedTuple):
    """One announcement of a backend server.

    Attributes:
        identity: Identifier of the backend server.
        start_time_ms: Its start time in milliseconds of its wall clock; 0 when it isn't
            announced.
        sequence: Sequence number of the announcement, ascending since the start.
        service: Name of its service.
        address: Its address as "host:port".
        slots: Requests that it can process concurrently.
        state: Its announced state.
        warmup_left: Seconds of warm-up that remain, in which it is still slow.
    """

    identity: str
    start_time_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    state: State
    warmup_left: float = 0.0


class Leave(NamedTuple):
    """One start of a backend server that leaves or has left.

    Attributes:
        identity: Identifier of the backend server.
        start_time_ms: Its start time in milliseconds of its wall clock, 0 when it
            doesn't announce it; None when it isn't known which start has left.
    """

    identity: str
    start_time_ms: int | None


class Announcements:
    """The newest announcement of the local backend server."""

    def __init__(self):
        self._newest = None
        # Start times up to which a backend server leaves, and up to which it has left,
        # by its identifier.
        self._leaving = {}
        self._departed = {}
        # The last backend server that leaves or has left, None once another has come.
        self._last_leave = None
        # Identifier of a backend server that has perhaps said that it leaves.
        self._suspected = ""

    @property
    def newest(self):
        """The `Announcement` in effect, or None."""
        newest = self._newest
        if newest is not None and self._is_leaving(newest):
            return newest._replace(state=State.LEAVING)
        return newest

    @property
    def last_leave(self):
        """The `Leave` of the last backend server, None if it hasn't said it leaves."""
        return self._last_leave

    @property
    def is_backend_leaving(self):
        """Whether the last backend server leaves or has left, and no other has come.

        A backend server that has crashed has not left.
        """
        newest = self.newest
        if newest is not None:
            return newest.state is State.LEAVING
        return self._last_leave is not None or self._suspected != ""

    def apply(self, announcement):
        """Apply an announcement unless it is outdated.

        Args:
            announcement: The `Announcement`.

        Returns:
            The reason why it was ignored, or "" when it is now the newest.
        """
        rejection = self._find_rejection(announcement)
        if rejection:
            return rejection
        self._newest = announcement
        if announcement.state is State.LEAVING:
            leave = Leave(announcement.identity, announcement.start_time_ms)
            self._note_leave(self._leaving, leave)
        elif not self._is_leaving(announcement):
            self._last_leave = None
        return ""

    def apply_leave(self, identity, start_time_ms):
        """Apply the message that a backend server has left.

        Args:
            identity: Identifier of the backend server.
            start_time_ms: Start time of the process that left, in milliseconds of its
                wall clock; 0 when the message doesn't contain it.

        Returns:
            Whether the announcement in effect was withdrawn.
        """
        newest = self._newest
        is_newest = newest is not None and newest.identity == identity
        if is_newest and 0 < start_time_ms < newest.start_time_ms:
            # An earlier process with the same identifier has left.
            return False
        if is_newest:
            start_time_ms = max(start_time_ms, newest.start_time_ms)
            self._newest = None
        elif not start_time_ms:
            start_time_ms = None
        self._note_leave(self._departed, Leave(identity, start_time_ms))
        return is_newest

    def apply_leaving_answer(self, identity):
        """Apply that a backend server said in an answer that it leaves.

        It keeps leaving whatever it announces later: its heartbeats may still say that
        it is ready.
        """
        newest = self._newest
        is_newest = newest is not None and newest.identity == identity
        start_time_ms = newest.start_time_ms if is_newest else None
        self._note_leave(self._leaving, Leave(identity, start_time_ms))

    def suspect_leave(self, identity):
        """Take a backend server for leaving until `restore_leaves`.

        Args:
            identity: Identifier of a backend server that other daemons know to have
                said that it leaves, though not which start of it.
        """
        self._suspected = identity

    def restore_leaves(self, leaves):
        """Apply what earlier processes of this daemon were told.

        Args:
            leaves: All `Leave` tuples of backend servers of this daemon.
        """
        self._suspected = ""
        for leave in leaves:
            self._note_leave(self._leaving, leave)
        if self._newest is not None and not self._is_leaving(self._newest):
            self._last_leave = None

    def _note_leave(self, start_times, leave):
        any_start = leave.start_time_ms is None
        start_time_ms = math.inf if any_start else leave.start_time_ms
        before = start_times.get(leave.identity, start_time_ms)
        start_times[leave.identity] = max(before, start_time_ms)
        self._last_leave = leave

    def _is_leaving(self, announcement):
        is_suspected = announcement.identity == self._suspected
        return is_suspected or _is_covered(announcement, self._leaving)

    def _find_rejection(self, announcement):
        if _is_covered(announcement, self._departed):
            return "this backend server has already left"
        newest = self._newest
        if newest is None:
            return ""
        if newest.identity != announcement.identity:
            older = 0 < announcement.start_time_ms < newest.start_time_ms
            return "a later start was already announced" if older else ""
        if announcement.start_time_ms != newest.start_time_ms:
            older = announcement.start_time_ms < newest.start_time_ms
            return "a later start was already announced" if older else ""
        if announcement.sequence <= newest.sequence:
            return "a newer announcement was already applied"
        return ""


def _is_covered(announcement, start_times):
    """Return whether a start of a backend server is not later than a known one."""
    known = start_times.get(announcement.identity)
    return known is not None and announcement.start_time_ms <= known
