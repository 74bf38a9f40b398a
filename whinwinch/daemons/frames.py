"""Messages between daemons on a shared connection, and their bytes.

All calls between two daemons share one connection: a call costs one small write
on each side, many of them share a system call under load, and to cancel one is a
message instead of a closed connection. Each message is one msgpack array; the
first item tells its kind.
"""

from typing import NamedTuple

import msgpack

from .. import callgraph, messages, reportedlevels
from ..logservice import keyed

# A request and its body, an answer and its body.
LARGEST_FRAME = 64 << 20


class FrameError(Exception):
    """Bytes that are no message of this protocol."""


class Hello(NamedTuple):
    """The first message of either side.

    Attributes:
        daemon: Identifier of this start of the daemon.
        address: "host:port" at which other daemons reach it.
        token: What the calling side shows to be let in, "" for nothing.
    """

    daemon: str
    address: str
    token: str = ""


class Call(NamedTuple):
    """One attempt for the backend server beside the receiver.

    Attributes:
        number: Number of the attempt, ascending for each start of the sender.
        request: The attempt. Its deadline is the receiver's: what travels is
            the time left.
    """

    number: int
    request: messages.Request


class Reply(NamedTuple):
    """The answer to the call of a number."""

    number: int
    answer: messages.Answer


class Cancel(NamedTuple):
    """The answer to the call of a number is no longer wanted."""

    number: int


class Ping(NamedTuple):
    """Asks for a `Pong`, to see that the connection still carries anything."""

    number: int


class Pong(NamedTuple):
    """Answers a `Ping`."""

    number: int


class News(NamedTuple):
    """What the sender's backend server is at present.

    Attributes:
        endpoint: The backend server; without a service while none is known.
    """

    endpoint: messages.Endpoint


class Levels(NamedTuple):
    """Admission levels of the routes that the sender's backend server serves.

    Attributes:
        levels: Pairs of a route's name and its level; 0 is left out.
    """

    levels: tuple[tuple[str, float], ...]


class LevelSum(NamedTuple):
    """Admission levels of many daemons, added up by a relay.

    Attributes:
        is_total: Whether of all daemons that the relay has heard of; else of those
            that tell their levels to it.
        cuts: `reportedlevels.RouteShedding` tuples.
    """

    is_total: bool
    cuts: tuple[reportedlevels.RouteShedding, ...]


class Graph(NamedTuple):
    """What is known of the calls that requests make."""

    facts: callgraph.Topology


class Gossip(NamedTuple):
    """A gossip message in its own encoding; the number is the sender's."""

    number: int
    data: bytes


class GossipReply(NamedTuple):
    """The answer to the gossip message of a number."""

    number: int
    data: bytes


class TopicEnd(NamedTuple):
    """The end of a topic of the log, as the sender has just read it.

    Attributes:
        topic: Name of the topic.
        end: Offset behind its last record.
    """

    topic: str
    end: int


class TopicAsk(NamedTuple):
    """Asks for the records of a topic from an offset on."""

    topic: str
    start: int


class TopicRecords(NamedTuple):
    """Records of a topic, the newest of each key from an offset on.

    Attributes:
        topic: Name of the topic.
        start: Offset that was asked for.
        end: Offset behind the last record that the sender knows.
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
)
TOPIC_KINDS = (TopicEnd, TopicAsk, TopicRecords)
_NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
_REASONS = tuple(messages.Reason)
_REASON_NUMBERS = {reason: number for number, reason in enumerate(_REASONS)}
_IMPORTANCES = tuple(messages.Importance)
_OUTCOMES = tuple(messages.Outcome)
_OUTCOME_NUMBERS = {outcome: number for number, outcome in enumerate(_OUTCOMES)}

# Places of the fields that travel in another form. The tuples are taken apart by
# place: `_replace` costs as much as the packing.
_IMPORTANCE = messages.Request._fields.index("importance")
_DEADLINE = messages.Request._fields.index("deadline")
_DUE = messages.Request._fields.index("due")
_OUTCOME = messages.Answer._fields.index("outcome")
_REASON = messages.Answer._fields.index("reason")
_LOAD = messages.Answer._fields.index("load")


def encode_frame(frame, now=0.0):
    """Return the bytes of a message.

    Args:
        frame: One of `KINDS`.
        now: Time of the loop's clock, for the time that a call has left.
    """
    kind = type(frame)
    number = _NUMBERS[kind]
    if kind is Call:
        fields = list(frame.request)
        fields[_DEADLINE] -= now
        fields[_DUE] -= now
        return msgpack.packb((number, frame.number, fields))
    if kind is Reply:
        fields = list(frame.answer)
        fields[_OUTCOME] = _OUTCOME_NUMBERS[frame.answer.outcome]
        fields[_REASON] = _REASON_NUMBERS[frame.answer.reason]
        return msgpack.packb((number, frame.number, fields))
    return msgpack.packb((number, *frame))


def build_unpacker():
    """Return an unpacker that takes bytes as they come."""
    return msgpack.Unpacker(use_list=False, max_buffer_size=LARGEST_FRAME)


def decode_frames(unpacker, data, now):
    """Yield the messages that are complete with some more bytes.

    Args:
        unpacker: Of the connection, made by `build_unpacker`.
        data: The bytes received.
        now: Time of the loop's clock, for the deadline of a call.

    Raises:
        FrameError: When the bytes are no messages of this protocol.
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
        values[_IMPORTANCE] = _IMPORTANCES[values[_IMPORTANCE]]
        values[_DEADLINE] += now
        values[_DUE] += now
        return Call(number, messages.Request(*values))
    if kind is Reply:
        number, values = fields
        values = list(values)
        values[_OUTCOME] = _OUTCOMES[values[_OUTCOME]]
        values[_REASON] = _REASONS[values[_REASON]]
        values[_LOAD] = messages.Load(*values[_LOAD])
        return Reply(number, messages.Answer(*values))
    if kind is News:
        (endpoint,) = fields
        return News(messages.Endpoint(*endpoint))
    if kind is Graph:
        ((entries, calls),) = fields
        return Graph(_decode_facts(entries, calls))
    if kind is LevelSum:
        is_total, cuts = fields
        return LevelSum(bool(is_total), tuple(_decode_cut(*cut) for cut in cuts))
    if kind in (TopicEnd, TopicAsk):
        topic, offset = fields
        return kind(_check_text(topic), _check_offset(offset))
    if kind is TopicRecords:
        topic, start, end, records = fields
        return TopicRecords(
            _check_text(topic),
            _check_offset(start),
            _check_offset(end),
            tuple(_decode_record(*record) for record in records),
        )
    return kind(*fields)


def _decode_record(key, value, offset):
    if type(value) is not bytes:
        raise ValueError("the value of a record must be bytes")
    return keyed.Record(_check_text(key), value, _check_offset(offset))


def _decode_facts(entries, calls):
    edges = [callgraph.Edge(*map(_check_text, call)) for call in calls]
    return callgraph.Topology(tuple(map(_check_text, entries)), tuple(edges))


def _decode_cut(route, cuts):
    whole = tuple(_check_offset(cut) for cut in cuts)
    if len(whole) != len(reportedlevels.NO_SHED_SHARES):
        raise ValueError("a cut for each importance is wanted")
    return reportedlevels.RouteShedding(_check_text(route), whole)


def _check_text(text):
    if type(text) is not str:
        raise ValueError("must be a text")
    return text


def _check_offset(offset):
    if type(offset) is not int or offset < 0:
        raise ValueError("an offset must be a whole number")
    return offset
