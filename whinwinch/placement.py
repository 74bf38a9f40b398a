"""Choice of the endpoint for one attempt, by what was seen of each.

Load patterns: one endpoint slow, one that answers errors quickly, one whose
load and health endpoints lie, one cold, many entries that choose at once.
Without this an even spread sends each its share, and a deep request meets the
slow one almost surely; a choice by least outstanding work alone is drawn to the
one that fails fastest; a choice of the very best by stale news sends all
entries to the same one.

Two endpoints of the own availability zone and one of the others are drawn at random,
and the one that costs least is taken, which avoids the herd. Cost is
work in hand for the slots, from this daemon's own calls and from the load that
answers carried. Endpoints whose answers were slow or failed, compared with the
median of their peers, are set aside: they get a probe now and then, and never more
than half of the endpoints are set aside, so when all look bad work still goes out.
"""

import collections
import math
from typing import NamedTuple

from . import messages

# Below twice the median, chance explains the difference, and load evens it out.
SLOW_RATIO = 2.0
# The longest of several answers under way is out for longer than most.
LONG_OUT_RATIO = 4.0
# So much more of the work failed than at its peers. Where a service deeper down
# fails, it fails alike behind all endpoints, and no other choice would help.
FAILING_SHARE = 0.3
WORST_SLOW = 2.0
# One probe in so many choices: it must not show in the 99th percentile.
PROBE_CHOICES = 500
PROBE_WEIGHT = 0.5
FORGET_SECONDS = 20.0
LATENCY_WEIGHT = 0.2
# Four failures one after the other set an endpoint aside, a chance loss doesn't.
# Were the first answers counted for more, one reset among them would keep an endpoint
# from work for seconds.
FAILING_WEIGHT = 0.1
# An endpoint set aside answers hardly any call, so its failures fade by time.
FAILING_SECONDS = 5.0
USUAL_WEIGHT = 0.05
SHORTEST_SECONDS = 1e-6
MOST_KINDS = 256
# Answers after which an endpoint counts as known.
KNOWN_ANSWERS = 5
# A load report older than this says nothing any more.
REPORT_SECONDS = 1.0
# A refusal marks an endpoint as full for about this long.
FULL_SECONDS = 0.25
# Another zone costs a round trip more, and bytes between zones are dear: worth it
# when most slots of the own zone are in use.
ZONE_COST = 0.75
DEPARTED_SECONDS = 60.0


class Choice(NamedTuple):
    """A chosen endpoint.

    Attributes:
        endpoint: The endpoint, None when there is none.
        ground: Why, for the log line.
    """

    endpoint: messages.Endpoint | None
    ground: str


class Sent(NamedTuple):
    """An attempt under way: when it was sent, the usual latency of its call."""

    time: float
    usual: float


class Typical(NamedTuple):
    """Lower medians over the endpoints of a service: slowness, share failing."""

    slowness: float
    failing: float


