"""A load generator: sends requests at random times and summarizes the results."""

import asyncio
import math
import random
from typing import NamedTuple

from . import caller

# Outcomes for a caller, the best first. A "refused" request is guaranteed not to have
# run.
OUTCOMES = IN_TIME, LATE, REFUSED, FAILED = "in time", "late", "refused", "failed"


class Phase(NamedTuple):
    """A part of a load with a constant rate.

    Attributes:
        seconds: Duration in seconds.
        factor: Factor on the base rates of all flows.
    """

    seconds: float
    factor: float = 1.0


class Flow(NamedTuple):
    """Requests of one kind: name, `caller.Kind`, base rate in requests per second."""

    name: str
    kind: caller.Kind
    rate: float


class Result(NamedTuple):
    """Result of one request of a load.

    Attributes:
        flow: Name of its flow.
        phase: Index of its phase.
        at: Scheduled time, in seconds from the start of the load.
        caller_result: What its caller received.
    """

    flow: str
    phase: int
    at: float
    caller_result: caller.CallerResult


class Summary(NamedTuple):
    """Outcomes of the requests of one flow, as shares of their number.

    Attributes:
        requests: Number of requests.
        in_time: Share with a complete answer within the objective.
        late: Share with a complete answer after the objective.
        refused: Share whose last attempt was refused and guaranteed not to have run.
        failed: Share of all other requests.
        median: Median latency of the complete answers, in seconds.
        slowest: 99th percentile of the same latencies, in seconds.
    """

    requests: int
    in_time: float
    late: float
    refused: float
    failed: float
    median: float
    slowest: float

    @property
    def whole(self):
        """Share with a complete answer, in time or late."""
        return self.in_time + self.late


async def run_load(entries, flows, phases, seed=0, pools=None):
    """Send the requests of a load and return their `Result` tuples.

    Args:
        entries: Addresses of the entry daemons, one of which is chosen at random for
            each request.
        flows: `Flow` tuples.
        phases: `Phase` tuples, in order.
        seed: Seed of the random choices.
        pools: `caller.Pools` of connections to reuse; without them, each attempt
            opens a connection.
    """
    loop, draw = asyncio.get_running_loop(), random.Random(seed)
    tasks, start_time = [], loop.time()
    for at, flow, phase in schedule_requests(flows, phases, draw):
        await asyncio.sleep(max(0.0, start_time + at - loop.time()))
        entry = draw.choice(entries)
        tasks.append(loop.create_task(_send(entry, flow, phase, at, pools)))
    return await asyncio.gather(*tasks)


def schedule_requests(flows, phases, draw):
    """Return (time, flow, phase index) of all requests, ordered by time."""
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


async def _send(entry, flow, phase, at, pools):
    return Result(
        flow.name, phase, at, await caller.send_with_retries(entry, flow.kind, pools)
    )


def name_outcome(caller_result, objective):
    """Return the outcome of a request, one of `OUTCOMES`.

    Args:
        caller_result: The `caller.CallerResult`.
        objective: Target latency in seconds.
    """
    if caller_result.whole:
        return IN_TIME if caller_result.seconds <= objective else LATE
    return REFUSED if caller_result.statuses[-1] in caller.NOT_RUN_STATUSES else FAILED


def summarize(results, flow, phase=None):
    """Return the `Summary` of a `Flow` over one phase, or over all without `phase`."""
    caller_results = [
        result.caller_result
        for result in results
        if result.flow == flow.name and phase in (None, result.phase)
    ]
    whole = sorted(each.seconds for each in caller_results if each.whole)
    named = [name_outcome(each, flow.kind.objective) for each in caller_results]
    count = max(1, len(caller_results))
    return Summary(
        len(caller_results),
        *(named.count(name) / count for name in OUTCOMES),
        find_quantile(whole, 0.5),
        find_quantile(whole, 0.99),
    )


def find_quantile(ordered, share):
    """Return the smallest of the ordered values that a `share` of them don't exceed."""
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
