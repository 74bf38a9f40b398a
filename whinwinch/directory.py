"""Which backend servers there are, as one daemon knows them.

Two sources: records in the log, which introduce a daemon to those that never met
it, and what daemons tell over their connections, which is newer. A record alone
proves nothing of the present; a connection does.
"""

from .messages import Endpoint


class Directory:
    """Endpoints by service; `Endpoint.daemon` is the address of the daemon.

    Args:
        own: Address of this daemon for other daemons.
    """

    def __init__(self, own):
        self._own = own
        self._recorded = {}
        self._told = {}
        # Made anew at the next look after a change: at its start a daemon takes in a
        # record of every other one.
        self._is_stale = False
        self._services = {}
        self._everyone = ()

    @property
    def everyone(self):
        """`Endpoint` tuples of all daemons known; a new tuple after a change."""
        self._refresh()
        return self._everyone

    def record(self, address, endpoint):
        """Take a record of the log.

        Args:
            address: Address of the daemon.
            endpoint: `Endpoint`, or None when it has left for good.
        """
        if endpoint is None:
            self._recorded.pop(address, None)
            self._told.pop(address, None)
        else:
            before = self._recorded.get(address)
            self._recorded[address] = endpoint
            if before is not None and before.service != endpoint.service:
                # Another instance has got the address.
                self._told.pop(address, None)
        self._is_stale = True

    def tell(self, address, endpoint):
        """Take what a daemon says of its backend server over its connection."""
        if self._told.get(address) != endpoint:
            self._told[address] = endpoint
            self._is_stale = True

    def forget_told(self, address):
        """Forget what a daemon told that has started anew since.

        It may have said that it leaves; now only its record speaks for it.
        """
        if self._told.pop(address, None) is not None:
            self._is_stale = True

    def find_endpoints(self, service):
        """Return the endpoints of a service, the leaving ones left out."""
        self._refresh()
        return self._services.get(service, ())

    def find_recorded(self, address):
        """Return the endpoint that the log holds for an address, or None."""
        return self._recorded.get(address)

    def find_zone(self, address):
        """Return the availability zone of a daemon, "" where it isn't known."""
        endpoint = self._told.get(address) or self._recorded.get(address)
        return endpoint.zone if endpoint is not None else ""

    @property
    def addresses(self):
        """Addresses of all other daemons known."""
        known = self._recorded.keys() | self._told.keys()
        return known - {self._own}

    def _refresh(self):
        if not self._is_stale:
            return
        self._is_stale = False
        services, everyone = {}, []
        for address in sorted(self._recorded.keys() | self._told.keys()):
            endpoint = self._told.get(address) or self._recorded[address]
            everyone.append(endpoint)
            if endpoint.service and not endpoint.leaving:
                services.setdefault(endpoint.service, []).append(endpoint)
        self._everyone = tuple(everyone)
        self._services = {name: tuple(listed) for name, listed in services.items()}


def build_endpoint(address, backend, zone, region):
    """Return what others are told of a backend server.

    Args:
        address: Address of the daemon beside it.
        backend: `backends.guard.Backend`, or None while none is known.
        zone: Its availability zone.
        region: Its region.
    """
    if backend is None:
        return Endpoint(address, address, "", zone, region, 0, True)
    return Endpoint(
        address,
        address,
        backend.service,
        zone,
        region,
        backend.slots,
        backend.leaving,
    )
