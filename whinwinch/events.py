"""Structured log lines: one JSON object each, to standard output.

Two things can go wrong with logs under load: a reader that is slow blocks the
daemon in a write, and every call then waits for it; and refusals by the thousand
cost more than the calls that are served. So writing never blocks, and lines about
single requests are limited for each kind; what was left out is counted, and the
next line of the kind says how much.
"""

import json
import os
import time
from typing import NamedTuple

# Lines a second for each kind of event that comes with requests. One line costs
# about 15 us, so 40 of them take 0.06 % of a core for each kind.
LINES_PER_SECOND = 40.0
BURST_LINES = 80.0
# Bytes that wait for a slow reader; beyond them lines are lost and counted.
MOST_WAITING = 1 << 16


class Allowance:
    """Lines that one kind of event may still write, and what was left out."""

    def __init__(self, now):
        self.lines = BURST_LINES
        self.time = now
        self.dropped = 0

    def take(self, now):
        """Return whether a line may be written."""
        gained = (now - self.time) * LINES_PER_SECOND
        self.lines = min(BURST_LINES, self.lines + gained)
        self.time = now
        if self.lines < 1.0:
            self.dropped += 1
            return False
        self.lines -= 1.0
        return True


class Log:
    """Writes events to a file descriptor without ever waiting for it.

    Args:
        descriptor: Where to write; it is made non-blocking.
        clock: Function that returns seconds, for the limits.
        wall: Function that returns the time of day in seconds.
    """

    def __init__(self, descriptor, clock=time.monotonic, wall=time.time):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._wall = wall
        self._allowances = {}
        self._rest = b""
        self.lost = 0

    def write(self, kind, event):
        """Write a line that is always kept: starts, stops, changed beliefs.

        Args:
            kind: What happened, one word.
            event: `NamedTuple` with its fields.
        """
        self._put(kind, event._asdict())

    def sample(self, kind, event):
        """Write a line about one request, within the limit of its kind."""
        now = self._clock()
        allowance = self._allowances.get(kind)
        if allowance is None:
            allowance = self._allowances[kind] = Allowance(now)
        if not allowance.take(now):
            return
        fields = event._asdict()
        if allowance.dropped:
            fields["left_out"] = allowance.dropped
            allowance.dropped = 0
        self._put(kind, fields)

    def _put(self, kind, fields):
        line = json.dumps(
            {"time": round(self._wall(), 3), "event": kind, **fields}, default=str
        )
        data = self._rest + line.encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone; there is nobody left to tell.
            self.lost += 1
            return
        # The rest of a line that was cut goes first, or two would be mixed.
        self._rest = data[written:]
        if len(self._rest) > MOST_WAITING:
            self.lost += 1
            self._rest = self._rest[: self._rest.index(b"\n") + 1]


class Silence:
    """Takes events and drops them, for tests and tools."""

    lost = 0

    def write(self, kind, event):
        """Drop an event."""

    def sample(self, kind, event):
        """Drop an event."""


class Message(NamedTuple):
    """An event that needs no more than a sentence."""

    text: str


class Dependency(NamedTuple):
    """An event: what this daemon relies on was lost, or is back.

    Attributes:
        name: What it is.
        state: "lost" or "regained".
        problem: Why it was lost, "" when it is back.
        calls: Calls that were out to it.
        seconds: How long it was lost, 0 when it has just been.
    """

    name: str
    state: str
    problem: str = ""
    calls: int = 0
    seconds: float = 0.0


class LogHolder:
    """Holds the log of the process; tasks all over the package write to it."""

    log = Silence()


def install(log):
    """Write all events of this process to a log."""
    LogHolder.log = log


def write(kind, event):
    """Write an event that is always kept."""
    LogHolder.log.write(kind, event)


def sample(kind, event):
    """Write an event about one request, within the limit of its kind."""
    LogHolder.log.sample(kind, event)
