"""Records of the backend servers that have told this daemon that they leave.

A backend server whose leave was acknowledged counts on getting no new work soon after.
If only this process knew of it, its successor after a kill would believe a "ready"
heartbeat that was sent before and arrives late, and requests would be lost when the
backend server exits. So a leave is acknowledged once it is recorded in the store, and
a daemon that starts reads the records before it believes a heartbeat.

Each backend server has a key of its own: a write that the store executes late, after
its answer was lost, changes no other's.
"""

import asyncio
import json
from typing import NamedTuple

from .. import background, events
from ..logservice import keyed
from ..starts import Leave
from . import values
from .recordkeeping import INSTANCES_TOPIC
from .records import LEAVE_PREFIX
from .store import StoreError

# Seconds before another attempt to write or read.
RETRY_DELAY = 0.4
# Seconds between two checks whether the records have been read.
READ_CHECK_INTERVAL = 0.1
# Seconds between two searches for old records. A record is deleted by the second one
# that finds it: no heartbeat is that late.
CLEANUP_INTERVAL = 600.0
_SEPARATOR = "/"


class RecordedLeave(NamedTuple):
    """Event: the leave of a backend server is in the store.

    Attributes:
        identity: Identifier of the backend server.
        start_time_ms: Its start time in milliseconds, None if unknown.
        presumed_until_ms: Start time up to which other starts presumably left too.
        seconds: Seconds that it took to record it.
    """

    identity: str
    start_time_ms: int | None
    presumed_until_ms: int | None
    seconds: float


class RestoredLeaves(NamedTuple):
    """Event: the records of leaves have been read at the start.

    Attributes:
        identities: Identifiers of the backend servers of this daemon that leave or have
            left.
    """

    identities: tuple[str, ...]


class LeaveRecords:
    """The leaves of one daemon's backend servers in the store.

    Args:
        store: `store.Store`.
        address: Address of the daemon, which its successor has too.
        apply: Function called with `starts.Leave` tuples that were read.
        has_records: Function that returns whether this daemon has a copy of the topic,
            which may be older than the topic.

    Attributes:
        is_read: Whether they have been read.
    """

    def __init__(self, store, address, apply, has_records):
        self._store = store
        self._address = address
        self._apply = apply
        self._has_records = has_records
        # Leaves of this daemon's backend servers that earlier processes recorded.
        self._known = ()
        self._background = background.Background()
        # Tasks that write a leave, also those that are done; and the latest of each
        # backend server, by its identifier.
        self._writes = {}
        self._latest_writes = {}
        self.is_read = False

    def begin_write(self, leave):
        """Write a leave to the store, unless that has begun already."""
        if leave not in self._writes:
            before = self._latest_writes.get(leave.identity)
            task = self._background.start(self._write(leave, before))
            self._writes[leave] = self._latest_writes[leave.identity] = task

    async def write(self, leave, seconds):
        """Write a leave to the store; return whether it is there in time.

        Args:
            leave: `starts.Leave`.
            seconds: Seconds to wait. The write goes on after them.
        """
        self.begin_write(leave)
        done, _ = await asyncio.wait([self._writes[leave]], timeout=seconds)
        return bool(done)

    async def maintain(self, is_cleaner):
        """Read the leaves, then delete records of no more use, until cancelled.

        Args:
            is_cleaner: Function that returns whether this daemon deletes old records.
        """
        while not self.is_read:
            # The daemon reads the topic in any case, unless others were faster.
            if self._has_records():
                await self._read()
            await asyncio.sleep(READ_CHECK_INTERVAL)
        before = frozenset()
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL)
            if is_cleaner():
                before = await self._delete_known(before)

    def close(self):
        """End all writes."""
        for task in self._writes.values():
            task.cancel()

    def apply_records(self, changed):
        """Apply this daemon's leaves among changed records of the topic.

        Other daemons may have handed them on, so there may be newer ones.
        """
        leaves = _list_leaves(changed, self._address)
        if leaves:
            self._known += leaves
            self._apply(leaves)

    def note_read(self):
        """Note that this process has read the topic from the store and applied it."""
        if self.is_read:
            return
        self.is_read = True
        identities = tuple(leave.identity for leave in self._known)
        events.write("leaves", RestoredLeaves(identities))
        self._apply(self._known)

    async def _read(self):
        try:
            page = await self._store.read_newest(INSTANCES_TOPIC)
        except StoreError as error:
            events.write("leaves-unread", events.Message(str(error)))
            await asyncio.sleep(RETRY_DELAY)
            return
        self._known = _list_leaves(page.records, self._address)
        self.note_read()

    async def _write(self, leave, before):
        """Write a leave once the write `before` it, of the same record, has ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if before is not None:
            await asyncio.wait([before])
        record = keyed.Record(_build_key(self._address, leave), _encode_leave(leave))
        while not await self._try_append(record):
            await asyncio.sleep(RETRY_DELAY)
        seconds = round(loop.time() - started_at, 3)
        events.write("leave", RecordedLeave(*leave, seconds))

    async def _delete_known(self, before):
        """Delete the records that were there before; return those that are new."""
        try:
            page = await self._store.read_newest(INSTANCES_TOPIC)
        except StoreError as error:
            events.write("leaves-unread", events.Message(str(error)))
            return before
        keys = (record.key for record in page.records)
        present = frozenset(key for key in keys if key.startswith(LEAVE_PREFIX))
        for key in sorted(present & before):
            await self._try_append(keyed.Record(key, b""))
        return present - before

    async def _try_append(self, record):
        try:
            await self._store.append(INSTANCES_TOPIC, record)
        except StoreError as error:
            events.write("leave-not-written", events.Message(str(error)))
            return False
        return True


def _build_prefix(address):
    return LEAVE_PREFIX + address + _SEPARATOR


def _build_key(address, leave):
    return _build_prefix(address) + leave.identity


def _encode_leave(leave):
    return json.dumps(leave._asdict()).encode()


def _list_leaves(records, address):
    """Return the `Leave` tuples of a daemon's backend servers among all records."""
    prefix = _build_prefix(address)
    own = [each for each in records if each.key.startswith(prefix) and each.value]
    leaves = []
    for record in own:
        try:
            leaves.append(decode_leave(record.value))
        except ValueError as error:
            events.write("record-unread", events.Message(f"{record.key}: {error}"))
    return tuple(leaves)


def decode_leave(value):
    """Return the `starts.Leave` of a record's value.

    Raises:
        ValueError: When the value isn't the record of a leave.
    """
    fields = values.parse_object(value)
    if not isinstance(fields.get("identity"), str):
        raise ValueError("identity must be a string")
    # Daemons of the previous release don't write the second.
    times = [fields.get(name) for name in ("start_time_ms", "presumed_until_ms")]
    for time in times:
        if time is not None:
            values.parse_number(time)
    return Leave(fields["identity"], *times)
