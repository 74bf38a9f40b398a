"""Plays requests that call the endpoints of one service several times in turn.

Without a network: an entry that hears the level late, endpoints that hear of each
other a little late, callers that come back once after a refusal.
"""

import bisect
import collections
import heapq
import itertools
import random
import statistics
from typing import NamedTuple

from whinwinch import gate, levels, messages, pools

TELL_SECONDS = 0.1
# From a gate to the entries, over the services between.
TOLD_SECONDS = 0.35
CALL_TIMEOUT = 0.7
# From the answer of one call to the next one.
NEXT_SECONDS = 0.003


class Flow(NamedTuple):
    """Requests of one kind.

    Attributes:
        kind: Name of the kind.
        importance: Its importance.
        rate: Requests a second.
        calls: Calls of the service, one after the other; a single one is the
            request itself.
        seconds: Mean service time of each.
        delay: Seconds from the entry to the first call.
        objective: Seconds within which it should be answered.
    """

    kind: str
    importance: messages.Importance
    rate: float
    calls: int
    seconds: float
    delay: float
    objective: float


class Endpoint(NamedTuple):
    """An endpoint of the service.

    Attributes:
        slots: Slots that it announces.
        slowness: Factor on the service time of all jobs.
    """

    slots: int
    slowness: float = 1.0


class Share(NamedTuple):
    """What came of the requests of a kind: how many asked, the share served."""

    asked: int
    served: float


class Result(NamedTuple):
    """What came of a play.

    Attributes:
        shares: `Share` by kind.
        swing: Standard deviation of the level that entries hear.
        busy: Mean share of the slots in use.
    """

    shares: dict[str, Share]
    swing: float
    busy: float


class Call(NamedTuple):
    """One call of a request.

    Attributes:
        flow: The `Flow` of the request.
        root: Name of the request.
        left: Calls that it still makes, this one counted.
        due: When it should be answered.
        refused_by: Number of the endpoint that has refused it, None for none.
    """

    flow: Flow
    root: str
    left: int
    due: float
    refused_by: int | None = None


