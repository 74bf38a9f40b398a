"""Stand-ins for the scripts of this review: store, endpoints, clients, platform.

Only the standard library is used. The daemons are started as the deploy file says, as
separate processes on loopback addresses; everything else runs in the script's process
and behaves as the pages describe.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

LOCAL = "127.0.0.1"
PORTS = (12000, 30000)
ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0
RESTART_SECONDS = 0.3


class Record:
    """The file record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w")

    def now(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self.start

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def find_ports(count):
    """Return free ports, below those that outgoing connections get."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        try:
            socket.create_server((LOCAL, port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    """Return the start line and a list of (lower-case name, value), or None at EOF."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    pairs = []
    for line in lines:
        name, _, value = line.partition(":")
        pairs.append((name.strip().lower(), value.strip()))
    return first, pairs


def get(pairs, name):
    """Return the first value of a header, "" if there is none."""
    return next((value for key, value in pairs if key == name), "")


async def read_body(reader, pairs):
    """Return the body of a request."""
    if get(pairs, "transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    size = int(get(pairs, "content-length") or 0)
    return await reader.readexactly(size) if size else b""


def build_answer(status, headers=(), body=b""):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


class HttpServer:
    """A small HTTP/1.1 server: one request at a time on a connection."""

    def __init__(self):
        self._server = None
        self.writers = set()

    async def listen(self, port=None):
        """Start to listen and return the port."""
        self._server = await asyncio.start_server(
            self._serve, LOCAL, port or find_ports(1)[0], limit=1 << 20
        )
        return self._server.sockets[0].getsockname()[1]

    def shut(self, reset=True):
        """Stop listening and end all connections, as when the process ends."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    def reset(self):
        """Reset all connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, pairs = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, pairs)
                work = asyncio.ensure_future(
                    self.answer(method, target, pairs, body, writer)
                )
                gone = asyncio.ensure_future(self._watch(reader, writer))
                await asyncio.wait((work, gone), return_when="FIRST_COMPLETED")
                gone.cancel()
                if not work.done():
                    # The connection closed: most endpoints drop the request.
                    work.cancel()
                    return
                data = work.result()
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _watch(self, reader, writer):
        """Return when the other side has closed the connection."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


class Topic:
    """The records of one topic with one partition."""

    def __init__(self):
        self.first, self.records, self.newest = 0, [], {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def append(self, data):
        """Append a record and wake the readers that wait for it."""
        key = data[1 : 1 + data[0]].decode()
        value = data[1 + data[0] :]
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(data)
        self.changed.set()
        self.changed = asyncio.Event()


class Store(HttpServer):
    """The platform's store; `is_down` makes it answer nothing."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.is_down = False

    def find(self, name):
        """Return a topic, created at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, document):
        """Append a record as the operator does."""
        data = json.dumps(document).encode()
        self.find(topic).append(bytes([len(key)]) + key.encode() + data)

    async def answer(self, method, target, pairs, body, writer):
        """Return the bytes of the answer to a request, None to close the connection."""
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        topic = self.find(query.get("topic", ""))
        if self.is_down:
            await asyncio.Event().wait()
        if parts.path.endswith("log-append"):
            return await self._append(topic, body)
        if parts.path.endswith("log-newest"):
            return self._list(topic)
        if parts.path.endswith("log-read"):
            return await self._read(topic, query)
        return build_answer(404)

    async def _append(self, topic, body):
        await asyncio.sleep(0.004)
        if self.is_down:
            await asyncio.Event().wait()
        offset, place = topic.end, 0
        while place < len(body):
            (length,) = struct.unpack_from(">I", body, place)
            data = body[place + 4 : place + 4 + length]
            topic.append(data)
            self.record.write(f"store appended {data[1 : 1 + data[0]].decode()}")
            place += 4 + length
        answer = {"offset": offset, "end_offset": topic.end}
        return self._json(answer)

    def _list(self, topic):
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(topic.newest.items())
        ]
        return self._json({"items": items, "has_more": False, "end_offset": topic.end})

    async def _read(self, topic, query):
        start = int(query["from"])
        if start < topic.first:
            return build_answer(410, (), b'{"first_offset":%d}' % topic.first)
        if start >= topic.end:
            try:
                async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if self.is_down:
            await asyncio.Event().wait()
        listed = topic.records[start - topic.first :]
        data = b"".join(struct.pack(">I", len(each)) + each for each in listed)
        return build_answer(200, (), struct.pack(">QQ", topic.end, topic.first) + data)

    def _json(self, document):
        pairs = (("Content-Type", "application/json"),)
        return build_answer(200, pairs, json.dumps(document).encode())


class StoreDoor(HttpServer):
    """Another address of a store, for a machine that the store may turn away."""

    def __init__(self, store):
        super().__init__()
        self._store, self.is_refusing = store, False

    async def answer(self, method, target, pairs, body, writer):
        """Return the bytes of the answer to a request, None to close the connection."""
        if self.is_refusing:
            return build_answer(503)
        return await self._store.answer(method, target, pairs, body, writer)


class Endpoint(HttpServer):
    """An application endpoint: it serves requests and sends heartbeats.

    Attributes:
        runs: Tuples of time, request id, method, target, body and id of the endpoint.
    """

    def __init__(self, record, identity, service, slots=16, work=0.05):
        super().__init__()
        self.record, self.identity, self.service = record, identity, service
        self.slots, self.work = slots, work
        self.state, self.sequence, self.is_down = "ready", 0, False
        self.clock_ahead_ms = 0
        self.born = self.read_clock()
        self.runs, self.control = [], None
        self.busy = self.waiting = 0
        self._free = asyncio.Semaphore(slots)

    def read_clock(self):
        """Return the time of day of the endpoint's machine in milliseconds."""
        return int(time.time() * 1000) + self.clock_ahead_ms

    async def start(self, port):
        """Start to serve at a port."""
        self.port = port
        await self.listen(port)

    def crash(self):
        """End the process; `restart` starts the next one under the same identifier."""
        self.is_down = True
        self.shut()

    async def restart(self, identity=None):
        """Start the next process, under the same identifier if none is given."""
        self.identity = identity or self.identity
        self.sequence, self.state = 0, "ready"
        self.busy = self.waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        self.born = self.read_clock()
        await self.listen(self.port)
        self.is_down = False

    async def answer(self, method, target, pairs, body, writer):
        """Return the bytes of the answer to a request, None to close the connection."""
        request = get(pairs, "x-request-id")
        expected = get(pairs, "x-expected-instance")
        echo = ("X-Request-Id", request)
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            return build_answer(status, (("X-Instance-Id", self.identity),))
        if expected and expected != self.identity:
            return build_answer(421, (echo, ("X-Instance-Id", self.identity)))
        if not request or self.waiting > 2 * self.slots:
            return build_answer(
                503 if request else 400, (echo, ("X-Not-Executed", "1"))
            )
        seconds = int(get(pairs, "x-deadline-ms") or 60000) / 1000
        until = asyncio.get_running_loop().time() + seconds
        free = self._free
        self.waiting += 1
        try:
            await free.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            if asyncio.get_running_loop().time() >= until:
                return build_answer(503, (echo, ("X-Not-Executed", "1")))
            self.runs.append(
                (self.record.now(), request, method, target, body, self.identity)
            )
            self.record.write(
                f"endpoint {self.identity} runs {request} {method} {target} "
                f"body {len(body)} bytes"
            )
            await asyncio.sleep(self.work)
        finally:
            self.busy -= 1
            free.release()
        seal = ("X-Response-Seal", f"seal.{self.identity}.{request}")
        load = ("X-Server-Load", f"{self.busy},{self.waiting},{self.slots}")
        text = f"{request} {len(body)}".encode()
        return build_answer(200, (echo, seal, load), text)

    async def report(self, method="PUT"):
        """Send one heartbeat (PUT) or leave (DELETE); return the status, 0 for none."""
        self.sequence += 1
        body = b""
        if method == "PUT":
            body = self.build_heartbeat()
        return await self.send(method, body)

    def build_heartbeat(self):
        """Return the body of a heartbeat."""
        return json.dumps(
            {
                "service": self.service,
                "address": f"{LOCAL}:{self.port}",
                "zone": "z1",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmup_left": "0ms",
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def send(self, method, body):
        """Send a report; return the status, 0 without an answer in time."""
        path = f"/whinwinch/instances/{self.identity}"
        try:
            status, _, _ = await send_http(
                self.control, method, path, (), body, ACK_SECONDS
            )
        except (OSError, TimeoutError):
            status = 0
        self.record.write(
            f"endpoint {self.identity} {method} state {self.state} seq {self.sequence} "
            f"born {self.born} -> {status}"
        )
        return status

    async def keep_reporting(self):
        """Send heartbeats until cancelled."""
        while True:
            if not self.is_down:
                await self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def send_http(port, method, path, headers, body, seconds, host="h.example"):
    """Send one request over a new connection; return status, headers and body.

    Raises:
        OSError: If there is no complete response.
        TimeoutError: If it doesn't come in time.
    """
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(LOCAL, port, limit=1 << 20)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method not in ("GET", "HEAD"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join((*lines, "", "")).encode("latin-1") + body)
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("closed before an answer")
            first, pairs = head
            try:
                data = await read_body(reader, pairs)
            except asyncio.IncompleteReadError as error:
                raise ConnectionResetError("answer cut off") from error
            return int(first.split(" ")[1]), pairs, data
        finally:
            writer.transport.abort()


class Daemon:
    """One daemon of the project, started by the command of the deploy file."""

    def __init__(self, record, folder, name, service, store_port, zone="z1", **bounds):
        self.record, self.name = record, name
        self.folder = folder
        self.app, self.inbound, self.outbound, self.ready, self.control, first = (
            find_ports(6)
        )
        self.process = None
        self.path = pathlib.Path(folder) / f"{name}.conf"
        values = {"drain": "2000ms", "grace": "6s", **bounds}
        self.lines = [
            f"self_node.node={name}",
            "self_node.role=daemon",
            "self_node.machine_class=sidecar",
            "self_node.serves=sidecar",
            f"self_node.ip={LOCAL}",
            f"self_node.zone={zone}",
            "self_node.region=r1",
            "self_node.limits.memory_mb=300",
            f"self_node.app_addr={LOCAL}:{self.app}",
            f"self_node.service={service}",
            f"network.listen.inbound={LOCAL}:{self.inbound}",
            f"network.listen.outbound={LOCAL}:{self.outbound}",
            f"network.listen.ready={LOCAL}:{self.ready}",
            f"network.listen.control={LOCAL}:{self.control}",
            f"network.internal_ports={first},{first}",
            "network.seeds=",
            f"network.zones.{zone}=r1",
            "platform.heartbeat=1500ms",
            f"platform.platform.address={LOCAL}:{store_port}",
            "platform.platform.form=log",
            "terms.bounds.contact=3000ms",
            "terms.bounds.config_apply=2000ms",
            "terms.bounds.retry_budget_ratio=0.2",
            "terms.bounds.budget_window=10s",
            "terms.bounds.budget_slack=49",
            *(f"terms.bounds.{key}={value}" for key, value in values.items()),
        ]
        self.write_settings()

    def write_settings(self):
        """Write the settings file."""
        self.path.write_text("\n".join(self.lines) + "\n")

    async def start(self):
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["daemon"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["WHINWINCH_BOOT"] = str(self.path)
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.write(f"daemon {self.name} started")

    def signal(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f"daemon {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        try:
            status, _, _ = await send_http(
                self.ready, "GET", "/whinwinch/ready", (), b"", 1.0
            )
        except (OSError, TimeoutError):
            return False
        return status == 200


class KeptConnection:
    """A client's connection, opened at need and kept."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def post(self, path, name, body):
        """Send a request; return its status, 0 if the connection closes before."""
        try:
            async with asyncio.timeout(6.0):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        LOCAL, self.port, limit=1 << 20
                    )
                head = (
                    f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {name}"
                    f"\r\nX-Deadline-Ms: 5000\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                self.writer.write(head.encode())
                self.writer.write(body)
                await self.writer.drain()
                answer = await read_head(self.reader)
                if answer is None:
                    raise ConnectionResetError("closed before an answer")
                first, pairs = answer
                await read_body(self.reader, pairs)
                if get(pairs, "connection").lower() == "close":
                    self.close()
                return int(first.split(" ")[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 0

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


def read_memory_mb(pid):
    """Return the resident memory of a process in MiB, 0 once it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


class MemoryLimit:
    """The platform's limit: a process beyond it is killed and started again.

    Attributes:
        peaks: Highest resident memory in MiB by the name of the daemon.
        kills: Times of the kills.
    """

    def __init__(self, record, limit_mb):
        self._record, self._limit_mb = record, limit_mb
        self.peaks, self.kills = {}, []

    async def watch(self, daemon):
        """Kill the process whenever it exceeds its memory, and start it again."""
        while True:
            used = read_memory_mb(daemon.process.pid)
            self.peaks[daemon.name] = max(self.peaks.get(daemon.name, 0), round(used))
            if used > self._limit_mb:
                self._record.write(
                    f"platform: {daemon.name} has {used:.0f} MiB, is killed"
                )
                self.kills.append(self._record.now())
                await daemon.end()
                await asyncio.sleep(RESTART_SECONDS)
                await daemon.start()
            await asyncio.sleep(0.02)


def build_route(prefix, service, kind, timeout="5000ms", attempts=2):
    """Return a route as the operator writes it."""
    return {
        "host": "h.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "target_latency": "1500ms",
        "priority": 0,
        "service": service,
        "max_attempts": attempts,
    }


def build_configuration(version, routes):
    """Return a configuration with the limits that `fleetbench wire` shows."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": {},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


async def wait_until(condition, seconds):
    """Wait for a coroutine function to return true; return whether it did."""
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


def run_case(case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    Args:
        case: Coroutine function of the `Record`, a temporary folder, a list for the
            daemons that it starts and whether to make the trouble; it returns whether
            the rule held, None if the case couldn't run.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    daemons = []
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        try:
            async with asyncio.timeout(115):
                return await case(record, temporary, daemons, trouble)
        finally:
            for daemon in daemons:
                await daemon.end()

    try:
        held = asyncio.run(main())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        held = None
    if os.environ.get("KEEP_LOGS"):
        shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    shutil.rmtree(temporary, ignore_errors=True)
    record.write({True: "held", False: "BROKEN", None: "could not run"}[held])
    sys.exit({True: 0, False: 1, None: 2}[held])
