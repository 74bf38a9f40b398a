"""Admission levels of routes over all endpoints of their services, as reported.

Load pattern: requests that take a second reach a service that has just become full,
four hops downstream. A level learned from answers arrives with the answers to requests
that were admitted a second ago. It oscillates between admitting all requests and none,
and most of those admitted fail. A level that each daemon reports itself reaches the
entries within a few tenths of a second, even when no answers arrive.

If each daemon reported its levels to every other one, there would be more reports than
calls. So the daemons of an availability zone report to one of them, the relay. It sends
the sum of their levels to the relays of the other zones, and the sum over all zones to
the daemons of its own zone.
"""

import math
import operator
from typing import NamedTuple

from .admission import IMPORTANCE_COUNT

# Levels are reported every tenth of a second. A report expires when four of the next
# ones are missing.
MAX_REPORT_AGE_SECONDS = 0.5
# Shed shares are integers in thousandths, which have a short encoding.
SHARE_SCALE = 1000
# One shed share for each importance, the share of the slots that are unavailable, and
# whether the endpoint names a limit.
NO_SHED_SHARES = (0,) * (IMPORTANCE_COUNT + 2)


class RouteShedding(NamedTuple):
    """Shares of a route's requests that its endpoints shed.

    Attributes:
        route: Name of the route.
        shed_shares: For each importance, the lowest first, the sum over the endpoints
            of the share that each of them sheds, in thousandths; then of the share of
            their slots that is unavailable for a limit that they name, and of the
            endpoints that name one.
    """

    route: str
    shed_shares: tuple[int, ...]


class ReportedLevels:
    """Levels of routes that were reported to one daemon."""

    def __init__(self):
        self._daemon_reports = {}
        self._relay_reports = {}
        self._total_report = Report(-math.inf, {})

    def record_levels(self, address, levels, now, available=1.0):
        """Record the levels that a daemon reports for its local backend server.

        Args:
            address: Address of the daemon.
            levels: Pairs of a route's name and its level; levels of 0 are left out.
            now: Time of the loop's clock in seconds.
            available: Share of its slots that may be in use.
        """
        shed_shares = {
            route: compute_shed_shares(level, available) for route, level in levels
        }
        self._daemon_reports[address] = Report(now, shed_shares)

    def record_relay_sum(self, address, shed_shares, now):
        """Record the sum that the relay of another zone reports for its daemons.

        Args:
            address: Address of the relay.
            shed_shares: `RouteShedding` tuples.
            now: Time of the loop's clock in seconds.
        """
        self._relay_reports[address] = Report(now, dict(shed_shares))

    def record_total(self, shed_shares, now):
        """Record the sum over all daemons that the local zone's relay reports.

        Args:
            shed_shares: `RouteShedding` tuples.
            now: Time of the loop's clock in seconds.
        """
        self._total_report = Report(now, dict(shed_shares))

    def sum_daemons(self, now):
        """Return the `RouteShedding` tuples of the daemons that report to this one."""
        return _sum_reports(now, self._daemon_reports)

    def sum_all(self, now):
        """Return the `RouteShedding` tuples of all daemons that report to relays."""
        return _sum_reports(now, self._daemon_reports, self._relay_reports)

    def level(self, route, endpoints, now):
        """Return the level of a route over the endpoints of a service.

        Args:
            route: Name of the route.
            endpoints: `messages.Endpoint` tuples; one without a report counts as
                admitting everything.
            now: Time of the loop's clock in seconds.
        """
        total = self._total_report.shed_shares
        if now - self._total_report.time >= MAX_REPORT_AGE_SECONDS:
            total = dict(self.sum_daemons(now))
        return combine_shed_shares(total.get(route, ()), len(endpoints))


class Report(NamedTuple):
    """A report of shed shares.

    Attributes:
        time: When it arrived, by the loop's clock in seconds.
        shed_shares: Shed shares by route, as in `RouteShedding`.
    """

    time: float
    shed_shares: dict


def _sum_reports(now, *tables):
    """Return the sum of recent reports as `RouteShedding` tuples, and drop older ones.

    Args:
        now: Time of the loop's clock in seconds.
        tables: Dictionaries from the address of a sender to its `Report`.
    """
    sums = {}
    for table in tables:
        _drop_outdated(table, now)
        for report in table.values():
            for route, shed_shares in report.shed_shares.items():
                before = sums.get(route, NO_SHED_SHARES)
                sums[route] = tuple(map(operator.add, before, shed_shares))
    return tuple(
        RouteShedding(route, shed_shares) for route, shed_shares in sorted(sums.items())
    )


def _drop_outdated(table, now):
    outdated = [
        key
        for key, report in table.items()
        if now - report.time >= MAX_REPORT_AGE_SECONDS
    ]
    for key in outdated:
        del table[key]


def compute_shed_shares(level, available=1.0):
    """Return the shares that one endpoint adds to those of its service.

    An endpoint that names a limit gets few of the requests. If its level counted like
    those of the others, most of what it sheds would be kept from their free slots.

    Args:
        level: Admission level of the endpoint.
        available: Share of its slots that may be in use.

    Returns:
        A tuple as in `RouteShedding`.
    """
    shed = (
        round(SHARE_SCALE * available * min(max(level - index, 0.0), 1.0))
        for index in range(IMPORTANCE_COUNT)
    )
    limited = SHARE_SCALE if available < 1.0 else 0
    return (*shed, round(SHARE_SCALE * (1.0 - available)), limited)


def combine_shed_shares(shed_shares, count):
    """Return one level that admits about as much as several endpoints together.

    It is computed in the highest importance that any of them sheds. The plain mean of
    0 and 1.9 would admit all requests of importance 1, although one of two endpoints
    has capacity for only a tenth of its share of them.

    Args:
        shed_shares: Sum over the endpoints as in `RouteShedding`; empty for none.
        count: Number of endpoints, including those that shed nothing.
    """
    if not shed_shares:
        return 0.0
    *shed, unavailable, limited = shed_shares
    total = SHARE_SCALE * count
    available = total - unavailable
    # What limited endpoints shed is sent on to the others, while those shed nothing.
    ignored = limited - unavailable if limited < total else 0
    for index in reversed(range(len(shed))):
        if shed[index] > ignored and available > 0:
            return index + min(shed[index] / available, 1.0)
    return 0.0
