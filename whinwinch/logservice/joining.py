"""Task that discovers peers through the log and announces this daemon there."""

import asyncio
import random as random_module

from absl import logging

from .. import joins
from . import client

# Maximum seconds before the first read, to spread daemons that start together.
START_SPREAD = 3.0
# Maximum seconds before the check whether the daemon's join record is needed.
CHECK_SPREAD = 10.0
# Maximum number of times that a join is postponed while the stream has many recent
# ones. It is written afterwards anyway: the stream must not keep listing only the
# daemons of an old burst.
MAX_POSTPONEMENTS = 3
# Seconds that gossip has to reach one of the listed daemons.
CONTACT_TIMEOUT = 5.0
# Bounds in seconds of the backoff while the log is unavailable. The upper bound limits
# how long a daemon may stay without peers after an outage.
MIN_BACKOFF = 0.5
MAX_BACKOFF = 10.0


async def run_joining(read, append, members, random=random_module):
    """Join the mesh through the log and keep enough records in the stream for others.

    Runs until cancelled.

    Args:
        read: Awaitable function of offset, limit and wait (seconds) on the
            stream of members; returns a `client.Page` or raises
            `client.LogUnavailable`.
        append: Awaitable function that appends the bytes of a record to that
            stream; may raise `client.LogUnavailable`.
        members: The `membership.Membership`, which gossip updates.
        random: Source of jitter.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(random.uniform(0.0, START_SPREAD))
    await _find_peers(read, append, members, random)
    await _postpone(read, random)
    await _append_join_slowly(append, members, members.count_joins(loop.time()), random)
    while True:
        await asyncio.sleep(joins.find_read_interval(len(members), random))
        await _refresh(read, append, members, random)


async def append_leave(append, members, now):
    """Append the record that this daemon leaves, unless many have recently joined.

    Args:
        append: As in `run_joining`.
        members: The `membership.Membership`.
        now: Time in seconds.
    """
    if members.count_joins(now) > joins.MAX_JOINS_FOR_LEAVE:
        return
    record = joins.JoinRecord(left=(members.local_member.endpoint.daemon,))
    try:
        await append(joins.encode_record(record))
    except client.LogUnavailable as error:
        logging.info("failed to append the leave record: %s", error)


async def _postpone(read, random):
    """Wait while other daemons have recently written enough joins.

    The daemons of a restarting zone would otherwise all write their joins within
    the seconds before they discover one another.
    """
    await asyncio.sleep(random.uniform(0.0, CHECK_SPREAD))
    for _ in range(MAX_POSTPONEMENTS):
        try:
            page = await _read_end(read)
        except client.LogUnavailable:
            return
        if joins.count_recent(page.records) < joins.ENOUGH_RECENT_JOINS:
            return
        await asyncio.sleep(random.uniform(0.0, joins.RECENT_WINDOW))


async def _append_join_slowly(append, members, recent, random):
    """Append the join of this daemon, which already belongs to the mesh.

    The join isn't urgent, so it is retried after long delays. Hundreds of daemons
    would otherwise all write in the seconds after an outage of the log.
    """
    while True:
        try:
            await append(joins.encode_record(joins.build_join(members, random)))
            return
        except client.LogUnavailable as error:
            logging.info("failed to append the join record, retrying later: %s", error)
        delay = joins.find_append_delay(recent, random)
        await asyncio.sleep(delay + random.uniform(0.5, 1.0) * MAX_BACKOFF)


async def _refresh(read, append, members, random):
    """Read the end of the stream once, and append a join if there are too few.

    A failure is not retried before the next interval: immediate retries of thousands
    of daemons would overload a log that is just recovering.
    """
    try:
        page = await _read_end(read)
        joins.apply_records(members, page.records)
        if len(page.records) < joins.MIN_RECORDS:
            await append(joins.encode_record(joins.build_join(members, random)))
    except client.LogUnavailable as error:
        logging.info("failed to refresh the stream of members: %s", error)


async def _find_peers(read, append, members, random):
    """Wait until another daemon is known; return the number of recent joins.

    The daemon reads once more before it appends. When a whole mesh starts at once,
    all others then discover the first few daemons, and need not append before they
    belong to the mesh.
    """
    while True:
        page = await _read_tail(read, members, random)
        recent = joins.apply_records(members, page.records)
        await _wait_for_peer(members)
        if len(members) > 1:
            return recent
        await asyncio.sleep(joins.find_append_delay(recent, random))
        later = await _read_tail(read, members, random)
        if later.next == page.next:
            await _append_join(append, members, random)
        joins.apply_records(members, later.records)
        await _wait_for_peer(members)
        if len(members) > 1:
            return recent


async def _wait_for_peer(members):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + CONTACT_TIMEOUT
    while len(members) == 1 and loop.time() < deadline:
        await asyncio.sleep(members.settings.probe_interval / 4)


async def _read_tail(read, members, random):
    """Return the page at the end of the stream, retrying until the log answers."""

    async def read_end():
        return await _read_end(read)

    return await _retry(read_end, "failed to read the list of peers", members, random)


async def _read_end(read):
    page = await read(0, 1, 0.0)
    start = max(page.first, page.next - joins.TAIL_RECORDS)
    return await read(start, joins.TAIL_RECORDS, 0.0)


async def _append_join(append, members, random):
    """Append this daemon's join, retrying until the log answers.

    After a lost answer the record may be written twice, which is harmless.
    """

    async def append_once():
        await append(joins.encode_record(joins.build_join(members, random)))

    await _retry(append_once, "failed to append the join record", members, random)


async def _retry(action, problem, members, random):
    failures = 0
    while True:
        try:
            return await action()
        except client.LogUnavailable as error:
            failures += 1
            if failures == 1:
                logging.warning(
                    "%s, retrying (%d members known): %s", problem, len(members), error
                )
        max_backoff = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(failures, 10))
        await asyncio.sleep(random.uniform(max_backoff / 2, max_backoff))
