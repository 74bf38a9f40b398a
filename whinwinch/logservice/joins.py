"""Joins on the log, so that a daemon that starts finds its first peers.

The log holds joins, not heartbeats: once a daemon has reached the mesh, gossip
tells the rest. A zone of 500 daemons that restarts at once must not storm the
log, which takes several hundred appends a second for everybody. So a daemon
that has reached the mesh appends only while the tail of the stream is short of
joins, and every daemon waits for a random time that grows with the joins that
it saw there lately.
"""

import asyncio
import json
import random as random_module
import time

from absl import logging

from ..messages import Endpoint
from . import streams
from .client import LogUnavailable

# Joins read from the tail. With half of them long gone a newcomer still finds
# some 30 ways into the mesh.
TAIL = 64
# Joins of the last minutes that are enough for a newcomer.
ENOUGH_RECENT = 32
RECENT_SECONDS = 600.0
# Seconds of random delay for each recent join: 500 daemons that start together
# then spread over half a minute once the first joins are seen.
SECONDS_PER_JOIN = 0.05
# Joins must not all be dropped by retention while nobody starts.
REVIEW_SECONDS = 1800.0
# Seconds between two looks while no other daemon is known.
ALONE_SECONDS = 2.0
SHORTEST_BACKOFF = 0.5
LONGEST_BACKOFF = 15.0


async def run_joins(members, log, run, random=random_module):
    """Read the joins, append the own one, and see that enough of them remain.

    Runs until cancelled.

    Args:
        members: `membership.Membership`.
        log: `client.LogClient`.
        run: Awaitable that runs a blocking function, as `asyncio.to_thread`.
        random: Source of jitter.
    """
    appended = False
    reviewed = False
    failures = 0
    while True:
        try:
            recent = await _load_tail(members, log, run)
            if not appended or recent < ENOUGH_RECENT:
                await asyncio.sleep(random.random() * SECONDS_PER_JOIN * recent)
                appended = await _append_join(members, log, run, recent)
        except LogUnavailable as error:
            if not failures:
                logging.warning("joins can't be read or appended: %s", error)
            failures += 1
            await asyncio.sleep(_find_backoff(failures, random))
            continue
        failures = 0
        # Daemons that start together read the stream before the others'
        # joins are in it. Only a read after the own append sees them.
        pause = REVIEW_SECONDS if reviewed and len(members) > 1 else ALONE_SECONDS
        reviewed = appended
        await asyncio.sleep(pause * random.uniform(0.5, 1.5))


async def _load_tail(members, log, run):
    """Tell the membership of the last joins; return how many are recent."""
    end = (await run(log.read, streams.MEMBERS, 0, 1)).next
    page = await run(log.read, streams.MEMBERS, max(0, end - TAIL), TAIL)
    now = time.time()
    recent = 0
    for record in page.records:
        endpoint = decode_join(record.data)
        if endpoint is None:
            continue
        if endpoint.daemon != members.own.endpoint.daemon:
            members.load_join(endpoint)
        recent += record.time > now - RECENT_SECONDS
    return recent


async def _append_join(members, log, run, recent):
    """Append the own join, unless the mesh is reached and has enough of them."""
    if len(members) > 1 and recent >= ENOUGH_RECENT:
        return True
    await run(log.append, streams.MEMBERS, encode_join(members.own.endpoint))
    return True


def encode_join(endpoint):
    """Return the log record of a join."""
    return json.dumps({"type": "join", **endpoint._asdict()}).encode()


def decode_join(data):
    """Return the endpoint of a join, None for a record that is none."""
    try:
        fields = json.loads(data)
        if fields.pop("type") != "join":
            return None
        return Endpoint(**fields)
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def _find_backoff(failures, random):
    longest = min(LONGEST_BACKOFF, SHORTEST_BACKOFF * 2 ** min(failures, 10))
    return random.uniform(longest / 2, longest)
