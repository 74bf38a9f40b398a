"""Model of the quota of one workspace at many daemons, with late reports.

Each daemon decides by the package's own `quotas.Account` on what it hears. Reports take
some tenths of a second to the relay, and totals as long back to the daemons. Daemons
can be cut off, and all of them can start again together.
"""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from whinwinch.messages import Importance, Request
from whinwinch.workspaces import quotas
from whinwinch.workspaces.registry import Quota

TERMS = quotas.QuotaTerms(window=5.0, overage=0.1, slack=20.0)
DAEMONS = 62
REPORT_SECONDS = 0.2
RELAY_SECONDS = 0.2
# From a daemon to its relay; from there by another relay to a daemon.
REPORT_DELAY_SECONDS = 0.03
TOTAL_DELAY_SECONDS = 0.08
CRITICAL_SHARE = 0.4


class Scenario(NamedTuple):
    """What happens in a run of the model; times in seconds.

    Attributes:
        quota: `registry.Quota` at first.
        find_demand: Function from a time to the requests a second.
        seconds: Length of the run.
        is_cut: Function from a daemon's number and a time to whether it is cut off.
        restart_at: When all daemons start again, None for never.
        lowered: Pair of a time and the lower `registry.Quota` from then on, or None.
        entry: Number of the only daemon that gets requests, None for all in turn.
        seed: Seed of the random choices.
    """

    quota: Quota
    find_demand: Callable
    seconds: float = 40.0
    is_cut: Callable = lambda number, time: False
    restart_at: float | None = None
    lowered: tuple[float, Quota] | None = None
    entry: int | None = None
    seed: int = 1


class Outcome(NamedTuple):
    """What a run admitted.

    Attributes:
        admitted: Times of the admitted requests in seconds.
        shares: Share of the requests that were admitted, by importance.
    """

    admitted: tuple[float, ...]
    shares: dict[Importance, float]


class Fleet:
    """The daemons of a run.

    Args:
        scenario: The `Scenario`.
        build_account: Function from a quota, terms and a time to an account.
    """

    def __init__(self, scenario, build_account=quotas.Account):
        self._scenario = scenario
        self._build_account = build_account
        self._draw = random.Random(scenario.seed)
        self._events = []
        self._order = itertools.count()
        self._quota = scenario.quota
        self._roots = itertools.count()
        self._asked = collections.Counter()
        self._granted = collections.Counter()
        self._admitted = []
        self._start(0.0)

    def run(self):
        """Run the scenario and return its `Outcome`."""
        scenario = self._scenario
        for number in range(DAEMONS):
            self._schedule(REPORT_SECONDS * self._draw.random(), self._report, number)
        self._schedule(0.0, self._sum)
        self._schedule_arrival(0.0)
        if scenario.restart_at is not None:
            self._schedule(scenario.restart_at, self._start_again)
        if scenario.lowered is not None:
            self._schedule(scenario.lowered[0], self._lower)
        while self._events[0][0] <= scenario.seconds:
            now, _, step, arguments = heapq.heappop(self._events)
            step(now, *arguments)
        shares = {
            importance: self._granted[importance] / asked
            for importance, asked in self._asked.items()
        }
        return Outcome(tuple(self._admitted), shares)

    def _schedule(self, time, step, *arguments):
        heapq.heappush(self._events, (time, next(self._order), step, arguments))

    def _schedule_arrival(self, now):
        rate = self._scenario.find_demand(now)
        self._schedule(now + self._draw.expovariate(rate), self._arrive)

    def _start(self, now):
        self._accounts = [
            self._build_account(self._quota, TERMS, now) for _ in range(DAEMONS)
        ]
        self._views = [(quotas.View(DAEMONS), now)] * DAEMONS
        self._reports = {}

    def _start_again(self, now):
        self._start(now)

    def _lower(self, now):
        self._quota = self._scenario.lowered[1]
        for account in self._accounts:
            account.change_quota(self._quota, now)

    def _report(self, now, number):
        if not self._scenario.is_cut(number, now):
            usage = self._accounts[number].read_usage(now)
            self._schedule(now + REPORT_DELAY_SECONDS, self._receive, number, usage)
        self._schedule(now + REPORT_SECONDS, self._report, number)

    def _receive(self, now, number, usage):
        self._reports[number] = (usage, now)

    def _sum(self, now):
        recent = [
            usage
            for usage, time in self._reports.values()
            if now - time < quotas.MAX_REPORT_AGE_SECONDS
        ]
        rates = zip(quotas.NO_DEMAND, *(u.demand for u in recent), strict=True)
        demand = tuple(map(sum, rates))
        total = quotas.Usage(demand, sum(usage.admitted for usage in recent))
        share = len(recent) / DAEMONS
        if sum(demand) < quotas.BUSY_SHARE * share * self._quota.rate:
            total = None
        view = quotas.View(DAEMONS, len(recent), total)
        self._schedule(now + TOTAL_DELAY_SECONDS, self._hear, view)
        self._schedule(now + RELAY_SECONDS, self._sum)

    def _hear(self, now, view):
        for number, account in enumerate(self._accounts):
            if not self._scenario.is_cut(number, now):
                self._views[number] = (view, now)
                account.advance(view, now)

    def _arrive(self, now):
        self._schedule_arrival(now)
        number = self._scenario.entry
        if number is None:
            number = self._draw.randrange(DAEMONS)
        is_critical = self._draw.random() < CRITICAL_SHARE
        importance = Importance.CRITICAL if is_critical else Importance.NORMAL
        view, heard_at = self._views[number]
        if now - heard_at >= quotas.MAX_REPORT_AGE_SECONDS:
            view = quotas.View(DAEMONS)
        self._asked[importance] += 1
        if self._accounts[number].try_spend(self._build(importance), view, now):
            self._granted[importance] += 1
            self._admitted.append(now)

    def _build(self, importance):
        root = f"{self._scenario.seed}-{next(self._roots)}"
        return Request(root, root, "s", "c", "GET", "/", importance, 0.0)


def find_bound(quota):
    """Return the most requests of a window that the platform's page allows."""
    within = quota.rate * TERMS.window + quota.burst
    return within * (1.0 + TERMS.overage) + TERMS.slack


def count_worst_window(outcome, since=0.0):
    """Return the most requests that were admitted in a window from a time on."""
    times = collections.deque()
    worst = 0
    for time in outcome.admitted:
        if time < since:
            continue
        times.append(time)
        while time - times[0] >= TERMS.window:
            times.popleft()
        worst = max(worst, len(times))
    return worst
