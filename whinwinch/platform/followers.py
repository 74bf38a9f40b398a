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
# A connection may fall silent for good. A read is given up 0.8 s after this, so three
# seconds after it began, the time that is granted after an outage. At 1.5 s a daemon
# made half as many calls again.
WAIT_SECONDS = 2.2


async def follow_topic(store, topic, take, take_all=None, wait=WAIT_SECONDS):
    """Follow a keyed topic for ever.

    Args:
        store: `store.Store`.
        topic: Its name.
        take: Function from the `store.Record` tuples of a page.
        take_all: As `take`, for the newest record of each key; `take` when not
            given.
        wait: Seconds that a read waits for a new record.
    """
    offset, pause, lost = None, FIRST_PAUSE, None
    clock = asyncio.get_running_loop().time
    while True:
        try:
            if offset is None:
                page = await store.read_newest(topic)
                (take_all or take)(page.records)
            else:
                page = await store.read_on(topic, offset, wait)
                take(page.records)
            if page.skipped:
                logging.warning("%d records of %s can't be read", page.skipped, topic)
            offset, pause = page.end, FIRST_PAUSE
            if lost is not None:
                _log_store(topic, "regained", seconds=clock() - lost)
            lost = None
        except StoreError as error:
            if error.outcome is Outcome.GONE:
                # Only the newest record of each key is left.
                logging.info("history of %s is gone, reading the newest", topic)
                offset = None
                continue
            if lost is None:
                _log_store(topic, "lost", problem=str(error))
                lost = clock()
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(1.5 * pause, LONGEST_PAUSE)


def _log_store(topic, state, **more):
    name = f"store, topic {topic}"
    events.write("dependency", events.Dependency(name, state, **more))
