"""Choice of the endpoint for one attempt, by what was seen of each.

Load patterns: one endpoint slow, one that answers errors quickly, one whose
load and health endpoints lie, one cold, many entries that choose at once.
Without this an even spread sends each its share, and a deep request meets the
slow one almost surely; a choice by least outstanding work alone is drawn to the
one that fails fastest; a choice of the very best by stale news sends all
entries to the same one.

Two endpoints are drawn at random and the one that costs less is taken, which
avoids the herd. Cost is work in hand for the slots, from this daemon's own
calls and from the load that answers carried. Endpoints whose answers were slow
or failed, compared with the median of their peers, are set aside: they get a
probe now and then, and never more than half of the endpoints are set aside, so
when all look bad work still goes out.
"""

import math
from typing import NamedTuple

from . import messages

# Below twice the median, chance explains the difference, and load evens it out.
SLOW_RATIO = 2.0
FAILING_SHARE = 0.3
# One probe in so many choices: it must not show in the 99th percentile.
PROBE_CHOICES = 400
PROBE_SECONDS = 2.0
LATENCY_WEIGHT = 0.2
LATENCY_WEIGHT_MANY = 0.1
# Answers after which an endpoint counts as known.
KNOWN_ANSWERS = 5
# A load report older than this says nothing any more.
REPORT_SECONDS = 1.0
# A refusal marks an endpoint as full for about this long.
FULL_SECONDS = 0.25
# Health news lag and mislead; they count for this long and this much.
DISTRUST_SECONDS = 10.0
DISTRUST_COST = 0.5
# Another zone costs a round trip more; worth it from this much more load on.
ZONE_COST = 0.2
DEPARTED_SECONDS = 60.0


class Choice(NamedTuple):
    """A chosen endpoint.

    Attributes:
        endpoint: The endpoint, None when there is none.
        ground: Why, for the log line.
    """

    endpoint: messages.Endpoint | None
    ground: str


class Record:
    """What this daemon has seen of one endpoint."""

    def __init__(self, now):
        self.used = now
        self.outstanding = 0
        self.latency = 0.0
        self.answers = 0
        self.failing = 0.0
        self.report = messages.Load()
        self.reported = -math.inf
        self.full = -math.inf
        self.distrusted = -math.inf
        self.probed = now
        self.oldest = None


