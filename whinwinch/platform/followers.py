"""Task that keeps the copy of a topic of the store current."""

import asyncio
import random

from absl import logging

from .. import events
from .store import Outcome, StoreError

# Seconds before a retry after the first failure, and the maximum. Each failure
# increases the delay by half; with jitter, hundreds of daemons don't retry at the same
# moment when the store recovers.
INITIAL_BACKOFF = 0.1
MAX_BACKOFF = 0.8
# Seconds that a read waits for a new record by default. A connection may stall for
# good: a read times out 0.8 s after its wait, and until then this daemon reports
# nothing to its peers.
READ_WAIT = 0.9
# Seconds between two checks of whether this daemon has to read the log.
READER_CHECK_INTERVAL = 0.1


async def follow_topic(
    store, topic, followed, is_reader, record_read, wait=READ_WAIT, batch_delay=0.0
):
    """Keep the copy of a keyed topic current until cancelled.

    Args:
        store: `store.Store`.
        topic: Name of the topic.
        followed: `keyed.FollowedTopic` of the topic.
        is_reader: Function that returns whether this daemon reads the log for other
            daemons.
        record_read: Function called after each read with the topic, the end offset
            and the time of the read.
        wait: Seconds that a read waits for a new record.
        batch_delay: Seconds between a read that returned records and the next one,
            so that it returns several records at once.
    """
    backoff, lost_since, history_dropped = INITIAL_BACKOFF, None, False
    clock = asyncio.get_running_loop().time
    while True:
        if not followed.must_read(is_reader(), clock()):
            await asyncio.sleep(READER_CHECK_INTERVAL * random.uniform(0.5, 1.5))
            continue
        try:
            if history_dropped or not followed.copy.is_initialized:
                page = await store.read_newest(topic)
                followed.copy.apply_listing(page.records, page.end)
            else:
                start = followed.copy.end
                page = await store.read_from(topic, start, wait)
                followed.copy.apply_records(page.records, start, page.end)
        except StoreError as error:
            history_dropped = error.outcome is Outcome.GONE
            if history_dropped:
                # The store has kept only the newest record of each key.
                logging.info(
                    "history of topic %s was dropped, reading the newest records",
                    topic,
                )
                continue
            if lost_since is None:
                _log_store_state(topic, "lost", problem=str(error))
                lost_since = clock()
            await asyncio.sleep(backoff * random.uniform(0.5, 1.5))
            backoff = min(1.5 * backoff, MAX_BACKOFF)
            continue
        record_read(topic, page.end, clock())
        backoff, history_dropped = INITIAL_BACKOFF, False
        if lost_since is not None:
            _log_store_state(topic, "regained", seconds=clock() - lost_since)
        lost_since = None
        if page.skipped:
            logging.warning(
                "skipped %d malformed records of topic %s", page.skipped, topic
            )
        if page.records and batch_delay:
            await asyncio.sleep(batch_delay * random.uniform(0.5, 1.5))


def _log_store_state(topic, state, **fields):
    name = f"store, topic {topic}"
    events.write("dependency", events.Dependency(name, state, **fields))
