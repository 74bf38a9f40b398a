"""The queue of requests that wait for a slot, its order of service and of dropping.

Load pattern: bursts, and the random variation of arrivals around a demand that the
admission level keeps at capacity. Without a queue each small burst is refused although
a slot becomes free a moment later. With an unbounded queue every request waits until
its caller has given up, and the work is wasted.

Order of service: importance, then the time by which the root request should be
answered, then arrival. A request that makes many calls in sequence waits at each of
them. If only arrival counted, its last call, for which all other work has been done,
would wait as long as the first call of another request.

Order of dropping: lowest importance first, then by the hash that all hops share.
Serving strictly by rank within one importance would make the lowest ranks wait until
their deadlines and be refused late.
"""

import bisect
import collections
import itertools
import math
from typing import NamedTuple


class Waiter(NamedTuple):
    """One request that waits for a slot.

    Attributes:
        request: The `messages.Request`.
        rank: Its rank, as returned by `messages.rank_request`.
        since: When it began to wait, in seconds of the loop's clock.
        expires: Time by which it must be admitted or refused.
        due: Time that orders it among requests of its importance, earliest first.
    """

    request: object
    rank: float
    since: float
    expires: float
    due: float = math.inf


class QueuePlace(NamedTuple):
    """Place of a waiter in the queue; within one importance, lower is served first.

    Attributes:
        importance: Importance of the request.
        due: When its root request should be answered, in seconds of the loop's clock.
        arrival: Sequence number in the order of arrival.
    """

    importance: int
    due: float
    arrival: int


class Queue:
    """Waiting requests, ordered by importance, due time and arrival."""

    def __init__(self):
        self._waiters_by_importance = collections.defaultdict(list)
        self._places = {}
        self._arrivals = itertools.count()
        # No waiter expires before this time. Scanning a long queue for each request
        # would cost more than the decision itself.
        self._earliest_expiry = math.inf

    def __len__(self):
        return len(self._places)

    def __contains__(self, attempt):
        return attempt in self._places

    def add(self, waiter):
        """Add a waiter among those of its importance."""
        request = waiter.request
        place = QueuePlace(int(request.importance), waiter.due, next(self._arrivals))
        self._places[request.attempt] = place
        bisect.insort(self._waiters_by_importance[place.importance], (place, waiter))
        self._earliest_expiry = min(self._earliest_expiry, waiter.expires)

    def remove(self, attempt):
        """Remove and return the waiter of an attempt, or None."""
        place = self._places.pop(attempt, None)
        if place is None:
            return None
        waiters = self._waiters_by_importance[place.importance]
        _, waiter = waiters.pop(bisect.bisect_left(waiters, (place,)))
        return waiter

    def pop_next(self):
        """Remove and return the waiter to be served next, or None."""
        for importance in sorted(self._waiters_by_importance, reverse=True):
            waiters = self._waiters_by_importance[importance]
            if waiters:
                _, waiter = waiters[0]
                return self.remove(waiter.request.attempt)
        return None

    def find_next_importance(self):
        """Return the importance of the waiter to be served next, or None."""
        return max(
            (key for key, waiters in self._waiters_by_importance.items() if waiters),
            default=None,
        )

    def find_lowest(self, measure):
        """Return the waiter to be dropped first, or None when nothing waits.

        Args:
            measure: Function from a waiter to its margin above the level. Of the
                waiters of the lowest importance, the one with the smallest margin is
                dropped.
        """
        for importance in sorted(self._waiters_by_importance):
            waiters = self._waiters_by_importance[importance]
            if waiters:
                return min((waiter for _, waiter in waiters), key=measure)
        return None

    def count_ahead(self, importance):
        """Return how many waiters are served before a new request of an importance."""
        return sum(
            len(waiters)
            for key, waiters in self._waiters_by_importance.items()
            if key >= importance
        )

    def pop_expired(self, now):
        """Remove and return the waiters that have expired by `now`."""
        if now < self._earliest_expiry:
            return []
        expired = [
            waiter
            for waiters in self._waiters_by_importance.values()
            for _, waiter in waiters
            if waiter.expires <= now
        ]
        for waiter in expired:
            self.remove(waiter.request.attempt)
        self._earliest_expiry = self.next_expiry() or math.inf
        return expired

    def next_expiry(self):
        """Return the earliest expiry of all waiters, or None when nothing waits."""
        return min(
            (
                waiter.expires
                for waiters in self._waiters_by_importance.values()
                for _, waiter in waiters
            ),
            default=None,
        )


def measure_margin(rank, level):
    """Return the margin of a rank above the level of its flow.

    A hot flow that is cut to a twentieth sends only its highest ranks. Compared by
    rank, they would displace the requests of every other flow. Measured from the level
    of the flow, as a share of the ranks that the level admits, all flows are
    comparable.
    """
    top = int(rank) + 1
    return (rank - level) / (top - level) if level < top else -1.0


def choose_max_length(rate, feedback_delay, slack):
    """Return the maximum number of requests in the queue.

    The queue has to absorb the arrivals that exceed the rate by chance until a changed
    level takes effect. Otherwise the variation itself is refused after the upstream
    services have done their work. Arrivals and departures both vary, so the standard
    deviation is ``sqrt(2 * rate * feedback_delay)``; three of them leave about one
    refusal in a thousand. But in a queue longer than callers can wait, requests are
    served after their callers have given up: at its usual half length, the wait should
    be half the slack.

    Args:
        rate: Requests a second that the slots can serve.
        feedback_delay: Seconds until a changed level takes effect.
        slack: Seconds that arrivals can wait and still be answered in time.
    """
    variation = 3.0 * math.sqrt(2.0 * rate * feedback_delay)
    return max(4, math.ceil(min(variation, rate * slack)))
