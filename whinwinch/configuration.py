"""Accepted configuration as a pure function of the log's order.

Load pattern: 1,600 changes a day by operators and tooling that race one another
while the log is slow or down. Without one order two daemons could hold
different winners of a race, and a late reader could bring back a resource that
was replaced.

A change states the version that it replaces. It is accepted when that is still
the present version at its place in the log, and rejected otherwise, by every
reader alike. Bodies are not checked here: a check that differs between two
releases of this program would divide the readers. They are checked before a
change is written and again, leniently, where they are used.

Readers move forward only, without gaps. A snapshot states the offset it covers
and is taken in only by a reader that is behind that offset, so one that a
paused process writes late changes nothing.
"""

import collections
import enum
import hashlib
import json
from typing import NamedTuple

FORMAT = 1

# Accepted changes kept for watches. A day has 1,600, so a watch may be cut off
# for more than half a day before it must list again.
HISTORY = 1_000

# Change identifiers remembered, and for how long by the log's time. A doubled
# copy of an append comes within seconds or minutes; an hour is far beyond, and
# the count bounds the memory and the snapshot when somebody floods the stream.
REMEMBERED = 1_000
REMEMBERED_SECONDS = 3_600.0

# Bytes of one change record; more is rejected, so that no reader chokes on it.
LARGEST_CHANGE = 256 * 1024

# A snapshot is due after this many records, so that a new daemon catches up in
# a few reads, and after this part of the retention, so that two writers in a
# row may fail before the records it covers are dropped.
SNAPSHOT_RECORDS = 500
SNAPSHOT_PART = 1 / 3


class Change(NamedTuple):
    """A change that somebody wants to make.

    Attributes:
        change_id: Identifier, the same in each copy of the change.
        kind: Kind of the resource, for example ``service``.
        name: Name of the resource.
        replaces: Version that the change replaces; 0 where none may exist.
        body: The resource's new body; None deletes it.
        author: Who made it.
        made: When, in the author's words.
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
        version: Offset of the change that made it so, plus one, so that the
            first record of the log has a version other than 0.
        body: The body.
        author: Who made the change.
        changed: The log's time of the change, in wall-clock seconds.
    """

    kind: str
    name: str
    version: int
    body: dict
    author: str
    changed: float


