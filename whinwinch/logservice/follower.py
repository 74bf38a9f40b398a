"""Task that reads the configuration from the log, when it is its turn."""

import asyncio
import random as random_module

from absl import logging

from . import client

# Seconds that the log holds a read until there is a record. Shorter than what
# counts as quiet in `readers`, so that one lost poll worries nobody.
POLL_WAIT = 5.0
POLL_LIMIT = 500
# Seconds between two looks at whether it is this daemon's turn.
TURN_INTERVAL = 2.0
# Bounds of the back-off while the log can't be read. The upper bound is how
# late a change is noticed after an outage, and has to leave time to hand on.
SHORTEST_BACKOFF = 0.5
LONGEST_BACKOFF = 4.0


async def run_follower(read, relay, is_reader, wake, random=random_module):
    """Read configuration records from the log and give them to the relay.

    Runs until cancelled.

    Args:
        read: Awaitable function of offset, limit and wait (seconds); returns a
            `client.Page` or raises `client.LogUnavailable`.
        relay: The `relay.Relay`.
        is_reader: Function of the time; tells whether it is this daemon's turn.
        wake: `asyncio.Event` to set when there is something new to hand on.
        random: Source of jitter.
    """
    loop = asyncio.get_running_loop()
    cursor = relay.offset
    failures = 0
    while True:
        if not is_reader(loop.time()):
            cursor = relay.offset
            await asyncio.sleep(TURN_INTERVAL * random.uniform(0.5, 1.5))
            continue
        cursor = max(cursor, relay.offset)
        try:
            page = await read(cursor, POLL_LIMIT, POLL_WAIT)
        except client.LogUnavailable as error:
            failures += 1
            if failures == 1:
                logging.warning("configuration can't be read: %s", error)
            await asyncio.sleep(find_backoff(failures, random))
            continue
        if failures:
            logging.info("configuration is read again, from offset %d", cursor)
        failures = 0
        before = relay.offset
        cursor = take_page(page, cursor, relay, loop.time())
        if relay.offset > before:
            wake.set()


def take_page(page, cursor, relay, now):
    """Give a page to the relay.

    Args:
        page: The `client.Page`.
        cursor: Offset that was read from.
        relay: The `relay.Relay`.
        now: Time in seconds.

    Returns:
        The offset to read from next. After a gap, because the log has dropped
        records, the relay takes nothing until a snapshot comes by; reading
        goes on beyond what it wants, and returns to it after the snapshot.
    """
    before = relay.offset
    taken = relay.take(page.records)
    if page.first > before and page.first > cursor:
        logging.warning(
            "the log has dropped configuration records %d to %d; "
            "looking for a snapshot",
            before,
            page.first - 1,
        )
    relay.confirm(page.next, 0.0, now)
    if taken:
        return relay.offset
    if page.records:
        return page.records[-1].offset + 1
    return max(cursor, page.first)


def find_backoff(failures, random):
    """Return the seconds to wait after so many failures in a row, jittered.

    Without jitter all readers would come back to the log at the same moment.
    """
    longest = min(LONGEST_BACKOFF, SHORTEST_BACKOFF * 2 ** min(failures, 10))
    return random.uniform(longest / 2, longest)
