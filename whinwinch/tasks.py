"""The control tasks of a daemon, on its event loop."""

import asyncio
import contextlib
import time

from google.protobuf.message import DecodeError

from .daemons import gossip, peer_pb2
from .lifecycle import Phase
from .logservice import follower, joining, readers, snapshots, streams
from .logservice.client import LogUnavailable

# A daemon that stops doesn't wait longer than this for the log.
GOODBYE_SECONDS = 1.0


def build_send(parts):
    """Return the awaitable that sends gossip from the loop."""

    async def send(address, message):
        try:
            data = await parts.peers.find(address).ask(message.SerializeToString())
            return peer_pb2.GossipAnswer.FromString(data)
        except (ConnectionError, DecodeError) as error:
            raise gossip.SendError(str(error)) from error

    return send


async def run_tasks(parts, talk, exchange):
    """Run the control tasks until the daemon has stopped."""
    tasks = [
        asyncio.create_task(task)
        for task in (
            gossip.run_gossip(talk),
            follow_configuration(parts, talk),
            write_snapshots(parts),
            parts.peers.keep(),
            exchange.keep(),
            joining.run_joining(*build_stream(parts, streams.MEMBERS), parts.members),
        )
    ]
    ending = asyncio.create_task(parts.control.run())
    done, _ = await asyncio.wait([*tasks, ending], return_when=asyncio.FIRST_COMPLETED)
    if parts.control.phase is Phase.STOPPED:
        await say_goodbye(parts, talk)
    for task in (*tasks, ending):
        task.cancel()
    for task in done:
        task.result()


async def say_goodbye(parts, talk):
    """Tell peers and the log that this daemon has gone, for a bounded time.

    Peers would find out by their probes, some seconds later.
    """
    parts.members.leave(parts.loop.time())
    talk.wake.set()
    _, append = build_stream(parts, streams.MEMBERS)
    with contextlib.suppress(TimeoutError, LogUnavailable):
        async with asyncio.timeout(GOODBYE_SECONDS):
            await joining.append_leave(append, parts.members, parts.loop.time())
    await asyncio.sleep(gossip.PUSH_INTERVAL)


def build_stream(parts, stream):
    """Return awaitable functions that read and append to a stream of the log."""

    async def read(offset, limit, wait):
        return await asyncio.to_thread(parts.log.read, stream, offset, limit, wait)

    async def append(data):
        return await asyncio.to_thread(parts.log.append, stream, data)

    return read, append


async def follow_configuration(parts, talk):
    """Read the configuration from the log while it is this daemon's turn."""
    read, _ = build_stream(parts, streams.CONFIGURATION)
    await follower.run_follower(
        read, parts.relay, lambda now: is_reader(parts, now), talk.wake
    )


async def write_snapshots(parts):
    """Write snapshots of the configuration while this daemon reads the log."""
    _, append = build_stream(parts, streams.CONFIGURATION)
    await snapshots.run_snapshots(
        lambda: parts.store.plan_snapshot(parts.settings.log_retention, time.time()),
        parts.store.encode_snapshot,
        append,
        lambda: is_reader(parts, parts.loop.time()),
    )


def is_reader(parts, now):
    """Return whether this daemon reads the configuration from the log.

    One that leaves doesn't: a long poll under way would hold up its end.
    """
    if parts.control.phase is not Phase.SERVING:
        return False
    return readers.is_reader(
        parts.members.members(),
        parts.members.local_member,
        streams.CONFIGURATION,
        parts.relay.find_age(now),
    )
