"""What the size of a fleet costs a daemon: links, evenness, the choice of an endpoint.

``python -m bench.fleet`` works on the decisions alone, at sizes from a dozen daemons to
those of two years from now. Times are of one process, best of several.
"""

import collections
import random
import sys
import time
from typing import NamedTuple

from whinwinch import directory, messages, placement, subsets
from whinwinch.logservice import sources

TRIES = 5
CHOICES = 2000
SAMPLE = 40


class Fleet(NamedTuple):
    """A fleet to look at: daemons, their services and availability zones."""

    daemons: int
    services: int
    zones: int


class Row(NamedTuple):
    """What one size costs.

    Attributes:
        fleet: `Fleet`.
        links: Mean links of a daemon that calls four services.
        fewest: Callers of the endpoint that has fewest, for the mean.
        most: Callers of the endpoint that has most, for the mean.
        choice: Microseconds to choose an endpoint.
        change: Milliseconds to take in one changed member.
    """

    fleet: Fleet
    links: float
    fewest: float
    most: float
    choice: float
    change: float


FLEETS = (
    Fleet(12, 4, 3),
    Fleet(73, 4, 4),
    Fleet(195, 4, 6),
    Fleet(1000, 20, 6),
    Fleet(4500, 890, 9),
)
CALLED = 4


def main():
    """Print the table; return the exit code."""
    print("daemons services zones  links  callers of an endpoint  choice  change")
    print("                               fewest/mean most/mean       µs      ms")
    for fleet in FLEETS:
        row = measure(fleet)
        print(
            f"{fleet.daemons:>7} {fleet.services:>8} {fleet.zones:>5} "
            f"{row.links:>6.0f} {row.fewest:>11.2f} {row.most:>9.2f} "
            f"{row.choice:>10.1f} {row.change:>7.2f}"
        )
    return 0


def build_mesh(fleet):
    """Return endpoints, the services dealt out unevenly over the zones."""
    draw = random.Random(1)
    return [
        messages.Endpoint(
            f"10.{n // 250}.{n % 250}.1:1",
            f"10.{n // 250}.{n % 250}.1:1",
            f"s{n % fleet.services}",
            f"z{draw.randrange(fleet.zones)}",
            "r",
            10,
        )
        for n in range(fleet.daemons)
    ]


def measure(fleet):
    """Return the `Row` of a fleet."""
    mesh = build_mesh(fleet)
    known = directory.Directory("")
    for endpoint in mesh:
        known.apply_report(endpoint.address, endpoint)
    draw = random.Random(2)
    callers, links = collections.Counter(), []
    for own in mesh:
        used = set()
        for service in choose_called(fleet, draw):
            preferred = subsets.Subsets(own.address, own.zone, known).list_preferred(
                service
            )
            used.update(e.address for e in preferred[: subsets.SUBSET_SIZE])
        callers.update(used)
        links.append(len(used))
        if len(links) >= SAMPLE * 10 and fleet.services > CALLED:
            break
    counts = [callers[endpoint.address] for endpoint in mesh]
    mean = sum(counts) / len(counts)
    is_whole = fleet.services == CALLED
    return Row(
        fleet,
        sum(links) / len(links),
        min(counts) / mean if is_whole else float("nan"),
        max(counts) / mean if is_whole else float("nan"),
        time_choice(mesh, known),
        time_change(mesh, known),
    )


def choose_called(fleet, draw):
    """Return the services that one daemon calls."""
    return [f"s{n}" for n in draw.sample(range(fleet.services), CALLED)]


def time_choice(mesh, known):
    """Return the microseconds of one choice among the endpoints of a service."""
    own = mesh[0]
    request = messages.Request(
        "x", "x", "s0", "c", "GET", "/", messages.Importance.NORMAL, 10.0
    )
    preferences = subsets.Subsets(own.address, own.zone, known)
    chooser = placement.Placement(own.zone, random.Random(3))

    def choose():
        for _ in range(CHOICES):
            preferred = preferences.list_preferred("s0")
            usable = subsets.choose_usable(preferred, lambda _: subsets.Reachability.UP)
            chooser.choose(request, usable.endpoints, 1.0)

    return time_best(choose) / CHOICES * 1e6


def time_change(mesh, known):
    """Return the milliseconds in which a daemon takes in one changed member."""
    own = mesh[0]
    preferences = subsets.Subsets(own.address, own.zone, known)
    slots = iter(range(100, 1000))

    def change():
        known.apply_report(mesh[-1].address, mesh[-1]._replace(slots=next(slots)))
        preferences.list_preferred("s0")
        sources.Ranks(own.address, own.zone, known.all_endpoints)

    return time_best(change) * 1e3


def time_best(work):
    """Return the seconds of the quickest of some tries."""
    best = float("inf")
    for _ in range(TRIES):
        began = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - began)
    return best


if __name__ == "__main__":
    sys.exit(main())
