"""Starts of a backend server: which have left, and which are shown to be alive.

A backend server may start again under its identifier, so what it said holds for one
start only. Which start a message is of can be in doubt: a leave may name none, and
start times are readings of a wall clock that may be set in between. Start times
therefore only raise a doubt. What settles it is that a process that is alive goes on
announcing itself, and that messages that were merely late do not.
"""

import math
from typing import NamedTuple

# Announcements in ascending order, and the seconds from the first to the last of them,
# by which a start is shown to be alive. Those that were sent before a leave and arrive
# after it are fewer: they would all have to be that late.
MIN_ANNOUNCEMENTS = 3
MIN_SECONDS = 4.0
# Seconds without an announcement after which a start has to be shown alive anew.
MAX_PAUSE = 6.0


class Start(NamedTuple):
    """One start of a backend server.

    Attributes:
        identity: Identifier of the backend server.
        time_ms: Its start time in milliseconds of its wall clock; 0 when it isn't
            announced.
    """

    identity: str
    time_ms: int


class Leave(NamedTuple):
    """Word that a backend server leaves or has left.

    Attributes:
        identity: Identifier of the backend server.
        start_time_ms: Start time of the process that is known to leave, 0 when it
            doesn't announce it; None when it isn't known which start leaves.
        presumed_until_ms: Start time up to which any other start under the identifier
            is presumed to have left too; None if only `start_time_ms` tells.
    """

    identity: str
    start_time_ms: int | None
    presumed_until_ms: int | None = None

    @property
    def bound_ms(self):
        """Start time up to which starts are presumed to have left, maybe infinite."""
        times = (self.start_time_ms, self.presumed_until_ms)
        return max((time for time in times if time is not None), default=math.inf)


class LeftStarts:
    """Starts that are known, or presumed, to leave or to have left."""

    def __init__(self):
        self._known = set()
        # Start times up to which starts are presumed to have left, by identifier.
        self._bounds = {}

    def record(self, leave):
        """Record a `Leave`."""
        identity = leave.identity
        if leave.start_time_ms is not None:
            self._known.add(Start(identity, leave.start_time_ms))
        bound = self._bounds.get(identity, leave.bound_ms)
        self._bounds[identity] = max(bound, leave.bound_ms)

    def contains(self, start):
        """Return whether a `Start` is known to be among them, once and for all."""
        return start in self._known

    def presumes(self, start):
        """Return whether a `Start` is presumed to be among them."""
        bound = self._bounds.get(start.identity)
        return bound is not None and start.time_ms <= bound


class _Observation(NamedTuple):
    first_at: float
    last_at: float
    sequence: int
    count: int


class LiveStarts:
    """Starts in doubt that are observed until they are shown to be alive."""

    def __init__(self):
        self._observed = {}

    def observe(self, start, sequence, now):
        """Observe an announcement and return whether its start is alive.

        Args:
            start: The `Start`.
            sequence: Sequence number of the announcement.
            now: Time of the event loop's clock in seconds.
        """
        self._observed = {
            each: seen
            for each, seen in self._observed.items()
            if now - seen.last_at <= MAX_PAUSE
        }
        seen = self._observed.get(start)
        if seen is None:
            self._observed[start] = _Observation(now, now, sequence, 1)
            return False
        if sequence <= seen.sequence:
            return False
        seen = seen._replace(last_at=now, sequence=sequence, count=seen.count + 1)
        self._observed[start] = seen
        return seen.count >= MIN_ANNOUNCEMENTS and now - seen.first_at >= MIN_SECONDS

    def clear(self):
        """Forget all observations: what they show is out of date."""
        self._observed.clear()
