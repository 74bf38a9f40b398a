"""Fair shares of callers and keys, and of long jobs among short ones.

Load patterns: one caller, or one key, requests many times its share; a few jobs take a
hundred times as long as the rest. If one level cut all callers alike, most requests of
the other callers would be refused because of a single one, and long jobs, which rarely
free their slots, would come to occupy all of them.

Callers and keys are only distinguished while their demand is uneven: each hot one forms
a group of its own, all others share one group, and capacity is divided among the groups
by max-min fairness (`admission.find_levels`), so an unused share goes to the groups
that need it.
"""

import collections
import math
from typing import NamedTuple

from . import admission

DIMENSIONS = ("caller", "path")
FLOW_DECAY_SECONDS = 2.0
REGROUP_INTERVAL_SECONDS = 0.1
MAX_FLOWS = 256
MAX_HOT_FLOWS = 16
# A flow is hot from three times the mean of the quieter half of all flows. At twice the
# mean, chance alone makes one of a few dozen equal flows look hot.
HOT_RATIO = 3.0
# Below this share of the demand a single flow can't displace others.
MIN_HOT_SHARE = 0.05
# Jobs that take this many times the median are limited to their part of the slots.
LONG_RATIO = 8.0
# Number of observed jobs of a kind from which that ratio applies; with fewer jobs,
# twice the ratio does.
MIN_LONG_COUNT = 3
MAX_KINDS = 256
QUICK_FALL_WEIGHT = 0.2
QUICK_RISE_WEIGHT = 0.02


