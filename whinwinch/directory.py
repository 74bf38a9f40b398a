"""Directory of the mesh's backend servers, as observed by one daemon.

It has two sources: records in the log, from which a daemon learns of daemons that
it has never connected to, and what daemons report over their connections, which is
more recent. Only a connection, not a record, proves that a daemon is running.
"""

from .messages import Endpoint


class Directory:
    """Index of the endpoints by service, where `Endpoint.daemon` is an address.

    Args:
        local_address: Address under which other daemons reach this one.
    """

    def __init__(self, local_address):
        self._local_address = local_address
        self._recorded = {}
        self._reported = {}
        # After changes the index is rebuilt once, at the next lookup: a daemon that
        # starts receives a record of every other one.
        self._is_stale = False
        self._services = {}
        self._all_endpoints = ()

    @property
    def all_endpoints(self):
        """Tuple of all known daemons' `Endpoint`, a new object after a change."""
        self._refresh()
        return self._all_endpoints

    def apply_record(self, address, endpoint):
        """Apply a record of the log.

        Args:
            address: Address of the daemon.
            endpoint: Its `Endpoint`, or None when the record was withdrawn.
        """
        if endpoint is None:
            self._recorded.pop(address, None)
            self._reported.pop(address, None)
        else:
            before = self._recorded.get(address)
            self._recorded[address] = endpoint
            if before is not None and before.service != endpoint.service:
                # The address has been reassigned to another instance.
                self._reported.pop(address, None)
        self._is_stale = True

    def apply_report(self, address, endpoint):
        """Apply what a daemon reports of its backend server over a connection.

        Args:
            address: Address of the daemon.
            endpoint: The reported `Endpoint`.
        """
        if self._reported.get(address) != endpoint:
            self._reported[address] = endpoint
            self._is_stale = True

    def discard_report(self, address):
        """Discard what a daemon reported, so that only its record counts.

        The daemon may have restarted since then, after reporting that it leaves.
        """
        if self._reported.pop(address, None) is not None:
            self._is_stale = True

    def find_endpoints(self, service):
        """Return the endpoints of a service, except those that are leaving."""
        self._refresh()
        return self._services.get(service, ())

    def find_recorded(self, address):
        """Return the `Endpoint` recorded in the log for an address, or None."""
        return self._recorded.get(address)

    def find_zone(self, address):
        """Return the availability zone of the daemon at an address, "" if unknown."""
        endpoint = self._reported.get(address) or self._recorded.get(address)
        return endpoint.zone if endpoint is not None else ""

    @property
    def addresses(self):
        """Set of the addresses of all other known daemons."""
        known = self._recorded.keys() | self._reported.keys()
        return known - {self._local_address}

    def _refresh(self):
        if not self._is_stale:
            return
        self._is_stale = False
        services, all_endpoints = {}, []
        for address in sorted(self._recorded.keys() | self._reported.keys()):
            endpoint = self._reported.get(address) or self._recorded[address]
            all_endpoints.append(endpoint)
            if endpoint.service and not endpoint.leaving:
                services.setdefault(endpoint.service, []).append(endpoint)
        self._all_endpoints = tuple(all_endpoints)
        self._services = {name: tuple(listed) for name, listed in services.items()}


def build_endpoint(address, backend, zone, region):
    """Return the `Endpoint` under which a backend server is published.

    Args:
        address: Address of its daemon.
        backend: `backends.interface.Backend`, or None while none is announced.
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
        backend.identity if backend.leaving else "",
    )
