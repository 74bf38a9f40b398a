"""Local copy of a keyed topic of the log, which any daemon can replicate to peers.

Load pattern: hundreds of daemons need every change within two seconds, but only a
few of them may read the log. A daemon with a newer copy therefore sends its peers
the records from their offset on. Copies only move forward: late, duplicate or older
messages change nothing, whichever peer sends them.

A reader whose calls to the log hang would act on an outdated configuration for the
duration of the read. It therefore applies what peers report like every other
daemon, and a daemon whose peers report nothing reads the log itself.
"""

import math
from typing import NamedTuple

# Seconds to wait for requested records before they are requested from another peer.
REQUEST_TIMEOUT = 0.3
# Maximum number of deleted keys that are kept to be sent to peers. Daemons are
# replaced every day, and their addresses would otherwise accumulate for weeks.
MAX_DELETED_KEYS = 1000


class Record(NamedTuple):
    """A record of a keyed topic.

    Attributes:
        key: Key of the record.
        value: Value of the key; b"" deletes the key.
        offset: Offset of the record in the topic.
    """

    key: str
    value: bytes
    offset: int = 0


class TopicCopy:
    """The newest record of each key that has reached this daemon.

    Args:
        apply: Function called with the new `Record` tuples in the order of their
            offsets; a deleted key has an empty value.

    Attributes:
        end: Offset after the last record of the copy.
        is_initialized: Whether the copy has ever covered the topic up to its end.
    """

    def __init__(self, apply):
        self._apply = apply
        self._records = {}
        # Keys deleted before this offset are no longer stored.
        self._deletions_floor = 0
        self.end = 0
        self.is_initialized = False

    def apply_records(self, records, start, end):
        """Apply the records from a start offset to an end offset.

        Args:
            records: `Record` tuples, at least the newest of each key.
            start: Offset from which on no record is missing.
            end: Offset after the last of the records.

        Returns:
            Whether the copy now reaches the end. Records that would leave a gap are
            not applied.
        """
        if start > self.end:
            return False
        self._apply_newer(records, end)
        return True

    def apply_listing(self, records, end):
        """Apply a listing of the newest record of each key.

        A listing that is older than the copy changes nothing.

        Args:
            records: `Record` tuples, one for each existing key.
            end: Offset up to which the topic was read for the listing.
        """
        if self.is_initialized and end < self.end:
            return
        listed = {record.key for record in records}
        dropped = [
            Record(key, b"", end - 1)
            for key, record in self._records.items()
            if key not in listed and record.value
        ]
        self._apply_newer([*records, *dropped], end)

    def list_newer(self, start):
        """Return the records that bring another copy up to date.

        Args:
            start: Offset at which the other copy ends.

        Returns:
            `Record` tuples in the order of their offsets. None if this copy was
            never complete or may no longer store a key that was deleted after
            `start`.
        """
        if not self.is_initialized or 0 < start < self._deletions_floor:
            return None
        newer = [r for r in self._records.values() if r.offset >= start]
        return tuple(sorted(newer, key=_get_offset))

    def _apply_newer(self, records, end):
        newest = {}
        for record in sorted(records, key=_get_offset):
            if record.offset >= self.end:
                newest.pop(record.key, None)
                newest[record.key] = record
        changed = tuple(r for r in newest.values() if self._records.get(r.key) != r)
        self._records.update((record.key, record) for record in changed)
        self._discard_deleted()
        self.end = max(self.end, end)
        is_first = not self.is_initialized
        self.is_initialized = True
        if changed or is_first:
            self._apply(changed)

    def _discard_deleted(self):
        dropped = [record for record in self._records.values() if not record.value]
        if len(dropped) <= MAX_DELETED_KEYS:
            return
        dropped.sort(key=_get_offset)
        for record in dropped[: MAX_DELETED_KEYS // 2]:
            del self._records[record.key]
            self._deletions_floor = record.offset + 1


class FollowedTopic:
    """Freshness of a copy, and the decision whether to read the log for it.

    Args:
        copy: `TopicCopy` of the topic.
        max_unconfirmed_age: Seconds without a confirmation that the copy is current
            after which the daemon reads the log itself.
    """

    def __init__(self, copy, max_unconfirmed_age):
        self.copy = copy
        self._max_unconfirmed_age = max_unconfirmed_age
        self._confirmed = -math.inf
        # The highest end that peers have reported, and when it was last reported.
        self._reported_end = 0
        self._reported_time = -math.inf
        self._requested = -math.inf

    def record_read(self, end, now):
        """Record that the log was read up to an end.

        Args:
            end: Offset after the last record that was read.
            now: Time of the loop's clock in seconds.

        Returns:
            Whether that confirms the copy. A read that hung while peers reported
            a higher end, or a log that answers with outdated data, confirms
            nothing.
        """
        if end < self.copy.end:
            return False
        self._confirmed = now
        return True

    def apply_end(self, end, now):
        """Apply the end of the topic that a peer has just read from the log.

        Args:
            end: Offset after the topic's last record.
            now: Time of the loop's clock in seconds.

        Returns:
            Whether to request the missing records from that peer.
        """
        if self.copy.is_initialized and end <= self.copy.end:
            self.record_read(end, now)
            return False
        if end >= self._reported_end:
            self._reported_end, self._reported_time = end, now
        if now - self._requested < REQUEST_TIMEOUT:
            return False
        self._requested = now
        return True

    def should_request_all(self, now):
        """Return whether to request the whole topic from a newly connected peer.

        Hundreds of peers connect where all daemons start together. If the topic
        were requested from each of them, each would send all of it.
        """
        if self.copy.is_initialized or now - self._requested < REQUEST_TIMEOUT:
            return False
        self._requested = now
        return True

    def apply_records(self, records, start, end):
        """Apply the records that a peer has sent, as in `TopicCopy.apply_records`."""
        if self.copy.apply_records(records, start, end):
            self._requested = -math.inf
            if self.copy.end >= self._reported_end:
                self._confirmed = max(self._confirmed, self._reported_time)

    def must_read(self, is_reader, now):
        """Return whether this daemon should read the log now.

        Args:
            is_reader: Whether this daemon reads the log on behalf of others.
            now: Time of the loop's clock in seconds.
        """
        if is_reader or not self.copy.is_initialized:
            return True
        return now - self._confirmed > self._max_unconfirmed_age


def _get_offset(record):
    return record.offset
