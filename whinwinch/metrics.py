"""Latency histograms and counters of a daemon, as text for a collector.

Each series costs memory for ever, so all sets of labels are bounded: a caller
who makes up service names would otherwise fill the daemon's memory. What is
beyond the bound is counted under `OTHER`.
"""

import threading
from collections.abc import Callable
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .messages import Importance, Outcome, Reason

PREFIX = "whinwinch"
OTHER = "other"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LATENCY = "latency_seconds"
# What each series tells, for whoever meets it in a collector.
HELP = {
    LATENCY: "Time from arrival to the whole answer of completed calls.",
    "calls_total": "Ends of calls by outcome and reason.",
    "retries_total": "Retries that requests which entered here have caused.",
    "claims_total": "Claims of non-idempotent work by the log's verdict.",
    "events_total": "Requests that were not routed.",
    "sent_bytes_total": "Bytes sent to other daemons, by kind of message and zone.",
    "sent_messages_total": "Messages sent to other daemons, likewise.",
    "refusals_total": "Refusals without a run, at the entry or the gatekeeper.",
    "store_calls_total": "Calls to the platform's store by what is known of them.",
    "backend": "The own backend server: its service, zone and state; 1 for known.",
    "slots": "Requests that the own backend server says it can work on at once.",
    "set_aside": "Endpoints that this daemon gives no work but probes.",
    "ended_total": "Requests that have left the backend server since its start.",
    "slot_seconds_total": "Seconds that requests have spent in its slots.",
    "in_service": "Requests inside the backend server.",
    "waiting": "Requests that wait for a slot of the backend server.",
    "limit": "Present limit on requests inside the backend server.",
    "level": "Admission level of a route, 0 for all admitted to 4 for none.",
    "links": "Other daemons that this one is connected with.",
    "configuration_version": "Version of the configuration in force.",
    "configuration_age_seconds": "Time since it came into force here.",
}

# Microseconds. Below a tenth of a millisecond nothing is decided by latency;
# beyond a minute callers have long gone. Two digits tell 1.4 ms from 1.41 ms.
LOWEST = 100
HIGHEST = 60_000_000
DIGITS = 2
# Bytes of one count; four of them hold 4 * 10**9 calls of one bucket.
WORD_SIZE = 4
QUANTILES = (0.5, 0.9, 0.99, 0.999)
# A daemon serves one service and calls a few; as entry it may meet all of
# them. One histogram has 11 kB, so 64 services at 4 importances have 3 MB.
MAX_SERVICES = 64
MAX_COUNTERS = 1024

MICROSECONDS = 1_000_000


class Label(NamedTuple):
    """A label of a series."""

    name: str
    value: str


class Gauge(NamedTuple):
    """A value of this moment, or a count that is kept elsewhere.

    Attributes:
        name: Name of the series without the prefix.
        value: Its value.
        labels: Its labels.
    """

    name: str
    value: float
    labels: tuple[Label, ...] = ()


class _Counter(NamedTuple):
    """What a counter counts: its name without the prefix, and its labels."""

    name: str
    labels: tuple[Label, ...]


class _Latency:
    """Latencies of one service at one importance."""

    def __init__(self):
        self.histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS, word_size=WORD_SIZE)
        self.seconds = 0.0


