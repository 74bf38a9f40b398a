"""What a daemon has in flight in each direction."""

from .lifecycle import Flight, Way


class FlightCounter:
    """Counts work in flight.

    A planned stop that does not know of a request in flight would cut it off,
    and its caller would be told "unknown" for no good reason.
    """

    def __init__(self):
        self._counts = dict.fromkeys(Way, 0)
        self._last_arrival = 0.0
        self._last_deadline = 0.0

    def start(self, way, now, deadline):
        """Note an arrival at the loop time `now`."""
        self._counts[way] += 1
        self._last_arrival = now
        self._last_deadline = max(self._last_deadline, deadline)

    def end(self, way):
        """Note that something that arrived has been answered."""
        self._counts[way] -= 1

    def count(self, way):
        """Return what is in flight in one direction."""
        return self._counts[way]

    @property
    def last_deadline(self):
        """The latest deadline seen, in seconds of the loop's clock."""
        return self._last_deadline

    def read(self):
        """Return the `Flight` of the moment."""
        inward = self._counts[Way.ENTRY] + self._counts[Way.INWARD]
        return Flight(inward, self._counts[Way.OUTWARD], self._last_arrival)
