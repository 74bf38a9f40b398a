"""Model of configuration: two operators race, two daemons follow the log.

Each operator bases its changes of the only resource on the version that its daemon
shows. An append takes effect zero, one or two times, at any later time. The first
daemon may append a snapshot to the log, or send it to the second daemon, long after
it was taken. The second daemon may restart without its state. Retention may drop
the oldest records at any time. The state of each daemon is a snapshot of the
package's own `Configuration`.
"""

import functools
from typing import NamedTuple

from minicheck import Protocol

from whinwinch import configuration
from whinwinch.configuration import ApplyReason, Change, Configuration

KIND = "service"
NAME = "royalties"
EMPTY = b""
FIRST, SECOND = range(2)


class Options(NamedTuple):
    """Disabled mechanisms and the bounds of the model.

    Attributes:
        reader: Class of the readers.
        choose: Function that chooses the snapshot to install after a gap.
        skipping: Whether a reader continues after a gap without a snapshot.
        keeps_unread: Whether records are dropped only after the first daemon has
            read them; otherwise they are dropped at any time.
        peers: Whether the first daemon sends its current state to the second one
            while that is behind.
        restarts: Whether the second daemon may restart.
        plans: For each operator, its changes in order.
        copies: Maximum number of times that one append takes effect.
        snapshots: Maximum number of snapshots taken.
    """

    reader: type = Configuration
    choose: object = configuration.choose_snapshot
    skipping: bool = False
    keeps_unread: bool = False
    peers: bool = False
    restarts: bool = True
    plans: tuple = (("set", "delete"), ("set",))
    copies: int = 2
    snapshots: int = 1


class Record(NamedTuple):
    """A record as a reader receives it.

    Attributes:
        offset: Offset in the log.
        time: Time on the log's clock.
        data: Content of the record.
    """

    offset: int
    time: float
    data: bytes


class Pending(NamedTuple):
    """An append that may still take effect.

    Attributes:
        data: Content of the record.
        copies: Number of times that it may still take effect.
    """

    data: bytes
    copies: int


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        log: Content of each record, including dropped ones.
        first: Oldest offset that the log still keeps.
        readers: State of each of the two daemons, as a snapshot record.
        steps: Number of changes that each operator has started.
        pending: All `Pending` appends.
        unused_snapshots: Snapshots that the first daemon has taken but not used.
        snapshots_taken: Number of snapshots taken so far.
        reverted: Whether a running daemon went back to an older version.
    """

    log: tuple = ()
    first: int = 0
    readers: tuple = (EMPTY, EMPTY)
    steps: tuple = (0, 0)
    pending: tuple = ()
    unused_snapshots: tuple = ()
    snapshots_taken: int = 0
    reverted: bool = False


def load(kind, data):
    """Return a reader whose state is restored from a snapshot record."""
    reader = kind()
    if data:
        Configuration.install(reader, data)
    return reader


def save(reader):
    """Return the state of a reader as a snapshot record, empty before any read."""
    return reader.encode_snapshot() if reader.offset else EMPTY


@functools.lru_cache(maxsize=None)
def apply_record(kind, data, offset, record):
    """Return the state of a reader, as a snapshot, after it applied one record."""
    reader = load(kind, data)
    reader.apply(offset, float(offset), record)
    return save(reader)


@functools.lru_cache(maxsize=None)
def apply_log(kind, log):
    """Return the state of a reader, as a snapshot, after it applied the whole log."""
    data = EMPTY
    for offset, record in enumerate(log):
        data = apply_record(kind, data, offset, record)
    return data


@functools.lru_cache(maxsize=None)
def get_offset(data):
    """Return the next offset to read, given a reader's state."""
    return load(Configuration, data).offset


@functools.lru_cache(maxsize=None)
def get_version(data):
    """Return the configuration version of a reader's state."""
    return load(Configuration, data).version


@functools.lru_cache(maxsize=None)
def list_accepted(kind, log):
    """Return the changes that a reader of the whole log accepts, in order."""
    data = EMPTY
    accepted = []
    for offset, record in enumerate(log):
        applied = load(kind, data).apply(offset, float(offset), record)
        if applied.ground is ApplyReason.ACCEPTED:
            accepted.append(applied.change)
        data = apply_record(kind, data, offset, record)
    return tuple(accepted)


def make_protocol(options, name="configuration", goal=None):
    """Return the model as a `Protocol`."""
    kind = options.reader
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(find_steps(state, options)),
        invariants={
            "an accepted configuration never reverts": lambda d: not d["reverted"],
            "readers at the same offset agree": lambda d: do_readers_agree(d, kind),
            "a change is accepted at most once": lambda d: is_accepted_once(d, kind),
            "only one change to each version is accepted": (
                lambda d: has_no_conflict(d, kind)
            ),
        },
        goal=goal,
    )


