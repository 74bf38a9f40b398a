"""Model of one full backend server: who gets a slot, who is dropped for room.

A state is the history of what happened; the package's own gate is run through it
anew. One slot is taken and the queue is nearly full at the start, so that short
histories reach what matters.
"""

from typing import NamedTuple

from minicheck import Protocol

from whinwinch import gate, messages
from whinwinch.gate import Verdict
from whinwinch.messages import Importance, Reason

# Requests differ by these; more kinds show nothing new.
KINDS = (Importance.LOW, Importance.HIGH, Importance.CRITICAL)
# One in service, and waiting ones up to one place below the shortest queue.
START = (Importance.HIGH, Importance.LOW, Importance.HIGH, Importance.LOW)
STEP_SECONDS = 0.001
FAR = 1000.0
ENDS = "ends"


class State(NamedTuple):
    """The whole model: what has happened, each a kind that arrived, or `ENDS`."""

    history: tuple = START


class Taken(NamedTuple):
    """A decision that took one request before others.

    Attributes:
        taken: Importance of the request that got the slot, or was dropped.
        others: Importances of those that waited then and still wait.
    """

    taken: int
    others: tuple[int, ...]


class Outcome(NamedTuple):
    """What a history led to.

    Attributes:
        admitted: `Taken` of each slot that was given to a waiting request.
        dropped: `Taken` of each request that was refused for want of room.
        is_busy: Whether something is in service.
    """

    admitted: tuple[Taken, ...]
    dropped: tuple[Taken, ...]
    is_busy: bool


def make_protocol(events, name="gate"):
    """Return the model as a `Protocol`.

    Args:
        events: How many things happen after the start.
        name: Name of the protocol.
    """
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(find_steps(state, events)),
        invariants={
            "a free slot goes to the most important that waits": (
                lambda fields: all(
                    each.taken >= max(each.others, default=each.taken)
                    for each in run(fields["history"]).admitted
                )
            ),
            "nobody is dropped for room while a lesser one waits": (
                lambda fields: all(
                    each.taken <= min(each.others, default=each.taken)
                    for each in run(fields["history"]).dropped
                )
            ),
        },
    )


def find_steps(state, events):
    """Yield each step as a pair of label and next state."""
    if len(state.history) >= len(START) + events:
        return
    for kind in KINDS:
        yield f"{kind.name} arrives", State((*state.history, kind))
    if run(state.history).is_busy:
        yield "the one in service ends", State((*state.history, ENDS))


def run(history):
    """Run the package's gate through a history and return its `Outcome`."""
    guard = gate.Gate(1, 0.0, ())
    importances, waiting, inside = {}, [], []
    admitted, dropped = [], []

    def take(decisions):
        for decision in decisions:
            name = decision.attempt
            waiting.remove(name)
            others = tuple(int(importances[other]) for other in waiting)
            taken = Taken(int(importances[name]), others)
            if decision.verdict is Verdict.ADMIT:
                inside.append(name)
                admitted.append(taken)
            elif decision.reason is Reason.QUEUE:
                dropped.append(taken)

    for number, event in enumerate(history):
        now = number * STEP_SECONDS
        if event == ENDS:
            take(guard.finish(inside.pop(0), now, STEP_SECONDS, True))
            continue
        name = f"r{number}"
        importances[name] = event
        decision = guard.offer(build_request(name, event), now)
        if decision.verdict is Verdict.ADMIT:
            inside.append(name)
            continue
        waiting.append(name)
        if decision.verdict is Verdict.REFUSE:
            take([decision])
        take(guard.expire(now))
    return Outcome(tuple(admitted), tuple(dropped), bool(inside))


def build_request(name, importance):
    """Return a request whose work has begun elsewhere, with time enough."""
    return messages.Request(
        name, name, "s", "c", "GET", "/", importance, FAR, via=("entry",)
    )
