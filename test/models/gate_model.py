"""Model of one full backend server: which requests it serves and which it drops.

A state is the history of events, which the package's own gate processes from the
start each time. Initially the only slot is in use and the queue is nearly full, so
that short histories reach the relevant states.
"""

from typing import NamedTuple

from minicheck import Protocol

from whinwinch import gate, messages
from whinwinch.gate import Verdict
from whinwinch.messages import Importance, Reason

# Importances of the requests; the other ones add no new behaviour.
IMPORTANCES = (Importance.LOW, Importance.HIGH, Importance.CRITICAL)
# One request in service, and the rest waiting: one fewer than the minimum length of
# a full queue.
INITIAL_HISTORY = (Importance.HIGH, Importance.LOW, Importance.HIGH, Importance.LOW)
STEP_SECONDS = 0.001
FAR_DEADLINE = 1000.0
ENDS = "ends"


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        history: Events in order: the importance of a request that arrived, or
            `ENDS` for the end of the request in service.
    """

    history: tuple = INITIAL_HISTORY


class Choice(NamedTuple):
    """A decision that chose one of the waiting requests.

    Attributes:
        chosen: Importance of the request that received the slot or was dropped.
        others: Importances of the requests that kept waiting.
    """

    chosen: int
    others: tuple[int, ...]


class Outcome(NamedTuple):
    """Decisions of the gate over a history.

    Attributes:
        admitted: `Choice` for each slot that a waiting request received.
        dropped: `Choice` for each request that was dropped from the full queue.
        is_busy: Whether a request is in service.
    """

    admitted: tuple[Choice, ...]
    dropped: tuple[Choice, ...]
    is_busy: bool


def make_protocol(events, name="gate"):
    """Return the model as a `Protocol`.

    Args:
        events: Number of events after the initial history.
        name: Name of the protocol.
    """
    return Protocol(
        name=name,
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(find_steps(state, events)),
        invariants={
            "a free slot goes to the most important waiting request": (
                lambda fields: all(
                    each.chosen >= max(each.others, default=each.chosen)
                    for each in run(fields["history"]).admitted
                )
            ),
            "no request is dropped while a less important one waits": (
                lambda fields: all(
                    each.chosen <= min(each.others, default=each.chosen)
                    for each in run(fields["history"]).dropped
                )
            ),
        },
    )


def find_steps(state, events):
    """Yield each possible step as a pair of its label and the next state."""
    if len(state.history) >= len(INITIAL_HISTORY) + events:
        return
    for importance in IMPORTANCES:
        yield f"{importance.name} arrives", State((*state.history, importance))
    if run(state.history).is_busy:
        yield "the request in service ends", State((*state.history, ENDS))


def run(history):
    """Run the package's gate through a history and return its `Outcome`."""
    tested_gate = gate.Gate(1, 0.0, ())
    importances, waiting, in_service = {}, [], []
    admitted, dropped = [], []

    def record_decisions(decisions):
        for decision in decisions:
            name = decision.attempt
            waiting.remove(name)
            others = tuple(int(importances[other]) for other in waiting)
            choice = Choice(int(importances[name]), others)
            if decision.verdict is Verdict.ADMIT:
                in_service.append(name)
                admitted.append(choice)
            elif decision.reason is Reason.QUEUE:
                dropped.append(choice)

    for number, event in enumerate(history):
        now = number * STEP_SECONDS
        if event == ENDS:
            record_decisions(
                tested_gate.finish(in_service.pop(0), now, STEP_SECONDS, True)
            )
            continue
        name = f"r{number}"
        importances[name] = event
        decision = tested_gate.offer(build_request(name, event), now)
        if decision.verdict is Verdict.ADMIT:
            in_service.append(name)
            continue
        waiting.append(name)
        if decision.verdict is Verdict.REFUSE:
            record_decisions([decision])
        record_decisions(tested_gate.expire(now))
    return Outcome(tuple(admitted), tuple(dropped), bool(in_service))


def build_request(name, importance):
    """Return a request from another daemon with a deadline that is never reached."""
    return messages.Request(
        name, name, "s", "c", "GET", "/", importance, FAR_DEADLINE, via=("entry",)
    )
