"""Budget of repeats at one backend server, kept without talking.

Load pattern: a service slows down, loses answers or turns part of its work down, and
every daemon that called it tries again. All daemons together must not cause more
repeats than a share of the requests, or a service that is short of room is asked
twice for all of it and stays short.

Every attempt passes the gatekeeper beside the backend server it is meant for, and
says whether it is a repeat. So each gatekeeper holds its own part: a share of the
requests that it has seen in a window, and its part of what the operators grant
besides. The sum over all gatekeepers keeps the bound, with nothing to agree on.

A trouble makes requests break off early, so fewer arrive just when repeats are
needed: the bound goes by the fullest of the windows until now, and so does the
budget. What is left of it is spent over half a window. While more is asked for than
that, the important go first, and among equals whole requests by the hash that all
daemons share: a request that needs five repeats gains nothing from two.
"""

import math
from typing import NamedTuple

from . import admission, messages

# Repeats that are under way when they are counted, and firsts that a restart made
# forget, leave the count a little behind.
USED_SHARE = 0.85
# Parts of a window in which repeats and firsts are counted.
STEPS = 40
# Time for which demand for repeats is remembered, in seconds.
DEMAND_SECONDS = 1.0
# What is left is spent over this part of a window, if there is demand for all of it.
SPENDING_SHARE = 0.5
# The most important that ask have nobody to leave anything for.
TOP_SPENDING_SHARE = 0.2


class Terms(NamedTuple):
    """What operators allow.

    Attributes:
        ratio: Repeats for each request of a service.
        slack: Repeats of a service in a window besides.
        window: Seconds of a window.
    """

    ratio: float
    slack: float
    window: float


class Counts:
    """Events of the last two windows, in steps."""

    def __init__(self, step, now):
        self._step = step
        self._latest = int(now / step)
        self._counts = [0] * (2 * STEPS + 1)

    def add(self, now, count=1):
        """Count an event at the present."""
        self.advance(now)
        self._counts[0] = max(0, self._counts[0] + count)

    def advance(self, now):
        """Let older events move on."""
        latest = int(now / self._step)
        passed = min(latest - self._latest, len(self._counts))
        if passed > 0:
            kept = self._counts[: len(self._counts) - passed]
            self._counts = [0] * passed + kept
            self._latest = latest

    def sum(self, first, last):
        """Return the events from a step ago to another, the latter left out."""
        return sum(self._counts[first:last])


class RepeatBudget:
    """Repeats that one gatekeeper lets through.

    Args:
        terms: `Terms`.
        count_endpoints: Function that returns the endpoints of the service, between
            which the slack is divided.
        now: Time of the loop's clock in seconds.
    """

    def __init__(self, terms, count_endpoints, now):
        self._terms = terms
        self._count_endpoints = count_endpoints
        self._start = now
        step = terms.window / STEPS
        self._firsts = Counts(step, now)
        self._repeats = Counts(step, now)
        self._demand = [0.0] * len(messages.Importance)
        self._demand_time = now

    def note_first(self, now):
        """Count a request that comes for the first time."""
        self._firsts.add(now)

    def note_caused(self, now):
        """Count a call of a run that was itself a repeat.

        It counts as a repeat and isn't refused for that: the run that makes it was
        let through, and would be lost.
        """
        self._repeats.add(now)

    def take(self, request, now):
        """Return whether a repeat may go on, and count it."""
        left = self.find_left(now)
        self._note_demand(request, now)
        if left < 1.0:
            return False
        if messages.rank_request(request) < self._find_level(left):
            return False
        self._repeats.add(now)
        return True

    def give_back(self, now):
        """Take back a repeat that did not reach the backend server."""
        self._repeats.add(now, -1)

    def find_left(self, now):
        """Return how many repeats may still go on in this window."""
        self._firsts.advance(now)
        self._repeats.advance(now)
        firsts = max(
            self._firsts.sum(0, STEPS),
            self._firsts.sum(STEPS // 2, STEPS + STEPS // 2),
            self._firsts.sum(STEPS, 2 * STEPS),
        )
        terms = self._terms
        # A daemon that has just started forgot what it let through before.
        known = min(1.0, (now - self._start) / terms.window)
        slack = known * terms.slack / max(1, self._count_endpoints())
        allowed = USED_SHARE * (terms.ratio * firsts + slack)
        return allowed - self._repeats.sum(0, STEPS + 1)

    def _note_demand(self, request, now):
        kept = math.exp((self._demand_time - now) / DEMAND_SECONDS)
        self._demand = [count * kept for count in self._demand]
        self._demand[request.importance] += 1.0
        self._demand_time = now

    def _find_level(self, left):
        """Return the rank below which repeats are too many at present."""
        # One less than counted: a single loss isn't a rate.
        rates = [max(0.0, count - 1.0) / DEMAND_SECONDS for count in self._demand]
        supply = left / (SPENDING_SHARE * self._terms.window)
        top = max((i for i, rate in enumerate(rates) if rate > 0.0), default=0)
        more = [0.0] * len(rates)
        more[top] = left / (TOP_SPENDING_SHARE * self._terms.window) - supply
        (level,) = admission.find_levels([(rates, 1)], supply, more)
        return level
