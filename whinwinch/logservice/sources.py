"""Who reads the log for the others, decided without an election.

Load pattern: each daemon that reads the log for itself makes a call each second or
two, and each record that one writes wakes them all, so the calls grow with the
square of the daemons. Here one daemon of each availability zone reads, or of each of
its groups where it is large, and each daemon hears of the log from that of its own
zone and from that of the next, so one that dies, freezes or is cut off costs nothing.

Everyone ranks the daemons that it knows by a hash of their addresses and sees by
itself whether it is the first. When two daemons know different members, one too
many reads or one too few; too few shows in copies that nobody confirms.
"""

import itertools
import zlib
from typing import NamedTuple

# Daemons of higher rank that are tried at once though they are out of reach.
MOST_TRIED = 3
# Daemons out of reach that a reader visits at once.
MOST_VISITED = 8
# Daemons of a zone that one reader tells, at most; a larger zone has more readers.
GROUP_SIZE = 64
# The lowest bits of a weight order the daemons, those above divide them.
GROUP_BITS = 1 << 16


class Sources(NamedTuple):
    """From whom a daemon hears of the log.

    Attributes:
        is_reader: Whether it reads the log itself.
        wanted: Addresses of the daemons that it should be connected with.
        reader: Address of the daemon that reads for it, which may be itself.
        is_relay: Whether that is itself, so that it passes on what its daemons tell. In
            a single group a second daemon reads and passes nothing on.
        others: For one that reads, addresses of those that read for the others.
        place: Place of the own group among all.
    """

    is_reader: bool
    wanted: tuple[str, ...]
    reader: str
    is_relay: bool = True
    others: tuple[str, ...] = ()
    place: int = 0


class Group(NamedTuple):
    """Daemons for which one of them reads, those that read first in front."""

    zone: str
    number: int
    addresses: list[str]


class Ranks:
    """The daemons known by availability zone, those that read first in front.

    Args:
        own: Address of this daemon.
        zone: Its availability zone.
        endpoints: `messages.Endpoint` tuples of the other daemons known.
    """

    def __init__(self, own, zone, endpoints):
        self._own = own
        zones = {zone: [own]}
        for endpoint in endpoints:
            if endpoint.address != own:
                zones.setdefault(endpoint.zone, []).append(endpoint.address)
        for addresses in zones.values():
            addresses.sort(key=_weigh)
        groups = [
            Group(name, number, members)
            for name in sorted(zones)
            for number, members in enumerate(_divide(zones[name]))
        ]
        (mine,) = (n for n, group in enumerate(groups) if own in group.addresses)
        self._near = groups[mine].addresses
        self._place = mine
        # Those of the next zone lose power apart from the own ones.
        self._rest = [g.addresses for g in groups[mine + 1 :] + groups[:mine]]
        self._far = _find_far(groups, mine)

    def choose(self, is_up, find_heard=frozenset):
        """Return the `Sources`.

        Args:
            is_up: Function from an address to whether its daemon is connected.
            find_heard: Function that returns the addresses of the daemons that have
                connected with this one.
        """
        near = self._walk(self._near, is_up)
        reader, readers = near[-1], near[-1:]
        if self._far is not self._near:
            other = self._walk(self._far, is_up)
        else:
            # A single group: its first two read, so that there is a second one too.
            other = self._walk([a for a in self._near if a not in readers], is_up)
            readers += other[-1:]
        is_reader = self._own in readers
        visited, others = (), ()
        if is_reader:
            walks = [self._walk(addresses, is_up) for addresses in self._rest]
            others = tuple(walk[-1] for walk in walks)
            heard = find_heard()
            lost = self._find_lost(lambda address: address in heard or is_up(address))
            visited = (*itertools.chain(*walks), *lost)
        wanted = dict.fromkeys((*near, *other, *visited))
        wanted.pop(self._own, None)
        is_relay = reader == self._own
        return Sources(is_reader, tuple(wanted), reader, is_relay, others, self._place)

    def _find_lost(self, is_linked):
        """Return daemons that this one reads for and that are out of reach.

        One that has started anew while the log can't be read knows nobody and waits
        to be found.
        """
        lost = (a for a in self._near if a != self._own and not is_linked(a))
        return itertools.islice(lost, MOST_VISITED)

    def _walk(self, addresses, is_up):
        """Return the addresses up to the first that can be heard."""
        passed = []
        for address in addresses:
            if address == self._own or is_up(address):
                return (*passed[:MOST_TRIED], address)
            passed.append(address)
        return tuple(passed[:MOST_TRIED])


def _divide(addresses):
    """Divide the daemons of a zone into groups, each with a reader of its own.

    The number of groups is a power of two, so that it changes rarely.
    """
    count = 1
    while len(addresses) > count * GROUP_SIZE:
        count *= 2
    groups = [[] for _ in range(count)]
    for address in addresses:
        groups[_weigh(address)[0] // GROUP_BITS % count].append(address)
    return [group for group in groups if group]


def _find_far(groups, mine):
    """Return the addresses of the group that is heard besides the own one.

    The one of the same number in the next zone; where there is one zone only, the
    next group of it.
    """
    own = groups[mine]
    turned = groups[mine:] + groups[:mine]
    elsewhere = [group for group in turned if group.zone != own.zone]
    if elsewhere:
        zone = [group for group in elsewhere if group.zone == elsewhere[0].zone]
        return zone[own.number % len(zone)].addresses
    return turned[1 % len(turned)].addresses


def _weigh(address):
    return zlib.crc32(address.encode()), address
