"""Phases of a daemon and its backend server: serving, leaving and stopped.

Load pattern: 510 instances are restarted or replaced on an ordinary day, most of them
under load. Without the leaving phase each restart would break the requests in flight,
whose callers would receive an unknown outcome, and new work would be sent to a backend
server that is about to stop.

A leaving daemon refuses new work as not run, so that it can be retried at another
endpoint, and completes the work in flight in both directions: requests inside its
backend server, and the calls which that backend server makes to answer them. It stops
when nothing is in flight and no message has arrived for a while, or when the time
allowed is over.
"""

import enum
from typing import NamedTuple

# Seconds without any arrival before a leaving daemon may close its sockets. A request
# that was sent to a closed socket has an unknown outcome, while one that a running
# daemon refuses has certainly not run. Peers learn that a daemon is leaving within a
# few seconds and then send it nothing more.
QUIET_PERIOD = 3.0

# Seconds after which a daemon with nothing in flight stops although messages still
# arrive; otherwise a caller that never learns of the stop could delay it forever.
MAX_LINGER = 10.0

# Seconds after the last deadline in flight during which the answer is still sent.
ANSWER_GRACE = 0.5


class Phase(enum.Enum):
    """Phases of a daemon, which only ever moves forward through them."""

    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"


class Direction(enum.Enum):
    """Directions in which work reaches a daemon.

    ENTRY is a request of an outside caller, INWARD one for the daemon's local
    backend server, OUTWARD a call made by this backend server.
    """

    ENTRY = "entry"
    INWARD = "inward"
    OUTWARD = "outward"


class Lifecycle(NamedTuple):
    """State of a daemon and its backend server.

    Attributes:
        phase: Phase of the daemon.
        backend_leaving: Whether the backend server has announced that it drains.
        since: Event loop time at which the daemon began to leave.
        until: Event loop time at which a leaving daemon stops in any case.
        ground: Why it stopped, or "".
    """

    phase: Phase = Phase.SERVING
    backend_leaving: bool = False
    since: float = 0.0
    until: float = 0.0
    ground: str = ""


class InFlight(NamedTuple):
    """Number of requests and calls that a daemon has in flight.

    Attributes:
        inward: Requests accepted by the entry or the gatekeeper and not yet answered.
        outward: Calls of the local backend server not yet answered.
        last_arrival: Event loop time of the last arrival, including refused ones.
    """

    inward: int
    outward: int
    last_arrival: float


def begin_leaving(lifecycle, now, allowed, last_deadline):
    """Move a serving daemon to the leaving phase.

    A second stop signal changes nothing: it must neither extend the time allowed nor
    cut off work that the first one lets finish.

    Args:
        lifecycle: The present `Lifecycle`.
        now: Event loop time, in seconds.
        allowed: Seconds that the settings allow for the stop.
        last_deadline: Latest deadline of the work in flight, event loop time.

    Returns:
        The new `Lifecycle`.
    """
    if lifecycle.phase is not Phase.SERVING:
        return lifecycle
    wanted = max(last_deadline + ANSWER_GRACE, now + QUIET_PERIOD)
    until = min(now + allowed, wanted)
    return lifecycle._replace(phase=Phase.LEAVING, since=now, until=until)


def set_backend_leaving(lifecycle, leaving):
    """Record whether the backend server itself has announced that it drains."""
    return lifecycle._replace(backend_leaving=leaving)


def admits(lifecycle, direction):
    """Return whether new work is accepted; refused work is not run.

    Calls of the local backend server are accepted until the daemon stops: they belong
    to requests in flight, which would fail without them.

    Args:
        lifecycle: The present `Lifecycle`.
        direction: `Direction` in which the work arrived.
    """
    if lifecycle.phase is Phase.STOPPED:
        return False
    if direction is Direction.OUTWARD:
        return True
    if lifecycle.phase is Phase.LEAVING:
        return False
    return direction is Direction.ENTRY or not lifecycle.backend_leaving


def is_leaving(lifecycle):
    """Return whether to announce to peers that this endpoint accepts no new work."""
    return lifecycle.phase is not Phase.SERVING or lifecycle.backend_leaving


def advance(lifecycle, now, flight):
    """Move a leaving daemon to the stopped phase if it may stop.

    Args:
        lifecycle: The present `Lifecycle`.
        now: Event loop time, in seconds.
        flight: `InFlight` at this time.

    Returns:
        The new `Lifecycle`; the same one if nothing changes.
    """
    if lifecycle.phase is not Phase.LEAVING:
        return lifecycle
    in_flight = flight.inward + flight.outward
    if not in_flight and is_quiet(lifecycle, now, flight.last_arrival):
        return lifecycle._replace(phase=Phase.STOPPED, ground="nothing in flight")
    if now >= lifecycle.until:
        ground = f"stop time limit reached, {in_flight} in flight"
        return lifecycle._replace(phase=Phase.STOPPED, ground=ground)
    return lifecycle


def is_quiet(lifecycle, now, last_arrival):
    """Return whether no more messages are expected to reach a leaving daemon.

    Args:
        lifecycle: The present `Lifecycle`, leaving.
        now: Event loop time, in seconds.
        last_arrival: Event loop time of the last arrival.
    """
    started = max(lifecycle.since, last_arrival)
    return now - started >= QUIET_PERIOD or now - lifecycle.since >= MAX_LINGER
