"""Disruptions of a running mesh; each ends by itself."""

import asyncio

from . import backend, store

FAULT_SECONDS = 1.0
DOWN_SECONDS = 0.3
# Faults of backend servers, injected one at a time.
BACKEND_FAULTS = (
    backend.Faults(shed=0.5),
    backend.Faults(fail=0.3),
    backend.Faults(lose=0.5),
    backend.Faults(slower=5.0),
)
STORE_FAULTS = (
    store.Faults(refuse=503),
    store.Faults(silent=True),
    store.Faults(delay=0.3),
    store.Faults(lose=True, late=0.2),
)


class DisruptionContext:
    """A running mesh, with the state that its disruptions share.

    Args:
        running: The `mesh.Mesh`.
        configuration: Configuration in force at the start.
        draw: `random.Random` for the choices.
    """

    def __init__(self, running, configuration, draw):
        self.mesh = running
        self.draw = draw
        self.configuration = configuration
        self.version = 1
        # `DrainingBackend` of each backend server that was drained.
        self.left = []
        self._busy = set()

    def reserve_member(self):
        """Return a member that no other disruption has reserved, or None.

        The caller releases it with `release_member`.
        """
        free = [m for m in self.mesh.members if m.backend.identity not in self._busy]
        if not free:
            return None
        member = self.draw.choice(free)
        self._busy.add(member.backend.identity)
        return member

    def release_member(self, member):
        """Make a member available to other disruptions again."""
        self._busy.discard(member.backend.identity)


class DrainingBackend:
    """A draining backend server.

    Attributes:
        server: The `backend.Backend`.
        runs: Number of its runs at the end of the drain timeout, None until then.
    """

    def __init__(self, server):
        self.server = server
        self.runs = None


async def kill_daemon(context):
    """Kill a daemon and restart it."""
    member = context.reserve_member()
    if member is None:
        return
    await context.mesh.kill(member)
    await asyncio.sleep(DOWN_SECONDS)
    context.release_member(await context.mesh.restart(member))


async def kill_all_daemons(context):
    """Kill all daemons that no other disruption has reserved, and restart them."""
    members = []
    while (member := context.reserve_member()) is not None:
        members.append(member)
    for member in members:
        await context.mesh.kill(member)
    await asyncio.sleep(DOWN_SECONDS)
    for member in members:
        context.release_member(await context.mesh.restart(member))


async def restart_daemon(context):
    """Stop a daemon gracefully and restart it."""
    member = context.reserve_member()
    if member is None:
        return
    member.node.stop()
    await asyncio.gather(member.task, return_exceptions=True)
    context.release_member(await context.mesh.restart(member))


async def drain_backend(context):
    """Drain a backend server, if its service has another one that is ready."""
    member = context.reserve_member()
    if member is None:
        return
    server = member.backend
    others = [
        other
        for other in context.mesh.find(server.service)
        if other.backend is not server and other.backend.state == "ready"
    ]
    if not others:
        context.release_member(member)
        return
    server.state = "draining"
    if await server.announce() != 200:
        return
    left = DrainingBackend(server)
    context.left.append(left)
    await asyncio.sleep(member.settings.drain)
    left.runs = len(server.runs)


async def replace_backend(context):
    """Replace a backend server by another one at the same address."""
    member = context.reserve_member()
    if member is None:
        return
    server = member.backend
    context.release_member(member)
    server.identity += "-next"
    server.born = backend.read_wall_clock()


async def spoil_backends(context):
    """Inject a fault into some backend servers of one service."""
    member = context.draw.choice(context.mesh.members)
    faults = context.draw.choice(BACKEND_FAULTS)
    servers = [
        each.backend
        for each in context.mesh.find(member.backend.service)
        if context.draw.random() < 0.6
    ]
    for server in servers:
        server.faults = faults
    await asyncio.sleep(FAULT_SECONDS)
    for server in servers:
        server.faults = backend.Faults()


async def spoil_store(context):
    """Inject a fault into the store."""
    context.mesh.store.faults = context.draw.choice(STORE_FAULTS)
    await asyncio.sleep(FAULT_SECONDS)
    context.mesh.store.faults = store.Faults()


async def forget_history(context):
    """Drop all records of the store but the newest of each key."""
    for topic in context.mesh.store.topics.values():
        topic.compact()


async def change_configuration(context):
    """Write a new version of the configuration."""
    context.version += 1
    context.configuration = {**context.configuration, "version": f"r{context.version}"}
    context.mesh.configure(context.configuration)


async def reset_links(context):
    """Reset all connections between daemons."""
    for member in context.mesh.members:
        for session in tuple(member.node.instance.exchange.sessions):
            session.transport.abort()


DISRUPTIONS = {
    work.__name__: work
    for work in (
        kill_daemon,
        kill_all_daemons,
        restart_daemon,
        drain_backend,
        replace_backend,
        spoil_backends,
        spoil_store,
        forget_history,
        change_configuration,
        reset_links,
    )
}
