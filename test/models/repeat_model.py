"""Simulation of root requests whose calls a service turns down at random.

A root request makes some calls of one service, one after the other. The service's
backend servers turn down a share of what arrives, whoever sends it. The gatekeepers
admit repeats within their budgets; a root request is lost when one of its calls isn't
repeated. The most that any choice of repeats could serve is known, so ways to choose
are compared with it. Run it with::

    python -m test.models.repeat_model
"""

import heapq
import itertools
import random
from typing import NamedTuple

from whinwinch import messages, repeats

LIMITS = repeats.RepeatLimits(0.2, 48.0, 10.0)
ENDPOINTS = 3
# Seconds of calm before the service begins to turn calls down; a window is 10 seconds.
CALM_SECONDS = 15.0
CALL_SECONDS = 0.04
SPREAD = 0.5
MAX_SENDS = 6
FIRST_BACKOFF = 0.025
MAX_DOUBLINGS = 5
SEEDS = (1, 2, 3)
RATE = 200.0
REFUSED = 0.55


class Load(NamedTuple):
    """Load of one simulation.

    Attributes:
        calls: Calls that a root request makes, one after the other.
        rate: Root requests a second.
        seconds: How long the service turns calls down.
        refused: Share of the calls that it turns down.
        admitted: Share of the root requests that the entries admit meanwhile.
    """

    calls: int
    rate: float = RATE
    seconds: float = 8.5
    refused: float = REFUSED
    admitted: float = 1.0


class Result(NamedTuple):
    """Result for the root requests that came while calls were turned down.

    Attributes:
        served: Share of them that was served.
        repeats: Repeats for each of them.
        lost_repeats: Share of the repeats that went to requests that were not served.
    """

    served: float
    repeats: float
    lost_repeats: float


class Root(NamedTuple):
    """A root request: its identifier and whether calls are turned down as it comes."""

    identifier: str
    counts: bool


class Send(NamedTuple):
    """One send of a call.

    Attributes:
        root: The `Root`.
        left: Calls that it makes after this one.
        tries: Number of earlier sends of the call.
    """

    root: Root
    left: int
    tries: int


def tell_calls_left(left):
    """Return the calls left that a request tells: all of them."""
    return left


def tell_nothing(left):
    """Return the calls left that a request tells: none, so that the hash decides."""
    return 0


def simulate(load, tell, seed):
    """Return the `Result` of a load.

    Args:
        load: `Load`.
        tell: Function from the number of calls left to the one that requests tell.
        seed: Seed of the random draws.
    """
    draw, sequence = random.Random(seed), itertools.count()
    budgets = [
        repeats.RepeatBudget(LIMITS, lambda: ENDPOINTS, -LIMITS.window)
        for _ in range(ENDPOINTS)
    ]
    end = CALM_SECONDS + load.seconds
    events, spent, served = [], {}, set()

    def push(time, send):
        heapq.heappush(events, (time, next(sequence), send))

    for time, root in _draw_roots(load, draw):
        if root.counts:
            spent[root] = 0
        if not root.counts or draw.random() < load.admitted:
            push(time, Send(root, load.calls - 1, 0))
    while events:
        time, _, send = heapq.heappop(events)
        budget = draw.choice(budgets)
        if not _admit(budget, send, tell, time):
            continue
        if send.root.counts and send.tries:
            spent[send.root] += 1
        if CALM_SECONDS <= time < end and draw.random() < load.refused:
            if send.tries + 1 < MAX_SENDS:
                limit = FIRST_BACKOFF * 2 ** min(send.tries, MAX_DOUBLINGS)
                push(time + limit * draw.random(), send._replace(tries=send.tries + 1))
        elif send.left:
            seconds = CALL_SECONDS * draw.uniform(1.0 - SPREAD, 1.0 + SPREAD)
            push(time + seconds, Send(send.root, send.left - 1, 0))
        elif send.root.counts:
            served.add(send.root)
    total = max(1, sum(spent.values()))
    lost = sum(count for root, count in spent.items() if root not in served)
    return Result(len(served) / len(spent), total / len(spent), lost / total)


def _draw_roots(load, draw):
    time, end = 0.0, CALM_SECONDS + load.seconds
    while (time := time + draw.expovariate(load.rate)) < end:
        yield time, Root(f"{draw.getrandbits(60):x}", time >= CALM_SECONDS)


def _admit(budget, send, tell, time):
    """Return whether a gatekeeper's budget admits a send of a call."""
    if not send.tries:
        budget.record_first_attempt(time)
        return True
    request = messages.Request(
        "attempt",
        send.root.identifier,
        "service",
        "call",
        "GET",
        "/",
        messages.Importance.NORMAL,
        time + 1.0,
        again=True,
        calls_left=tell(send.left),
    )
    return budget.try_spend(request, time)


def find_bound(calls, refused, repeats_per_root):
    """Return the largest share of root requests that can be served.

    The best use of repeats is a threshold: a root request is repeated until it is
    served once it has at most some number of calls left, and given up at its first
    refusal before that. With one more call it costs more repeats for each one served.

    Args:
        calls: Calls that a root request makes, one after the other.
        refused: Share of the calls that is turned down.
        repeats_per_root: Repeats that may be spent for each root request.
    """
    admitted = 1.0 - refused
    served, cost = admitted**calls, 0.0
    for last in range(1, calls + 1):
        next_served = admitted ** (calls - last)
        next_cost = next_served * last * refused / admitted
        if next_cost >= repeats_per_root:
            share = (repeats_per_root - cost) / (next_cost - cost)
            return served + share * (next_served - served)
        served, cost = next_served, next_cost
    return 1.0


def average(load, tell):
    """Return the mean `Result` of a load over all seeds."""
    results = [simulate(load, tell, seed) for seed in SEEDS]
    means = (sum(values) / len(SEEDS) for values in zip(*results, strict=True))
    return Result(*means)


def main():
    """Print a table of what is served, and of the most that could be."""
    print("| calls | seconds | by hash | by calls left | most | refused at the entry |")
    print("|---|---|---|---|---|---|")
    for calls in (1, 2, 4, 8, 16):
        for seconds in (2.0, 8.5, 30.0):
            load = Load(calls, seconds=seconds)
            by_hash = average(load, tell_nothing)
            by_calls = average(load, tell_calls_left)
            most = find_bound(calls, REFUSED, max(by_hash.repeats, by_calls.repeats))
            at_entry = max(
                average(load._replace(admitted=share / 10), tell_calls_left).served
                for share in range(1, 10)
            )
            print(
                f"| {calls} | {seconds:g} | {by_hash.served:.3f} | "
                f"{by_calls.served:.3f} | {most:.3f} | {at_entry:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
