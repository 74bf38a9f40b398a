"""Choice of the route and of the service for a request.

A route is chosen by host and the longest path prefix. Where it names several
services they get their shares by smooth weighted round robin: a draw at random
would be off by a tenth over a few hundred requests.
"""

import math
from typing import NamedTuple

from .messages import Importance


class Part(NamedTuple):
    """A service that a route leads to, and its weight."""

    service: str
    weight: int


class Route(NamedTuple):
    """How requests of one kind are treated.

    Attributes:
        name: Its name.
        host: Host that requests name.
        prefix: Beginning of their path.
        parts: Services that it leads to.
        repeatable: Whether a request may run more than once.
        importance: Declared importance.
        timeout: Longest time that a caller is kept waiting, in seconds.
        objective: Time within which an answer is worth all, in seconds.
        most_endpoints: Endpoints that one request may be handed to.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[Part, ...]
    repeatable: bool = False
    importance: Importance = Importance.NORMAL
    timeout: float = math.inf
    objective: float = math.inf
    most_endpoints: int = 1


class Table:
    """Routes of one configuration.

    Args:
        version: Version of the configuration; 0 for none.
        routes: The `Route` tuples.
    """

    def __init__(self, version=0, routes=()):
        self.version = version
        self.routes = tuple(routes)
        self._hosts = {}
        for route in self.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for listed in self._hosts.values():
            listed.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host, path):
        """Return the route of a request, or None.

        Args:
            host: Host without a port, in lower case.
            path: Path without the query.
        """
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Shares:
    """Smooth weighted round robin over the parts of each route."""

    def __init__(self):
        self._credits = {}

    def choose(self, route):
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._credits.get(route.parts)
        if credits is None:
            credits = self._credits[route.parts] = [0] * len(route.parts)
        total = 0
        for index, part in enumerate(route.parts):
            credits[index] += part.weight
            total += part.weight
        index = max(range(len(credits)), key=credits.__getitem__)
        credits[index] -= total
        return route.parts[index].service

    def keep(self, table):
        """Drop what belongs to no route of a table."""
        parts = {route.parts for route in table.routes}
        self._credits = {
            key: value for key, value in self._credits.items() if key in parts
        }
