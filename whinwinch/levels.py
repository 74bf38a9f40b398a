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
MOST_FLOWS = 2048
# Endpoints of one service differ by chance in the level that they tell; answers
# further apart than this are of flows that are treated differently.
SPREAD = 0.3


class Track:
    """What the answers of one flow lately said."""

    def __init__(self):
        self.interval = HOLD_MOST / HOLD_INTERVALS
        self.smooth = 0.0
        self.time = None
        self._samples = collections.deque(maxlen=SAMPLES)

    def learn(self, level, now):
        """Take the level that one answer told."""
        weight = 1.0
        if self.time is not None:
            elapsed = now - self.time
            self.interval += (min(elapsed, HOLD_MOST) - self.interval) / SAMPLES
            weight = max(1.0 / SAMPLES, min(1.0, elapsed / HOLD_LEAST))
        self.smooth += weight * (level - self.smooth)
        self.time = now
        self._samples.append((now, level))

    def level(self, now):
        """Return the mean level told, decayed."""
        return self.smooth * self._keep(now)

    def lowest(self, now):
        """Return the lowest level told lately, decayed."""
        return min(level for _, level in self._samples) * self._keep(now)

    def general(self, now):
        """Return the level that holds for flows of which nothing is known."""
        told = [level for _, level in self._samples]
        if max(told) - min(told) > SPREAD:
            return self.lowest(now)
        return self.level(now)

    def _keep(self, now):
        hold = min(max(HOLD_INTERVALS * self.interval, HOLD_LEAST), HOLD_MOST)
        over = now - self.time - hold
        return min(1.0, max(0.0, 1.0 - over / DECAY_SECONDS))


class Levels:
    """Levels by service and call, and by flow within them."""

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
        for key in name_tracks(service, call, request):
            self._find(key).learn(level, now)

    def level(self, service, call, now, request=None):
        """Return the level below which a request would be refused deeper.

        Args:
            service: The service to be called.
            call: The call of it, or "".
            now: Time of the loop's clock in seconds.
            request: The request, for the level of its own caller and path.

        Returns:
            From 0 (admits all) to 4, to be compared with
            `messages.rank_request`.
        """
        if request is None:
            track = self._tracks.get((service, call, "", ""))
            return track.level(now) if track else 0.0
        keys = name_tracks(service, call, request)
        tracks = [self._tracks[key] for key in keys if key in self._tracks]
        if not tracks:
            return 0.0
        # A flow is refused above the others' level only if all its answers say
        # so: a caller that asks for a hot key may ask for others too.
        general = tracks[0].general(now)
        return max([general, *(track.lowest(now) for track in tracks[1:])])

    def refuse(self, request, now):
        """Refuse a request that would be refused deeper, or return None."""
        level = self.level(request.service, request.call, now, request)
        rank = messages.rank_request(request)
        if rank >= level:
            return None
        importance = int(request.importance)
        pressure = min(1.0, level - importance)
        pause = hints.choose_retry_after(pressure, request.attempt)
        return gate.Decision(
            request.attempt, gate.Verdict.REFUSE, messages.Reason.LEVEL, pause
        )

    def _find(self, key):
        track = self._tracks.pop(key, None) or Track()
        self._tracks[key] = track
        if len(self._tracks) > MOST_FLOWS:
            self._tracks.popitem(last=False)
        return track


def name_tracks(service, call, request):
    """Return the keys of the levels that concern a request."""
    keys = [(service, call, "", "")]
    if request is not None and request.caller:
        keys.append((service, call, "caller", request.caller))
    if request is not None and request.path:
        path = request.path.partition("?")[0]
        keys.append((service, call, "path", path))
    return keys