class Ground(enum.Enum):
    """Why a record was accepted or not."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    DOUBLE = "double"
    MALFORMED = "malformed"
    SNAPSHOT = "snapshot"
    READ_BEFORE = "read-before"
    GAP = "gap"


class Applied(NamedTuple):
    """What became of one record.

    Attributes:
        accepted: Whether the change is in force, now or by an earlier copy.
        ground: Why.
        change: The `Change`, or None where the record holds none.
        version: Version that the change made, or of its earlier copy; 0 for none.
        present: Version of the resource in force that the change met, 0 for none.
    """

    accepted: bool
    ground: Ground
    change: Change | None = None
    version: int = 0
    present: int = 0


class Decision(NamedTuple):
    """What was decided of a change identifier.

    Attributes:
        change_id: The identifier.
        accepted: Whether the first copy was accepted.
        version: Version that it made, or 0.
        time: The log's time of the first copy.
    """

    change_id: str
    accepted: bool
    version: int
    time: float


class Event(NamedTuple):
    """One accepted change as a watch reports it.

    Attributes:
        version: Version of the configuration after it.
        kind: Kind of the resource.
        name: Name of the resource.
        resource: The `Resource`, or None after a deletion.
        change_id: Identifier of the change.
        author: Who made it.
        changed: The log's time, in wall-clock seconds.
    """

    version: int
    kind: str
    name: str
    resource: Resource | None
    change_id: str
    author: str
    changed: float


class TooOld(NamedTuple):
    """A watch asked for changes that are no longer kept; it must list again.

    Attributes:
        oldest: Oldest version from which changes can be told.
    """

    oldest: int


class Snapshot(NamedTuple):
    """The whole configuration after a prefix of the log.

    Attributes:
        covers: Every record below this offset is contained.
        version: Version of the configuration.
        time: Highest log time of the records contained.
        resources: All `Resource`.
        decisions: The `Decision` remembered, in order.
    """

    covers: int
    version: int
    time: float
    resources: tuple[Resource, ...]
    decisions: tuple[Decision, ...]


class SnapshotPlan(NamedTuple):
    """Whether a snapshot should be written now.

    Attributes:
        due: Whether it should.
        ground: Why, for the log line.
    """

    due: bool
    ground: str


def encode_change(change):
    """Return the log record of a change."""
    return encode_record("change", change._asdict())


def encode_snapshot(snapshot):
    """Return the log record of a `Snapshot`."""
    fields = snapshot._asdict()
    fields["resources"] = [list(resource) for resource in snapshot.resources]
    fields["decisions"] = [list(decision) for decision in snapshot.decisions]
    return encode_record("snapshot", fields)


def encode_record(kind, fields):
    """Return one record of the stream with its digest.

    The digest tells a snapshot that was cut off or altered on the way from a
    whole one; a reader that took in a part would lose resources silently.
    """
    content = json.dumps(fields, separators=(",", ":"), sort_keys=True)
    digest = hashlib.sha256(content.encode()).hexdigest()
    head = {"format": FORMAT, "type": kind, "digest": digest, "content": content}
    return json.dumps(head, separators=(",", ":")).encode()


def decode_record(data):
    """Return the `Change` or `Snapshot` of a record, or None when malformed."""
    try:
        head = json.loads(data)
        if head["format"] != FORMAT:
            return None
        content = head["content"]
        if hashlib.sha256(content.encode()).hexdigest() != head["digest"]:
            return None
        if head["type"] == "change" and len(data) > LARGEST_CHANGE:
            return None
        return decode_content(head["type"], json.loads(content))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


def decode_content(kind, fields):
    """Return the `Change` or `Snapshot` in decoded fields, or None.

    Raises:
        KeyError, TypeError, ValueError: When fields are missing or wrong.
    """
    if kind == "change":
        change = Change(**fields)
        return change if is_well_formed(change) else None
    if kind == "snapshot":
        resources = tuple(Resource(*row) for row in fields.pop("resources"))
        decisions = tuple(Decision(*row) for row in fields.pop("decisions"))
        snapshot = Snapshot(resources=resources, decisions=decisions, **fields)
        numbers = (snapshot.covers, snapshot.version)
        whole = all(type(number) is int for number in numbers)
        return snapshot if whole and type(snapshot.time) is float else None
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
    """Return the data of the snapshot from which a reader can go on, or None.

    A snapshot that covers less than what retention dropped leaves a gap: a
    change in the gap would be missing for good. It is passed over.

    Args:
        records: Records with `offset` and `data`, for example of one page.
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
    offset, covered, snapshot_time, log_time, retention, records=SNAPSHOT_RECORDS
):
    """Decide whether a snapshot is due.

    Any daemon that reads the log may write it; two copies do no harm.

    Args:
        offset: Next offset to read.
        covered: Offset covered by the last snapshot seen; 0 for none.
        snapshot_time: The log's time of that snapshot; of the first record
            read where there is none.
        log_time: The log's time now, as far as known.
        retention: Seconds for which the log keeps records.
        records: Records after which one is due.

    Returns:
        A `SnapshotPlan`.
    """
    if offset == 0:
        return SnapshotPlan(False, "nothing to cover")
    if offset - covered >= records:
        return SnapshotPlan(True, f"{offset - covered} records not covered")
    age = log_time - snapshot_time
    if age >= retention * SNAPSHOT_PART:
        return SnapshotPlan(True, f"the last one is {age:.0f} s old")
    return SnapshotPlan(False, "the last one is recent")


