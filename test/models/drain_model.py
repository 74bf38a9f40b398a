"""Model of drain and stop: one leaving daemon and the requests sent to it.

A sender may send requests until it has received the announcement of the leave,
which takes up to some ticks; a request travels for up to some ticks. The backend
server makes one call for each request before it answers. Decisions come from the
package's own `lifecycle` functions; one tick is one second.
"""

from typing import NamedTuple

from minicheck import Protocol

from whinwinch import lifecycle
from whinwinch.lifecycle import Direction, InFlight, Lifecycle, Phase

# Maximum ticks until every sender has received the announcement of the leave, and
# until a request arrives. Their sum is at most the quiet time before the stop.
MAX_ANNOUNCEMENT_TICKS = 2
MAX_TRAVEL_TICKS = 1
# Maximum ticks that a request stays in one phase at the backend server.
MAX_WORK_TICKS = 3
STOP_GRACE_SECONDS = 30.0

# The stop signal arrives by this tick, so that a run of few ticks reaches the stop.
LAST_SIGNAL_TICK = 1

UNSENT, IN_TRANSIT, ADMITTED, CALLING, CALLED, ANSWERED, NOT_RUN, CUT_OFF, UNKNOWN = (
    "unsent",
    "in transit",
    "admitted",
    "calling",
    "called",
    "answered",
    "not run",
    "cut off",
    "unknown",
)
IN_FLIGHT = frozenset({ADMITTED, CALLING, CALLED})
ENDED = frozenset({ANSWERED, NOT_RUN, CUT_OFF, UNKNOWN})


class Options(NamedTuple):
    """Disabled mechanisms and the bounds of the model.

    Attributes:
        admits: Function that decides whether new work is admitted.
        advance: Function that decides whether the daemon stops.
        requests: Number of requests.
        ticks: Length of a run in ticks.
        drains: Whether the backend server itself may start to drain.
    """

    admits: object = lifecycle.admits
    advance: object = lifecycle.advance
    requests: int = 2
    ticks: int = 8
    drains: bool = True


class Request(NamedTuple):
    """One request.

    Attributes:
        phase: Phase of the request, such as UNSENT or ADMITTED.
        since: Tick of its last step.
        late: Whether it was admitted while the backend server was leaving.
    """

    phase: str = UNSENT
    since: int = 0
    late: bool = False


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        tick: Seconds since the start.
        life: `Lifecycle` of the daemon.
        announced_at: Tick at which the leave was announced, or -1.
        arrival: Tick at which the last request arrived.
        requests: All `Request` objects.
    """

    tick: int = 0
    life: Lifecycle = Lifecycle()
    announced_at: int = -1
    arrival: int = 0
    requests: tuple = ()


def make_protocol(options, name="drain", goal=None):
    """Return the model as a `Protocol`."""
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(requests=(Request(),) * options.requests),
        transitions=lambda state: list(find_steps(state, options)),
        invariants={
            "a planned stop cuts off no request in flight": lambda d: has_none(
                d, CUT_OFF
            ),
            "a leaving backend server receives no new work": (
                lambda d: not any(request.late for request in d["requests"])
            ),
            "a request to a leaving daemon gets a definite outcome": (
                lambda d: has_none(d, UNKNOWN)
            ),
        },
        goal=goal,
    )


def has_none(fields, phase):
    """Return whether no request is in the given phase."""
    return all(request.phase != phase for request in fields["requests"])


def has_ended(fields):
    """Return whether the daemon has stopped and all sent requests have ended."""
    stopped = fields["life"].phase is Phase.STOPPED
    return stopped and all(
        request.phase in ENDED | {UNSENT} for request in fields["requests"]
    )


def find_steps(state, options):
    """Yield each possible step as a pair of its label and the next state."""
    if state.tick < options.ticks and not is_overdue(state):
        yield "tick", state._replace(tick=state.tick + 1)
    now = float(state.tick)
    if state.life.phase is Phase.SERVING:
        deadline = now + MAX_WORK_TICKS * 3
        life = lifecycle.begin_leaving(state.life, now, STOP_GRACE_SECONDS, deadline)
        yield "stop signal", announce(state, life)
    if options.drains and not lifecycle.is_leaving(state.life):
        life = lifecycle.set_backend_leaving(state.life, True)
        yield "backend server drains", announce(state, life)
    flight = count_flight(state)
    life = options.advance(state.life, now, flight)
    if life != state.life:
        yield "stopped", cut_off(state._replace(life=life))
    for number, request in enumerate(state.requests):
        for label, following in find_request_steps(state, request, options):
            yield f"{label} {number}", sort_requests(following)


def sort_requests(state):
    """Return the state with its requests sorted, which merges equivalent states."""
    return state._replace(requests=tuple(sorted(state.requests)))


def announce(state, life):
    """Return the state after the daemon announced to its peers that it is leaving."""
    announced_at = state.announced_at if state.announced_at >= 0 else state.tick
    return state._replace(life=life, announced_at=announced_at)


def is_overdue(state):
    """Return whether a step has to happen before the current tick ends."""
    if state.life.phase is Phase.SERVING and state.tick == LAST_SIGNAL_TICK:
        return True
    for request in state.requests:
        if (
            request.phase == IN_TRANSIT
            and state.tick - request.since >= MAX_TRAVEL_TICKS
        ):
            return True
        if request.phase in IN_FLIGHT and state.tick - request.since >= MAX_WORK_TICKS:
            return True
    return False


def count_flight(state):
    """Return the `InFlight` of the daemon."""
    phases = [request.phase for request in state.requests]
    inward = sum(phase in IN_FLIGHT for phase in phases)
    return InFlight(inward, phases.count(CALLING), float(state.arrival))


def cut_off(state):
    """Return the state after the daemon has closed its sockets."""
    requests = [
        request._replace(phase=CUT_OFF) if request.phase in IN_FLIGHT else request
        for request in state.requests
    ]
    return sort_requests(state._replace(requests=tuple(requests)))


def find_request_steps(state, request, options):
    """Yield the steps of one request."""

    def change(**fields):
        requests = list(state.requests)
        place = requests.index(request)
        requests[place] = request._replace(**{"since": state.tick, **fields})
        return state._replace(requests=tuple(requests))

    stopped = state.life.phase is Phase.STOPPED
    if request.phase == UNSENT and may_send(state):
        yield "send", change(phase=IN_TRANSIT)
    elif request.phase == IN_TRANSIT and stopped:
        yield "reaches a closed socket", change(phase=UNKNOWN, since=0)
    elif request.phase == IN_TRANSIT:
        yield "arrive", arrive(state, change, options)
    elif request.phase == ADMITTED:
        allowed = options.admits(state.life, Direction.OUTWARD)
        yield "call", change(phase=CALLING if allowed else CUT_OFF)
    elif request.phase == CALLING:
        yield "call answered", change(phase=CALLED)
    elif request.phase == CALLED:
        yield "answer", change(phase=ANSWERED, since=0)


def may_send(state):
    """Return whether a sender may not yet have received the announcement."""
    return (
        state.announced_at < 0
        or state.tick - state.announced_at < MAX_ANNOUNCEMENT_TICKS
    )


def arrive(state, change, options):
    """Return the state after a request arrived at the daemon."""
    if not options.admits(state.life, Direction.INWARD):
        return change(phase=NOT_RUN, since=0)._replace(arrival=state.tick)
    leaving = lifecycle.is_leaving(state.life)
    return change(phase=ADMITTED, late=leaving)._replace(arrival=state.tick)
