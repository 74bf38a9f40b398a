"""Inference of which routes callers use and which calls belong to which requests.

Load pattern: a service deep in the call graph is full. Its refusals reach requests
that all upstream hops have already worked on, and each refused call fails a whole
request. To refuse at the entry instead, a daemon has to distinguish a caller's
request from a call that its local backend server makes, and has to know which
requests make which calls. Calls that carry no reference to their request state
neither. Both are inferred from deadlines, because a call expires together with the
request that made it, or earlier where the call has a shorter timeout itself:

- A request that carries the key of a workspace can't be a call.
- A request that expires later than every request that runs here can't be a call. Its
  connection then belongs to a caller, and so does every other request on it.
- A call with the same deadline as a running request belongs to that request, unless
  the call has its own full timeout left, which only shows that its request has at
  least as much time left.
- A request that makes calls in sequence makes the next one right after the answer to
  the previous one and on the same connection, since its connection pool reuses the
  connection that was returned last.

Deadlines also match by chance. A route therefore counts as an entry, or as the parent
of another route, only after several observations that make up a minimum share of all
of them. A route wrongly inferred as a parent would be refused for the load of a
service that its requests never reach.
"""

import collections
import heapq
import math
from typing import NamedTuple

from . import callpatterns
from .messages import Importance, prefer

# A single observation may be an error: a request may end just before its last call
# arrives.
MIN_OBSERVATIONS = 3
# About 1 % of the observations of a call are deadlines that match by chance. A parent
# that makes a smaller share of a route's calls than this has little effect.
MIN_OBSERVATION_SHARE = 0.05
# A route to the local service becomes an entry after this many requests that match no
# running request, if they also make up this share of its requests.
MIN_UNMATCHED = 8
MIN_UNMATCHED_SHARE = 0.8
# Number of requests that can't be calls before their connection counts as a caller's.
MIN_CALLER_REQUESTS = 2
# Deadlines are sent in whole milliseconds, and a busy event loop reads them late.
DEADLINE_TOLERANCE_SECONDS = 0.004
# The time left that a call states is rounded down to a millisecond.
DEADLINE_ROUNDING_SECONDS = 0.001
# Upper bound on how late a busy event loop reads a call. A call can't expire later
# than all running requests by more than this.
MAX_READ_DELAY_SECONDS = 0.25
# Running requests up to which some 6 % of the calls match a deadline by chance.
MAX_CORRECTING_RUNS = 8
# Longest time between an answer and the next call of the same request.
MAX_NEXT_CALL_DELAY_SECONDS = 0.003
# Calls left beyond which they aren't counted: multiplied at each of 16 hops, the number
# would exceed what a message can carry, and the call would fail.
MAX_CALLS_LEFT = 1000
# The first call of a request is still expected until this many times its usual delay
# has passed.
MAX_FIRST_CALL_DELAYS = 4.0
# Observations of a call between routes before it is reported to other daemons. A wrong
# one misleads only this daemon until then; reported, it would mislead all daemons.
MIN_REPORTED_OBSERVATIONS = 10
# A configuration has some dozens of routes.
MAX_ROUTES = 1024
# Each remembered connection takes about 100 bytes.
MAX_CONNECTIONS = 4096
_NO_PARENTS = {}


class Edge(NamedTuple):
    """Calls that requests of one route make to another.

    Attributes:
        parent: Name of the route whose requests make the calls.
        child: Name of the route that is called.
    """

    parent: str
    child: str


class Topology(NamedTuple):
    """The part of the call topology that daemons report to each other.

    Attributes:
        entries: Names of the routes that callers use.
        calls: `Edge` tuples.
    """

    entries: tuple[str, ...] = ()
    calls: tuple[Edge, ...] = ()


class RunningRequest(NamedTuple):
    """A request that the local backend server executes.

    Attributes:
        route: Name of its route.
        root: Identifier of its root request.
        importance: Its `messages.Importance`.
        deadline: When it expires, by the loop's clock in seconds.
        due: When its answer is due, by the loop's clock in seconds.
        is_repeat: Whether it repeats an earlier request.
        calls_left: Number of calls like it that its root request will probably make
            after it.
    """

    route: str
    root: str
    importance: Importance
    deadline: float
    due: float = math.inf
    is_repeat: bool = False
    calls_left: int = 0


