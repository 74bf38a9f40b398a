"""A stand-in for the platform's callers."""

import asyncio
import itertools
import math
from typing import NamedTuple

from whinwinch.http1 import client
from whinwinch.http1.messages import HttpRequest, find_header, format_request

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# After these no caller asks again: the request itself is wrong, or was served.
FINAL = frozenset({200, 400, 401, 404, 413, 431})
_NUMBERS = itertools.count(1)


class Kind(NamedTuple):
    """One kind of request.

    Attributes:
        host: Host that it names.
        path: Path.
        method: Method.
        deadline: Seconds that the caller waits.
        objective: Seconds within which an answer is worth all.
        worth: What it is worth.
        body: Body.
        retries: Times that the caller asks again.
        patient: Whether it waits as it is told to.
        gives_up: Seconds after which it closes its connection, whatever it said.
    """

    host: str
    path: str
    method: str = "GET"
    deadline: float = 5.0
    objective: float = 1.0
    worth: float = 1.0
    body: bytes = b""
    retries: int = 1
    patient: bool = True
    gives_up: float = math.inf


class Told(NamedTuple):
    """What a caller was told in the end.

    Attributes:
        requests: Identifiers of the times it asked, in their order.
        statuses: Status of each; 0 for no whole answer.
        seconds: Time from the first asking to the last answer.
        whole: Whether the last answer is a success and whole.
        retry_after: What the last answer said of coming back, in seconds.
    """

    requests: tuple[str, ...]
    statuses: tuple[int, ...]
    seconds: float
    whole: bool
    retry_after: float


class Pools:
    """Kept connections of callers that don't open one for each request."""

    def __init__(self):
        self._pools = {}

    def find(self, address):
        """Return the `client.Pool` of an address."""
        if address not in self._pools:
            self._pools[address] = _build_pool(address)
        return self._pools[address]

    def close(self):
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()


async def ask(address, kind, pools=None):
    """Ask a daemon, and again as the platform's callers do; return what was told.

    Args:
        address: "IP:PORT" of the daemon.
        kind: `Kind`.
        pools: `Pools` to take connections from; without, each asking has its own.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    until = began + kind.deadline
    requests, statuses = [], []
    while True:
        request, status, answer = await ask_once(address, kind, until, pools)
        requests.append(request)
        statuses.append(status)
        whole = status == 200 and answer.body.startswith(request.encode())
        pause = float(find_header(answer.headers, "retry-after") or 0) if answer else 0
        told = Told(tuple(requests), tuple(statuses), loop.time() - began, whole, pause)
        if status in FINAL or len(requests) > kind.retries:
            return told
        if kind.method != "GET" and status not in PROMISES:
            return told
        left = until - loop.time()
        if left <= 0.02:
            return told
        await asyncio.sleep(min(pause, left / 3) if kind.patient else 0.0)


async def ask_once(address, kind, until, pools=None):
    """Ask once; return id, status and answer."""
    loop = asyncio.get_running_loop()
    request = f"ask-{next(_NUMBERS):x}"
    left = until - loop.time()
    headers = (
        ("X-Request-Id", request),
        ("X-Deadline-Ms", str(max(1, int(left * 1000)))),
        ("X-Caller-Service", "forged"),
    )
    http = HttpRequest(kind.method, kind.path, headers, kind.body)
    pool = pools.find(address) if pools else _build_pool(address)
    patience = None if math.isinf(kind.gives_up) else kind.gives_up
    try:
        async with asyncio.timeout(patience):
            answer = await pool.exchange(format_request(http, kind.host), until)
    except (client.NotSentError, client.BrokenError, TimeoutError):
        return request, 0, None
    finally:
        if pools is None:
            pool.close()
    return request, answer.status, answer


def _build_pool(address):
    host, _, port = address.rpartition(":")
    return client.Pool(host, int(port), 1 << 20)
