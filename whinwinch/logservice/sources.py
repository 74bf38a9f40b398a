"""Who reads the log for the others, decided without an election.

Load pattern: each daemon that reads the log for itself makes a call each second or
two, and each record that one writes wakes them all, so the calls grow with the
square of the daemons. Here one daemon of each availability zone reads, and each
daemon hears of the log from that of its own zone and from that of the next, so one
that dies, freezes or is cut off costs nothing.

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


class Sources(NamedTuple):
    """From whom a daemon hears of the log.

    Attributes:
        is_reader: Whether it reads the log itself.
        wanted: Addresses of the daemons that it should be connected with.
    """

    is_reader: bool
    wanted: tuple[str, ...]


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
        self._near = zones[zone]
        order = sorted(zones)
        self._far = zones[order[(order.index(zone) + 1) % len(order)]]

    def choose(self, is_up):
        """Return the `Sources`.

        Args:
            is_up: Function from an address to whether its daemon is connected.
        """
        near = self._walk(self._near, is_up)
        readers = near[-1:]
        if self._far is not self._near:
            other = self._walk(self._far, is_up)
        else:
            # A single zone: its first two read, so that there is a second one here too.
            other = self._walk([a for a in self._near if a not in readers], is_up)
            readers += other[-1:]
        is_reader = self._own in readers
        lost = self._find_lost(is_up) if is_reader else ()
        wanted = dict.fromkeys((*near, *other, *lost))
        wanted.pop(self._own, None)
        return Sources(is_reader, tuple(wanted))

    def _find_lost(self, is_up):
        """Return daemons of the own zone that are out of reach, for a reader to visit.

        One that has started anew while the log can't be read knows nobody and waits
        to be found.
        """
        lost = (a for a in self._near if a != self._own and not is_up(a))
        return itertools.islice(lost, MOST_VISITED)

    def _walk(self, addresses, is_up):
        """Return the addresses up to the first that can be heard."""
        passed = []
        for address in addresses:
            if address == self._own or is_up(address):
                return (*passed[:MOST_TRIED], address)
            passed.append(address)
        return tuple(passed[:MOST_TRIED])


def _weigh(address):
    return zlib.crc32(address.encode()), address
