"""Which routes callers use, and which calls belong to which requests.

Load pattern: a service deep down is full. Its refusals reach requests for which
all hops above have worked, and each refused call fails a whole request. To refuse
at the entry instead, a daemon has to tell a caller's request from a call that its
own backend server makes, and has to know which requests make which calls. Where
calls carry nothing of the request that made them, neither can be read off; both
can be seen, because a call expires with the request that made it, or earlier where
the call's own longest time is shorter:

- What expires after everything that runs here can't be a call. The connection it
  came on is then a caller's, and so is all else that comes on it.
- A call with the deadline of a running request belongs to that request, unless it
  has its own longest time, which says only that the request has as much left.
- A request that makes calls one after the other makes the next one right after the
  answer to the one before, on the same connection, since that is the one that its
  pool of connections got back last.

Chance makes deadlines meet too. So a route counts as a caller's, or as the parent
of another, only from several sights that are a fair share of all. A route that is
wrongly taken for another's parent is refused for a load that isn't its own, at a
service that its requests never meet.
"""

import collections
import heapq
import math
from typing import NamedTuple

# One sight proves nothing: a request may end just before its last call arrives.
SURE_SIGHTS = 3
# Chance meetings of deadlines were 1 % of the sights of a call; a parent that makes
# fewer of a route's calls than this isn't worth knowing.
SURE_SHARE = 0.05
# Requests for the own service that no call can be matched with, and their share of
# all, from which on callers make them.
SURE_STRAYS = 8
STRAY_SHARE = 0.8
# Requests that can't be calls make their connection a caller's.
SURE_PROOFS = 2
# Deadlines travel in whole milliseconds, and a busy event loop reads late.
SAME_SECONDS = 0.004
# What a call has left is rounded down to a millisecond.
ROUNDING_SECONDS = 0.001
# A busy event loop reads a call this late at most; so much later than all that runs
# a call can't expire.
PROOF_SECONDS = 0.25
# The next call of a request comes this soon after the answer to the one before.
CHAIN_SECONDS = 0.003
# Of the usual number of calls and time until the first the last fifty or so count.
HABIT_WEIGHT = 0.02
# A request has made all its calls when the mean is less than this above.
MORE_CALLS = 0.5
# Until this many times the usual delay has passed a first call may still come.
YOUNG_DELAYS = 4.0
# Sights of a call from which on other daemons are told of it. What one takes wrongly
# for a call misleads it alone; told, it would mislead all.
TOLD_SIGHTS = 10
# Routes remembered at most; a configuration has some dozens.
MOST_ROUTES = 1024
# Connections of callers remembered at most, some 100 bytes each.
MOST_CONNECTIONS = 4096
_NO_PARENTS = {}


class Edge(NamedTuple):
    """Requests of one route make calls of another."""

    parent: str
    child: str


class Facts(NamedTuple):
    """What a daemon can tell others of routes.

    Attributes:
        entries: Names of the routes that callers use.
        calls: `Edge` tuples.
    """

    entries: tuple[str, ...] = ()
    calls: tuple[Edge, ...] = ()


class Running(NamedTuple):
    """A request inside the own backend server; times in the loop's seconds."""

    route: str
    root: str
    importance: int
    deadline: float
    due: float = math.inf
    is_repeat: bool = False


class Run:
    """A request inside the own backend server, and the calls it has made.

    Attributes:
        request: `Running`.
        started: When it went in.
        importance: What its calls get.
        made: How many calls it has made.
        out: How many of them are out.
        called: Route of its latest call, "" before the first.
        is_sure: Whether its deadline has shown a call to be its own.
        has_ended: Whether it has come out.
    """

    __slots__ = (
        "called",
        "has_ended",
        "importance",
        "is_sure",
        "made",
        "out",
        "request",
        "started",
    )

    def __init__(self, request, started):
        self.request = request
        self.started = started
        self.importance = request.importance
        self.made = 0
        self.out = 0
        self.called = ""
        self.is_sure = False
        self.has_ended = False


class Parent(NamedTuple):
    """What made a call, as far as can be told.

    Attributes:
        run: The `Run`.
        importance: Its importance; where others may have made the call too, one
            between theirs.
        due: Time by which its answer is due; where others may have made the call
            too, the earliest of theirs that is still to come.
    """

    run: Run
    importance: int
    due: float


