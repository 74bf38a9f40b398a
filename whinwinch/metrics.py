"""Latency histograms and counters of a daemon, exported in Prometheus text format.

Each series occupies memory for the lifetime of the daemon, so the number of label
sets is bounded: a caller that sends invented service names would otherwise exhaust
the memory. Series beyond the bound are aggregated under `OTHER`.
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
# Help texts of the series.
HELP = {
    LATENCY: "Time from arrival to the complete answer of completed calls.",
    "calls_total": "Finished calls by outcome and reason.",
    "retries_total": "Retries caused by requests that entered the mesh at this daemon.",
    "claims_total": "Claims of non-idempotent work by the log's verdict.",
    "events_total": "Requests that were not routed.",
    "sent_bytes_total": "Bytes sent to other daemons, by kind of message and zone.",
    "sent_messages_total": "Messages sent to other daemons, by kind and zone.",
    "refusals_total": "Requests refused before execution, at entry or gatekeeper.",
    "store_calls_total": "Calls to the platform's store by result.",
    "backend_connections_total": "Connections opened to the local backend server.",
    "backend_answers_dropped_total": "Answers of the local backend server that were "
    "dropped because they belong to another request.",
    "backend_unexpected_data_total": "Connections on which the local backend server "
    "sent data while no request was pending.",
    "backend": "The local backend server: its service, zone and state; always 1.",
    "slots": "Slots for concurrent requests that the local backend server reports.",
    "set_aside": "Endpoints that this daemon has set aside and only probes.",
    "ended_total": "Requests that have left the backend server since its start.",
    "slot_seconds_total": "Seconds that requests have occupied its slots.",
    "in_service": "Requests inside the backend server.",
    "waiting": "Requests waiting for a slot of the backend server.",
    "limit": "Current limit on requests inside the backend server.",
    "level": "Admission level of a route, from 0 (all admitted) to 4 (none admitted).",
    "links": "Other daemons that this daemon is connected to.",
    "configuration_version": "Version of the configuration in force.",
    "configuration_age_seconds": "Time since it came into force at this daemon.",
}

# Range of the histograms in microseconds. No decision depends on latencies below
# 0.1 ms, and callers do not wait for longer than a minute. Two significant digits
# are precise enough to distinguish 1.4 ms from 1.41 ms.
MIN_LATENCY_US = 100
MAX_LATENCY_US = 60_000_000
DIGITS = 2
# Bytes of each bucket's count; four bytes count up to 4 * 10**9 calls.
COUNT_BYTES = 4
QUANTILES = (0.5, 0.9, 0.99, 0.999)
# A daemon serves one service and calls a few; an entry daemon may call all of them.
# A histogram occupies 11 kB, so 64 services at 4 importances occupy 3 MB.
MAX_SERVICES = 64
MAX_COUNTERS = 1024

MICROSECONDS = 1_000_000


class Label(NamedTuple):
    """A label of a series."""

    name: str
    value: str


class Gauge(NamedTuple):
    """A current value, or a count that is maintained outside of `Metrics`.

    Attributes:
        name: Name of the series without the prefix.
        value: Value of the series.
        labels: Labels of the series.
    """

    name: str
    value: float
    labels: tuple[Label, ...] = ()


class _Counter(NamedTuple):
    """Key of a counter: its name without the prefix and its labels."""

    name: str
    labels: tuple[Label, ...]


class _Latency:
    """Latency histogram and sum of one service at one importance."""

    def __init__(self):
        self.histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, DIGITS, word_size=COUNT_BYTES
        )
        self.seconds = 0.0


class Metrics:
    """Thread-safe counters and histograms.

    Args:
        list_gauges: Function without arguments that returns the current `Gauge`s.
            It is called only when the metrics are rendered.
        subject: Name of the label that distinguishes calls: "service" or "route".
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

    def record_call(self, service, importance, outcome, reason, seconds, retries):
        """Record the end of a call in all metrics that it affects.

        Only completed calls count towards latency: refusals are quick and would
        make an overloaded service look fast.

        Args:
            service: Name of the called service, as the caller wrote it.
            importance: `messages.Importance` of the call.
            outcome: `messages.Outcome`.
            reason: `messages.Reason`.
            seconds: Time from arrival to answer in seconds.
            retries: Number of retries that the call caused.
        """
        # A name without endpoints may be invented. Under its own label it would use
        # up the bound at the expense of a real service.
        if reason is Reason.NO_ENDPOINT and service not in self._services:
            service = OTHER
        if outcome is Outcome.COMPLETED:
            self.record_latency(service, importance, seconds)
        self.count_outcome(service, outcome, reason)
        if retries:
            self.count_retry(service, retries)

    def record_latency(self, service, importance, seconds):
        """Record the latency of a completed call.

        Args:
            service: Name of the called service.
            importance: `messages.Importance` of the call.
            seconds: Time from arrival to answer in seconds.
        """
        value = min(max(int(seconds * MICROSECONDS), MIN_LATENCY_US), MAX_LATENCY_US)
        with self._lock:
            latency = self._latencies.get((service, importance))
            if latency is None:
                latency = self._add_latency(service, importance)
            latency.histogram.record_value(value)
            latency.seconds += seconds

    def count_outcome(self, service, outcome, reason):
        """Count a finished call by its outcome and reason.

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
        """Count retries caused by calls of a service."""
        label = Label(self._subject, self._bound_service(service))
        self.count("retries_total", label, step=step)

    def count_claim(self, result):
        """Count a claim of non-idempotent work by its result.

        Args:
            result: Short fixed text such as ``won``, ``lost`` or ``log-down``.
        """
        self.count("claims_total", Label("result", result))

    def count_event(self, event):
        """Count an event that has no separate metric.

        Args:
            event: Short fixed text such as ``late-answer-dropped``.
        """
        self.count("events_total", Label("event", event))

    def count(self, name, *labels, step=1):
        """Increment a counter.

        Args:
            name: Name of the series without the prefix.
            *labels: `Label`s, always in the same order for each name.
            step: Increment.
        """
        counter = _Counter(name, labels)
        with self._lock:
            if counter not in self._counters and len(self._counters) >= MAX_COUNTERS:
                counter = _Counter(name, (Label(OTHER, OTHER),))
            self._counters[counter] = self._counters.get(counter, 0) + step

    def render_metrics(self):
        """Return all series in the text format of Prometheus."""
        # Imported lazily: the import takes 45 ms and 2.3 MB, which daemons that do
        # not export metrics save.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry).decode()

    def collect(self):
        """Yield all metric families; called by the Prometheus registry."""
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
        """Add and return a latency series; the caller holds the lock."""
        key = (self._admit_service(service), importance)
        return self._latencies.setdefault(key, _Latency())

    def _bound_service(self, service):
        if service in self._services or service == OTHER:
            return service
        with self._lock:
            return self._admit_service(service)

    def _admit_service(self, service):
        """Return the service or `OTHER` beyond the bound; the caller holds the lock."""
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICES:
            return OTHER
        self._services.add(service)
        return service


def _list_samples(subject, service, importance, latency):
    """Yield the samples of one latency summary as `Gauge`s."""
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
    """Return name and type of the metric family that a sample belongs to."""
    if name.startswith(LATENCY):
        return LATENCY, "summary"
    if name.endswith("_total"):
        return name.removesuffix("_total"), "counter"
    return name, "gauge"
