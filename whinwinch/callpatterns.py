"""How many calls requests of each route make, and when they make the first.

Load pattern: most requests of a route fail, because a service that they call turns them
down. Which call belongs to which request is inferred, and of those that come through
some calls are taken for others'. If the means followed them, the first call of four
would be taken for the second, and the next one for another request's.
"""

import collections

# Number of requests before the mean number of their calls counts as known.
MIN_ENDED_REQUESTS = 3
# Weight of a new sample in the means of a call pattern: an average over about the last
# fifty requests.
PATTERN_WEIGHT = 0.02
# Share of the requests of a route that must succeed for their calls to be counted.
MIN_COMPLETED_SHARE = 0.9
# A request counts as done with its calls when it is within this of the mean number.
MIN_REMAINING_CALLS = 0.5
# A configuration has some dozens of routes.
MAX_PATTERNS = 1024


class CallPattern:
    """Moving averages of the calls that requests of one route make.

    Attributes:
        calls: Mean number of calls per request.
        delay: Mean time until the first call in seconds.
    """

    __slots__ = (
        "_completed_share",
        "_delay_samples",
        "_ended_requests",
        "calls",
        "delay",
    )

    def __init__(self):
        self.calls = 0.0
        self.delay = 0.0
        self._completed_share = 1.0
        self._ended_requests = 0
        self._delay_samples = 0

    def record_end(self, made, completed):
        """Update the mean number of calls with one request that has ended.

        Args:
            made: Number of calls that were taken for its own.
            completed: Whether it succeeded, so that it has made all its calls. While
                many don't, the calls of those that do are often taken for others'.
        """
        self._completed_share += PATTERN_WEIGHT * (completed - self._completed_share)
        if not completed or self._completed_share < MIN_COMPLETED_SHARE:
            return
        self._ended_requests += 1
        self.calls += max(PATTERN_WEIGHT, 1.0 / self._ended_requests) * (
            made - self.calls
        )

    def record_first_call(self, delay):
        """Update the mean delay with the time until one request's first call."""
        self._delay_samples += 1
        self.delay += max(PATTERN_WEIGHT, 1.0 / self._delay_samples) * (
            delay - self.delay
        )

    def has_more(self, made):
        """Return whether a request that has made `made` calls probably makes more."""
        return (
            self._ended_requests < MIN_ENDED_REQUESTS
            or made < self.calls - MIN_REMAINING_CALLS
        )


class CallPatterns:
    """The patterns of all routes whose requests ran here."""

    def __init__(self):
        self._patterns = collections.OrderedDict()

    def find(self, route):
        """Return the `CallPattern` of a route, created at its first use."""
        pattern = self._patterns.get(route)
        if pattern is None:
            pattern = self._patterns[route] = CallPattern()
            if len(self._patterns) > MAX_PATTERNS:
                self._patterns.popitem(last=False)
        return pattern
