"""A proxy between two daemons that can drop traffic in one or both directions."""

import contextlib
import socket
import threading

CHUNK = 65536


class Link:
    """Forwards TCP connections to a target until it is cut.

    A cut direction drops all bytes and keeps its connections open, like a network
    that loses every packet; the sender can't distinguish it from a slow receiver.
    """

    def __init__(self, host, port):
        self._target = (host, port)
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._open = {"forward": threading.Event(), "backward": threading.Event()}
        self._sockets = []
        self.restore()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, forward=True, backward=True):
        """Drop the bytes to the target, from the target, or both."""
        if forward:
            self._open["forward"].clear()
        if backward:
            self._open["backward"].clear()

    def restore(self):
        """Forward both directions again, over new connections."""
        for event in self._open.values():
            event.set()
        self._close_connections()

    def close(self):
        """Close the listener and all connections."""
        self._listener.close()
        self._close_connections()

    def _close_connections(self):
        sockets, self._sockets = self._sockets, []
        for connection in sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client, _ = self._listener.accept()
                self._connect(client)

    def _connect(self, client):
        try:
            target = socket.create_connection(self._target)
        except OSError:
            client.close()
            return
        self._sockets += [client, target]
        for source, sink, direction in (
            (client, target, "forward"),
            (target, client, "backward"),
        ):
            threading.Thread(
                target=self._forward, args=(source, sink, direction), daemon=True
            ).start()

    def _forward(self, source, sink, direction):
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK):
                if self._open[direction].is_set():
                    sink.sendall(chunk)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
