"""Who reads the log for an availability zone, decided without an election.

The load pattern: if each of 4,500 daemons polled the log, it would serve
thousands of reads a second that all say the same. So a few daemons of each
zone read and the others hear from them by gossip. Everyone ranks the daemons
of its zone by a hash and sees by itself whether it is among the first. When
two daemons know different members, a few too many or too few read for some
seconds, which does no harm: reading is safe for anyone.

Without `SPARE_READERS` a zone whose readers live but can't reach the log
would never hear of a change that its other daemons could read. That shows in
the age of the configuration, so the next in rank read too while it is high.

Grounds: three readers a zone leave one when a rack takes two; nine zones make
27 long polls, about 6 reads a second. `QUIET` is three polls in a row lost.
"""

import zlib

from .. import membertable

READERS = 3
SPARE_READERS = 3
QUIET = 15.0


def is_reader(members, own, stream, age):
    """Tell whether this daemon should read a stream of the log.

    Args:
        members: Iterable of `membertable.Member`.
        own: This daemon's `membertable.Member`.
        stream: Name of the stream; each has other readers.
        age: Seconds since the stream was known to be read to its end.
    """
    zone, region = own.endpoint.zone, own.endpoint.region
    own_weight = _weigh(own.endpoint, stream)
    left = READERS + (SPARE_READERS if age > QUIET else 0)
    for member in members:
        endpoint = member.endpoint
        if endpoint.zone != zone or endpoint.region != region:
            continue
        if member.state not in (membertable.State.ALIVE, membertable.State.LEAVING):
            continue
        if _weigh(endpoint, stream) < own_weight:
            left -= 1
        if left == 0:
            # Most daemons aren't readers and find that out after a few members.
            return False
    return True


def _weigh(endpoint, stream):
    return zlib.crc32(f"{stream}:{endpoint.daemon}".encode()), endpoint.daemon
