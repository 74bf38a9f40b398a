"""The limit on requests in service at one backend server.

Load pattern: demand for all slots of a backend server that carries less when all are
taken: one that slows down when it is nearly full, or that has turned slower and shares
what is left among all that it works on. With all slots kept full it ends fewer jobs a
second than it could, and what waits inside it waits out of the reach of deadlines and
importance.

The limit is found by trials while the slots are full: two limits take turns, and the
one that ends more jobs is kept. Taking turns, both see the same mix of jobs and the
same delays of services further down, so a backend server that waits for a deep service
isn't taken for one that is overloaded: there the lower limit ends fewer jobs.
"""

import math
from typing import NamedTuple

# A trial compares the limit with one lower or higher by one of these parts of the
# slots in turn: the smallest finds the best limit, the larger ones a way past limits
# that are all equally bad.
STEP_SHARES = (1.0 / 12.0, 1.0 / 6.0, 1.0 / 3.0)
# A turn lasts until so many jobs for each slot have ended: a job that began in an
# earlier turn doesn't count, and most must not be such.
TURN_JOBS = 4
LEAST_TURN_JOBS = 20
# Share of the jobs of a turn that have to see all slots taken for it to count.
FULL_SHARE = 0.8
# Standard errors by which the lower limit has to do better, and worse, than half way
# between no slowdown and one that eats up all that the higher limit brings.
SURE_LOWER = 2.5
SURE_HIGHER = 1.5
# Turns until both limits have had two.
ROUND_TURNS = 4
# A trial that has come to no end after so many turns keeps the higher limit.
MOST_TURNS = 128
# Turns between two trials, after one that changed nothing; doubled each time.
LEAST_PAUSE = 16
MOST_PAUSE = 128
# Logarithm of the change in service time after which the next trial comes at once.
CHANGED = math.log(1.3)


class Times:
    """Service times of some jobs, in seconds."""

    def __init__(self):
        self.count = 0
        self.total = 0.0
        self._squares = 0.0

    def add(self, seconds):
        """Take one job."""
        self.count += 1
        self.total += seconds
        self._squares += seconds * seconds

    def merge(self, other):
        """Take the jobs of other `Times`."""
        self.count += other.count
        self.total += other.total
        self._squares += other._squares

    @property
    def mean(self):
        """Mean service time in seconds."""
        return self.total / self.count

    @property
    def variance(self):
        """Variance of the mean, relative to it."""
        spread = self._squares / self.count - self.mean**2
        return max(spread, 0.0) / (self.count * self.mean**2)


class Arm(NamedTuple):
    """One of the two limits of a trial, and the jobs that ended under it."""

    limit: int
    times: Times


class Trial:
    """Two limits that take turns until one is surely better.

    Args:
        low: The lower limit.
        high: The higher one.
    """

    def __init__(self, low, high):
        self._arms = Arm(low, Times()), Arm(high, Times())
        self._turns = 0

    @property
    def limit(self):
        """The limit whose turn it is."""
        return self._find_arm().limit

    def add(self, times):
        """Take the jobs of the present turn, and go on to the next."""
        self._find_arm().times.merge(times)
        self._turns += 1

    def decide(self):
        """Return the better limit, or None while that isn't sure."""
        if self._turns % ROUND_TURNS or not self._turns:
            return None
        low, high = self._arms
        brought = math.log(high.limit / low.limit)
        slowdown = math.log(high.times.mean / low.times.mean)
        error = math.sqrt(low.times.variance + high.times.variance)
        beyond = slowdown - brought / 2.0
        if beyond > SURE_LOWER * error:
            return low.limit
        if beyond < -SURE_HIGHER * error or self._turns >= MOST_TURNS:
            return high.limit
        return None

    def _find_arm(self):
        """Return the arm whose turn it is: low, high, high, low.

        Always the lower one first, a service time that rises all the while would
        count against the higher one.
        """
        low, high = self._arms
        return low if self._turns % ROUND_TURNS in (0, ROUND_TURNS - 1) else high


class Turn:
    """The jobs that ended since the limit in force came into force.

    Args:
        start: Time of that, in seconds of the loop's clock, or None.
    """

    def __init__(self, start):
        self.start = start
        self.ended = 0
        self.full = 0
        self.times = Times()

    def add(self, seconds, is_full, now):
        """Take a job that has ended at `now` after some seconds."""
        self.ended += 1
        self.full += is_full
        if self.start is not None and now - seconds >= self.start:
            self.times.add(seconds)

    @property
    def was_full(self):
        """Whether nearly all jobs saw all slots taken, and took any time."""
        return self.full > FULL_SHARE * self.ended and self.times.total > 0.0


class Limit:
    """The limit on requests in service, from announced slots and service times.

    Args:
        slots: Slots that the backend server announces.
    """

    def __init__(self, slots):
        self.slots = slots
        self._settled = slots
        self._trial = None
        self._goes_down = True
        self._step = 0
        self._mean = None
        self._pause = 0
        self._next_pause = LEAST_PAUSE
        self._turn = Turn(None)

    @property
    def settled(self):
        """The limit outside trials."""
        return self._settled

    @property
    def value(self):
        """Requests that may be in service at present."""
        return self._trial.limit if self._trial else self._settled

    def resize(self, slots):
        """Take a newly announced number of slots."""
        self._settled = max(1, round(self._settled * slots / max(self.slots, 1)))
        self.slots = slots
        self._trial = None
        self._turn = Turn(None)

    def observe(self, service_time, in_service, now):
        """Take the service time in seconds of one request that succeeded."""
        turn = self._turn
        turn.add(service_time, in_service >= self.value, now)
        if turn.ended < max(LEAST_TURN_JOBS, TURN_JOBS * self.value):
            return
        self._end_turn(turn)
        self._turn = Turn(now)

    def _end_turn(self, turn):
        if not turn.was_full:
            # The limit wasn't what held the jobs back.
            self._trial = None
        elif self._trial is not None:
            self._trial.add(turn.times)
            self._settle(self._trial.decide())
        elif self._pause > 0 and not self._has_changed(turn.times.mean):
            self._pause -= 1
        elif self.slots > 1:
            self._begin_trial(turn.times.mean)

    def _has_changed(self, mean):
        """Return whether jobs take another time than before the last trial."""
        change = math.log(mean / self._mean)
        if abs(change) <= CHANGED:
            return False
        self._goes_down = change > 0.0
        self._step = 0
        self._next_pause = LEAST_PAUSE
        return True

    def _begin_trial(self, mean):
        self._mean = mean
        step = max(1, int(self.slots * STEP_SHARES[self._step]))
        settled = self._settled
        goes_up = settled < self.slots and (settled == 1 or not self._goes_down)
        if goes_up:
            self._trial = Trial(settled, min(self.slots, settled + step))
        else:
            self._trial = Trial(max(1, settled - step), settled)

    def _settle(self, better):
        if better is None:
            return
        self._trial = None
        if better != self._settled:
            self._settled = better
            self._step = 0
            self._next_pause = LEAST_PAUSE
            return
        self._goes_down = not self._goes_down
        if self._goes_down or self._settled >= self.slots:
            self._step = (self._step + 1) % len(STEP_SHARES)
        self._pause = self._next_pause
        self._next_pause = min(2 * self._next_pause, MOST_PAUSE)
