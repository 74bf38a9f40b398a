"""The admission level of a backend server, computed from the demand for it.

Load pattern: demand above the capacity of the backend server, for longer than a queue
can absorb. Without a level every excess request is processed by all upstream services
and then refused here.

The level is computed, not searched for: the hash of the root request distributes the
requests of one importance evenly, so the demand that is refused upstream can be
inferred from the part that arrives, however long a level takes to propagate. A search
by small steps has to be slower than that delay, or it oscillates between admitting all
and nothing. Only arrivals above every recently sent level are counted, since below them
some entry daemons refuse requests and others don't.
"""

import collections
import math

from . import messages

IMPORTANCE_COUNT = len(messages.Importance)
SHORT_WINDOW_SECONDS = 0.25
LONG_WINDOW_SECONDS = 2.0
# Levels sent within this time may still be in force at an entry daemon.
LEVEL_HISTORY_SECONDS = 1.0
CHANGE_DEVIATIONS = 2.5


class Window:
    """Arrival counts and exposure by importance, with exponential decay.

    Exposure is the time during which arrivals were visible, weighted by the share of
    ranks that no level hid.

    Args:
        seconds: Time constant of the decay.
    """

    def __init__(self, seconds):
        self._time_constant = seconds
        self.counts = [0.0] * IMPORTANCE_COUNT
        self.exposure = [0.0] * IMPORTANCE_COUNT

    def advance(self, elapsed, widths):
        """Decay by `elapsed` seconds and add the exposure of that time.

        Args:
            elapsed: Seconds since the last call.
            widths: Share of the ranks that was visible, by importance.
        """
        retained = math.exp(-elapsed / self._time_constant)
        added_exposure = self._time_constant * (1.0 - retained)
        self.counts = [count * retained for count in self.counts]
        self.exposure = [
            exposure * retained + added_exposure * width
            for exposure, width in zip(self.exposure, widths, strict=True)
        ]

    def rate(self, index):
        """Return the demand of one importance in requests a second.

        It includes the requests that were refused upstream.
        """
        if self.exposure[index] < 1e-9:
            return 0.0
        return self.counts[index] / self.exposure[index]


class Demand:
    """Demand of one group of callers, inferred from the part that arrives."""

    def __init__(self, now):
        self._advanced_at = now
        self._short = Window(SHORT_WINDOW_SECONDS)
        self._long = Window(LONG_WINDOW_SECONDS)
        self._history = collections.deque()

    def record(self, rank, now):
        """Count one arrival, unless a recently sent level hides some of its rank.

        Returns:
            The number of arrivals that this one represents, 0 when it isn't counted.
        """
        self.advance(now)
        highest = self._highest_level(now)
        if rank < highest:
            return 0.0
        index = min(int(rank), IMPORTANCE_COUNT - 1)
        self._short.counts[index] += 1.0
        self._long.counts[index] += 1.0
        return 1.0 / max(min(index + 1 - highest, 1.0), 0.01)

    def record_level(self, level, now):
        """Record a level that was sent."""
        self.advance(now)
        while self._history and self._history[-1][1] <= level:
            self._history.pop()
        self._history.append((now, level))

    def advance(self, now):
        """Advance both windows to `now`."""
        elapsed = now - self._advanced_at
        if elapsed <= 0.0:
            return
        highest = self._highest_level(now)
        widths = [min(max(i + 1 - highest, 0.0), 1.0) for i in range(IMPORTANCE_COUNT)]
        self._short.advance(elapsed, widths)
        self._long.advance(elapsed, widths)
        self._advanced_at = now

    def rates(self, now):
        """Return the demand for each importance, in requests a second.

        The long window is steadier. It is replaced by the short one when the two differ
        by more than chance explains, as at the start or end of a surge.
        """
        self.advance(now)
        return [self._estimate_rate(index) for index in range(IMPORTANCE_COUNT)]

    def shrink(self, factor):
        """Scale the inferred demand by a factor."""
        for window in (self._short, self._long):
            window.counts = [count * factor for count in window.counts]

    def split(self, share, now):
        """Move a share of the demand to a new group and return that group."""
        self.advance(now)
        part = Demand(now)
        part._history.extend(self._history)
        for own_window, other_window in self._pair_windows(part):
            other_window.exposure = list(own_window.exposure)
            other_window.counts = [count * share for count in own_window.counts]
            own_window.counts = [count * (1.0 - share) for count in own_window.counts]
        return part

    def merge(self, other, now):
        """Add the demand of another group to this one."""
        self.advance(now)
        other.advance(now)
        for own_window, other_window in self._pair_windows(other):
            for index in range(IMPORTANCE_COUNT):
                own_window.counts[index] += (
                    other_window.rate(index) * own_window.exposure[index]
                )

    def _pair_windows(self, other):
        return (self._short, other._short), (self._long, other._long)

    def _estimate_rate(self, index):
        long_rate = self._long.rate(index)
        exposure = self._short.exposure[index]
        expected = long_rate * exposure
        difference = abs(self._short.counts[index] - expected)
        if difference > CHANGE_DEVIATIONS * math.sqrt(expected / 2.0) + 1.0:
            self._long.counts[index] = self._short.counts[index]
            self._long.exposure[index] = exposure
        count = self._long.counts[index]
        # One standard deviation less than counted (half of a decaying count is its
        # variance). If a count that is high by chance were used in full, requests would
        # be refused although there is capacity for them; a count that is too low only
        # fills the queue.
        confidence_factor = 1.0 - 1.0 / math.sqrt(2.0 * count + 1.0)
        return self._long.rate(index) * confidence_factor

    def _highest_level(self, now):
        history = self._history
        while len(history) > 1 and history[0][0] < now - LEVEL_HISTORY_SECONDS:
            history.popleft()
        return history[0][1] if history else 0.0


def find_levels(groups, capacity, corrections=(0.0,) * IMPORTANCE_COUNT):
    """Find the admission level of each group so that the admitted demand fits.

    Importance has priority: a class is cut only when all less important classes are
    refused completely. In the class that doesn't fit, the remaining capacity is divided
    so that no group gets more than an equal share for each of its members while another
    group still needs some (max-min fairness). What a group leaves unused goes to the
    others.

    Args:
        groups: Pairs of the group's demand in requests a second, by importance, and its
            number of members.
        capacity: Requests a second that can be served.
        corrections: Requests a second that the queue adds to the capacity (negative:
            reduces it), by importance. For each importance, only waiting requests
            that are served before its own count.

    Returns:
        A list of levels, one for each group.
    """
    higher_demand = 0.0
    for index in reversed(range(IMPORTANCE_COUNT)):
        remaining = max(capacity + corrections[index] - higher_demand, 0.0)
        demand = [rates[index] for rates, _ in groups]
        total = sum(demand)
        if total > remaining:
            shares = _divide_max_min(
                demand, [members for _, members in groups], remaining
            )
            return [
                index + (1.0 - share / wanted if wanted > share else 0.0)
                for share, wanted in zip(shares, demand, strict=True)
            ]
        higher_demand += total
    return [0.0] * len(groups)


def _divide_max_min(demand, members, capacity):
    """Divide a capacity by max-min fairness, weighted by members."""
    order = sorted(range(len(demand)), key=lambda i: demand[i] / members[i])
    shares = [0.0] * len(demand)
    weight = sum(members)
    for index in order:
        fair_share = capacity * members[index] / weight
        shares[index] = min(demand[index], fair_share)
        capacity -= shares[index]
        weight -= members[index]
    return shares
