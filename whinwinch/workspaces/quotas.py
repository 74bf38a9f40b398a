"""Quotas of workspaces that hold over all daemons, decided at each entry alone.

Load pattern: a workspace asks for several times its quota, at many daemons at once.
Divided into fixed shares, the quota would be refused where callers are and unused where
they are not; a daemon with a request a minute would have no whole token at all.

Daemons tell each other for each busy workspace how many requests arrive and how many
they admit. From the sum each daemon follows the one token bucket that all share, and
admits the part of its arrivals that the bucket pays for: all while the sum is below the
quota, and the most important ones first beyond it. Reports are late, so what is
admitted too much meanwhile is a debt of the bucket, which all pay back.

Daemons that hear each other use the part ``heard / all`` of the quota, and one that
hears nobody ``1 / all``. So daemons that are cut off from each other don't exceed the
quota together.
"""

import math
from typing import NamedTuple

from .. import messages
from ..admission import IMPORTANCE_COUNT
from ..tokens import TokenBucket

# Time constant in seconds of the rates that daemons tell each other.
RATE_SECONDS = 0.5
# Shortest time since the start over which a rate is taken.
MIN_RATE_SECONDS = 0.1
# Seconds over which the tokens of the shared bucket are spent: long enough that no
# daemon spends tokens that the others have spent since their last report.
SPENDING_SECONDS = 1.0
# Longest debt of the shared bucket, in seconds of its rate: one wrong report must not
# close the workspace for longer.
MAX_DEBT_SECONDS = 2.0
# Seconds after the last report of the others from which a daemon counts as alone.
MAX_REPORT_AGE_SECONDS = 1.0
# Share of its quota from which a workspace is busy, so that all daemons are told.
BUSY_SHARE = 0.8
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
# Share of the quota that a workspace is taken to use while it isn't busy.
ASSUMED_SHARE = 0.5
# Part of the allowance of a window that the shared bucket uses. The rest covers what
# daemons admit before they hear of each other.
USED_ALLOWANCE_SHARE = 0.5
# Part of what a window allows beyond the rate that may come at once; the other part
# comes evenly.
BURST_SHARE = 0.5
NO_DEMAND = (0.0,) * IMPORTANCE_COUNT


class QuotaTerms(NamedTuple):
    """By how much a quota may be exceeded while daemons don't hear each other.

    Attributes:
        window: Length of the windows in which requests are counted, in seconds.
        overage: Share of what the quota allows in a window.
        slack: Requests in a window in addition.
    """

    window: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


class Limits(NamedTuple):
    """What a quota and the terms allow in windows, as token buckets.

    Attributes:
        rate: Tokens a second of the bucket that all daemons share.
        burst: Its maximum of tokens.
        spare: Requests of a window that neither of them uses.
    """

    rate: float
    burst: float
    spare: float


class Usage(NamedTuple):
    """Use of a workspace's quota, by one daemon or summed over several.

    Attributes:
        demand: Requests a second that arrive, by importance, the lowest first.
        admitted: Requests a second that are admitted.
    """

    demand: tuple[float, ...] = NO_DEMAND
    admitted: float = 0.0


class View(NamedTuple):
    """What a daemon knows of the use of one workspace's quota by all daemons.

    Attributes:
        all_daemons: Number of daemons, whether or not they are heard.
        heard_daemons: Number of those whose use `total` contains; 0 if this one is
            alone.
        total: Their `Usage`, None while the workspace isn't busy.
    """

    all_daemons: int
    heard_daemons: int = 0
    total: Usage | None = None

    @property
    def part(self):
        """Part of the quota that the daemons that hear each other share."""
        return min(1.0, self.heard_daemons / max(1, self.all_daemons))


class DecayedRate:
    """A rate of events, over about the last `RATE_SECONDS` since a start."""

    __slots__ = ("_count", "_started_at", "_time")

    def __init__(self, now):
        self._count = 0.0
        self._time = self._started_at = now

    def add(self, now, count=1.0):
        """Add events; a negative count takes events back."""
        self._decay(now)
        self._count = max(0.0, self._count + count)

    def read(self, now):
        """Return the events a second."""
        if not self._count:
            return 0.0
        self._decay(now)
        seconds = max(now - self._started_at, MIN_RATE_SECONDS)
        return self._count / (RATE_SECONDS * -math.expm1(-seconds / RATE_SECONDS))

    def _decay(self, now):
        self._count *= math.exp((self._time - now) / RATE_SECONDS)
        self._time = now


