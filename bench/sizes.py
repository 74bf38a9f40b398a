"""Sizes for the scaling measurements, and functions to measure time and memory."""

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
    """Result of one measurement.

    Attributes:
        what: Measured quantity.
        size: Size at which it was measured, as text.
        value: Measured value.
        unit: Unit of the value.
    """

    what: str
    size: str
    value: float
    unit: str


def time_once(function):
    """Return the processor seconds of one run."""
    start = time.process_time()
    function()
    return time.process_time() - start


def time_each(function, count=2_000):
    """Return the mean processor microseconds of `count` runs."""
    start = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - start) / count * 1e6


def measure_memory(build):
    """Return the bytes of memory that the result of `build` occupies."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def build_endpoint(number, count):
    """Return endpoint `number` of a mesh of `count` daemons."""
    return rounds.build_endpoint(number, ZONES, REGIONS, count_services(count))


def count_services(count):
    """Return the number of services in a mesh of `count` daemons."""
    return max(1, count // ENDPOINTS_PER_SERVICE)
