"""A caller of the emulated platform, which repeats requests as its callers do."""

import asyncio
import itertools
import math
from typing import NamedTuple

from whinwinch.http1 import client
from whinwinch.http1.messages import HttpRequest, find_header, format_request

# Statuses that guarantee that a request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that are never retried: the request is invalid or was served.
FINAL_STATUSES = frozenset({200, 400, 401, 404, 413, 431})
_NUMBERS = itertools.count(1)


class Kind(NamedTuple):
    """One kind of request.

    Attributes:
        host: Value of the Host header.
        path: Request path.
        method: HTTP method.
        deadline: Deadline of the request over all attempts, in seconds.
        objective: Target latency in seconds; later answers lose worth.
        worth: Worth of an answer within the objective.
        body: Request body.
        retries: Maximum number of retries.
        honors_retry_after: Whether the caller waits for Retry-After before it
            retries.
        disconnect_after: Seconds after which the caller closes its connection,
            even before the deadline.
        key: Key of the caller's workspace, "" for none.
    """

    host: str
    path: str
    method: str = "GET"
    deadline: float = 5.0
    objective: float = 1.0
    worth: float = 1.0
    body: bytes = b""
    retries: int = 1
    honors_retry_after: bool = True
    disconnect_after: float = math.inf
    key: str = ""


class SentAnswer(NamedTuple):
    """The answer to one attempt.

    Attributes:
        status: HTTP status, 0 without a complete response.
        reason: Reason that the daemon gives for a refusal or failure, "" for none.
    """

    status: int
    reason: str


class CallerResult(NamedTuple):
    """Result of a request over all attempts of its caller.

    Attributes:
        requests: Request identifiers of the attempts, in order.
        statuses: HTTP status of each attempt; 0 without a complete response.
        seconds: Time from the start of the first attempt to the end of the last.
        whole: Whether the last response is a success and complete.
        retry_after: Retry-After of the last response in seconds, 0 without one.
        answers: `SentAnswer` of each attempt, in order.
        key: Key that the requests carried, "" for none.
    """

    requests: tuple[str, ...]
    statuses: tuple[int, ...]
    seconds: float
    whole: bool
    retry_after: float
    answers: tuple[SentAnswer, ...] = ()
    key: str = ""


class Pools:
    """Connection pools by address, for callers that reuse connections."""

    def __init__(self):
        self._pools = {}

    def find(self, address):
        """Return the `client.Pool` of an address, created at its first use."""
        if address not in self._pools:
            self._pools[address] = _build_pool(address)
        return self._pools[address]

    def close(self):
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()


async def send_with_retries(address, kind, pools=None):
    """Send a request to a daemon, with retries, and return the `CallerResult`.

    A request other than GET is only retried after a status that guarantees that it
    was not run.

    Args:
        address: "IP:PORT" of the daemon.
        kind: `Kind` of the request.
        pools: `Pools` of connections to reuse; without them, each attempt opens a
            connection.
    """
    loop = asyncio.get_running_loop()
    start_time = loop.time()
    until = start_time + kind.deadline
    requests, statuses, answers = [], [], []
    while True:
        request, status, answer = await send_once(address, kind, until, pools)
        requests.append(request)
        statuses.append(status)
        reason = find_header(answer.headers, "whinwinch-reason") if answer else ""
        answers.append(SentAnswer(status, reason))
        whole = status == 200 and answer.body.startswith(request.encode())
        pause = float(find_header(answer.headers, "retry-after") or 0) if answer else 0
        result = CallerResult(
            tuple(requests),
            tuple(statuses),
            loop.time() - start_time,
            whole,
            pause,
            tuple(answers),
            kind.key,
        )
        if status in FINAL_STATUSES or len(requests) > kind.retries:
            return result
        if kind.method != "GET" and status not in NOT_RUN_STATUSES:
            return result
        left = until - loop.time()
        if left <= 0.02:
            return result
        await asyncio.sleep(min(pause, left / 3) if kind.honors_retry_after else 0.0)


async def send_once(address, kind, until, pools=None):
    """Send one attempt; return its request identifier, status and response."""
    loop = asyncio.get_running_loop()
    request = f"ask-{next(_NUMBERS):x}"
    left = until - loop.time()
    headers = (
        ("X-Request-Id", request),
        ("X-Deadline-Ms", str(max(1, int(left * 1000)))),
        ("X-Caller-Service", "forged"),
        ("X-Tenant-Id", "forged"),
    )
    if kind.key:
        headers += (("Authorization", f"Bearer {kind.key}"),)
    http = HttpRequest(kind.method, kind.path, headers, kind.body)
    pool = pools.find(address) if pools else _build_pool(address)
    disconnect_after = (
        None if math.isinf(kind.disconnect_after) else kind.disconnect_after
    )
    try:
        async with asyncio.timeout(disconnect_after):
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
