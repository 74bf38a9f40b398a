"""Task that writes snapshots of the configuration into its own stream.

The log keeps records for a limited time. Once it has dropped the change that
made a resource, a daemon that starts would not know the resource, although it
is in force everywhere else. So the daemons that read the log see to it that a
snapshot is there before what it covers is dropped. Several may write one: a
snapshot states the offset that it covers, and readers never go back.
"""

import asyncio
import random as random_module

from absl import logging

from .client import LogUnavailable

# Seconds between two looks; far less than the retention that it has to beat.
REVIEW_SECONDS = 60.0
# Readers that find a snapshot due at the same moment spread over this time,
# and the later ones see the first one's and leave it.
SPREAD_SECONDS = 30.0


async def run_snapshots(plan, encode, append, is_reader, random=random_module):
    """Write a snapshot whenever one is due and it is this daemon's turn.

    Runs until cancelled.

    Args:
        plan: Returns the `configuration.SnapshotPlan` of the moment.
        encode: Returns the bytes of a snapshot of everything in force.
        append: Awaitable function of the bytes; may raise `LogUnavailable`.
        is_reader: Returns whether this daemon reads the log at the moment.
        random: Source of jitter.
    """
    while True:
        await asyncio.sleep(REVIEW_SECONDS * random.uniform(0.5, 1.5))
        if not is_reader() or not plan().due:
            continue
        await asyncio.sleep(SPREAD_SECONDS * random.random())
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
