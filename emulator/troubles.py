"""Troubles that befall a running mesh; each ends by itself."""

import asyncio

from . import backend, store

FAULT_SECONDS = 1.0
DOWN_SECONDS = 0.3
# What backend servers do wrong, one at a time.
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


class Scene:
    """A running mesh, and what its troubles leave for the checks.

    Args:
        running: `mesh.Mesh`.
        configuration: Table in force at the start.
        draw: Source of the choices.
    """

    def __init__(self, running, configuration, draw):
        self.mesh = running
        self.draw = draw
        self.configuration = configuration
        self.version = 1
        self.left = []
        self._busy = set()

    def take_member(self):
        """Return a member that nothing else befalls, or None; give it back."""
        free = [m for m in self.mesh.members if m.backend.identity not in self._busy]
        if not free:
            return None
        member = self.draw.choice(free)
        self._busy.add(member.backend.identity)
        return member

    def give_back(self, member):
        """Let other troubles have a member again."""
        self._busy.discard(member.backend.identity)


class Left:
    """A backend server that has said that it drains, and what it had run then.

    Args:
        server: `backend.Backend`.
    """

    def __init__(self, server):
        self.server = server
        self.runs = None


async def kill_daemon(scene):
    """A daemon is killed and starts again."""
    member = scene.take_member()
    if member is None:
        return
    await scene.mesh.kill(member)
    await asyncio.sleep(DOWN_SECONDS)
    scene.give_back(await scene.mesh.start_again(member))


async def kill_all_daemons(scene):
    """All daemons that nothing else befalls are killed at once."""
    members = []
    while (member := scene.take_member()) is not None:
        members.append(member)
    for member in members:
        await scene.mesh.kill(member)
    await asyncio.sleep(DOWN_SECONDS)
    for member in members:
        scene.give_back(await scene.mesh.start_again(member))


async def restart_daemon(scene):
    """A daemon is told to stop, finishes, and starts again."""
    member = scene.take_member()
    if member is None:
        return
    member.node.stop()
    await asyncio.gather(member.task, return_exceptions=True)
    scene.give_back(await scene.mesh.start_again(member))


async def drain_backend(scene):
    """A backend server of several says that it drains, and stays for a while."""
    member = scene.take_member()
    if member is None:
        return
    server = member.backend
    others = [
        other
        for other in scene.mesh.find(server.service)
        if other.backend is not server and other.backend.state == "ready"
    ]
    if not others:
        scene.give_back(member)
        return
    server.state = "draining"
    if await server.announce() != 200:
        return
    left = Left(server)
    scene.left.append(left)
    await asyncio.sleep(member.settings.drain)
    left.runs = len(server.runs)


async def replace_backend(scene):
    """Another backend server gets the address of one that is gone."""
    member = scene.take_member()
    if member is None:
        return
    server = member.backend
    scene.give_back(member)
    server.identity += "-next"
    server.born += 1


async def spoil_backends(scene):
    """Backend servers of one service do something wrong."""
    member = scene.draw.choice(scene.mesh.members)
    faults = scene.draw.choice(BACKEND_FAULTS)
    servers = [
        each.backend
        for each in scene.mesh.find(member.backend.service)
        if scene.draw.random() < 0.6
    ]
    for server in servers:
        server.faults = faults
    await asyncio.sleep(FAULT_SECONDS)
    for server in servers:
        server.faults = backend.Faults()


async def spoil_store(scene):
    """The store does something wrong."""
    scene.mesh.store.faults = scene.draw.choice(STORE_FAULTS)
    await asyncio.sleep(FAULT_SECONDS)
    scene.mesh.store.faults = store.Faults()


async def forget_history(scene):
    """The store forgets all but the newest record of each key."""
    for topic in scene.mesh.store.topics.values():
        topic.compact()


async def change_configuration(scene):
    """The operator writes another version."""
    scene.version += 1
    scene.configuration = {**scene.configuration, "version": f"r{scene.version}"}
    scene.mesh.configure(scene.configuration)


async def reset_links(scene):
    """All connections between daemons are reset."""
    for member in scene.mesh.members:
        for session in tuple(member.node.instance.exchange.sessions):
            session.transport.abort()


TROUBLES = {
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
