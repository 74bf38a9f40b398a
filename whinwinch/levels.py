"""Admission levels learned from answers, for early refusal at the entries.

Load pattern: a service deep in the call graph is full. Without levels at the entries,
every hop above the refusal has already worked on a refused request, and those hops
spend their slots on requests that can't complete.

An answer carries the level of the called service and the highest level of the services
that it calls in turn. A level stays in force only while answers confirm it, then
decays to 0 by itself. The requests that are still admitted act as the probes that
detect the end of the overload, and an outdated level can't keep work out.

An entry that receives few answers thus forwards many requests for which it has no
certain level. The gatekeeper of the first service receives far more answers and
refuses those requests before its backend server works on them. So the number of
entries makes no difference to what callers receive.
"""

import collections

from . import gate, hints, messages

MIN_HOLD_SECONDS = 0.1
MAX_HOLD_SECONDS = 1.0
# A level stays constant for this many mean intervals between answers. When answers
# arrive at random, one gap in fifty is longer than four times the mean.
HOLD_INTERVALS = 4.0
# Time in which a level decays to 0 after that.
DECAY_SECONDS = 0.5
# A handful of endpoints give this many answers in a few rounds.
AVERAGED_ANSWERS = 8
# A track takes about 1.2 KB. Without a bound, callers that invent paths would fill the
# memory.
MAX_TRACKS = 2048
# Window of the lowest level, long enough to include flows that get one answer in a
# hundred.
LOWEST_WINDOW_SECONDS = 1.0
# Larger than the random difference between the levels at two hops.
FORWARDED_MARGIN = 0.2


class LevelTrack:
    """Moving average and recent minimum of the levels that one flow's answers carried.

    A flow is all requests of a call, or those of one caller, one path or both.
    """

    __slots__ = ("_interval", "_lowest", "_mean", "_time")

    def __init__(self):
        self._interval = MAX_HOLD_SECONDS / HOLD_INTERVALS
        self._mean = 0.0
        self._time = None
        self._lowest = collections.deque()

    def learn(self, level, now):
        """Add the level of one answer received at `now`."""
        weight = 1.0
        if self._time is not None:
            elapsed = now - self._time
            self._interval += (
                min(elapsed, MAX_HOLD_SECONDS) - self._interval
            ) / AVERAGED_ANSWERS
            weight = max(1.0 / AVERAGED_ANSWERS, min(1.0, elapsed / MIN_HOLD_SECONDS))
        self._mean += weight * (level - self._mean)
        self._time = now
        # Pairs ascending in time and level, so the first has the lowest level in the
        # window.
        lowest = self._lowest
        while lowest and lowest[-1][1] >= level:
            lowest.pop()
        while lowest and lowest[0][0] < now - LOWEST_WINDOW_SECONDS:
            lowest.popleft()
        lowest.append((now, level))

    def mean(self, now):
        """Return the mean level, decayed."""
        return self._mean * self.decay_factor(now)

    def lowest(self, now):
        """Return the lowest recent level, decayed."""
        return self._lowest[0][1] * self.decay_factor(now)

    def decay_factor(self, now):
        """Return the decay factor: 1 during the hold time, then falling to 0."""
        hold = min(
            max(HOLD_INTERVALS * self._interval, MIN_HOLD_SECONDS), MAX_HOLD_SECONDS
        )
        excess = now - self._time - hold
        return min(1.0, max(0.0, 1.0 - excess / DECAY_SECONDS))