class Placement:
    """Choice among endpoints for one daemon.

    Args:
        zone: The availability zone of this daemon.
        random: A `random.Random`, for the draws.
    """

    def __init__(self, zone, random):
        self._zone = zone
        self._random = random
        self._records = {}
        self._pruned = -math.inf
        self._choices = 0

    def choose(self, request, endpoints, now, exclude=frozenset()):
        """Choose the endpoint for an attempt.

        Args:
            request: The `messages.Request`.
            endpoints: The endpoints known for its service.
            now: Time of the loop's clock in seconds.
            exclude: Daemons already tried for this call.

        Returns:
            A `Choice`.
        """
        self._prune(now)
        present = [e for e in endpoints if not e.leaving]
        open_ = [e for e in present if e.daemon not in exclude]
        if not open_:
            return Choice(None, "no endpoint left")
        self._choices += 1
        good, aside = self._split(open_, present, now)
        probe = self._choose_probe(aside, now)
        if probe is not None:
            return Choice(probe, "probe of one set aside")
        first, second = self._draw(good)
        costs = self._cost(first, now), self._cost(second, now)
        chosen = first if costs[0] <= costs[1] else second
        ground = f"cost {min(costs):.2f} of {costs[0]:.2f}, {costs[1]:.2f}"
        return Choice(chosen, f"{ground}; {len(aside)} set aside")

    def start(self, daemon_id, now):
        """Note that an attempt is sent to a daemon."""
        record = self._find(daemon_id, now)
        if record.outstanding == 0:
            record.oldest = now
        record.outstanding += 1

    def observe(self, daemon_id, answer, latency, now):
        """Take the answer of an attempt.

        Args:
            daemon_id: The daemon that it was sent to.
            answer: The `messages.Answer`, made up by the sender if none came.
            latency: Seconds from the sending to the answer.
            now: Time of the loop's clock in seconds.
        """
        record = self._find(daemon_id, now)
        record.outstanding = max(0, record.outstanding - 1)
        record.oldest = now if record.outstanding else None
        if answer.load.limit > 0:
            record.report = answer.load
            record.reported = now
        if answer.outcome is messages.Outcome.NOT_RUN:
            self._take_refusal(record, answer, now)
            return
        failed = is_failure(answer)
        record.answers += 1
        weight = max(1.0 / record.answers, LATENCY_WEIGHT_MANY)
        record.failing += weight * (failed - record.failing)
        # A quick failure says nothing of how long the work takes: counted, it
        # would draw more work to the endpoint that fails.
        if not failed or latency > record.latency:
            weight = max(1.0 / record.answers, LATENCY_WEIGHT)
            record.latency += weight * (latency - record.latency)

    def distrust(self, daemon_id, now):
        """Lower the trust in a daemon of which bad news were heard."""
        self._find(daemon_id, now).distrusted = now

    def _take_refusal(self, record, answer, now):
        if answer.deeper:
            return
        if answer.reason is messages.Reason.NOT_SENT:
            record.answers += 1
            record.failing += LATENCY_WEIGHT * (1.0 - record.failing)
            return
        record.full = now

    def _find(self, daemon_id, now):
        record = self._records.get(daemon_id)
        if record is None:
            record = self._records[daemon_id] = Record(now)
        record.used = now
        return record

    def _prune(self, now):
        """Drop records of daemons not used for long, which have departed."""
        if now - self._pruned < DEPARTED_SECONDS:
            return
        self._pruned = now
        self._records = {
            daemon: record
            for daemon, record in self._records.items()
            if record.outstanding or now - record.used < DEPARTED_SECONDS
        }

    def _split(self, open_, present, now):
        """Split endpoints into good ones and ones set aside."""
        typical = self._find_typical(present)
        badness = {e.daemon: self._judge(e, typical, now) for e in present}
        bad = sorted(
            (e.daemon for e in present if badness[e.daemon] > 1.0),
            key=badness.get,
            reverse=True,
        )
        aside_names = frozenset(bad[: len(present) // 2])
        good = [e for e in open_ if e.daemon not in aside_names]
        aside = [e for e in open_ if e.daemon in aside_names]
        if not good:
            return aside, []
        return good, aside

    def _find_typical(self, endpoints):
        """Return the lower median latency of the endpoints known, or 0."""
        known = sorted(
            record.latency
            for e in endpoints
            if (record := self._records.get(e.daemon)) is not None
            and record.answers >= KNOWN_ANSWERS
            and record.latency > 0.0
        )
        return known[(len(known) - 1) // 2] if known else 0.0

    def _judge(self, endpoint, typical, now):
        """Return how bad an endpoint looks; above 1 it may be set aside."""
        record = self._records.get(endpoint.daemon)
        if record is None:
            # A newcomer among known ones may be cold: it starts with probes.
            return 0.0
        latency = record.latency if record.answers else 0.0
        if record.oldest is not None:
            latency = max(latency, now - record.oldest)
        slow = latency / (SLOW_RATIO * typical) if typical > 0.0 else 0.0
        return max(slow, record.failing / FAILING_SHARE)

    def _choose_probe(self, aside, now):
        """Return one set aside that is due for a probe, or None."""
        for endpoint in aside:
            record = self._records[endpoint.daemon]
            if record.outstanding or now - record.probed < PROBE_SECONDS:
                continue
            if self._random.random() * PROBE_CHOICES < 1.0:
                record.probed = now
                return endpoint
        return None

    def _draw(self, endpoints):
        if len(endpoints) == 1:
            return endpoints[0], endpoints[0]
        return self._random.sample(endpoints, 2)

    def _cost(self, endpoint, now):
        """Return the load of an endpoint for its slots, and what adds to it."""
        cost = 0.0 if endpoint.zone == self._zone else ZONE_COST
        record = self._records.get(endpoint.daemon)
        if record is None:
            return cost
        slots = max(1, endpoint.slots)
        busy = record.outstanding
        if now - record.reported < REPORT_SECONDS:
            reported = record.report.in_service + record.report.waiting
            busy = max(busy, reported)
            slots = record.report.limit
        cost += busy / slots
        if now - record.full < FULL_SECONDS:
            cost += 1.0
        if now - record.distrusted < DISTRUST_SECONDS:
            cost += DISTRUST_COST
        return cost


def is_failure(answer):
    """Return whether an answer shows that the endpoint failed its work."""
    if answer.deeper:
        return False
    if answer.outcome is messages.Outcome.UNKNOWN:
        return True
    return answer.status >= 500
