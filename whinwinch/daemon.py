"""Runs a daemon until it is told to stop."""

import asyncio
import concurrent.futures
import signal

from absl import flags, logging

from . import __version__, assembly, entrances, tasks
from .callers import server as http_server
from .daemons import gossip
from .operators import access

# Threads for what blocks in control: gossip sent, the log read and appended to.
CONTROL_THREADS = 12


def run(settings):
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    # There are no absl flags here; unmarked, absl warns of that in its first line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, settings.verbosity.upper()))
    return asyncio.run(serve(settings))


async def serve(settings):
    """Run a daemon on the running event loop until it has stopped."""
    loop = asyncio.get_running_loop()
    loop.set_default_executor(
        concurrent.futures.ThreadPoolExecutor(CONTROL_THREADS, "control")
    )
    operators = access.parse_operators(settings.operator_tokens)
    access.check_peer_setting(settings.peer_token)
    parts = assembly.build_parts(settings, loop)
    gatekeeper = assembly.build_gatekeeper(parts)
    talk = gossip.build_gossip(parts.members, parts.relay, tasks.build_send(parts))
    parts.control.connect(gatekeeper.install, talk.wake.set)
    peers = entrances.start_peer_server(parts, gatekeeper, talk)
    http_server.start_engine(entrances.build_http_servers(parts, gatekeeper, operators))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, parts.control.begin_leaving)
    logging.info(
        "daemon=%s version=%s zone=%s address=%s peer=%s serving",
        parts.own,
        __version__,
        settings.zone,
        settings.address,
        settings.peer_address,
    )
    try:
        await tasks.run_tasks(parts, gatekeeper, talk)
    finally:
        await loop.run_in_executor(None, stop_servers, parts, peers)
    return 0


def stop_servers(parts, peers):
    """Close what listens, then what connects; nothing is in flight any more."""
    parts.store.close()
    http_server.stop_engine()
    peers.stop(grace=0.5).wait()
    parts.peers.close()
    parts.log.close()
