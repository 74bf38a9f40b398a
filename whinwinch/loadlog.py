"""One log line per second with a daemon's slots, admission levels and refusals.

Log lines about single requests are sampled under load. These are complete. They
distinguish refusals with idle slots from refusals with full slots, and slots that are
full because of more requests from slots in which requests take longer than before.
"""

import collections
from typing import NamedTuple

from . import events, repeats
from .daemons import traffic
from .lanes import SlotUsage

LOG_INTERVAL_SECONDS = 1.0


class RouteLevel(NamedTuple):
    """Admission levels of a route to the local backend server.

    Attributes:
        route: Name of the route.
        own: Level at this daemon's gatekeeper.
        below: Highest level that applies to the nested calls of its requests.
    """

    route: str
    own: float
    below: float


class RefusalCount(NamedTuple):
    """Number of refusals of one kind, since the previous line or the start.

    Attributes:
        at: Where they were refused, "entry" or "gatekeeper".
        route: Name of the route.
        reason: Reason, as in the log lines about single requests.
        count: Number of refusals.
    """

    at: str
    route: str
    reason: str
    count: int


class Load(NamedTuple):
    """Event: the load since the previous line.

    Attributes:
        service: Service of the local backend server, "" for none.
        slots: Number of slots that it announced.
        limit: Current limit on the requests in service.
        busy: Mean number of slots in use.
        waiting: Number of requests that currently wait for a slot.
        ended: Number of requests that left the backend server.
        job_seconds: Mean slot time of these requests in seconds.
        levels: `RouteLevel` tuples; routes without a level are left out.
        refused: `RefusalCount` tuples.
        repeats: `repeats.RepeatCount` tuples.
        sent: `daemons.traffic.Sent` tuples of the messages sent to other daemons.
    """

    service: str
    slots: int
    limit: int
    busy: float
    waiting: int
    ended: int
    job_seconds: float
    levels: tuple[RouteLevel, ...]
    refused: tuple[RefusalCount, ...]
    repeats: tuple[repeats.RepeatCount, ...]
    sent: tuple[traffic.Sent, ...]


def list_refusals(instance):
    """Yield the `RefusalCount` of each kind since the start of an `Instance`."""
    for at, counts in (
        ("entry", instance.forwarder.refused),
        ("gatekeeper", instance.guard.refused),
    ):
        for refusal, count in counts.items():
            yield RefusalCount(at, refusal.route, refusal.reason.value, count)


class LoadMeter:
    """Measures the load of an `instance.Instance` between two readings.

    Args:
        instance: The instance.
        now: Time of the loop's clock in seconds.
    """

    def __init__(self, instance, now):
        self._instance = instance
        self._time = now
        self._usage = instance.guard.measure_usage()
        self._refused = collections.Counter()
        self._repeats = {}
        self._sent = ()

    def read(self, now):
        """Return the `Load` since the previous reading.

        Args:
            now: Time of the loop's clock in seconds.
        """
        guard = self._instance.guard
        load, backend = guard.load(), guard.backend
        usage = guard.measure_usage()
        # The counters restart from 0 when the backend server is replaced.
        before = self._usage if usage.ended >= self._usage.ended else SlotUsage()
        ended, slot_seconds = usage.ended - before.ended, usage.seconds - before.seconds
        elapsed = now - self._time
        self._time, self._usage = now, usage
        return Load(
            backend.service if backend is not None else "",
            backend.slots if backend is not None else 0,
            load.limit,
            round(slot_seconds / elapsed, 2) if elapsed > 0.0 else 0.0,
            load.waiting,
            ended,
            round(slot_seconds / ended, 4) if ended else 0.0,
            tuple(self._instance.list_route_levels()),
            self._read_refused(),
            self._read_repeats(),
            self._read_sent(),
        )

    def _read_refused(self):
        refused = collections.Counter(
            {count[:-1]: count.count for count in list_refusals(self._instance)}
        )
        increase = refused - self._refused
        self._refused = refused
        return tuple(RefusalCount(*key, count) for key, count in increase.items())

    def _read_repeats(self):
        counts = {count[:2]: count for count in self._instance.guard.list_repeats()}
        before, self._repeats = self._repeats, counts
        increase = (_subtract(count, before.get(key)) for key, count in counts.items())
        return tuple(count for count in increase if count.asked)

    def _read_sent(self):
        sent = self._instance.traffic.list_sent()
        increase = traffic.subtract(sent, self._sent)
        self._sent = sent
        return increase


def _subtract(count, before):
    if before is None:
        return count
    return count._replace(
        asked=count.asked - before.asked, admitted=count.admitted - before.admitted
    )


def write_load(load):
    """Log a `Load`, unless no slot was in use and no request refused."""
    if load.busy or load.refused:
        events.write("load", load)