class Account:
    """The quota of one workspace at one daemon.

    Args:
        quota: `registry.Quota`.
        terms: `QuotaTerms`.
        started_at: When the daemon started, by the loop's clock in seconds.

    Attributes:
        quota: The `registry.Quota` in force.
        tokens: Tokens of the bucket that the daemons share that hear each other;
            negative for a debt.
    """

    def __init__(self, quota, terms, started_at):
        self.quota = quota
        self._limits = plan_limits(quota, terms)
        # A daemon that has just started doesn't know what the others have admitted.
        self.tokens = 0.0
        self._terms = terms
        self._demand = [DecayedRate(started_at) for _ in range(IMPORTANCE_COUNT)]
        self._admitted = DecayedRate(started_at)
        # What this daemon admits at most, whatever it hears.
        self._own_bucket = TokenBucket(
            self._limits.rate, max(1.0, self._limits.burst), started_at
        )
        # Of a daemon that hears nobody, and whether it last was one.
        self._tokens_alone = 0.0
        self._is_alone = False
        self._time = started_at

    def change_quota(self, quota, now):
        """Apply the quota of a new configuration."""
        if quota != self.quota:
            self.quota = quota
            self._limits = plan_limits(quota, self._terms)
            burst = max(1.0, self._limits.burst)
            self._own_bucket.change(self._limits.rate, burst, now)

    def advance(self, view, now):
        """Move the buckets on to `now`, as the use in a new `View` implies.

        Called with each report: the use that it tells is that of a moment.
        """
        elapsed, self._time = now - self._time, now
        rate = self._limits.rate
        if not view.heard_daemons:
            self._advance_alone(elapsed, view.all_daemons)
            return
        self._is_alone = False
        admitted = view.total.admitted if view.total else ASSUMED_SHARE * rate
        tokens = self.tokens + elapsed * (view.part * rate - admitted)
        most = view.part * self._limits.burst
        self.tokens = min(max(tokens, -MAX_DEBT_SECONDS * rate), most)

    def try_spend(self, request, view, now):
        """Record an arrival and return whether the quota admits it.

        Args:
            request: The `messages.Request`.
            view: `View` of the workspace.
            now: Time of the loop's clock in seconds.
        """
        self._demand[request.importance].add(now)
        self.advance(view, now)
        chance = self._find_chance(request.importance, view, now)
        if messages.hash_root("quota:" + request.root) >= chance:
            return False
        if not self._own_bucket.try_spend(now):
            return False
        if self._is_alone:
            self._tokens_alone -= 1.0
        self._admitted.add(now)
        return True

    def refund(self, now):
        """Give back the token of a request that has not run."""
        self._admitted.add(now, -1.0)
        self._own_bucket.refund(now)
        if self._is_alone:
            self._tokens_alone += 1.0

    def read_usage(self, now):
        """Return the `Usage` of this daemon."""
        demand = tuple(rate.read(now) for rate in self._demand)
        return Usage(demand, self._admitted.read(now))

    def find_retry_after(self):
        """Return the seconds until a debt is paid and one more token is there."""
        seconds = (1.0 - min(0.0, self.tokens)) / self._limits.rate
        return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

    def _advance_alone(self, elapsed, all_daemons):
        """Move the bucket of a daemon that hears nobody on by some seconds."""
        rate, burst, spare = self._limits
        if not self._is_alone:
            # The burst may have been spent: by all daemons together, or by this one
            # before it started again.
            self._is_alone = True
            self._tokens_alone = spare / all_daemons
            self.tokens = min(self.tokens, 0.0)
            return
        most = (burst + spare) / all_daemons
        gained = elapsed * rate / all_daemons
        self._tokens_alone = min(self._tokens_alone + gained, most)

    def _find_chance(self, importance, view, now):
        """Return the share of the requests of an importance that are admitted."""
        if not view.heard_daemons:
            # A fraction of a token admits a request with its probability: rounded
            # down, a daemon with few requests would admit none.
            return self._tokens_alone
        if view.total is None:
            return 1.0
        left = view.part * self._limits.rate + self.tokens / SPENDING_SECONDS
        demand = view.total.demand
        left -= sum(demand[importance + 1 :])
        wanted = max(demand[importance], self._demand[importance].read(now))
        return left / wanted


def plan_limits(quota, terms):
    """Return the `Limits` that use what a window of a quota allows.

    A quota counts in windows: its burst is there anew in each of them. A bucket of the
    quota's own rate would refuse callers what a window still allows.

    Args:
        quota: `registry.Quota`.
        terms: `QuotaTerms`.
    """
    within = quota.rate * terms.window + quota.burst
    allowance = terms.overage * within + terms.slack
    extra = quota.burst + USED_ALLOWANCE_SHARE * allowance
    rate = quota.rate + (1.0 - BURST_SHARE) * extra / terms.window
    return Limits(rate, BURST_SHARE * extra, (1.0 - USED_ALLOWANCE_SHARE) * allowance)
