"""Accepted configuration, computed from the log's records in their order.

Load: 1,600 changes a day by operators and tools that make concurrent changes
while the log is slow or down. Without a single order, two daemons could accept
different changes of the same resource, and a reader that lags behind could
restore a resource that was replaced.

A change states the version that it replaces. Every reader accepts it if that is
still the current version at the change's offset in the log, and rejects it
otherwise. Bodies are not validated here: if two releases of this program
validated differently, their states would diverge. Bodies are validated before a
change is written and again, leniently, where they are used.

Readers only move forward, without gaps. A snapshot states the offset up to which
it covers the log and is installed only by a reader behind that offset. A snapshot
that a paused process writes late therefore changes nothing.
"""

import collections
import enum
import hashlib
import json
from typing import NamedTuple

FORMAT = 1

# Maximum number of accepted changes kept for watches. With 1,600 changes a day, a
# watch can be disconnected for more than half a day before it must list again.
MAX_HISTORY = 1_000

# Number of decisions kept to detect duplicate changes, and the seconds for which
# they are kept by the log's time; a decision is dropped when either is exceeded.
# A duplicate append arrives within seconds or minutes, so an hour is ample. The
# number bounds the memory and the snapshot size when the stream is flooded.
MAX_DECISIONS = 1_000
DECISION_RETENTION_SECONDS = 3_600.0

# Maximum size of a change record in bytes. Larger ones are rejected, so that no
# reader has to process an excessive record.
MAX_CHANGE_BYTES = 256 * 1024

# A snapshot is due after this number of records, so that a new daemon catches up
# in a few reads, or after this fraction of the retention, so that two consecutive
# writers may fail before the records it covers are dropped.
SNAPSHOT_INTERVAL_RECORDS = 500
SNAPSHOT_RETENTION_FRACTION = 1 / 3


class Change(NamedTuple):
    """A requested change of one resource.

    Attributes:
        change_id: Identifier of the change, the same in each copy of it.
        kind: Kind of the resource, for example ``service``.
        name: Name of the resource.
        replaces: Version that the change replaces; 0 if the resource must not
            exist yet.
        body: The resource's new body; None deletes the resource.
        author: Name of the operator or tool that made the change.
        made: Time of the change as stated by the author, as text.
    """

    change_id: str
    kind: str
    name: str
    replaces: int
    body: dict | None
    author: str
    made: str


class Resource(NamedTuple):
    """A resource in force.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        version: Offset of the change that created this version, plus one, so
            that the first record of the log has a version other than 0.
        body: The body.
        author: Author of that change.
        changed: The log's time of the change, in wall-clock seconds.
    """

    kind: str
    name: str
    version: int
    body: dict
    author: str
    changed: float