class Flows:
    """Decayed arrival counts of the flows along one dimension, such as the caller."""

    def __init__(self, now):
        self._decayed_at = now
        self._counts = {}

    def __len__(self):
        return len(self._counts)

    def record(self, name, weight):
        """Count an observed arrival that represents `weight` arrivals."""
        self._counts[name] = self._counts.get(name, 0.0) + weight
        if len(self._counts) > MAX_FLOWS:
            self._prune()

    def decay(self, now):
        """Decay the counts, so that older arrivals weigh less."""
        retained = math.exp(-(now - self._decayed_at) / FLOW_DECAY_SECONDS)
        self._decayed_at = now
        self._counts = {
            name: count * retained
            for name, count in self._counts.items()
            if count * retained > 0.05
        }

    def find_hot(self):
        """Return the shares of the hot flows by name, the hottest first."""
        counts = sorted(self._counts.values())
        if len(counts) < 2:
            return {}
        total = sum(counts)
        quieter = counts[: max(1, len(counts) // 2)]
        quiet_mean = sum(quieter) / len(quieter)
        threshold = max(HOT_RATIO * quiet_mean, MIN_HOT_SHARE * total)
        hot = [
            (count / total, name)
            for name, count in self._counts.items()
            if count > threshold and name
        ]
        hot.sort(reverse=True)
        return {name: share for share, name in hot[:MAX_HOT_FLOWS]}

    def _prune(self):
        by_count = sorted(self._counts.items(), key=lambda item: item[1], reverse=True)
        self._counts = dict(by_count[: MAX_FLOWS // 2])


class Shares:
    """Demand and admission level of each group of callers or keys.

    Args:
        now: Time at the start, in seconds of the loop's clock.
        dimensions: Dimensions along which flows are distinguished: those of
            `DIMENSIONS` that are meaningful. Where a path names a kind of request,
            shares by path would treat kinds of unequal importance alike.
    """

    def __init__(self, now, dimensions=DIMENSIONS):
        self._flows = {dimension: Flows(now) for dimension in dimensions}
        self._dimension = "caller"
        self._rest = admission.Demand(now)
        self._hot = {}
        self._levels = {}
        self.rest_level = 0.0
        self._regrouped_at = now

    def record(self, request, rank, now):
        """Count the arrival of a request.

        Args:
            request: The `messages.Request`.
            rank: Its rank, as returned by `messages.rank_request`.
            now: Time of the loop's clock in seconds.
        """
        demand = self._rest
        if self._hot:
            demand = self._hot.get(name_flow(request, self._dimension), demand)
        weight = demand.record(rank, now)
        if weight > 0.0:
            for dimension, flows in self._flows.items():
                flows.record(name_flow(request, dimension), weight)
        if self._flows and now - self._regrouped_at > REGROUP_INTERVAL_SECONDS:
            self._regroup(now)

    def level(self, request):
        """Return the admission level for the flow of a request."""
        if not self._levels:
            return self.rest_level
        name = name_flow(request, self._dimension)
        return self._levels.get(name, self.rest_level)

    def is_hot(self, request):
        """Return whether the flow of a request is hot and has a group of its own."""
        return name_flow(request, self._dimension) in self._hot

    def estimate_total(self, now):
        """Return the total demand of all groups in requests a second."""
        demands = [self._rest, *self._hot.values()]
        return sum(sum(demand.rates(now)) for demand in demands)

    def shrink(self, factor):
        """Scale the inferred demand of the groups that a level cuts by a factor."""
        if self.rest_level > 0.0:
            self._rest.shrink(factor)
        for name, demand in self._hot.items():
            if self._levels[name] > 0.0:
                demand.shrink(factor)

    def update(self, capacity, corrections, now):
        """Set the levels so that the admitted demand fits a capacity.

        Args:
            capacity: Requests a second that can be served.
            corrections: Requests a second that the queue adds to the capacity
                (negative: reduces it), by importance.
            now: Time of the loop's clock in seconds.
        """
        names = list(self._hot)
        flows = self._flows.get(self._dimension, ())
        others = max(1, len(flows) - len(names))
        groups = [(self._rest.rates(now), others)]
        groups += [(self._hot[name].rates(now), 1) for name in names]
        levels = admission.find_levels(groups, capacity, corrections)
        self.rest_level = levels[0]
        self._rest.record_level(levels[0], now)
        self._levels = dict(zip(names, levels[1:], strict=True))
        for name in names:
            self._hot[name].record_level(self._levels[name], now)

    def _regroup(self, now):
        self._regrouped_at = now
        hot = {}
        for dimension, flows in self._flows.items():
            flows.decay(now)
            hot[dimension] = flows.find_hot()
        # Only one dimension at a time: cutting the same excess along both would refuse
        # more than the excess.
        hot_shares = {
            dimension: sum(shares.values()) for dimension, shares in hot.items()
        }
        path, caller = (
            hot_shares.get(dimension, 0.0) for dimension in ("path", "caller")
        )
        chosen = "path" if path > 1.2 * caller else "caller"
        if chosen != self._dimension:
            self._merge_all_but(frozenset(), now)
            self._dimension = chosen
        self._merge_all_but(frozenset(hot.get(chosen, ())), now)
        for name, share in hot.get(chosen, {}).items():
            if name not in self._hot:
                self._hot[name] = self._rest.split(share, now)
                self._levels[name] = self.rest_level

    def _merge_all_but(self, names, now):
        """Merge the hot flows that aren't among `names` into the rest."""
        for name in list(self._hot):
            if name not in names:
                self._rest.merge(self._hot.pop(name), now)
                self._levels.pop(name, None)


class ServiceTimeStats(NamedTuple):
    """Statistics of the service times of one kind of job, in seconds.

    Attributes:
        mean: Mean of about the last twenty jobs.
        deviation: Mean absolute deviation from it.
        quick: Estimate for a quick job.
        count: Jobs observed, at most 200.
    """

    mean: float
    deviation: float
    quick: float
    count: float

    def add(self, seconds):
        """Return the statistics updated with the service time of one more job."""
        count = min(self.count + 1.0, 200.0)
        weight = 1.0 / min(count, 20.0)
        deviation = self.deviation + weight * (
            abs(seconds - self.mean) - self.deviation
        )
        mean = self.mean + weight * (seconds - self.mean)
        # The estimate falls ten times faster than it rises. Jobs that waited for a slow
        # downstream service take long until its queue is shorter. If such times counted
        # for long, requests would be refused because of a wait that is over, and with
        # none admitted no newer time would be observed.
        step = QUICK_FALL_WEIGHT if seconds < self.quick else QUICK_RISE_WEIGHT
        quick = self.quick + step * (seconds - self.quick)
        return ServiceTimeStats(mean, deviation, quick, count)


class Durations:
    """Service times of each kind of job, and which kinds are long."""

    def __init__(self):
        self._stats = collections.OrderedDict()
        self._started = {}
        self._median = None
        self._observed = 0

    @property
    def median(self):
        """Service time of the median job in seconds, or None when unknown."""
        return self._median

    def start(self, kind, now):
        """Record that a job has started, unless its kind has been observed."""
        if kind not in self._stats and len(self._started) < MAX_KINDS:
            self._started.setdefault(kind, now)

    def end(self, kind):
        """Record that a job of a kind has left, whether or not its time counts.

        Otherwise a kind whose first job failed would be treated as long for ever.
        """
        self._started.pop(kind, None)

    def observe(self, kind, seconds):
        """Record the service time in seconds of one job of a kind."""
        stats = self._stats.pop(kind, ServiceTimeStats(seconds, 0.0, seconds, 0.0))
        self._stats[kind] = stats.add(seconds)
        while len(self._stats) > MAX_KINDS:
            self._stats.popitem(last=False)
        self._observed += 1
        if self._observed < 50 or self._observed % 20 == 0:
            self._median = self._find_median()

    def estimate_upper(self, kind):
        """Return the seconds within which most jobs of a kind end, 0 when unknown.

        Twice the mean deviation above the mean covers some nine jobs in ten.
        """
        stats = self._stats.get(kind)
        return stats.mean + 2.0 * stats.deviation if stats else 0.0

    def estimate_lower(self, kind):
        """Return the seconds that a quick job of a kind takes, 0 when unknown."""
        stats = self._stats.get(kind)
        return stats.quick if stats else 0.0

    def is_long(self, kind, now):
        """Return whether jobs of a kind take far longer than most."""
        if self._median is None:
            return False
        stats = self._stats.get(kind)
        if stats is not None:
            # A single job may be long by chance, but hardly by twice the ratio.
            ratio = LONG_RATIO if stats.count >= MIN_LONG_COUNT else 2.0 * LONG_RATIO
            return stats.mean > ratio * self._median
        # The first long jobs are recognised by how long they have been running. If the
        # decision waited for one of them to end, the following ones would occupy every
        # slot meanwhile.
        started = self._started.get(kind)
        return started is not None and now - started > LONG_RATIO * self._median

    def _find_median(self):
        means = sorted((stats.mean, stats.count) for stats in self._stats.values())
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
    """Return the key that a request addresses: its path without the query."""
    return request.path.partition("?")[0]


def name_kind(request):
    """Return the kind of job of a request: its call, or its key if it has none."""
    return request.call or name_key(request)


def compute_long_limit(limit, short_slots):
    """Return the maximum number of slots that long jobs may use.

    Short jobs keep as many slots as they use on average. A short job that finds no free
    slot waits a fraction of its service time until another short one ends, while each
    slot reserved beyond that is idle although long jobs are refused. An eighth of the
    slots is always open to long jobs, so that they don't starve.

    Args:
        limit: Present limit on requests in service.
        short_slots: Slots that short jobs would use on average.
    """
    return max(1, limit // 8, limit - math.ceil(short_slots))
