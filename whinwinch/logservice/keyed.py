"""Copy of a keyed topic of the log, which any daemon can hand on.

Load pattern: hundreds of daemons want every change within two seconds, and the log
is to be read by a few of them only. So whoever has a newer copy hands on what is
behind the offset of the other. Copies move forward only: late, doubled or older
messages change nothing, from whomever they come.

What could go wrong is a reader whose calls to the log hang: it would answer as an
older configuration says for as long as the read is out. It takes what peers tell
like everyone else, and a daemon whose peers tell nothing reads by itself.
"""

import math
from typing import NamedTuple

# Until a peer that was asked for records is given up and another one asked.
ASK_SECONDS = 0.3
# Keys that have gone and are still handed on. Daemons are replaced every day, and
# their addresses would pile up for weeks.
MOST_DROPPED = 1000


class Record(NamedTuple):
    """A record of a keyed topic.

    Attributes:
        key: Its key.
        value: Its value; b"" drops the key.
        offset: Its place in the topic.
    """

    key: str
    value: bytes
    offset: int = 0


class Copy:
    """The newest record of each key, as far as this daemon knows.

    Args:
        apply: Function that is given the `Record` tuples that are new, in the order
            of their offsets; a key that has gone comes with an empty value.

    Attributes:
        end: Offset behind the last record known.
        is_known: Whether the topic was ever read to its end.
    """

    def __init__(self, apply):
        self._apply = apply
        self._records = {}
        # Keys that had gone before this offset are forgotten.
        self._floor = 0
        self.end = 0
        self.is_known = False

    def take(self, records, start, end):
        """Take the records from an offset to an end.

        Args:
            records: `Record` tuples, at least the newest of each key.
            start: Offset from which on none is missing.
            end: Offset behind the last of them.

        Returns:
            Whether the copy now reaches the end. Records that would leave a gap are
            not taken.
        """
        if start > self.end:
            return False
        self._take_newer(records, end)
        return True

    def take_newest(self, records, end):
        """Take the newest record of each key, read up to an end.

        A listing that is older than the copy changes nothing.
        """
        if self.is_known and end < self.end:
            return
        listed = {record.key for record in records}
        dropped = [
            Record(key, b"", end - 1)
            for key, record in self._records.items()
            if key not in listed and record.value
        ]
        self._take_newer([*records, *dropped], end)

    def give(self, start):
        """Return the records that bring a copy up to date that ends at an offset.

        None where a key that has gone since may be forgotten here.
        """
        if not self.is_known or 0 < start < self._floor:
            return None
        newer = [r for r in self._records.values() if r.offset >= start]
        return tuple(sorted(newer, key=_get_offset))

    def _take_newer(self, records, end):
        newest = {}
        for record in sorted(records, key=_get_offset):
            if record.offset >= self.end:
                newest.pop(record.key, None)
                newest[record.key] = record
        changed = tuple(r for r in newest.values() if self._records.get(r.key) != r)
        self._records.update((record.key, record) for record in changed)
        self._forget_dropped()
        self.end = max(self.end, end)
        is_first = not self.is_known
        self.is_known = True
        if changed or is_first:
            self._apply(changed)

    def _forget_dropped(self):
        dropped = [record for record in self._records.values() if not record.value]
        if len(dropped) <= MOST_DROPPED:
            return
        dropped.sort(key=_get_offset)
        for record in dropped[: MOST_DROPPED // 2]:
            del self._records[record.key]
            self._floor = record.offset + 1


class Following:
    """What is known of how new a copy is, and whether to read the log.

    Args:
        copy: `Copy`.
        patience: Seconds after which a copy that nobody has confirmed is read from
            the log by whoever holds it.
    """

    def __init__(self, copy, patience):
        self.copy = copy
        self._patience = patience
        self._confirmed = -math.inf
        # The farthest end that peers told of, and when they did last.
        self._told_end = 0
        self._told_time = -math.inf
        self._asked = -math.inf

    def note_read(self, end, now):
        """Note that the log was read up to an end.

        Returns:
            Whether that confirms the copy. A read that hung while peers told of more,
            or a log that answers with what it held before, confirms nothing.
        """
        if end < self.copy.end:
            return False
        self._confirmed = now
        return True

    def take_end(self, end, now):
        """Take the end of the topic, as a peer has just read it from the log.

        Returns:
            Whether to ask that peer for what is missing.
        """
        if self.copy.is_known and end <= self.copy.end:
            self.note_read(end, now)
            return False
        if end >= self._told_end:
            self._told_end, self._told_time = end, now
        if now - self._asked < ASK_SECONDS:
            return False
        self._asked = now
        return True

    def ask_all(self, now):
        """Return whether to ask a peer that has come for the whole topic.

        Peers come by the hundred where all start together: asked by each newcomer,
        each would send all of it.
        """
        if self.copy.is_known or now - self._asked < ASK_SECONDS:
            return False
        self._asked = now
        return True

    def take_records(self, records, start, end):
        """Take what a peer has sent."""
        if self.copy.take(records, start, end):
            self._asked = -math.inf
            if self.copy.end >= self._told_end:
                self._confirmed = max(self._confirmed, self._told_time)

    def must_read(self, is_reader, now):
        """Return whether this daemon should read the log now.

        Args:
            is_reader: Whether it is among those that read for the others.
            now: Time of the loop's clock in seconds.
        """
        if is_reader or not self.copy.is_known:
            return True
        return now - self._confirmed > self._patience


def _get_offset(record):
    return record.offset
