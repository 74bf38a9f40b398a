"""A backend server of the emulated platform, with faults that tests can inject."""

import asyncio
import json
import random
import time
from typing import NamedTuple

from whinwinch.http1 import client
from whinwinch.http1.messages import (
    HttpRequest,
    HttpResponse,
    find_header,
    format_request,
)
from whinwinch.http1.server import Limits, Server

from . import caller

HEARTBEAT_INTERVAL_SECONDS = 1.5
HEARTBEAT_TIMEOUT_SECONDS = 1.0
RESTART_SECONDS = 0.4
# Seconds for which a request that ends the process runs before.
CRASH_DELAY_SECONDS = 0.03


class Call(NamedTuple):
    """A call that a backend server makes while it processes a request.

    Attributes:
        host: Value of the Host header.
        path: Request path.
        seconds: Timeout in seconds; the call expires with the request that makes
            it at the latest.
    """

    host: str
    path: str
    seconds: float


class Work(NamedTuple):
    """What a backend server does for a request of one path prefix.

    Attributes:
        seconds: Mean processing time in seconds, without the calls.
        calls: `Call` tuples, made sequentially.
        size: Minimum size of the response body in bytes.
        spread: Fraction of the mean by which the processing time varies.
    """

    seconds: float
    calls: tuple[Call, ...] = ()
    size: int = 400
    spread: float = 0.3


class Faults(NamedTuple):
    """Faults of a backend server, in effect until they are replaced.

    Attributes:
        shed: Share of requests that it refuses although it has a free slot.
        fail: Share of requests that it runs and answers with 500.
        lose: Share of requests that it runs without sending a response.
        slower: Factor on the processing time.
        crashing_target: Request target that ends the process once it runs, "" for none.
        named_limit: Limit that its answers name, in requests a second; None for none.
        leaving: Whether its answers say that it leaves.
    """

    shed: float = 0.0
    fail: float = 0.0
    lose: float = 0.0
    slower: float = 1.0
    crashing_target: str = ""
    named_limit: float | None = None
    leaving: bool = False


class Run(NamedTuple):
    """A request that started to run.

    Attributes:
        request: Its identifier.
        method: HTTP method.
        target: Path and query.
        body: The complete body.
        caller: Service that called.
        workspace: Workspace that it was attributed to, "" for none.
        credentials: Credentials that reached the backend server, "" for none.
        time: Time of the event loop's clock in seconds.
    """

    request: str
    method: str
    target: str
    body: bytes
    caller: str
    workspace: str = ""
    credentials: str = ""
    time: float = 0.0


class Slots:
    """The slots of one process of a backend server.

    Attributes:
        free: Semaphore of the free slots.
        busy: Number of running requests.
        waiting: Number of requests that wait for a slot.
    """

    def __init__(self, count):
        self.free = asyncio.Semaphore(count)
        self.busy = 0
        self.waiting = 0


class Crash(NamedTuple):
    """An end of the process without an announcement.

    Attributes:
        request: Identifier of the request that caused it, "" for none.
        time: Time of the event loop's clock in seconds.
    """

    request: str
    time: float


def read_wall_clock():
    """Return the time of day in milliseconds."""
    return int(time.time() * 1000)


