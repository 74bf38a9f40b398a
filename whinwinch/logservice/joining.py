"""Task that finds the first peers through the log and tells of this daemon."""

import asyncio
import random as random_module

from absl import logging

from .. import joins
from . import client

# Seconds over which daemons that start together spread their first read.
START_SPREAD = 3.0
# Seconds over which they spread the look at whether their joins are needed.
SETTLE_SPREAD = 10.0
# How often a join is put off while the stream has many recent ones. Then it is
# written anyway: the stream must not go on naming a burst of long ago only.
POSTPONEMENTS = 3
# Seconds that gossip gets to reach one of the contacts.
CONTACT_TIME = 5.0
# Bounds of the back-off while the log can't be used. The upper bound is how
# long a daemon may stay alone after an outage.
SHORTEST_BACKOFF = 0.5
LONGEST_BACKOFF = 10.0


async def run_joining(read, append, members, random=random_module):
    """Join the mesh through the log and keep the stream of use to others.

    Runs until cancelled.

    Args:
        read: Awaitable function of offset, limit and wait (seconds) on the
            stream of members; returns a `client.Page` or raises
            `client.LogUnavailable`.
        append: Awaitable function of the bytes of a record for that stream;
            may raise `client.LogUnavailable`.
        members: The `membership.Membership`, of which gossip has charge.
        random: Source of jitter.
    """
    loop = asyncio.get_running_loop()
    await asyncio.sleep(random.uniform(0.0, START_SPREAD))
    await _find_peers(read, append, members, random)
    await _postpone(read, random)
    await _append_patiently(append, members, members.count_joins(loop.time()), random)
    while True:
        await asyncio.sleep(joins.find_read_interval(len(members), random))
        await _refresh(read, append, members, random)


async def append_leave(append, members, now):
    """Tell the log that this daemon leaves, unless it has better to do.

    Args:
        append: As for `run_joining`.
        members: The `membership.Membership`.
        now: Time in seconds.
    """
    if members.count_joins(now) > joins.MAX_JOINS_FOR_LEAVE:
        return
    record = joins.JoinRecord(left=(members.local_member.endpoint.daemon,))
    try:
        await append(joins.encode_record(record))
    except client.LogUnavailable as error:
        logging.info("leave not written: %s", error)


async def _postpone(read, random):
    """Wait while other daemons have lately written joins enough.

    A zone that restarts would otherwise write all of its joins in the seconds
    in which they reach the mesh, before they know of one another.
    """
    await asyncio.sleep(random.uniform(0.0, SETTLE_SPREAD))
    for _ in range(POSTPONEMENTS):
        try:
            page = await _read_end(read)
        except client.LogUnavailable:
            return
        if joins.count_recent(page.records) < joins.ENOUGH_RECENT_JOINS:
            return
        await asyncio.sleep(random.uniform(0.0, joins.RECENT_WINDOW))


async def _append_patiently(append, members, recent, random):
    """Append this daemon's join, which belongs to the mesh already.

    It isn't urgent. Hundreds that waited for the log together would otherwise
    all write in the seconds after an outage.
    """
    while True:
        try:
            await append(joins.encode_record(joins.build_join(members, random)))
            return
        except client.LogUnavailable as error:
            logging.info("join not written yet: %s", error)
        delay = joins.find_append_delay(recent, random)
        await asyncio.sleep(delay + random.uniform(0.5, 1.0) * LONGEST_BACKOFF)


async def _refresh(read, append, members, random):
    """Read the stream's end once, and add a record when there are too few.

    A failure is left to the next time: thousands of daemons that tried again
    at once would keep a log busy that is just coming back.
    """
    try:
        page = await _read_end(read)
        joins.apply_records(members, page.records)
        if len(page.records) < joins.MIN_RECORDS:
            await append(joins.encode_record(joins.build_join(members, random)))
    except client.LogUnavailable as error:
        logging.info("stream of members not refreshed: %s", error)


async def _find_peers(read, append, members, random):
    """Return, once another daemon is known, how many joins there were lately.

    Before it appends, a daemon reads once more. When a whole mesh starts at
    once, the first few are then found by all others, who need not append
    before they belong to the mesh.
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
    end = loop.time() + CONTACT_TIME
    while len(members) == 1 and loop.time() < end:
        await asyncio.sleep(members.settings.probe_interval / 4)


async def _read_tail(read, members, random):
    """Return the end of the stream, however long the log takes to answer."""

    async def read_end():
        return await _read_end(read)

    return await _repeat(read_end, "peers can't be looked up", members, random)


async def _read_end(read):
    page = await read(0, 1, 0.0)
    start = max(page.first, page.next - joins.TAIL_RECORDS)
    return await read(start, joins.TAIL_RECORDS, 0.0)


async def _append_join(append, members, random):
    """Append this daemon's join, however long the log takes to answer.

    A lost answer may leave the record twice; both say the same.
    """

    async def append_once():
        await append(joins.encode_record(joins.build_join(members, random)))

    await _repeat(append_once, "join can't be written", members, random)


async def _repeat(action, problem, members, random):
    failures = 0
    while True:
        try:
            return await action()
        except client.LogUnavailable as error:
            failures += 1
            if failures == 1:
                logging.warning(
                    "%s, trying on (%d members known): %s", problem, len(members), error
                )
        longest = min(LONGEST_BACKOFF, SHORTEST_BACKOFF * 2 ** min(failures, 10))
        await asyncio.sleep(random.uniform(longest / 2, longest))
