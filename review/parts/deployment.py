"""Machines of a small deployment: daemons as processes, endpoints as stand-ins."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import NamedTuple

from . import store, wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
# Times in the settings that the rules refer to.
DRAIN_SECONDS = 2.0
GRACE_SECONDS = 6.0
CONTACT_SECONDS = 3.0
RECOVERY_SECONDS = 15.0
SETTINGS = """\
self_node.node={name}
self_node.role=daemon
self_node.machine_class=sidecar
self_node.serves=sidecar
self_node.ip={ip}
self_node.zone={zone}
self_node.region=region-1
self_node.bootstrap=true
self_node.limits.memory_mb=300
self_node.limits.max_fds=4100
self_node.app_addr={endpoint}
self_node.service={service}
network.listen.inbound={inbound}
network.listen.outbound={outbound}
network.listen.ready={ready}
network.listen.control={control}
network.internal_ports={internal},{internal}
network.seeds=
network.zones.zone-a=region-1
network.zones.zone-b=region-1
platform.discovery=static
platform.entry=static
platform.heartbeat=1500ms
platform.platform.address={store}
platform.platform.form=log
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.parts=16
platform.platform.append=3ms
platform.platform.keep=300s
platform.platform.min_ttl=1000ms
terms.contracts=base,drain,config,cost,retry,recover,pressure,platform
terms.bounds.addr_reuse=2s
terms.bounds.contact=3000ms
terms.bounds.ack=4000ms
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.loss_slack=200ms
terms.bounds.config_apply=2000ms
terms.bounds.rollback_slack=250ms
terms.bounds.max_skew=5000ms
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window=10s
terms.bounds.budget_slack=49
terms.bounds.recovery=15s
"""


class Record:
    """Writes what was sent, answered and run to a file, a line each."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start = time.monotonic()

    @property
    def seconds(self):
        """Seconds since the start of the record."""
        return time.monotonic() - self._start

    def write(self, event, **fields):
        """Write one line: the time, the kind of event, and its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.seconds:9.3f} {event} {text}\n")
        self._file.flush()


class Ports(NamedTuple):
    """Free ports of one machine."""

    inbound: int
    outbound: int
    ready: int
    control: int
    internal: int


def find_ports(ip):
    """Return `Ports` that are free at an address."""
    sockets = [socket.socket() for _ in Ports._fields]
    for each in sockets:
        each.bind((ip, 0))
    ports = Ports(*(each.getsockname()[1] for each in sockets))
    for each in sockets:
        each.close()
    return ports


class Daemon:
    """The daemon of one machine, a process started as the deploy file says."""

    def __init__(self, deployment, name, ip, zone, endpoint):
        ports = find_ports(ip)
        self._record = deployment.record
        self._process = None
        self.name = name
        self.zone = zone
        self.outbound = (ip, ports.outbound)
        self.ready = (ip, ports.ready)
        self.control = (ip, ports.control)
        # The last start, kill or signal, from which the time in touch counts.
        self.disturbed = 0.0
        folder = pathlib.Path(deployment.folder)
        self._settings = folder / f"{name}.conf"
        self._output = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                endpoint=endpoint.address,
                service=endpoint.service,
                inbound=f"{ip}:{ports.inbound}",
                outbound=f"{ip}:{ports.outbound}",
                ready=f"{ip}:{ports.ready}",
                control=f"{ip}:{ports.control}",
                internal=ports.internal,
                store=deployment.store_address,
            )
        )

    async def start(self):
        """Start the process and wait until it listens."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["WHINWINCH_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._output, "ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "whinwinch.platform",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._note("started")

    def kill(self):
        """Kill the process."""
        self._process.kill()
        self._note("killed")

    def terminate(self):
        """Send SIGTERM."""
        self._process.terminate()
        self._note("SIGTERM")

    async def wait(self):
        """Wait until the process has ended and return its exit code."""
        code = await self._process.wait()
        self._note(f"ended with {code}")
        return code

    async def stop(self):
        """End the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()

    async def is_ready(self):
        """Return whether the readiness page answers 200."""
        try:
            answer = await ask(
                self.ready, wire.build_request("GET", "/whinwinch/ready")
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    def _note(self, what):
        self.disturbed = self._record.seconds
        self._record.write("daemon", name=self.name, what=what.replace(" ", "-"))


class Endpoint:
    """An application endpoint that serves one request at a time per connection.

    Args:
        deployment: `Deployment` to which it belongs.
        identity: Its id.
        service: Name of its service.
        slots: Requests that it runs concurrently.
        work: Seconds that it works on a request.
    """

    def __init__(self, deployment, identity, service, slots=20, work=0.1):
        self._deployment = deployment
        self._server = None
        self._heartbeats = None
        self._sequence = 0
        self.identity = identity
        self.service = service
        self.slots = slots
        self.work = work
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.address = ""
        self.daemon = None
        self.running = 0
        self.connections = set()

    async def start(self, ip, port=0):
        """Listen on a port, a free one by default."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def begin_heartbeats(self):
        """Send heartbeats until `end_heartbeats`."""
        self._heartbeats = asyncio.create_task(self._keep_announcing())

    def end_heartbeats(self):
        """Send no more heartbeats."""
        self._heartbeats.cancel()

    def begin_again(self, born):
        """Forget everything, as a process that starts again under the same id."""
        self.state, self.born, self._sequence = "ready", born, 0

    async def exit(self):
        """End the process: close the listener and all connections."""
        self.end_heartbeats()
        self._server.close()
        for writer in tuple(self.connections):
            writer.transport.abort()
        self._deployment.record.write("endpoint", id=self.identity, what="exited")

    def build_heartbeat(self):
        """Return the bytes of the next heartbeat."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.daemon.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self._sequence,
            "born": self.born,
        }
        return self._build_report("PUT", body)

    async def announce(self, data=None):
        """Send a heartbeat, the next one by default; return its status, 0 for none."""
        data = data or self.build_heartbeat()
        return await self._report(data, "heartbeat")

    async def leave(self):
        """Send DELETE; return its status, 0 for none."""
        data = self._build_report("DELETE", {"born": self.born})
        return await self._report(data, "DELETE")

    def run(self, request):
        """Record that work on a request begins."""
        self._deployment.record.write(
            "run", request=request.find("x-request-id"), endpoint=self.identity
        )
        self._deployment.runs.append(
            Run(
                request.find("x-request-id"),
                self.identity,
                self._deployment.record.seconds,
            )
        )

    def build_answer(self, request):
        """Return the bytes of a successful answer."""
        identifier = request.find("x-request-id")
        headers = (
            ("X-Request-Id", identifier),
            ("X-Response-Seal", f"seal.{identifier}"),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
        )
        return wire.build_response(200, "OK", headers, identifier.encode() * 20)

    def refuse(self, request, status, phrase):
        """Return the bytes of an answer that says that the request has not run."""
        headers = (
            ("X-Request-Id", request.find("x-request-id")),
            ("X-Not-Executed", "1"),
            ("X-Instance-Id", self.identity),
        )
        return wire.build_response(status, phrase, headers)

    async def answer(self, request, writer):
        """Run a request and return the bytes of its answer."""
        self.run(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        return self.build_answer(request)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                writer.write(await self._handle(request, reader, writer))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _handle(self, request, reader, writer):
        if request.start.split()[1].startswith("/healthz"):
            headers = (("X-Instance-Id", self.identity),)
            return wire.build_response(200, "OK", headers)
        expected = request.find("x-expected-instance")
        if expected and expected != self.identity:
            return self.refuse(request, 421, "Misdirected Request")
        if self.running >= self.slots:
            return self.refuse(request, 503, "Service Unavailable")
        return await self.answer(request, writer)

    def _build_report(self, method, body):
        target = f"/whinwinch/instances/{self.identity}"
        host = "{}:{}".format(*self.daemon.control)
        headers = (("Host", host), ("Content-Type", "application/json"))
        return wire.build_request(method, target, headers, json.dumps(body).encode())

    async def _report(self, data, what):
        try:
            status = (await ask(self.daemon.control, data, ACK_SECONDS)).status
        except (OSError, EOFError, TimeoutError):
            status = 0
        self._deployment.record.write(
            what, id=self.identity, state=self.state, status=status
        )
        return status

    async def _keep_announcing(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)


class Run(NamedTuple):
    """A request on which an endpoint began to work."""

    request: str
    endpoint: str
    seconds: float


class Machine(NamedTuple):
    """One machine with its daemon and its endpoint."""

    daemon: Daemon
    endpoint: Endpoint


class Deployment:
    """The store, the machines and the record of one script.

    Args:
        folder: Folder for settings and logs of daemons.
        record: `Record`.
    """

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = store.Store()
        self.store_address = ""
        self.machines = []
        self.runs = []

    async def add(self, endpoint, zone="zone-a"):
        """Start the endpoint and the daemon of one more machine; return it."""
        number = len(self.machines) + 1
        ip = f"127.0.1.{number}"
        await endpoint.start(ip)
        daemon = Daemon(self, f"sidecar-{number}", ip, zone, endpoint)
        endpoint.daemon = daemon
        await daemon.start()
        machine = Machine(daemon, endpoint)
        self.machines.append(machine)
        endpoint.begin_heartbeats()
        return machine

    async def wait_ready(self, seconds=20.0):
        """Wait until all daemons are ready.

        Raises:
            TimeoutError: If that takes too long.
        """
        async with asyncio.timeout(seconds):
            for machine in self.machines:
                while not await machine.daemon.is_ready():
                    await asyncio.sleep(0.1)

    async def stop(self):
        """End all processes."""
        for machine in self.machines:
            await machine.daemon.stop()


async def ask(address, data, seconds=1.0):
    """Send a request over a new connection and return the response.

    Raises:
        OSError: If the connection fails.
        EOFError: If it ends before the response is complete.
        TimeoutError: If the response doesn't come in time.
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await wire.read_message(reader)
        finally:
            writer.close()


def run_case(play, folder):
    """Play one case and exit: 1 if the rule was broken, 0 if it held, 2 if not run.

    Args:
        play: Coroutine function from a `Deployment`, and whether the disruption
            happens, to whether the rule held.
        folder: Folder of the case, in which the record is written.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(_play(play, record, has_trouble), 115.0))
    except (Exception, asyncio.CancelledError) as error:
        record.write("not-played", error=repr(error))
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)


async def _play(play, record, has_trouble):
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    # The daemons have to be ended also if this script is told to stop.
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, record)
        deployment.store_address = await deployment.store.start("127.0.1.100")
        try:
            return await play(deployment, has_trouble)
        finally:
            await deployment.stop()
