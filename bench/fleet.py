"""Measures how costs of a daemon grow with the fleet: links, balance, placement.

``python -m bench.fleet`` runs the decision modules in one process, without a network,
for fleets of 12 to 4500 daemons. Times are the best of `TRIES` runs.
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
    """Size of a fleet: numbers of daemons, services and availability zones."""

    daemons: int
    services: int
    zones: int


class Row(NamedTuple):
    """Measured costs of one fleet size.

    Attributes:
        fleet: The `Fleet`.
        links: Mean number of links of a daemon that calls four services.
        fewest: Minimum number of callers of an endpoint, relative to the mean.
        most: Maximum number of callers of an endpoint, relative to the mean.
        choice: Microseconds to choose an endpoint.
        change: Milliseconds to apply the change of one member.
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
CALLED_SERVICES = 4


def main():
    """Measure all fleets and print the table; return the exit code."""
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
    """Return the endpoints of a fleet, in randomly drawn zones."""
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
    members = directory.Directory("")
    for endpoint in mesh:
        members.apply_report(endpoint.address, endpoint)
    draw = random.Random(2)
    callers, links = collections.Counter(), []
    for local in mesh:
        used = set()
        for service in choose_called(fleet, draw):
            preferred = subsets.Subsets(
                local.address, local.zone, members
            ).list_preferred(service)
            used.update(e.address for e in preferred[: subsets.SUBSET_SIZE])
        callers.update(used)
        links.append(len(used))
        if len(links) >= SAMPLE * 10 and fleet.services > CALLED_SERVICES:
            break
    counts = [callers[endpoint.address] for endpoint in mesh]
    mean = sum(counts) / len(counts)
    is_whole = fleet.services == CALLED_SERVICES
    return Row(
        fleet,
        sum(links) / len(links),
        min(counts) / mean if is_whole else float("nan"),
        max(counts) / mean if is_whole else float("nan"),
        time_choice(mesh, members),
        time_change(mesh, members),
    )


def choose_called(fleet, draw):
    """Return a random sample of services for one daemon to call."""
    return [f"s{n}" for n in draw.sample(range(fleet.services), CALLED_SERVICES)]


def time_choice(mesh, members):
    """Return the microseconds to choose an endpoint of a service."""
    local = mesh[0]
    request = messages.Request(
        "x", "x", "s0", "c", "GET", "/", messages.Importance.NORMAL, 10.0
    )
    preferences = subsets.Subsets(local.address, local.zone, members)
    chooser = placement.Placement(local.zone, random.Random(3))

    def choose():
        for _ in range(CHOICES):
            preferred = preferences.list_preferred("s0")
            usable = subsets.choose_usable(preferred, lambda _: subsets.Reachability.UP)
            chooser.choose(request, usable.endpoints, 1.0)

    return time_best(choose) / CHOICES * 1e6


def time_change(mesh, members):
    """Return the milliseconds that a daemon needs to apply one changed member."""
    local = mesh[0]
    preferences = subsets.Subsets(local.address, local.zone, members)
    slots = iter(range(100, 1000))

    def change():
        members.apply_report(mesh[-1].address, mesh[-1]._replace(slots=next(slots)))
        preferences.list_preferred("s0")
        sources.Ranks(local.address, local.zone, members.all_endpoints)

    return time_best(change) * 1e3


def time_best(work):
    """Return the shortest duration of `TRIES` runs in seconds."""
    best = float("inf")
    for _ in range(TRIES):
        began = time.perf_counter()
        work()
        best = min(best, time.perf_counter() - began)
    return best


if __name__ == "__main__":
    sys.exit(main())
