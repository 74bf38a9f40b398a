"""Which endpoints of a service a daemon uses.

Load pattern: hundreds of daemons call a service of dozens of endpoints. If each uses
each endpoint, connections, signs of life and all that is told over them grow with the
square of the daemons, and a daemon meets an endpoint so rarely that it knows nothing
of it.

So a daemon uses a few endpoints of each service, dealt out without talking. The daemons
of an availability zone stand in one order, its endpoints in another; the place of a
daemon in the first tells where it starts in the second, and it uses what follows. Each
endpoint then gets as many of its zone's daemons as any other, to within one. Some more
are of the other zones, which a zone leans on when its own are full or lost; there a
hash tells where to start. One that comes or goes moves a start by one place at most.
Where one is out of reach the next in the order takes its place.

Daemons that know different members are uneven for a moment, not wrong.
"""

import enum
import hashlib
from collections.abc import Sequence
from typing import NamedTuple

from .messages import Endpoint

# Half may be set aside, and of the rest three are drawn for each call.
SUBSET_SIZE = 12
# Of these in the own zone, at most.
NEAR_SIZE = 8


class Reach(enum.Enum):
    """What a daemon knows of its connection with another."""

    UP = "connected"
    UNTRIED = "not yet tried"
    DUE = "was out of reach, to be tried again"
    PAUSING = "was out of reach a moment ago"


class Usable(NamedTuple):
    """The endpoints of a service that a daemon uses at present.

    Attributes:
        endpoints: Those to choose from for a call.
        wanted: Those that the daemon should connect with.
    """

    endpoints: Sequence[Endpoint]
    wanted: Sequence[Endpoint]


class Subsets:
    """The endpoints of each service in the order in which one daemon prefers them.

    Args:
        own: Address of this daemon.
        zone: Its availability zone.
        directory: `directory.Directory`.
    """

    def __init__(self, own, zone, directory):
        self._own = own
        self._zone = zone
        self._directory = directory
        self._known = None
        self._position = 0.0
        self._orders = {}

    def list_preferred(self, service):
        """Return the endpoints of a service, the preferred ones in front."""
        everyone = self._directory.everyone
        if self._known is not everyone:
            self._known = everyone
            self._orders = {}
            self._position = find_position(self._own, self._zone, everyone)
        order = self._orders.get(service)
        if order is None:
            endpoints = self._directory.find_endpoints(service)
            order = order_endpoints(self._own, self._zone, self._position, endpoints)
            self._orders[service] = order
        return order


def choose_usable(preferred, find_reach):
    """Return the endpoints that a daemon uses at present, and those to connect to.

    The first of its order count, connected or not yet tried. One that was out of reach
    counts for nothing, so that the next takes its place, and is tried again when due.

    Args:
        preferred: `Endpoint` tuples in the order in which the daemon prefers them.
        find_reach: Function from an address to a `Reach`.

    Returns:
        A `Usable`.
    """
    found = {reach: [] for reach in Reach}
    counted = 0
    for endpoint in preferred:
        reach = find_reach(endpoint.address)
        found[reach].append(endpoint)
        counted += reach in (Reach.UP, Reach.UNTRIED)
        if counted == SUBSET_SIZE:
            break
    untried, due = found[Reach.UNTRIED], found[Reach.DUE]
    return Usable(found[Reach.UP] or untried or due, (*untried, *due))


def find_position(own, zone, everyone):
    """Return the place of a daemon among those of its zone, from 0 to below 1.

    Args:
        own: Its address.
        zone: Its availability zone.
        everyone: `Endpoint` tuples of all daemons known.
    """
    weight = _weigh("", own)
    weights = {
        e.address: _weigh("", e.address)
        for e in everyone
        if e.zone == zone and e.address != own
    }
    before = sum(other < weight for other in weights.values())
    return before / (len(weights) + 1)


def order_endpoints(
    own: str, zone: str, position: float, endpoints: Sequence[Endpoint]
) -> tuple[Endpoint, ...]:
    """Return endpoints of a service in the order in which a daemon prefers them.

    Args:
        own: Address of the daemon; an endpoint beside it comes first.
        zone: Its availability zone.
        position: Its place among the daemons of the zone, from 0 to below 1.
        endpoints: All endpoints of the service.
    """
    beside = [e for e in endpoints if e.address == own]
    near = _rotate([e for e in endpoints if e.zone == zone], zone, position)
    near = beside + [e for e in near if e.address != own]
    # By its place a daemon of a small zone would move far when another one comes.
    far = _rotate([e for e in endpoints if e.zone != zone], zone, _spread(own))
    first_far = SUBSET_SIZE - min(len(near), NEAR_SIZE)
    return (
        *near[:NEAR_SIZE],
        *far[:first_far],
        *near[NEAR_SIZE:],
        *far[first_far:],
    )


def _rotate(endpoints, zone, position):
    """Return endpoints in the zone's order, from the start that a place gives."""
    ordered = sorted(endpoints, key=lambda e: _weigh(zone, e.address))
    start = int(position * len(ordered))
    return ordered[start:] + ordered[:start]


def _spread(address):
    """Return a number from 0 to below 1 that an address always has."""
    digest, _ = _weigh("far", address)
    return int.from_bytes(digest, "big") / 256 ** len(digest)


def _weigh(salt, address):
    digest = hashlib.blake2b(f"{salt} {address}".encode(), digest_size=8)
    return digest.digest(), address
