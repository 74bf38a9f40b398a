"""Model of drain and stop: one leaving daemon, requests on their way to it.

A request may be sent until its sender has heard of the leave, which is certain
only some ticks later, and travels for some ticks. The backend server makes one
call for each request before it answers. Decisions come from the package's own
`lifecycle` functions; one tick is one second.
"""

from typing import NamedTuple

from minicheck import Protocol

from whinwinch import lifecycle
from whinwinch.lifecycle import Direction, InFlight, Lifecycle, Phase

# Ticks after which every sender has heard of the leave, and that a message may
# travel; both together are no more than the quiet time before the stop.
HEARD = 2
TRAVEL = 1
WORK = 3
ALLOWED = 30.0

# The stop signal comes by this tick, so that a run of few ticks sees its end.
LAST_SIGNAL = 1

UNSENT, ON_WAY, INSIDE, CALLING, CALLED, ANSWERED, NOT_RUN, CUT, UNKNOWN = (
    "unsent",
    "on its way",
    "inside",
    "calling",
    "called",
    "answered",
    "not run",
    "cut off",
    "unknown",
)
IN_FLIGHT = frozenset({INSIDE, CALLING, CALLED})
OVER = frozenset({ANSWERED, NOT_RUN, CUT, UNKNOWN})


class Options(NamedTuple):
    """Mechanisms taken out, and bounds.

    Attributes:
        admits: Function that decides on new work.
        advance: Function that decides on the stop.
        requests: How many requests there are.
        ticks: Length of a run.
        drains: Whether the backend server itself may begin to drain.
    """

    admits: object = lifecycle.admits
    advance: object = lifecycle.advance
    requests: int = 2
    ticks: int = 8
    drains: bool = True


class Request(NamedTuple):
    """One request.

    Attributes:
        phase: Where it is.
        since: Tick of its last step.
        late: Whether it was let in although the backend server was leaving.
    """

    phase: str = UNSENT
    since: int = 0
    late: bool = False


class State(NamedTuple):
    """The whole model.

    Attributes:
        tick: Seconds since the start.
        life: `Lifecycle` of the daemon.
        told: Tick at which the leave was announced, or -1.
        arrival: Tick of the last arrival.
        requests: Each `Request`.
    """

    tick: int = 0
    life: Lifecycle = Lifecycle()
    told: int = -1
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
            "a planned stop cuts off no request in flight": lambda d: has_none(d, CUT),
            "a leaving backend server receives no new work": (
                lambda d: not any(request.late for request in d["requests"])
            ),
            "work sent before the leave was heard of is known not to have run": (
                lambda d: has_none(d, UNKNOWN)
            ),
        },
        goal=goal,
    )


def has_none(fields, phase):
    """Return whether no request is in a phase."""
    return all(request.phase != phase for request in fields["requests"])


def is_over(fields):
    """Return whether the daemon has stopped and all sent requests are over."""
    stopped = fields["life"].phase is Phase.STOPPED
    return stopped and all(
        request.phase in OVER | {UNSENT} for request in fields["requests"]
    )


def find_steps(state, options):
    """Yield each step as a pair of label and next state."""
    if state.tick < options.ticks and not is_overdue(state):
        yield "tick", state._replace(tick=state.tick + 1)
    now = float(state.tick)
    if state.life.phase is Phase.SERVING:
        deadline = now + WORK * 3
        life = lifecycle.begin_leaving(state.life, now, ALLOWED, deadline)
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
    """Return the state with the requests in order: they are all alike."""
    return state._replace(requests=tuple(sorted(state.requests)))


def announce(state, life):
    """Return the state after the daemon told its peers that it is leaving."""
    told = state.told if state.told >= 0 else state.tick
    return state._replace(life=life, told=told)


def is_overdue(state):
    """Return whether something has to happen before the tick ends."""
    if state.life.phase is Phase.SERVING and state.tick == LAST_SIGNAL:
        return True
    for request in state.requests:
        if request.phase == ON_WAY and state.tick - request.since >= TRAVEL:
            return True
        if request.phase in IN_FLIGHT and state.tick - request.since >= WORK:
            return True
    return False


def count_flight(state):
    """Return what the daemon has in flight."""
    phases = [request.phase for request in state.requests]
    inward = sum(phase in IN_FLIGHT for phase in phases)
    return InFlight(inward, phases.count(CALLING), float(state.arrival))


def cut_off(state):
    """Return the state after the daemon's sockets are gone."""
    requests = [
        request._replace(phase=CUT) if request.phase in IN_FLIGHT else request
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
        yield "send", change(phase=ON_WAY)
    elif request.phase == ON_WAY and stopped:
        yield "meets a closed socket", change(phase=UNKNOWN, since=0)
    elif request.phase == ON_WAY:
        yield "arrive", arrive(state, change, options)
    elif request.phase == INSIDE:
        allowed = options.admits(state.life, Direction.OUTWARD)
        yield "call", change(phase=CALLING if allowed else CUT)
    elif request.phase == CALLING:
        yield "call answered", change(phase=CALLED)
    elif request.phase == CALLED:
        yield "answer", change(phase=ANSWERED, since=0)


def may_send(state):
    """Return whether a sender may not have heard of the leave yet."""
    return state.told < 0 or state.tick - state.told < HEARD


def arrive(state, change, options):
    """Return the state after a request reached the daemon."""
    if not options.admits(state.life, Direction.INWARD):
        return change(phase=NOT_RUN, since=0)._replace(arrival=state.tick)
    leaving = lifecycle.is_leaving(state.life)
    return change(phase=INSIDE, late=leaving)._replace(arrival=state.tick)
