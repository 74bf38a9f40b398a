"""Endpoints that one request may still be sent to.

Load pattern: the backend servers of a service turn down part of what arrives, whoever
sends it, although they have free slots. A route may allow two endpoints for a request.
If each of them got the request once, a caller's request whose work takes eight calls of
that service would nearly always miss one of them, however many repeats the budget of
repeats still allows. Work that was turned down has not run, so the same endpoint may be
asked again. The request still reaches no more endpoints than its route allows.
"""

import collections

from .messages import Outcome, Reason

# Times that one endpoint is sent the same request at most: with two endpoints that turn
# down half, all but one in 64 requests are admitted by one of them.
MAX_SENDS_PER_ENDPOINT = 3


class Tries:
    """The endpoints that one request was sent to.

    Args:
        max_endpoints: Maximum number of endpoints whose backend servers may receive
            the request.

    Attributes:
        has_begun: Whether the request has been sent to any endpoint's daemon.
    """

    def __init__(self, max_endpoints):
        self.has_begun = False
        self._max_endpoints = max_endpoints
        self._tried = set()
        self._reached = set()
        self._may_have_run = False
        # Number of times that the backend server turned the request down, by address.
        self._turned_down = collections.Counter()

    @property
    def has_reached_backend(self):
        """Whether a backend server may have received the request."""
        return bool(self._reached)

    def record(self, address, answer):
        """Record the `messages.Answer` of the endpoint at an address."""
        self._tried.add(address)
        self._may_have_run |= answer.outcome is Outcome.UNKNOWN
        if answer.reached_backend or answer.outcome is Outcome.UNKNOWN:
            self._reached.add(address)
        if answer.reason is Reason.SHED:
            self._turned_down[address] += 1

    def find_excluded(self, addresses):
        """Return the addresses that the request isn't sent to next.

        Endpoints that were not tried come first, then those that turned the request
        down the fewest times.

        Args:
            addresses: Addresses of the endpoints that can be reached.
        """
        if self._count_untried(addresses) > 0:
            return self._tried
        again = self._list_repeatable(addresses)
        fewest = min((self._turned_down[each] for each in again), default=0)
        chosen = {each for each in again if self._turned_down[each] == fewest}
        return set(addresses) - chosen

    def count_remaining(self, addresses):
        """Return how many more times the request may be sent.

        Args:
            addresses: Addresses of the endpoints that can be reached.
        """
        again = self._list_repeatable(addresses)
        sends = sum(MAX_SENDS_PER_ENDPOINT - self._turned_down[each] for each in again)
        return self._count_untried(addresses) + sends

    def _count_untried(self, addresses):
        """Return how many endpoints that were not tried the request may be sent to."""
        untried = sum(each not in self._tried for each in addresses)
        return max(0, min(untried, self._max_endpoints - len(self._reached)))

    def _list_repeatable(self, addresses):
        """Return the endpoints that turned the request down and may be asked again.

        A request that may have run is sent to each endpoint once.
        """
        if self._may_have_run:
            return []
        return [
            each
            for each in addresses
            if 0 < self._turned_down[each] < MAX_SENDS_PER_ENDPOINT
        ]
