"""A stand-in for a backend server on the platform, and its faults on command."""

import asyncio
import json
import random
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

HEARTBEAT_SECONDS = 1.5
HEARTBEAT_TIMEOUT = 1.0


class Call(NamedTuple):
    """A call that a backend server makes.

    Attributes:
        host: Host that it names.
        path: Path.
        seconds: Longest time that it is given; it expires with the request that
            makes it at the latest.
    """

    host: str
    path: str
    seconds: float


class Work(NamedTuple):
    """What a backend server does for a request of one path prefix.

    Attributes:
        seconds: Mean time that it works.
        calls: `Call` tuples, made one after the other.
        size: Bytes of the answer.
        spread: Share of the mean by which the time varies.
    """

    seconds: float
    calls: tuple[Call, ...] = ()
    size: int = 400
    spread: float = 0.3


class Faults(NamedTuple):
    """What it does wrong until told otherwise.

    Attributes:
        shed: Share of requests that it turns down though it has room.
        fail: Share of requests that end with 500.
        lose: Share of requests that are run and not answered.
        slower: Factor on the time that it works.
    """

    shed: float = 0.0
    fail: float = 0.0
    lose: float = 0.0
    slower: float = 1.0


class Run(NamedTuple):
    """One request that was begun: its id, method, target, body and caller."""

    request: str
    method: str
    target: str
    body: bytes
    caller: str


class Backend:
    """One backend server.

    Args:
        identity: Its identifier.
        service: Its service.
        slots: Requests that it works on at once.
        works: `Work` by path prefix.
        seed: Seed of what it draws.
    """

    def __init__(self, identity, service, slots, works, seed=0):
        self.identity = identity
        self.service = service
        self.slots = slots
        self.works = works
        self.faults = Faults()
        self.state = "ready"
        self.runs = []
        self.ends = []
        # The request that made each call, by their ids.
        self.parents = {}
        self.busy = 0
        self.waiting = 0
        self.address = ""
        self.born = 1_000
        self._free = asyncio.Semaphore(slots)
        self._random = random.Random(seed)
        self._pools = caller.Pools()
        self._outbound = ""
        self._control = ""
        self._sequence = 0
        self.server = Server(self._answer, Limits())

    async def listen(self, host="127.0.0.1", port=0):
        """Serve; return the port."""
        port = await self.server.listen(host, port)
        self.address = f"{host}:{port}"
        return port

    async def announce(self):
        """Send one heartbeat; return the status of its answer."""
        self._sequence += 1
        beat = {
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
        return await self.tell("PUT", json.dumps(beat).encode())

    async def leave(self):
        """Say that it is gone; return the status of the answer."""
        return await self.tell("DELETE", b"")

    async def tell(self, method, body):
        """Send a message to the daemon; return its status, 0 for none."""
        target = f"/whinwinch/instances/{self.identity}"
        request = HttpRequest(method, target, body=body)
        pool = self._pools.find(self._control)
        until = asyncio.get_running_loop().time() + HEARTBEAT_TIMEOUT
        try:
            answer = await pool.exchange(format_request(request, self._control), until)
        except (client.NotSentError, client.BrokenError, TimeoutError):
            return 0
        return answer.status

    async def keep_announcing(self):
        """Send heartbeats for ever."""
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def attach(self, outbound, control):
        """Take the addresses of the daemon: for calls, and for heartbeats."""
        self._outbound = outbound
        self._control = control

    def close(self):
        """Drop all connections."""
        self.server.abort()
        self._pools.close()

    async def _answer(self, http, sender):
        if http.target.startswith("/healthz"):
            status = 200 if self.state == "ready" else 503
            return HttpResponse(status, "Health", (("X-Instance-Id", self.identity),))
        expected = find_header(http.headers, "x-expected-instance")
        request = find_header(http.headers, "x-request-id")
        if expected and expected != self.identity:
            return HttpResponse(
                421, "Misdirected Request", (("X-Instance-Id", self.identity),)
            )
        if not request:
            return self._turn_down(request, 400)
        if self._draw(self.faults.shed) or self.waiting > 2 * self.slots:
            return self._turn_down(request, 503)
        deadline = float(find_header(http.headers, "x-deadline-ms") or 1e6) / 1000
        deadline += asyncio.get_running_loop().time()
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            return await self._run(http, request, deadline)
        finally:
            self.busy -= 1
            self._free.release()

    async def _run(self, http, request, deadline):
        calling = find_header(http.headers, "x-caller-service")
        self.runs.append(Run(request, http.method, http.target, http.body, calling))
        work = self._find_work(http.target)
        seconds = work.seconds * self.faults.slower
        spread = self._random.uniform(1 - work.spread, 1 + work.spread)
        await asyncio.sleep(seconds * spread)
        for call in work.calls:
            if not await self._call(call, request, deadline):
                return self._seal(request, 500, "Call Failed", b"")
        self.ends.append(request)
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
        """Reset the connection of the request that is answered just now."""
        task = asyncio.current_task()
        for connection in tuple(self.server.connections):
            if connection.serves(task):
                connection.abort()

    def _find_work(self, target):
        for prefix, work in self.works.items():
            if target.startswith(prefix):
                return work
        raise KeyError(target)

    def _turn_down(self, request, status):
        headers = (("X-Not-Executed", "1"), ("X-Request-Id", request))
        return HttpResponse(status, "Turned Down", headers)

    def _seal(self, request, status, phrase, body):
        load = f"{self.busy},{self.waiting},{self.slots}"
        headers = (
            ("X-Request-Id", request),
            ("X-Response-Seal", f"seal.{self.identity}.{request}"),
            ("X-Server-Load", load),
        )
        return HttpResponse(status, phrase, headers, body)

    def _draw(self, share):
        return share > 0.0 and self._random.random() < share
