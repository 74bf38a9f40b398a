"""Admission, waiting and fairness put together for one backend server.

A request that finds a free slot is admitted whatever the level: by the time it
is here the hops above have worked for it, so the level is a word to the entries
and this gate only refuses what it has no room for. The queue between the two
holds the chance variation of arrivals.

Short and long jobs have a lane each, with its own queue, demand and level, and
share the slots.
"""

import enum
import math
from typing import NamedTuple

from . import fairness, hints, limits, messages, waiting

# Time that a changed level takes to act: to the entries with the answers, and
# back with the requests that they admit. It sets how much may wait and how
# fast a queue is corrected; shorter than the real time, the level would swing.
REACTION_SECONDS = 1.0
CONTROL_SECONDS = 0.05
# The part of the queue that is held full. A request that makes ten calls waits ten
# times, and fails where any of them is refused: the fuller the queue, the more of what
# was let in fails.
AIM_SHARE = 0.25
MEAN_SECONDS = 5.0
# The slack is followed near its lower end (the fall weighs four times the rise,
# which settles at about the lowest fifth), so that most arrivals can wait out
# the queue.
SLACK_FALL = 0.1
SLACK_RISE = 0.025
SLACK_START = 1.0
# Idle slots let the estimate of the demand fall by this time constant at most.
IDLE_SECONDS = 0.1
# The correction of the capacity takes several reaction times, so that it and
# the correction of the queue don't swing against each other.
TRIM_RATE = 0.1
TRIM_LOWEST = 0.8
TRIM_HIGHEST = 1.2


