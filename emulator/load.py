"""A load tool: asks at times drawn from a seed, and sums up what callers got."""

import asyncio
import math
import random
from typing import NamedTuple

from . import caller

# What a caller got, the best first; "refused" is what surely has not run.
OUTCOMES = IN_TIME, LATE, REFUSED, FAILED = "in time", "late", "refused", "failed"


class Phase(NamedTuple):
    """A part of a load.

    Attributes:
        seconds: How long it lasts.
        factor: Multiple of the usual rates.
    """

    seconds: float
    factor: float = 1.0


class Flow(NamedTuple):
    """Requests of one kind: its name, the kind, the usual rate a second."""

    name: str
    kind: caller.Kind
    rate: float


class Result(NamedTuple):
    """What came of one request.

    Attributes:
        flow: Name of its flow.
        phase: Number of its phase.
        at: When it was asked for, in seconds from the start of the load.
        told: What its caller was told.
    """

    flow: str
    phase: int
    at: float
    told: caller.Told


class Summary(NamedTuple):
    """What the requests of one flow got, in shares of all of them.

    Attributes:
        asked: How many there were.
        in_time: Share answered whole within the objective.
        late: Share answered whole later.
        refused: Share told in the end that it was not run.
        failed: The rest.
        median: Median seconds of the whole answers.
        slowest: 99th percentile of these.
    """

    asked: int
    in_time: float
    late: float
    refused: float
    failed: float
    median: float
    slowest: float

    @property
    def whole(self):
        """Share answered whole at all."""
        return self.in_time + self.late


async def play(entries, flows, phases, seed=0, pools=None):
    """Play a load and return its `Result` tuples.

    Args:
        entries: Addresses of the daemons, one of which is drawn for each request.
        flows: `Flow` tuples.
        phases: `Phase` tuples, one after the other.
        seed: Seed of the draws.
        pools: `caller.Pools` of callers that keep connections; without, each
            asking opens one.
    """
    loop, draw = asyncio.get_running_loop(), random.Random(seed)
    tasks, began = [], loop.time()
    for at, flow, phase in schedule(flows, phases, draw):
        await asyncio.sleep(max(0.0, began + at - loop.time()))
        entry = draw.choice(entries)
        tasks.append(loop.create_task(_ask(entry, flow, phase, at, pools)))
    return await asyncio.gather(*tasks)


def schedule(flows, phases, draw):
    """Return the times, flows and phases of all requests, in order."""
    due, start = [], 0.0
    for number, phase in enumerate(phases):
        for flow in flows:
            at = start
            while True:
                at += draw.expovariate(flow.rate * phase.factor)
                if at >= start + phase.seconds:
                    break
                due.append((at, flow, number))
        start += phase.seconds
    return sorted(due, key=lambda each: each[0])


async def _ask(entry, flow, phase, at, pools):
    return Result(flow.name, phase, at, await caller.ask(entry, flow.kind, pools))


def name_outcome(told, objective):
    """Return what a caller got, one of `OUTCOMES`.

    Args:
        told: The `caller.Told`.
        objective: Seconds within which an answer is worth all.
    """
    if told.whole:
        return IN_TIME if told.seconds <= objective else LATE
    return REFUSED if told.statuses[-1] in caller.PROMISES else FAILED


def summarize(results, flow, phase=None):
    """Return the `Summary` of one `Flow`, of one phase or of all."""
    told = [
        result.told
        for result in results
        if result.flow == flow.name and phase in (None, result.phase)
    ]
    whole = sorted(each.seconds for each in told if each.whole)
    named = [name_outcome(each, flow.kind.objective) for each in told]
    count = max(1, len(told))
    return Summary(
        len(told),
        *(named.count(name) / count for name in OUTCOMES),
        find_quantile(whole, 0.5),
        find_quantile(whole, 0.99),
    )


def find_quantile(ordered, share):
    """Return the smallest value that `share` of ordered values don't exceed."""
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