class Play:
    """Endpoints, what runs at them, and what entries have heard.

    Args:
        endpoints: `Endpoint` tuples.
        seed: Seed of the draws.
        form: Function from a random generator and a `Call` to what is known of the
            request that made it: fields of `messages.Request`.
    """

    def __init__(self, endpoints, seed, form):
        self._draw = random.Random(seed)
        self._endpoints = endpoints
        self._form = form
        self._gates = [gate.Gate(each.slots, 0.0, ()) for each in endpoints]
        self._running = [set() for _ in endpoints]
        self._calls = {}
        self._history = [(0.0, 0.0)]
        self._events = []
        self._numbers = itertools.count()
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.levels = []
        self.busy = []

    def run(self, flows, phases):
        """Play flows over phases: pairs of seconds and a factor on the rates."""
        start = 0.0
        for seconds, factor in phases:
            for flow in flows:
                at = start
                while True:
                    at += self._draw.expovariate(flow.rate * factor)
                    if at >= start + seconds:
                        break
                    self._plan(at, self._enter, flow, at, False)
            start += seconds
        for number in range(int(start / TELL_SECONDS)):
            self._plan(number * TELL_SECONDS, self._tell)
        while self._events:
            now, _, act, about = heapq.heappop(self._events)
            act(now, *about)

    def _plan(self, at, act, *about):
        heapq.heappush(self._events, (at, next(self._numbers), act, about))

    def _enter(self, now, flow, began, came_back):
        if not came_back:
            self.asked[flow.kind] += 1
        root = f"{flow.kind}-{next(self._numbers)}"
        request = self._build(Call(flow, root, flow.calls, 0.0), root, now, ())
        heard = bisect.bisect_right(self._history, (now - TOLD_SECONDS, 9.0)) - 1
        level = self._history[heard][1] if heard >= 0 else 0.0
        refused = levels.refuse_below(request, level)
        if refused is None:
            call = Call(flow, root, flow.calls, began + flow.objective)
            self._plan(now + flow.delay, self._call, call)
        elif not came_back:
            back = now + min(refused.retry_after, flow.objective)
            self._plan(back, self._enter, flow, began, True)

    def _call(self, now, call):
        others = [i for i in range(len(self._gates)) if i != call.refused_by]
        drawn = self._draw.sample(others, min(2, len(others)))
        index = min(drawn, key=lambda i: self._measure_load(i, now))
        attempt = f"{call.root}-{next(self._numbers)}"
        via = ("front",) if call.flow.calls > 1 else ()
        request = self._build(call, attempt, now, via)
        self._calls[attempt] = index, call
        guard = self._gates[index]
        guard.limit_wait(call.flow.objective / (2.0 if not via else 16.0))
        decision = guard.offer(request, now)
        displaced = guard.expire(now) if guard.has_displaced else ()
        self._settle(now, (*displaced, decision))
        if decision.verdict is gate.Verdict.WAIT:
            self._plan(decision.expires, self._expire, index)

    def _measure_load(self, index, now):
        load = self._gates[index].load(now)
        return (load.in_service + load.waiting) / load.limit

    def _build(self, call, attempt, now, via):
        flow = call.flow
        request = messages.Request(
            attempt=attempt,
            root=call.root,
            service="deep",
            call="queue" if via else flow.kind,
            method="GET",
            path="/",
            importance=flow.importance,
            deadline=now + CALL_TIMEOUT,
            via=via,
            due=call.due,
        )
        return request._replace(**self._form(self._draw, call)) if via else request

    def _settle(self, now, decisions):
        for decision in decisions:
            if decision.verdict is gate.Verdict.ADMIT:
                self._admit(now, decision.attempt)
            elif decision.verdict is gate.Verdict.REFUSE:
                index, call = self._calls.pop(decision.attempt)
                if call.refused_by is None and len(self._gates) > 1:
                    self._call(now, call._replace(refused_by=index))

    def _admit(self, now, attempt):
        index, call = self._calls[attempt]
        self._running[index].add(attempt)
        slowness = self._endpoints[index].slowness
        work = self._draw.uniform(0.5, 1.5) * call.flow.seconds * slowness
        self._plan(now + work, self._end, attempt, work)

    def _end(self, now, attempt, work):
        index, call = self._calls.pop(attempt)
        self._running[index].remove(attempt)
        if call.left > 1:
            following = call._replace(left=call.left - 1, refused_by=None)
            self._plan(now + NEXT_SECONDS, self._call, following)
        else:
            self.served[call.flow.kind] += 1
        self._settle(now, self._gates[index].finish(attempt, now, work, True))

    def _expire(self, now, index):
        self._settle(now, self._gates[index].expire(now))

    def _tell(self, now):
        """Tell the entries the level, and the gates each other's supplies."""
        told = [guard.find_level("queue", now) for guard in self._gates]
        self._history.append((now, levels.combine_levels(told)))
        self.levels.append(self._history[-1][1])
        slots = sum(each.slots for each in self._endpoints)
        self.busy.append(sum(map(len, self._running)) / slots)
        supplies = [guard.find_supplies(now) for guard in self._gates]
        for index, guard in enumerate(self._gates):
            others = tuple(supplies[:index] + supplies[index + 1 :])
            self._plan(now + pools.TOLD_SECONDS / 10.0, self._hear, guard, others)

    def _hear(self, now, guard, others):
        guard.take_others(others)


def know_all(draw, call):
    """Return nothing else than the request that made a call."""
    return {}


def play(endpoints, flows, phases, seed=1, form=know_all, settled=2.0):
    """Play flows and return the `Result`.

    Args:
        endpoints: `Endpoint` tuples.
        flows: `Flow` tuples.
        phases: Pairs of seconds and a factor on the rates, the surge last.
        seed: Seed of the draws.
        form: As for `Play`.
        settled: Seconds at the start of the last phase that don't count for the
            swing and the busy slots.
    """
    playing = Play(endpoints, seed, form)
    playing.run(flows, phases)
    last = int((phases[-1][0] - settled) / TELL_SECONDS)
    return Result(
        {
            kind: Share(asked, playing.served[kind] / asked)
            for kind, asked in playing.asked.items()
        },
        statistics.pstdev(playing.levels[-last:]),
        statistics.mean(playing.busy[-last:]),
    )
