"""Limit on the response bodies that a client holds in memory at once.

Servers that send bodies without end may do so on many connections at the same time.
Each body has a maximum size, but all of them together would still fill the memory.
"""

# Bytes of each body that don't count, so that the usual small ones are always accepted.
UNCOUNTED_BYTES = 64 << 10


class BodyBudget:
    """Bytes of bodies that are being received.

    Args:
        max_bytes: Maximum number of bytes counted.
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._taken = 0

    def try_take(self, size):
        """Count bytes that are to be held; return whether they are allowed."""
        if self._taken + size > self._max_bytes:
            return False
        self._taken += size
        return True

    def give_back(self, size):
        """Count bytes as released."""
        self._taken -= size
