"""Who waits for a slot, in which order, and who is dropped first.

Load pattern: bursts, and the chance variation of arrivals around a demand that
the admission level holds at capacity. Without a queue each small burst is
refused although a slot comes free a moment later; with an unbounded one every
request waits until its caller has given up, and the work is wasted.

Order of service: importance, then the time by which the root request should be
answered, then arrival. Requests that make many calls in turn wait at each of them;
by arrival alone the last call of one, for which all else has been done, waits as long
as the first of another. Order of dropping: lowest importance first, then by the hash
that all hops share. Strict rank order within one importance would leave the lowest to
wait until their deadlines and be refused late.
"""

import bisect
import collections
import itertools
import math
from typing import NamedTuple


class Waiter(NamedTuple):
    """One request that waits for a slot.

    Attributes:
        request: The request.
        rank: Its rank, as `messages.rank_request` gives it.
        since: When it began to wait, in seconds of the loop's clock.
        expires: Time by which it must be admitted or refused.
        due: Time by which it goes before others of its importance.
    """

    request: object
    rank: float
    since: float
    expires: float
    due: float = math.inf


class Place(NamedTuple):
    """Where a waiter stands: the lower, the sooner within its importance.

    Attributes:
        importance: Its importance.
        due: When its root request should be answered, in seconds of the loop's
            clock.
        number: Ascending with arrival.
    """

    importance: int
    due: float
    number: int


class Queue:
    """Requests that wait, ordered by importance, what is due first, and arrival."""

    def __init__(self):
        self._classes = collections.defaultdict(list)
        self._places = {}
        self._numbers = itertools.count()
        # No waiter expires before this; scanned for each request, a long queue
        # costs more than the decision itself.
        self._earliest = math.inf

    def __len__(self):
        return len(self._places)

    def __contains__(self, attempt):
        return attempt in self._places

    def add(self, waiter):
        """Add a waiter to its importance."""
        request = waiter.request
        place = Place(int(request.importance), waiter.due, next(self._numbers))
        self._places[request.attempt] = place
        bisect.insort(self._classes[place.importance], (place, waiter))
        self._earliest = min(self._earliest, waiter.expires)

    def remove(self, attempt):
        """Remove and return the waiter of an attempt, or None."""
        place = self._places.pop(attempt, None)
        if place is None:
            return None
        waiters = self._classes[place.importance]
        _, waiter = waiters.pop(bisect.bisect_left(waiters, (place,)))
        return waiter

    def take_next(self):
        """Remove and return the waiter to be served next, or None."""
        for importance in sorted(self._classes, reverse=True):
            waiters = self._classes[importance]
            if waiters:
                _, waiter = waiters[0]
                return self.remove(waiter.request.attempt)
        return None

    def find_next_importance(self):
        """Return the importance of the waiter to be served next, or None."""
        return max((key for key, ws in self._classes.items() if ws), default=None)

    def find_lowest(self, measure):
        """Return the waiter to be dropped first, or None.

        Args:
            measure: Function from a waiter to its margin; of the lowest
                importance the waiter with the smallest margin is dropped.
        """
        for importance in sorted(self._classes):
            waiters = self._classes[importance]
            if waiters:
                return min((waiter for _, waiter in waiters), key=measure)
        return None

    def count_ahead(self, importance):
        """Return how many waiters are served before a newcomer."""
        return sum(
            len(waiters) for key, waiters in self._classes.items() if key >= importance
        )

    def take_expired(self, now):
        """Remove and return the waiters whose time has come."""
        if now < self._earliest:
            return []
        expired = [
            waiter
            for waiters in self._classes.values()
            for _, waiter in waiters
            if waiter.expires <= now
        ]
        for waiter in expired:
            self.remove(waiter.request.attempt)
        self._earliest = self.next_expiry() or math.inf
        return expired

    def next_expiry(self):
        """Return the earliest expiry of all waiters, or None."""
        return min(
            (
                waiter.expires
                for waiters in self._classes.values()
                for _, waiter in waiters
            ),
            default=None,
        )


def measure_margin(rank, level):
    """Return how far a rank is above the level of its flow.

    A hot flow that is cut to a twentieth sends only its highest ranks; compared
    by rank they would push out every other flow. Measured from the level of the
    flow, as a share of what the level lets pass, all flows are even.
    """
    top = int(rank) + 1
    return (rank - level) / (top - level) if level < top else -1.0


def choose_length(rate, reaction, slack):
    """Return how many requests may wait.

    The queue has to hold what arrives by chance above the rate during the time
    that a changed level takes to act, or the variation itself is refused after
    the hops above have done their work. Arrivals and departures both vary, so
    the standard deviation is ``sqrt(2 * rate * reaction)``; three of them leave
    about one refusal in a thousand. But a queue longer than callers can wait is
    work for nobody: at its usual half length the wait is to be half the slack.

    Args:
        rate: Requests a second that the slots can serve.
        reaction: Seconds that a changed level takes to act.
        slack: Seconds that arrivals can wait and still be in time.
    """
    varying = 3.0 * math.sqrt(2.0 * rate * reaction)
    return max(4, math.ceil(min(varying, rate * slack)))
