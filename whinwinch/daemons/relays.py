"""Messages to the relay of a zone, and from relays to each other and to their zones.

The daemons of an availability zone report to one of them, the relay, which tells the
relays of the other zones and the daemons of its own: messages to all daemons would
outnumber the calls.
"""

from ..logservice import sources


class Relays:
    """The way of a daemon's reports to all others.

    Args:
        local_address: Address of this daemon.
        peers: `links.Peers`.
        exchange: `exchange.Exchange`.
        is_in_local_zone: Function from an address to whether that daemon is known to
            be in the zone of this one.

    Attributes:
        sources: The `sources.Sources` in use.
    """

    def __init__(self, local_address, peers, exchange, is_in_local_zone):
        self._peers = peers
        self._exchange = exchange
        self._is_in_local_zone = is_in_local_zone
        self.sources = sources.Sources(True, (), local_address)

    @property
    def is_relay(self):
        """Whether this daemon is the relay of its zone."""
        return self.sources.is_relay

    def report(self, frame):
        """Send a report to the relay, if that is another daemon."""
        if not self.is_relay:
            self._peers.find(self.sources.reader).send_if_connected(frame)

    def tell_relays(self, frame):
        """Send a message to the relays of the other zones."""
        for address in self.sources.other_readers:
            self._peers.find(address).send_if_connected(frame)

    def tell_zone(self, frame):
        """Send a message to the daemons of the zone."""
        self._exchange.broadcast(frame, self._is_in_local_zone)
