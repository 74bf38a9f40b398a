"""The state of hundreds of daemons at a glance, from their metrics pages."""

import collections
import concurrent.futures
import time
from typing import NamedTuple

import urllib3
from absl import logging

from .errors import UserError
from .metrics import PREFIX

PATH = "/metrics"
# A daemon that takes longer is as good as unreachable to who looks for a fault.
FETCH_SECONDS = 3.0
# Pages fetched at once.
FETCHERS = 32
# Addresses and reasons that are named; of the rest only the number is told.
MOST_NAMED = 6
REASONS_NAMED = 2
# Fields of a `Page` by the names of series.
_PLAIN = {
    "configuration_version": "version",
    "slots": "slots",
    "limit": "limit",
    "in_service": "inside",
    "waiting": "waiting",
    "ended_total": "ended",
}


class Refused(NamedTuple):
    """What refusals are told apart by: place, route and reason."""

    at: str
    route: str
    reason: str


class Page(NamedTuple):
    """What the page of one daemon says.

    Attributes:
        address: Where it was read.
        service: Service of its backend server, "" while none is known.
        zone: Its availability zone.
        leaving: Whether its backend server takes no new work.
        version: Version of the configuration in force.
        slots: Slots of the backend server.
        limit: Limit on requests inside it.
        inside: Requests inside it.
        waiting: Requests that wait for it.
        ended: Requests that have left it since its start.
        level: Highest admission level of its routes.
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
    inside: int = 0
    waiting: int = 0
    ended: int = 0
    level: float = 0.0
    refused: collections.Counter = collections.Counter()
    set_aside: tuple[str, ...] = ()


class Service(NamedTuple):
    """What the daemons of one service say together.

    Attributes:
        name: Its name, "" for daemons that know no backend server.
        daemons: How many there are.
        zones: How many availability zones they are in.
        leaving: How many of their backend servers take no new work.
        slots: Their slots.
        limit: Their limits.
        inside: Requests inside.
        waiting: Requests that wait.
        ended: Requests a second that left the backend servers.
        level: Highest admission level.
        refused: Refusals a second at these daemons, by `Refused`.
    """

    name: str
    daemons: int
    zones: int
    leaving: int
    slots: int
    limit: int
    inside: int
    waiting: int
    ended: float
    level: float
    refused: collections.Counter


class Fleet(NamedTuple):
    """The state of all daemons.

    Attributes:
        services: `Service` tuples, the one that refuses most first.
        versions: Addresses by version of the configuration in force.
        set_aside: How many daemons have set an endpoint aside, by its address.
        unreachable: Addresses without a page.
    """

    services: tuple[Service, ...]
    versions: dict
    set_aside: collections.Counter
    unreachable: tuple[str, ...]


def look(addresses, seconds):
    """Read all pages twice and return the `Fleet`.

    Args:
        addresses: "HOST:PORT" of the daemons' metrics pages.
        seconds: Time between both, over which rates are taken.

    Raises:
        UserError: When no page can be read.
    """
    started = time.monotonic()
    before = fetch_pages(addresses)
    if not before:
        raise UserError("none of the daemons' metrics pages could be read")
    time.sleep(max(0.0, started + seconds - time.monotonic()))
    after = fetch_pages(addresses)
    return add_up(addresses, before, after, time.monotonic() - started)


def fetch_pages(addresses):
    """Return the `Page` tuples that can be read, by address."""
    timeout = urllib3.Timeout(total=FETCH_SECONDS)
    with (
        urllib3.PoolManager(num_pools=FETCHERS, retries=False, timeout=timeout) as pool,
        concurrent.futures.ThreadPoolExecutor(FETCHERS) as threads,
    ):
        pages = threads.map(lambda address: _fetch_page(pool, address), addresses)
        return {page.address: page for page in pages if page is not None}


def _fetch_page(pool, address):
    try:
        answer = pool.request("GET", f"http://{address}{PATH}")
    except urllib3.exceptions.HTTPError as error:
        logging.info("no page from %s, listed as unreachable: %s", address, error)
        return None
    if answer.status != 200:
        return None
    return read_page(address, answer.data.decode())


def read_page(address, text):
    """Return the `Page` of a metrics page's text."""
    from prometheus_client.parser import text_string_to_metric_families

    page, levels, refused, aside = Page(address), [0.0], collections.Counter(), []
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removeprefix(f"{PREFIX}_")
            labels, value = sample.labels, sample.value
            if name == "backend":
                page = page._replace(
                    service=labels["service"],
                    zone=labels["zone"],
                    leaving=labels["state"] != "ready",
                )
            elif name in _PLAIN:
                page = page._replace(**{_PLAIN[name]: int(value)})
            elif name == "level":
                levels.append(value)
            elif name == "refusals_total":
                kind = Refused(labels["at"], labels["route"], labels["reason"])
                refused[kind] += int(value)
            elif name == "set_aside":
                aside.append(labels["endpoint"])
    return page._replace(level=max(levels), refused=refused, set_aside=tuple(aside))


