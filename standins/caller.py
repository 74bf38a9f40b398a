"""A stand-in caller, which plays a recorded trace and retries aggressively.

It retries until a request is completed, its deadline passes or it was sent
`MAX_SENDS` times, as clients under stress do: after a short random delay with
`HARD`, after the delay that the response requests with `POLITE`, never with
`NONE`. Each attempt is a separate root request with a new ``X-Request-Id``; all
attempts have the same idempotency key.

As a command it writes a JSON line with the `Result` of each request of the trace
to standard output or to the file of ``--results``. The exit status is 2 if one of
its threads failed; the traceback goes to standard error.
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
import traceback
import uuid
from typing import NamedTuple

from . import sender, trace

EXIT_OK = 0
EXIT_FAILED = 2
MAX_SENDS = 5
HARD_RETRY_DELAY = 0.05  # seconds, on average
UUID_VERSION = 7


class Retry(enum.Enum):
    """How a caller retries a request that wasn't completed."""

    NONE = "none"
    POLITE = "polite"
    HARD = "hard"


class Result(NamedTuple):
    """Result of one request of the trace.

    Attributes:
        at: Seconds after the start at which it was due.
        service: Name of the called service.
        next: Nested calls, as in the trace.
        importance: Declared importance.
        key: Idempotency key, "" for none.
        late: Seconds from its due time until it was first sent.
        latency: Seconds from its due time to the end of the last response.
        sent: All attempts in their order.
    """

    at: float
    service: str
    next: str
    importance: str
    key: str
    late: float
    latency: float
    sent: tuple[sender.Sent, ...]

    @property
    def last(self):
        """Last attempt, whose outcome is reported to the caller."""
        return self.sent[-1]


def new_key(now=None):
    """Return a new idempotency key, a UUID of version 7.

    Args:
        now: Wall-clock time in seconds; None for the current time.
    """
    milliseconds = int((time.time() if now is None else now) * 1000)
    value = (milliseconds << 80) | secrets.randbits(80)
    value = value & ~(0xF << 76) | (UUID_VERSION << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def send_with_retries(send, request, retry, draw):
    """Send a request until it is completed or no retry is possible.

    The idempotency key stays the same also after an unknown outcome: the daemons
    have to guarantee that the work runs once.

    Args:
        send: Function made by `sender.build_sender`.
        request: `trace.Request`.
        retry: `Retry`.
        draw: `random.Random` for the retry delays.

    Returns:
        The idempotency key and a tuple of `sender.Sent`.
    """
    key = new_key() if request.key == "new" else request.key
    until = time.monotonic() + request.timeout
    sent = []
    while (remaining := until - time.monotonic()) > 0:
        sent.append(send(request, key, remaining))
        if sent[-1].succeeded or retry is Retry.NONE or len(sent) >= MAX_SENDS:
            break
        delay = get_retry_delay(sent[-1], retry, draw)
        if time.monotonic() + delay >= until:
            break
        # On a busy machine the sleep may end after the deadline. The attempts made
        # so far are the result then: a timeout must not be negative.
        time.sleep(delay)
    return key, tuple(sent) or (build_expired(),)


def build_expired():
    """Return the result of a request whose deadline passed before it was sent."""
    return sender.Sent(uuid.uuid4().hex, "not-run", "deadline", 0, 0.0)


def get_retry_delay(sent, retry, draw):
    """Return the delay in seconds before a caller retries."""
    if retry is Retry.POLITE and sent.retry_after:
        return sent.retry_after
    return HARD_RETRY_DELAY * draw.uniform(0.5, 1.5)


def play(requests, send, retry, threads, seed=0):
    """Send requests at their due times and return their results.

    Args:
        requests: Iterable of `trace.Request` in the order of their times.
        send: Function made by `sender.build_sender`.
        retry: `Retry`.
        threads: Maximum number of concurrent requests. A request that is due while
            all threads are busy is sent late, see `Result.late`.
        seed: Seed of the retry delays.

    Returns:
        A list of `Result`.

    Raises:
        ExceptionGroup: When threads failed. It contains the exception of each, with a
            note that names the thread.
    """
    due, results, errors = queue.SimpleQueue(), [], []
    started_at = time.monotonic()

    def work(number):
        try:
            serve(number)
        except Exception as error:
            error.add_note(f"in caller thread {number}")
            errors.append(error)

    def serve(number):
        draw = random.Random(f"{seed}-{number}")
        while (request := due.get()) is not None:
            late = time.monotonic() - started_at - request.at
            key, sent = send_with_retries(send, request, retry, draw)
            latency = time.monotonic() - started_at - request.at
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
        time.sleep(max(0.0, started_at + request.at - time.monotonic()))
        due.put(request)
    for _ in workers:
        due.put(None)
    for worker in workers:
        worker.join()
    if errors:
        raise ExceptionGroup("caller threads failed", errors)
    return results


def write_result(result):
    """Return a result as a JSON line."""
    return json.dumps(result) + "\n"


def read_result(line):
    """Parse a JSON line of `write_result` into a `Result`."""
    *fields, sent = json.loads(line)
    return Result(*fields, tuple(sender.Sent(*each) for each in sent))


def parse_part(text):
    """Parse a part such as "1/3", the second of three callers that share a trace.

    Returns:
        The number of the caller, from 0, and the number of callers.
    """
    number, _, count = text.partition("/")
    return int(number), int(count)


def main(arguments=None):
    """Play a trace, write its results and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--trace", type=argparse.FileType(), required=True)
    parser.add_argument("--entries", required=True, help="URLs separated by commas")
    parser.add_argument(
        "--rate",
        type=float,
        default=1.0,
        help="multiple of the recorded rate; default: 1",
    )
    parser.add_argument("--seconds", type=float, help="default: the trace once")
    parser.add_argument("--retry", type=Retry, default=Retry.HARD)
    parser.add_argument("--threads", type=int, default=128)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--part", type=parse_part, default=(0, 1))
    parser.add_argument("--results", type=argparse.FileType("w"), default=sys.stdout)
    options = parser.parse_args(arguments)
    number, count = options.part
    requests = trace.schedule_requests(
        trace.read_trace(options.trace), options.rate, options.seconds
    )
    requests_of_part = [
        request for at, request in enumerate(requests) if at % count == number
    ]
    seed = options.seed * count + number
    send = sender.build_sender(
        options.entries.split(","), seed, connections=options.threads
    )
    try:
        results = play(requests_of_part, send, options.retry, options.threads, seed)
    except ExceptionGroup as errors:
        traceback.print_exception(errors)
        return EXIT_FAILED
    with options.results:
        options.results.writelines(map(write_result, results))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
