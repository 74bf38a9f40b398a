"""Model of configuration: two operators race, two daemons follow the log.

Each operator changes the one resource from what a daemon shows, and may do so
again; an append reaches the log not at all, once or twice, at any later time.
A daemon may write a snapshot or hand it to the other long after it took it. The
second daemon may restart without memory. Retention drops old records at any
time. Daemons are the package's own `Configuration`, kept as its snapshots.
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
    """Mechanisms taken out, and bounds.

    Attributes:
        reader: Class of the readers.
        choose: Function that chooses the snapshot from which to go on.
        skipping: Whether a reader goes on after a gap.
        careful: Whether records are dropped only when the first daemon has
            read them; otherwise at any time.
        peers: Whether the first daemon hands its present state to the second
            whenever that is behind.
        restarts: Whether the second daemon may restart.
        plans: For each operator, what it does in turn.
        copies: How often one append can take effect.
        snapshots: How often a snapshot may be taken.
    """

    reader: type = Configuration
    choose: object = configuration.choose_snapshot
    skipping: bool = False
    careful: bool = False
    peers: bool = False
    restarts: bool = True
    plans: tuple = (("set", "delete"), ("set",))
    copies: int = 2
    snapshots: int = 1


class Record(NamedTuple):
    """A record as a reader gets it."""

    offset: int
    time: float
    data: bytes


class Pending(NamedTuple):
    """An append that may still take effect.

    Attributes:
        data: The record.
        copies: How often it still may.
    """

    data: bytes
    copies: int


class State(NamedTuple):
    """The whole model.

    Attributes:
        log: Data of each record, dropped ones too.
        first: Oldest offset kept.
        readers: State of the two daemons, as snapshot records.
        steps: How many changes each operator has begun.
        pending: Each `Pending` append.
        held: Snapshots that the first daemon has taken and not yet used.
        taken: How many snapshots were taken.
        reverted: Whether a running daemon went back to an older version.
    """

    log: tuple = ()
    first: int = 0
    readers: tuple = (EMPTY, EMPTY)
    steps: tuple = (0, 0)
    pending: tuple = ()
    held: tuple = ()
    taken: int = 0
    reverted: bool = False


def load(kind, data):
    """Return a reader in the state of a snapshot record."""
    reader = kind()
    if data:
        Configuration.install(reader, data)
    return reader


def save(reader):
    """Return the state of a reader as a snapshot record."""
    return reader.encode_snapshot() if reader.offset else EMPTY


@functools.lru_cache(maxsize=None)
def follow(kind, data, offset, record):
    """Return a reader's state after one record."""
    reader = load(kind, data)
    reader.apply(offset, float(offset), record)
    return save(reader)


@functools.lru_cache(maxsize=None)
def follow_all(kind, log):
    """Return the state of a reader that has seen the whole log."""
    data = EMPTY
    for offset, record in enumerate(log):
        data = follow(kind, data, offset, record)
    return data


@functools.lru_cache(maxsize=None)
def get_offset(data):
    """Return the next offset of a reader's state."""
    return load(Configuration, data).offset


@functools.lru_cache(maxsize=None)
def get_version(data):
    """Return the version of a reader's state."""
    return load(Configuration, data).version


@functools.lru_cache(maxsize=None)
def list_accepted(kind, log):
    """Return the changes accepted anew over a whole log, in order."""
    data = EMPTY
    accepted = []
    for offset, record in enumerate(log):
        applied = load(kind, data).apply(offset, float(offset), record)
        if applied.ground is ApplyReason.ACCEPTED:
            accepted.append(applied.change)
        data = follow(kind, data, offset, record)
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
            "all who have read as far agree": lambda d: agree(d, kind),
            "a change is accepted once": lambda d: is_once(d, kind),
            "of two changes of one version one is accepted": (
                lambda d: is_ordered(d, kind)
            ),
        },
        goal=goal,
    )


