"""Selection of the log readers of an availability zone, without an election.

Load pattern: if each of 4,500 daemons polled the log, it would serve thousands of
identical reads a second. Therefore a few daemons of each zone read, and the others
receive the records from them by gossip. Every daemon ranks the daemons of its zone
by a hash and sees locally whether it is among the first. When two daemons know
different members, a few too many or too few read for some seconds, which is
harmless: any daemon may read.

Without `SPARE_READERS`, a zone whose readers are alive but can't reach the log
would never receive a change that its other daemons could read. The age of the
configuration shows this, so the next daemons in rank read too while it is high.

Three readers per zone leave one when a rack fails with two of them; nine zones make
27 long polls, about 6 reads a second. `MAX_CONFIRMED_AGE` is the duration of three
lost polls in a row, in seconds.
"""

import zlib

from .. import membertable

READERS_PER_ZONE = 3
SPARE_READERS = 3
MAX_CONFIRMED_AGE = 15.0


def is_reader(members, local_member, stream, age):
    """Return whether this daemon should read a stream of the log.

    Args:
        members: Iterable of `membertable.Member`.
        local_member: This daemon's `membertable.Member`.
        stream: Name of the stream; each stream has different readers.
        age: Seconds since the stream was last confirmed to be read to its end.
    """
    zone, region = local_member.endpoint.zone, local_member.endpoint.region
    local_rank = _rank(local_member.endpoint, stream)
    remaining = READERS_PER_ZONE + (SPARE_READERS if age > MAX_CONFIRMED_AGE else 0)
    for member in members:
        endpoint = member.endpoint
        if endpoint.zone != zone or endpoint.region != region:
            continue
        if member.state not in (membertable.State.ALIVE, membertable.State.LEAVING):
            continue
        if _rank(endpoint, stream) < local_rank:
            remaining -= 1
        if remaining == 0:
            # Most daemons aren't readers, which a few members suffice to show.
            return False
    return True


def _rank(endpoint, stream):
    return zlib.crc32(f"{stream}:{endpoint.daemon}".encode()), endpoint.daemon
