"""A stand-in caller, which plays a recorded trace and retries hard.

It keeps asking until a request is completed, its time is over or it has been
sent `MAX_SENDS` times, as clients under stress do: at once and with jitter in
`HARD`, after the time that the answer names in `POLITE`, never in `NONE`. Each
time it asks is a root request of its own with its own ``X-Request-Id``; a key
stays the same.

As a command it prints one JSON line for each request of the trace, a `Result`.
"""

import argparse
import enum
import json
import queue
import random
import secrets
import sys
import threading
import time
import uuid
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3

from . import trace

MAX_SENDS = 5
HARD_PAUSE = 0.05
# The daemon answers by the deadline; only one that is stuck takes longer.
GRACE = 1.0
URGENCIES = {"critical": 1, "high": 2, "normal": 3, "low": 5}
UUID_VERSION = 7


class Retry(enum.Enum):
    """How a caller comes back after a request that wasn't completed."""

    NONE = "none"
    POLITE = "polite"
    HARD = "hard"


class Sent(NamedTuple):
    """What came of asking once.

    Attributes:
        request: The ``X-Request-Id`` used.
        outcome: "completed", "not-run" or "unknown".
        reason: ``Whinwinch-Reason``, or the kind of a connection's error.
        status: HTTP status, 0 when there was no answer.
        latency: Seconds from sending to the whole answer.
        retries: ``Whinwinch-Retries``: retries that this request caused.
        retry_after: Seconds after which the answer invites to come back.
        whole: Whether the answer is whole and this request's own.
    """

    request: str
    outcome: str
    reason: str
    status: int
    latency: float
    retries: int = 0
    retry_after: float = 0.0
    whole: bool = False

    @property
    def succeeded(self):
        """Whether the request was completed and its whole answer came."""
        return self.outcome == "completed" and self.status == 200 and self.whole


class Result(NamedTuple):
    """What came of one request of the trace.

    Attributes:
        at: Seconds after the start at which it was due.
        service: Service wanted.
        next: Calls down the chain, as in the trace.
        importance: Declared importance.
        key: Idempotency key, or "".
        late: Seconds after its due time at which it was first sent.
        latency: Seconds from due to the end of the last answer.
        sent: Each time it was asked; the last one counts.
    """

    at: float
    service: str
    next: str
    importance: str
    key: str
    late: float
    latency: float
    sent: tuple[Sent, ...]

    @property
    def last(self):
        """What the caller was told in the end."""
        return self.sent[-1]


