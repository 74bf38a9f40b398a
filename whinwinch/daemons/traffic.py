"""Bytes sent to other daemons, by kind of message and by availability zone.

Bytes between zones are dear and their causes many: answers, what daemons tell each
other, signs of life. Counted by kind, the cause can be read off a running mesh.
"""

from typing import NamedTuple


class Sent(NamedTuple):
    """What was sent to other daemons, since the start or in a span of time.

    Attributes:
        kind: Kind of message, the name of its type in `frames`.
        place: `SAME_ZONE` or `OTHER_ZONE`.
        frames: How many.
        size: Their bytes.
    """

    kind: str
    place: str
    frames: int
    size: int


SAME_ZONE = "same-zone"
OTHER_ZONE = "other-zone"


class Traffic:
    """Counts what one daemon sends.

    Args:
        is_far: Function from the address of a daemon to whether it is known to be in
            another availability zone.
    """

    def __init__(self, is_far=lambda address: False):
        self._is_far = is_far
        # By type of message and whether it went far: messages, bytes.
        self._counts = {}

    def note(self, kind, address, size, count=1):
        """Count messages of one type to the daemon of an address."""
        key = kind, self._is_far(address)
        frames, total = self._counts.get(key, (0, 0))
        self._counts[key] = frames + count, total + size

    def list_sent(self):
        """Return what was sent since the start, as `Sent` tuples."""
        return tuple(
            Sent(kind.__name__.lower(), OTHER_ZONE if far else SAME_ZONE, *counts)
            for (kind, far), counts in self._counts.items()
        )


def subtract(later, earlier):
    """Return what was sent between two times, given what was until each.

    Args:
        later: `Sent` tuples of the later time.
        earlier: Those of the earlier time.
    """
    before = {sent[:2]: sent for sent in earlier}
    return tuple(
        sent._replace(frames=sent.frames - was.frames, size=sent.size - was.size)
        for sent in later
        if (was := before.get(sent[:2], sent._replace(frames=0, size=0))) != sent
    )
