"""Summary of the state of all daemons, read from their metrics pages."""

import collections
import concurrent.futures
import time
from typing import NamedTuple

import urllib3
from absl import logging

from .errors import UserError
from .metrics import PREFIX

PATH = "/metrics"
# Seconds after which a daemon counts as unreachable. A slower daemon is no more useful
# to an operator who looks for a fault.
FETCH_TIMEOUT = 3.0
# Maximum number of concurrent requests.
MAX_CONCURRENT_FETCHES = 32
# Maximum number of addresses and reasons that are listed.
MAX_LISTED = 6
MAX_LISTED_REASONS = 2
# Fields of `DaemonState` by names of series.
_FIELDS = {
    "configuration_version": "version",
    "slots": "slots",
    "limit": "limit",
    "in_service": "in_service",
    "waiting": "waiting",
    "ended_total": "ended",
}


class Refused(NamedTuple):
    """Key by which refusals are counted: place, route and reason."""

    at: str
    route: str
    reason: str


class DaemonState(NamedTuple):
    """State of one daemon according to its metrics page.

    Attributes:
        address: Address of the metrics page.
        service: Service of the daemon's backend server, "" if there is none.
        zone: Availability zone of the backend server.
        leaving: Whether the backend server accepts no new work.
        version: Version of the configuration in force.
        slots: Slots of the backend server.
        limit: Limit on requests in service.
        in_service: Requests that the backend server is processing.
        waiting: Requests waiting for a slot of the backend server.
        ended: Requests that have left the backend server since its start.
        level: Maximum admission level of all routes.
        refused: Refusals since the daemon's start, by `Refused`.
        set_aside: Endpoints that the daemon has set aside.
    """

    address: str
    service: str = ""
    zone: str = ""
    leaving: bool = False
    version: int = 0
    slots: int = 0
    limit: int = 0
    in_service: int = 0
    waiting: int = 0
    ended: int = 0
    level: float = 0.0
    refused: collections.Counter = collections.Counter()
    set_aside: tuple[str, ...] = ()


class Service(NamedTuple):
    """Aggregated state of the daemons of one service.

    Attributes:
        name: Name of the service, "" for daemons without a backend server.
        daemons: Number of daemons.
        zones: Number of availability zones.
        leaving: Number of backend servers that accept no new work.
        slots: Sum of slots.
        limit: Sum of limits on requests in service.
        in_service: Requests that the backend servers are processing.
        waiting: Requests waiting for a slot.
        ended: Requests per second that left the backend servers.
        level: Maximum admission level.
        refused: Refusals per second at these daemons, by `Refused`.
    """

    name: str
    daemons: int
    zones: int
    leaving: int
    slots: int
    limit: int
    in_service: int
    waiting: int
    ended: float
    level: float
    refused: collections.Counter


class Fleet(NamedTuple):
    """State of all daemons.

    Attributes:
        services: `Service` tuples, sorted by descending rate of refusals.
        versions: Lists of addresses by version of the configuration in force.
        set_aside: Number of daemons that set an endpoint aside, by its address.
        unreachable: Addresses of which the metrics page could not be read.
    """

    services: tuple[Service, ...]
    versions: dict
    set_aside: collections.Counter
    unreachable: tuple[str, ...]


def measure_fleet(addresses, seconds):
    """Read all metrics pages twice and return the `Fleet`.

    Args:
        addresses: "HOST:PORT" of the daemons' metrics pages.
        seconds: Seconds between both reads, the interval for rates.

    Raises:
        UserError: If no page can be read.
    """
    started = time.monotonic()
    before = fetch_states(addresses)
    if not before:
        raise UserError("none of the daemons' metrics pages could be read")
    time.sleep(max(0.0, started + seconds - time.monotonic()))
    after = fetch_states(addresses)
    return aggregate(addresses, before, after, time.monotonic() - started)


def fetch_states(addresses):
    """Return the `DaemonState` of each reachable daemon, by address."""
    timeout = urllib3.Timeout(total=FETCH_TIMEOUT)
    with (
        urllib3.PoolManager(
            num_pools=MAX_CONCURRENT_FETCHES, retries=False, timeout=timeout
        ) as pool,
        concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FETCHES) as threads,
    ):
        states = threads.map(lambda address: _fetch_state(pool, address), addresses)
        return {state.address: state for state in states if state is not None}


def _fetch_state(pool, address):
    try:
        answer = pool.request("GET", f"http://{address}{PATH}")
    except urllib3.exceptions.HTTPError as error:
        logging.info(
            "metrics page of %s cannot be read, listed as unreachable: %s",
            address,
            error,
        )
        return None
    if answer.status != 200:
        return None
    return parse_state(address, answer.data.decode())