def new_key(now=None):
    """Return a new idempotency key, a UUID of version 7.

    Args:
        now: Wall-clock seconds; None for now.
    """
    milliseconds = int((time.time() if now is None else now) * 1000)
    value = (milliseconds << 80) | secrets.randbits(80)
    value = value & ~(0xF << 76) | (UUID_VERSION << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def build_sender(entries, seed=0, direct=False, connections=64):
    """Return a function that sends a request once and tells what came of it.

    Args:
        entries: URLs of the daemons to enter by, one of which is drawn for each
            request; or, with `direct`, of the service's backend servers.
        seed: Seed of the draw.
        direct: Whether to ask backend servers without daemons.
        connections: Connections kept to each entry.
    """
    http = urllib3.PoolManager(
        num_pools=len(entries), maxsize=connections, retries=False
    )
    draw = random.Random(seed)

    def send(request, key="", timeout=None):
        identifier = uuid.uuid4().hex
        timeout = request.timeout if timeout is None else timeout
        target = find_target(draw.choice(entries), request, identifier, direct)
        headers = form_headers(request, identifier, key, timeout)
        began = time.monotonic()
        try:
            answer = http.request(
                request.method, target, headers=headers, timeout=timeout + GRACE
            )
        except urllib3.exceptions.HTTPError as error:
            return judge_error(error, identifier, time.monotonic() - began)
        latency = time.monotonic() - began
        return judge_answer(answer, request, identifier, latency)

    return send


def find_target(entry, request, identifier, direct):
    """Return the URL of a request; its own identifier is its marker."""
    query = {"marker": identifier}
    if request.next:
        query["next"] = request.next
    if request.work != 1:
        query["work"] = request.work
    if request.size:
        query["size"] = request.size
    if direct:
        return f"{entry}{request.path}?{urlencode({**query, 'direct': 1})}"
    return f"{entry}/services/{request.service}{request.path}?{urlencode(query)}"


def form_headers(request, identifier, key, timeout):
    """Return the headers of a request to a daemon.

    Only an importance below normal is sent: callers may lower what the
    resource declares, and the resource is what the demo is about.
    """
    headers = {
        "X-Request-Id": identifier,
        "Whinwinch-Timeout": str(max(1, int(timeout * 1000))),
    }
    if request.importance == "low":
        headers["Priority"] = f"u={URGENCIES['low']}"
    if request.caller:
        headers["Whinwinch-Caller"] = request.caller
    if key:
        headers["Idempotency-Key"] = key
    return headers


def judge_error(error, identifier, latency):
    """Return what a broken connection tells: nothing, unless none was opened."""
    opened = not isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    outcome = "unknown" if opened else "not-run"
    return Sent(identifier, outcome, type(error).__name__, 0, latency)


def judge_answer(answer, request, identifier, latency):
    """Return what an answer tells; without a daemon's headers, by its status."""
    by_status = {200: "completed", 503: "not-run"}.get(answer.status, "unknown")
    whole = answer.status == 200 and is_whole(answer.data, request, identifier)
    return Sent(
        identifier,
        answer.headers.get("Whinwinch-Outcome", by_status),
        answer.headers.get("Whinwinch-Reason", ""),
        answer.status,
        latency,
        int(answer.headers.get("Whinwinch-Retries", 0)),
        find_retry_after(answer.headers),
        whole,
    )


def find_retry_after(headers):
    """Return the seconds after which an answer invites to come back, 0 for none."""
    if "Whinwinch-Retry-After" in headers:
        return int(headers["Whinwinch-Retry-After"]) / 1000
    return float(headers.get("Retry-After", 0))


def is_whole(body, request, identifier):
    """Return whether a body is all of the answer to this request, at every hop."""
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    if len(answer.get("filler", "")) != request.size:
        return False
    hops = list_hops(answer)
    services = [hop.get("service") for hop in hops]
    calls = [call.partition("/")[0] for call in request.next.split(",") if call]
    own = all(hop.get("marker") == identifier for hop in hops)
    return own and services == [request.service, *calls]


def list_hops(answer):
    """Return the answers of a chain, the entry's first."""
    hops = [answer]
    for below in answer.get("below") or ():
        hops += list_hops(below or {})
    return hops


def ask(send, request, retry, draw):
    """Ask until a request is completed or there is no point in going on.

    A key is sent again unchanged also after an unknown outcome: the system
    has to see to it that the work runs once.

    Args:
        send: Function made by `build_sender`.
        request: `trace.Request`.
        retry: `Retry`.
        draw: `random.Random` for the pauses.

    Returns:
        The key used and a tuple of `Sent`.
    """
    key = new_key() if request.key == "new" else request.key
    until = time.monotonic() + request.timeout
    sent = []
    while True:
        sent.append(send(request, key, until - time.monotonic()))
        if sent[-1].succeeded or retry is Retry.NONE or len(sent) >= MAX_SENDS:
            return key, tuple(sent)
        pause = find_pause(sent[-1], retry, draw)
        if time.monotonic() + pause >= until:
            return key, tuple(sent)
        time.sleep(pause)


def find_pause(sent, retry, draw):
    """Return the seconds before a caller asks again."""
    if retry is Retry.POLITE and sent.retry_after:
        return sent.retry_after
    return HARD_PAUSE * draw.uniform(0.5, 1.5)


def play(requests, send, retry, threads, seed=0):
    """Play requests at their times.

    Args:
        requests: Iterable of `trace.Request` in the order of their times.
        send: Function made by `build_sender`.
        retry: `Retry`.
        threads: Requests under way at once, at most. What is due while all
            are taken is sent late, and `Result.late` says by how much.
        seed: Seed of the pauses.

    Returns:
        A list of `Result`.
    """
    due, results = queue.SimpleQueue(), []
    began = time.monotonic()

    def work(number):
        draw = random.Random(f"{seed}-{number}")
        while (request := due.get()) is not None:
            late = time.monotonic() - began - request.at
            key, sent = ask(send, request, retry, draw)
            latency = time.monotonic() - began - request.at
            results.append(
                Result(
                    request.at,
                    request.service,
                    request.next,
                    request.importance,
                    key,
                    late,
                    latency,
                    sent,
                )
            )

    workers = [
        threading.Thread(target=work, args=(number,), daemon=True)
        for number in range(threads)
    ]
    for worker in workers:
        worker.start()
    for request in requests:
        time.sleep(max(0.0, began + request.at - time.monotonic()))
        due.put(request)
    for _ in workers:
        due.put(None)
    for worker in workers:
        worker.join()
    return results


def write_result(result):
    """Return a result as a line of JSON."""
    return json.dumps(result) + "\n"


def read_result(line):
    """Return the `Result` that `write_result` wrote."""
    *fields, sent = json.loads(line)
    return Result(*fields, tuple(Sent(*each) for each in sent))


def parse_part(text):
    """Read "1/3": the second of three callers that share a trace."""
    number, _, count = text.partition("/")
    return int(number), int(count)


def main(arguments=None):
    """Play a trace and print its results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--trace", type=argparse.FileType(), required=True)
    parser.add_argument("--entries", required=True, help="URLs, with commas")
    parser.add_argument("--rate", type=float, default=1.0, help="1: as recorded")
    parser.add_argument("--seconds", type=float, help="default: the trace once")
    parser.add_argument("--retry", type=Retry, default=Retry.HARD)
    parser.add_argument("--threads", type=int, default=128)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--part", type=parse_part, default=(0, 1))
    options = parser.parse_args(arguments)
    number, count = options.part
    requests = trace.schedule_requests(
        trace.read_trace(options.trace), options.rate, options.seconds
    )
    own = [request for at, request in enumerate(requests) if at % count == number]
    seed = options.seed * count + number
    send = build_sender(options.entries.split(","), seed, connections=options.threads)
    results = play(own, send, options.retry, options.threads, seed)
    sys.stdout.writelines(map(write_result, results))


if __name__ == "__main__":
    main()
