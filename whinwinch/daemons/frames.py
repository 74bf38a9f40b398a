"""Messages between daemons and their encoding.

All calls between two daemons share one connection. A call costs one small write on
each side, several writes share a system call under load, and a call is cancelled by a
message instead of by closing a connection. Each message is one msgpack array whose
first item is the number of its type.
"""

from typing import NamedTuple

import msgpack

from .. import callgraph, crashes, messages, reportedlevels
from ..logservice import keyed
from ..workspaces import usages as workspace_usages

# Maximum size of a message, which may contain a request or answer with its body.
MAX_FRAME_BYTES = 64 << 20


class FrameError(Exception):
    """Received bytes are not a valid message of this protocol."""


class Hello(NamedTuple):
    """The first message that each side sends.

    Attributes:
        daemon: Identifier of the sender's process, new after each restart.
        address: "host:port" at which other daemons reach the sender.
        token: Token that authenticates the connecting side, "" for none.
    """

    daemon: str
    address: str
    token: str = ""


class Call(NamedTuple):
    """An attempt to be run by the receiver's backend server.

    Attributes:
        number: Number of the attempt, ascending within the sender's process.
        request: The attempt. Its deadline and due time are sent as the remaining
            seconds and decoded to times of the receiver's clock.
    """

    number: int
    request: messages.Request


class Reply(NamedTuple):
    """The answer to the `Call` with the same number."""

    number: int
    answer: messages.Answer


class Cancel(NamedTuple):
    """Cancels the `Call` with the same number."""

    number: int


class Ping(NamedTuple):
    """Requests a `Pong`, to check that the connection still works."""

    number: int


class Pong(NamedTuple):
    """Answers a `Ping`."""

    number: int


class News(NamedTuple):
    """The current state of the sender's backend server.

    Attributes:
        endpoint: The backend server; its service is "" while none is registered.
    """

    endpoint: messages.Endpoint


class Levels(NamedTuple):
    """Admission levels of the routes that the sender's backend server serves.

    Attributes:
        levels: Pairs of a route's name and its level; levels of 0 are omitted.
        available: Share of the backend server's slots that may be in use.
    """

    levels: tuple[tuple[str, float], ...]
    available: float = 1.0


class LevelSum(NamedTuple):
    """Shed shares of several daemons, summed by a relay.

    Attributes:
        is_total: True if the sum covers all daemons that the relay has reports of;
            False if it covers only those that report to this relay directly.
        shed_shares: `reportedlevels.RouteShedding` tuples.
    """

    is_total: bool
    shed_shares: tuple[reportedlevels.RouteShedding, ...]


class Graph(NamedTuple):
    """The call topology that the sender has observed or received."""

    topology: callgraph.Topology


class Crash(NamedTuple):
    """A crash of a backend server, or the part of it that concerns some work.

    Attributes:
        record: The `crashes.CrashRecord`.
    """

    record: crashes.CrashRecord


class Usages(NamedTuple):
    """Use of the quotas of workspaces at the sender.

    Attributes:
        usages: `workspaces.usages.WorkspaceUsage` tuples.
    """

    usages: tuple[workspace_usages.WorkspaceUsage, ...]


class UsageSum(NamedTuple):
    """Use of the quotas of workspaces at several daemons, summed by a relay.

    Attributes:
        is_total: As in `LevelSum`.
        total: The `workspaces.usages.UsageTotal`.
    """

    is_total: bool
    total: workspace_usages.UsageTotal


class Gossip(NamedTuple):
    """A gossip message.

    Attributes:
        number: Number chosen by the sender, repeated in the `GossipReply`.
        data: The encoded `GossipMessage`.
    """

    number: int
    data: bytes


class GossipReply(NamedTuple):
    """The answer to the `Gossip` message with the same number."""

    number: int
    data: bytes


class TopicEnd(NamedTuple):
    """Reports the end of a topic that the sender has just read from the log.

    Attributes:
        topic: Name of the topic.
        end: Offset after its last record.
    """

    topic: str
    end: int


class TopicAsk(NamedTuple):
    """Requests the records of a topic from the offset `start` on."""

    topic: str
    start: int


class TopicRecords(NamedTuple):
    """Records of a topic, the newest of each key from an offset on.

    Attributes:
        topic: Name of the topic.
        start: Offset that was requested.
        end: Offset after the last record that the sender has.
        records: `keyed.Record` tuples.
    """

    topic: str
    start: int
    end: int
    records: tuple[keyed.Record, ...]


KINDS = (
    Hello,
    Call,
    Reply,
    Cancel,
    Ping,
    Pong,
    News,
    Levels,
    Gossip,
    GossipReply,
    TopicEnd,
    TopicAsk,
    TopicRecords,
    LevelSum,
    Graph,
    Crash,
    Usages,
    UsageSum,
)
TOPIC_KINDS = (TopicEnd, TopicAsk, TopicRecords)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
_REASONS = tuple(messages.Reason)
_REASON_NUMBERS = {reason: number for number, reason in enumerate(_REASONS)}
_IMPORTANCES = tuple(messages.Importance)
_OUTCOMES = tuple(messages.Outcome)
_OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(_OUTCOMES)}

# Indexes of the fields that are converted for transmission. They are replaced in a
# list, since `_replace` costs as much as the packing.
_IMPORTANCE_INDEX = messages.Request._fields.index("importance")
_DEADLINE_INDEX = messages.Request._fields.index("deadline")
_DUE_INDEX = messages.Request._fields.index("due")
_OUTCOME_INDEX = messages.Answer._fields.index("outcome")
_REASON_INDEX = messages.Answer._fields.index("reason")
_LOAD_INDEX = messages.Answer._fields.index("load")


