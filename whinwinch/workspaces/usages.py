"""Sums of the use of quotas that daemons report to their relay.

Load pattern: hundreds of workspaces at hundreds of daemons. Each daemon reports the
workspaces that it had requests of to the relay of its zone. Relays send the sums of
their zone to each other, the less used ones in turns, and the totals of the busy ones
to the daemons of their zone: a daemon gets a few entries, however many workspaces there
are.
"""

import math
import operator
import zlib
from typing import NamedTuple

from .quotas import BUSY_SHARE, Usage

# Rates are sent in hundredths of a request a second, which have a short encoding.
RATE_SCALE = 100
# Seconds after which a report no longer counts: five reports are missing by then.
MAX_REPORT_AGE_SECONDS = 1.0
# Share of its quota from which a workspace is in each message between relays, and the
# number of messages among which the others take turns.
NEARLY_BUSY_SHARE = 0.65
TURNS = 4
# Workspaces in one message, those that use most of their quota first.
MAX_ENTRIES = 512


class WorkspaceUsage(NamedTuple):
    """Use of a workspace's quota as it is sent, in hundredths of a request a second.

    Attributes:
        workspace: Name of the workspace.
        demand: Requests that arrive, by importance, the lowest first.
        admitted: Requests that are admitted.
    """

    workspace: str
    demand: tuple[int, ...]
    admitted: int


class UsageTotal(NamedTuple):
    """Use of the quotas of busy workspaces, summed over several daemons.

    Attributes:
        daemons: Number of daemons that it is summed over.
        usages: `WorkspaceUsage` tuples.
    """

    daemons: int
    usages: tuple[WorkspaceUsage, ...]


class _Report:
    """The use of quotas that one daemon or relay has reported.

    Attributes:
        time: When it last reported, by the loop's clock in seconds.
        daemons: Number of daemons that its reports are summed over.
        entries: By workspace, the `WorkspaceUsage` and when it was reported.
    """

    __slots__ = ("daemons", "entries", "time")

    def __init__(self):
        self.time, self.daemons, self.entries = -math.inf, 0, {}

    def apply(self, total, now):
        """Apply a `UsageTotal`; workspaces that aren't in it keep what was reported."""
        self.time, self.daemons = now, total.daemons
        for entry in total.usages:
            self.entries[entry.workspace] = (entry, now)

    def list_recent(self, now):
        """Return the recent `WorkspaceUsage` tuples, and drop older ones."""
        self.entries = {
            name: pair
            for name, pair in self.entries.items()
            if now - pair[1] < MAX_REPORT_AGE_SECONDS
        }
        return [entry for entry, _ in self.entries.values()]


class UsageReports:
    """Reports of the use of quotas that have reached one relay."""

    def __init__(self):
        self._daemons = {}
        self._zones = {}

    def record_daemon(self, address, usages, now):
        """Record the `WorkspaceUsage` tuples of the daemon at an address."""
        report = self._daemons[address] = _Report()
        report.apply(UsageTotal(1, usages), now)

    def record_zone(self, address, total, now):
        """Record the `UsageTotal` of the zone whose relay is at an address."""
        self._zones.setdefault(address, _Report()).apply(total, now)

    def sum_daemons(self, now):
        """Return the `UsageTotal` of the daemons that report to this relay."""
        return _sum_reports(now, self._daemons)

    def sum_all(self, now):
        """Return the `UsageTotal` of all daemons that report to any relay."""
        return _sum_reports(now, self._daemons, self._zones)


def build_entry(workspace, usage):
    """Return the `WorkspaceUsage` of a workspace's `quotas.Usage`."""
    demand = tuple(round(RATE_SCALE * rate) for rate in usage.demand)
    return WorkspaceUsage(workspace, demand, round(RATE_SCALE * usage.admitted))


def read_entry(entry):
    """Return the `quotas.Usage` of a `WorkspaceUsage`."""
    demand = tuple(rate / RATE_SCALE for rate in entry.demand)
    return Usage(demand, entry.admitted / RATE_SCALE)


def select_busy(total, find_rate, share):
    """Return a `UsageTotal` with the busy workspaces only, the busiest first.

    Args:
        total: The `UsageTotal`.
        find_rate: Function from a workspace's name to the rate of its quota.
        share: Part of each quota that the daemons of the total share.
    """
    return _select(total, find_rate, lambda _, used: used >= BUSY_SHARE * share)


def select_turn(total, find_rate, share, turn):
    """Return a `UsageTotal` with the workspaces that are in one message of a relay.

    Args:
        total: The `UsageTotal`.
        find_rate: Function from a workspace's name to the rate of its quota.
        share: Part of each quota that the daemons of the total share.
        turn: Number of the message.
    """

    def is_selected(entry, used):
        if used >= NEARLY_BUSY_SHARE * share:
            return True
        return used > 0.0 and zlib.crc32(entry.workspace.encode()) % TURNS == turn

    return _select(total, find_rate, is_selected)


def _select(total, find_rate, is_selected):
    shares = [(_measure_share(entry, find_rate), entry) for entry in total.usages]
    chosen = [(used, entry) for used, entry in shares if is_selected(entry, used)]
    chosen.sort(key=operator.itemgetter(0), reverse=True)
    return total._replace(usages=tuple(entry for _, entry in chosen[:MAX_ENTRIES]))


def _measure_share(entry, find_rate):
    rate = find_rate(entry.workspace)
    if rate <= 0.0 or math.isinf(rate):
        return 0.0
    return sum(entry.demand) / (RATE_SCALE * rate)


def _sum_reports(now, *tables):
    """Return the `UsageTotal` of recent reports, and drop older ones."""
    daemons, sums = 0, {}
    for table in tables:
        for address, report in tuple(table.items()):
            if now - report.time >= MAX_REPORT_AGE_SECONDS:
                del table[address]
                continue
            daemons += report.daemons
            for entry in report.list_recent(now):
                before = sums.get(entry.workspace)
                sums[entry.workspace] = _add(before, entry) if before else entry
    return UsageTotal(daemons, tuple(sums.values()))


def _add(one, other):
    demand = tuple(map(operator.add, one.demand, other.demand))
    return WorkspaceUsage(one.workspace, demand, one.admitted + other.admitted)
