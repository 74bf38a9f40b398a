"""One log line a second on the load of a daemon: its slots, its levels, its refusals.

Lines about single requests are samples under load. These are whole: they tell slots
that stood idle beside refusals from slots that were full, and slots that were full
from slots in which jobs took longer than before.
"""

import collections
from typing import NamedTuple

from . import events
from .daemons import traffic
from .gate import Use

LINE_SECONDS = 1.0


class RouteLevel(NamedTuple):
    """Admission levels of a route to the own backend server.

    Attributes:
        route: Its name.
        own: Level at the own gatekeeper.
        below: Highest level that the calls of its requests meet.
    """

    route: str
    own: float
    below: float


class RefusalCount(NamedTuple):
    """Refusals of one kind, since the line before or the start.

    Attributes:
        at: "entry" or "gatekeeper".
        route: Name of the route.
        reason: Why, as in the lines about single requests.
        count: How many.
    """

    at: str
    route: str
    reason: str
    count: int


class Load(NamedTuple):
    """Event: the load since the line before.

    Attributes:
        service: Service of the own backend server, "" for none.
        slots: Slots that it announced.
        limit: Present limit on requests in them.
        busy: Slots in use on average.
        waiting: Requests that wait for one at present.
        ended: Requests that left the backend server.
        job_seconds: Slot seconds for each of these.
        levels: `RouteLevel` tuples, routes without a level left out.
        refused: `RefusalCount` tuples.
        sent: `daemons.traffic.Sent` tuples, what was sent to other daemons.
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
    sent: tuple[traffic.Sent, ...]


def list_refused(instance):
    """Yield a `RefusalCount` of each kind since the start of an instance."""
    for at, counts in (
        ("entry", instance.forwarder.refused),
        ("gatekeeper", instance.guard.refused),
    ):
        for refusal, count in counts.items():
            yield RefusalCount(at, refusal.route, refusal.reason.value, count)


class Meter:
    """Tells the load between two looks at an `instance.Instance`.

    Args:
        instance: The instance.
        now: Time of the loop's clock in seconds.
    """

    def __init__(self, instance, now):
        self._instance = instance
        self._time = now
        self._use = instance.guard.measure_use()
        self._refused = collections.Counter()
        self._sent = ()

    def read(self, now):
        """Return the `Load` since the last reading."""
        guard = self._instance.guard
        load, backend = guard.load(), guard.backend
        use = guard.measure_use()
        # Another backend server's slots count from its own start.
        before = self._use if use.ended >= self._use.ended else Use()
        ended, spent = use.ended - before.ended, use.seconds - before.seconds
        elapsed = now - self._time
        self._time, self._use = now, use
        return Load(
            backend.service if backend is not None else "",
            backend.slots if backend is not None else 0,
            load.limit,
            round(spent / elapsed, 2) if elapsed > 0.0 else 0.0,
            load.waiting,
            ended,
            round(spent / ended, 4) if ended else 0.0,
            tuple(self._instance.list_route_levels()),
            self._read_refused(),
            self._read_sent(),
        )

    def _read_refused(self):
        refused = collections.Counter(
            {count[:-1]: count.count for count in list_refused(self._instance)}
        )
        more = refused - self._refused
        self._refused = refused
        return tuple(RefusalCount(*key, count) for key, count in more.items())

    def _read_sent(self):
        sent = self._instance.traffic.list_sent()
        more = traffic.subtract(sent, self._sent)
        self._sent = sent
        return more


def write_load(load):
    """Log a `Load`, unless nothing was going on."""
    if load.busy or load.refused:
        events.write("load", load)
