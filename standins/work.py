"""What a stand-in backend server has in hand: slots, queue, runs and faults."""

import threading
import time
from collections import Counter
from contextlib import contextmanager
from typing import TypedDict


class Faults(TypedDict, total=False):
    """The body of ``POST /faults``; what is left out stays as it is.

    Attributes:
        slow: Factor on the service time.
        half: Next answers cut off in the middle of their body.
        errors: Next requests answered by 500, after they ran.
        lose_answers: Next requests that run and get no answer at all.
        load: What ``/load`` says instead of the truth; None for the truth.
        unhealthy: Whether ``/health`` answers 503.
    """

    slow: float
    half: int
    errors: int
    lose_answers: int
    load: dict | None
    unhealthy: bool


class Shed(Exception):
    """The backend server has no slot and no room to wait for one."""


class Work:
    """The slots of a backend server and the count of what ran in them."""

    def __init__(self, slots, queue):
        """Begin with every slot free.

        Args:
            slots: Requests in service at once.
            queue: Requests that may wait for a slot.
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
        self._freed = threading.Condition()

    @contextmanager
    def hold_slot(self, patience):
        """Hold a slot, after waiting up to `patience` seconds for one.

        Raises:
            Shed: When the queue is full or no slot was freed in time.
        """
        with self._freed:
            self._enter(patience)
        try:
            yield
        finally:
            with self._freed:
                self.in_service -= 1
                self.stats["served"] += 1
                self._freed.notify_all()

    def _enter(self, patience):
        if self.in_service >= self.slots and not self._wait(patience):
            self.stats["shed"] += 1
            raise Shed
        self.in_service += 1
        self.stats["most_in_service"] = max(
            self.stats["most_in_service"], self.in_service
        )

    def _wait(self, patience):
        if self.waiting >= self.queue:
            return False
        self.waiting += 1
        try:
            return self._freed.wait_for(lambda: self.in_service < self.slots, patience)
        finally:
            self.waiting -= 1

    def wait_until_idle(self, patience):
        """Wait up to `patience` seconds until nothing is in service or waiting.

        Returns:
            Whether nothing is.
        """
        with self._freed:
            return self._freed.wait_for(
                lambda: self.in_service == self.waiting == 0, patience
            )

    def count_run(self, request, key):
        """Note that a request is being run, and its key if it has one."""
        with self._freed:
            self.runs_by_request[request] += 1
            if key:
                self.runs_by_key[key] += 1

    def set_faults(self, faults):
        """Set the faults named.

        Raises:
            ValueError: When there is no fault of some name.
        """
        if unknown := faults.keys() - self.faults.keys():
            raise ValueError(f"no such faults: {sorted(unknown)}")
        with self._freed:
            self.faults.update(faults)

    def take_fault(self, name):
        """Use up one of a counted fault; return whether there was one left."""
        with self._freed:
            left = self.faults[name]
            if left <= 0:
                return False
            self.faults[name] = left - 1
            return True

    def report_load(self):
        """Return what ``/load`` answers."""
        with self._freed:
            true = {
                "in_service": self.in_service,
                "waiting": self.waiting,
                "slots": self.slots,
            }
            return self.faults["load"] or true

    def report_runs(self):
        """Return what ``/ran`` answers: runs by key and by request."""
        with self._freed:
            return {
                "keys": dict(self.runs_by_key),
                "requests": dict(self.runs_by_request),
            }


def build_service_time(seconds, cold, cold_factor):
    """Return a function that gives the service time of the next request.

    A backend server that has just started is slow until its caches are warm:
    it begins at `cold_factor` times its service time and comes down evenly.

    Args:
        seconds: Service time once warm.
        cold: Seconds until warm, from now.
        cold_factor: Factor on the service time at the start.
    """
    started = time.monotonic()

    def find_service_time(factor):
        left = cold - (time.monotonic() - started)
        if left <= 0:
            return seconds * factor
        return seconds * factor * (1 + (cold_factor - 1) * left / cold)

    return find_service_time
