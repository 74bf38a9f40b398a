"""Choice of the route and of the service for a request.

A route is chosen by host and longest path prefix. If it leads to several services,
smooth weighted round robin distributes the requests over them. With a random choice
the shares would deviate by a tenth over a few hundred requests.
"""

import math
from typing import NamedTuple

from .messages import Importance


class WeightedService(NamedTuple):
    """A service that a route leads to, with its weight.

    Attributes:
        service: Name of the service.
        weight: Weight of the service; its share is the weight over the route's sum.
    """

    service: str
    weight: int


class Route(NamedTuple):
    """Configuration of the requests to one host with one path prefix.

    Attributes:
        name: Name of the route.
        host: Host that requests are addressed to.
        path_prefix: Prefix of their path.
        weighted_services: Services with their weights that the route leads to.
        repeatable: Whether a request may be executed more than once.
        importance: Declared importance.
        timeout: Maximum time until a caller gets an answer, in seconds.
        objective: Target latency in seconds, after which an answer has less value.
        max_endpoints: Maximum number of endpoints that one request is sent to.
        is_public: Whether requests need no key of a workspace.
    """

    name: str
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    repeatable: bool = False
    importance: Importance = Importance.NORMAL
    timeout: float = math.inf
    objective: float = math.inf
    max_endpoints: int = 1
    is_public: bool = False


class RouteTable:
    """Routes of one configuration.

    Args:
        version: Version of the configuration, or 0 without one.
        routes: `Route` tuples.
    """

    def __init__(self, version=0, routes=()):
        self.version = version
        self.routes = tuple(routes)
        self._hosts = {}
        for route in self.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for host_routes in self._hosts.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def find(self, host, path):
        """Return the route of a request, or None.

        Args:
            host: Host without a port, in lower case.
            path: Path without the query.
        """
        for route in self._hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route."""

    def __init__(self):
        self._credits = {}

    def choose(self, route):
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credits.get(route.weighted_services)
        if credits is None:
            credits = self._credits[route.weighted_services] = [0] * len(
                route.weighted_services
            )
        total = 0
        for index, part in enumerate(route.weighted_services):
            credits[index] += part.weight
            total += part.weight
        index = max(range(len(credits)), key=credits.__getitem__)
        credits[index] -= total
        return route.weighted_services[index].service

    def prune(self, table):
        """Drop the state of services that no route of a table leads to any more."""
        weighted_services = {route.weighted_services for route in table.routes}
        self._credits = {
            key: value
            for key, value in self._credits.items()
            if key in weighted_services
        }
