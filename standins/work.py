"""Slots, queue, execution counts and faults of a stand-in backend server."""

import threading
import time
from collections import Counter
from contextlib import contextmanager
from typing import TypedDict


class Faults(TypedDict, total=False):
    """Body of ``POST /faults``; faults that are absent stay unchanged.

    Attributes:
        slow: Factor on the service time.
        half: Number of next responses that are cut off in the middle of their body.
        errors: Number of next requests that are executed and answered with 500.
        lose_answers: Number of next requests that are executed and get no response.
        load: What ``/load`` returns instead of the actual load; None for the latter.
        unhealthy: Whether ``/health`` returns 503.
    """

    slow: float
    half: int
    errors: int
    lose_answers: int
    load: dict | None
    unhealthy: bool


class Shed(Exception):
    """No slot is free, and the queue is full or the wait timed out."""


class Work:
    """Slots and queue of a backend server, with counts of executed requests."""

    def __init__(self, slots, queue):
        """Create a backend server's state with all slots free.

        Args:
            slots: Maximum number of requests in service at once.
            queue: Maximum number of requests that wait for a slot.
        """
        self.slots = slots
        self.queue = queue
        self.in_service = 0
        self.waiting = 0
        self.stats = Counter(served=0, shed=0, most_in_service=0)
        self.runs_by_key = Counter()
        self.runs_by_request = Counter()
        self.faults = Faults(
            slow=1.0, half=0, errors=0, lose_answers=0, load=None, unhealthy=False
        )
        self._slot_freed = threading.Condition()

    @contextmanager
    def hold_slot(self, timeout):
        """Occupy a slot, after waiting up to `timeout` seconds for one.

        Raises:
            Shed: When the queue is full or no slot became free in time.
        """
        with self._slot_freed:
            self._occupy_slot(timeout)
        try:
            yield
        finally:
            with self._slot_freed:
                self.in_service -= 1
                self.stats["served"] += 1
                self._slot_freed.notify_all()

    def _occupy_slot(self, timeout):
        if self.in_service >= self.slots and not self._wait_for_slot(timeout):
            self.stats["shed"] += 1
            raise Shed
        self.in_service += 1
        self.stats["most_in_service"] = max(
            self.stats["most_in_service"], self.in_service
        )

    def _wait_for_slot(self, timeout):
        if self.waiting >= self.queue:
            return False
        self.waiting += 1
        try:
            return self._slot_freed.wait_for(
                lambda: self.in_service < self.slots, timeout
            )
        finally:
            self.waiting -= 1

    def wait_until_idle(self, timeout):
        """Wait up to `timeout` seconds until no request is in service or waiting.

        Returns:
            Whether that is so.
        """
        with self._slot_freed:
            return self._slot_freed.wait_for(
                lambda: self.in_service == self.waiting == 0, timeout
            )

    def count_run(self, request, key):
        """Count an execution of a request, and of its key if it has one."""
        with self._slot_freed:
            self.runs_by_request[request] += 1
            if key:
                self.runs_by_key[key] += 1

    def set_faults(self, faults):
        """Set the given faults.

        Raises:
            ValueError: When a fault name is unknown.
        """
        if unknown := faults.keys() - self.faults.keys():
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        with self._slot_freed:
            self.faults.update(faults)

    def consume_fault(self, name):
        """Decrement a counted fault; return whether the fault is to be applied."""
        with self._slot_freed:
            left = self.faults[name]
            if left <= 0:
                return False
            self.faults[name] = left - 1
            return True

    def report_load(self):
        """Return the body of ``/load``: the load, or the one set as a fault."""
        with self._slot_freed:
            true = {
                "in_service": self.in_service,
                "waiting": self.waiting,
                "slots": self.slots,
            }
            return self.faults["load"] or true

    def report_runs(self):
        """Return the body of ``/ran``: executions by key and by request."""
        with self._slot_freed:
            return {
                "keys": dict(self.runs_by_key),
                "requests": dict(self.runs_by_request),
            }


def build_service_time(seconds, cold, cold_factor):
    """Return a function from a factor to the service time of the next request.

    A backend server is slow after its start until its caches are warm: its
    service time begins at `cold_factor` times the normal one and falls linearly.

    Args:
        seconds: Service time once the caches are warm.
        cold: Seconds from now until the caches are warm.
        cold_factor: Factor on the service time at the start.
    """
    started = time.monotonic()

    def find_service_time(factor):
        left = cold - (time.monotonic() - started)
        if left <= 0:
            return seconds * factor
        return seconds * factor * (1 + (cold_factor - 1) * left / cold)

    return find_service_time
