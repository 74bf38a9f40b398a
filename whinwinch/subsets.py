"""Selection of the endpoints of a service that a daemon uses.

Load pattern: hundreds of daemons call a service of dozens of endpoints. If each daemon
uses each endpoint, connections, heartbeats and the messages sent over them grow with
the square of the number of daemons, and a daemon calls an endpoint so rarely that it
can't judge its latency and failures.

So each daemon uses a subset of the endpoints of a service, which it computes without
coordination. The daemons of an availability zone are put in one order and its
endpoints in another. The position of a daemon in the first order determines where its
subset starts in the second. Each endpoint is then used by as many daemons of its zone
as any other, to within one. The subset also has some endpoints of the other zones, to
be used when the local ones are full or lost; a hash determines where these start. A
daemon or endpoint that joins or leaves moves a start by one place at most. An endpoint
that is unreachable is replaced by the next one in the order.

While daemons know different members the distribution is uneven, but never wrong.
"""

import enum
import hashlib
from collections.abc import Sequence
from typing import NamedTuple

from .messages import Endpoint

# Half of them may be set aside, and three of the others are drawn for each call.
SUBSET_SIZE = 12
# Endpoints of a subset that are in the local zone, where other zones have enough.
MAX_LOCAL_ENDPOINTS = 8


class Reachability(enum.Enum):
    """State of a daemon's connection to another.

    Attributes:
        UP: It is connected.
        UNTRIED: No connection has been tried yet.
        RETRY_DUE: It was unreachable, and the next try is due.
        BACKING_OFF: It was unreachable, and the next try isn't due yet.
    """

    UP = "connected"
    UNTRIED = "not yet tried"
    RETRY_DUE = "was out of reach, to be tried again"
    BACKING_OFF = "was out of reach a moment ago"


class Usable(NamedTuple):
    """The endpoints of a service that a daemon currently uses.

    Attributes:
        endpoints: Endpoints to choose from for a call.
        to_connect: Endpoints that the daemon should connect to.
    """

    endpoints: Sequence[Endpoint]
    to_connect: Sequence[Endpoint]


class Subsets:
    """The endpoints of each service in the order in which one daemon prefers them.

    Args:
        own_address: Address of this daemon.
        zone: Its availability zone.
        directory: The `directory.Directory` of known endpoints.
    """

    def __init__(self, own_address, zone, directory):
        self._own_address = own_address
        self._zone = zone
        self._directory = directory
        self._members = None
        self._position = 0.0
        self._orders = {}

    def list_preferred(self, service):
        """Return the endpoints of a service, the preferred ones first."""
        all_endpoints = self._directory.all_endpoints
        if self._members is not all_endpoints:
            self._members = all_endpoints
            self._orders = {}
            self._position = find_position(self._own_address, self._zone, all_endpoints)
        order = self._orders.get(service)
        if order is None:
            endpoints = self._directory.find_endpoints(service)
            order = order_endpoints(
                self._own_address, self._zone, self._position, endpoints
            )
            self._orders[service] = order
        return order


def choose_usable(preferred, find_reach):
    """Return the endpoints that a daemon currently uses and those to connect to.

    The subset is the first `SUBSET_SIZE` endpoints that are connected or not yet tried.
    An unreachable endpoint doesn't count, so that the next one replaces it, and a new
    connection to it is tried when due.

    Args:
        preferred: `Endpoint` tuples in the order in which the daemon prefers them.
        find_reach: Function that returns the `Reachability` of an address.

    Returns:
        A `Usable`.
    """
    by_reach = {reach: [] for reach in Reachability}
    counted = 0
    for endpoint in preferred:
        reach = find_reach(endpoint.address)
        by_reach[reach].append(endpoint)
        counted += reach in (Reachability.UP, Reachability.UNTRIED)
        if counted == SUBSET_SIZE:
            break
    untried, due = by_reach[Reachability.UNTRIED], by_reach[Reachability.RETRY_DUE]
    return Usable(by_reach[Reachability.UP] or untried or due, (*untried, *due))


def list_sound(preferred, find_reach):
    """Return the endpoints of the subset that aren't known to be unreachable.

    Two daemons that know the same members of a small service return the same endpoints,
    connected to them or not.

    Args:
        preferred: `Endpoint` tuples in the order in which the daemon prefers them.
        find_reach: Function that returns the `Reachability` of an address.
    """
    sound = (Reachability.UP, Reachability.UNTRIED)
    return [e for e in preferred[:SUBSET_SIZE] if find_reach(e.address) in sound]


def find_position(own_address, zone, all_endpoints):
    """Return the position of a daemon in its zone's order, from 0 to below 1.

    Args:
        own_address: Address of the daemon.
        zone: Its availability zone.
        all_endpoints: `Endpoint` tuples of all known daemons.
    """
    weight = _hash_address("", own_address)
    weights = {
        e.address: _hash_address("", e.address)
        for e in all_endpoints
        if e.zone == zone and e.address != own_address
    }
    before = sum(other < weight for other in weights.values())
    return before / (len(weights) + 1)


def order_endpoints(
    own_address: str, zone: str, position: float, endpoints: Sequence[Endpoint]
) -> tuple[Endpoint, ...]:
    """Return endpoints of a service in the order in which a daemon prefers them.

    Args:
        own_address: Address of the daemon; its local backend server comes first.
        zone: Its availability zone.
        position: Its position among the daemons of the zone, from 0 to below 1.
        endpoints: All endpoints of the service.
    """
    colocated = [e for e in endpoints if e.address == own_address]
    local = _rotate([e for e in endpoints if e.zone == zone], zone, position)
    local = colocated + [e for e in local if e.address != own_address]
    # A position would change a lot when another daemon joins a small zone, so the start
    # among the remote endpoints is a hash of the address.
    remote = _rotate(
        [e for e in endpoints if e.zone != zone], zone, _hash_fraction(own_address)
    )
    remote_count = SUBSET_SIZE - min(len(local), MAX_LOCAL_ENDPOINTS)
    return (
        *local[:MAX_LOCAL_ENDPOINTS],
        *remote[:remote_count],
        *local[MAX_LOCAL_ENDPOINTS:],
        *remote[remote_count:],
    )


def _rotate(endpoints, zone, position):
    """Return endpoints in the order of a zone, rotated to start at a position.

    Args:
        endpoints: `Endpoint` tuples.
        zone: Salt of the hash that determines the order.
        position: Start as a share of the order, from 0 to below 1.
    """
    ordered = sorted(endpoints, key=lambda e: _hash_address(zone, e.address))
    start = int(position * len(ordered))
    return ordered[start:] + ordered[:start]


def _hash_fraction(address):
    """Return a hash of an address as a number from 0 to below 1."""
    digest, _ = _hash_address("far", address)
    return int.from_bytes(digest, "big") / 256 ** len(digest)


def _hash_address(salt, address):
    """Return a sort key for an address: its salted hash, then the address itself."""
    digest = hashlib.blake2b(f"{salt} {address}".encode(), digest_size=8)
    return digest.digest(), address