def encode_frame(frame, now=0.0):
    """Return the encoded bytes of a message.

    Args:
        frame: Message, an instance of one of `KINDS`.
        now: Time of the loop's clock in seconds, from which a call's remaining time
            is computed.
    """
    kind = type(frame)
    number = _KIND_NUMBERS[kind]
    if kind is Call:
        fields = list(frame.request)
        fields[_DEADLINE_INDEX] -= now
        fields[_DUE_INDEX] -= now
        return msgpack.packb((number, frame.number, fields))
    if kind is Reply:
        fields = list(frame.answer)
        fields[_OUTCOME_INDEX] = _OUTCOME_NUMBERS[frame.answer.outcome]
        fields[_REASON_INDEX] = _REASON_NUMBERS[frame.answer.reason]
        return msgpack.packb((number, frame.number, fields))
    return msgpack.packb((number, *frame))


def build_unpacker():
    """Return a streaming msgpack unpacker for one connection."""
    return msgpack.Unpacker(use_list=False, max_buffer_size=MAX_FRAME_BYTES)


def decode_frames(unpacker, data, now):
    """Feed received bytes and yield the messages that are now complete.

    Args:
        unpacker: Unpacker of the connection, from `build_unpacker`.
        data: Received bytes.
        now: Time of the loop's clock in seconds, from which a call's deadline is
            computed.

    Raises:
        FrameError: If the bytes are not valid messages of this protocol.
    """
    try:
        unpacker.feed(data)
        for number, *fields in unpacker:
            yield _decode_frame(KINDS[number], fields, now)
    except (
        ValueError,
        TypeError,
        IndexError,
        msgpack.exceptions.UnpackException,
    ) as error:
        raise FrameError(f"{type(error).__name__}: {error}") from error


def _decode_frame(kind, fields, now):
    if kind is Call:
        number, values = fields
        values = list(values)
        values[_IMPORTANCE_INDEX] = _IMPORTANCES[values[_IMPORTANCE_INDEX]]
        values[_DEADLINE_INDEX] += now
        values[_DUE_INDEX] += now
        return Call(number, messages.Request(*values))
    if kind is Reply:
        number, values = fields
        values = list(values)
        values[_OUTCOME_INDEX] = _OUTCOMES[values[_OUTCOME_INDEX]]
        values[_REASON_INDEX] = _REASONS[values[_REASON_INDEX]]
        values[_LOAD_INDEX] = messages.Load(*values[_LOAD_INDEX])
        return Reply(number, messages.Answer(*values))
    if kind is News:
        (endpoint,) = fields
        return News(messages.Endpoint(*endpoint))
    if kind is Graph:
        ((entries, calls),) = fields
        return Graph(_decode_topology(entries, calls))
    if kind is Crash:
        ((identity, fingerprints, proven),) = fields
        texts = tuple(map(_check_text, fingerprints))
        return Crash(
            crashes.CrashRecord(_check_text(identity), texts, _check_text(proven))
        )
    if kind is LevelSum:
        is_total, shed_shares = fields
        return LevelSum(
            bool(is_total),
            tuple(_decode_route_shedding(*route) for route in shed_shares),
        )
    if kind is Usages:
        (entries,) = fields
        return Usages(tuple(_decode_usage(*entry) for entry in entries))
    if kind is UsageSum:
        is_total, (daemons, entries) = fields
        usages = tuple(_decode_usage(*entry) for entry in entries)
        total = workspace_usages.UsageTotal(_check_non_negative(daemons), usages)
        return UsageSum(bool(is_total), total)
    if kind in (TopicEnd, TopicAsk):
        topic, offset = fields
        return kind(_check_text(topic), _check_non_negative(offset))
    if kind is TopicRecords:
        topic, start, end, records = fields
        return TopicRecords(
            _check_text(topic),
            _check_non_negative(start),
            _check_non_negative(end),
            tuple(_decode_record(*record) for record in records),
        )
    return kind(*fields)


def _decode_record(key, value, offset):
    if type(value) is not bytes:
        raise ValueError("record value must be bytes")
    return keyed.Record(_check_text(key), value, _check_non_negative(offset))


def _decode_topology(entries, calls):
    edges = [callgraph.Edge(*map(_check_text, call)) for call in calls]
    return callgraph.Topology(tuple(map(_check_text, entries)), tuple(edges))


def _decode_route_shedding(route, values):
    shed_shares = tuple(_check_non_negative(value) for value in values)
    if len(shed_shares) != len(reportedlevels.NO_SHED_SHARES):
        raise ValueError("expected one shed share for each importance")
    return reportedlevels.RouteShedding(_check_text(route), shed_shares)


def _decode_usage(workspace, demand, admitted):
    rates = tuple(map(_check_non_negative, demand))
    if len(rates) != len(_IMPORTANCES):
        raise ValueError("expected one rate for each importance")
    return workspace_usages.WorkspaceUsage(
        _check_text(workspace), rates, _check_non_negative(admitted)
    )


def _check_text(text):
    if type(text) is not str:
        raise ValueError("expected a string")
    return text


def _check_non_negative(offset):
    if type(offset) is not int or offset < 0:
        raise ValueError("expected a non-negative integer")
    return offset
