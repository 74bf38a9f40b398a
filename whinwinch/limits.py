"""The limit on requests in service at one backend server.

Load pattern: demand that uses all slots of a backend server whose throughput falls when
all are used, either because it slows down when nearly full, or because it has become
slower and shares its remaining capacity among all requests in service. With all slots
in use it completes fewer jobs a second than it could, and requests queue inside it,
where neither deadlines nor importance apply.

The limit is found by trials while the slots are full: two limits alternate, and the one
that completes more jobs is kept. Because they alternate, both are measured with the
same mix of jobs and the same delays of downstream services. So a backend server that
waits for a slow downstream service isn't mistaken for an overloaded one: there the
lower limit completes fewer jobs.
"""

import math
from typing import NamedTuple

# A trial compares the current limit with one that is lower or higher by one of these
# shares of the slots, in turn: the smallest finds the best limit, the larger ones lead
# out of a range of limits that are all equally bad.
STEP_SHARES = (1.0 / 12.0, 1.0 / 6.0, 1.0 / 3.0)
# A turn lasts until this many jobs for each slot have ended. Jobs that began in an
# earlier turn don't count, and they must not be the majority.
TURN_JOBS_PER_SLOT = 4
MIN_TURN_JOBS = 20
# Share of the jobs of a turn that must find all slots in use for the turn to count.
MIN_FULL_SHARE = 0.8
# Standard errors by which the slowdown at the higher limit must exceed (for the lower
# limit to win) or fall below (for the higher limit to win) the mid-point between no
# slowdown and one that cancels the whole gain of the higher limit.
LOWER_WINS_ERRORS = 2.5
HIGHER_WINS_ERRORS = 1.5
# Turns in a round, after which each limit has had two turns.
TURNS_PER_ROUND = 4
# An undecided trial ends after this many turns and keeps the higher limit.
MAX_TRIAL_TURNS = 128
# Turns between two trials after one that changed nothing; doubled each time.
MIN_PAUSE_TURNS = 16
MAX_PAUSE_TURNS = 128
# Logarithm of the change in service time that starts the next trial at once.
CHANGE_LOG_THRESHOLD = math.log(1.3)


class TimeSample:
    """Statistics of the service times of some jobs, in seconds."""

    def __init__(self):
        self.count = 0
        self.total = 0.0
        self._squares = 0.0

    def add(self, seconds):
        """Add the service time of one job."""
        self.count += 1
        self.total += seconds
        self._squares += seconds * seconds

    def merge(self, other):
        """Add all jobs of another sample."""
        self.count += other.count
        self.total += other.total
        self._squares += other._squares

    @property
    def mean(self):
        """Mean service time in seconds."""
        return self.total / self.count

    @property
    def relative_variance(self):
        """Variance of the mean, divided by the square of the mean."""
        spread = self._squares / self.count - self.mean**2
        return max(spread, 0.0) / (self.count * self.mean**2)


class Arm(NamedTuple):
    """One of the two limits of a trial.

    Attributes:
        limit: Requests that may be in service.
        times: Service times of the jobs that ended under this limit.
    """

    limit: int
    times: TimeSample


class Trial:
    """Two limits that alternate until one of them is significantly better.

    Args:
        low: The lower limit.
        high: The higher limit.
    """

    def __init__(self, low, high):
        self._arms = Arm(low, TimeSample()), Arm(high, TimeSample())
        self._turns = 0

    @property
    def limit(self):
        """The limit that is in force in the present turn."""
        return self._current_arm().limit

    def add(self, times):
        """Add the service times of the present turn and start the next turn."""
        self._current_arm().times.merge(times)
        self._turns += 1

    def decide(self):
        """Return the better limit, or None while the difference isn't significant."""
        if self._turns % TURNS_PER_ROUND or not self._turns:
            return None
        low, high = self._arms
        log_limit_ratio = math.log(high.limit / low.limit)
        log_slowdown = math.log(high.times.mean / low.times.mean)
        error = math.sqrt(low.times.relative_variance + high.times.relative_variance)
        excess_slowdown = log_slowdown - log_limit_ratio / 2.0
        if excess_slowdown > LOWER_WINS_ERRORS * error:
            return low.limit
        if (
            excess_slowdown < -HIGHER_WINS_ERRORS * error
            or self._turns >= MAX_TRIAL_TURNS
        ):
            return high.limit
        return None

    def _current_arm(self):
        """Return the arm of the present turn, in the order low, high, high, low.

        If the lower limit always came first, a service time that rises steadily would
        count against the higher limit.
        """
        low, high = self._arms
        return (
            low if self._turns % TURNS_PER_ROUND in (0, TURNS_PER_ROUND - 1) else high
        )


