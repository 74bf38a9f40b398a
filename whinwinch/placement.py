"""Choice of the endpoint for one attempt, from the observed state of the endpoints.

Load patterns: one endpoint is slow, one returns errors quickly, one reports wrong
load and health, one is cold, or many entries choose at the same time. An even
spread would send each endpoint the same share, and a request that makes many nested
calls would almost certainly reach the slow one. A choice by least outstanding work
alone prefers the endpoint that fails fastest. A choice of the single best endpoint by
stale reports sends the work of all entries to the same one.

Two endpoints of the local availability zone and one of the others are drawn at
random, and the one with the lowest cost is chosen, which avoids the herd effect. The
cost is the outstanding work per slot, from this daemon's own calls and from the load
reported in answers. Endpoints whose answers were slow or failed, compared with the
median of their peers, are set aside: they only get an occasional probe. At most half
of the endpoints are set aside, so work is still sent when all of them look bad.
"""

import collections
import math
from typing import NamedTuple

from . import messages

# Multiple of the median slowness above which an endpoint counts as slow. Below twice
# the median, the difference is within random variation and balanced by the load.
SLOW_RATIO = 2.0
# Multiple of the baseline latency after which an attempt in flight counts as slow.
# It is higher than `SLOW_RATIO`, since the oldest of several attempts takes longer
# than most.
OVERDUE_RATIO = 4.0
# Excess of an endpoint's share of failures over the median of its peers. Failures of
# a nested service occur behind all endpoints alike, where no other choice would help.
MAX_EXTRA_FAILURES = 0.3
# Upper bound on the badness of an endpoint that is slow but doesn't fail.
MAX_SLOW_SCORE = 2.0
# One choice in this many is a probe, too few to affect the 99th percentile.
CHOICES_PER_PROBE = 500
# Weight of a fast answer in the slowness of an endpoint that counts as slow.
RECOVERY_WEIGHT = 0.5
SLOWNESS_DECAY_SECONDS = 20.0
# Weight of any other answer in the slowness of its endpoint.
SLOWNESS_WEIGHT = 0.2
# Four failures in a row set an endpoint aside, a single random loss doesn't. With a
# higher weight for the first answers, one connection reset among them would leave an
# endpoint without work for seconds.
FAILURE_WEIGHT = 0.1
# An endpoint that is set aside answers hardly any calls, so its share of failures
# decays with time.
FAILURE_DECAY_SECONDS = 5.0
BASELINE_WEIGHT = 0.05
MIN_BASELINE_SECONDS = 1e-6
MAX_BASELINES = 256
# An endpoint with fewer answers doesn't count towards the medians.
MIN_ANSWERS = 5
# Older load reports are ignored.
MAX_REPORT_AGE_SECONDS = 1.0
# Time for which a refusal marks an endpoint as full.
FULL_MARK_SECONDS = 0.25
# Another zone takes an additional round trip, and traffic between zones is expensive:
# worth it when most slots of the local zone are in use.
CROSS_ZONE_COST = 0.75
UNUSED_RECORD_SECONDS = 60.0
# Refusals that tell nothing of the endpoint, only of the request.
REQUEST_REASONS = frozenset({messages.Reason.SUSPECT, messages.Reason.CAUSES_CRASHES})


class Choice(NamedTuple):
    """A chosen endpoint.

    Attributes:
        endpoint: The endpoint, None when there is none.
        ground: Reason for the choice, for the log line.
    """

    endpoint: messages.Endpoint | None
    ground: str


class SentAttempt(NamedTuple):
    """An attempt in flight.

    Attributes:
        time: When it was sent, by the loop's clock in seconds.
        baseline: Baseline latency of its call in seconds.
    """

    time: float
    baseline: float


class Medians(NamedTuple):
    """Lower medians over the endpoints of a service.

    Attributes:
        slowness: Median of the slowness.
        failing: Median of the share of answers that failed.
    """

    slowness: float
    failing: float


