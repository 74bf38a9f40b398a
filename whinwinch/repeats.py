"""Budget of repeated attempts at one backend server, kept without coordination.

A repeat is an attempt of a request of which an earlier attempt was already handed to
a backend server; the first attempt of a request is not a repeat.

Load pattern: a service slows down, loses answers or rejects part of its work, and
every daemon that called it retries. All daemons together must not cause more repeats
than a share of the requests. Otherwise a service that lacks capacity receives all of
its load twice and does not recover.

Every attempt passes the gatekeeper beside its backend server and states whether it is
a repeat. So each gatekeeper keeps its own budget: a share of the requests it
received within a window, plus its part of the slack that operators allow. The sum over
all gatekeepers stays within the bound without any agreement between them.

In an outage requests end early, so fewer first attempts arrive just when repeats are
needed. Both the bound and the budget therefore use the window with the most requests
among the recent ones. The remaining budget is spent over half a window.

If demand for repeats is higher than that, the most important requests are repeated
first, and among equals those of root requests with the fewest calls left. Where half of
the calls are refused, a root request with eight calls left takes eight repeats, and all
of them are lost if the last one is refused; one with a single call left takes one.
Among equals of these, whole root requests are selected by the hash that all daemons
share.
"""

import bisect
import collections
import math
from typing import NamedTuple

from . import messages

# Share of the allowed repeats that is used. The reserve covers repeats that are in
# flight while they are counted and first attempts forgotten in a restart.
USABLE_SHARE = 0.85
# Steps of a window in which repeats and first attempts are counted.
STEPS_PER_WINDOW = 40
# Time constant in seconds with which demand for repeats is forgotten.
DEMAND_DECAY_SECONDS = 1.0
# Part of a window over which the remaining budget is spent, if demand is high enough.
SPENDING_SHARE = 0.5
# The same for the highest importance in demand, which need not leave any budget for
# more important requests.
TOP_SPENDING_SHARE = 0.125
# Highest number of calls left in each stage but the last. Later calls tell more roots
# apart than earlier ones, and each stage needs enough demand to be measured.
STAGE_LIMITS = (0, 1, 2, 3, 5, 8, 12)
STAGE_COUNT = len(STAGE_LIMITS) + 1
# Demand for repeats below which a class of requests is forgotten.
MIN_DEMAND = 0.01


class RepeatLimits(NamedTuple):
    """Limits on repeats, set by operators.

    Attributes:
        ratio: Repeats allowed for each request of a service.
        slack: Repeats of a service allowed in a window in addition.
        window: Length of a window in seconds.
    """

    ratio: float
    slack: float
    window: float


class RepeatCount(NamedTuple):
    """Number of repeats of one class of requests, since the start or a reading.

    Attributes:
        importance: Name of their importance.
        calls_left: Fewest calls that their root requests had left.
        asked: Repeats asked for.
        admitted: Those of them that were admitted.
    """

    importance: str
    calls_left: int
    asked: int
    admitted: int


class StepCounter:
    """Number of events in each step of the last two windows, the newest first.

    Args:
        step: Length of a step in seconds.
        now: Time of the event loop, in seconds.
    """

    def __init__(self, step, now):
        self._step = step
        self._latest = int(now / step)
        self._counts = [0] * (2 * STEPS_PER_WINDOW + 1)

    def add(self, now, count=1):
        """Add a number of events to the current step."""
        self.advance(now)
        self._counts[0] = max(0, self._counts[0] + count)

    def advance(self, now):
        """Shift the counts to the step of `now` and drop the oldest ones."""
        latest = int(now / self._step)
        passed = min(latest - self._latest, len(self._counts))
        if passed > 0:
            kept = self._counts[: len(self._counts) - passed]
            self._counts = [0] * passed + kept
            self._latest = latest

    def sum(self, first, last):
        """Return the events from `first` up to but not including `last` steps ago."""
        return sum(self._counts[first:last])


