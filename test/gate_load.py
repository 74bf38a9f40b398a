"""Simulation of the load on one gate without a network."""

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
        wait: Seconds for which a job may wait for a slot.
        via: Services passed so far.
    """

    kind: str
    rate: float
    seconds: float
    wait: float
    via: tuple[str, ...] = ()


class Share(NamedTuple):
    """Result for the jobs of one kind.

    Attributes:
        arrived: Number of jobs that arrived.
        served: Share of them that was served.
    """

    arrived: int
    served: float


def keep_speed(running):
    """Return the factor on the service time of a new job: always 1."""
    return 1.0


def simulate(slots, flows, seconds, seed=1, slow_down=keep_speed):
    """Simulate flows at a gate and return a `Share` by kind.

    Root requests below the level of the gate don't reach it, as if the entry daemon had
    just received that level. Internal calls always do.

    Args:
        slots: Slots that the backend server announces.
        flows: `Flow` tuples.
        seconds: How long jobs arrive.
        seed: Seed of the random draws.
        slow_down: Function from the number of jobs in service to the factor by which a
            job that starts among them takes longer.
    """
    draw = random.Random(seed)
    guard = gate.Gate(slots, 0.0, ())
    events, sequence = [], itertools.count()
    for flow in flows:
        at = 0.0
        while (at := at + draw.expovariate(flow.rate)) < seconds:
            heapq.heappush(events, (at, next(sequence), ARRIVAL, flow))
    arrived, served, works = collections.Counter(), collections.Counter(), {}
    running = set()

    def admit(attempt, now):
        kind, work = works[attempt]
        served[kind] += 1
        running.add(attempt)
        work *= slow_down(len(running))
        heapq.heappush(events, (now + work, next(sequence), END, (attempt, work)))

    def settle(decisions, now):
        for decision in decisions:
            if decision.verdict is gate.Verdict.ADMIT:
                admit(decision.attempt, now)

    while events:
        now, number, event_type, payload = heapq.heappop(events)
        if event_type is END:
            attempt, work = payload
            running.remove(attempt)
            settle(guard.finish(attempt, now, work, True), now)
        elif event_type is EXPIRY:
            settle(guard.expire(now), now)
        else:
            arrived[payload.kind] += 1
            request = build_request(payload, f"{payload.kind}-{number}", now)
            works[request.attempt] = (
                payload.kind,
                draw.uniform(0.5, 1.5) * payload.seconds,
            )
            level = guard.find_level(payload.kind, now)
            if not payload.via and levels.refuse_below(request, level) is not None:
                continue
            guard.set_max_wait(payload.wait)
            decision = guard.offer(request, now)
            settle((decision,), now)
            if decision.verdict is gate.Verdict.WAIT:
                event = (decision.expires, next(sequence), EXPIRY, None)
                heapq.heappush(events, event)
    return {kind: Share(count, served[kind] / count) for kind, count in arrived.items()}


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
