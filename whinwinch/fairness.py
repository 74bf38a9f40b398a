"""Shares of callers and keys, and of long jobs among short ones.

Load patterns: one caller, or one key, asks many times its share; a few jobs
take a hundred times as long as the rest. Without this a level that cuts all
callers alike refuses most of what the others ask because of one of them, and
long jobs, which leave their slots rarely, come to hold all of them.

Callers and keys are only told apart while they are uneven: a group of its own
for each hot one, one group for the rest, and max-min shares among the groups
(`admission.find_levels`), so a share that is unused goes to whoever asks.
"""

import collections
import math
from typing import NamedTuple

from . import admission

DIMENSIONS = ("caller", "path")
FORGET_SECONDS = 2.0
REGROUP_SECONDS = 0.1
MOST_FLOWS = 256
MOST_HOT = 16
# A flow is hot from three times the mean of the quieter half: at twice, chance
# alone makes one of a few dozen equal flows look hot.
HOT_RATIO = 3.0
# Below this share of the demand a flow of its own can't push others out.
HOT_SHARE = 0.05
# Jobs that take this many times the median are kept to their part of the slots.
LONG_RATIO = 8.0
SURE_COUNT = 3
MOST_KINDS = 256
QUICK_FALL = 0.2
QUICK_RISE = 0.02


