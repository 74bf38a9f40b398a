"""Configuration records on their way from the log to every daemon.

The load pattern: 4,500 daemons want every change within seconds, and the log
is to be read by a few of them only. Whoever gets a record, from the log or
from a peer, applies it and hands it on. Records are applied in the order of
their offsets and nothing older is ever taken, so it doesn't matter how often,
from whom or in which order they come.

The relay also keeps account of how old the configuration is: when a reader
last found nothing beyond it in the log. That age travels with the offset.
Without it a daemon could not tell a quiet log from one that nobody can read.
"""

import bisect
import math
import operator

# Most bytes of records in one answer, beyond the first record. A daemon that
# has just started asks again until it has caught up.
ANSWER_BYTES = 64 * 1024
# Bytes of records kept to hand on. A change is some hundred bytes, so this is
# a day of 1,600 changes with room to spare.
STORE_BYTES = 2 * 1024 * 1024
HARD_FACTOR = 2


class Relay:
    """Applies configuration records and hands them on.

    Args:
        apply_record: Takes a `client.Record`; returns whether it was taken.
            It refuses a record that would leave a gap.
        records_from: Takes an offset; returns the records that bring somebody
            who has everything before it up to date, as a tuple.
        find_offset: Returns the next offset wanted.
    """

    def __init__(self, apply_record, records_from, find_offset):
        self._apply_record = apply_record
        self._records_from = records_from
        self._find_offset = find_offset
        self._confirmed = -math.inf

    @property
    def offset(self):
        """Next offset wanted."""
        return self._find_offset()

    def take(self, records):
        """Apply the records that are new.

        A peer may be behind, and late messages carry old records. Applying
        one would bring back a configuration that was replaced.

        Returns:
            How many were taken.
        """
        taken = 0
        for record in records:
            if record.offset >= self._find_offset() and self._apply_record(record):
                taken += 1
        return taken

    def give(self, offset, limit=ANSWER_BYTES):
        """Return records for somebody whose next offset wanted is this.

        At least one, if there is any, and more while they fit into `limit`
        bytes.
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

    def confirm(self, offset, age, now):
        """Note that the log's next offset was `offset` that many seconds ago.

        It says nothing about this daemon's configuration while that is behind
        the offset.
        """
        if offset <= self._find_offset():
            self._confirmed = max(self._confirmed, now - age)

    def find_age(self, now):
        """Return the seconds since the configuration was known to be the newest.

        Infinite when it never was.
        """
        return now - self._confirmed


class RecordStore:
    """Recent configuration records, kept in memory to hand on to peers.

    Args:
        find_covered: Takes a record's data; returns the offset that it covers
            (everything before it) when it is a snapshot, else None.
        limit: Bytes kept. What the newest snapshot doesn't cover is kept beyond
            that, up to `HARD_FACTOR` times as much, since a peer that starts
            needs all of it.
    """

    def __init__(self, find_covered, limit=STORE_BYTES):
        self._find_covered = find_covered
        self._limit = limit
        self._records = []
        self._size = 0
        self._snapshot = None
        self._covered = 0

    def add(self, record):
        """Keep a record that has been applied.

        The records kept have no gap. A snapshot that was taken in out of turn
        is kept beside them, and what was kept before it is dropped: the
        records that it doesn't cover come next, and a peer that got the
        snapshot without them would be stuck.
        """
        covered = self._find_covered(record.data)
        if covered is not None and covered >= self._covered:
            self._snapshot, self._covered = record, covered
        wanted = self._records[-1].offset + 1 if self._records else None
        if covered is not None and record.offset != wanted:
            if wanted is None or covered > wanted:
                self._clear()
            return
        if wanted is not None and record.offset < wanted:
            return
        if wanted is not None and record.offset > wanted:
            self._clear()
        self._records.append(record)
        self._size += len(record.data)
        while self._is_droppable(self._records[0]):
            self._size -= len(self._records.pop(0).data)

    def _clear(self):
        self._records.clear()
        self._size = 0

    def records_from(self, offset):
        """Return what brings somebody up to date who has all before `offset`.

        The records from the offset on, when all of them are kept. Otherwise
        the newest snapshot and what it doesn't cover. Nothing when neither is
        kept: records after a gap would be of no use.
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
            return self._size > HARD_FACTOR * self._limit and len(self._records) > 1
        return self._size > self._limit and len(self._records) > 1

    def _keeps(self, offset):
        return bool(self._records) and offset >= self._records[0].offset

    def _find_index(self, offset):
        key = operator.attrgetter("offset")
        return bisect.bisect_left(self._records, offset, key=key)
