"""Requests inside the own backend server, found again by its outgoing calls.

A backend server hands on nothing but the request id. What else has to travel
(deadline, importance, path) is looked up here.
"""

from typing import NamedTuple

from . import messages


class Below(NamedTuple):
    """What the calls below an attempt have met.

    Attributes:
        calls: Calls that have been answered.
        level: Highest admission level.
        refused: Whether one of them ended as refused or unknown.
        retry_after: Longest time to come back that they named, in seconds.
    """

    calls: int = 0
    level: float = 0.0
    refused: bool = False
    retry_after: float = 0.0


class Running:
    """Attempts inside the own backend server."""

    def __init__(self):
        self._requests = {}
        self._below = {}

    def start(self, request):
        """Note that an attempt is handed to the backend server."""
        self._requests[request.attempt] = request
        self._below[request.attempt] = Below()

    def find(self, attempt):
        """Return the request of an attempt, or None when it isn't inside."""
        return self._requests.get(attempt)

    def note_answer(self, attempt, answer):
        """Note the end of a call that an attempt has made."""
        below = self._below.get(attempt)
        if below is not None:
            self._below[attempt] = _merge_below(below, answer)

    def finish(self, attempt):
        """Forget an attempt and return what the calls below it have met."""
        self._requests.pop(attempt, None)
        return self._below.pop(attempt, Below())

    def __len__(self):
        return len(self._requests)


def _merge_below(below, answer):
    refused = answer.outcome is not messages.Outcome.COMPLETED or answer.deeper
    return Below(
        calls=below.calls + 1,
        level=max(below.level, answer.load.level, answer.load.below),
        refused=below.refused or refused,
        retry_after=max(below.retry_after, answer.retry_after),
    )