def agree(fields, kind):
    """Return whether each reader is where the whole log up to it leads."""
    return all(
        data == follow_all(kind, fields["log"][: get_offset(data)])
        for data in fields["readers"]
    )


def is_once(fields, kind):
    """Return whether no change was accepted twice."""
    accepted = [change.change_id for change in list_accepted(kind, fields["log"])]
    return len(accepted) == len(set(accepted))


def is_ordered(fields, kind):
    """Return whether no two accepted changes replace one version but none."""
    replaced = [change.replaces for change in list_accepted(kind, fields["log"])]
    versions = [version for version in replaced if version]
    return len(versions) == len(set(versions))


def is_caught_up(fields):
    """Return whether both daemons have read the whole log."""
    end = len(fields["log"])
    return all(get_offset(data) == end for data in fields["readers"])


def find_steps(state, options):
    """Yield each step as a pair of label and next state."""
    yield from find_changes(state, options)
    yield from find_landings(state)
    yield from find_snapshots(state, options)
    for number in (FIRST, SECOND):
        yield from find_reads(state, number, options)
    if can_drop(state, options):
        yield "drop", state._replace(first=state.first + 1)
    if options.peers and state.readers[FIRST]:
        reader = load(options.reader, state.readers[SECOND])
        if reader.install(state.readers[FIRST]):
            yield "hand on", put_reader(state, SECOND, save(reader))
    if options.restarts and state.readers[SECOND]:
        yield "restart", put_reader(state, SECOND, EMPTY, forgets=True)


def can_drop(state, options):
    """Return whether the oldest record may be dropped."""
    limit = len(state.log)
    if options.careful:
        limit = get_offset(state.readers[FIRST])
    return state.first < limit


def find_changes(state, options):
    """Yield that an operator reads a daemon's state and begins an append."""
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


def find_landings(state):
    """Yield that a copy of an append takes effect."""
    for place, pending in enumerate(state.pending):
        left = list(state.pending)
        left[place] = pending._replace(copies=pending.copies - 1)
        kept = tuple(sorted(each for each in left if each.copies))
        log = (*state.log, pending.data)
        yield "append lands", state._replace(log=log, pending=kept)


def find_snapshots(state, options):
    """Yield the taking of a snapshot and its late use in either way."""
    data = state.readers[FIRST]
    if data and state.taken < options.snapshots:
        held = (*state.held, data)
        yield "take snapshot", state._replace(held=held, taken=state.taken + 1)
    for place, snapshot in enumerate(state.held):
        left = state.held[:place] + state.held[place + 1 :]
        written = state._replace(log=(*state.log, snapshot), held=left)
        yield "write snapshot", written
        reader = load(options.reader, state.readers[SECOND])
        reader.install(snapshot)
        handed = state._replace(held=left)
        yield "hand on snapshot", put_reader(handed, SECOND, save(reader))


def find_reads(state, number, options):
    """Yield that a daemon reads its next record, or a snapshot over a gap."""
    data = state.readers[number]
    offset = get_offset(data)
    if state.first <= offset < len(state.log):
        following = follow(options.reader, data, offset, state.log[offset])
        yield f"read {number}", put_reader(state, number, following)
    if offset >= state.first:
        return
    if options.skipping and state.first < len(state.log):
        reader = load(options.reader, data)
        reader.offset = state.first
        yield f"skip {number}", put_reader(state, number, save(reader))
    records = [
        Record(place, float(place), each)
        for place, each in enumerate(state.log)
        if place >= state.first
    ]
    snapshot = options.choose(records, state.first)
    reader = load(options.reader, data)
    if snapshot and reader.install(snapshot):
        yield f"catch up {number}", put_reader(state, number, save(reader))


def put_reader(state, number, data, forgets=False):
    """Return the state with a new state of one daemon."""
    back = get_version(data) < get_version(state.readers[number])
    readers = list(state.readers)
    readers[number] = data
    reverted = state.reverted or (back and not forgets)
    return state._replace(readers=tuple(readers), reverted=reverted)
