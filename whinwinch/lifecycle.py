"""Serving, leaving and stopping of a daemon and its backend server.

Load pattern: 510 instances are restarted or replaced on an ordinary day, most
of them under load. Without the leaving phase each restart breaks the requests
in flight, whose callers are then told unknown, and sends new work to a backend
server that is about to vanish.

A leaving daemon refuses new work as not run, so it can be tried elsewhere, and
goes on with what is in flight in both directions: requests inside its backend
server, and calls which that backend server makes to answer them. It stops once
nothing is in flight and nobody has sent anything for a while, or when the time
allowed is over.
"""

import enum
from typing import NamedTuple

# Seconds without any arrival before a leaving daemon may close its sockets. A
# message that meets a closed socket after it was sent has an unknown outcome;
# one that meets a daemon that refuses is surely not run. Peers learn of a leave
# within a few seconds and then send nothing more.
QUIET = 3.0

# Seconds after which a daemon with nothing in flight stops although somebody
# still sends; a caller that never learns would otherwise hold up the stop.
LONGEST_LINGER = 10.0

# Seconds after the last deadline in flight in which the answer still goes out.
ANSWER_GRACE = 0.5


class Phase(enum.Enum):
    """Phases of a daemon; it only moves forward through them."""

    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Way(enum.Enum):
    """Ways in which work reaches a daemon.

    ENTRY is a request of an outside caller, INWARD one for the daemon's own
    backend server, OUTWARD a call that this backend server makes.
    """

    ENTRY = "entry"
    INWARD = "inward"
    OUTWARD = "outward"


class Lifecycle(NamedTuple):
    """Where a daemon and its backend server stand.

    Attributes:
        phase: Phase of the daemon.
        backend_leaving: Whether the backend server said that it drains.
        since: Event loop time at which the daemon began to leave.
        until: Event loop time at which a leaving daemon stops in any case.
        ground: Why it stopped, or "".
    """

    phase: Phase = Phase.SERVING
    backend_leaving: bool = False
    since: float = 0.0
    until: float = 0.0
    ground: str = ""


class Flight(NamedTuple):
    """What a daemon has in flight.

    Attributes:
        inward: Requests taken in and not yet answered, by entry or gatekeeper.
        outward: Calls of the own backend server not yet answered.
        last_arrival: Event loop time of the last arrival, refused ones too.
    """

    inward: int
    outward: int
    last_arrival: float


def begin_leaving(lifecycle, now, allowed, last_deadline):
    """Turn a serving daemon into a leaving one.

    A second stop signal changes nothing: it must not extend the time, nor cut
    off what the first one lets finish.

    Args:
        lifecycle: The present `Lifecycle`.
        now: Event loop time, in seconds.
        allowed: Seconds that the settings allow for the stop.
        last_deadline: Latest deadline of what is in flight, event loop time.

    Returns:
        The new `Lifecycle`.
    """
    if lifecycle.phase is not Phase.SERVING:
        return lifecycle
    wanted = max(last_deadline + ANSWER_GRACE, now + QUIET)
    until = min(now + allowed, wanted)
    return lifecycle._replace(phase=Phase.LEAVING, since=now, until=until)


def mark_backend(lifecycle, leaving):
    """Note whether the backend server itself says that it drains."""
    return lifecycle._replace(backend_leaving=leaving)


def admits(lifecycle, way):
    """Return whether new work of a way is taken; what isn't is not run.

    Calls of the own backend server are taken until the stop: they belong to
    requests in flight, which would fail without them.

    Args:
        lifecycle: The present `Lifecycle`.
        way: `Way` by which the work came.
    """
    if lifecycle.phase is Phase.STOPPED:
        return False
    if way is Way.OUTWARD:
        return True
    if lifecycle.phase is Phase.LEAVING:
        return False
    return way is Way.ENTRY or not lifecycle.backend_leaving


def is_leaving(lifecycle):
    """Return whether peers should be told that this endpoint takes no new work."""
    return lifecycle.phase is not Phase.SERVING or lifecycle.backend_leaving


def advance(lifecycle, now, flight):
    """Move a leaving daemon on to stopped when its time has come.

    Args:
        lifecycle: The present `Lifecycle`.
        now: Event loop time, in seconds.
        flight: `Flight` at this time.

    Returns:
        The new `Lifecycle`; the same one where nothing changes.
    """
    if lifecycle.phase is not Phase.LEAVING:
        return lifecycle
    in_flight = flight.inward + flight.outward
    if not in_flight and is_quiet(lifecycle, now, flight.last_arrival):
        return lifecycle._replace(phase=Phase.STOPPED, ground="nothing in flight")
    if now >= lifecycle.until:
        ground = f"time allowed is over, {in_flight} in flight"
        return lifecycle._replace(phase=Phase.STOPPED, ground=ground)
    return lifecycle


def is_quiet(lifecycle, now, last_arrival):
    """Return whether no message is likely to be on its way to a leaving daemon.

    Args:
        lifecycle: The present `Lifecycle`, leaving.
        now: Event loop time, in seconds.
        last_arrival: Event loop time of the last arrival.
    """
    started = max(lifecycle.since, last_arrival)
    return now - started >= QUIET or now - lifecycle.since >= LONGEST_LINGER
