"""Admission control, queueing and fairness for one backend server.

A request that finds a free slot is admitted whatever the admission level: by the time
it arrives here, the upstream services have already worked on it. The level is meant
for the entry daemons, and this gate refuses only what it has no capacity for. The queue
between the two absorbs the random variation of arrivals.

Short and long jobs have a lane each, with its own queue, demand estimate and level, and
share the slots. A backend server in need may name a rate that it takes: requests are
then admitted at that rate, and capacity, queue and levels follow from the slots that it
fills.
"""

import enum
import math
from typing import NamedTuple

from . import fairness, hints, lanes, limits, messages, tokens, waiting

CONTROL_INTERVAL_SECONDS = 0.05
# Share of the queue that the control loop keeps occupied. A request that makes ten
# calls queues ten times, and fails when any of them is refused: the fuller the queue,
# the more of the admitted requests fail.
TARGET_QUEUE_SHARE = 0.25
# Shortest time constant by which idle slots reduce the demand estimate.
IDLE_DECAY_SECONDS = 0.1
# Lowest rate in requests a second: without any request there is no answer that could
# name another one.
MIN_RATE = 0.5
# Seconds of a limited rate that may be admitted at once.
RATE_BURST_SECONDS = 0.25


class Verdict(enum.Enum):
    """Outcome of the gate's decision on an attempt."""

    ADMIT = "admit"
    WAIT = "wait"
    REFUSE = "refuse"


class Decision(NamedTuple):
    """The gate's decision on one attempt.

    Attributes:
        attempt: The attempt that is decided on.
        verdict: Whether it is admitted, queued or refused.
        reason: Why it is refused, for REFUSE.
        retry_after: Seconds after which the caller may retry, for REFUSE.
        expires: Time by which the gate decides, for WAIT.
    """

    attempt: str
    verdict: Verdict
    reason: messages.Reason = messages.Reason.NONE
    retry_after: float = 0.0
    expires: float = math.inf


class RunningJob(NamedTuple):
    """One attempt in service.

    Attributes:
        kind: Kind of job.
        lane: Lane that it runs in.
        began: Time of its admission, in seconds of the loop's clock.
    """

    kind: str
    lane: lanes.Lane
    began: float


