"""Draws the trace that the demo plays, from a fixed seed.

``python -m demo.draw > demo/press.jsonl`` writes the same file again. It stands
for twelve seconds of an ordinary reading day at the Press: half of what
submissions can carry, little beside it.
"""

import random
import sys
from typing import NamedTuple

from standins import trace

SEED = 20
SECONDS = 12.0


class Kind(NamedTuple):
    """A kind of request.

    Attributes:
        rate: Requests a second, with Poisson arrivals.
        callers: Prefix of the callers' names, and how many there are.
        request: The request, without its time and caller.
    """

    rate: float
    callers: tuple[str, int]
    request: trace.Request


def describe(service, path, importance, **more):
    """Return a request without its time and caller."""
    return trace.Request(0.0, service, path=path, importance=importance, **more)


KINDS = (
    Kind(14, ("reader", 40), describe("catalog", "/books", "normal", size=2000)),
    Kind(12, ("poet", 25), describe("submissions", "/status", "low")),
    Kind(18, ("poet", 60), describe("submissions", "/status", "normal")),
    Kind(4, ("editor", 4), describe("submissions", "/decisions", "high")),
    Kind(8, ("library", 6), describe("archive", "/listings", "high", size=4000)),
    Kind(
        6,
        ("library", 6),
        describe(
            "catalog", "/orders", "high", next="submissions/decisions,archive/listings"
        ),
    ),
    Kind(
        5,
        ("reader", 40),
        describe("catalog", "/books", "normal", next="submissions/status"),
    ),
    Kind(
        3,
        ("press", 1),
        describe("royalties", "/payouts", "critical", method="POST", key="new"),
    ),
    Kind(
        4,
        ("press", 1),
        describe(
            "royalties",
            "/payouts",
            "critical",
            method="POST",
            key="new",
            next="submissions/acceptances",
        ),
    ),
    Kind(
        2,
        ("poet", 25),
        describe("royalties", "/statements", "normal", next="archive/listings"),
    ),
)


def draw_trace(seed=SEED, seconds=SECONDS):
    """Return a trace in the order of its times."""
    draw = random.Random(seed)
    requests = [request for kind in KINDS for request in draw_kind(draw, kind, seconds)]
    return sorted(requests, key=lambda request: request.at)


def draw_kind(draw, kind, seconds):
    """Yield the requests of one kind."""
    prefix, count = kind.callers
    at = draw.expovariate(kind.rate)
    while at < seconds:
        caller = f"{prefix}-{draw.randrange(count)}"
        yield kind.request._replace(at=round(at, 4), caller=caller)
        at += draw.expovariate(kind.rate)


if __name__ == "__main__":
    sys.stdout.writelines(trace.write_trace(draw_trace()))
