"""Selection of the daemons that read the log for the others, without an election.

Load pattern: a daemon that reads the log for itself makes a call every second or
two, and each record that a daemon writes wakes all of them, so the number of calls
grows with the square of the number of daemons. Therefore one daemon of each
availability zone reads, or one of each group in a large zone. Every daemon receives
the log's records from the reader of its own zone and from that of the next one, so
that nothing is lost when a reader dies, freezes or becomes unreachable.

Every daemon ranks the daemons that it knows by a hash of their addresses and sees
locally whether it ranks first. When two daemons know different members, there may be
one reader too many or too few; too few shows in copies that are not confirmed.
"""

import itertools
import zlib
from typing import NamedTuple

# Maximum number of unreachable daemons of higher rank to connect to concurrently.
MAX_UNREACHABLE_TRIED = 3
# Maximum number of unreachable group members that a reader tries concurrently.
MAX_UNREACHABLE_VISITED = 8
# Maximum number of daemons that one reader serves; a larger zone has more readers.
GROUP_SIZE = 64
# Divisor that drops the low bits of a hash: the low bits rank the daemons, the
# higher bits assign them to groups.
GROUP_HASH_DIVISOR = 1 << 16


class Sources(NamedTuple):
    """The daemons from which one daemon receives the log's records.

    Attributes:
        is_reader: Whether this daemon reads the log itself.
        peer_addresses: Addresses of the daemons that it should be connected to.
        reader: Address of the daemon that reads for it, which may be itself.
        is_relay: Whether `reader` is this daemon, so that it relays the reports of
            its group. In a single group a second daemon reads but relays nothing.
        other_readers: For a reader, addresses of the readers of the other groups.
        group_index: Index of this daemon's group among all groups.
    """

    is_reader: bool
    peer_addresses: tuple[str, ...]
    reader: str
    is_relay: bool = True
    other_readers: tuple[str, ...] = ()
    group_index: int = 0


class Group(NamedTuple):
    """Daemons that share one reader.

    Attributes:
        zone: Name of their availability zone.
        number: Index of the group within the zone.
        addresses: Their addresses, highest rank first.
    """

    zone: str
    number: int
    addresses: list[str]


class Ranks:
    """The known daemons in groups by availability zone, highest rank first.

    Args:
        local_address: Address of this daemon.
        zone: Name of its availability zone.
        endpoints: `messages.Endpoint` tuples of the known daemons.
    """

    def __init__(self, local_address, zone, endpoints):
        self._local_address = local_address
        zones = {zone: [local_address]}
        for endpoint in endpoints:
            if endpoint.address != local_address:
                zones.setdefault(endpoint.zone, []).append(endpoint.address)
        for addresses in zones.values():
            addresses.sort(key=_rank)
        groups = [
            Group(name, number, members)
            for name in sorted(zones)
            for number, members in enumerate(_divide(zones[name]))
        ]
        (local_index,) = (
            n for n, group in enumerate(groups) if local_address in group.addresses
        )
        self._local_group = groups[local_index].addresses
        self._group_index = local_index
        # The next zone loses power independently of the local one.
        self._other_groups = [
            g.addresses for g in groups[local_index + 1 :] + groups[:local_index]
        ]
        self._second_group = _find_second_group(groups, local_index)

    def choose(self, is_up, find_connected=frozenset):
        """Return the `Sources` of this daemon.

        Args:
            is_up: Function from an address to whether its daemon is connected.
            find_connected: Function that returns the addresses of the daemons that
                have connected to this one.
        """
        near = self._walk(self._local_group, is_up)
        reader, readers = near[-1], near[-1:]
        if self._second_group is not self._local_group:
            other = self._walk(self._second_group, is_up)
        else:
            # In a single group the first two read, so that there is a second source.
            other = self._walk(
                [a for a in self._local_group if a not in readers], is_up
            )
            readers += other[-1:]
        is_reader = self._local_address in readers
        visited_addresses, other_readers = (), ()
        if is_reader:
            walks = [self._walk(addresses, is_up) for addresses in self._other_groups]
            other_readers = tuple(walk[-1] for walk in walks)
            connected = find_connected()
            unreachable = self._find_unreachable(
                lambda address: address in connected or is_up(address)
            )
            visited_addresses = (*itertools.chain(*walks), *unreachable)
        wanted = dict.fromkeys((*near, *other, *visited_addresses))
        wanted.pop(self._local_address, None)
        is_relay = reader == self._local_address
        return Sources(
            is_reader, tuple(wanted), reader, is_relay, other_readers, self._group_index
        )

    def _find_unreachable(self, is_linked):
        """Return unreachable daemons of the group that this daemon reads for.

        A daemon that restarts while the log can't be read knows no peers and has
        to be contacted.
        """
        unreachable = (
            a
            for a in self._local_group
            if a != self._local_address and not is_linked(a)
        )
        return itertools.islice(unreachable, MAX_UNREACHABLE_VISITED)

    def _walk(self, addresses, is_up):
        """Return the addresses up to the first that is connected."""
        skipped = []
        for address in addresses:
            if address == self._local_address or is_up(address):
                return (*skipped[:MAX_UNREACHABLE_TRIED], address)
            skipped.append(address)
        return tuple(skipped[:MAX_UNREACHABLE_TRIED])


def _divide(addresses):
    """Divide the daemons of a zone into groups that have one reader each.

    The number of groups is a power of two, so that it changes rarely.
    """
    count = 1
    while len(addresses) > count * GROUP_SIZE:
        count *= 2
    groups = [[] for _ in range(count)]
    for address in addresses:
        groups[_rank(address)[0] // GROUP_HASH_DIVISOR % count].append(address)
    return [group for group in groups if group]


def _find_second_group(groups, local_index):
    """Return the addresses of the group that provides the second source.

    It is the group of the same number in the next zone or, if there is only one
    zone, the next group of that zone.
    """
    local_group = groups[local_index]
    rotated = groups[local_index:] + groups[:local_index]
    elsewhere = [group for group in rotated if group.zone != local_group.zone]
    if elsewhere:
        next_zone = [group for group in elsewhere if group.zone == elsewhere[0].zone]
        return next_zone[local_group.number % len(next_zone)].addresses
    return rotated[1 % len(rotated)].addresses


def _rank(address):
    return zlib.crc32(address.encode()), address
