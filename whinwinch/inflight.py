"""Counts of the work that a daemon has in flight in each direction."""

from .lifecycle import Direction, InFlight


class InFlightCounter:
    """Counts the requests and calls in flight.

    A planned stop waits for these. A request that is not counted would be cut off,
    and its caller would receive an unknown outcome that could have been avoided.
    """

    def __init__(self):
        self._counts = dict.fromkeys(Direction, 0)
        self._last_arrival = 0.0
        self._last_deadline = 0.0

    def start(self, direction, now, deadline):
        """Record the arrival of a request or call.

        Args:
            direction: `Direction` in which it arrived.
            now: Time of the event loop, in seconds.
            deadline: Its deadline, event loop time.
        """
        self._counts[direction] += 1
        self._last_arrival = now
        self._last_deadline = max(self._last_deadline, deadline)

    def end(self, direction):
        """Record that a request or call was answered."""
        self._counts[direction] -= 1

    def count(self, direction):
        """Return the number of requests or calls in flight in one direction."""
        return self._counts[direction]

    @property
    def last_deadline(self):
        """The latest deadline of any arrival so far, event loop time in seconds."""
        return self._last_deadline

    def snapshot(self):
        """Return the present counts as an `InFlight`."""
        inward = self._counts[Direction.ENTRY] + self._counts[Direction.INWARD]
        return InFlight(inward, self._counts[Direction.OUTWARD], self._last_arrival)
