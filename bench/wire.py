"""Measures the bytes and processor time of gossip exchanges over TCP."""

import asyncio
import time
from typing import NamedTuple

from whinwinch.daemons import exchange, frames, links

LOCAL = "127.0.0.1"
CHUNK = 65536
EXCHANGES = 300


class Counter:
    """Proxy that forwards TCP connections to a port and counts the bytes."""

    def __init__(self, port):
        self.bytes = 0
        self._port = port
        self._listener = None
        self._pumps = set()

    async def listen(self):
        """Start to accept connections; return the port."""
        self._listener = await asyncio.start_server(self._accept, LOCAL, 0)
        return self._listener.sockets[0].getsockname()[1]

    def close(self):
        """Stop accepting connections and close the open ones."""
        self._listener.close()
        for pump in self._pumps:
            pump.cancel()

    async def _accept(self, reader, writer):
        remote_reader, remote_writer = await asyncio.open_connection(LOCAL, self._port)
        for ends in ((reader, remote_writer), (remote_reader, writer)):
            pump = asyncio.create_task(self._pump(*ends))
            self._pumps.add(pump)

    async def _pump(self, reader, writer):
        while data := await reader.read(CHUNK):
            self.bytes += len(data)
            writer.write(data)
        writer.close()


class Wire(NamedTuple):
    """Costs of gossip exchanges. Bytes count both directions without TCP/IP headers.

    Attributes:
        first_bytes: Bytes of a new connection and its first exchange.
        bytes: Bytes of each further exchange, messages included.
        microseconds: Processor time of an exchange, client and server together.
    """

    first_bytes: float
    bytes: float
    microseconds: float


def measure_wire(message_bytes):
    """Measure exchanges whose message and answer have `message_bytes` each."""
    return asyncio.run(_measure(b"x" * message_bytes))


async def _measure(payload):
    async def answer(data):
        return data

    hello = frames.Hello("answerer", "answerer")
    serving = exchange.Exchange(hello, None, None, answer)
    port = await serving.listen(LOCAL, 0)
    counter = Counter(port)
    counted = await counter.listen()
    peers = links.Peers(frames.Hello("asker", "asker"), lambda *news: None)
    try:
        bytes_of = await _count_bytes(
            peers.find(f"{LOCAL}:{counted}"), counter, payload
        )
        microseconds = await _time_exchanges(peers.find(f"{LOCAL}:{port}"), payload)
    finally:
        peers.close()
        counter.close()
        serving.close()
    return Wire(*bytes_of, microseconds)


async def _count_bytes(peer, counter, payload):
    await peer.send_gossip(payload)
    first = counter.bytes
    for _ in range(EXCHANGES):
        await peer.send_gossip(payload)
    return first, (counter.bytes - first) / EXCHANGES


async def _time_exchanges(peer, payload):
    for _ in range(EXCHANGES):
        await peer.send_gossip(payload)
    start = time.process_time()
    for _ in range(EXCHANGES):
        await peer.send_gossip(payload)
    return (time.process_time() - start) / EXCHANGES * 1e6
