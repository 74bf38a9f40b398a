"""Task that reads the configuration from the log while this daemon is a reader."""

import asyncio
import random as random_module

from absl import logging

from . import client

# Seconds that the log may delay a read until there is a record. Shorter than
# `readers.MAX_CONFIRMED_AGE`, so that one lost poll activates no spare readers.
POLL_WAIT = 5.0
POLL_LIMIT = 500
# Average seconds between two checks of whether this daemon has become a reader.
READER_CHECK_INTERVAL = 2.0
# Bounds in seconds of the backoff while the log can't be read. The upper bound delays
# the first change after an outage, which then still has to reach the peers in time.
MIN_BACKOFF = 0.5
MAX_BACKOFF = 4.0


async def run_follower(read, relay, is_reader, wake, random=random_module):
    """Read configuration records from the log and apply them through the relay.

    Runs until cancelled.

    Args:
        read: Awaitable function of offset, limit and wait (seconds); returns a
            `client.Page` or raises `client.LogUnavailable`.
        relay: The `relay.Relay`.
        is_reader: Function from the loop's time to whether this daemon is a reader.
        wake: `asyncio.Event` that is set when there are new records for peers.
        random: Source of jitter.
    """
    loop = asyncio.get_running_loop()
    cursor = relay.offset
    failures = 0
    while True:
        if not is_reader(loop.time()):
            cursor = relay.offset
            await asyncio.sleep(READER_CHECK_INTERVAL * random.uniform(0.5, 1.5))
            continue
        cursor = max(cursor, relay.offset)
        try:
            page = await read(cursor, POLL_LIMIT, POLL_WAIT)
        except client.LogUnavailable as error:
            failures += 1
            if failures == 1:
                logging.warning("failed to read the configuration stream: %s", error)
            await asyncio.sleep(draw_backoff(failures, random))
            continue
        if failures:
            logging.info(
                "resumed reading the configuration stream at offset %d", cursor
            )
        failures = 0
        before = relay.offset
        cursor = apply_page(page, cursor, relay, loop.time())
        if relay.offset > before:
            wake.set()


def apply_page(page, cursor, relay, now):
    """Apply a page of records through the relay.

    Args:
        page: The `client.Page`.
        cursor: Offset at which the page was read.
        relay: The `relay.Relay`.
        now: Time in seconds.

    Returns:
        The offset to read from next. After a gap, because the log has dropped
        records, the relay applies nothing until there is a snapshot. Reading
        continues beyond the relay's offset until then, and returns to it after the
        snapshot.
    """
    before = relay.offset
    applied = relay.apply_records(page.records)
    if page.first > before and page.first > cursor:
        logging.warning(
            "the log has dropped configuration records %d to %d; "
            "searching for a snapshot",
            before,
            page.first - 1,
        )
    relay.record_log_end(page.next, 0.0, now)
    if applied:
        return relay.offset
    if page.records:
        return page.records[-1].offset + 1
    return max(cursor, page.first)


def draw_backoff(failures, random):
    """Return the backoff in seconds after a number of consecutive failures.

    Without its jitter all readers would retry at the same moment.

    Args:
        failures: Number of consecutive failures.
        random: Source of jitter.
    """
    max_backoff = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(failures, 10))
    return random.uniform(max_backoff / 2, max_backoff)
