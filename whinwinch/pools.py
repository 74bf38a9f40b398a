"""What the gates of one service tell each other, so that all find the same level.

Load pattern: a service is full, and its endpoints are unequally fast or unequally
loaded. With a level of its own each, entries have to combine them: refusing for the
fullest, they leave slots of the others idle; those see no demand for the refused,
take it for gone, and once the fullest has caught up all is let in at once. The service
swings between empty and overfull. With the supplies of all gates added up, each finds
the level of the service as a whole.
"""

from typing import NamedTuple

from . import gate

# Told every tenth of a second; a gate that missed four of these tellings is no longer
# counted.
TOLD_SECONDS = 0.5


class Told(NamedTuple):
    """What the daemon of one endpoint told of its gate.

    Attributes:
        time: When, in seconds of the loop's clock.
        service: Service of its backend server.
        is_pressed: Whether requests are refused there, or are to be.
        supplies: Its `gate.Supplies`.
    """

    time: float
    service: str
    is_pressed: bool
    supplies: gate.Supplies


class Pool:
    """What the other endpoints of the own service lately told."""

    def __init__(self):
        self._told = {}

    def take(self, address, told):
        """Take what the daemon of an address told."""
        self._told[address] = told

    def list_fresh(self, service, addresses, now):
        """Return the `Told` of the endpoints of a service that still count.

        Args:
            service: The service.
            addresses: Addresses of its other endpoints; any others are forgotten.
            now: Time of the loop's clock.
        """
        self._told = {
            address: self._told[address]
            for address in addresses
            if address in self._told
        }
        return [
            told
            for told in self._told.values()
            if told.service == service and now - told.time < TOLD_SECONDS
        ]