class LearnedLevels:
    """Admission levels by service and call, and by flow within them.

    There are two sets: the levels that apply to callers of a service, which include
    those of the services that it calls, and, at the gatekeeper of a service, the levels
    that apply to its nested calls.
    """

    def __init__(self):
        self._tracks = collections.OrderedDict()

    def learn(self, service, call, load, now, request=None):
        """Update the levels with the load that an answer carried.

        Args:
            service: The service that was called.
            call: Name of the call, or "".
            load: The `messages.Load` of the answer.
            now: Time of the loop's clock in seconds.
            request: The request answered; its caller and path separate the level of
                a hot caller or key from the others.
        """
        level = max(load.level, load.below)
        self._learn(name_tracks("", service, call, request), level, now)

    def learn_below(self, request, level, now):
        """Update, at a gatekeeper, the level that applies to nested calls.

        Args:
            request: The request that made the nested calls.
            level: Highest level in their answers.
            now: Time of the loop's clock in seconds.
        """
        keys = name_tracks("below", request.service, request.call, request)
        self._learn(keys, level, now)

    def level(self, service, call, now, request=None):
        """Return the level below which a request would be refused.

        Args:
            service: The service to be called.
            call: Name of the call, or "".
            now: Time of the loop's clock in seconds.
            request: The request, for the level of its caller and path.

        Returns:
            A level from 0, which admits all requests, to 8, to be compared with
            `messages.rank_request`.
        """
        return self._level(name_tracks("", service, call, request), now)

    def below(self, request, now):
        """Return, at a gatekeeper, the level that applies to nested calls.

        Every answer carries it in `messages.Load.below`, refusals included.
        """
        keys = name_tracks("below", request.service, request.call, request)
        return self._level(keys, now)

    def refuse(self, request, now):
        """Return the refusal of a request that would be refused downstream, or None."""
        level = self.level(request.service, request.call, now, request)
        return refuse_below(request, level)

    def refuse_below(self, request, now):
        """Return, at a gatekeeper, the refusal for the nested calls' level, or None."""
        return refuse_below(request, self.below(request, now))

    def _learn(self, keys, level, now):
        for key in keys:
            self._find_track(key).learn(level, now)

    def _level(self, keys, now):
        if len(keys) == 1:
            track = self._tracks.get(keys[0])
            return track.mean(now) if track else 0.0
        track = self._tracks.get(keys[-1])
        if track is not None and track.decay_factor(now) > 0.0:
            return track.mean(now)
        # No answer to this caller and path together is recent. One of them may be hot
        # and account for most answers, so the lowest level counts: a caller refused by
        # the level of a hot one would never receive answers with its own level.
        tracks = [self._tracks[key] for key in keys[1:-1] if key in self._tracks]
        lowest_levels = [
            track.lowest(now) for track in tracks if track.decay_factor(now) > 0.0
        ]
        if lowest_levels:
            return max(lowest_levels)
        general = self._tracks.get(keys[0])
        return general.lowest(now) if general else 0.0

    def _find_track(self, key):
        track = self._tracks.get(key)
        if track is None:
            track = self._tracks[key] = LevelTrack()
            if len(self._tracks) > MAX_TRACKS:
                self._tracks.popitem(last=False)
        else:
            self._tracks.move_to_end(key)
        return track


def refuse_below(request, level):
    """Return the refusal of a request whose rank is below a level, or None.

    Services behind the first one refuse only requests that are below the level by a
    margin. Work has already been done for a nested call, and the levels at the hops
    differ slightly: a request admitted at the entry would be lost if its rank had to
    reach every one of them.
    """
    if request.via:
        level -= FORWARDED_MARGIN
    if level <= 0.0 or messages.rank_request(request) >= level:
        return None
    pressure = min(1.0, level - int(request.importance))
    pause = hints.choose_retry_after(pressure, request.attempt)
    return gate.Decision(
        request.attempt, gate.Verdict.REFUSE, messages.Reason.LEVEL, pause
    )


def name_tracks(side, service, call, request):
    """Return the keys of the tracks that apply to a request.

    The first key is that of all requests, the last that of the request's caller and
    path together. Between them are those of the path and, if known, of the caller.

    Args:
        side: "below" for the levels of nested calls, else "".
        service: Name of the service.
        call: Name of the call, or "".
        request: The request, or None for the key of all requests alone.
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
