"""The short or the long jobs at the gate of one backend server."""

import math
from typing import NamedTuple

from . import fairness, waiting

# Time until a changed level takes effect: it travels to the entry daemons with the
# answers, and back with the requests that they admit. It determines how many requests
# may wait and how fast a deviation of the queue is corrected. If it is set shorter than
# the real delay, the level oscillates.
FEEDBACK_DELAY_SECONDS = 1.0
SERVICE_TIME_DECAY_SECONDS = 5.0
# The slack estimate stays near the lower end of the observed values, so that most
# arrivals can wait as long as the queue takes: a fall weighs four times as much as a
# rise, which settles at about the lowest fifth.
SLACK_FALL_WEIGHT = 0.1
SLACK_RISE_WEIGHT = 0.025
INITIAL_SLACK_SECONDS = 1.0
# The correction of the capacity takes several feedback delays, so that it and the
# correction of the queue don't oscillate against each other.
CAPACITY_CORRECTION_RATE = 0.1
MIN_CAPACITY_FACTOR = 0.8
MAX_CAPACITY_FACTOR = 1.2


class SlotUsage(NamedTuple):
    """Cumulative use of the slots of one backend server since its start.

    Attributes:
        ended: Requests that have left the backend server.
        seconds: Seconds spent in slots, including those of requests still in service.
    """

    ended: int = 0
    seconds: float = 0.0


class Lane:
    """The short or the long jobs: their queue, demand, levels and service time."""

    def __init__(self, now, dimensions):
        self.queue = waiting.Queue()
        self.shares = fairness.Shares(now, dimensions)
        self.in_service = 0
        self.capacity = 0.0
        self.capacity_factor = 1.0
        self.slack = INITIAL_SLACK_SECONDS
        self._observed_at = now
        self._decayed_seconds = 0.0
        self._decayed_count = 0.0
        self._start_time_sum = 0.0
        self._ended = 0
        self._ended_seconds = 0.0

    def start(self, now):
        """Record that a job has been admitted."""
        self.in_service += 1
        self._start_time_sum += now

    def end(self, began, now):
        """Record that a job admitted at `began` has left."""
        self.in_service -= 1
        self._start_time_sum -= began
        self._ended += 1
        self._ended_seconds += now - began

    def measure_usage(self, now):
        """Return the `SlotUsage` of slots by jobs of this lane."""
        running_seconds = self.in_service * now - self._start_time_sum
        return SlotUsage(self._ended, self._ended_seconds + running_seconds)

    def estimate_mean(self, now):
        """Return the mean service time in seconds, including jobs still in service.

        Of jobs that began together, the short ones end first. The mean of ended jobs
        alone would show too much capacity for seconds after a surge, and none at all
        until the first job has ended. So the time that running jobs have spent so far
        counts too, and each running job counts as half ended.
        """
        running_seconds = self.in_service * now - self._start_time_sum
        ended = self._decayed_count + 0.5 * self.in_service
        return (self._decayed_seconds + running_seconds) / ended if ended > 0.0 else 0.0

    @property
    def mean(self):
        """Mean service time of ended jobs in seconds, 0 when unknown."""
        return (
            self._decayed_seconds / self._decayed_count
            if self._decayed_count > 1e-6
            else 0.0
        )

    def record_slack(self, seconds):
        """Update the slack estimate with one arrival.

        Args:
            seconds: Seconds that the arrival could wait and still be answered in time.
        """
        weight = SLACK_FALL_WEIGHT if seconds < self.slack else SLACK_RISE_WEIGHT
        self.slack += weight * (max(seconds, 0.0) - self.slack)

    def choose_max_length(self):
        """Return the maximum number of requests in the queue."""
        return waiting.choose_max_length(
            self.capacity, FEEDBACK_DELAY_SECONDS, self.slack
        )

    def adjust_capacity_factor(self, error, elapsed):
        """Adjust the capacity factor slowly by the deviation of the queue.

        The mean service time or the levels at the entry daemons may be wrong for long.
        The queue then stays away from its target length, and this factor compensates
        for that.

        Args:
            error: Difference between target and present queue, as a share of its
                length.
            elapsed: Seconds since the last adjustment.
        """
        factor = self.capacity_factor + CAPACITY_CORRECTION_RATE * error * elapsed
        self.capacity_factor = min(
            max(factor, MIN_CAPACITY_FACTOR), MAX_CAPACITY_FACTOR
        )

    def observe(self, seconds, now):
        """Record the service time in seconds of one job that ended at `now`."""
        # At least the last twenty jobs count: with fewer, a single slow job would make
        # the capacity, and with it the level, jump.
        retained = math.exp(-(now - self._observed_at) / SERVICE_TIME_DECAY_SECONDS)
        if self._decayed_count * retained < 20.0:
            retained = min(1.0, 20.0 / max(self._decayed_count, 20.0))
        self._observed_at = now
        self._decayed_seconds = self._decayed_seconds * retained + seconds
        self._decayed_count = self._decayed_count * retained + 1.0
