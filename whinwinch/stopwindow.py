"""Which work a daemon that is being stopped still accepts.

Load pattern: daemons are stopped and started again one after the other under load,
beside backend servers that keep running. Callers need two seconds to be routed to other
daemons, and where too few daemons of an availability zone are ready they come until the
process ends. Work that is accepted and not answered by then is cut off while a backend
server runs it, and a caller whose work must not be repeated never learns its outcome.
Work that is refused has not run, and its caller can come back.

Each kind of work is accepted as long as it will probably be answered in time, judged by
how long that kind has lately taken. A fixed time after the signal would refuse short
work that could end and accept long work that can't; the timeout of a route is often
many times what its work takes. Once callers have had the time to be routed elsewhere,
work is accepted only if it ends before that in flight: otherwise callers that keep
coming would delay the stop, during which the local backend server is out of service.
"""

import collections
import itertools
import math
from typing import NamedTuple

from . import messages

# Latest durations of each kind of work that are kept: the next one exceeds the longest
# of so many in one of a hundred cases.
MAX_SAMPLES = 100
# Durations below which the longest one says too little about the next.
MIN_SAMPLES = 20
# Bound on the kinds of work.
MAX_KINDS = 256
# Seconds kept free between the expected end of accepted work and the end of the window.
END_MARGIN = 0.1
# Seconds from the end of a stopped process until its successor serves: it is started
# after a short delay and reads the configuration first.
RETURN_SECONDS = 1.0


class Work(NamedTuple):
    """Work that has arrived and isn't answered.

    Attributes:
        kind: Its kind.
        number: Tells it from other work of its kind.
        arrived_at: Event loop time of its arrival, in seconds.
    """

    kind: str
    number: int
    arrived_at: float


class RecentDurations:
    """How long the latest work of each kind took, and what is in flight."""

    def __init__(self):
        self._samples = collections.OrderedDict()
        self._numbers = itertools.count()
        self._in_flight = set()

    def begin(self, kind, now):
        """Record that work of a kind arrives; return the `Work`, to be ended."""
        work = Work(kind, next(self._numbers), now)
        self._in_flight.add(work)
        return work

    def end(self, work, now, has_run):
        """Record that `Work` is in flight no longer.

        Args:
            work: What `begin` returned.
            now: Event loop time, in seconds.
            has_run: Whether it may have run, so that its duration counts.
        """
        self._in_flight.discard(work)
        if has_run:
            self.record(work.kind, now - work.arrived_at)

    def record(self, kind, seconds):
        """Record the seconds from the arrival of work of a kind to its answer."""
        samples = self._samples.get(kind)
        if samples is None:
            samples = self._samples[kind] = collections.deque(maxlen=MAX_SAMPLES)
            if len(self._samples) > MAX_KINDS:
                self._samples.popitem(last=False)
        samples.append(seconds)

    def find_longest(self, kind, now):
        """Return the longest of the latest durations in seconds, inf when unknown.

        Those that end first are the short ones. Where more than a few have been in
        flight for longer than any that has ended, the next may take longer, too.
        """
        samples = self._samples.get(kind, ())
        if len(samples) < MIN_SAMPLES:
            return math.inf
        longest = max(samples)
        longer = sum(
            work.kind == kind and now - work.arrived_at > longest
            for work in self._in_flight
        )
        return math.inf if longer * MAX_SAMPLES > len(samples) else longest

    def find_longest_of_all(self):
        """Return the longest of the latest durations of all kinds, 0 without any."""
        return max((max(samples) for samples in self._samples.values()), default=0.0)


class StopWindow:
    """The time in which work that is accepted during a stop has to end."""

    def __init__(self):
        self._until = math.inf
        self._is_closing = False
        # When the last of the accepted work will probably have ended.
        self._last_end = -math.inf

    @property
    def is_open(self):
        """Whether the daemon isn't being stopped, so that all work is accepted."""
        return math.isinf(self._until)

    def begin(self, now, until, longest):
        """Begin the stop.

        Args:
            now: Event loop time, in seconds.
            until: Time at which the connections are closed in any case.
            longest: Seconds that the work in flight will probably take at most.
        """
        self._until = until
        self._last_end = min(now + longest, until)

    def close(self):
        """Accept only work that ends before what has been accepted so far."""
        self._is_closing = True

    def try_accept_request(self, request, durations, now):
        """Accept a request if it will be answered in time; return whether it is.

        Args:
            request: `messages.Request`, which is answered by its deadline in any case.
            durations: `RecentDurations` of such requests.
            now: Event loop time, in seconds.
        """
        if self.is_open:
            return True
        longest = durations.find_longest(request.call, now)
        return self.try_accept(now, min(longest, request.deadline - now))

    def try_accept(self, now, seconds):
        """Accept work if it will end in time; return whether it is accepted.

        Args:
            now: Event loop time, in seconds.
            seconds: Seconds that it will probably take at most.
        """
        if self.is_open:
            return True
        end = now + seconds + END_MARGIN
        if end > (self._last_end if self._is_closing else self._until):
            return False
        self._last_end = max(self._last_end, end)
        return True

    def find_retry_after(self, now, spread_key):
        """Return the seconds after which the next process will serve.

        Args:
            now: Event loop time, in seconds.
            spread_key: Identifies the refused work among other work, so that not all
                callers return at the same moment.
        """
        end = self._last_end if self._is_closing else self._until
        spread = messages.hash_root("return:" + spread_key)
        return max(end - now, 0.0) + RETURN_SECONDS * (1.0 + spread)
