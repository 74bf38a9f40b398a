"""An emulated mesh in one process: a store, and daemons with their backend servers."""

import asyncio
import json
from typing import NamedTuple

from standins import processes
from whinwinch import repeats
from whinwinch.http1 import client
from whinwinch.http1.messages import HttpRequest, format_request
from whinwinch.platform.node import READINESS_PATH, Node
from whinwinch.platform.settings import InstanceSettings
from whinwinch.settings import Address
from whinwinch.workspaces import quotas

from . import backend, store

LOCAL = "127.0.0.1"
MAX_LISTEN_ATTEMPTS = 5
PROBE_TIMEOUT_SECONDS = 5.0
MAX_PROBE_BYTES = 1000
REPEAT_LIMITS = repeats.RepeatLimits(0.2, 20.0, 10.0)


class Service(NamedTuple):
    """One service of a mesh.

    Attributes:
        name: Name of the service.
        endpoints: Number of backend servers, assigned to the availability zones in
            turn.
        slots: Maximum number of concurrent requests of each backend server.
        work_by_prefix: `backend.Work` by path prefix.
    """

    name: str
    endpoints: int
    slots: int
    work_by_prefix: dict


class Member(NamedTuple):
    """One instance: a daemon and its backend server.

    Attributes:
        node: The daemon.
        task: Task that runs the daemon.
        backend: The backend server.
        callers: "IP:PORT" at which the daemon serves callers.
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
        configuration: Configuration as the operator writes it.
        zones: Availability zones.
        repeat_limits: `repeats.RepeatLimits` of all services.
        build_backend: Function that builds each `backend.Backend`.
    """

    def __init__(
        self,
        services,
        configuration,
        zones=("a", "b"),
        repeat_limits=REPEAT_LIMITS,
        build_backend=backend.Backend,
    ):
        self._services = services
        self._configuration = configuration
        self._zones = zones
        self._repeat_limits = repeat_limits
        self._build_backend = build_backend
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
        # Closed connections cancel their requests in the next iterations of the
        # event loop.
        await asyncio.sleep(0.02)

    def configure(self, configuration):
        """Write a configuration to the store as the operator does."""
        value = json.dumps(configuration).encode()
        self.store.put("keyed.op", "config", value)

    async def add(self, service, zone):
        """Start an instance and return its `Member`."""
        number = len(self.members)
        server = self._build_backend(
            f"i-{service.name}-{number}",
            service.name,
            service.slots,
            service.work_by_prefix,
            number,
        )
        port = await server.listen()
        for _ in range(MAX_LISTEN_ATTEMPTS):
            settings = self._build_settings(f"instance-{number}", service, zone, port)
            node = Node(settings)
            try:
                await node.listen()
                break
            except OSError:
                # Another process has bound one of the ports since the search.
                node.close()
        callers = str(settings.callers)
        server.attach(callers, str(settings.announcements))
        task = self._start(node.serve())
        self._start(server.keep_announcing())
        member = Member(node, task, server, callers, settings)
        self.members.append(member)
        return member

    def _build_settings(self, instance, service, zone, port):
        """Return the settings of a daemon, on ports that are free at the moment."""
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
            repeats=self._repeat_limits,
            quotas=quotas.QuotaTerms(5.0, 0.1, 20.0),
            drain=2.0,
            stop_grace=6.0,
        )

    async def kill(self, member):
        """Kill a daemon without a drain; its backend server keeps running."""
        member.task.cancel()
        await asyncio.gather(member.task, return_exceptions=True)
        member.node.close()

    async def restart(self, member):
        """Start a stopped daemon again, at the same addresses; return its `Member`."""
        node = Node(member.settings)
        await node.listen()
        task = self._start(node.serve())
        again = member._replace(node=node, task=task)
        self.members[self.members.index(member)] = again
        return again

    async def probe_readiness(self, member):
        """Return the status of a daemon's readiness probe, 503 without an answer."""
        pool = client.Pool(*member.settings.readiness, MAX_PROBE_BYTES)
        data = format_request(HttpRequest("GET", READINESS_PATH), LOCAL)
        until = asyncio.get_running_loop().time() + PROBE_TIMEOUT_SECONDS
        try:
            return (await pool.exchange(data, until)).status
        except (client.NotSentError, client.BrokenError, TimeoutError):
            return 503
        finally:
            pool.close()

    def find(self, service):
        """Return the members of a service."""
        return [m for m in self.members if m.backend.service == service]

    def is_complete(self):
        """Return whether each daemon has configuration, backend and all endpoints."""
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
            TimeoutError: If it doesn't hold within `seconds`.
        """
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def _start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task
