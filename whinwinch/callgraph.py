"""Which routes callers use, and which calls belong to which requests.

Load pattern: a service deep down is full. Its refusals reach requests for which
all hops above have worked, and each refused call fails a whole request. To refuse
at the entry instead, a daemon has to tell a caller's request from a call that its
own backend server makes, and has to know which requests make which calls. Where
calls carry nothing of the request that made them, neither can be read off; both
can be seen:

- A call that comes while the backend server runs nothing isn't one of its own: the
  route is one that callers use.
- A call that comes while only requests of one route run belongs to one of these.

Both are certain, and at usual load each is seen within seconds. Under load, when
requests of several routes run at all times, the deadline tells more: a call expires
with the request that made it, or earlier where the call's own longest time is
shorter. So a call with the deadline of a running request belongs to that request,
and no call belongs to a request that expires before it.

Nothing is guessed from how often things happen together: a route that is taken for
another's caller would be refused for a load that isn't its own.
"""

import collections
from typing import NamedTuple

# A run may end, for its deadline, just before its last call arrives; one sight
# proves nothing.
SURE_SIGHTS = 2
# Deadlines travel in whole milliseconds, and a busy event loop reads late.
SAME_SECONDS = 0.004
# Routes remembered at most; a configuration has some dozens.
MOST_ROUTES = 1024


class Running(NamedTuple):
    """A request inside the own backend server; times in the loop's seconds."""

    route: str
    root: str
    importance: int
    deadline: float


class CallGraph:
    """What one daemon has seen of routes and calls."""

    def __init__(self):
        self._running = {}
        # Running requests by deadline, in steps of `SAME_SECONDS`.
        self._steps = {}
        self._idle_sights = collections.Counter()
        self._sole_sights = collections.Counter()
        self._entries = set()
        self._children = {}
        self._turn = 0

    @property
    def entries(self):
        """Names of the routes that callers are known to use."""
        return frozenset(self._entries)

    def start(self, attempt, running):
        """Note that a request goes into the own backend server."""
        self._running[attempt] = running
        self._steps.setdefault(_find_step(running.deadline), {})[attempt] = running

    def end(self, attempt):
        """Note that it has come out."""
        running = self._running.pop(attempt, None)
        if running is None:
            return
        step = _find_step(running.deadline)
        del self._steps[step][attempt]
        if not self._steps[step]:
            del self._steps[step]

    def learn_entries(self, names):
        """Take routes that other daemons know callers to use."""
        if len(self._entries) < MOST_ROUTES and not self._entries.issuperset(names):
            self._entries.update(names)
            self._drop_entries()

    def observe(self, route):
        """Take the arrival of a request or call.

        Args:
            route: Name of its route.

        Returns:
            Whether the route has just been found to be one that callers use.
        """
        if route in self._entries or self._running:
            return False
        return self._note_idle(route)

    def is_entry(self, route):
        """Return whether a route is surely one that callers use."""
        return route in self._entries

    def find_children(self, route):
        """Return the routes that requests of a route are known to call."""
        return self._children.get(route, frozenset())

    def choose_parent(self, route, deadline):
        """Return the `Running` that has made a call, or may have, or None.

        Where several may have, it is one of them in turn. For a single call that
        is a guess; over many calls each importance has its right part of them,
        which is all that it is used for.

        Args:
            route: Name of the call's route.
            deadline: When the call expires, as it states itself.
        """
        exact = self._find_exact(deadline)
        if exact is not None:
            self._note_child(exact.route, route)
            return exact
        earliest = deadline - SAME_SECONDS
        possible = [
            running for running in self._running.values() if running.deadline > earliest
        ]
        if not possible:
            return None
        first = possible[0].route
        if all(running.route == first for running in possible):
            self._note_child(first, route)
        else:
            possible = self._keep_fitting(possible, route)
        self._turn += 1
        return possible[self._turn % len(possible)]

    def _keep_fitting(self, possible, route):
        """Return those whose route is known to call another, or all."""
        parents = {
            parent for parent, children in self._children.items() if route in children
        }
        fitting = [running for running in possible if running.route in parents]
        return fitting or possible

    def _find_exact(self, deadline):
        """Return the running request that expires with a call, or None."""
        nearest, distance = None, SAME_SECONDS
        middle = _find_step(deadline)
        for step in (middle - 1, middle, middle + 1):
            for running in self._steps.get(step, {}).values():
                apart = abs(running.deadline - deadline)
                if apart < distance:
                    nearest, distance = running, apart
        return nearest

    def _note_idle(self, route):
        self._idle_sights[route] += 1
        if self._idle_sights[route] < SURE_SIGHTS:
            return False
        self._idle_sights.pop(route)
        if len(self._entries) < MOST_ROUTES:
            self._entries.add(route)
            self._drop_entries()
        return True

    def _drop_entries(self):
        """Take routes that callers use out of what others were seen to call."""
        self._children = {
            parent: children - self._entries
            for parent, children in self._children.items()
        }

    def _note_child(self, parent, route):
        """Note a call that requests of no other route can have made."""
        pair = (parent, route)
        self._sole_sights[pair] += 1
        if self._sole_sights[pair] >= SURE_SIGHTS:
            children = self._children.get(parent, frozenset())
            if len(children) < MOST_ROUTES and route not in self._entries:
                self._children[parent] = children | {route}


def _find_step(deadline):
    return int(deadline / SAME_SECONDS)