class Gate:
    """Admission state of one backend server.

    Args:
        slots: Concurrent requests that the backend server announces.
        now: Time at the start, in seconds of the loop's clock.
        dimensions: Dimensions along which fair shares are computed, as in
            `fairness.Shares`.
    """

    def __init__(self, slots, now=0.0, dimensions=fairness.DIMENSIONS):
        self._limit = limits.Limit(max(1, slots))
        self._durations = fairness.Durations()
        self._short = lanes.Lane(now, dimensions)
        self._long = lanes.Lane(now, dimensions)
        self._running = {}
        self._controlled_at = now
        self._short_slots = 0.0
        self._displaced = []
        self._max_wait = math.inf
        # Tokens of a limited rate, None without a limit.
        self._tokens = None

    def set_max_wait(self, seconds):
        """Set how long a request may wait for a slot, as configured by operators.

        It applies to requests that arrive from now on and limits the length of the
        queue: a request that would wait longer is refused at once.

        Args:
            seconds: Longest wait in seconds.
        """
        self._max_wait = seconds

    def limit_rate(self, rate, now):
        """Set the requests that are admitted a second, infinite for no limit.

        Returns:
            Decisions for attempts that were waiting.
        """
        if math.isinf(rate):
            self._tokens = None
            return self._admit_waiting(now)
        rate = max(rate, MIN_RATE)
        burst = max(1.0, rate * RATE_BURST_SECONDS)
        if self._tokens is None:
            self._tokens = tokens.TokenBucket(rate, burst, now)
        else:
            self._tokens.change(rate, burst, now)
        return self._admit_waiting(now)

    def find_token_wait(self, now):
        """Return the seconds until a waiting attempt may be admitted at the rate.

        Returns:
            0 if nothing waits for the rate.
        """
        if self._tokens is None or not any(lane.queue for lane in self._lanes()):
            return 0.0
        return self._tokens.find_wait(now)

    def admit_waiting(self, now):
        """Return decisions for attempts that waited for the limited rate."""
        return self._admit_waiting(now)

    def has_free_slot(self, now):
        """Return whether a request would be admitted immediately."""
        if any(lane.queue for lane in self._lanes()):
            return False
        return self._has_free_slot(self._short, now)

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
        slack = request.deadline - now - self._durations.estimate_upper(kind)
        lane.record_slack(min(slack, self._max_wait))
        self._control(now)
        if self._would_miss_deadline(request, lane, kind, now):
            return self._refuse(request, lane, messages.Reason.DEADLINE, now)
        if not lane.queue and self._has_free_slot(lane, now):
            return self._admit(request, lane, now)
        return self._queue_or_refuse(request, lane, rank, now)

    def finish(self, attempt, now, service_time, succeeded):
        """Record that an admitted attempt has left the backend server.

        Args:
            attempt: The attempt.
            now: Time of the loop's clock in seconds.
            service_time: Seconds that it was in service, None when unknown.
            succeeded: Whether it was answered successfully.

        Returns:
            Decisions for attempts that were waiting.
        """
        running = self._running.pop(attempt, None)
        if running is None:
            return ()
        lane = running.lane
        if service_time is not None and self._is_representative(
            service_time, succeeded, lane
        ):
            self._durations.observe(running.kind, service_time)
            lane.observe(service_time, now)
            if lane is self._short:
                self._limit.observe(service_time, len(self._running) + 1, now)
        self._durations.end(running.kind)
        lane.end(running.began, now)
        return self._admit_waiting(now)

    def withdraw(self, attempt, now):
        """Remove a waiting attempt that is no longer wanted.

        Returns:
            Decisions for other attempts that were waiting.
        """
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
        """Whether displaced attempts are still to be refused by `expire`."""
        return bool(self._displaced)

    def expire(self, now):
        """Refuse displaced attempts and those that have waited as long as they may."""
        displaced = [
            self._refuse(request, lane, messages.Reason.QUEUE, now)
            for request, lane in self._displaced
        ]
        self._displaced.clear()
        expired = [
            self._refuse(waiter.request, lane, messages.Reason.DEADLINE, now)
            for lane in self._lanes()
            for waiter in lane.queue.pop_expired(now)
        ]
        return tuple(displaced + expired)

    def next_expiry(self):
        """Return when `expire` is next due, or None when nothing waits.

        It is due at once when the last `offer` displaced a waiting attempt.
        """
        if self._displaced:
            return -math.inf
        expiries = [lane.queue.next_expiry() for lane in self._lanes()]
        return min((time for time in expiries if time is not None), default=None)

    def load(self, now, request=None):
        """Return the load to send with an answer.

        Args:
            now: Time of the loop's clock in seconds.
            request: The request that is answered; the level is that of its lane and
                flow. Without a request it is the level of short jobs of flows that
                aren't hot.
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
            limit=self.find_slots(now),
        )

    def find_slots(self, now):
        """Return the slots that may be in use: at a limited rate, those that it fills.

        Until the first job has ended, nothing tells how many those are.
        """
        limit = self._limit.value
        if self._tokens is None:
            return limit
        mean = self._short.estimate_mean(now)
        filled = math.ceil(self._tokens.rate * mean) if mean > 0.0 else limit
        return max(1, min(limit, filled))

    def find_available_share(self, now):
        """Return the share of the slots that a limited rate leaves in use, up to 1."""
        return self.find_slots(now) / self._limit.value

    def measure_usage(self, now):
        """Return the `lanes.SlotUsage` of all slots."""
        usages = [lane.measure_usage(now) for lane in self._lanes()]
        return lanes.SlotUsage(
            sum(usage.ended for usage in usages), sum(usage.seconds for usage in usages)
        )

    def find_level(self, kind, now):
        """Return the admission level of a kind of job for flows that aren't hot."""
        self._control(now)
        return self._choose_lane(kind, now).shares.rest_level

    def resize(self, slots, now):
        """Apply a newly announced number of slots.

        Returns:
            Decisions for attempts that were waiting.
        """
        self._limit.resize(max(1, slots))
        return self._admit_waiting(now)

    def _lanes(self):
        return self._short, self._long

    def _choose_lane(self, kind, now):
        return self._long if self._durations.is_long(kind, now) else self._short

    def _is_representative(self, service_time, succeeded, lane):
        """Return whether a service time shows how long the work takes.

        The time of a quick failure doesn't: counted, it would make a backend server
        that fails at once look like the fastest. That of a slow failure does.
        """
        return succeeded or service_time > lane.mean

    def _would_miss_deadline(self, request, lane, kind, now):
        """Return whether a request would miss its deadline even if served next."""
        remaining = request.deadline - now
        if remaining <= 0.0:
            return True
        # With few requests in service, the request is tried all the same: if one
        # observed service time led to refusing every request, no newer time would ever
        # be observed.
        if len(self._running) <= self.find_slots(now) // 10:
            return False
        ahead = lane.queue.count_ahead(int(request.importance))
        wait = ahead / lane.capacity if lane.capacity > 0.0 else 0.0
        return wait + self._durations.estimate_lower(kind) > remaining

    def _max_long_slots(self):
        limit = self._limit.value
        return fairness.compute_long_limit(limit, self._short_slots)

    def _has_free_slot(self, lane, now):
        if len(self._running) >= self._limit.value:
            return False
        if self._tokens is not None and not self._tokens.has_token(now):
            return False
        return lane is self._short or lane.in_service < self._max_long_slots()

    def _admit(self, request, lane, now):
        kind = fairness.name_kind(request)
        if self._tokens is not None:
            self._tokens.try_spend(now)
        self._running[request.attempt] = RunningJob(kind, lane, now)
        lane.start(now)
        self._durations.start(kind, now)
        return Decision(request.attempt, Verdict.ADMIT)

    def _queue_or_refuse(self, request, lane, rank, now):
        max_waiting = lane.choose_max_length()
        level = lane.shares.level(request)
        # Requests that the entry daemons would refuse, and on which no backend server
        # has worked yet, may only use a free slot or the first half of the queue.
        is_root_request = not request.via
        if is_root_request and rank < level and len(lane.queue) >= max_waiting // 2:
            return self._refuse(request, lane, self._choose_reason(request, lane), now)
        if len(lane.queue) >= max_waiting:
            return self._displace(request, lane, rank, now)
        return self._add_waiter(request, lane, rank, now)

    def _add_waiter(self, request, lane, rank, now):
        min_service_time = self._durations.estimate_lower(fairness.name_kind(request))
        latest_start = min(request.deadline - min_service_time, now + self._max_wait)
        expires = max(now, latest_start)
        due = _choose_due_time(request, now)
        lane.queue.add(waiting.Waiter(request, rank, now, expires, due))
        return Decision(request.attempt, Verdict.WAIT, expires=expires)

    def _displace(self, request, lane, rank, now):
        """Refuse the arriving request, unless a waiting one ranks lower.

        The waiting request can't be answered from here: it is put on the list of
        displaced requests, so that the caller's next `expire` refuses it at once.
        """

        def margin_of(waiter):
            level = lane.shares.level(waiter.request)
            return waiting.measure_margin(waiter.rank, level)

        lowest = lane.queue.find_lowest(margin_of)
        level = lane.shares.level(request)
        margin = waiting.measure_margin(rank, level)
        waiter_wins = int(lowest.rank) >= int(rank) and margin_of(lowest) >= margin
        if int(lowest.rank) > int(rank) or waiter_wins:
            return self._refuse(request, lane, messages.Reason.QUEUE, now)
        lane.queue.remove(lowest.request.attempt)
        self._displaced.append((lowest.request, lane))
        return self._add_waiter(request, lane, rank, now)

    def _refuse(self, request, lane, reason, now):
        demand = lane.shares.estimate_total(now)
        pressure = 1.0 - lane.capacity / demand if demand > lane.capacity else 0.0
        pause = hints.choose_retry_after(pressure, request.attempt)
        return Decision(request.attempt, Verdict.REFUSE, reason, pause)

    def _choose_reason(self, request, lane):
        if lane.shares.is_hot(request):
            return messages.Reason.SHARE
        return messages.Reason.LEVEL

    def _admit_waiting(self, now):
        if not self._displaced and not self._short.queue and not self._long.queue:
            self._control(now)
            return ()
        decisions = list(self.expire(now))
        while (lane := self._choose_waiting_lane(now)) is not None:
            waiter = lane.queue.pop_next()
            decisions.append(self._admit(waiter.request, lane, now))
        self._control(now)
        return tuple(decisions)

    def _choose_waiting_lane(self, now):
        """Return the lane whose next waiter gets a free slot, or None."""
        ready = [
            lane
            for lane in self._lanes()
            if lane.queue and self._has_free_slot(lane, now)
        ]
        if len(ready) < 2:
            return ready[0] if ready else None
        short, long = (lane.queue.find_next_importance() for lane in ready)
        if short != long:
            return ready[0] if short > long else ready[1]
        guaranteed_slots = max(1, self._limit.value // 8)
        return ready[1] if self._long.in_service < guaranteed_slots else ready[0]

    def _control(self, now):
        elapsed = now - self._controlled_at
        if elapsed < CONTROL_INTERVAL_SECONDS:
            return
        self._controlled_at = now
        limit = self._limit.value
        self._estimate_short_slots(now)
        long_slots = min(self._max_long_slots(), self._long.in_service)
        self._update_levels(self._short, max(1, limit - long_slots), elapsed, now)
        self._update_levels(self._long, self._max_long_slots(), elapsed, now)

    def _estimate_short_slots(self, now):
        """Estimate the slots that short jobs would use if none had to wait."""
        needed_slots = self._short.shares.estimate_total(now) * self._short.mean
        self._short_slots = min(needed_slots, self._limit.value)

    def _update_levels(self, lane, slots, elapsed, now):
        """Set the levels of a lane from its capacity and its queue."""
        mean = lane.estimate_mean(now)
        if mean <= 0.0:
            return
        if self._tokens is not None:
            slots = min(slots, self._find_rate(lane, now) * mean)
        lane.capacity = slots / mean
        length = lane.choose_max_length()
        excess = lane.in_service + len(lane.queue) - slots
        error = TARGET_QUEUE_SHARE * length - max(excess, -length / 2.0)
        # Without a queue or a level there is nothing to correct: an idle period would
        # be mistaken for spare capacity, and too much of the next surge would be
        # admitted.
        is_loaded = lane.queue or lane.shares.rest_level > 0.0
        lane.adjust_capacity_factor(
            error / length if is_loaded else 1.0 - lane.capacity_factor, elapsed
        )
        if excess < 0:
            # Slots are idle while a level keeps requests out: the demand has fallen. So
            # few requests arrive above a high level that counting them takes a second
            # to show the fall, and callers would be refused meanwhile.
            idle_share = -excess / slots
            lane.shares.shrink(math.exp(-idle_share * elapsed / IDLE_DECAY_SECONDS))
        capacity = lane.capacity * lane.capacity_factor
        lane.shares.update(
            capacity, self._compute_corrections(lane, slots, length), now
        )

    def _find_rate(self, lane, now):
        """Return the part of the limited rate that a lane's demand makes up."""
        demand = lane.shares.estimate_total(now)
        total = sum(each.shares.estimate_total(now) for each in self._lanes())
        share = demand / total if total > 0.0 else 1.0
        return max(self._tokens.rate * share, MIN_RATE)

    def _compute_corrections(self, lane, slots, length):
        """Return the correction of the capacity by the queue, for each importance.

        Only requests that are served before a given one delay it. If the whole queue
        counted, a queue full of less important requests would cause important ones to
        be refused.

        Returns:
            A list with requests a second to add to the capacity, by importance.
        """
        corrections = []
        for importance in messages.Importance:
            ahead = lane.queue.count_ahead(importance)
            excess = max(lane.in_service + ahead - slots, -length / 2.0)
            corrections.append(
                (TARGET_QUEUE_SHARE * length - excess) / lanes.FEEDBACK_DELAY_SECONDS
            )
        return corrections


def _choose_due_time(request, now):
    """Return the time by which a request is ordered among those of its importance.

    An overdue request is worth less than one that can still be answered in time, so it
    is ordered by its deadline instead of its due time.
    """
    return request.due if request.due > now else request.deadline