class Configuration:
    """The configuration in force after the records read so far.

    Attributes:
        offset: Next offset to read.
        version: Version of the last accepted change.
        time: Highest log time read, in wall-clock seconds.
        snapshot_covers: Offset covered by the last snapshot read, 0 for none.
        snapshot_time: Log time of that snapshot; of the first record read
            where there was none.
    """

    def __init__(self):
        self.offset = 0
        self.version = 0
        self.time = float("-inf")
        self.snapshot_covers = 0
        self.snapshot_time = None
        self._resources = {}
        self._decisions = collections.OrderedDict()
        self._history = collections.deque(maxlen=HISTORY)
        self._floor = 0

    def apply(self, offset, time, data):
        """Take in the next record.

        A record read before changes nothing; one after a gap is refused, and
        the reader has to read from `offset` or take in a snapshot first.

        Args:
            offset: Offset of the record.
            time: The log's time of it, in wall-clock seconds.
            data: The record.

        Returns:
            `Applied`.
        """
        if offset < self.offset:
            return Applied(False, Ground.READ_BEFORE)
        if offset > self.offset:
            return Applied(False, Ground.GAP)
        self.offset = offset + 1
        self.time = max(self.time, time)
        if self.snapshot_time is None:
            self.snapshot_time = self.time
        decoded = decode_record(data)
        if isinstance(decoded, Change):
            return self._apply_change(decoded, offset + 1)
        if isinstance(decoded, Snapshot):
            return self._note_snapshot(decoded, offset)
        return Applied(False, Ground.MALFORMED)

    def resources(self):
        """Return all resources in force, by kind and name."""
        return tuple(self._resources[place] for place in sorted(self._resources))

    def get(self, kind, name):
        """Return a resource in force, or None."""
        return self._resources.get((kind, name))

    def changes_since(self, version):
        """Return the accepted changes after a version.

        Args:
            version: Version that the watch has seen.

        Returns:
            A tuple of `Event`, or `TooOld` when some of them aren't kept.
        """
        if version < self._floor:
            return TooOld(self._floor)
        return tuple(event for event in self._history if event.version > version)

    def find_decision(self, change_id):
        """Return the `Decision` on a change, or None.

        A writer whose append was not answered looks here after reading on.
        """
        return self._decisions.get(change_id)

    def take_snapshot(self):
        """Return the `Snapshot` of the present state."""
        return Snapshot(
            covers=self.offset,
            version=self.version,
            time=self.time,
            resources=self.resources(),
            decisions=tuple(self._decisions.values()),
        )

    def encode_snapshot(self):
        """Return the log record of a snapshot of the present state."""
        return encode_snapshot(self.take_snapshot())

    def install(self, data):
        """Take in a snapshot, from the log or from a peer, if it is newer.

        One that covers no more than was read is left alone: a process that
        was paused may hand on state of long ago, and the configuration must
        not go back to it.

        Args:
            data: The snapshot record.

        Returns:
            Whether it was taken in.
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
        self._floor = snapshot.version
        return True

    def _apply_change(self, change, version):
        known = self._decisions.get(change.change_id)
        if known:
            # The writer appended again after a lost answer. Were the copy judged
            # anew, a deleted resource could come back, or a change whose author
            # was told "conflict" take effect later.
            ground = Ground.DOUBLE
            return Applied(known.accepted, ground, change, known.version)
        present = self.get(change.kind, change.name)
        found = present.version if present else 0
        accepted = change.replaces == found and not (found == 0 and change.body is None)
        self._remember(change, accepted, version)
        if not accepted:
            return Applied(False, Ground.CONFLICT, change, 0, found)
        self._put(change, version)
        return Applied(True, Ground.ACCEPTED, change, version, found)

    def _put(self, change, version):
        place = (change.kind, change.name)
        resource = None
        if change.body is None:
            del self._resources[place]
        else:
            resource = Resource(*place, version, change.body, change.author, self.time)
            self._resources[place] = resource
        if len(self._history) == HISTORY:
            self._floor = self._history[0].version
        self.version = version
        self._history.append(
            Event(version, *place, resource, change.change_id, change.author, self.time)
        )

    def _remember(self, change, accepted, version):
        decision = Decision(
            change.change_id, accepted, version if accepted else 0, self.time
        )
        self._decisions[change.change_id] = decision
        oldest = self.time - REMEMBERED_SECONDS
        while self._decisions:
            first = next(iter(self._decisions.values()))
            if len(self._decisions) <= REMEMBERED and first.time >= oldest:
                return
            self._decisions.popitem(last=False)

    def _note_snapshot(self, snapshot, offset):
        # A snapshot that claims to cover what came after it is a fault.
        if snapshot.covers > offset:
            return Applied(False, Ground.MALFORMED)
        if snapshot.covers > self.snapshot_covers:
            self.snapshot_covers = snapshot.covers
            self.snapshot_time = self.time
        return Applied(False, Ground.SNAPSHOT)