def add_up(addresses, before, after, seconds):
    """Return the `Fleet` of pages read twice.

    Args:
        addresses: All addresses asked for.
        before: `Page` tuples by address.
        after: The same, later.
        seconds: Time between both.
    """
    by_service = collections.defaultdict(list)
    versions = collections.defaultdict(list)
    set_aside = collections.Counter()
    for address, page in sorted(after.items()):
        by_service[page.service].append(page)
        versions[page.version].append(address)
        set_aside.update(page.set_aside)
    services = [
        _add_up_service(name, pages, before, seconds)
        for name, pages in by_service.items()
    ]
    services.sort(key=lambda service: (-service.refused.total(), service.name))
    unreachable = tuple(address for address in addresses if address not in after)
    return Fleet(tuple(services), dict(versions), set_aside, unreachable)


def _add_up_service(name, pages, before, seconds):
    refused, ended = collections.Counter(), 0
    for page in pages:
        earlier = before.get(page.address)
        if earlier is None or earlier.ended > page.ended:
            # It has started since, and counts from 0.
            earlier = Page(page.address)
        ended += page.ended - earlier.ended
        refused.update(page.refused - earlier.refused)
    rates = collections.Counter({k: n / seconds for k, n in refused.items()})
    return Service(
        name,
        len(pages),
        len({page.zone for page in pages}),
        sum(page.leaving for page in pages),
        sum(page.slots for page in pages),
        sum(page.limit for page in pages),
        sum(page.inside for page in pages),
        sum(page.waiting for page in pages),
        ended / seconds,
        max(page.level for page in pages),
        rates,
    )


def render_fleet(fleet):
    """Return the lines that tell the state of a `Fleet`."""
    lines = [
        "service      daemons zones leaving  slots  limit inside waiting  ended/s"
        " level refused/s"
    ]
    lines += [_render_service(service) for service in fleet.services]
    newest = max(fleet.versions, default=0)
    lines.append("")
    for version, addresses in sorted(fleet.versions.items(), reverse=True):
        behind = "" if version == newest else f": {_name_some(addresses)}"
        lines.append(f"version {version} in force at {len(addresses)}{behind}")
    for endpoint, count in fleet.set_aside.most_common(MOST_NAMED):
        lines.append(f"set aside by {count}: {endpoint}")
    if fleet.unreachable:
        count = len(fleet.unreachable)
        lines.append(f"no page from {count}: {_name_some(fleet.unreachable)}")
    return lines


def _render_service(service):
    reasons = ", ".join(
        f"{rate:.1f} {kind.reason} at {kind.at}"
        for kind, rate in _sum_reasons(service.refused).most_common(REASONS_NAMED)
    )
    return (
        f"{service.name or '(none known)':<12} {service.daemons:>7} {service.zones:>5}"
        f" {service.leaving:>7} {service.slots:>6} {service.limit:>6}"
        f" {service.inside:>6} {service.waiting:>7} {service.ended:>8.1f}"
        f" {service.level:>5.2f} {service.refused.total():>9.1f}  {reasons}"
    ).rstrip()


def _sum_reasons(refused):
    """Return refusals by place and reason, whatever their route."""
    sums = collections.Counter()
    for kind, rate in refused.items():
        sums[kind._replace(route="")] += rate
    return sums


def _name_some(addresses):
    named = ", ".join(addresses[:MOST_NAMED])
    return named + (", ..." if len(addresses) > MOST_NAMED else "")