def do_readers_agree(fields, kind):
    """Return whether each reader's state follows from the log up to its offset."""
    return all(
        data == apply_log(kind, fields["log"][: get_offset(data)])
        for data in fields["readers"]
    )


def is_accepted_once(fields, kind):
    """Return whether no change was accepted twice."""
    accepted = [change.change_id for change in list_accepted(kind, fields["log"])]
    return len(accepted) == len(set(accepted))


def has_no_conflict(fields, kind):
    """Return whether no two accepted changes replace the same existing version."""
    replaced = [change.replaces for change in list_accepted(kind, fields["log"])]
    versions = [version for version in replaced if version]
    return len(versions) == len(set(versions))


def is_caught_up(fields):
    """Return whether both daemons have read the whole log."""
    end = len(fields["log"])
    return all(get_offset(data) == end for data in fields["readers"])


def find_steps(state, options):
    """Yield each possible step as a pair of its label and the next state."""
    yield from find_changes(state, options)
    yield from find_append_effects(state)
    yield from find_snapshots(state, options)
    for number in (FIRST, SECOND):
        yield from find_reads(state, number, options)
    if can_drop(state, options):
        yield "drop", state._replace(first=state.first + 1)
    if options.peers and state.readers[FIRST]:
        reader = load(options.reader, state.readers[SECOND])
        if reader.install(state.readers[FIRST]):
            yield "send state", replace_reader(state, SECOND, save(reader))
    if options.restarts and state.readers[SECOND]:
        yield "restart", replace_reader(state, SECOND, EMPTY, restarted=True)


def can_drop(state, options):
    """Return whether the oldest record may be dropped."""
    limit = len(state.log)
    if options.keeps_unread:
        limit = get_offset(state.readers[FIRST])
    return state.first < limit


def find_changes(state, options):
    """Yield that an operator reads a daemon's state and sends an append."""
    for number, plan in enumerate(options.plans):
        done = state.steps[number]
        if done == len(plan):
            continue
        present = load(Configuration, state.readers[number]).get(KIND, NAME)
        body = None if plan[done] == "delete" else {"by": number}
        version = present.version if present else 0
        change = Change(f"{number}{done}", KIND, NAME, version, body, "", "")
        data = configuration.encode_change(change)
        steps = list(state.steps)
        steps[number] += 1
        pending = (*state.pending, Pending(data, options.copies))
        yield f"change {number}", state._replace(steps=tuple(steps), pending=pending)


def find_append_effects(state):
    """Yield the effect of one copy of an append."""
    for place, pending in enumerate(state.pending):
        remaining = list(state.pending)
        remaining[place] = pending._replace(copies=pending.copies - 1)
        sorted_pending = tuple(sorted(each for each in remaining if each.copies))
        log = (*state.log, pending.data)
        yield "append takes effect", state._replace(log=log, pending=sorted_pending)


def find_snapshots(state, options):
    """Yield that a snapshot is taken, appended to the log or sent to a daemon."""
    data = state.readers[FIRST]
    if data and state.snapshots_taken < options.snapshots:
        unused = (*state.unused_snapshots, data)
        yield (
            "take snapshot",
            state._replace(
                unused_snapshots=unused, snapshots_taken=state.snapshots_taken + 1
            ),
        )
    for place, snapshot in enumerate(state.unused_snapshots):
        remaining = state.unused_snapshots[:place] + state.unused_snapshots[place + 1 :]
        appended = state._replace(
            log=(*state.log, snapshot), unused_snapshots=remaining
        )
        yield "append snapshot", appended
        reader = load(options.reader, state.readers[SECOND])
        reader.install(snapshot)
        sent_state = state._replace(unused_snapshots=remaining)
        yield "send snapshot", replace_reader(sent_state, SECOND, save(reader))


def find_reads(state, number, options):
    """Yield that a daemon reads its next record or crosses a gap by a snapshot."""
    data = state.readers[number]
    offset = get_offset(data)
    if state.first <= offset < len(state.log):
        following = apply_record(options.reader, data, offset, state.log[offset])
        yield f"read {number}", replace_reader(state, number, following)
    if offset >= state.first:
        return
    if options.skipping and state.first < len(state.log):
        reader = load(options.reader, data)
        reader.offset = state.first
        yield f"skip {number}", replace_reader(state, number, save(reader))
    records = [
        Record(place, float(place), each)
        for place, each in enumerate(state.log)
        if place >= state.first
    ]
    snapshot = options.choose(records, state.first)
    reader = load(options.reader, data)
    if snapshot and reader.install(snapshot):
        yield f"catch up {number}", replace_reader(state, number, save(reader))


def replace_reader(state, number, data, restarted=False):
    """Return the model's state with one daemon's state replaced."""
    is_older = get_version(data) < get_version(state.readers[number])
    readers = list(state.readers)
    readers[number] = data
    reverted = state.reverted or (is_older and not restarted)
    return state._replace(readers=tuple(readers), reverted=reverted)