class Metrics:
    """Counters and histograms; safe to use from all threads.

    Args:
        list_gauges: Function without arguments that returns the `Gauge`s of the
            moment. Called for each rendering only.
        subject: What calls are told apart by: their service, or their route.
    """

    def __init__(
        self, list_gauges: Callable[[], list[Gauge]] = list, subject="service"
    ):
        self._subject = subject
        self._lock = threading.Lock()
        self._latencies = {}
        self._services = set()
        self._counters = {}
        self._list_gauges = list_gauges

    def note_call(self, service, importance, outcome, reason, seconds, retries):
        """Note the end of a call, in all metrics that it concerns.

        Only completed calls count towards latency: refusals are quick, and would
        make an overloaded service look fast.

        Args:
            service: Name of the called service, as the caller wrote it.
            importance: `messages.Importance` of the call.
            outcome: `messages.Outcome`.
            reason: `messages.Reason`.
            seconds: Time from its arrival to its answer.
            retries: Retries that it caused.
        """
        # A name without endpoints may be made up. Counted under itself it would
        # take the place of a real service within the bound.
        if reason is Reason.NO_ENDPOINT and service not in self._services:
            service = OTHER
        if outcome is Outcome.COMPLETED:
            self.record_latency(service, importance, seconds)
        self.count_outcome(service, outcome, reason)
        if retries:
            self.count_retry(service, retries)

    def record_latency(self, service, importance, seconds):
        """Record how long a call took that got an answer.

        Args:
            service: Name of the called service.
            importance: `messages.Importance` of the call.
            seconds: Time from its arrival to its answer.
        """
        value = min(max(int(seconds * MICROSECONDS), LOWEST), HIGHEST)
        with self._lock:
            latency = self._latencies.get((service, importance))
            if latency is None:
                latency = self._add_latency(service, importance)
            latency.histogram.record_value(value)
            latency.seconds += seconds

    def count_outcome(self, service, outcome, reason):
        """Count how a call ended.

        Args:
            service: Name of the called service.
            outcome: `messages.Outcome`.
            reason: `messages.Reason`; NONE for a completed call.
        """
        self.count(
            "calls_total",
            Label(self._subject, self._bound_service(service)),
            Label("outcome", outcome.value),
            Label("reason", reason.value),
        )

    def count_retry(self, service, step=1):
        """Count retries that calls of a service caused."""
        label = Label(self._subject, self._bound_service(service))
        self.count("retries_total", label, step=step)

    def count_claim(self, result):
        """Count a claim of non-idempotent work by its result.

        Args:
            result: A short fixed text such as ``won``, ``lost`` or ``log-down``.
        """
        self.count("claims_total", Label("result", result))

    def count_event(self, event):
        """Count an event that has no metric of its own.

        Args:
            event: A short fixed text such as ``late-answer-dropped``.
        """
        self.count("events_total", Label("event", event))

    def count(self, name, *labels, step=1):
        """Add to a counter.

        Args:
            name: Name of the series without the prefix.
            *labels: `Label`s, always in the same order for a name.
            step: How much to add.
        """
        counter = _Counter(name, labels)
        with self._lock:
            if counter not in self._counters and len(self._counters) >= MAX_COUNTERS:
                counter = _Counter(name, (Label(OTHER, OTHER),))
            self._counters[counter] = self._counters.get(counter, 0) + step

    def render_metrics(self):
        """Return all series in the text format of Prometheus."""
        # Imported late: 45 ms and 2.3 MB that only a daemon which is asked needs.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry).decode()

    def collect(self):
        """Yield all series by name; the library calls this."""
        from prometheus_client.core import Metric

        with self._lock:
            samples = [
                sample
                for key, latency in sorted(self._latencies.items())
                for sample in _list_samples(self._subject, *key, latency)
            ]
            samples += [
                Gauge(name, value, labels)
                for (name, labels), value in sorted(self._counters.items())
            ]
        samples += self._list_gauges()
        families = {}
        for sample in samples:
            name, kind = _find_family(sample.name)
            if name not in families:
                text = HELP.get(name, "") or HELP.get(sample.name, "")
                families[name] = Metric(f"{PREFIX}_{name}", text, kind)
            families[name].add_sample(
                f"{PREFIX}_{sample.name}", dict(sample.labels), sample.value
            )
        yield from families.values()

    def _add_latency(self, service, importance):
        """Return the latencies of a new series; the lock is held."""
        key = (self._add_service(service), importance)
        return self._latencies.setdefault(key, _Latency())

    def _bound_service(self, service):
        if service in self._services or service == OTHER:
            return service
        with self._lock:
            return self._add_service(service)

    def _add_service(self, service):
        """Return the service, `OTHER` when there are too many; the lock is held."""
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICES:
            return OTHER
        self._services.add(service)
        return service


def _list_samples(subject, service, importance, latency):
    """Yield the samples of one histogram."""
    labels = (
        Label(subject, service),
        Label("importance", Importance(importance).name.lower()),
    )
    for quantile in QUANTILES:
        value = latency.histogram.get_value_at_percentile(quantile * 100)
        quantiles = (*labels, Label("quantile", str(quantile)))
        yield Gauge(LATENCY, value / MICROSECONDS, quantiles)
    count = latency.histogram.get_total_count()
    yield Gauge(f"{LATENCY}_sum", round(latency.seconds, 6), labels)
    yield Gauge(f"{LATENCY}_count", count, labels)


def _find_family(name):
    """Return the name and the kind of the series that a sample belongs to."""
    if name.startswith(LATENCY):
        return LATENCY, "summary"
    if name.endswith("_total"):
        return name.removesuffix("_total"), "counter"
    return name, "gauge"
