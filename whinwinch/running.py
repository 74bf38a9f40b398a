"""Attempts that are being processed by the local backend server.

A backend server passes on only the request id with its outgoing calls. The other
properties that nested calls inherit (deadline, importance, path) are looked up here.
"""

from typing import NamedTuple

from . import messages


class NestedCalls(NamedTuple):
    """Summary of the answered nested calls of an attempt.

    Attributes:
        calls: Number of calls that have been answered.
        level: Highest admission level reported by an answer.
        refused: Whether any call ended as refused or unknown.
        retry_after: Longest retry delay named by an answer, in seconds.
    """

    calls: int = 0
    level: float = 0.0
    refused: bool = False
    retry_after: float = 0.0


class RunningAttempts:
    """Attempts that are being processed by the local backend server."""

    def __init__(self):
        self._requests = {}
        self._nested_calls = {}

    def start(self, request):
        """Record that an attempt is passed to the backend server."""
        self._requests[request.attempt] = request
        self._nested_calls[request.attempt] = NestedCalls()

    def find(self, attempt):
        """Return the request of an attempt, or None if it is not being processed."""
        return self._requests.get(attempt)

    def record_answer(self, attempt, answer):
        """Record the answer to a nested call of an attempt."""
        nested_calls = self._nested_calls.get(attempt)
        if nested_calls is not None:
            self._nested_calls[attempt] = _add_answer(nested_calls, answer)

    def finish(self, attempt):
        """Forget an attempt and return its `NestedCalls`."""
        self._requests.pop(attempt, None)
        return self._nested_calls.pop(attempt, NestedCalls())

    def __len__(self):
        return len(self._requests)


def _add_answer(nested_calls, answer):
    refused = answer.outcome is not messages.Outcome.COMPLETED or answer.from_downstream
    return NestedCalls(
        calls=nested_calls.calls + 1,
        level=max(nested_calls.level, answer.load.level, answer.load.below),
        refused=nested_calls.refused or refused,
        retry_after=max(nested_calls.retry_after, answer.retry_after),
    )
