"""Distribution of configuration records from the log to every daemon.

Load pattern: 4,500 daemons need every change within seconds, but only a few of them
may read the log. A daemon that receives a record, from the log or from a peer,
applies it and forwards it. Records are applied in the order of their offsets and
older ones are ignored, so it doesn't matter how often, from whom or in which order
they arrive.

The relay also tracks the age of the configuration: the time since a reader last
found no newer record in the log. That age is sent along with the offset. Without it
a daemon could not distinguish a log without changes from one that can't be read.
"""

import bisect
import math
import operator

# Maximum size of the records in one answer, in bytes; the first record may exceed
# it. A daemon that has just started repeats its request until it has caught up.
MAX_ANSWER_BYTES = 64 * 1024
# Maximum size of the records kept for peers, in bytes. A change has some hundred
# bytes, so this holds more than a day of 1,600 changes.
MAX_STORE_BYTES = 2 * 1024 * 1024
# Factor of that limit up to which records that no snapshot covers are kept.
HARD_LIMIT_FACTOR = 2


class Relay:
    """Applies configuration records and provides them to peers.

    Args:
        apply_record: Function from a `client.Record` to whether it was applied. It
            rejects a record that would leave a gap.
        records_from: Function from an offset to a tuple of the records that bring
            a peer that has everything before it up to date.
        find_offset: Function that returns the offset of the next record to apply.
    """

    def __init__(self, apply_record, records_from, find_offset):
        self._apply_record = apply_record
        self._records_from = records_from
        self._find_offset = find_offset
        self._confirmed = -math.inf

    @property
    def offset(self):
        """Offset of the next record to apply."""
        return self._find_offset()

    def apply_records(self, records):
        """Apply the records that are new.

        A peer may be behind, and late messages carry old records. Applying an old
        record would restore a configuration that was replaced.

        Returns:
            The number of records applied.
        """
        applied = 0
        for record in records:
            if record.offset >= self._find_offset() and self._apply_record(record):
                applied += 1
        return applied

    def list_records(self, offset, limit=MAX_ANSWER_BYTES):
        """Return records for a peer, from the next offset that it needs.

        Returns at least one record, if there is any, and more as long as they fit
        into `limit` bytes.
        """
        if offset >= self._find_offset():
            return ()
        chosen = []
        size = 0
        for record in self._records_from(offset):
            size += len(record.data)
            if chosen and size > limit:
                break
            chosen.append(record)
        return tuple(chosen)

    def record_log_end(self, offset, age, now):
        """Record that the log's next offset was `offset`, `age` seconds ago.

        This does not confirm the local configuration while it is behind the
        offset.
        """
        if offset <= self._find_offset():
            self._confirmed = max(self._confirmed, now - age)

    def find_age(self, now):
        """Return the seconds since the configuration was last confirmed as current.

        The age is infinite if the configuration was never confirmed.
        """
        return now - self._confirmed


class RecordStore:
    """Recent configuration records, kept in memory to be sent to peers.

    Args:
        find_covered: Function from a record's data to the offset before which a
            snapshot covers everything, or None if it is not a snapshot.
        limit: Maximum size of the records kept, in bytes. Records that the newest
            snapshot doesn't cover are kept up to `HARD_LIMIT_FACTOR` times that
            size, since a peer that starts needs all of them.
    """

    def __init__(self, find_covered, limit=MAX_STORE_BYTES):
        self._find_covered = find_covered
        self._limit = limit
        self._records = []
        self._size = 0
        self._snapshot = None
        self._covered = 0

    def add(self, record):
        """Store a record that has been applied.

        The stored records have no gap. A snapshot that was installed out of order
        is stored separately, and the records stored before it are dropped: the
        records that it doesn't cover follow, and a peer that received the snapshot
        without them could not proceed.
        """
        covered = self._find_covered(record.data)
        if covered is not None and covered >= self._covered:
            self._snapshot, self._covered = record, covered
        next_offset = self._records[-1].offset + 1 if self._records else None
        if covered is not None and record.offset != next_offset:
            if next_offset is None or covered > next_offset:
                self._clear()
            return
        if next_offset is not None and record.offset < next_offset:
            return
        if next_offset is not None and record.offset > next_offset:
            self._clear()
        self._records.append(record)
        self._size += len(record.data)
        while self._is_droppable(self._records[0]):
            self._size -= len(self._records.pop(0).data)

    def _clear(self):
        self._records.clear()
        self._size = 0

    def records_from(self, offset):
        """Return the records that a peer with everything before `offset` needs.

        Returns the records from the offset on if all of them are stored, otherwise
        the newest snapshot and the records that it doesn't cover. If neither is
        stored, returns nothing: a peer can't apply records after a gap.
        """
        if self._keeps(offset):
            return tuple(self._records[self._find_index(offset) :])
        if self._snapshot is None or self._snapshot.offset < offset:
            return ()
        if not self._keeps(self._covered):
            return (self._snapshot,)
        return (self._snapshot, *self._records[self._find_index(self._covered) :])

    def _is_droppable(self, record):
        if self._snapshot is not None and record.offset >= self._covered:
            return (
                self._size > HARD_LIMIT_FACTOR * self._limit and len(self._records) > 1
            )
        return self._size > self._limit and len(self._records) > 1

    def _keeps(self, offset):
        return bool(self._records) and offset >= self._records[0].offset

    def _find_index(self, offset):
        key = operator.attrgetter("offset")
        return bisect.bisect_left(self._records, offset, key=key)
