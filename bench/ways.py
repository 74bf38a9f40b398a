"""Compares three transports for calls between daemons.

``python -m bench.ways``. Each transport carries the same request and answer between
a client and a server in this process, so the processor time includes both. Rounds
of the transports alternate, so that other load on the machine slows all of them
alike; compare their ratios to the first.

- frames: msgpack over one connection per pair of daemons (`whinwinch.daemons.links`)
- http: the same bytes as the body of a POST over persistent connections
- grpc: the same bytes over `grpc.aio`
"""

import argparse
import asyncio
import math
import statistics
import sys
import time
from typing import NamedTuple

from whinwinch import messages
from whinwinch.daemons import exchange, frames, links
from whinwinch.http1 import client, server
from whinwinch.http1.messages import HttpRequest, HttpResponse, format_request

LOCAL = "127.0.0.1"
# Typical sizes on the platform: six request headers and an answer of 1 kB.
HEADERS = tuple((f"X-Header-{number}", "v" * 24) for number in range(6))
BODY = b"." * 1000
DEADLINE_SECONDS = 60.0


class Round(NamedTuple):
    """Costs of the calls of one round.

    Attributes:
        used: Processor seconds per call.
        median: Median latency in seconds.
        p99: 99th percentile of the latency in seconds.
    """

    used: float
    median: float
    p99: float


def build_request():
    """Return a new request with fresh identifiers."""
    now = asyncio.get_running_loop().time()
    return messages.Request(
        attempt=messages.new_identifier(),
        root=messages.new_identifier(),
        service="archive",
        call="archive-index",
        method="GET",
        path="/index/2f",
        importance=messages.Importance.NORMAL,
        deadline=now + DEADLINE_SECONDS,
        headers=HEADERS,
    )


async def answer_at_once(request):
    """Return the fixed answer of the servers of all transports."""
    return messages.Answer(
        request.attempt, messages.Outcome.COMPLETED, status=200, body=BODY
    )


async def open_frames():
    """Return functions to make a call over frames and to close both ends."""
    serving = exchange.Exchange(frames.Hello("s", "s"), answer_at_once, None)
    port = await serving.listen(LOCAL, 0)
    peers = links.Peers(frames.Hello("c", "c"), lambda address, news: None)
    # The server reports its endpoint before any other frame.
    serving.news = frames.News(messages.Endpoint("s", "s", ""))
    peer = peers.find(f"{LOCAL}:{port}")

    async def close():
        peers.close()
        serving.close()

    return peer.call, close


async def open_http():
    """Return functions to make a call over HTTP and to close both ends."""
    loop = asyncio.get_running_loop()

    def decode(data):
        (frame,) = frames.decode_frames(frames.build_unpacker(), data, loop.time())
        return frame

    async def answer(http, sender):
        del sender
        call = decode(http.body)
        reply = frames.Reply(call.number, await answer_at_once(call.request))
        return HttpResponse(200, "OK", body=frames.encode_frame(reply))

    serving = server.Server(answer, server.Limits())
    port = await serving.listen(LOCAL, 0)
    pool = client.Pool(LOCAL, port, 1 << 20)

    async def call(request):
        body = frames.encode_frame(frames.Call(1, request), loop.time())
        http = HttpRequest("POST", "/call", body=body)
        data = format_request(http, "daemon")
        response = await pool.exchange(data, request.deadline)
        return decode(response.body).answer

    async def close():
        pool.close()
        serving.abort()

    return call, close


async def open_grpc():
    """Return functions to make a call over gRPC and to close both ends.

    The messages are the encoded frames, so that only the transport differs.
    """
    import grpc

    loop = asyncio.get_running_loop()

    def decode(data):
        (frame,) = frames.decode_frames(frames.build_unpacker(), data, loop.time())
        return frame

    async def answer(call, context):
        del context
        return frames.Reply(call.number, await answer_at_once(call.request))

    def encode(frame):
        return frames.encode_frame(frame, loop.time())

    handler = grpc.unary_unary_rpc_method_handler(answer, decode, encode)
    serving = grpc.aio.server()
    serving.add_generic_rpc_handlers(
        [grpc.method_handlers_generic_handler("Peer", {"Call": handler})]
    )
    port = serving.add_insecure_port(f"{LOCAL}:0")
    await serving.start()
    channel = grpc.aio.insecure_channel(f"{LOCAL}:{port}")
    send_call = channel.unary_unary("/Peer/Call", encode, decode)

    async def call(request):
        return (await send_call(frames.Call(1, request))).answer

    async def close():
        await channel.close()
        await serving.stop(None)

    return call, close


WAYS = {"frames": open_frames, "http": open_http, "grpc": open_grpc}


async def play_round(call, calls, at_once):
    """Make `calls` calls, `at_once` of them concurrently; return their `Round`."""
    seconds = []

    async def work(count):
        for _ in range(count):
            request = build_request()
            began = time.perf_counter()
            answer = await call(request)
            seconds.append(time.perf_counter() - began)
            if answer.body != BODY or answer.attempt != request.attempt:
                raise RuntimeError("answer does not match its request")

    used = time.process_time()
    await asyncio.gather(*(work(calls // at_once) for _ in range(at_once)))
    used = time.process_time() - used
    seconds.sort()
    p99 = seconds[math.ceil(0.99 * len(seconds)) - 1]
    return Round(used / len(seconds), statistics.median(seconds), p99)


async def play(rounds, calls, at_once):
    """Return the `Round` tuples of each transport by name, after a warm-up round."""
    opened = {name: await open_way() for name, open_way in WAYS.items()}
    results = {name: [] for name in WAYS}
    for call, _ in opened.values():
        await play_round(call, calls // 4, at_once)
    for _ in range(rounds):
        for name, (call, _) in opened.items():
            results[name].append(await play_round(call, calls, at_once))
    for _, close in opened.values():
        await close()
    return results


def print_results(results):
    """Print each transport's medians over the rounds and its ratio to the first."""
    print("way      processor ms a call   ratio   median ms   p99 ms")
    first = None
    for name, rounds in results.items():
        used, median, p99 = (
            1000 * statistics.median(values) for values in zip(*rounds, strict=True)
        )
        first = first or used
        print(
            f"{name:<8} {used:>19.3f} {used / first:>7.2f} {median:>11.2f} {p99:>8.2f}"
        )


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--calls", type=int, default=2000, help="calls per round")
    parser.add_argument("--at-once", type=int, default=16)
    options = parser.parse_args(arguments)
    results = asyncio.run(play(options.rounds, options.calls, options.at_once))
    print_results(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
