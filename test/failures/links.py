"""A connection between two daemons that a test can cut, one way or both."""

import contextlib
import socket
import threading

CHUNK = 65536


class Link:
    """Carries bytes to a target, until it is cut.

    A cut way swallows bytes and says nothing, as a network does that loses
    every packet; the sender can't tell it from a slow receiver.
    """

    def __init__(self, host, port):
        self._target = (host, port)
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._open = {"there": threading.Event(), "back": threading.Event()}
        self._sockets = []
        self.mend()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, there=True, back=True):
        """Swallow what goes there, comes back, or both."""
        if there:
            self._open["there"].clear()
        if back:
            self._open["back"].clear()

    def mend(self):
        """Carry everything again, over new connections."""
        for event in self._open.values():
            event.set()
        self._close_connections()

    def close(self):
        """End the link for good."""
        self._listener.close()
        self._close_connections()

    def _close_connections(self):
        sockets, self._sockets = self._sockets, []
        for one in sockets:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._connect(near)

    def _connect(self, near):
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        self._sockets += [near, far]
        for source, sink, way in ((near, far, "there"), (far, near, "back")):
            threading.Thread(
                target=self._carry, args=(source, sink, way), daemon=True
            ).start()

    def _carry(self, source, sink, way):
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK):
                if self._open[way].is_set():
                    sink.sendall(chunk)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
