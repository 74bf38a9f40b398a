"""Log records of joins and leaves, from which a new daemon finds its first peers.

Load pattern: a daemon starts and knows no peer; now and then five hundred daemons
of a zone, or all of them, start at once. The stream has a record of each join and
leave, but no heartbeats. A newcomer reads the end of the stream, contacts the
addresses found there, and receives everything else by gossip, so that an outage of
the log only affects daemons that start during it.

A join is only of use to later newcomers, and one record of a running daemon among
the last `TAIL_RECORDS` is enough for them. So a join is postponed while the stream
has many recent ones, and daemons that haven't reached the mesh yet wait longer the
more joins they read. Otherwise a zone that restarts would send all its appends
within one second, on top of the claims of all payouts. Each record also names a few
other members, so that the end of the stream stays useful after the daemons that
wrote it are gone.

Every daemon rereads the end of the stream at an interval proportional to the size
of the mesh. If the mesh splits, the smaller part finds the larger one quickly, and
a daemon that sees that the log's retention has left too few records adds one.
"""

import json
from typing import NamedTuple, TypedDict

from . import membertable, messages

# Number of records read from the end of the stream.
TAIL_RECORDS = 64
# A record is added when the stream has fewer than this.
MIN_RECORDS = 8
# Appends of joins per second, over the whole mesh: a few hundredths of the log's
# capacity.
APPEND_RATE = 10.0
# Minimum time in seconds over which appends are spread.
MIN_APPEND_SPREAD = 1.0
# Reads of the stream's end per second, over the whole mesh.
READ_RATE = 1.0
# Minimum mean time in seconds between two reads by one daemon.
MIN_READ_INTERVAL = 30.0
# Number of other members named in a record.
COMPANIONS = 7
# A leave isn't appended when more daemons than this have joined recently. It only
# saves newcomers a futile attempt to connect, and the restart of a zone needs the
# log's appends for its joins.
MAX_JOINS_FOR_LEAVE = 20
# Age in seconds up to which a join counts as recent.
RECENT_WINDOW = 60.0
# Number of recent records that is enough for newcomers: with seven companions each
# they name some 250 daemons.
ENOUGH_RECENT_JOINS = 32


class EndpointFields(TypedDict):
    """Fields of a daemon in the JSON of a record."""

    daemon: str
    address: str
    zone: str
    region: str


class JoinRecord(NamedTuple):
    """Content of one record of the stream.

    Attributes:
        joined: Endpoints of daemons through which the mesh can be reached.
        left: Identifiers of daemons that have left.
    """

    joined: tuple[messages.Endpoint, ...] = ()
    left: tuple[str, ...] = ()


def encode_record(record):
    """Encode a `JoinRecord` as JSON in UTF-8."""
    fields = {
        "joined": [_encode_endpoint(endpoint) for endpoint in record.joined],
        "left": list(record.left),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_record(data):
    """Decode a `JoinRecord` from the bytes of a record.

    Invalid bytes give an empty record: a record written by a newer version must
    not prevent a daemon from joining.
    """
    try:
        fields = json.loads(data)
        joined = tuple(_decode_endpoint(item) for item in fields["joined"])
        left = tuple(str(daemon) for daemon in fields["left"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return JoinRecord()
    return JoinRecord(joined, left)


def build_join(members, random):
    """Return the `JoinRecord` of this daemon, with a few other members.

    Args:
        members: The `membership.Membership`.
        random: A `random.Random`.
    """
    others = [
        member.endpoint
        for member in members.members()
        if member.state is membertable.State.ALIVE
        and member.endpoint.daemon != members.local_member.endpoint.daemon
    ]
    companions = random.sample(others, min(COMPANIONS, len(others)))
    return JoinRecord((members.local_member.endpoint, *companions))


def apply_records(members, records):
    """Apply records to the contacts of the membership.

    Args:
        members: The `membership.Membership`.
        records: `logservice.client.Record` tuples, oldest first.

    Returns:
        The number of recent joins, as counted by `count_recent`.
    """
    for record in records:
        decoded = decode_record(record.data)
        for endpoint in reversed(decoded.joined):
            members.add_contact(endpoint)
        for daemon in decoded.left:
            members.remove_contact(daemon)
    return count_recent(records)


def count_recent(records):
    """Count the joins written within `RECENT_WINDOW` seconds before the newest record.

    Only the log's timestamps are compared, since instances' clocks may differ.
    """
    newest = max((record.time for record in records), default=0.0)
    recent = (record for record in records if record.time > newest - RECENT_WINDOW)
    return sum(bool(decode_record(record.data).joined) for record in recent)


def find_append_delay(recent_joins, random):
    """Return the time in seconds to wait before a join is appended, with jitter.

    Args:
        recent_joins: Number of recent joins.
        random: A `random.Random`.
    """
    return random.uniform(0.0, max(MIN_APPEND_SPREAD, recent_joins / APPEND_RATE))


def find_read_interval(members, random):
    """Return the time in seconds between two reads of the stream, with jitter.

    Args:
        members: Number of members of the mesh.
        random: A `random.Random`.
    """
    return max(MIN_READ_INTERVAL, members / READ_RATE) * random.uniform(0.5, 1.5)


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