class RepeatBudget:
    """Budget of repeats that one gatekeeper admits.

    Args:
        limits: `RepeatLimits`.
        count_endpoints: Function that returns the number of endpoints of the
            service, among which the slack is divided.
        now: Time of the event loop, in seconds.
    """

    def __init__(self, limits, count_endpoints, now):
        self._limits = limits
        self._count_endpoints = count_endpoints
        self._start = now
        step = limits.window / STEPS_PER_WINDOW
        self._firsts = StepCounter(step, now)
        self._repeats = StepCounter(step, now)
        # Decaying number of repeats asked for, by importance and stage.
        self._demand = {}
        self._demand_time = now
        self._asked = collections.Counter()
        self._admitted = collections.Counter()

    def list_counts(self):
        """Return the `RepeatCount` of each class of requests since the start."""
        return [
            RepeatCount(*_describe_class(key), asked, self._admitted[key])
            for key, asked in sorted(self._asked.items(), reverse=True)
        ]

    def record_first_attempt(self, now):
        """Count the first attempt of a request."""
        self._firsts.add(now)

    def record_nested_repeat(self, now):
        """Count a nested call made by an attempt that is itself a repeat.

        The call counts as a repeat but is not refused, because the attempt that makes
        it was already admitted and its work would be lost.
        """
        self._repeats.add(now)

    def try_spend(self, request, now):
        """Return whether a repeat is admitted, and count it if so."""
        remaining = self.count_remaining(now)
        rank = rank_repeat(request)
        key = int(rank)
        self._record_demand(key, now)
        self._asked[key] += 1
        if remaining < 1.0 or rank < self._find_level(remaining):
            return False
        self._admitted[key] += 1
        self._repeats.add(now)
        return True

    def refund(self, now):
        """Uncount an admitted repeat that did not reach the backend server."""
        self._repeats.add(now, -1)

    def count_remaining(self, now):
        """Return how many more repeats may be admitted in this window."""
        self._firsts.advance(now)
        self._repeats.advance(now)
        firsts = max(
            self._firsts.sum(0, STEPS_PER_WINDOW),
            self._firsts.sum(
                STEPS_PER_WINDOW // 2, STEPS_PER_WINDOW + STEPS_PER_WINDOW // 2
            ),
            self._firsts.sum(STEPS_PER_WINDOW, 2 * STEPS_PER_WINDOW),
        )
        limits = self._limits
        # A daemon that restarted less than a window ago does not know how many
        # repeats it admitted before, so it gets only part of the slack.
        observed_share = min(1.0, (now - self._start) / limits.window)
        slack = observed_share * limits.slack / max(1, self._count_endpoints())
        allowed = USABLE_SHARE * (limits.ratio * firsts + slack)
        return allowed - self._repeats.sum(0, STEPS_PER_WINDOW + 1)

    def _record_demand(self, key, now):
        decay = math.exp((self._demand_time - now) / DEMAND_DECAY_SECONDS)
        decayed = {key: count * decay for key, count in self._demand.items()}
        self._demand = {key: n for key, n in decayed.items() if n > MIN_DEMAND}
        self._demand[key] = self._demand.get(key, 0.0) + 1.0
        self._demand_time = now

    def _find_level(self, remaining):
        """Return the rank below which repeats are refused at present.

        Args:
            remaining: Repeats that may still be admitted in this window.
        """
        # One is subtracted because a single lost request is not a rate.
        rates = {
            key: (count - 1.0) / DEMAND_DECAY_SECONDS
            for key, count in self._demand.items()
            if count > 1.0
        }
        top_importance = max(rates, default=0) // STAGE_COUNT
        higher = 0.0
        for key in sorted(rates, reverse=True):
            is_top = key // STAGE_COUNT == top_importance
            share = TOP_SPENDING_SHARE if is_top else SPENDING_SHARE
            supply = max(0.0, remaining / (share * self._limits.window) - higher)
            if rates[key] > supply:
                return key + 1.0 - supply / rates[key]
            higher += rates[key]
        return 0.0


def _describe_class(key):
    """Return the name of the importance of a class and its fewest calls left."""
    importance, order = divmod(key, STAGE_COUNT)
    stage = STAGE_COUNT - 1 - order
    fewest = STAGE_LIMITS[stage - 1] + 1 if stage else 0
    return messages.Importance(importance).name, fewest


def rank_repeat(request):
    """Return the rank of a request among those that ask for a repeat.

    Its integral part combines importance and stage, the fractional part is the hash
    of the root request.
    """
    stage = bisect.bisect_left(STAGE_LIMITS, request.calls_left)
    order = (request.importance + 1) * STAGE_COUNT - 1 - stage
    return order + messages.hash_root(request.root)
