"""Bytes and processor time of one gossip exchange over real gRPC."""

import socket
import threading
import time
from typing import NamedTuple

from whinwinch.daemons import client, peer_pb2, server

CHUNK = 65536
EXCHANGES = 300


class Counter:
    """Forwards TCP connections to a port and counts the bytes both ways."""

    def __init__(self, port):
        self.bytes = 0
        self.connections = 0
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Take no more connections."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                inward, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            outward = socket.create_connection(("127.0.0.1", self._port))
            for ends in ((inward, outward), (outward, inward)):
                threading.Thread(target=self._pump, args=ends, daemon=True).start()

    def _pump(self, source, target):
        while True:
            try:
                data = source.recv(CHUNK)
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                self.bytes += len(data)
                target.sendall(data)
            except OSError:
                return


class Wire(NamedTuple):
    """What exchanges cost beside their messages.

    Attributes:
        first_bytes: Bytes of a new connection with its first exchange.
        bytes: Bytes of each further exchange, both ways, without TCP/IP headers.
        microseconds: Processor time of an exchange, asker and answerer together.
    """

    first_bytes: float
    bytes: float
    microseconds: float


def measure_wire(message_bytes):
    """Measure exchanges whose message and answer have about so many bytes."""
    payload = "x" * message_bytes
    answer = peer_pb2.GossipAnswer(sender=payload)
    message = peer_pb2.GossipMessage(sender=payload)
    port = _find_port()
    servicer = server.PeerServicer(None, lambda _: answer, time.monotonic, "")
    serving = server.start_server(servicer, f"127.0.0.1:{port}")
    counter = Counter(port)
    direct = client.PeerClient(time.monotonic, "")
    counted = client.PeerClient(time.monotonic, "")
    try:
        bytes_of = _count_bytes(counted, counter, message)
        microseconds = _time_exchanges(direct, f"127.0.0.1:{port}", message)
    finally:
        counted.close()
        direct.close()
        counter.close()
        serving.stop(None).wait()
    return Wire(*bytes_of, microseconds)


def _count_bytes(peers, counter, message):
    address = f"127.0.0.1:{counter.port}"
    peers.gossip(address, message, 5.0)
    first = counter.bytes
    for _ in range(EXCHANGES):
        peers.gossip(address, message, 5.0)
    return first, (counter.bytes - first) / EXCHANGES


def _time_exchanges(peers, address, message):
    for _ in range(EXCHANGES):
        peers.gossip(address, message, 5.0)
    start = time.process_time()
    for _ in range(EXCHANGES):
        peers.gossip(address, message, 5.0)
    return (time.process_time() - start) / EXCHANGES * 1e6


def _find_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]
