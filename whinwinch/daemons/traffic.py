"""Counters of the messages sent to other daemons, by kind and zone.

Traffic between availability zones is expensive and has several sources: answers,
reports, pings. Counting it by kind shows the source on a running mesh.
"""

from typing import NamedTuple


class Sent(NamedTuple):
    """The messages of one kind sent to daemons of the same or of other zones.

    They are counted since the start or in an interval.

    Attributes:
        kind: Kind of message, the lower-case name of its type in `frames`.
        place: `SAME_ZONE` or `OTHER_ZONE`.
        frames: Number of messages.
        size: Their total size in bytes.
    """

    kind: str
    place: str
    frames: int
    size: int


SAME_ZONE = "same-zone"
OTHER_ZONE = "other-zone"


class Traffic:
    """Counts the messages and bytes that this daemon sends to others.

    Args:
        is_other_zone: Function from the address of a daemon to whether it is known to
            be in another availability zone.
    """

    def __init__(self, is_other_zone=lambda address: False):
        self._is_other_zone = is_other_zone
        # Numbers of messages and bytes, by type of message and whether the receiver
        # is in another zone.
        self._counts = {}

    def record_sent(self, kind, address, size, count=1):
        """Count messages of one type sent to an address.

        Args:
            kind: Type of the messages, one of `frames.KINDS`.
            address: Address of the receiving daemon.
            size: Their total size in bytes.
            count: Number of messages.
        """
        key = kind, self._is_other_zone(address)
        frames, total = self._counts.get(key, (0, 0))
        self._counts[key] = frames + count, total + size

    def list_sent(self):
        """Return the messages sent since the start as `Sent` tuples."""
        return tuple(
            Sent(kind.__name__.lower(), OTHER_ZONE if is_other else SAME_ZONE, *counts)
            for (kind, is_other), counts in self._counts.items()
        )


def subtract(later, earlier):
    """Return the messages sent between two times, without unchanged counts.

    Args:
        later: `Sent` tuples at the later time.
        earlier: `Sent` tuples at the earlier time.
    """
    before = {sent[:2]: sent for sent in earlier}
    return tuple(
        sent._replace(
            frames=sent.frames - previous.frames, size=sent.size - previous.size
        )
        for sent in later
        if (previous := before.get(sent[:2], sent._replace(frames=0, size=0))) != sent
    )
