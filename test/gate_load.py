"""Plays a load at one gate, without a network: who is served, who is refused."""

import collections
import heapq
import itertools
import random
from typing import NamedTuple

from whinwinch import gate, levels, messages

ARRIVAL, END, EXPIRY = range(3)


class Flow(NamedTuple):
    """Jobs of one kind.

    Attributes:
        kind: Name of the kind.
        rate: Jobs a second.
        seconds: Mean service time.
        wait: Seconds for which one may wait.
        via: Services passed so far.
    """

    kind: str
    rate: float
    seconds: float
    wait: float
    via: tuple[str, ...] = ()


class Share(NamedTuple):
    """What came of the jobs of a kind: how many asked, the share served."""

    asked: int
    served: float


def keep_pace(running):
    """Return the factor on the time of a job that starts: always the same."""
    return 1.0


def play(slots, flows, seconds, seed=1, slow_down=keep_pace):
    """Play flows at a gate; return a `Share` by kind.

    What the level told by the gate refuses doesn't arrive, as at an entry that has
    just heard of it; calls from inside do.

    Args:
        slots: Slots that the backend server announces.
        flows: `Flow` tuples.
        seconds: How long they come.
        seed: Seed of the draws.
        slow_down: Function from the jobs inside to the factor by which one that
            starts among them takes longer.
    """
    draw = random.Random(seed)
    guard = gate.Gate(slots, 0.0, ())
    events, numbers = [], itertools.count()
    for flow in flows:
        at = 0.0
        while (at := at + draw.expovariate(flow.rate)) < seconds:
            heapq.heappush(events, (at, next(numbers), ARRIVAL, flow))
    asked, served, works = collections.Counter(), collections.Counter(), {}
    running = set()

    def admit(attempt, now):
        kind, work = works[attempt]
        served[kind] += 1
        running.add(attempt)
        work *= slow_down(len(running))
        heapq.heappush(events, (now + work, next(numbers), END, (attempt, work)))

    def settle(decisions, now):
        for decision in decisions:
            if decision.verdict is gate.Verdict.ADMIT:
                admit(decision.attempt, now)

    while events:
        now, number, what, about = heapq.heappop(events)
        if what is END:
            attempt, work = about
            running.remove(attempt)
            settle(guard.finish(attempt, now, work, True), now)
        elif what is EXPIRY:
            settle(guard.expire(now), now)
        else:
            asked[about.kind] += 1
            request = build_request(about, f"{about.kind}-{number}", now)
            works[request.attempt] = about.kind, draw.uniform(0.5, 1.5) * about.seconds
            level = guard.find_level(about.kind, now)
            if not about.via and levels.refuse_below(request, level) is not None:
                continue
            guard.limit_wait(about.wait)
            decision = guard.offer(request, now)
            settle((decision,), now)
            if decision.verdict is gate.Verdict.WAIT:
                event = (decision.expires, next(numbers), EXPIRY, None)
                heapq.heappush(events, event)
    return {kind: Share(n, served[kind] / n) for kind, n in asked.items()}


def build_request(flow, name, now):
    """Return a request of a flow."""
    return messages.Request(
        attempt=name,
        root=name,
        service="s",
        call=flow.kind,
        method="GET",
        path="/",
        importance=messages.Importance.NORMAL,
        deadline=now + 8.0,
        via=flow.via,
        due=now + 2.0,
    )