class Habit:
    """What the requests of one route usually do.

    Attributes:
        calls: Mean number of calls that one makes.
        delay: Mean seconds until the first.
    """

    __slots__ = ("_ends", "_firsts", "calls", "delay")

    def __init__(self):
        self.calls = 0.0
        self.delay = 0.0
        self._ends = 0
        self._firsts = 0

    def note_end(self, made):
        """Take the number of calls that one has made in all."""
        self._ends += 1
        self.calls += max(HABIT_WEIGHT, 1.0 / self._ends) * (made - self.calls)

    def note_first(self, delay):
        """Take the time until the first call of one."""
        self._firsts += 1
        self.delay += max(HABIT_WEIGHT, 1.0 / self._firsts) * (delay - self.delay)

    def has_more(self, made):
        """Return whether another call is likely after so many."""
        return self._ends < SURE_SIGHTS or made < self.calls - MORE_CALLS


class CallGraph:
    """What one daemon has seen of routes and calls.

    Attributes:
        horizon: Time of the loop's clock by which everything has expired that the
            backend server was given before this daemon started. Until then its
            calls look like those of callers.
    """

    def __init__(self):
        self.horizon = 0.0
        self._running = {}
        # Running requests by deadline, in steps of `SAME_SECONDS`.
        self._steps = {}
        # Requests given up on, which the backend server may still work on.
        self._given_up = []
        self._arrivals = collections.Counter()
        self._sights = collections.Counter()
        self._strays = collections.Counter()
        self._proofs = collections.OrderedDict()
        self._entries = set()
        self._parents = {}
        # `Edge` tuples that others told.
        self._told = set()
        self._longest = {}
        self._habits = collections.OrderedDict()
        # By connection: the run whose call was answered last on it, and when.
        self._last = collections.OrderedDict()
        self._turn = 0

    @property
    def entries(self):
        """Names of the routes that callers are known to use."""
        return frozenset(self._entries)

    def start(self, attempt, running, now):
        """Note that a request goes into the own backend server."""
        run = self._running[attempt] = Run(running, now)
        self._steps.setdefault(_find_step(running.deadline), {})[attempt] = run

    def end(self, attempt, answered=True, whole=True):
        """Note that it has come out.

        Args:
            attempt: The attempt.
            answered: Whether by its answer; else the backend server may still
                work on it and make calls.
            whole: Whether with success, so that it has made all its calls.
        """
        run = self._running.pop(attempt, None)
        if run is None:
            return
        run.has_ended = True
        deadline = run.request.deadline
        step = _find_step(deadline)
        del self._steps[step][attempt]
        if not self._steps[step]:
            del self._steps[step]
        if whole:
            self._find_habit(run).note_end(run.made)
        if not answered:
            heapq.heappush(self._given_up, deadline)

    def list_facts(self):
        """Return the `Facts` that were seen here or told by others."""
        seen = {
            Edge(parent, child)
            for child, parents in self._parents.items()
            for parent, sights in parents.items()
            if sights >= TOLD_SIGHTS and _is_parent(parents, parent)
        }
        return Facts(tuple(sorted(self._entries)), tuple(sorted(seen | self._told)))

    def learn(self, facts):
        """Take the `Facts` of another daemon.

        They stand for the first sights here: what is seen here goes against them where
        it differs.
        """
        if len(self._entries) < MOST_ROUTES:
            self._entries.update(facts.entries)
        for edge in facts.calls:
            if edge in self._told or len(self._told) >= MOST_ROUTES:
                continue
            self._told.add(edge)
            self._note_child(edge.parent, edge.child, SURE_SIGHTS)

    def observe(self, route, connection, deadline, now):
        """Take the arrival of a request or call.

        Args:
            route: Name of its route.
            connection: Number of the connection that it came on.
            deadline: When it expires, as it states itself.
            now: Time of the loop's clock.

        Returns:
            Whether it surely comes from a caller.
        """
        proven = self._is_callers(connection)
        if not proven and self._expires_last(deadline, now):
            self._note_proof(connection)
            proven = True
        if route in self._entries:
            return True
        if len(self._arrivals) < MOST_ROUTES:
            self._arrivals[route] += 1
        if proven:
            self._sights[route] += 1
            if self._is_sure(route):
                self._entries.add(route)
        return proven

    def is_entry(self, route):
        """Return whether a route is surely one that callers use."""
        return route in self._entries

    def find_children(self, route):
        """Return the routes that requests of a route are known to call."""
        return frozenset(
            child
            for child, parents in self._parents.items()
            if child not in self._entries and _is_parent(parents, route)
        )

    def _note_stray(self, route):
        """Take a request for the own service that nothing shows to be a call.

        A service that calls itself is rare, and its calls follow each other; where
        nearly all come out of nothing, callers make them.
        """
        if len(self._strays) < MOST_ROUTES:
            self._strays[route] += 1
        arrivals = self._arrivals[route]
        if arrivals >= SURE_STRAYS and self._strays[route] > STRAY_SHARE * arrivals:
            self._entries.add(route)

    def begin_call(self, route, connection, deadline, now, is_own=False):
        """Return the `Parent` of a call, or None where nothing can have made it.

        Args:
            route: Name of the call's route.
            connection: Number of the connection that it came on.
            deadline: When the call expires, as it states itself.
            now: Time of the loop's clock.
            is_own: Whether it goes to the service of the own backend server.
        """
        same = ()
        is_longest = self._is_longest(route, deadline - now)
        if not is_longest:
            same = self._find_same(deadline)
        last = self._find_last(route, connection, now)
        if last is not None and (is_longest or last.run in same):
            parent = last
        else:
            parent = self._find_nearest(same, route, deadline)
            if parent is not None and last is not None:
                parent = _carry(parent.run, last.importance)
        if parent is None:
            if is_own:
                self._note_stray(route)
            parent = self._guess(route, deadline, now)
        if parent is not None:
            self._note_call(parent.run, route, now)
        return parent

    def end_call(self, parent, connection, now):
        """Note that a call of a `Parent` has been answered."""
        parent.run.out -= 1
        self._last.pop(connection, None)
        self._last[connection] = (parent, now)
        if len(self._last) > MOST_CONNECTIONS:
            self._last.popitem(last=False)

    def _note_call(self, run, route, now):
        if not run.made:
            self._find_habit(run).note_first(now - run.started)
        run.made += 1
        run.out += 1
        run.called = route

    def _expires_last(self, deadline, now):
        """Return whether a deadline is later than that of all that may call."""
        earliest = deadline - PROOF_SECONDS
        if self.horizon > earliest:
            return False
        given_up = self._given_up
        while given_up and given_up[0] < now - PROOF_SECONDS:
            heapq.heappop(given_up)
        if any(other > earliest for other in given_up):
            return False
        return not any(
            run.request.deadline > earliest for run in self._running.values()
        )

    def _is_sure(self, route):
        """Return whether the sights of a caller's route are more than chance."""
        sights = self._sights[route]
        return sights >= max(SURE_SIGHTS, SURE_SHARE * self._arrivals[route])

    def _is_callers(self, connection):
        return self._proofs.get(connection, 0) >= SURE_PROOFS

    def _note_proof(self, connection):
        self._proofs[connection] = self._proofs.get(connection, 0) + 1
        if len(self._proofs) > MOST_CONNECTIONS:
            self._proofs.popitem(last=False)

    def _is_longest(self, route, left):
        """Return whether a call has the longest time of its route left.

        Then it is its own time that ends it, not its parent's deadline.
        """
        longest = self._longest.get(route, 0.0)
        if left > longest and len(self._longest) < MOST_ROUTES:
            self._longest[route] = left
        return left > longest - 2.0 * ROUNDING_SECONDS

    def _find_last(self, route, connection, now):
        """Return the parent whose call a connection has just been answered."""
        parent, answered = self._last.get(connection, (None, 0.0))
        if parent is None or now - answered > CHAIN_SECONDS:
            return None
        run = parent.run
        if run.has_ended or run.called != route:
            return None
        return parent if self._find_habit(run).has_more(run.made) else None

    def _find_same(self, deadline):
        """Return the runs that expire with a call."""
        middle = _find_step(deadline)
        return [
            run
            for step in (middle - 1, middle, middle + 1)
            for run in self._steps.get(step, {}).values()
            if abs(run.request.deadline - deadline) < SAME_SECONDS
        ]

    def _find_nearest(self, same, route, deadline):
        """Return the parent that expires next to a call, or None."""
        if not same:
            return None
        expected = deadline + ROUNDING_SECONDS / 2.0
        run = min(same, key=lambda run: abs(run.request.deadline - expected))
        run.is_sure = True
        self._note_child(run.request.route, route)
        return Parent(run, run.importance, run.request.due)

    def _guess(self, route, deadline, now):
        """Return a parent that may have made a call, or None.

        Of the requests that may make their first call the one that has run about as
        long as most have until then. Its importance is between theirs: at the
        guessed one half of an important request's calls would be shed with those of
        lesser ones; at the highest nearly all calls would be important, at a service
        that the lesser ones make most calls of.
        """
        earliest = deadline - SAME_SECONDS
        possible = [
            run for run in self._running.values() if run.request.deadline > earliest
        ]
        if not possible:
            return None
        first = possible[0].request.route
        if all(run.request.route == first for run in possible):
            self._note_child(first, route)
        else:
            possible = self._keep_fitting(possible, route)
        young = [run for run in possible if self._is_young(run, now)]
        if young:
            run = min(young, key=lambda run: (run.made, self._measure_haste(run, now)))
            return _guess_parent(run, young, now)
        idle = [run for run in possible if not run.out] or possible
        self._turn += 1
        return _guess_parent(idle[self._turn % len(idle)], idle, now)

    def _is_young(self, run, now):
        """Return whether a run may be about to make its first call.

        Also one that was guessed to have made it, until its deadline confirms that.
        """
        if run.is_sure:
            return False
        delay = self._find_habit(run).delay
        return not run.called or now - run.started < YOUNG_DELAYS * delay

    def _measure_haste(self, run, now):
        """Return how far a run is from the usual time of its first call."""
        return abs(now - run.started - self._find_habit(run).delay)

    def _find_habit(self, run):
        route = run.request.route
        habit = self._habits.get(route)
        if habit is None:
            habit = self._habits[route] = Habit()
            if len(self._habits) > MOST_ROUTES:
                self._habits.popitem(last=False)
        return habit

    def _keep_fitting(self, possible, route):
        """Return those whose route is known to call another, or all."""
        parents = self._parents.get(route, _NO_PARENTS)
        fitting = [run for run in possible if _is_parent(parents, run.request.route)]
        return fitting or possible

    def _note_child(self, parent, route, sights=1):
        """Note calls that requests of no other route are likely to have made."""
        parents = self._parents.get(route)
        if parents is None:
            if len(self._parents) >= MOST_ROUTES:
                return
            parents = self._parents[route] = collections.Counter()
        if parent in parents or len(parents) < MOST_ROUTES:
            parents[parent] += sights


def _is_parent(parents, route):
    """Return whether a route made enough of the calls counted by parent."""
    sights = parents.get(route, 0)
    return sights >= max(SURE_SIGHTS, SURE_SHARE * sum(parents.values()))


def _carry(run, importance):
    """Return a run as parent, with some importance at least from now on.

    A request whose first calls went as more important than it is keeps that. Its
    last calls would be shed otherwise, with all that was done for the first.
    """
    run.importance = max(run.importance, importance)
    return Parent(run, run.importance, run.request.due)


def _guess_parent(run, possible, now):
    """Return one of the runs that may have made a call as its parent.

    Its importance is between theirs, the higher of two. It goes by the earliest time
    of theirs: by that of the guessed one calls of important requests would wait behind
    what is due sooner.
    """
    importances = [int(other.request.importance) for other in possible]
    middle = math.ceil((min(importances) + max(importances)) / 2.0)
    own = run.request.due
    due = min((o.request.due for o in possible if o.request.due > now), default=own)
    return _carry(run, middle)._replace(importance=middle, due=due)


def _find_step(deadline):
    return int(deadline / SAME_SECONDS)