class Run:
    """One execution of a request by the local backend server, with its calls.

    Attributes:
        request: The `RunningRequest`.
        started: When it was sent to the backend server, by the loop's clock.
        importance: Importance that its calls inherit.
        made: Number of calls that it has made.
        calls_in_flight: Number of its calls that haven't been answered.
        last_called_route: Route of its latest call, "" before the first.
        is_confirmed: Whether a matching deadline has confirmed one of its calls.
        has_ended: Whether the backend server no longer executes it.
        has_failed_call: Whether one of its calls failed, so that it probably makes no
            more.
    """

    __slots__ = (
        "calls_in_flight",
        "has_ended",
        "has_failed_call",
        "importance",
        "is_confirmed",
        "last_called_route",
        "made",
        "request",
        "started",
    )

    def __init__(self, request, started):
        self.request = request
        self.started = started
        self.importance = request.importance
        self.made = 0
        self.calls_in_flight = 0
        self.last_called_route = ""
        self.is_confirmed = False
        self.has_ended = False
        self.has_failed_call = False


class Parent(NamedTuple):
    """The inferred parent of a call.

    Attributes:
        run: The `Run`.
        importance: Its importance; where several runs may have made the call, the
            midpoint of theirs.
        due: When its answer is due; where several runs may have made the call, the
            earliest of theirs that hasn't passed.
        made: Number of calls that the request has made, with this one.
    """

    run: Run
    importance: int
    due: float
    made: int = 1