class EndpointRecord:
    """Observed state of one endpoint.

    Attributes:
        last_used: Time of its latest attempt or answer.
        outstanding: Number of attempts in flight.
        slowness: Moving average of its latency, as a multiple of the baseline.
        slowness_time: Time up to which the slowness has decayed.
        sent: `SentAttempt` by attempt, the oldest first.
        answers: Number of answers counted.
        report: The `messages.Load` that it reported last.
        report_time: Time of that report.
        full: Time of its latest refusal.
    """

    def __init__(self, now):
        self.last_used = now
        self.outstanding = 0
        self.slowness = 1.0
        self.slowness_time = now
        self.sent = {}
        self.answers = 0
        self._failing = 0.0
        self._failing_time = now
        self._has_succeeded = False
        self._failures = 0
        self.report = messages.Load()
        self.report_time = -math.inf
        self.full = -math.inf

    def wait(self, now):
        """Return the age of the oldest attempt as a multiple of its baseline latency.

        Returns 0 when no attempt is in flight.
        """
        for sent in self.sent.values():
            return (now - sent.time) / sent.baseline
        return 0.0

    def failing(self, now):
        """Return the moving average of failures, decayed, from 0 to 1."""
        return self._failing * math.exp(
            -(now - self._failing_time) / FAILURE_DECAY_SECONDS
        )

    def record_result(self, failed, now):
        """Count one answer as a failure or a success.

        An endpoint that has never succeeded is set aside after its first failure. It
        fails fast, so each entry would lose several requests to it before the moving
        average reaches the limit.
        """
        before = self.failing(now)
        self._failing = before + FAILURE_WEIGHT * (failed - before)
        self._failing_time = now
        self._has_succeeded = self._has_succeeded or not failed
        if not self._has_succeeded:
            self._failures += 1
            self._failing = max(self._failing, 1.0 - 0.5**self._failures)

    def decay_slowness(self, now):
        """Decay the slowness towards 1 by the time since its last decay."""
        remaining = math.exp(-(now - self.slowness_time) / SLOWNESS_DECAY_SECONDS)
        self.slowness = 1.0 + (self.slowness - 1.0) * remaining
        self.slowness_time = now