class Record:
    """What this daemon has seen of one endpoint."""

    def __init__(self, now):
        self.used = now
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
        self.reported = -math.inf
        self.full = -math.inf

    def wait(self, now):
        """Return how long the oldest attempt is out, to the usual latency."""
        for sent in self.sent.values():
            return (now - sent.time) / sent.usual
        return 0.0

    def failing(self, now):
        """Return the share of answers that failed, faded."""
        return self._failing * math.exp(-(now - self._failing_time) / FAILING_SECONDS)

    def note_failing(self, failed, now):
        """Count an answer that failed or didn't.

        One that has never succeeded is set aside after its first failure: it
        fails fast, so each entry would lose several requests to it before the
        even count shows that.
        """
        before = self.failing(now)
        self._failing = before + FAILING_WEIGHT * (failed - before)
        self._failing_time = now
        self._has_succeeded = self._has_succeeded or not failed
        if not self._has_succeeded:
            self._failures += 1
            self._failing = max(self._failing, 1.0 - 0.5**self._failures)

    def forget_slowness(self, now):
        """Let what was seen of the latency count less as time passes."""
        kept = math.exp(-(now - self.slowness_time) / FORGET_SECONDS)
        self.slowness = 1.0 + (self.slowness - 1.0) * kept
        self.slowness_time = now


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
        self._usual = collections.OrderedDict()
        self._pruned = -math.inf

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
        good, aside = self._split(open_, present, now)
        probe = self._choose_probe(aside)
        if probe is not None:
            return Choice(probe, "probe of one set aside")
        drawn = self._draw(good)
        costs = [self._cost(endpoint, now) for endpoint in drawn]
        lowest = min(costs)
        told = ", ".join(f"{cost:.2f}" for cost in costs)
        ground = f"cost {lowest:.2f} of {told}; {len(aside)} set aside"
        return Choice(drawn[costs.index(lowest)], ground)

    def find_usual(self, request):
        """Return the usual latency of a call in seconds, 0 while none is known."""
        return self._usual.get(name_kind(request), 0.0)

    @property
    def known(self):
        """Daemons whose endpoints this one has lately used."""
        return self._records.keys()

    def find_set_aside(self, present, now):
        """Return the daemons whose endpoints are set aside at present.

        Args:
            present: The endpoints of one service that don't leave.
            now: Time of the loop's clock in seconds.
        """
        typical = self._find_typical(present, now)
        badness = {e.daemon: self._judge(e, typical, now) for e in present}
        bad = sorted(
            (e.daemon for e in present if badness[e.daemon] > 1.0),
            key=badness.get,
            reverse=True,
        )
        return frozenset(bad[: len(present) // 2])

    def start(self, daemon_id, now, request=None):
        """Note that an attempt is sent to a daemon.

        Args:
            daemon_id: The daemon that it is sent to.
            now: Time of the loop's clock in seconds.
            request: The request with the identifier of this attempt, so that an
                answer that stays out shows the endpoint to be slow.
        """
        record = self._find(daemon_id, now)
        record.outstanding += 1
        usual = self._usual.get(name_kind(request))
        if request is not None and usual is not None:
            record.sent[request.attempt] = Sent(now, usual)

    def observe(self, daemon_id, answer, latency, now, request=None):
        """Take the answer of an attempt.

        Args:
            daemon_id: The daemon that it was sent to.
            answer: The `messages.Answer`, made up by the sender if none came.
            latency: Seconds from the sending to the answer.
            now: Time of the loop's clock in seconds.
            request: The request, so that its latency is compared with that of
                the same call at other endpoints.
        """
        record = self._find(daemon_id, now)
        record.outstanding = max(0, record.outstanding - 1)
        record.sent.pop(answer.attempt, None)
        if answer.load.limit > 0:
            record.report = answer.load
            record.reported = now
        if answer.outcome is messages.Outcome.NOT_RUN:
            self._take_refusal(record, answer, now)
            return
        failed = is_failure(answer)
        record.answers += 1
        record.note_failing(failed, now)
        # A quick failure says nothing of how long the work takes: counted, it
        # would draw more work to the endpoint that fails.
        slowness = latency / self._note_latency(latency, failed, request)
        if not failed or slowness > record.slowness:
            self._note_slowness(record, slowness, now)

    def withdraw(self, daemon_id, attempt):
        """Note that nobody waits for an attempt any more."""
        record = self._records.get(daemon_id)
        if record is not None:
            record.outstanding = max(0, record.outstanding - 1)
            record.sent.pop(attempt, None)

    def _note_slowness(self, record, slowness, now):
        """Count one answer; good news of one set aside counts for more.

        One set aside answers few calls, all of them probes. At the usual weight
        it would be kept from work long after it has recovered.
        """
        record.forget_slowness(now)
        was_slow = record.slowness > SLOW_RATIO > slowness
        weight = PROBE_WEIGHT if was_slow else LATENCY_WEIGHT
        weight = max(1.0 / record.answers, weight)
        record.slowness += weight * (slowness - record.slowness)

    def _note_latency(self, latency, failed, request):
        """Return the usual latency of a call, with one more answer counted.

        Slowness is measured against the same call: otherwise an endpoint that
        happens to have got a long job would be taken for a slow one.
        """
        kind = name_kind(request)
        usual = self._usual.pop(kind, latency)
        if not failed:
            # In proportion, and at most by half, so that one answer of a slow
            # endpoint doesn't make all others look quick.
            ratio = min(latency / usual, 2.0) if usual > 0.0 else 1.0
            usual *= 1.0 + USUAL_WEIGHT * (ratio - 1.0)
        self._usual[kind] = usual = max(usual, SHORTEST_SECONDS)
        while len(self._usual) > MOST_KINDS:
            self._usual.popitem(last=False)
        return usual

    def _take_refusal(self, record, answer, now):
        if answer.deeper:
            return
        if answer.reason is messages.Reason.NOT_SENT:
            record.answers += 1
            record.note_failing(True, now)
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
        aside_names = self.find_set_aside(present, now)
        if not aside_names:
            return open_, ()
        good = [e for e in open_ if e.daemon not in aside_names]
        aside = [e for e in open_ if e.daemon in aside_names]
        if not good:
            return aside, []
        return good, aside

    def _find_typical(self, endpoints, now):
        """Return what is usual among the endpoints known."""
        known = [
            record
            for e in endpoints
            if (record := self._records.get(e.daemon)) is not None
            and record.answers >= KNOWN_ANSWERS
        ]
        if not known:
            return Typical(0.0, 0.0)
        middle = (len(known) - 1) // 2
        return Typical(
            sorted([record.slowness for record in known])[middle],
            sorted([record.failing(now) for record in known])[middle],
        )

    def _judge(self, endpoint, typical, now):
        """Return how bad an endpoint looks; above 1 it may be set aside."""
        record = self._records.get(endpoint.daemon)
        if record is None:
            return 0.0
        usual = SLOW_RATIO * typical.slowness
        slow = record.slowness / usual if usual > 0.0 else 0.0
        waited = record.wait(now) / LONG_OUT_RATIO
        # Slow work is done all the same: with several bad ones, the one that
        # fails most of its work is set aside before the slow ones.
        late = min(max(slow, waited), WORST_SLOW)
        return max(late, (record.failing(now) - typical.failing) / FAILING_SHARE)

    def _choose_probe(self, aside):
        """Return one set aside that is due for a probe, or None."""
        for endpoint in aside:
            record = self._records[endpoint.daemon]
            if record.outstanding:
                continue
            if self._random.random() * PROBE_CHOICES < 1.0:
                return endpoint
        return None

    def _draw(self, endpoints):
        """Draw two endpoints of the own zone and one of the rest, or two of those."""
        near = [e for e in endpoints if e.zone == self._zone]
        far = [e for e in endpoints if e.zone != self._zone]
        if not near:
            return self._draw_some(far, 2)
        return self._draw_some(near, 2) + self._draw_some(far, 1)

    def _draw_some(self, endpoints, count):
        return self._random.sample(endpoints, min(count, len(endpoints)))

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
        # Slots are claimed, latency is seen: one that claims more slots than it
        # has looks empty but slow, and the square lets what is seen win.
        cost += busy / slots * max(record.slowness, 1.0) ** 2
        if now - record.full < FULL_SECONDS:
            cost += 1.0
        return cost


def name_kind(request):
    """Return what tells calls of different usual latency apart."""
    return (request.service, request.call) if request else None


def is_failure(answer):
    """Return whether an answer shows that the endpoint failed its work."""
    if answer.deeper:
        return False
    if answer.outcome is messages.Outcome.UNKNOWN:
        return True
    return answer.is_server_error
