"""Sizes at which slopes are measured, and how a figure is taken."""

import gc
import time
import tracemalloc
from typing import NamedTuple

from . import rounds

MEMBERS = (100, 1_000, 4_500)
MEDIUM = (100, 400, 1_000)
ZONES = 9
REGIONS = 4
ENDPOINTS_PER_SERVICE = 5
SAMPLE = 100


class Row(NamedTuple):
    """One measurement.

    Attributes:
        what: What was measured.
        size: At which size.
        value: The figure.
        unit: Its unit.
    """

    what: str
    size: str
    value: float
    unit: str


def time_once(function):
    """Return the seconds of processor time that one run takes."""
    start = time.process_time()
    function()
    return time.process_time() - start


def time_each(function, count=2_000):
    """Return the microseconds of processor time of one run among many."""
    start = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - start) / count * 1e6


def measure_memory(build):
    """Return the bytes that what `build` returns takes up."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


# Members and gossip.


def build_endpoint(number, count):
    """Return an endpoint of a mesh of that many daemons."""
    return rounds.build_endpoint(number, ZONES, REGIONS, count_services(count))


def count_services(count):
    """Return how many services a mesh of that many daemons has."""
    return max(1, count // ENDPOINTS_PER_SERVICE)