class Placement:
    """Choice among endpoints for one daemon.

    Args:
        zone: The availability zone of this daemon.
        random: A `random.Random` that draws candidates and probes.
    """

    def __init__(self, zone, random):
        self._zone = zone
        self._random = random
        self._records = {}
        self._baselines = collections.OrderedDict()
        self._last_prune = -math.inf

    def choose(self, request, endpoints, now, exclude=frozenset()):
        """Choose the endpoint for an attempt.

        Args:
            request: The `messages.Request`.
            endpoints: The known endpoints of its service.
            now: Time of the loop's clock in seconds.
            exclude: Identifiers of the daemons already tried for this call.

        Returns:
            A `Choice`.
        """
        self._prune(now)
        present = [e for e in endpoints if not e.leaving]
        open_ = [e for e in present if e.daemon not in exclude]
        if not open_:
            return Choice(None, "no endpoint left")
        good, aside = self._split(open_, present, now)
        probe = self._choose_probe(aside)
        if probe is not None:
            return Choice(probe, "probe of an endpoint that is set aside")
        drawn = self._draw_candidates(good)
        costs = [self._cost(endpoint, now) for endpoint in drawn]
        lowest = min(costs)
        listed = ", ".join(f"{cost:.2f}" for cost in costs)
        ground = f"cost {lowest:.2f} of {listed}; {len(aside)} set aside"
        return Choice(drawn[costs.index(lowest)], ground)

    def find_baseline(self, request):
        """Return the baseline latency of a call in seconds, 0 before any answer."""
        return self._baselines.get(build_baseline_key(request), 0.0)

    @property
    def used_daemons(self):
        """Identifiers of the daemons whose endpoints were recently used."""
        return self._records.keys()

    def find_set_aside(self, present, now):
        """Return the identifiers of daemons whose endpoints are currently set aside.

        Args:
            present: The endpoints of one service that aren't leaving.
            now: Time of the loop's clock in seconds.
        """
        medians = self._find_medians(present, now)
        badness = {e.daemon: self._score(e, medians, now) for e in present}
        bad = sorted(
            (e.daemon for e in present if badness[e.daemon] > 1.0),
            key=badness.get,
            reverse=True,
        )
        return frozenset(bad[: len(present) // 2])

    def start(self, daemon_id, now, request=None):
        """Record that an attempt is sent to a daemon.

        Args:
            daemon_id: Identifier of the daemon that it is sent to.
            now: Time of the loop's clock in seconds.
            request: The request with the identifier of this attempt, so that a
                missing answer shows the endpoint to be slow.
        """
        record = self._find_record(daemon_id, now)
        record.outstanding += 1
        baseline = self._baselines.get(build_baseline_key(request))
        if request is not None and baseline is not None:
            record.sent[request.attempt] = SentAttempt(now, baseline)

    def observe(self, daemon_id, answer, latency, now, request=None):
        """Record the answer to an attempt.

        Args:
            daemon_id: Identifier of the daemon that it was sent to.
            answer: The `messages.Answer`, created by the sender if none arrived.
            latency: Seconds between sending the attempt and the answer.
            now: Time of the loop's clock in seconds.
            request: The request, so that the latency is compared with that of
                the same call at other endpoints.
        """
        record = self._find_record(daemon_id, now)
        record.outstanding = max(0, record.outstanding - 1)
        record.sent.pop(answer.attempt, None)
        if answer.load.limit > 0:
            record.report = answer.load
            record.report_time = now
        if answer.outcome is messages.Outcome.NOT_RUN:
            self._record_refusal(record, answer, now)
            return
        failed = is_failure(answer)
        record.answers += 1
        record.record_result(failed, now)
        # The latency of a fast failure isn't that of the work. If it counted, the
        # failing endpoint would attract more work.
        slowness = latency / self._update_baseline(latency, failed, request)
        if not failed or slowness > record.slowness:
            self._update_slowness(record, slowness, now)

    def withdraw(self, daemon_id, attempt):
        """Record that the answer to an attempt is no longer awaited."""
        record = self._records.get(daemon_id)
        if record is not None:
            record.outstanding = max(0, record.outstanding - 1)
            record.sent.pop(attempt, None)

    def _update_slowness(self, record, slowness, now):
        """Update the slowness of an endpoint with one answer.

        A fast answer of a slow endpoint has a higher weight: an endpoint that is set
        aside answers only probes, so with the normal weight it would get no work
        until long after it has recovered.
        """
        record.decay_slowness(now)
        was_slow = record.slowness > SLOW_RATIO > slowness
        weight = RECOVERY_WEIGHT if was_slow else SLOWNESS_WEIGHT
        weight = max(1.0 / record.answers, weight)
        record.slowness += weight * (slowness - record.slowness)

    def _update_baseline(self, latency, failed, request):
        """Update the baseline latency of a call with one answer and return it.

        Slowness is relative to the same call. Otherwise an endpoint that happened to
        get a long job would count as slow.
        """
        kind = build_baseline_key(request)
        baseline = self._baselines.pop(kind, latency)
        if not failed:
            # The ratio is limited to 2 so that one answer of a slow endpoint doesn't
            # make all other endpoints look fast.
            ratio = min(latency / baseline, 2.0) if baseline > 0.0 else 1.0
            baseline *= 1.0 + BASELINE_WEIGHT * (ratio - 1.0)
        self._baselines[kind] = baseline = max(baseline, MIN_BASELINE_SECONDS)
        while len(self._baselines) > MAX_BASELINES:
            self._baselines.popitem(last=False)
        return baseline

    def _record_refusal(self, record, answer, now):
        if answer.from_downstream or answer.reason in REQUEST_REASONS:
            return
        if answer.reason is messages.Reason.NOT_SENT:
            record.answers += 1
            record.record_result(True, now)
            return
        record.full = now

    def _find_record(self, daemon_id, now):
        record = self._records.get(daemon_id)
        if record is None:
            record = self._records[daemon_id] = EndpointRecord(now)
        record.last_used = now
        return record

    def _prune(self, now):
        """Drop the records of daemons unused for long, which have probably left."""
        if now - self._last_prune < UNUSED_RECORD_SECONDS:
            return
        self._last_prune = now
        self._records = {
            daemon: record
            for daemon, record in self._records.items()
            if record.outstanding or now - record.last_used < UNUSED_RECORD_SECONDS
        }

    def _split(self, open_, present, now):
        """Return the endpoints to choose from and those that are set aside.

        If only endpoints that are set aside are open, they are returned as good.
        """
        set_aside = self.find_set_aside(present, now)
        if not set_aside:
            return open_, ()
        good = [e for e in open_ if e.daemon not in set_aside]
        aside = [e for e in open_ if e.daemon in set_aside]
        if not good:
            return aside, []
        return good, aside

    def _find_medians(self, endpoints, now):
        """Return the `Medians` of the endpoints with at least `MIN_ANSWERS`."""
        known = [
            record
            for e in endpoints
            if (record := self._records.get(e.daemon)) is not None
            and record.answers >= MIN_ANSWERS
        ]
        if not known:
            return Medians(0.0, 0.0)
        middle = (len(known) - 1) // 2
        return Medians(
            sorted([record.slowness for record in known])[middle],
            sorted([record.failing(now) for record in known])[middle],
        )

    def _score(self, endpoint, medians, now):
        """Return the badness of an endpoint, which may be set aside above 1."""
        record = self._records.get(endpoint.daemon)
        if record is None:
            return 0.0
        slow_limit = SLOW_RATIO * medians.slowness
        slow = record.slowness / slow_limit if slow_limit > 0.0 else 0.0
        waited = record.wait(now) / OVERDUE_RATIO
        # A slow endpoint still completes its work. The score for slowness is limited
        # so that an endpoint that fails most of its work is set aside first.
        late = min(max(slow, waited), MAX_SLOW_SCORE)
        return max(late, (record.failing(now) - medians.failing) / MAX_EXTRA_FAILURES)

    def _choose_probe(self, aside):
        """Return an endpoint that is set aside and due for a probe, or None."""
        for endpoint in aside:
            record = self._records[endpoint.daemon]
            if record.outstanding:
                continue
            if self._random.random() * CHOICES_PER_PROBE < 1.0:
                return endpoint
        return None

    def _draw_candidates(self, endpoints):
        """Draw two endpoints of the local zone and one other, or else two others."""
        local = [e for e in endpoints if e.zone == self._zone]
        remote = [e for e in endpoints if e.zone != self._zone]
        if not local:
            return self._sample(remote, 2)
        return self._sample(local, 2) + self._sample(remote, 1)

    def _sample(self, endpoints, count):
        return self._random.sample(endpoints, min(count, len(endpoints)))

    def _cost(self, endpoint, now):
        """Return the cost of an endpoint.

        It is the work per slot, increased by slowness, by a recent refusal and by
        another availability zone.
        """
        cost = 0.0 if endpoint.zone == self._zone else CROSS_ZONE_COST
        record = self._records.get(endpoint.daemon)
        if record is None:
            return cost
        slots = max(1, endpoint.slots)
        busy = record.outstanding
        if now - record.report_time < MAX_REPORT_AGE_SECONDS:
            reported = record.report.in_service + record.report.waiting
            busy = max(busy, reported)
            slots = record.report.limit
        # Slots are reported by the endpoint, latency is measured. An endpoint that
        # reports more slots than it has looks idle but slow, and the square gives the
        # measured latency more weight than the report.
        cost += busy / slots * max(record.slowness, 1.0) ** 2
        if now - record.full < FULL_MARK_SECONDS:
            cost += 1.0
        return cost


def build_baseline_key(request):
    """Return the key of a request's baseline latency, None without a request."""
    return (request.service, request.call) if request else None


def is_failure(answer):
    """Return whether an answer shows that the endpoint itself failed."""
    if answer.from_downstream:
        return False
    if answer.outcome is messages.Outcome.UNKNOWN:
        return True
    return answer.is_server_error