class CallGraph:
    """The routes and calls that one daemon has observed.

    Attributes:
        unknown_until: Time of the loop's clock by which every request has expired that
            the backend server received before this daemon started. Until then its
            calls can't be distinguished from callers' requests.
    """

    def __init__(self):
        self.unknown_until = 0.0
        self._running = {}
        # Running requests by deadline, in buckets of `DEADLINE_TOLERANCE_SECONDS`.
        self._deadline_buckets = {}
        # Heap of the deadlines of abandoned requests, which the backend server may
        # still execute.
        self._abandoned_deadlines = []
        self._arrivals = collections.Counter()
        self._caller_arrivals = collections.Counter()
        self._unmatched = collections.Counter()
        # Number of requests that can't be calls, by connection.
        self._caller_requests = collections.OrderedDict()
        self._entries = set()
        self._parents = {}
        # `Edge` tuples that other daemons reported.
        self._reported_edges = set()
        self._max_time_left = {}
        self._patterns = callpatterns.CallPatterns()
        # By connection: the parent of the call answered last on it, and when.
        self._last_answered = collections.OrderedDict()
        self._rotation = 0

    @property
    def entries(self):
        """Names of the routes that callers use, as observed or reported."""
        return frozenset(self._entries)

    def start(self, attempt, running, now):
        """Record that the local backend server starts to execute a request.

        Args:
            attempt: Identifier of the attempt.
            running: The `RunningRequest`.
            now: Time of the loop's clock in seconds.
        """
        run = self._running[attempt] = Run(running, now)
        self._deadline_buckets.setdefault(_find_bucket(running.deadline), {})[
            attempt
        ] = run

    def end(self, attempt, answered=True, completed=True):
        """Record that the local backend server no longer executes a request.

        Args:
            attempt: Identifier of the attempt.
            answered: Whether it was answered; else the backend server may still
                work on it and make calls.
            completed: Whether it succeeded, so that it has made all its calls.
        """
        run = self._running.pop(attempt, None)
        if run is None:
            return
        run.has_ended = True
        deadline = run.request.deadline
        bucket = _find_bucket(deadline)
        del self._deadline_buckets[bucket][attempt]
        if not self._deadline_buckets[bucket]:
            del self._deadline_buckets[bucket]
        self._find_pattern(run).record_end(run.made, completed)
        if not answered:
            heapq.heappush(self._abandoned_deadlines, deadline)

    def export_topology(self):
        """Return the `Topology` that this daemon observed or that others reported."""
        observed = {
            Edge(parent, child)
            for child, parents in self._parents.items()
            for parent, observations in parents.items()
            if observations >= MIN_REPORTED_OBSERVATIONS
            and _is_confirmed_parent(parents, parent)
        }
        return Topology(
            tuple(sorted(self._entries)),
            tuple(sorted(observed | self._reported_edges)),
        )

    def merge_topology(self, topology):
        """Merge the `Topology` of another daemon.

        Each call counts as `MIN_OBSERVATIONS` local observations, so that local
        observations that contradict it outweigh it in time.
        """
        if len(self._entries) < MAX_ROUTES:
            self._entries.update(topology.entries)
        for edge in topology.calls:
            if edge in self._reported_edges or len(self._reported_edges) >= MAX_ROUTES:
                continue
            self._reported_edges.add(edge)
            self._record_edge(edge.parent, edge.child, MIN_OBSERVATIONS)

    def observe(self, route, connection, deadline, now):
        """Record the arrival of a request or call.

        Args:
            route: Name of its route.
            connection: Number of the connection that it came on.
            deadline: The deadline that it states, by the loop's clock in seconds.
            now: Time of the loop's clock in seconds.

        Returns:
            Whether it certainly comes from a caller.
        """
        is_from_caller = self._is_caller_connection(connection)
        if not is_from_caller and self._expires_last(deadline, now):
            self._record_caller_request(connection)
            is_from_caller = True
        if route in self._entries:
            return True
        if len(self._arrivals) < MAX_ROUTES:
            self._arrivals[route] += 1
        if is_from_caller:
            self._caller_arrivals[route] += 1
            if self._is_confirmed_entry(route):
                self._entries.add(route)
        return is_from_caller

    def record_caller(self, route, connection, is_entry):
        """Record the arrival of a request that shows that it comes from a caller.

        Args:
            route: Name of its route.
            connection: Number of the connection that it came on.
            is_entry: Whether all requests of the route come from callers.
        """
        if is_entry and len(self._entries) < MAX_ROUTES:
            self._entries.add(route)
        self._caller_requests[connection] = MIN_CALLER_REQUESTS
        if len(self._caller_requests) > MAX_CONNECTIONS:
            self._caller_requests.popitem(last=False)

    def is_entry(self, route):
        """Return whether callers use a route, as observed or reported."""
        return route in self._entries

    def find_children(self, route):
        """Return the names of the routes that a route is a confirmed parent of."""
        return frozenset(
            child
            for child, parents in self._parents.items()
            if child not in self._entries and _is_confirmed_parent(parents, route)
        )

    def _record_unmatched(self, route):
        """Record a request to the local service that matches no running request.

        Few services call themselves, and such calls follow each other on one
        connection. A route of which nearly all requests match nothing is an entry.
        """
        if len(self._unmatched) < MAX_ROUTES:
            self._unmatched[route] += 1
        arrivals = self._arrivals[route]
        if (
            arrivals >= MIN_UNMATCHED
            and self._unmatched[route] > MIN_UNMATCHED_SHARE * arrivals
        ):
            self._entries.add(route)

    def begin_call(self, route, connection, deadline, now, is_to_local_service=False):
        """Return the `Parent` of a call, or None where no request can have made it.

        Args:
            route: Name of the call's route.
            connection: Number of the connection that it came on.
            deadline: The deadline that it states, by the loop's clock in seconds.
            now: Time of the loop's clock in seconds.
            is_to_local_service: Whether it goes to the service of the local backend
                server.
        """
        has_full_timeout = self._has_full_timeout(route, deadline - now)
        previous = self._find_previous(route, connection, now)
        matched = None
        if not has_full_timeout and (previous is None or self._can_correct()):
            matched = self._match_deadline(route, deadline)
        if previous is None:
            parent = matched
        elif matched is None or matched.run is previous.run:
            parent = previous._replace(made=previous.made + 1)
        else:
            parent = _build_parent(matched.run, previous.importance)
            parent = parent._replace(made=previous.made + 1)
        if parent is None:
            if is_to_local_service:
                self._record_unmatched(route)
            parent = self._infer_parent(route, deadline, now)
        if parent is not None:
            self._record_call(parent.run, route, now)
        return parent

    def count_calls_left(self, parent):
        """Return how many calls a root request will probably make after its latest one.

        Calls in flight beside the latest one are among them. Those that its requests
        further up the call graph will make are taken to make as many calls each as the
        parent does.

        Args:
            parent: The `Parent` that `begin_call` returned for the latest call.
        """
        run = parent.run
        calls = self._find_pattern(run).calls
        not_made = max(calls - parent.made, 0.0)
        in_flight = max(run.calls_in_flight - 1, 0)
        # A call of another request may have been taken for one of this request.
        own = min(not_made + in_flight, max(calls - 1.0, 0.0))
        calls_left = own + run.request.calls_left * max(calls, 1.0)
        return min(round(calls_left), MAX_CALLS_LEFT)

    def end_call(self, parent, connection, now, succeeded=True):
        """Record that a call of a `Parent` has been answered.

        After a failed call the connection is free for another request. If the next call
        on it counted as one of the same request, each failure would give a request's
        importance and progress to the first call of another one.

        Args:
            parent: The `Parent` that `begin_call` returned.
            connection: Number of the connection that the call came on.
            now: Time of the loop's clock in seconds.
            succeeded: Whether the call succeeded.
        """
        parent.run.calls_in_flight -= 1
        self._last_answered.pop(connection, None)
        if not succeeded:
            parent.run.has_failed_call = True
            return
        self._last_answered[connection] = (parent, now)
        if len(self._last_answered) > MAX_CONNECTIONS:
            self._last_answered.popitem(last=False)

    def _record_call(self, run, route, now):
        if not run.made:
            self._find_pattern(run).record_first_call(now - run.started)
        run.made += 1
        run.calls_in_flight += 1
        run.last_called_route = route

    def _expires_last(self, deadline, now):
        """Return whether a deadline is later than those of all possible parents."""
        earliest = deadline - MAX_READ_DELAY_SECONDS
        if self.unknown_until > earliest:
            return False
        abandoned = self._abandoned_deadlines
        while abandoned and abandoned[0] < now - MAX_READ_DELAY_SECONDS:
            heapq.heappop(abandoned)
        if any(other > earliest for other in abandoned):
            return False
        return not any(
            run.request.deadline > earliest for run in self._running.values()
        )

    def _is_confirmed_entry(self, route):
        """Return whether callers' requests of a route can't be explained by chance."""
        arrivals = self._caller_arrivals[route]
        return arrivals >= max(
            MIN_OBSERVATIONS, MIN_OBSERVATION_SHARE * self._arrivals[route]
        )

    def _is_caller_connection(self, connection):
        return self._caller_requests.get(connection, 0) >= MIN_CALLER_REQUESTS

    def _record_caller_request(self, connection):
        self._caller_requests[connection] = self._caller_requests.get(connection, 0) + 1
        if len(self._caller_requests) > MAX_CONNECTIONS:
            self._caller_requests.popitem(last=False)

    def _has_full_timeout(self, route, time_left):
        """Return whether a call has the longest time left that its route has had.

        Such a call expires by its own timeout and not by its parent's deadline.
        """
        longest = self._max_time_left.get(route, 0.0)
        if time_left > longest and len(self._max_time_left) < MAX_ROUTES:
            self._max_time_left[route] = time_left
        return time_left > longest - 2.0 * DEADLINE_ROUNDING_SECONDS

    def _find_previous(self, route, connection, now):
        """Return the parent of the call just answered on a connection, or None.

        Returns None if that parent has made its latest call to another route or all its
        calls. If it has ended while others like it run, it was the wrong one; with its
        importance and root, the calls of one of the others still belong together.
        """
        parent, answered = self._last_answered.get(connection, (None, 0.0))
        if parent is None or now - answered > MAX_NEXT_CALL_DELAY_SECONDS:
            return None
        run = parent.run
        if run.last_called_route != route:
            return None
        if run.has_ended and not self._is_running(run.request.route):
            return None
        return parent if self._find_pattern(run).has_more(parent.made) else None

    def _is_running(self, route):
        return any(run.request.route == route for run in self._running.values())

    def _find_matching(self, deadline):
        """Return the runs with the same deadline as a call, within the tolerance."""
        middle = _find_bucket(deadline)
        return [
            run
            for bucket in (middle - 1, middle, middle + 1)
            for run in self._deadline_buckets.get(bucket, {}).values()
            if abs(run.request.deadline - deadline) < DEADLINE_TOLERANCE_SECONDS
        ]

    def _can_correct(self):
        """Return whether a matching deadline overrides the order of calls.

        With many running requests, deadlines match by chance more often than that
        connection misleads.
        """
        return len(self._running) <= MAX_CORRECTING_RUNS

    def _match_deadline(self, route, deadline):
        """Return the parent whose deadline is nearest to that of a call, or None."""
        matching = self._find_matching(deadline)
        if not matching:
            return None
        expected = deadline + DEADLINE_ROUNDING_SECONDS / 2.0
        run = min(matching, key=lambda run: abs(run.request.deadline - expected))
        run.is_confirmed = True
        self._record_edge(run.request.route, route)
        return Parent(run, run.importance, run.request.due, run.made + 1)

    def _infer_parent(self, route, deadline, now):
        """Return a parent that may have made a call, or None.

        Of the runs that may make their first call now, choose the one that has run
        for about the mean delay of a first call. The call's importance is the
        midpoint of all candidates: with the importance of the chosen run, half of an
        important request's calls would be shed with those of less important ones;
        with the highest importance nearly all calls would be important at a service
        that mainly serves less important requests.
        """
        earliest = deadline - DEADLINE_TOLERANCE_SECONDS
        possible = [
            run for run in self._running.values() if run.request.deadline > earliest
        ]
        if not possible:
            return None
        possible = [run for run in possible if not run.has_failed_call] or possible
        first = possible[0].request.route
        if all(run.request.route == first for run in possible):
            self._record_edge(first, route)
        else:
            possible = self._prefer_known_parents(possible, route)
        starting = [run for run in possible if self._may_make_first_call(run, now)]
        if starting:
            run = min(
                starting, key=lambda run: (run.made, self._measure_deviation(run, now))
            )
            return _build_inferred_parent(run, starting, now)
        idle = [run for run in possible if not run.calls_in_flight] or possible
        self._rotation += 1
        return _build_inferred_parent(idle[self._rotation % len(idle)], idle, now)

    def _may_make_first_call(self, run, now):
        """Return whether a run may be about to make its first call.

        This includes a run whose first call was only inferred, until a matching
        deadline confirms one of its calls.
        """
        if run.is_confirmed:
            return False
        delay = self._find_pattern(run).delay
        return (
            not run.last_called_route
            or now - run.started < MAX_FIRST_CALL_DELAYS * delay
        )

    def _measure_deviation(self, run, now):
        """Return the seconds between a run's age and the mean delay of a first call."""
        return abs(now - run.started - self._find_pattern(run).delay)

    def _find_pattern(self, run):
        return self._patterns.find(run.request.route)

    def _prefer_known_parents(self, possible, route):
        """Return the runs whose route is a confirmed parent, or all if none is."""
        parents = self._parents.get(route, _NO_PARENTS)
        confirmed = [
            run for run in possible if _is_confirmed_parent(parents, run.request.route)
        ]
        return confirmed or possible

    def _record_edge(self, parent, route, observations=1):
        """Record observations that requests of one route call another."""
        parents = self._parents.get(route)
        if parents is None:
            if len(self._parents) >= MAX_ROUTES:
                return
            parents = self._parents[route] = collections.Counter()
        if parent in parents or len(parents) < MAX_ROUTES:
            parents[parent] += observations