class Backend:
    """One backend server, which serves HTTP and sends heartbeats to its daemon.

    Args:
        identity: Identifier of the backend server.
        service: Name of its service.
        slots: Maximum number of concurrent requests.
        work_by_prefix: `Work` by path prefix.
        seed: Seed of the random choices.
    """

    def __init__(self, identity, service, slots, work_by_prefix, seed=0):
        self.identity = identity
        self.service = service
        self.slots = slots
        self.work_by_prefix = work_by_prefix
        self.faults = Faults()
        self.state = "ready"
        self.runs = []
        self.finished = []
        self.crashes = []
        # Time of the event loop's clock at which each request arrived, in seconds.
        self.arrivals = []
        # Identifier of the request that made each call, by identifier of the call.
        self.parents = {}
        self.address = ""
        self.born = read_wall_clock()
        self._slots = Slots(slots)
        self._random = random.Random(seed)
        self._pools = caller.Pools()
        self._outbound = ""
        self._control = ""
        self._sequence = 0
        self._first_identity = identity
        self._is_down = False
        self._is_silent = False
        self.server = Server(self._answer, Limits())

    @property
    def busy(self):
        """Number of running requests."""
        return self._slots.busy

    async def listen(self, host="127.0.0.1", port=0):
        """Start serving and return the port."""
        port = await self.server.listen(host, port)
        self.address = f"{host}:{port}"
        return port

    async def announce(self):
        """Send one heartbeat and return the HTTP status, 0 without a response."""
        self._sequence += 1
        heartbeat = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left": "0ms",
            "seq": self._sequence,
            "born": self.born,
        }
        return await self.send_report("PUT", json.dumps(heartbeat).encode())

    async def leave(self):
        """Report that the server has left; return the status, 0 without a response."""
        return await self.send_report("DELETE", b"")

    async def send_report(self, method, body):
        """Send a report to the daemon; return the status, 0 without a response."""
        target = f"/whinwinch/instances/{self.identity}"
        request = HttpRequest(method, target, body=body)
        pool = self._pools.find(self._control)
        until = asyncio.get_running_loop().time() + HEARTBEAT_TIMEOUT_SECONDS
        try:
            answer = await pool.exchange(format_request(request, self._control), until)
        except (client.NotSentError, client.BrokenError, TimeoutError):
            return 0
        return answer.status

    async def keep_announcing(self):
        """Send heartbeats until the task is cancelled."""
        while True:
            if not self._is_down and not self._is_silent:
                await self.announce()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def silence(self):
        """Send no more heartbeats by itself, as one that has left, and serve on."""
        self._is_silent = True

    def go_on(self):
        """Send heartbeats by itself again, as the next start under the identifier."""
        self.restart_sequence()
        self._is_silent = False

    def restart_sequence(self):
        """Number the heartbeats anew, as the next start does."""
        self._sequence = 0

    def crash(self, request=""):
        """End the process; it starts again with a new identifier after some time.

        Args:
            request: Identifier of the request that causes it, "" for none.
        """
        if self._is_down:
            return
        loop = asyncio.get_running_loop()
        self.crashes.append(Crash(request, loop.time()))
        self._is_down = True
        self.server.abort()
        self._pools.close()
        self._restart = loop.create_task(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(RESTART_SECONDS)
        host, _, port = self.address.rpartition(":")
        self.identity = f"{self._first_identity}-{len(self.crashes)}"
        self.born = read_wall_clock()
        self._sequence = 0
        # Runs of the process that ended give back the slots of that one.
        self._slots = Slots(self.slots)
        await self.server.listen(host, int(port))
        self._is_down = False
        await self.announce()

    def attach(self, outbound, control):
        """Set the daemon's addresses for calls (outbound) and heartbeats (control)."""
        self._outbound = outbound
        self._control = control

    def exit(self):
        """End the process for good, without an announcement."""
        self._is_down = True
        self.close()

    def close(self):
        """Close all connections."""
        self.server.abort()
        self._pools.close()

    async def _answer(self, http, sender):
        if http.target.startswith("/healthz"):
            status = 200 if self.state == "ready" else 503
            return HttpResponse(status, "Health", (("X-Instance-Id", self.identity),))
        response = await self._answer_request(http)
        return response._replace(headers=(*response.headers, *self._list_notices()))

    async def _answer_request(self, http):
        expected = find_header(http.headers, "x-expected-instance")
        request = find_header(http.headers, "x-request-id")
        if expected and expected != self.identity:
            headers = (("X-Instance-Id", self.identity), ("X-Request-Id", request))
            return HttpResponse(421, "Misdirected Request", headers)
        self.arrivals.append(asyncio.get_running_loop().time())
        if not request:
            return self._refuse(request, 400)
        if self._draw(self.faults.shed) or self._slots.waiting > 2 * self.slots:
            return self._refuse(request, 503)
        deadline = float(find_header(http.headers, "x-deadline-ms") or 1e6) / 1000
        deadline += asyncio.get_running_loop().time()
        slots = self._slots
        slots.waiting += 1
        try:
            await slots.free.acquire()
        finally:
            slots.waiting -= 1
        slots.busy += 1
        try:
            return await self._run(http, request, deadline)
        finally:
            slots.busy -= 1
            slots.free.release()

    async def _run(self, http, request, deadline):
        calling_service = find_header(http.headers, "x-caller-service")
        self.runs.append(
            Run(
                request,
                http.method,
                http.target,
                http.body,
                calling_service,
                find_header(http.headers, "x-tenant-id"),
                find_header(http.headers, "authorization"),
                asyncio.get_running_loop().time(),
            )
        )
        if http.target == self.faults.crashing_target:
            await asyncio.sleep(CRASH_DELAY_SECONDS)
            self.crash(request)
            # The aborted connection cancels this run.
            await asyncio.Event().wait()
        work = self._find_work(http.target)
        seconds = work.seconds * self.faults.slower
        spread = self._random.uniform(1 - work.spread, 1 + work.spread)
        await asyncio.sleep(seconds * spread)
        for call in work.calls:
            if not await self._call(call, request, deadline):
                return self._seal(request, 500, "Call Failed", b"")
        self.finished.append(request)
        if self._draw(self.faults.lose):
            self._drop_connection()
        if self._draw(self.faults.fail):
            return self._seal(request, 500, "Error", b"")
        return self._seal(request, 200, "OK", request.encode().ljust(work.size, b"."))

    async def _call(self, call, parent, deadline):
        left = min(deadline - asyncio.get_running_loop().time(), call.seconds)
        identity = f"call-{self._random.getrandbits(60):x}"
        self.parents[identity] = parent
        headers = (
            ("X-Request-Id", identity),
            ("X-Deadline-Ms", str(max(1, int(left * 1000)))),
        )
        request = HttpRequest("GET", call.path, headers)
        pool = self._pools.find(self._outbound)
        try:
            data = format_request(request, call.host)
            answer = await pool.exchange(data, deadline)
        except (client.NotSentError, client.BrokenError, TimeoutError):
            return False
        return answer.status == 200

    def _drop_connection(self):
        """Reset the connection of the request that the current task serves."""
        task = asyncio.current_task()
        for connection in tuple(self.server.connections):
            if connection.serves(task):
                connection.abort()

    def _list_notices(self):
        """Return the headers in which the backend server tells of itself."""
        headers = []
        if self.faults.named_limit is not None:
            headers.append(("Server-Limit", f"{self.faults.named_limit:.1f}"))
        if self.faults.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    def _find_work(self, target):
        for prefix, work in self.work_by_prefix.items():
            if target.startswith(prefix):
                return work
        raise KeyError(target)

    def _refuse(self, request, status):
        headers = (("X-Not-Executed", "1"), ("X-Request-Id", request))
        return HttpResponse(status, "Turned Down", headers)

    def _seal(self, request, status, phrase, body):
        load = f"{self._slots.busy},{self._slots.waiting},{self.slots}"
        headers = (
            ("X-Request-Id", request),
            ("X-Response-Seal", f"seal.{self.identity}.{request}"),
            ("X-Server-Load", load),
        )
        return HttpResponse(status, phrase, headers, body)

    def _draw(self, share):
        return share > 0.0 and self._random.random() < share
