"""The admission level of a backend server, from the demand for it.

Load pattern: demand above what the backend server carries, for longer than a
queue can hold. Without a level every excess request is worked on by all hops above
and refused here.

Grounds. The level is computed, not searched for: the hash of the root spreads
the requests of one importance evenly, so the demand that is refused further up
can be inferred from the part that arrives, whatever time a level takes to
travel. A search by small steps has to be slower than that time or it swings
between all and nothing. Only arrivals above every level sent out lately are
counted, since below them some entries refuse and some don't.
"""

import collections
import math

from . import messages

CLASSES = len(messages.Importance)
SHORT_SECONDS = 0.25
LONG_SECONDS = 2.0
# Levels sent out within this time may still be in force at an entry.
HISTORY_SECONDS = 1.0
CHANGE_DEVIATIONS = 2.5


class Window:
    """Counts and exposure, both forgotten with one time constant in seconds."""

    def __init__(self, seconds):
        self._seconds = seconds
        self.counts = [0.0] * CLASSES
        self.exposure = [0.0] * CLASSES

    def advance(self, elapsed, widths):
        """Forget for `elapsed` seconds, in which `widths` were visible."""
        kept = math.exp(-elapsed / self._seconds)
        gained = self._seconds * (1.0 - kept)
        for index in range(CLASSES):
            self.counts[index] *= kept
            self.exposure[index] *= kept
            self.exposure[index] += gained * widths[index]

    def rate(self, index):
        """Return requests a second of one importance, were none refused."""
        if self.exposure[index] < 1e-9:
            return 0.0
        return self.counts[index] / self.exposure[index]


class Demand:
    """Demand of one group of callers, inferred from the part that arrives."""

    def __init__(self, now):
        self._time = now
        self._short = Window(SHORT_SECONDS)
        self._long = Window(LONG_SECONDS)
        self._history = collections.deque()

    def record(self, rank, now):
        """Count one arrival, unless levels sent out hide some of its rank.

        Returns:
            How many arrivals this one stands for, 0 when it isn't counted.
        """
        self.advance(now)
        highest = self._highest_level(now)
        if rank < highest:
            return 0.0
        index = min(int(rank), CLASSES - 1)
        self._short.counts[index] += 1.0
        self._long.counts[index] += 1.0
        return 1.0 / max(min(index + 1 - highest, 1.0), 0.01)

    def note_level(self, level, now):
        """Remember a level that was sent out."""
        self.advance(now)
        while self._history and self._history[-1][1] <= level:
            self._history.pop()
        self._history.append((now, level))

    def advance(self, now):
        """Bring both windows up to `now`."""
        elapsed = now - self._time
        if elapsed <= 0.0:
            return
        highest = self._highest_level(now)
        widths = [min(max(i + 1 - highest, 0.0), 1.0) for i in range(CLASSES)]
        self._short.advance(elapsed, widths)
        self._long.advance(elapsed, widths)
        self._time = now

    def rates(self, now):
        """Return the demand for each importance, in requests a second.

        The long window is steadier; the short one takes its place when the two
        differ by more than chance explains, as at a surge or its end.
        """
        self.advance(now)
        return [self._rate(index) for index in range(CLASSES)]

    def shrink(self, factor):
        """Scale down the demand inferred."""
        for window in (self._short, self._long):
            window.counts = [count * factor for count in window.counts]

    def split(self, share, now):
        """Hand a share of the demand over to a new group, and return that."""
        self.advance(now)
        part = Demand(now)
        part._history.extend(self._history)
        for mine, theirs in self._pair_windows(part):
            theirs.exposure = list(mine.exposure)
            theirs.counts = [count * share for count in mine.counts]
            mine.counts = [count * (1.0 - share) for count in mine.counts]
        return part

    def merge(self, other, now):
        """Take over the demand of another group."""
        self.advance(now)
        other.advance(now)
        for mine, theirs in self._pair_windows(other):
            for index in range(CLASSES):
                mine.counts[index] += theirs.rate(index) * mine.exposure[index]

    def _pair_windows(self, other):
        return (self._short, other._short), (self._long, other._long)

    def _rate(self, index):
        long = self._long.rate(index)
        exposure = self._short.exposure[index]
        expected = long * exposure
        difference = abs(self._short.counts[index] - expected)
        if difference > CHANGE_DEVIATIONS * math.sqrt(expected / 2.0) + 1.0:
            self._long.counts[index] = self._short.counts[index]
            self._long.exposure[index] = exposure
        counted = self._long.counts[index]
        # One standard deviation less than counted (half of a decaying count is
        # its variance): on a count that chance made high, requests would be
        # refused though there is room for them; one too low only fills the queue.
        sure = 1.0 - 1.0 / math.sqrt(2.0 * counted + 1.0)
        return self._long.rate(index) * sure

    def _highest_level(self, now):
        history = self._history
        while len(history) > 1 and history[0][0] < now - HISTORY_SECONDS:
            history.popleft()
        return history[0][1] if history else 0.0


def find_levels(groups, capacity, corrections=(0.0,) * CLASSES):
    """Find the admission level of each group so that the demand fits.

    Importance goes first: a class is touched only when all below it are refused
    wholly. Within the class that doesn't fit, the capacity left is divided so
    that no group gets more than an equal share for each of its members while
    another still wants some (max-min fairness); what a group leaves unused goes
    to the others.

    Args:
        groups: Sequence of pairs: rates for each importance, members.
        capacity: Requests a second that can be served.
        corrections: For each importance, what the requests that wait before its
            own add to or take from the capacity.

    Returns:
        A list of levels, one for each group.
    """
    above = 0.0
    for index in reversed(range(CLASSES)):
        left = max(capacity + corrections[index] - above, 0.0)
        demand = [rates[index] for rates, _ in groups]
        total = sum(demand)
        if total > left:
            shares = _divide(demand, [members for _, members in groups], left)
            return [
                index + (1.0 - share / wanted if wanted > share else 0.0)
                for share, wanted in zip(shares, demand, strict=True)
            ]
        above += total
    return [0.0] * len(groups)


def _divide(demand, members, capacity):
    """Divide a capacity by max-min fairness, weighted by members."""
    order = sorted(range(len(demand)), key=lambda i: demand[i] / members[i])
    shares = [0.0] * len(demand)
    weight = sum(members)
    for index in order:
        fair = capacity * members[index] / weight
        shares[index] = min(demand[index], fair)
        capacity -= shares[index]
        weight -= members[index]
    return shares