class Verdict(enum.Enum):
    """What becomes of an attempt."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class Decision(NamedTuple):
    """The gate's word on one attempt.

    Attributes:
        attempt: The attempt that it is about.
        verdict: What becomes of it.
        reason: Why, for REFUSE.
        retry_after: Seconds after which to ask again, for REFUSE.
        expires: Time by which the gate decides, for WAIT.
    """

    attempt: str
    verdict: Verdict
    reason: messages.Reason = messages.Reason.NONE
    retry_after: float = 0.0
    expires: float = math.inf


class Use(NamedTuple):
    """What the slots of one backend server have been used for since its start.

    Attributes:
        ended: Requests that have left the backend server.
        seconds: Seconds spent in slots, by those inside so far too.
    """

    ended: int = 0
    seconds: float = 0.0


class Lane:
    """Short or long jobs: their queue, demand, levels and service time."""

    def __init__(self, now, dimensions):
        self.queue = waiting.Queue()
        self.shares = fairness.Shares(now, dimensions)
        self.in_service = 0
        self.capacity = 0.0
        self.factor = 1.0
        self.slack = SLACK_START
        self._time = now
        self._time_sum = 0.0
        self._count = 0.0
        self._starts = 0.0
        self._ended = 0
        self._spent = 0.0

    def start(self, now):
        """Note that a job has been admitted."""
        self.in_service += 1
        self._starts += now

    def end(self, began, now):
        """Note that a job admitted at `began` has left."""
        self.in_service -= 1
        self._starts -= began
        self._ended += 1
        self._spent += now - began

    def measure_use(self, now):
        """Return the `Use` of slots by jobs of this lane."""
        inside = self.in_service * now - self._starts
        return Use(self._ended, self._spent + inside)

    def estimate_mean(self, now):
        """Return the mean service time, allowing for jobs that haven't ended.

        Of jobs that began together the short ones end first. Their mean alone
        would show too much capacity for seconds after a surge, and none at all
        until the first has ended. So the time spent so far counts too, and each
        job inside counts as half ended.
        """
        inside = self.in_service * now - self._starts
        ended = self._count + 0.5 * self.in_service
        return (self._time_sum + inside) / ended if ended > 0.0 else 0.0

    @property
    def mean(self):
        """Mean service time in seconds, 0 when unknown."""
        return self._time_sum / self._count if self._count > 1e-6 else 0.0

    def note_slack(self, seconds):
        """Take the time that one arrival could wait and still be in time."""
        weight = SLACK_FALL if seconds < self.slack else SLACK_RISE
        self.slack += weight * (max(seconds, 0.0) - self.slack)

    def choose_length(self):
        """Return how many requests may wait."""
        return waiting.choose_length(self.capacity, REACTION_SECONDS, self.slack)

    def trim(self, error, elapsed):
        """Correct the capacity by what the queue shows, slowly.

        The mean service time or the levels at the entries may be off for long;
        the queue then stays off its middle, and this factor takes that up.
        """
        factor = self.factor + TRIM_RATE * error * elapsed
        self.factor = min(max(factor, TRIM_LOWEST), TRIM_HIGHEST)

    def observe(self, seconds, now):
        """Take the service time of one job."""
        # At least the last twenty jobs count: with fewer, one slow job would
        # swing the capacity and with it the level.
        kept = math.exp(-(now - self._time) / MEAN_SECONDS)
        if self._count * kept < 20.0:
            kept = min(1.0, 20.0 / max(self._count, 20.0))
        self._time = now
        self._time_sum = self._time_sum * kept + seconds
        self._count = self._count * kept + 1.0


class Running(NamedTuple):
    """One attempt in service: its kind, its lane and when it began."""

    kind: str
    lane: Lane
    began: float


class Gate:
    """State of admission to one backend server.

    Args:
        slots: Requests that the backend server says it can work on at once.
        now: Time at the start, in seconds of the loop's clock.
        dimensions: Along which callers get shares, as `fairness.Shares` says.
    """

    def __init__(self, slots, now=0.0, dimensions=fairness.DIMENSIONS):
        self._limit = limits.Limit(max(1, slots))
        self._durations = fairness.Durations()
        self._short = Lane(now, dimensions)
        self._long = Lane(now, dimensions)
        self._running = {}
        self._controlled = now
        self._short_busy = 0.0
        self._displaced = []
        self._longest_wait = math.inf

    def limit_wait(self, seconds):
        """Set how long a request may wait for a slot, as operators declare it.

        It holds for requests that arrive from now on, and sizes the queue: what
        would wait longer is refused at once.
        """
        self._longest_wait = seconds

    def offer(self, request, now):
        """Decide on an attempt that has arrived.

        Args:
            request: The `messages.Request`.
            now: Time of the loop's clock in seconds.

        Returns:
            A `Decision`.
        """
        kind = fairness.name_kind(request)
        lane = self._choose_lane(kind, now)
        rank = messages.rank_request(request)
        lane.shares.record(request, rank, now)
        slack = request.deadline - now - self._durations.allow(kind)
        lane.note_slack(min(slack, self._longest_wait))
        self._control(now)
        if self._is_late(request, lane, kind, now):
            return self._refuse(request, lane, messages.Reason.DEADLINE, now)
        if not lane.queue and self._has_room(lane):
            return self._admit(request, lane, now)
        return self._enqueue(request, lane, rank, now)

    def finish(self, attempt, now, service_time, succeeded):
        """Take an admitted attempt's leave of the backend server.

        Args:
            attempt: The attempt.
            now: Time of the loop's clock in seconds.
            service_time: Seconds that it was inside, None when unknown.
            succeeded: Whether it was answered as it should be.

        Returns:
            Decisions for attempts that waited.
        """
        running = self._running.pop(attempt, None)
        if running is None:
            return ()
        lane = running.lane
        if service_time is not None and self._counts(service_time, succeeded, lane):
            self._durations.observe(running.kind, service_time)
            lane.observe(service_time, now)
            if lane is self._short:
                self._limit.observe(service_time, len(self._running) + 1, now)
        self._durations.end(running.kind)
        lane.end(running.began, now)
        return self._admit_waiting(now)

    def withdraw(self, attempt, now):
        """Drop an attempt that waits and is no longer wanted."""
        self._displaced = [
            (request, lane)
            for request, lane in self._displaced
            if request.attempt != attempt
        ]
        for lane in self._lanes():
            lane.queue.remove(attempt)
        return self._admit_waiting(now)

    @property
    def has_displaced(self):
        """Whether attempts that gave way are still to be refused by `expire`."""
        return bool(self._displaced)

    def expire(self, now):
        """Refuse the attempts that gave way or waited as long as they may."""
        gave_way = [
            self._refuse(request, lane, messages.Reason.QUEUE, now)
            for request, lane in self._displaced
        ]
        self._displaced.clear()
        expired = [
            self._refuse(waiter.request, lane, messages.Reason.DEADLINE, now)
            for lane in self._lanes()
            for waiter in lane.queue.take_expired(now)
        ]
        return tuple(gave_way + expired)

    def next_expiry(self):
        """Return when `expire` is next due, or None when nothing waits.

        It is due at once when the last `offer` made a waiter give way.
        """
        if self._displaced:
            return -math.inf
        expiries = [lane.queue.next_expiry() for lane in self._lanes()]
        return min((time for time in expiries if time is not None), default=None)

    def load(self, now, request=None):
        """Return the load to send with an answer.

        Args:
            now: Time of the loop's clock in seconds.
            request: The request that is answered; the level is that of its
                lane and flow. Without one, that of short jobs in general.
        """
        self._control(now)
        if request is None:
            level = self._short.shares.rest_level
        else:
            lane = self._choose_lane(fairness.name_kind(request), now)
            level = lane.shares.level(request)
        return messages.Load(
            level=level,
            in_service=len(self._running),
            waiting=sum(len(lane.queue) for lane in self._lanes()),
            limit=self._limit.value,
        )

    def measure_use(self, now):
        """Return the `Use` of all slots."""
        uses = [lane.measure_use(now) for lane in self._lanes()]
        return Use(sum(use.ended for use in uses), sum(use.seconds for use in uses))

    def find_level(self, kind, now):
        """Return the admission level of a kind of job, as all callers meet it."""
        self._control(now)
        return self._choose_lane(kind, now).shares.rest_level

    def resize(self, slots, now):
        """Take a newly announced number of slots."""
        self._limit.resize(max(1, slots))
        return self._admit_waiting(now)

    def _lanes(self):
        return self._short, self._long

    def _choose_lane(self, kind, now):
        return self._long if self._durations.is_long(kind, now) else self._short

    def _counts(self, service_time, succeeded, lane):
        """Return whether a service time says how long the work takes.

        A quick failure doesn't: counted, it would make a backend server that
        fails at once look like the fastest. One that took long does.
        """
        return succeeded or service_time > lane.mean

    def _is_late(self, request, lane, kind, now):
        """Return whether the deadline can't be met even if served next."""
        left = request.deadline - now
        if left <= 0.0:
            return True
        # With hardly anything in service it is tried all the same: if all were
        # refused for a service time seen once, no newer one would ever be seen.
        if len(self._running) <= self._limit.value // 10:
            return False
        ahead = lane.queue.count_ahead(int(request.importance))
        wait = ahead / lane.capacity if lane.capacity > 0.0 else 0.0
        return wait + self._durations.hope(kind) > left

    def _long_limit(self):
        limit = self._limit.value
        return fairness.limit_long(limit, self._short_busy)

    def _has_room(self, lane):
        if len(self._running) >= self._limit.value:
            return False
        return lane is self._short or lane.in_service < self._long_limit()

    def _admit(self, request, lane, now):
        kind = fairness.name_kind(request)
        self._running[request.attempt] = Running(kind, lane, now)
        lane.start(now)
        self._durations.start(kind, now)
        return Decision(request.attempt, Verdict.ADMIT)

    def _enqueue(self, request, lane, rank, now):
        most = lane.choose_length()
        level = lane.shares.level(request)
        # What the entries would refuse, and no backend server has worked for,
        # may use a free slot or the first half of the queue and no more.
        is_new = not request.via
        if is_new and rank < level and len(lane.queue) >= most // 2:
            return self._refuse(request, lane, self._name_reason(request, lane), now)
        if len(lane.queue) >= most:
            return self._displace(request, lane, rank, now)
        return self._wait(request, lane, rank, now)

    def _wait(self, request, lane, rank, now):
        least = self._durations.hope(fairness.name_kind(request))
        latest = min(request.deadline - least, now + self._longest_wait)
        expires = max(now, latest)
        due = _find_due(request, now)
        lane.queue.add(waiting.Waiter(request, rank, now, expires, due))
        return Decision(request.attempt, Verdict.WAIT, expires=expires)

    def _displace(self, request, lane, rank, now):
        """Refuse the newcomer, unless one that waits ranks lower.

        The one that waits can't be answered from here: it is marked as expired,
        so that the caller's next `expire` refuses it at once.
        """

        def measure(waiter):
            level = lane.shares.level(waiter.request)
            return waiting.measure_margin(waiter.rank, level)

        lowest = lane.queue.find_lowest(measure)
        level = lane.shares.level(request)
        margin = waiting.measure_margin(rank, level)
        ahead = int(lowest.rank) >= int(rank) and measure(lowest) >= margin
        if int(lowest.rank) > int(rank) or ahead:
            return self._refuse(request, lane, messages.Reason.QUEUE, now)
        lane.queue.remove(lowest.request.attempt)
        self._displaced.append((lowest.request, lane))
        return self._wait(request, lane, rank, now)

    def _refuse(self, request, lane, reason, now):
        total = lane.shares.total(now)
        pressure = 1.0 - lane.capacity / total if total > lane.capacity else 0.0
        pause = hints.choose_retry_after(pressure, request.attempt)
        return Decision(request.attempt, Verdict.REFUSE, reason, pause)

    def _name_reason(self, request, lane):
        if lane.shares.is_hot(request):
            return messages.Reason.SHARE
        return messages.Reason.LEVEL

    def _admit_waiting(self, now):
        if not self._displaced and not self._short.queue and not self._long.queue:
            self._control(now)
            return ()
        decisions = list(self.expire(now))
        while (lane := self._choose_waiting_lane()) is not None:
            waiter = lane.queue.take_next()
            decisions.append(self._admit(waiter.request, lane, now))
        self._control(now)
        return tuple(decisions)

    def _choose_waiting_lane(self):
        """Return the lane whose next waiter gets a free slot, or None."""
        lanes = [lane for lane in self._lanes() if lane.queue and self._has_room(lane)]
        if len(lanes) < 2:
            return lanes[0] if lanes else None
        short, long = (lane.queue.find_next_importance() for lane in lanes)
        if short != long:
            return lanes[0] if short > long else lanes[1]
        owed = max(1, self._limit.value // 8)
        return lanes[1] if self._long.in_service < owed else lanes[0]

    def _control(self, now):
        elapsed = now - self._controlled
        if elapsed < CONTROL_SECONDS:
            return
        self._controlled = now
        limit = self._limit.value
        self._measure_short(now)
        reserved = min(self._long_limit(), self._long.in_service)
        self._update(self._short, max(1, limit - reserved), elapsed, now)
        self._update(self._long, self._long_limit(), elapsed, now)

    def _measure_short(self, now):
        """Estimate the slots that short jobs would use if none had to wait."""
        wanted = self._short.shares.total(now) * self._short.mean
        self._short_busy = min(wanted, self._limit.value)

    def _update(self, lane, slots, elapsed, now):
        """Set the levels of a lane from its capacity and its queue."""
        mean = lane.estimate_mean(now)
        if mean <= 0.0:
            return
        lane.capacity = slots / mean
        length = lane.choose_length()
        excess = lane.in_service + len(lane.queue) - slots
        error = AIM_SHARE * length - max(excess, -length / 2.0)
        # Without a queue or a level there is nothing to correct: an idle time
        # would be taken for spare capacity, and the next surge let in for it.
        is_pressed = lane.queue or lane.shares.rest_level > 0.0
        lane.trim(error / length if is_pressed else 1.0 - lane.factor, elapsed)
        if excess < 0:
            # Slots stand idle while a level keeps requests out: the demand is
            # less than it was. So few arrive above a high level that counting
            # them takes a second to show it, and callers are refused meanwhile.
            idle = -excess / slots
            lane.shares.shrink(math.exp(-idle * elapsed / IDLE_SECONDS))
        capacity = lane.capacity * lane.factor
        lane.shares.update(capacity, self._correct(lane, slots, length), now)

    def _correct(self, lane, slots, length):
        """Return what the queue adds to the capacity for each importance.

        Only what is served before a request delays it. Were the whole queue
        counted, one full of lesser requests would have important ones refused.
        """
        corrections = []
        for importance in messages.Importance:
            ahead = lane.queue.count_ahead(importance)
            excess = max(lane.in_service + ahead - slots, -length / 2.0)
            corrections.append((AIM_SHARE * length - excess) / REACTION_SECONDS)
        return corrections


def _find_due(request, now):
    """Return the time by which a request goes before others of its importance.

    What is overdue already is worth less than what can still be in time, and goes
    by its deadline.
    """
    return request.due if request.due > now else request.deadline