def parse_state(address, text):
    """Return the `DaemonState` parsed from a metrics page."""
    from prometheus_client.parser import text_string_to_metric_families

    state, levels, refused, aside = (
        DaemonState(address),
        [0.0],
        collections.Counter(),
        [],
    )
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix(f"{PREFIX}_")
            labels, value = sample.labels, sample.value
            if name == "backend":
                state = state._replace(
                    service=labels["service"],
                    zone=labels["zone"],
                    leaving=labels["state"] != "ready",
                )
            elif name in _FIELDS:
                state = state._replace(**{_FIELDS[name]: int(value)})
            elif name == "level":
                levels.append(value)
            elif name == "refusals_total":
                kind = Refused(labels["at"], labels["route"], labels["reason"])
                refused[kind] += int(value)
            elif name == "set_aside":
                aside.append(labels["endpoint"])
    return state._replace(level=max(levels), refused=refused, set_aside=tuple(aside))


def aggregate(addresses, before, after, seconds):
    """Return the `Fleet` aggregated from two reads of the metrics pages.

    Args:
        addresses: All requested addresses.
        before: `DaemonState` tuples of the first read, by address.
        after: `DaemonState` tuples of the second read, by address.
        seconds: Seconds between both reads.
    """
    by_service = collections.defaultdict(list)
    versions = collections.defaultdict(list)
    set_aside = collections.Counter()
    for address, state in sorted(after.items()):
        by_service[state.service].append(state)
        versions[state.version].append(address)
        set_aside.update(state.set_aside)
    services = [
        _aggregate_service(name, states, before, seconds)
        for name, states in by_service.items()
    ]
    services.sort(key=lambda service: (-service.refused.total(), service.name))
    unreachable = tuple(address for address in addresses if address not in after)
    return Fleet(tuple(services), dict(versions), set_aside, unreachable)


def _aggregate_service(name, states, before, seconds):
    refused, ended = collections.Counter(), 0
    for state in states:
        earlier = before.get(state.address)
        if earlier is None or earlier.ended > state.ended:
            # The daemon was started or restarted in between and counts from 0.
            earlier = DaemonState(state.address)
        ended += state.ended - earlier.ended
        refused.update(state.refused - earlier.refused)
    rates = collections.Counter({k: n / seconds for k, n in refused.items()})
    return Service(
        name,
        len(states),
        len({state.zone for state in states}),
        sum(state.leaving for state in states),
        sum(state.slots for state in states),
        sum(state.limit for state in states),
        sum(state.in_service for state in states),
        sum(state.waiting for state in states),
        ended / seconds,
        max(state.level for state in states),
        rates,
    )


def render_fleet(fleet):
    """Return the lines of text that show a `Fleet`."""
    lines = [
        "service      daemons zones leaving  slots  limit inside waiting  ended/s"
        " level refused/s"
    ]
    lines += [_render_service(service) for service in fleet.services]
    newest = max(fleet.versions, default=0)
    lines.append("")
    for version, addresses in sorted(fleet.versions.items(), reverse=True):
        behind = "" if version == newest else f": {_list_some(addresses)}"
        lines.append(f"version {version} in force at {len(addresses)}{behind}")
    for endpoint, count in fleet.set_aside.most_common(MAX_LISTED):
        lines.append(f"set aside by {count}: {endpoint}")
    if fleet.unreachable:
        count = len(fleet.unreachable)
        lines.append(f"no page from {count}: {_list_some(fleet.unreachable)}")
    return lines


def _render_service(service):
    reasons = ", ".join(
        f"{rate:.1f} {kind.reason} at {kind.at}"
        for kind, rate in _sum_reasons(service.refused).most_common(MAX_LISTED_REASONS)
    )
    return (
        f"{service.name or '(none)':<12} {service.daemons:>7} {service.zones:>5}"
        f" {service.leaving:>7} {service.slots:>6} {service.limit:>6}"
        f" {service.in_service:>6} {service.waiting:>7} {service.ended:>8.1f}"
        f" {service.level:>5.2f} {service.refused.total():>9.1f}  {reasons}"
    ).rstrip()


def _sum_reasons(refused):
    """Return the rates of refusals by place and reason, summed over routes."""
    sums = collections.Counter()
    for kind, rate in refused.items():
        sums[kind._replace(route="")] += rate
    return sums


def _list_some(addresses):
    named = ", ".join(addresses[:MAX_LISTED])
    return named + (", ..." if len(addresses) > MAX_LISTED else "")
