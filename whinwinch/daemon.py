"""Start, run and stop of a daemon."""

import asyncio
import concurrent.futures
import signal

from absl import flags, logging

from . import __version__, assembly, entrances, loops, tasks
from .daemons import gossip
from .operators import access

# Maximum number of threads for blocking reads of and appends to the log.
MAX_CONTROL_THREADS = 12
# Seconds to send the last answers after the stop, and between two checks of it.
CLOSE_TIMEOUT = 0.5
CLOSE_POLL_INTERVAL = 0.02


def run(settings):
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    # absl flags aren't used; without the mark, absl's first log line is a warning.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, settings.verbosity.upper()))
    loops.install_loop()
    return asyncio.run(serve(settings))


async def serve(settings):
    """Run a daemon on the running event loop; return the exit code."""
    loop = asyncio.get_running_loop()
    loop.set_default_executor(
        concurrent.futures.ThreadPoolExecutor(MAX_CONTROL_THREADS, "control")
    )
    operators = access.parse_operators(settings.operator_tokens)
    access.check_peer_setting(settings.peer_token)
    parts = assembly.build_parts(settings, loop)
    gatekeeper = assembly.build_gatekeeper(parts)
    gossip_state = gossip.build_gossip(
        parts.members, parts.relay, tasks.build_send(parts)
    )
    servers = entrances.build_http_servers(parts, gatekeeper)
    parts.control.connect(
        gatekeeper.install, gossip_state.wake.set, servers.public.begin_stop
    )
    exchange = entrances.build_exchange(parts, gatekeeper, gossip_state)
    await exchange.listen(*settings.peer_address)
    await servers.public.listen(*settings.address)
    await servers.private.listen(*settings.backend_address)
    stop_admin = entrances.start_admin(parts, gatekeeper, operators)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, parts.control.begin_leaving)
    logging.info(
        "daemon=%s version=%s zone=%s address=%s peer=%s serving",
        parts.local_daemon,
        __version__,
        settings.zone,
        settings.address,
        settings.peer_address,
    )
    try:
        await tasks.run_tasks(parts, gossip_state, exchange)
    finally:
        await stop_servers(parts, servers, exchange, stop_admin)
    return 0


async def stop_servers(parts, servers, exchange, stop_admin):
    """Close the servers, then the connections to peers and to the log.

    No requests are in flight any more.
    """
    parts.store.close()
    await asyncio.to_thread(stop_admin)
    for server in servers:
        server.begin_stop()
        server.end_stop()
    until = parts.loop.time() + CLOSE_TIMEOUT
    while parts.loop.time() < until and not all(each.is_idle for each in servers):
        await asyncio.sleep(CLOSE_POLL_INTERVAL)
    for server in servers:
        server.abort()
    exchange.close()
    parts.peers.close()
    parts.log.close()