def _is_confirmed_parent(parents, route):
    """Return whether a route made a sufficient share of the calls counted by parent."""
    observations = parents.get(route, 0)
    return observations >= max(
        MIN_OBSERVATIONS, MIN_OBSERVATION_SHARE * sum(parents.values())
    )


def _build_parent(run, importance):
    """Return a run as parent, after raising its importance to at least a given one.

    A request whose first calls were sent with a higher importance than it has itself
    keeps that importance. Otherwise its last calls would be shed and the work on the
    first ones lost.
    """
    run.importance = max(run.importance, importance)
    return Parent(run, run.importance, run.request.due)


def _build_inferred_parent(run, possible, now):
    """Return the run chosen among those that may have made a call as its parent.

    The importance is the midpoint of the lowest and the highest of all candidates,
    rounded up. The due time is the earliest of theirs: with that of the chosen run,
    calls of important requests would wait behind calls that are due sooner.
    """
    middle = _find_middle([run.request.importance for run in possible])
    chosen_due = run.request.due
    due = min(
        (
            candidate.request.due
            for candidate in possible
            if candidate.request.due > now
        ),
        default=chosen_due,
    )
    return _build_parent(run, middle)._replace(importance=middle, due=due)


def _find_middle(importances):
    """Return the midpoint of the declared importances, preferred if all of them are."""
    declared = [importance.declared for importance in importances]
    middle = Importance(math.ceil((min(declared) + max(declared)) / 2.0))
    if all(importance.is_preferred for importance in importances):
        return prefer(middle)
    return middle


def _find_bucket(deadline):
    return int(deadline / DEADLINE_TOLERANCE_SECONDS)
