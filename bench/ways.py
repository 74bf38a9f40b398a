"""Three ways of calls between daemons, side by side in one run.

``python -m bench.ways``. Each way carries the same typed request and answer, with
its own encoding, between two ends in this process, so the processor time counted
is that of client and server together. Rounds of all ways take turns, so that a busy
machine slows all of them alike; what counts is the ratio to the first.

- frames: msgpack over one connection for each pair (`whinwinch.daemons.links`)
- http: the same bytes as body of a POST over kept connections
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
# As on the platform's meshes: a request of some headers, an answer of a kilobyte.
HEADERS = tuple((f"X-Header-{number}", "v" * 24) for number in range(6))
BODY = b"." * 1000
DEADLINE_SECONDS = 60.0


class Round(NamedTuple):
    """What the calls of one round cost.

    Attributes:
        used: Processor seconds for each call.
        median: Median seconds of a call.
        slowest: 99th percentile of these.
    """

    used: float
    median: float
    slowest: float


def build_request():
    """Return one more request, as a daemon sends it."""
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
    """Return the answer that every server of this page gives."""
    return messages.Answer(
        request.attempt, messages.Outcome.COMPLETED, status=200, body=BODY
    )


async def open_frames():
    """Return a call over frames, and what closes both ends."""
    serving = exchange.Exchange(frames.Hello("s", "s"), answer_at_once, None)
    port = await serving.listen(LOCAL, 0)
    peers = links.Peers(frames.Hello("c", "c"), lambda address, news: None)
    # A daemon introduces itself before anything else.
    serving.news = frames.News(messages.Endpoint("s", "s", ""))
    peer = peers.find(f"{LOCAL}:{port}")

    async def close():
        peers.close()
        serving.close()

    return peer.call, close


async def open_http():
    """Return a call over HTTP, and what closes both ends."""
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
    """Return a call over gRPC, and what closes both ends.

    The messages are the bytes of the frames: what is compared is the way.
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
    ask = channel.unary_unary("/Peer/Call", encode, decode)

    async def call(request):
        return (await ask(frames.Call(1, request))).answer

    async def close():
        await channel.close()
        await serving.stop(None)

    return call, close


WAYS = {"frames": open_frames, "http": open_http, "grpc": open_grpc}


async def play_round(call, calls, at_once):
    """Make some calls, a number of them at once, and return their `Round`."""
    seconds = []

    async def work(count):
        for _ in range(count):
            request = build_request()
            began = time.perf_counter()
            answer = await call(request)
            seconds.append(time.perf_counter() - began)
            if answer.body != BODY or answer.attempt != request.attempt:
                raise RuntimeError("another answer than was asked for")

    used = time.process_time()
    await asyncio.gather(*(work(calls // at_once) for _ in range(at_once)))
    used = time.process_time() - used
    seconds.sort()
    slowest = seconds[math.ceil(0.99 * len(seconds)) - 1]
    return Round(used / len(seconds), statistics.median(seconds), slowest)


async def play(rounds, calls, at_once):
    """Return the `Round` tuples of each way, by its name."""
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
    """Print a line a way: medians over the rounds, and the ratio to the first."""
    print("way      processor ms a call   ratio   median ms   p99 ms")
    first = None
    for name, rounds in results.items():
        used, median, slowest = (
            1000 * statistics.median(values) for values in zip(*rounds, strict=True)
        )
        first = first or used
        print(
            f"{name:<8} {used:>19.3f} {used / first:>7.2f} {median:>11.2f}"
            f" {slowest:>8.2f}"
        )


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--calls", type=int, default=2000, help="in each round")
    parser.add_argument("--at-once", type=int, default=16)
    options = parser.parse_args(arguments)
    results = asyncio.run(play(options.rounds, options.calls, options.at_once))
    print_results(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
