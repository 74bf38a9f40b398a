"""Task that writes snapshots of the configuration to the configuration stream.

The log keeps records for a limited time. Once it has dropped the change that
created a resource, a daemon that starts would not know the resource, although it is
in effect everywhere else. The daemons that read the log therefore write a snapshot
before the records that it covers are dropped. Several daemons may write one: a
snapshot states the offset that it covers, and readers never go back.
"""

import asyncio
import random as random_module

from absl import logging

from .client import LogUnavailable

# Average seconds between two checks; far less than the log's retention, within which
# a snapshot has to be written.
CHECK_INTERVAL = 60.0
# Seconds over which readers that find a snapshot due at the same time spread their
# writes, so that the later ones see the first snapshot and write none.
WRITE_SPREAD = 30.0


async def run_snapshots(plan, encode, append, is_reader, random=random_module):
    """Write a snapshot whenever one is due and this daemon is a reader.

    Runs until cancelled.

    Args:
        plan: Function that returns the current `configuration.SnapshotPlan`.
        encode: Function that returns the bytes of a snapshot of everything in effect.
        append: Awaitable function from the bytes to the offset of the record; may
            raise `LogUnavailable`.
        is_reader: Function that returns whether this daemon currently reads the log.
        random: Source of jitter.
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL * random.uniform(0.5, 1.5))
        if not is_reader() or not plan().due:
            continue
        await asyncio.sleep(WRITE_SPREAD * random.random())
        planned = plan()
        if planned.due:
            await _write(encode(), append, planned.ground)


async def _write(data, append, ground):
    try:
        offset = await append(data)
    except LogUnavailable as error:
        logging.warning("snapshot not written: %s", error)
        return
    logging.info(
        "snapshot written offset=%d bytes=%d ground=%r", offset, len(data), ground
    )
