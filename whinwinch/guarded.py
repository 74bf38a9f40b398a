"""State that request threads share, one at a time."""

import threading


class Guarded:
    """Lends its state to one thread at a time: `with guarded as state: ...`.

    Hold it for one decision only, never while waiting for the network: every
    request of the daemon would wait with you.
    """

    def __init__(self, state):
        self._state = state
        self._lock = threading.Lock()

    def __enter__(self):
        self._lock.acquire()
        return self._state

    def __exit__(self, *exception):
        self._lock.release()
