"""Connections on which the backend server turned requests down.

A request that was turned down may be sent to the same backend server again. Answers
name the request, not the send: a late second copy of the refusal would pass for the
answer to the next send, while that one runs. The copy can only come over the connection
of the refusal, so the request is never sent over that connection again.
"""

import collections
from typing import NamedTuple

# Requests remembered; each takes some 0.5 kB.
MAX_REQUESTS = 4096
# Characters of an identifier that is remembered; callers choose it.
MAX_IDENTIFIER_CHARACTERS = 200


class RefusedRequest(NamedTuple):
    """A request that was turned down.

    Attributes:
        connections: Numbers of the connections on which it was turned down.
        expires: Time of the event loop's clock after which it isn't sent again.
    """

    connections: frozenset[int]
    expires: float


class RefusalMemory:
    """The connections on which each request was turned down.

    Args:
        max_requests: Maximum number of requests remembered.
    """

    def __init__(self, max_requests=MAX_REQUESTS):
        self._max_requests = max_requests
        self._requests = collections.OrderedDict()

    def __len__(self):
        return len(self._requests)

    def record(self, identifier, connection, expires, now):
        """Remember on which connection a request was turned down.

        Args:
            identifier: Identifier that the answers carry.
            connection: Number of the connection.
            expires: Time after which the request isn't sent again.
            now: Present time of the same clock.

        Returns:
            Whether there was room. If not, the connection must not be used again.
        """
        self._forget_expired(now)
        if len(identifier) > MAX_IDENTIFIER_CHARACTERS:
            return False
        known = self._requests.get(identifier)
        if known is None:
            if len(self._requests) >= self._max_requests:
                return False
            known = RefusedRequest(frozenset(), expires)
        self._requests[identifier] = RefusedRequest(
            known.connections | {connection}, max(known.expires, expires)
        )
        return True

    def find_connections(self, identifier):
        """Return the numbers of the connections on which a request was turned down."""
        known = self._requests.get(identifier)
        return known.connections if known is not None else frozenset()

    def _forget_expired(self, now):
        """Forget the oldest requests that have expired."""
        while self._requests:
            identifier, oldest = next(iter(self._requests.items()))
            if oldest.expires > now:
                return
            del self._requests[identifier]
