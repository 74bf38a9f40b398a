"""Planned stop of the daemon on one instance.

Everything is served until callers have been routed elsewhere, then the daemon leaves
and finishes what it has in flight.
"""

import asyncio
from typing import NamedTuple

from . import callerdrain, events

# Seconds reserved for closing at the end of the time allowed for a stop.
CLOSING_RESERVE = 0.4
# Seconds that a stop waits at its end until the record of this daemon is withdrawn.
WITHDRAWAL_SECONDS = 0.5
# Seconds between two checks of a condition during a stop.
POLL_INTERVAL = 0.02


class StopBegin(NamedTuple):
    """Event: the daemon was signalled to stop.

    Attributes:
        drained: Seconds since callers began to be routed elsewhere.
        quiet: Seconds since the last request of a caller or of the local backend
            server arrived, -1 if none has.
        inward: Requests in flight to the local backend server.
        attempts: Attempts of other daemons that have not been answered.
        outward: Requests of callers and of the local backend server in flight.
        unread: Requests that have been received in part.
    """

    drained: float
    quiet: float
    inward: int
    attempts: int
    outward: int
    unread: int


class StopEnd(NamedTuple):
    """Event: a planned stop has ended.

    Attributes:
        text: Whether all requests in flight were answered.
        seconds: Seconds since the signal.
        withdrawn: Whether the record of the daemon has been withdrawn from the log.
        attempts: Attempts of other daemons that are cut off.
        outward: Requests of callers and of the local backend server that are cut off.
    """

    text: str
    seconds: float
    withdrawn: bool
    attempts: int
    outward: int


async def stop(instance, servers, seconds, withdraw):
    """Finish the requests in flight, then stop serving.

    All requests that can end in time, also the calls of other daemons, are served until
    callers have been routed elsewhere: a backend server that keeps running can be
    reached only through this daemon. If calls were refused from the signal on, a
    service of three endpoints would lose one of them while the daemon stops and
    restarts.

    Args:
        instance: `instance.Instance`.
        servers: `http1.server.Server` objects that serve callers.
        seconds: Seconds until the process is killed.
        withdraw: Coroutine function that withdraws the daemon's record from the log,
            and returns whether that succeeded.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    until = started_at + seconds - CLOSING_RESERVE
    instance.begin_stop(until)
    events.write("stop", _describe_begin(instance, servers, started_at))
    await _wait_for_callers(instance.caller_drain, servers, started_at, seconds)
    instance.begin_leaving()
    withdrawal = loop.create_task(withdraw())
    # Without this wait, the record of a daemon that has nothing in flight would stay in
    # the log, and other daemons would go on counting it.
    await asyncio.wait([withdrawal], timeout=WITHDRAWAL_SECONDS)
    # The address of the callers stays open until nothing is in flight: the backend
    # server may still make nested calls over new connections, and callers that are not
    # routed elsewhere are told when to come back.
    await _wait_until(lambda: _is_idle(instance, servers), until)
    events.write("stopped", _describe_end(instance, servers, started_at, withdrawal))
    for server in servers:
        server.end_stop()


async def _wait_for_callers(drain, servers, started_at, seconds):
    """Serve until callers have been routed elsewhere."""
    loop = asyncio.get_running_loop()
    drain.begin(started_at)
    for server in servers:
        server.begin_stop()
    longest = min(callerdrain.ROUTING_SECONDS, seconds / 2)
    await _wait_until(lambda: drain.is_complete(loop.time()), started_at + longest)


async def _wait_until(condition, until):
    """Poll a condition until it is true or the loop's clock reaches a time."""
    clock = asyncio.get_running_loop().time
    while clock() < until and not condition():
        await asyncio.sleep(POLL_INTERVAL)


def _is_idle(instance, servers):
    exchange = instance.exchange
    if instance.guard.running or exchange.running or exchange.has_unsent_bytes:
        return False
    return all(server.is_idle for server in servers)


def _describe_end(instance, servers, started_at, withdrawal):
    text = "no requests in flight"
    if not _is_idle(instance, servers):
        text = "ran out of time with requests in flight"
    return StopEnd(
        text,
        round(asyncio.get_running_loop().time() - started_at, 3),
        withdrawal.done() and withdrawal.result(),
        instance.exchange.running,
        sum(server.count_pending() for server in servers),
    )


def _describe_begin(instance, servers, now):
    drain = instance.caller_drain
    return StopBegin(
        round(drain.find_age(now), 3),
        round(drain.find_quiet_seconds(now), 3),
        instance.guard.running,
        instance.exchange.running,
        sum(server.count_pending() for server in servers),
        sum(server.count_unread() for server in servers),
    )
