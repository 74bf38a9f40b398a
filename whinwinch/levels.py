"""Admission levels learnt from answers, so that entries refuse for the depths.

Load pattern: a service deep in the graph is full. Without levels at the entries
each refused request has been worked on by every hop above the refusal, and the
hops above spend their slots on requests that can't complete.

Answers carry the level of the called side and the highest one below it. A level
is held only while answers keep telling it, then decays to 0 by itself: the
requests let through are the probes which find out that the pressure has ended,
and a level learnt in an overload that is over can't keep work out.

An entry that sees few answers thus forwards much of what it isn't sure about;
the gatekeeper of the first service, which sees far more answers, refuses that
before its backend server works. So the number of entries makes no difference
to what callers receive.
"""

import collections

from . import gate, hints, messages

HOLD_LEAST = 0.1
HOLD_MOST = 1.0
# A level is held for this many usual intervals between answers: with answers
# that come by chance, a gap four times the mean is seen once in fifty.
HOLD_INTERVALS = 4.0
DECAY_SECONDS = 0.5
# As many answers as a handful of endpoints give in a few rounds.
SAMPLES = 8
# Some 1.2 KB each: unbounded, callers that make up paths would fill the memory.
MOST_TRACKS = 2048
# Long enough to hear of flows that give one answer in a hundred.
LOWEST_SECONDS = 1.0
# More than chance makes the levels at two hops differ.
PASSED_MARGIN = 0.2


class Track:
    """What the answers of one flow lately said."""

    __slots__ = ("_interval", "_lowest", "_mean", "_time")

    def __init__(self):
        self._interval = HOLD_MOST / HOLD_INTERVALS
        self._mean = 0.0
        self._time = None
        self._lowest = collections.deque()

    def learn(self, level, now):
        """Take the level that one answer told."""
        weight = 1.0
        if self._time is not None:
            elapsed = now - self._time
            self._interval += (min(elapsed, HOLD_MOST) - self._interval) / SAMPLES
            weight = max(1.0 / SAMPLES, min(1.0, elapsed / HOLD_LEAST))
        self._mean += weight * (level - self._mean)
        self._time = now
        # Ascending in time and level, so the first is the lowest that counts.
        lowest = self._lowest
        while lowest and lowest[-1][1] >= level:
            lowest.pop()
        while lowest and lowest[0][0] < now - LOWEST_SECONDS:
            lowest.popleft()
        lowest.append((now, level))

    def mean(self, now):
        """Return the mean level told, decayed."""
        return self._mean * self.keep(now)

    def lowest(self, now):
        """Return the lowest level told lately, decayed."""
        return self._lowest[0][1] * self.keep(now)

    def keep(self, now):
        """Return how much of a level is left, from 1 for fresh to 0."""
        hold = min(max(HOLD_INTERVALS * self._interval, HOLD_LEAST), HOLD_MOST)
        over = now - self._time - hold
        return min(1.0, max(0.0, 1.0 - over / DECAY_SECONDS))


class Levels:
    """Levels by service and call, and by flow within them.

    Two sets: what callers of a service have to expect of it and all below it,
    and, at the gatekeeper of a service, what its nested calls meet below.
    """

    def __init__(self):
        self._tracks = collections.OrderedDict()

    def learn(self, service, call, load, now, request=None):
        """Take the load that an answer carried.

        Args:
            service: The service that was called.
            call: The call of it, or "".
            load: The `messages.Load` of the answer.
            now: Time of the loop's clock in seconds.
            request: The request answered; its caller and path keep the level of
                a hot caller or key off the others.
        """
        level = max(load.level, load.below)
        self._learn(name_tracks("", service, call, request), level, now)

    def learn_below(self, request, level, now):
        """Take, at a gatekeeper, the highest level that nested calls met.

        Args:
            request: The request that made the nested calls.
            level: Highest level told by their answers.
            now: Time of the loop's clock in seconds.
        """
        keys = name_tracks("below", request.service, request.call, request)
        self._learn(keys, level, now)

    def level(self, service, call, now, request=None):
        """Return the level below which a request would be refused.

        Args:
            service: The service to be called.
            call: The call of it, or "".
            now: Time of the loop's clock in seconds.
            request: The request, for the level of its own caller and path.

        Returns:
            From 0 (admits all) to 4, to be compared with
            `messages.rank_request`.
        """
        return self._level(name_tracks("", service, call, request), now)

    def below(self, request, now):
        """Return, at a gatekeeper, the level that nested calls would meet.

        It goes into `messages.Load.below` of every answer, also of refusals.
        """
        keys = name_tracks("below", request.service, request.call, request)
        return self._level(keys, now)

    def refuse(self, request, now):
        """Refuse a request that would be refused further on, or return None."""
        level = self.level(request.service, request.call, now, request)
        return refuse_below(request, level)

    def refuse_below(self, request, now):
        """Refuse, at a gatekeeper, what its nested calls would be refused for."""
        return refuse_below(request, self.below(request, now))

    def _learn(self, keys, level, now):
        for key in keys:
            self._find(key).learn(level, now)

    def _level(self, keys, now):
        if len(keys) == 1:
            track = self._tracks.get(keys[0])
            return track.mean(now) if track else 0.0
        track = self._tracks.get(keys[-1])
        if track is not None and track.keep(now) > 0.0:
            return track.mean(now)
        # Nothing is known of this caller and key together. One of them may be
        # hot and give most answers, so the lowest level told counts: refused
        # for a hot caller's level, another would never learn its own.
        tracks = [self._tracks[key] for key in keys[1:-1] if key in self._tracks]
        told = [track.lowest(now) for track in tracks if track.keep(now) > 0.0]
        if told:
            return max(told)
        general = self._tracks.get(keys[0])
        return general.lowest(now) if general else 0.0

    def _find(self, key):
        track = self._tracks.get(key)
        if track is None:
            track = self._tracks[key] = Track()
            if len(self._tracks) > MOST_TRACKS:
                self._tracks.popitem(last=False)
        else:
            self._tracks.move_to_end(key)
        return track


def refuse_below(request, level):
    """Refuse a request whose rank is below a level, or return None.

    Past the first service work has been done, and each hop sees the level a
    little differently: a request let in at the entry would be lost if its rank
    had to be above every one of them. There only what is clearly below goes.
    """
    if request.via:
        level -= PASSED_MARGIN
    if level <= 0.0 or messages.rank_request(request) >= level:
        return None
    pressure = min(1.0, level - int(request.importance))
    pause = hints.choose_retry_after(pressure, request.attempt)
    return gate.Decision(
        request.attempt, gate.Verdict.REFUSE, messages.Reason.LEVEL, pause
    )


def name_tracks(side, service, call, request):
    """Return the keys of the levels that concern a request.

    The first is that of all requests, the last that of the request's own flow;
    between them stand the caller's and the path's, where there are both.
    """
    keys = [(side, service, call)]
    if request is None:
        return keys
    path = request.path.partition("?")[0]
    keys.append((side, service, call, "path", path))
    if request.caller:
        keys.append((side, service, call, "caller", request.caller))
    keys.append((side, service, call, request.caller, path))
    return keys
