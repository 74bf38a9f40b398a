"""When the callers of a daemon have been routed to other daemons.

Load pattern: a release replaces most endpoints of a service under load, and the
instance of each goes a few seconds after its backend server has announced that it
leaves. Callers need about two seconds to be routed elsewhere. If that began only with
the signal to stop, the daemon would still have requests in flight when its instance
is switched off, and their callers would be cut off.
"""

import math

# Seconds from the first failed readiness probe until callers have been routed to other
# daemons.
ROUTING_SECONDS = 2.2
# Seconds without a request after which no more are expected. If too few daemons of an
# availability zone are ready, callers are not routed away.
QUIET_SECONDS = 0.5


class CallerDrain:
    """State of one daemon: since when its callers have been routed elsewhere."""

    def __init__(self):
        self._began_at = None
        self._last_arrival = -math.inf

    @property
    def is_active(self):
        """Whether callers are being, or have been, routed to other daemons."""
        return self._began_at is not None

    def begin(self, now):
        """Begin to route callers elsewhere, unless that has begun already.

        Args:
            now: Event loop time, in seconds.

        Returns:
            Whether it begins now.
        """
        if self.is_active:
            return False
        self._began_at = now
        return True

    def cancel(self):
        """Let callers in again; return whether they were being routed elsewhere."""
        was_active = self.is_active
        self._began_at = None
        return was_active

    def record_arrival(self, now):
        """Record that a request has arrived at a time of the event loop."""
        self._last_arrival = now

    def is_complete(self, now):
        """Return whether no caller is expected to send another request."""
        if not self.is_active or now - self._began_at < ROUTING_SECONDS:
            return False
        return now - self._last_arrival >= QUIET_SECONDS

    def find_quiet_seconds(self, now):
        """Return the seconds since the last request, -1 if none has arrived."""
        return now - self._last_arrival if self._last_arrival > -math.inf else -1.0

    def find_age(self, now):
        """Return the seconds since it began, 0 if callers are let in."""
        return now - self._began_at if self.is_active else 0.0
