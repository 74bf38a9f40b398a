"""Generator of the trace that the demo plays.

The seed is fixed, so ``python -m demo.draw > demo/press.jsonl`` reproduces the
file. The trace represents twelve seconds of an ordinary day at the Press: half
of the capacity of submissions is used, and little of the other services.
"""

import random
import sys
from typing import NamedTuple

from standins import trace

SEED = 20
TRACE_SECONDS = 12.0


class RequestClass(NamedTuple):
    """A class of requests with the same service, call and rate.

    Attributes:
        rate: Requests per second; arrivals are a Poisson process.
        callers: Prefix of the callers' names and number of callers.
        request: Request without its time and caller.
    """

    rate: float
    callers: tuple[str, int]
    request: trace.Request


def build_request(service, path, importance, **more):
    """Return a request without its time and caller."""
    return trace.Request(0.0, service, path=path, importance=importance, **more)


REQUEST_CLASSES = (
    RequestClass(
        14, ("reader", 40), build_request("catalog", "/books", "normal", size=2000)
    ),
    RequestClass(12, ("poet", 25), build_request("submissions", "/status", "low")),
    RequestClass(18, ("poet", 60), build_request("submissions", "/status", "normal")),
    RequestClass(4, ("editor", 4), build_request("submissions", "/decisions", "high")),
    RequestClass(
        8, ("library", 6), build_request("archive", "/listings", "high", size=4000)
    ),
    RequestClass(
        6,
        ("library", 6),
        build_request(
            "catalog", "/orders", "high", next="submissions/decisions,archive/listings"
        ),
    ),
    RequestClass(
        5,
        ("reader", 40),
        build_request("catalog", "/books", "normal", next="submissions/status"),
    ),
    RequestClass(
        3,
        ("press", 1),
        build_request("royalties", "/payouts", "critical", method="POST", key="new"),
    ),
    RequestClass(
        4,
        ("press", 1),
        build_request(
            "royalties",
            "/payouts",
            "critical",
            method="POST",
            key="new",
            next="submissions/acceptances",
        ),
    ),
    RequestClass(
        2,
        ("poet", 25),
        build_request("royalties", "/statements", "normal", next="archive/listings"),
    ),
)


def draw_trace(seed=SEED, seconds=TRACE_SECONDS):
    """Return a random trace, ordered by time."""
    draw = random.Random(seed)
    requests = [
        request
        for kind in REQUEST_CLASSES
        for request in draw_class(draw, kind, seconds)
    ]
    return sorted(requests, key=lambda request: request.at)


def draw_class(draw, kind, seconds):
    """Yield the random requests of one `RequestClass`."""
    prefix, count = kind.callers
    at = draw.expovariate(kind.rate)
    while at < seconds:
        caller = f"{prefix}-{draw.randrange(count)}"
        yield kind.request._replace(at=round(at, 4), caller=caller)
        at += draw.expovariate(kind.rate)


if __name__ == "__main__":
    sys.stdout.writelines(trace.write_trace(draw_trace()))
