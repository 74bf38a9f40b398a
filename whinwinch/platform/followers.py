"""Tasks that follow the store: the operator's configuration, the other daemons."""

import asyncio
import random

from absl import logging

from .. import events
from .store import Outcome, StoreError

# Pauses after a failed call: half as long again each time, with jitter, so that
# hundreds of daemons don't come back together when the store does.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 0.8
# A connection may fall silent for good: a read is given up 0.8 s after its wait, and
# peers hear nothing of this daemon meanwhile.
WAIT_SECONDS = 0.9
# Between two looks at whether the log has to be read here.
TURN_SECONDS = 0.1


async def follow_topic(
    store, topic, following, is_reader, note_read, wait=WAIT_SECONDS, gather=0.0
):
    """Keep the copy of a keyed topic current, for ever.

    Args:
        store: `store.Store`.
        topic: Its name.
        following: `keyed.Following` of it.
        is_reader: Function that tells whether this daemon reads for the others.
        note_read: Function that is told the topic, the end up to which it was read,
            and when.
        wait: Seconds that a read waits for a new record.
        gather: Seconds before the next read after one that brought records.
    """
    pause, lost, is_gone = FIRST_PAUSE, None, False
    clock = asyncio.get_running_loop().time
    while True:
        if not following.must_read(is_reader(), clock()):
            await asyncio.sleep(TURN_SECONDS * random.uniform(0.5, 1.5))
            continue
        try:
            if is_gone or not following.copy.is_known:
                page = await store.read_newest(topic)
                following.copy.take_newest(page.records, page.end)
            else:
                start = following.copy.end
                page = await store.read_on(topic, start, wait)
                following.copy.take(page.records, start, page.end)
        except StoreError as error:
            is_gone = error.outcome is Outcome.GONE
            if is_gone:
                # Only the newest record of each key is left.
                logging.info("history of %s is gone, reading the newest", topic)
                continue
            if lost is None:
                _log_store(topic, "lost", problem=str(error))
                lost = clock()
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(1.5 * pause, LONGEST_PAUSE)
            continue
        note_read(topic, page.end, clock())
        pause, is_gone = FIRST_PAUSE, False
        if lost is not None:
            _log_store(topic, "regained", seconds=clock() - lost)
        lost = None
        if page.skipped:
            logging.warning("%d records of %s can't be read", page.skipped, topic)
        if page.records and gather:
            await asyncio.sleep(gather * random.uniform(0.5, 1.5))


def _log_store(topic, state, **more):
    name = f"store, topic {topic}"
    events.write("dependency", events.Dependency(name, state, **more))
