"""Admission levels of routes over all endpoints of their services, as daemons tell.

Load pattern: requests that take a second meet a service that has just become full,
four hops down. Learnt from answers, the level comes back with requests that were let
in a second ago; it swings between all and nothing, and most of what is let in fails.
Told by each daemon, it is at the entry a few tenths of a second later, whether answers
come or not.

Told by each daemon to each other one, that would be more messages than there are calls.
So the daemons of a zone tell one of them, the relay, which adds up, tells the relays of
the other zones its sum, and its own zone the sum of all.
"""

import math
import operator
from typing import NamedTuple

from .admission import CLASSES

# Levels are told every tenth of a second; one that missed four of these tellings
# is no longer believed.
TOLD_SECONDS = 0.5
# A share of one in whole numbers, which are short on the way.
WHOLE = 1000
NO_CUTS = (0,) * CLASSES


class RouteCut(NamedTuple):
    """What the endpoints of a route together keep out.

    Attributes:
        route: Name of the route.
        cuts: For each importance, the lowest first, the share that each endpoint
            refuses, added up over the endpoints, in thousandths.
    """

    route: str
    cuts: tuple[int, ...]


class Board:
    """What one daemon was told of the levels of routes."""

    def __init__(self):
        self._levels = {}
        self._sums = {}
        self._total = Told(-math.inf, {})

    def tell(self, address, levels, now):
        """Take what the daemon of an address tells of its backend server.

        Args:
            address: Its address.
            levels: Pairs of a route's name and its level, 0 left out.
            now: Time of the loop's clock in seconds.
        """
        cuts = {route: cut_level(level) for route, level in levels}
        self._levels[address] = Told(now, cuts)

    def tell_sum(self, address, cuts, now):
        """Take the `RouteCut` tuples that a relay tells of its daemons."""
        self._sums[address] = Told(now, dict(cuts))

    def tell_total(self, cuts, now):
        """Take the `RouteCut` tuples of all daemons, which the own relay tells."""
        self._total = Told(now, dict(cuts))

    def add_up(self, now):
        """Return the `RouteCut` tuples of the daemons that tell this one."""
        return _add_cuts(now, self._levels)

    def add_up_all(self, now):
        """Return the `RouteCut` tuples of all daemons, as a relay knows them."""
        return _add_cuts(now, self._levels, self._sums)

    def level(self, route, endpoints, now):
        """Return the level of a route over the endpoints of a service.

        Args:
            route: Name of the route.
            endpoints: `messages.Endpoint` tuples; one that tells nothing admits
                everything.
            now: Time of the loop's clock in seconds.
        """
        total = self._total.cuts
        if now - self._total.time >= TOLD_SECONDS:
            total = dict(self.add_up(now))
        return combine_cuts(total.get(route, ()), len(endpoints))


class Told(NamedTuple):
    """What was told of routes, by route, and when."""

    time: float
    cuts: dict


def _add_cuts(now, *tables):
    """Return the `RouteCut` tuples of what was told lately; older is forgotten.

    Args:
        now: Time of the loop's clock in seconds.
        tables: `Told` by whoever told it.
    """
    sums = {}
    for table in tables:
        _forget_old(table, now)
        for told in table.values():
            for route, cuts in told.cuts.items():
                before = sums.get(route, NO_CUTS)
                sums[route] = tuple(map(operator.add, before, cuts))
    return tuple(RouteCut(route, cuts) for route, cuts in sorted(sums.items()))


def _forget_old(table, now):
    old = [key for key, told in table.items() if now - told.time >= TOLD_SECONDS]
    for key in old:
        del table[key]


def cut_level(level):
    """Return the share of each importance that a level refuses, in thousandths."""
    return tuple(
        round(WHOLE * min(max(level - index, 0.0), 1.0)) for index in range(CLASSES)
    )


def combine_cuts(cuts, count):
    """Return one level that admits about what several endpoints admit together.

    Counted in the importance that is cut at the highest of them. As a plain mean
    of 0 and 1.9 all requests of importance 1 would be let in, though one of two
    endpoints has room for a tenth of its share only.

    Args:
        cuts: Thousandths cut of each importance, added up over the endpoints.
        count: How many endpoints there are, those that cut nothing too.
    """
    for index in reversed(range(len(cuts))):
        if cuts[index] and count:
            return index + min(cuts[index] / (WHOLE * count), 1.0)
    return 0.0
