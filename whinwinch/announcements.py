"""Ordering of a backend server's announcements.

Announcements can arrive late and out of order, and a backend server can restart
under its previous identifier with its sequence numbers reset. If announcements
were applied in order of arrival, a late "ready" would override "leaving", and
callers would be sent to a backend server that is about to stop.

A backend server that has said that it leaves keeps leaving. The word holds for one
start of it: a later start under the same identifier is another backend server. Where
start times don't tell them apart, `starts` does.
"""

import enum
from typing import NamedTuple

from .starts import Leave, LeftStarts, LiveStarts, Start

# Milliseconds by which a start may seem to be later than its leave: its wall clock was
# ahead when it started, and has been set since.
MAX_CLOCK_STEP_MS = 2_000


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

    @property
    def start(self):
        """The `starts.Start` that announces itself."""
        return Start(self.identity, self.start_time_ms)


class Announcements:
    """The newest announcement of the local backend server."""

    def __init__(self):
        self._newest = None
        # Starts that leave, and starts that have left.
        self._leaving = LeftStarts()
        self._departed = LeftStarts()
        # The latest `Leave` by identifier.
        self._leaves = {}
        # The last backend server that leaves or has left, None once another has come.
        self._last_leave = None
        # Identifier of a backend server that has perhaps said that it leaves.
        self._suspected = ""
        self._live = LiveStarts()
        # The start in effect if it was in doubt and has been shown to be alive.
        self._confirmed = None

    @property
    def newest(self):
        """The `Announcement` in effect, or None."""
        newest = self._newest
        if newest is not None and self._is_leaving(newest.start):
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

    @property
    def confirmed(self):
        """The `starts.Start` last shown to be alive after a doubt, or None."""
        return self._confirmed

    def find_leave(self, identity):
        """Return the latest `Leave` under an identifier, None if there is none."""
        return self._leaves.get(identity)

    def gets_work(self, identity):
        """Return whether new work goes to a backend server with an identifier."""
        newest = self.newest
        if newest is None or newest.identity != identity:
            return False
        return newest.state is State.READY

    def apply(self, announcement, now):
        """Apply an announcement unless it is outdated.

        Args:
            announcement: The `Announcement`.
            now: Time of the event loop's clock in seconds.

        Returns:
            The reason why it was ignored, or "" when it is now the newest.
        """
        rejection = self._find_rejection(announcement)
        if not rejection:
            rejection = self._settle_doubt(announcement, now)
        if not rejection:
            self._newest = announcement
        if announcement.state is State.LEAVING:
            # The word holds however late it comes, and for a start in doubt as well.
            self._note_leave(self._leaving, self._build_leave(announcement.start))
        elif not rejection and not self._is_leaving(announcement.start):
            self._last_leave = None
        return rejection

    def apply_leave(self, identity, start_time_ms, now_ms):
        """Apply the message that a backend server has left.

        Args:
            identity: Identifier of the backend server.
            start_time_ms: Start time of the process that left, in milliseconds of its
                wall clock; 0 when the message doesn't contain it.
            now_ms: Time of this daemon's wall clock in milliseconds.

        Returns:
            Whether the announcement in effect was withdrawn.
        """
        newest = self._newest
        is_newest = newest is not None and newest.identity == identity
        if is_newest and 0 < start_time_ms < newest.start_time_ms:
            # An earlier process with the same identifier has left.
            leave = self._build_leave(Start(identity, start_time_ms))
            self._departed.record(leave)
            self._leaves.setdefault(identity, leave)
            return False
        self._live.clear()
        if start_time_ms:
            leave = self._build_leave(Start(identity, start_time_ms))
        else:
            leave = self._build_leave_of_any(identity, now_ms)
        if is_newest:
            self._departed.record(Leave(identity, newest.start_time_ms))
            self._newest = None
        self._note_leave(self._departed, leave)
        return is_newest

    def apply_leaving_answer(self, identity, now_ms):
        """Apply that a backend server said in an answer that it leaves.

        It keeps leaving whatever it announces later: its heartbeats may still say that
        it is ready.

        Args:
            identity: Identifier of the backend server.
            now_ms: Time of this daemon's wall clock in milliseconds.
        """
        newest = self._newest
        if newest is not None and newest.identity == identity:
            leave = self._build_leave(newest.start)
        else:
            leave = self._build_leave_of_any(identity, now_ms)
        self._note_leave(self._leaving, leave)

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
            self._leaving.record(leave)
            self._leaves.setdefault(leave.identity, leave)
            self._last_leave = leave
        if self._newest is not None and not self._is_leaving(self._newest.start):
            self._last_leave = None

    def _build_leave(self, start):
        """Return the `Leave` of a known start, with what was presumed before."""
        before = self._leaves.get(start.identity)
        return Leave(
            start.identity,
            start.time_ms,
            None if before is None else before.presumed_until_ms,
        )

    def _build_leave_of_any(self, identity, now_ms):
        """Return the `Leave` of whichever start sent a message that names none.

        It may be one that hasn't been heard of, as its first announcement is late.
        """
        newest, before = self._newest, self._leaves.get(identity)
        start_time_ms = None if before is None else before.start_time_ms
        if newest is not None and newest.identity == identity:
            start_time_ms = newest.start_time_ms
        if self._last_leave is not None and self._last_leave.identity == identity:
            # It may exit now, and start again at once.
            return Leave(identity, start_time_ms, now_ms)
        return Leave(identity, start_time_ms, now_ms + MAX_CLOCK_STEP_MS)

    def _note_leave(self, left_starts, leave):
        left_starts.record(leave)
        self._leaves[leave.identity] = leave
        self._last_leave = leave

    def _is_leaving(self, start):
        if self._leaving.contains(start):
            return True
        return start != self._confirmed and self._is_presumed_leaving(start)

    def _is_presumed_leaving(self, start):
        return start.identity == self._suspected or self._leaving.presumes(start)

    def _find_rejection(self, announcement):
        """Return why an announcement is surely outdated, "" if it may be the newest."""
        if self._departed.contains(announcement.start):
            return "this backend server has already left"
        newest = self._newest
        if newest is None or newest.start != announcement.start:
            return ""
        if announcement.sequence <= newest.sequence:
            return "a newer announcement was already applied"
        return ""

    def _settle_doubt(self, announcement, now):
        """Return why a start is not believed to be alive, "" if it is."""
        start, newest = announcement.start, self._newest
        if start == self._confirmed:
            return ""
        doubt = self._find_doubt(start)
        is_settled = self._leaving.contains(start)
        if not doubt and (is_settled or not self._is_presumed_leaving(start)):
            self._live.clear()
            self._confirmed = None
            return ""
        if not self._live.observe(start, announcement.sequence, now):
            return doubt
        self._confirmed = start
        if newest is not None and newest.start != start:
            # One process at a time can be alive here, so the other one has ended.
            self._departed.record(Leave(*newest.start))
        return ""

    def _find_doubt(self, start):
        """Return why the announcements of a start may be late ones, or ""."""
        if self._departed.presumes(start):
            return "this backend server has presumably left"
        newest = self._newest
        if newest is None or newest.start == start:
            return ""
        is_known = start.time_ms > 0 or newest.identity == start.identity
        if is_known and start.time_ms < newest.start_time_ms:
            return "a later start was already announced"
        return ""
