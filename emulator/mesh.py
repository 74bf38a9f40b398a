"""A whole mesh on the platform: a store, and daemons with their backend servers."""

import asyncio
import json
from typing import NamedTuple

from standins import processes
from whinwinch import repeats
from whinwinch.platform.node import Node
from whinwinch.platform.settings import InstanceSettings
from whinwinch.settings import Address

from . import backend, store

LOCAL = "127.0.0.1"
LISTEN_TRIES = 5


class Service(NamedTuple):
    """One service of a mesh.

    Attributes:
        name: Its name.
        endpoints: Backend servers of it, one in each availability zone in turn.
        slots: Requests that each works on at once.
        works: `backend.Work` by path prefix.
    """

    name: str
    endpoints: int
    slots: int
    works: dict


class Member(NamedTuple):
    """One instance.

    Attributes:
        node: Its daemon.
        task: What runs the daemon.
        backend: Its backend server.
        callers: Where callers ask, an "IP:PORT".
        settings: Settings of the daemon.
    """

    node: Node
    task: asyncio.Task
    backend: backend.Backend
    callers: str
    settings: InstanceSettings


class Mesh:
    """Builds and runs a mesh in this process, each daemon on its own ports.

    Args:
        services: `Service` tuples.
        configuration: Table as the operator writes it.
        zones: Availability zones.
    """

    def __init__(self, services, configuration, zones=("a", "b")):
        self._services = services
        self._configuration = configuration
        self._zones = zones
        self._tasks = []
        self.store = store.Store()
        self.members = []

    async def __aenter__(self):
        self._store_port = await self.store.listen()
        self.configure(self._configuration)
        for service in self._services:
            for number in range(service.endpoints):
                await self.add(service, self._zones[number % len(self._zones)])
        await self.wait_until(self.is_complete)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for member in self.members:
            member.node.close()
            member.backend.close()
        self.store.server.abort()
        # Connections that were dropped cancel their requests in the next turns
        # of the loop.
        await asyncio.sleep(0.02)

    def configure(self, configuration):
        """Write a configuration as the operator does."""
        value = json.dumps(configuration).encode()
        self.store.put("keyed.op", "config", value)

    async def add(self, service, zone):
        """Start an instance and return its `Member`."""
        number = len(self.members)
        own = backend.Backend(
            f"i-{service.name}-{number}",
            service.name,
            service.slots,
            service.works,
            number,
        )
        port = await own.listen()
        for _ in range(LISTEN_TRIES):
            given = self._form_settings(f"instance-{number}", service, zone, port)
            node = Node(given)
            try:
                await node.listen()
                break
            except OSError:
                # Another process has taken a port between the search and now.
                node.close()
        callers = str(given.callers)
        own.attach(callers, str(given.announcements))
        task = self._start(node.serve())
        self._start(own.keep_announcing())
        member = Member(node, task, own, callers, given)
        self.members.append(member)
        return member

    def _form_settings(self, instance, service, zone, port):
        """Return settings of a daemon, on ports that are free just now."""
        ports = processes.find_ports(5)
        return InstanceSettings(
            instance=instance,
            zone=zone,
            region="r",
            service=service.name,
            backend=Address(LOCAL, port),
            callers=Address(LOCAL, ports[0]),
            daemons=Address(LOCAL, ports[1]),
            readiness=Address(LOCAL, ports[2]),
            announcements=Address(LOCAL, ports[3]),
            metrics=ports[4],
            store=Address(LOCAL, self._store_port),
            repeats=repeats.RepeatLimits(0.2, 20.0, 10.0),
            drain=2.0,
            stop_grace=6.0,
        )

    async def kill(self, member):
        """End a daemon at once; its backend server lives on."""
        member.task.cancel()
        await asyncio.gather(member.task, return_exceptions=True)
        member.node.close()

    async def start_again(self, member):
        """Start a daemon that was killed, at its old addresses."""
        node = Node(member.settings)
        await node.listen()
        task = self._start(node.serve())
        again = member._replace(node=node, task=task)
        self.members[self.members.index(member)] = again
        return again

    def find(self, service):
        """Return the members of a service."""
        return [m for m in self.members if m.backend.service == service]

    def is_complete(self):
        """Whether every daemon knows all that it needs to serve."""
        return all(
            member.node.instance.table.version
            and member.node.instance.guard.backend is not None
            and all(
                len(member.node.instance.directory.find_endpoints(service.name))
                == len(self.find(service.name))
                for service in self._services
            )
            for member in self.members
        )

    async def wait_until(self, condition, seconds=10.0):
        """Wait until a condition holds.

        Raises:
            TimeoutError: When it doesn't in time.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def _start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task