class Flows:
    """Rates of the flows along one dimension, such as the caller."""

    def __init__(self, now):
        self._time = now
        self._counts = {}

    def __len__(self):
        return len(self._counts)

    def record(self, name, weight):
        """Count an arrival that stands for `weight` arrivals."""
        self._counts[name] = self._counts.get(name, 0.0) + weight
        if len(self._counts) > MOST_FLOWS:
            self._prune()

    def forget(self, now):
        """Let older arrivals count less."""
        kept = math.exp(-(now - self._time) / FORGET_SECONDS)
        self._time = now
        self._counts = {
            name: count * kept
            for name, count in self._counts.items()
            if count * kept > 0.05
        }

    def find_hot(self):
        """Return the shares of the hot flows by name, the hottest first."""
        counts = sorted(self._counts.values())
        if len(counts) < 2:
            return {}
        total = sum(counts)
        quieter = counts[: max(1, len(counts) // 2)]
        usual = sum(quieter) / len(quieter)
        least = max(HOT_RATIO * usual, HOT_SHARE * total)
        hot = [
            (count / total, name)
            for name, count in self._counts.items()
            if count > least and name
        ]
        hot.sort(reverse=True)
        return {name: share for share, name in hot[:MOST_HOT]}

    def _prune(self):
        kept = sorted(self._counts.items(), key=lambda item: item[1], reverse=True)
        self._counts = dict(kept[: MOST_FLOWS // 2])


class Shares:
    """Demand and admission level of each group of callers or keys.

    Args:
        now: Time at the start, in seconds of the loop's clock.
        dimensions: Along which flows are told apart: those of `DIMENSIONS` that
            mean something. Where a path names a kind of request, shares by path
            would put kinds of unequal importance side by side.
    """

    def __init__(self, now, dimensions=DIMENSIONS):
        self._flows = {dimension: Flows(now) for dimension in dimensions}
        self._dimension = "caller"
        self._rest = admission.Demand(now)
        self._hot = {}
        self._levels = {}
        self.rest_level = 0.0
        self._regrouped = now

    def record(self, request, rank, now):
        """Count the arrival of a request."""
        demand = self._rest
        if self._hot:
            demand = self._hot.get(name_flow(request, self._dimension), demand)
        weight = demand.record(rank, now)
        if weight > 0.0:
            for dimension, flows in self._flows.items():
                flows.record(name_flow(request, dimension), weight)
        if self._flows and now - self._regrouped > REGROUP_SECONDS:
            self._regroup(now)

    def level(self, request):
        """Return the admission level for the flow of a request."""
        if not self._levels:
            return self.rest_level
        name = name_flow(request, self._dimension)
        return self._levels.get(name, self.rest_level)

    def is_hot(self, request):
        """Return whether the flow of a request has a share of its own."""
        return name_flow(request, self._dimension) in self._hot

    def total(self, now):
        """Return the whole demand in requests a second."""
        demands = [self._rest, *self._hot.values()]
        return sum(sum(demand.rates(now)) for demand in demands)

    def shrink(self, factor):
        """Scale down the demand inferred of the flows that a level cuts."""
        if self.rest_level > 0.0:
            self._rest.shrink(factor)
        for name, demand in self._hot.items():
            if self._levels[name] > 0.0:
                demand.shrink(factor)

    def update(self, capacity, corrections, now):
        """Set the levels so that what they admit fits a capacity.

        Args:
            capacity: Requests a second that can be served.
            corrections: What the queue adds to it or takes, by importance.
            now: Time of the loop's clock.
        """
        names = list(self._hot)
        flows = self._flows.get(self._dimension, ())
        others = max(1, len(flows) - len(names))
        groups = [(self._rest.rates(now), others)]
        groups += [(self._hot[name].rates(now), 1) for name in names]
        levels = admission.find_levels(groups, capacity, corrections)
        self.rest_level = levels[0]
        self._rest.note_level(levels[0], now)
        self._levels = dict(zip(names, levels[1:], strict=True))
        for name in names:
            self._hot[name].note_level(self._levels[name], now)

    def _regroup(self, now):
        self._regrouped = now
        hot = {}
        for dimension, flows in self._flows.items():
            flows.forget(now)
            hot[dimension] = flows.find_hot()
        # One dimension at a time: cutting the same excess along both would
        # refuse more than the excess.
        sums = {dimension: sum(shares.values()) for dimension, shares in hot.items()}
        path, caller = (sums.get(dimension, 0.0) for dimension in ("path", "caller"))
        chosen = "path" if path > 1.2 * caller else "caller"
        if chosen != self._dimension:
            self._keep(frozenset(), now)
            self._dimension = chosen
        self._keep(frozenset(hot.get(chosen, ())), now)
        for name, share in hot.get(chosen, {}).items():
            if name not in self._hot:
                self._hot[name] = self._rest.split(share, now)
                self._levels[name] = self.rest_level

    def _keep(self, names, now):
        """Put the hot flows that are no longer so back among the rest."""
        for name in list(self._hot):
            if name not in names:
                self._rest.merge(self._hot.pop(name), now)
                self._levels.pop(name, None)


class Seen(NamedTuple):
    """Service times seen of one kind of job, in seconds.

    Attributes:
        mean: Mean of about the last twenty.
        deviation: Mean deviation from it.
        quick: What a quick job takes.
        count: Jobs seen, at most 200.
    """

    mean: float
    deviation: float
    quick: float
    count: float

    def add(self, seconds):
        """Return what is seen with one more job."""
        count = min(self.count + 1.0, 200.0)
        weight = 1.0 / min(count, 20.0)
        deviation = self.deviation + weight * (
            abs(seconds - self.mean) - self.deviation
        )
        mean = self.mean + weight * (seconds - self.mean)
        # Falls ten times faster than it rises. Jobs that waited for a deep
        # service take long, until its queue is shorter; were they believed for
        # long, requests would be refused for a wait that is over, and with none
        # let in nothing would show that.
        step = QUICK_FALL if seconds < self.quick else QUICK_RISE
        quick = self.quick + step * (seconds - self.quick)
        return Seen(mean, deviation, quick, count)


class Durations:
    """Service times of each kind of job, and which kinds are long."""

    def __init__(self):
        self._seen = collections.OrderedDict()
        self._started = {}
        self._median = None
        self._observed = 0

    @property
    def median(self):
        """Service time in seconds of the median job, or None when unknown."""
        return self._median

    def start(self, kind, now):
        """Note that a job of a kind not seen to its end has started."""
        if kind not in self._seen and len(self._started) < MOST_KINDS:
            self._started.setdefault(kind, now)

    def end(self, kind):
        """Note that a job of a kind has left, whether or not it counts.

        Otherwise a kind whose first job failed would be held for long ever
        after.
        """
        self._started.pop(kind, None)

    def observe(self, kind, seconds):
        """Take the service time of one job."""
        seen = self._seen.pop(kind, Seen(seconds, 0.0, seconds, 0.0))
        self._seen[kind] = seen.add(seconds)
        while len(self._seen) > MOST_KINDS:
            self._seen.popitem(last=False)
        self._observed += 1
        if self._observed < 50 or self._observed % 20 == 0:
            self._median = self._find_median()

    def allow(self, kind):
        """Return the seconds that most jobs of a kind take, 0 when unknown.

        Twice the mean deviation above the mean covers some nine jobs in ten.
        """
        seen = self._seen.get(kind)
        return seen.mean + 2.0 * seen.deviation if seen else 0.0

    def hope(self, kind):
        """Return the seconds that a quick job of a kind takes, 0 when unknown."""
        seen = self._seen.get(kind)
        return seen.quick if seen else 0.0

    def is_long(self, kind, now):
        """Return whether jobs of a kind take far longer than most."""
        if self._median is None:
            return False
        seen = self._seen.get(kind)
        if seen is not None:
            # A single job may be long by chance; far longer, it isn't chance.
            ratio = LONG_RATIO if seen.count >= SURE_COUNT else 2.0 * LONG_RATIO
            return seen.mean > ratio * self._median
        # The first long jobs show themselves by staying: waiting for one to
        # end would let the ones that follow take every slot meanwhile.
        started = self._started.get(kind)
        return started is not None and now - started > LONG_RATIO * self._median

    def _find_median(self):
        means = sorted((seen.mean, seen.count) for seen in self._seen.values())
        half = sum(count for _, count in means) / 2.0
        for mean, count in means:
            half -= count
            if half <= 0.0:
                return mean
        return means[-1][0]


def name_flow(request, dimension):
    """Return the name of the flow of a request along a dimension."""
    if dimension == "caller":
        return request.caller
    return name_key(request)


def name_key(request):
    """Return what a request asks for: its path without the query."""
    return request.path.partition("?")[0]


def name_kind(request):
    """Return the kind of job that a request is: its call, else its path."""
    return request.call or name_key(request)


def limit_long(limit, short_busy):
    """Return how many slots long jobs may hold.

    The short ones keep what they use on average: one that finds no slot waits a
    fraction of its service time for one of its own to end, while each slot kept
    beyond that stands idle though long jobs are refused. An eighth of the slots is
    always open to long jobs, so that they aren't starved.

    Args:
        limit: Present limit on requests in service.
        short_busy: Slots that short jobs would use on average.
    """
    return max(1, limit // 8, limit - math.ceil(short_busy))