class ApplyReason(enum.Enum):
    """Reason why a record was accepted or not."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    DUPLICATE = "double"
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"
    ALREADY_READ = "read-before"
    GAP = "gap"


class ApplyResult(NamedTuple):
    """Result of applying one record.

    Attributes:
        accepted: Whether the change, or an earlier copy of it, was accepted.
        ground: Reason for the result.
        change: The `Change`, or None if the record contains none.
        version: Version that the change or its earlier copy created; 0 if none.
        present: Version of the resource before the change; 0 if it did not exist.
    """

    accepted: bool
    ground: ApplyReason
    change: Change | None = None
    version: int = 0
    present: int = 0


class Decision(NamedTuple):
    """Decision on a change, kept to detect duplicate copies.

    Attributes:
        change_id: Identifier of the change.
        accepted: Whether the first copy was accepted.
        version: Version that the first copy created, or 0.
        time: The log's time of the first copy.
    """

    change_id: str
    accepted: bool
    version: int
    time: float


class Event(NamedTuple):
    """An accepted change as reported to a watch.

    Attributes:
        version: Version of the configuration after the change.
        kind: Kind of the resource.
        name: Name of the resource.
        resource: The `Resource`, or None after a deletion.
        change_id: Identifier of the change.
        author: Author of the change.
        changed: The log's time of the change, in wall-clock seconds.
    """

    version: int
    kind: str
    name: str
    resource: Resource | None
    change_id: str
    author: str
    changed: float


class TooOld(NamedTuple):
    """Result for a watch whose version is too old; it must list again.

    Attributes:
        oldest: Oldest version after which all changes are still kept.
    """

    oldest: int


class Snapshot(NamedTuple):
    """The whole configuration after a prefix of the log.

    Attributes:
        covers: Offset up to which, exclusively, all records are covered.
        version: Version of the configuration.
        time: Highest log time of the covered records, in wall-clock seconds.
        resources: Every `Resource` in force.
        decisions: The kept `Decision` entries, oldest first.
    """

    covers: int
    version: int
    time: float
    resources: tuple[Resource, ...]
    decisions: tuple[Decision, ...]


class SnapshotPlan(NamedTuple):
    """Whether a snapshot should be written now.

    Attributes:
        due: Whether a snapshot is due.
        ground: Reason, for the log line.
    """

    due: bool
    ground: str


def encode_change(change):
    """Encode a `Change` as a log record."""
    return encode_record("change", change._asdict())


def encode_snapshot(snapshot):
    """Encode a `Snapshot` as a log record."""
    fields = snapshot._asdict()
    fields["resources"] = [list(resource) for resource in snapshot.resources]
    fields["decisions"] = [list(decision) for decision in snapshot.decisions]
    return encode_record("snapshot", fields)


def encode_record(kind, fields):
    """Encode the fields of a change or snapshot with a digest as a log record.

    The digest detects a snapshot that was truncated or altered in transit. A
    reader that installed a part of a snapshot would silently lose resources.
    """
    content = json.dumps(fields, separators=(",", ":"), sort_keys=True)
    digest = hashlib.sha256(content.encode()).hexdigest()
    head = {"format": FORMAT, "type": kind, "digest": digest, "content": content}
    return json.dumps(head, separators=(",", ":")).encode()


def decode_record(data):
    """Decode a record into a `Change` or `Snapshot`; return None if malformed."""
    try:
        head = json.loads(data)
        if head["format"] != FORMAT:
            return None
        content = head["content"]
        if hashlib.sha256(content.encode()).hexdigest() != head["digest"]:
            return None
        if head["type"] == "change" and len(data) > MAX_CHANGE_BYTES:
            return None
        return decode_content(head["type"], json.loads(content))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


def decode_content(kind, fields):
    """Build a `Change` or `Snapshot` from decoded fields; None if malformed.

    Args:
        kind: Type of the record, ``change`` or ``snapshot``.
        fields: Decoded fields of the record.

    Raises:
        KeyError, TypeError, ValueError: If fields are missing or invalid.
    """
    if kind == "change":
        change = Change(**fields)
        return change if is_well_formed(change) else None
    if kind == "snapshot":
        resources = tuple(Resource(*row) for row in fields.pop("resources"))
        decisions = tuple(Decision(*row) for row in fields.pop("decisions"))
        snapshot = Snapshot(resources=resources, decisions=decisions, **fields)
        numbers = (snapshot.covers, snapshot.version)
        valid = all(type(number) is int for number in numbers)
        return snapshot if valid and type(snapshot.time) is float else None
    return None


def is_well_formed(change):
    """Return whether the fields of a decoded change have the right types."""
    texts = (change.change_id, change.kind, change.name, change.author, change.made)
    if not all(isinstance(text, str) for text in texts):
        return False
    if not (change.change_id and change.kind and change.name):
        return False
    if type(change.replaces) is not int or change.replaces < 0:
        return False
    return change.body is None or isinstance(change.body, dict)


def choose_snapshot(records, first):
    """Return the data of the snapshot from which a reader can continue, or None.

    A snapshot that ends before the oldest readable record is skipped: a change
    in the gap between the two would be missing for good. Of the others, the one
    that covers the most records is chosen.

    Args:
        records: Records with `offset` and `data`, for example the result of one
            read.
        first: Oldest offset that can be read.
    """
    best = None
    best_covers = first - 1
    for record in records:
        snapshot = decode_record(record.data)
        if not isinstance(snapshot, Snapshot):
            continue
        if best_covers < snapshot.covers <= record.offset:
            best = record.data
            best_covers = snapshot.covers
    return best


def plan_snapshot(
    offset,
    covered,
    snapshot_time,
    log_time,
    retention,
    records=SNAPSHOT_INTERVAL_RECORDS,
):
    """Decide whether a snapshot is due.

    Any daemon that reads the log may write the snapshot; two copies are harmless.

    Args:
        offset: Next offset to read.
        covered: Offset covered by the last snapshot read; 0 if there is none.
        snapshot_time: The log's time of that snapshot or, if there is none, of
            the first record read, in wall-clock seconds.
        log_time: Latest known time of the log, in wall-clock seconds.
        retention: Seconds for which the log keeps records.
        records: Number of records not covered after which a snapshot is due.

    Returns:
        A `SnapshotPlan`.
    """
    if offset == 0:
        return SnapshotPlan(False, "nothing to cover")
    if offset - covered >= records:
        return SnapshotPlan(True, f"{offset - covered} records not covered")
    age = log_time - snapshot_time
    if age >= retention * SNAPSHOT_RETENTION_FRACTION:
        return SnapshotPlan(True, f"the last one is {age:.0f} s old")
    return SnapshotPlan(False, "the last one is recent")


class Configuration:
    """The configuration in force after the records read so far.

    Attributes:
        offset: Next offset to read.
        version: Version of the last accepted change.
        time: Highest log time read, in wall-clock seconds.
        snapshot_covers: Offset covered by the last snapshot read; 0 if there was
            none.
        snapshot_time: Log time of that snapshot or, if there was none, of the
            first record read, in wall-clock seconds; None before the first
            record.
    """

    def __init__(self):
        self.offset = 0
        self.version = 0
        self.time = float("-inf")
        self.snapshot_covers = 0
        self.snapshot_time = None
        self._resources = {}
        self._decisions = collections.OrderedDict()
        self._history = collections.deque(maxlen=MAX_HISTORY)
        self._history_start_version = 0

    def apply(self, offset, time, data):
        """Apply the next record.

        A record that was already read changes nothing. A record after a gap is
        not applied: the reader must first read from `offset` or install a
        snapshot.

        Args:
            offset: Offset of the record.
            time: The log's time of the record, in wall-clock seconds.
            data: The encoded record.

        Returns:
            The result as `ApplyResult`.
        """
        if offset < self.offset:
            return ApplyResult(False, ApplyReason.ALREADY_READ)
        if offset > self.offset:
            return ApplyResult(False, ApplyReason.GAP)
        self.offset = offset + 1
        self.time = max(self.time, time)
        if self.snapshot_time is None:
            self.snapshot_time = self.time
        decoded = decode_record(data)
        if isinstance(decoded, Change):
            return self._apply_change(decoded, offset + 1)
        if isinstance(decoded, Snapshot):
            return self._record_snapshot(decoded, offset)
        return ApplyResult(False, ApplyReason.MALFORMED)

    def resources(self):
        """Return all resources in force, sorted by kind and name."""
        return tuple(self._resources[place] for place in sorted(self._resources))

    def get(self, kind, name):
        """Return the resource of a kind and name, or None if there is none."""
        return self._resources.get((kind, name))

    def changes_since(self, version):
        """Return the accepted changes after a version.

        Args:
            version: Last version that the watch has received.

        Returns:
            A tuple of `Event`, oldest first, or `TooOld` if some of them are no
            longer kept.
        """
        if version < self._history_start_version:
            return TooOld(self._history_start_version)
        return tuple(event for event in self._history if event.version > version)

    def find_decision(self, change_id):
        """Return the `Decision` on a change, or None if none is kept.

        A writer whose append was not answered reads further records and then
        checks here whether its change was accepted.
        """
        return self._decisions.get(change_id)

    def take_snapshot(self):
        """Return a `Snapshot` of the current state."""
        return Snapshot(
            covers=self.offset,
            version=self.version,
            time=self.time,
            resources=self.resources(),
            decisions=tuple(self._decisions.values()),
        )

    def encode_snapshot(self):
        """Encode a snapshot of the current state as a log record."""
        return encode_snapshot(self.take_snapshot())

    def install(self, data):
        """Install a snapshot from the log or from a peer if it is newer.

        A snapshot that covers no more than was already read is ignored: a
        process that was paused may send an old state, and the configuration must
        not revert to it.

        Args:
            data: The encoded snapshot record.

        Returns:
            Whether the snapshot was installed.
        """
        snapshot = decode_record(data)
        if not isinstance(snapshot, Snapshot) or snapshot.covers <= self.offset:
            return False
        self.offset = snapshot.covers
        self.version = snapshot.version
        self.time = max(self.time, snapshot.time)
        if self.snapshot_time is None:
            self.snapshot_time = self.time
        places = ((entry.kind, entry.name) for entry in snapshot.resources)
        self._resources = dict(zip(places, snapshot.resources, strict=True))
        self._decisions = collections.OrderedDict(
            (decision.change_id, decision) for decision in snapshot.decisions
        )
        self._history.clear()
        self._history_start_version = snapshot.version
        return True

    def _apply_change(self, change, version):
        earlier = self._decisions.get(change.change_id)
        if earlier:
            # The writer appended the change again after a lost answer. If the
            # copy were decided again, a deleted resource could be restored, or a
            # change that was reported as a conflict could take effect later.
            ground = ApplyReason.DUPLICATE
            return ApplyResult(earlier.accepted, ground, change, earlier.version)
        present = self.get(change.kind, change.name)
        current = present.version if present else 0
        accepted = change.replaces == current and not (
            current == 0 and change.body is None
        )
        self._record_decision(change, accepted, version)
        if not accepted:
            return ApplyResult(False, ApplyReason.CONFLICT, change, 0, current)
        self._apply_accepted(change, version)
        return ApplyResult(True, ApplyReason.ACCEPTED, change, version, current)

    def _apply_accepted(self, change, version):
        place = (change.kind, change.name)
        resource = None
        if change.body is None:
            del self._resources[place]
        else:
            resource = Resource(*place, version, change.body, change.author, self.time)
            self._resources[place] = resource
        if len(self._history) == MAX_HISTORY:
            self._history_start_version = self._history[0].version
        self.version = version
        self._history.append(
            Event(version, *place, resource, change.change_id, change.author, self.time)
        )

    def _record_decision(self, change, accepted, version):
        decision = Decision(
            change.change_id, accepted, version if accepted else 0, self.time
        )
        self._decisions[change.change_id] = decision
        oldest = self.time - DECISION_RETENTION_SECONDS
        while self._decisions:
            first = next(iter(self._decisions.values()))
            if len(self._decisions) <= MAX_DECISIONS and first.time >= oldest:
                return
            self._decisions.popitem(last=False)

    def _record_snapshot(self, snapshot, offset):
        # A snapshot cannot cover records that follow it in the log.
        if snapshot.covers > offset:
            return ApplyResult(False, ApplyReason.MALFORMED)
        if snapshot.covers > self.snapshot_covers:
            self.snapshot_covers = snapshot.covers
            self.snapshot_time = self.time
        return ApplyResult(False, ApplyReason.SNAPSHOT)
