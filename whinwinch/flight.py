"""Counts of the work that a daemon has in flight in each direction."""

from .lifecycle import Flight, Way


class FlightCounter:
    """Counts the requests and calls in flight.

    A planned stop waits for these. A request that is not counted would be cut off,
    and its caller would receive an unknown outcome that could have been avoided.
    """

    def __init__(self):
        self._counts = dict.fromkeys(Way, 0)
        self._last_arrival = 0.0
        self._last_deadline = 0.0

    def start(self, way, now, deadline):
        """Record the arrival of a request or call.

        Args:
            way: `Way` in which it arrived.
            now: Time of the event loop, in seconds.
            deadline: Its deadline, event loop time.
        """
        self._counts[way] += 1
        self._last_arrival = now
        self._last_deadline = max(self._last_deadline, deadline)

    def end(self, way):
        """Record that a request or call was answered."""
        self._counts[way] -= 1

    def count(self, way):
        """Return the number of requests or calls in flight in one direction."""
        return self._counts[way]

    @property
    def last_deadline(self):
        """The latest deadline of any arrival so far, event loop time in seconds."""
        return self._last_deadline

    def read(self):
        """Return the present counts as a `Flight`."""
        inward = self._counts[Way.ENTRY] + self._counts[Way.INWARD]
        return Flight(inward, self._counts[Way.OUTWARD], self._last_arrival)
