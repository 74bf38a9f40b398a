"""Structured logging: one JSON object per line, to standard output.

Logging can harm a daemon under load in two ways. A slow reader would block the daemon
in a write, and every call would wait for it. And the lines of thousands of refusals
would cost more than the calls that are served. Therefore writing never blocks, and
lines about single requests are rate-limited for each kind of event. The next line of
that kind reports how many were left out.
"""

import json
import os
import time
from typing import NamedTuple

from . import tokens

# Lines per second for each kind of event that is written for single requests. A line
# costs about 15 us, so that 40 of them use 0.06 % of a core per kind.
LINES_PER_SECOND = 40.0
BURST_LINES = 80.0
# Bytes buffered for a slow reader; further lines are dropped and counted.
MAX_PENDING_BYTES = 1 << 16


class RateLimit:
    """Rate limit for the lines of one kind of event.

    Attributes:
        dropped: Lines left out since the last one that was written.
    """

    def __init__(self, now):
        self._bucket = tokens.TokenBucket(LINES_PER_SECOND, BURST_LINES, now)
        self.dropped = 0

    def try_spend(self, now):
        """Spend one line and return whether one was available."""
        allowed = self._bucket.try_spend(now)
        self.dropped += not allowed
        return allowed


class Log:
    """Log that writes events to a file descriptor without ever blocking.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        clock: Function that returns monotonic time in seconds, for the limits.
        wall: Function that returns wall-clock time in seconds.

    Attributes:
        lost: Number of events of which the line could not be written.
    """

    def __init__(self, descriptor, clock=time.monotonic, wall=time.time):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._wall = wall
        self._limits = {}
        self._rest = b""
        self.lost = 0

    def write(self, kind, event):
        """Write an event that is not rate-limited, such as a start or a stop.

        Args:
            kind: Kind of event, one word.
            event: `NamedTuple` with the fields of the event.
        """
        self._write_line(kind, event._asdict())

    def sample(self, kind, event, group=""):
        """Write an event of a single request, within the rate limit of its kind.

        Args:
            kind: Kind of event, one word.
            event: `NamedTuple` with the fields of the event.
            group: Group of the request; the kind has a limit for each group.
        """
        now = self._clock()
        limit = self._limits.get((kind, group))
        if limit is None:
            limit = self._limits[kind, group] = RateLimit(now)
        if not limit.try_spend(now):
            return
        fields = event._asdict()
        if limit.dropped:
            fields["left_out"] = limit.dropped
            limit.dropped = 0
        self._write_line(kind, fields)

    def _write_line(self, kind, fields):
        line = json.dumps(
            {"time": round(self._wall(), 3), "event": kind, **fields}, default=str
        )
        data = self._rest + line.encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so the error cannot be reported.
            self.lost += 1
            return
        # Write the rest of a partly written line first, or two lines would be mixed.
        self._rest = data[written:]
        if len(self._rest) > MAX_PENDING_BYTES:
            self.lost += 1
            self._rest = self._rest[: self._rest.index(b"\n") + 1]


class NullLog:
    """Log that drops all events, for tests and tools."""

    lost = 0

    def write(self, kind, event):
        """Drop an event."""

    def sample(self, kind, event, group=""):
        """Drop an event."""


class Message(NamedTuple):
    """An event described by a text alone."""

    text: str


class Dependency(NamedTuple):
    """An event: a dependency of this daemon was lost or regained.

    Attributes:
        name: Name of the dependency.
        state: "lost" or "regained".
        problem: Reason for the loss, "" if the dependency was regained.
        calls: Calls to the dependency that were in flight.
        seconds: Duration of the outage, 0 if it has just begun.
    """

    name: str
    state: str
    problem: str = ""
    calls: int = 0
    seconds: float = 0.0


class LogHolder:
    """Holder of the process-wide log that `write` and `sample` use."""

    log = NullLog()


def install(log):
    """Set the log that receives all events of this process."""
    LogHolder.log = log


def write(kind, event):
    """Write an event that is not rate-limited to the process-wide log."""
    LogHolder.log.write(kind, event)


def sample(kind, event, group=""):
    """Write an event of a single request, within the limit of its kind and group."""
    LogHolder.log.sample(kind, event, group=group)