class Turn:
    """The jobs that ended since the present limit came into force.

    Args:
        start: Time when it came into force, in seconds of the loop's clock. None when
            unknown: service times aren't recorded then.
    """

    def __init__(self, start):
        self.start = start
        self.ended = 0
        self.full = 0
        self.times = TimeSample()

    def add(self, seconds, is_full, now):
        """Record a job that ended at `now`.

        Args:
            seconds: Service time.
            is_full: Whether the limit was reached.
            now: Time of the loop's clock in seconds.
        """
        self.ended += 1
        self.full += is_full
        if self.start is not None and now - seconds >= self.start:
            self.times.add(seconds)

    @property
    def was_full(self):
        """Whether nearly all jobs found all slots in use, and took measurable time."""
        return self.full > MIN_FULL_SHARE * self.ended and self.times.total > 0.0


class Limit:
    """The limit on requests in service, derived from slots and service times.

    Args:
        slots: Slots that the backend server announces.
    """

    def __init__(self, slots):
        self.slots = slots
        self._settled = slots
        self._trial = None
        self._tries_lower = True
        self._step_index = 0
        self._mean_at_trial = None
        self._pause_turns = 0
        self._next_pause_turns = MIN_PAUSE_TURNS
        self._turn = Turn(None)

    @property
    def settled(self):
        """The limit that applies outside trials."""
        return self._settled

    @property
    def value(self):
        """Requests that may be in service at present."""
        return self._trial.limit if self._trial else self._settled

    def resize(self, slots):
        """Apply a newly announced number of slots and scale the limit with it."""
        self._settled = max(1, round(self._settled * slots / max(self.slots, 1)))
        self.slots = slots
        self._trial = None
        self._turn = Turn(None)

    def observe(self, service_time, in_service, now):
        """Record one request that ended at `now`.

        Args:
            service_time: Service time in seconds.
            in_service: Requests in service just before it ended, itself included.
            now: Time of the loop's clock in seconds.
        """
        turn = self._turn
        turn.add(service_time, in_service >= self.value, now)
        if turn.ended < max(MIN_TURN_JOBS, TURN_JOBS_PER_SLOT * self.value):
            return
        self._end_turn(turn)
        self._turn = Turn(now)

    def _end_turn(self, turn):
        if not turn.was_full:
            # The limit wasn't the bottleneck.
            self._trial = None
        elif self._trial is not None:
            self._trial.add(turn.times)
            self._settle(self._trial.decide())
        elif self._pause_turns > 0 and not self._has_mean_changed(turn.times.mean):
            self._pause_turns -= 1
        elif self.slots > 1:
            self._begin_trial(turn.times.mean)

    def _has_mean_changed(self, mean):
        """Return whether the mean service time has changed since the last trial."""
        change = math.log(mean / self._mean_at_trial)
        if abs(change) <= CHANGE_LOG_THRESHOLD:
            return False
        self._tries_lower = change > 0.0
        self._step_index = 0
        self._next_pause_turns = MIN_PAUSE_TURNS
        return True

    def _begin_trial(self, mean):
        self._mean_at_trial = mean
        step = max(1, int(self.slots * STEP_SHARES[self._step_index]))
        settled = self._settled
        tries_higher = settled < self.slots and (settled == 1 or not self._tries_lower)
        if tries_higher:
            self._trial = Trial(settled, min(self.slots, settled + step))
        else:
            self._trial = Trial(max(1, settled - step), settled)

    def _settle(self, better):
        if better is None:
            return
        self._trial = None
        if better != self._settled:
            self._settled = better
            self._step_index = 0
            self._next_pause_turns = MIN_PAUSE_TURNS
            return
        self._tries_lower = not self._tries_lower
        if self._tries_lower or self._settled >= self.slots:
            self._step_index = (self._step_index + 1) % len(STEP_SHARES)
        self._pause_turns = self._next_pause_turns
        self._next_pause_turns = min(2 * self._next_pause_turns, MAX_PAUSE_TURNS)
