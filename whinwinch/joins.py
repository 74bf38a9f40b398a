"""Joins and leaves on the log: how a new daemon finds the first of its peers.

The load pattern: a daemon starts and knows nobody; now and then five hundred
of a zone, or all of them, start at once. The stream holds a record for each
join and leave, never heartbeats. A newcomer reads the end of the stream, tries
the addresses there, and from then on has everything from gossip, so that an
outage of the log matters only to who starts during it.

A join helps only later newcomers, and a record of a living daemon among the
last `TAIL` is enough for them. So it is put off while the stream has many
recent ones, and daemons that aren't in the mesh yet wait the longer the more
joins they see. Otherwise a zone that restarts would send its appends in one
second, on top of the claims of everybody's payouts. Each record names a few
other members too, so that the stream's end is of use although the daemons that
wrote it are gone.

All read the end of the stream again at an interval that grows with the size of
the mesh. So a mesh that fell apart is found by its smaller part quickly, and
whoever sees that the log's retention has left too few records adds one.
"""

import json
from typing import NamedTuple, TypedDict

from . import membertable, messages

# Records read from the end of the stream.
TAIL = 64
# Fewer records than this in the stream, and one is added.
FEWEST_RECORDS = 8
# Appends a second by joins, mesh-wide: a few hundredths of what the log takes.
APPEND_RATE = 10.0
SHORTEST_SPREAD = 1.0
# Reads a second of the stream's end, mesh-wide, and the shortest interval.
READ_RATE = 1.0
SHORTEST_INTERVAL = 30.0
# Other members named in a record.
COMPANIONS = 7
# A leave isn't appended while more daemons than this joined lately: it only
# saves newcomers a vain attempt, and the restart of a zone needs the log's
# appends for its joins.
MANY_JOINS = 20
RECENT = 60.0
# Recent records that are enough for newcomers: with seven companions each they
# name some 250 daemons.
ENOUGH_RECENT = 32


class EndpointFields(TypedDict):
    """What a record tells of a daemon."""

    daemon: str
    address: str
    zone: str
    region: str


class JoinRecord(NamedTuple):
    """A record of the stream.

    Attributes:
        joined: Endpoints through which the mesh may be reached.
        left: Identifiers of daemons that have left.
    """

    joined: tuple[messages.Endpoint, ...] = ()
    left: tuple[str, ...] = ()


def encode_record(record):
    """Return the bytes of a `JoinRecord`."""
    fields = {
        "joined": [_encode_endpoint(endpoint) for endpoint in record.joined],
        "left": list(record.left),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_record(data):
    """Return the `JoinRecord` of some bytes.

    What can't be read counts as empty: a record of a newer version must not
    keep a daemon from joining.
    """
    try:
        fields = json.loads(data)
        joined = tuple(_decode_endpoint(item) for item in fields["joined"])
        left = tuple(str(daemon) for daemon in fields["left"])
    except (ValueError, KeyError, TypeError):
        return JoinRecord()
    return JoinRecord(joined, left)


def build_join(members, random):
    """Return the record of this daemon's join, with a few companions.

    Args:
        members: The `membership.Membership`.
        random: Source of the choice.
    """
    others = [
        member.endpoint
        for member in members.members()
        if member.state is membertable.State.ALIVE
        and member.endpoint.daemon != members.own.endpoint.daemon
    ]
    companions = random.sample(others, min(COMPANIONS, len(others)))
    return JoinRecord((members.own.endpoint, *companions))


def load_records(members, records):
    """Give records to the membership as contacts, oldest first.

    Returns:
        How many of the records are recent, as `count_recent` has it.
    """
    for record in records:
        decoded = decode_record(record.data)
        for endpoint in reversed(decoded.joined):
            members.load_join(endpoint)
        for daemon in decoded.left:
            members.load_leave(daemon)
    return count_recent(records)


def count_recent(records):
    """Count the joins written within `RECENT` seconds before the newest record.

    The log's clock alone counts: instances' clocks may differ from it.
    """
    newest = max((record.time for record in records), default=0.0)
    recent = (record for record in records if record.time > newest - RECENT)
    return sum(bool(decode_record(record.data).joined) for record in recent)


def find_append_delay(recent_joins, random):
    """Return the seconds to wait before a join is appended, jittered."""
    return random.uniform(0.0, max(SHORTEST_SPREAD, recent_joins / APPEND_RATE))


def find_read_interval(members, random):
    """Return the seconds between two reads of the stream's end, jittered.

    Args:
        members: Number of members.
        random: Source of jitter.
    """
    return max(SHORTEST_INTERVAL, members / READ_RATE) * random.uniform(0.5, 1.5)


def _encode_endpoint(endpoint):
    return EndpointFields(
        daemon=endpoint.daemon,
        address=endpoint.address,
        zone=endpoint.zone,
        region=endpoint.region,
    )


def _decode_endpoint(fields):
    return messages.Endpoint(
        daemon=str(fields["daemon"]),
        address=str(fields["address"]),
        zone=str(fields["zone"]),
        region=str(fields["region"]),
    )
