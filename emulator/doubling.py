"""A backend server that sends a second, late copy of some answers."""

import asyncio
import random

from . import backend

LOCAL = "127.0.0.1"
HEAD_END = b"\r\n\r\n"
LENGTH_NAME = b"content-length"


class DoublingBackend(backend.Backend):
    """A backend server behind connections on which answers may come twice.

    The copy is sent when the next request of the connection has come, before its own
    answer.

    Attributes:
        doubled_share: Share of the answers of which a copy is sent.
        copies: Number of copies sent.
    """

    def __init__(self, identity, service, slots, work_by_prefix, seed=0):
        super().__init__(identity, service, slots, work_by_prefix, seed)
        self.doubled_share = 0.0
        self.copies = 0
        self._copy_random = random.Random(seed)
        self._inner_port = 0
        self._listener = None
        self._writers = set()

    async def listen(self, host=LOCAL, port=0):
        """Start serving and return the port."""
        self._inner_port = await super().listen(host)
        self._listener = await asyncio.start_server(self._relay, host, port)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        return port

    def close(self):
        """Close all connections."""
        super().close()
        self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _relay(self, reader, writer):
        """Relay the requests and answers of one connection, with copies."""
        inner_reader, inner_writer = await asyncio.open_connection(
            LOCAL, self._inner_port
        )
        self._writers |= {writer, inner_writer}
        late = b""
        try:
            while True:
                request = await _read_message(reader)
                writer.write(late)
                self.copies += bool(late)
                inner_writer.write(request)
                answer = await _read_message(inner_reader)
                writer.write(answer)
                is_doubled = self._copy_random.random() < self.doubled_share
                late = answer if is_doubled else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers -= {writer, inner_writer}
            writer.close()
            inner_writer.close()


async def _read_message(reader):
    """Return the bytes of one HTTP message whose body has a stated length, or none."""
    head = await reader.readuntil(HEAD_END)
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.strip().lower() == LENGTH_NAME:
            return head + await reader.readexactly(int(value))
    return head
