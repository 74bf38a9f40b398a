"""Background tasks of a daemon on its event loop."""

import asyncio
import contextlib
import time

from google.protobuf.message import DecodeError

from .daemons import gossip, peer_pb2
from .lifecycle import Phase
from .logservice import follower, joining, readers, snapshots, streams
from .logservice.client import LogUnavailable

# Maximum seconds that a stopping daemon waits for the log.
LEAVE_TIMEOUT = 1.0


def build_send(parts):
    """Return the coroutine function that sends a gossip message to a peer."""

    async def send(address, message):
        try:
            data = await parts.peers.find(address).send_gossip(
                message.SerializeToString()
            )
            return peer_pb2.GossipAnswer.FromString(data)
        except (ConnectionError, DecodeError) as error:
            raise gossip.SendError(str(error)) from error

    return send


async def run_tasks(parts, gossip_state, exchange):
    """Run the background tasks until the daemon has stopped or one of them ends."""
    tasks = [
        asyncio.create_task(task)
        for task in (
            gossip.run_gossip(gossip_state),
            follow_configuration(parts, gossip_state),
            write_snapshots(parts),
            parts.peers.check_periodically(),
            exchange.clean_up_periodically(),
            joining.run_joining(*build_stream(parts, streams.MEMBERS), parts.members),
        )
    ]
    control = asyncio.create_task(parts.control.run())
    done, _ = await asyncio.wait([*tasks, control], return_when=asyncio.FIRST_COMPLETED)
    if parts.control.phase is Phase.STOPPED:
        await announce_leave(parts, gossip_state)
    for task in (*tasks, control):
        task.cancel()
    for task in done:
        task.result()


async def announce_leave(parts, gossip_state):
    """Announce to peers and in the log that this daemon leaves, for a bounded time.

    Without the announcement, peers would detect it by their probes some seconds later.
    """
    parts.members.leave(parts.loop.time())
    gossip_state.wake.set()
    _, append = build_stream(parts, streams.MEMBERS)
    with contextlib.suppress(TimeoutError, LogUnavailable):
        async with asyncio.timeout(LEAVE_TIMEOUT):
            await joining.append_leave(append, parts.members, parts.loop.time())
    await asyncio.sleep(gossip.PUSH_INTERVAL)


def build_stream(parts, stream):
    """Return coroutine functions that read from and append to a stream of the log."""

    async def read(offset, limit, wait):
        return await asyncio.to_thread(parts.log.read, stream, offset, limit, wait)

    async def append(data):
        return await asyncio.to_thread(parts.log.append, stream, data)

    return read, append


async def follow_configuration(parts, gossip_state):
    """Read the configuration from the log while this daemon is a reader."""
    read, _ = build_stream(parts, streams.CONFIGURATION)
    await follower.run_follower(
        read, parts.relay, lambda now: is_reader(parts, now), gossip_state.wake
    )


async def write_snapshots(parts):
    """Write snapshots of the configuration while this daemon is a reader."""
    _, append = build_stream(parts, streams.CONFIGURATION)
    await snapshots.run_snapshots(
        lambda: parts.store.plan_snapshot(parts.settings.log_retention, time.time()),
        parts.store.encode_snapshot,
        append,
        lambda: is_reader(parts, parts.loop.time()),
    )


def is_reader(parts, now):
    """Return whether this daemon reads the configuration from the log.

    A leaving daemon doesn't, since a pending long poll would delay its stop.
    """
    if parts.control.phase is not Phase.SERVING:
        return False
    return readers.is_reader(
        parts.members.members(),
        parts.members.local_member,
        streams.CONFIGURATION,
        parts.relay.find_age(now),
    )
