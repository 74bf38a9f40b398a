"""Log lines of routing and placement decisions, one for each."""

from typing import NamedTuple

from absl import logging

from . import events


class Placed(NamedTuple):
    """A request was sent to an endpoint."""

    root: str
    attempt: str
    service: str
    call: str
    importance: str
    endpoint: str
    zone: str
    ground: str
    tries: int


class Refused(NamedTuple):
    """A request was refused without having been run."""

    root: str
    attempt: str
    service: str
    call: str
    importance: str
    caller: str
    reason: str
    retry_after: float
    at: str


class Answered(NamedTuple):
    """An attempt was answered, and what follows from it."""

    root: str
    attempt: str
    service: str
    endpoint: str
    outcome: str
    reason: str
    status: int
    time_left: float
    again: bool
    ground: str


class Claimed(NamedTuple):
    """The log has decided who runs a piece of non-idempotent work."""

    root: str
    attempt: str
    key: str
    verdict: str


def log_decision(decision):
    """Log a decision as one line: its kind, then its fields."""
    events.sample(type(decision).__name__.lower(), decision)
    if logging.get_verbosity() >= logging.INFO:
        logging.info("%s", format_decision(decision))


def log_refusal(request, reason, retry_after, at):
    """Log that a `messages.Request` is refused, at the entry or a gatekeeper."""
    log_decision(
        Refused(
            request.root,
            request.attempt,
            request.service,
            request.call,
            request.importance.name,
            request.caller,
            reason.value,
            retry_after,
            at,
        )
    )


def log_answer(attempt, answer, endpoint, left, again, ground):
    """Log what follows from an answer that isn't whole.

    Args:
        attempt: The `messages.Request` that was sent.
        answer: Its `messages.Answer`.
        endpoint: The `messages.Endpoint` that it was sent to.
        left: Seconds until the deadline.
        again: Whether it is tried again.
        ground: Why, or why not.
    """
    log_decision(
        Answered(
            attempt.root,
            attempt.attempt,
            attempt.service,
            endpoint.address,
            answer.outcome.value,
            answer.reason.value,
            answer.status,
            left,
            again,
            ground,
        )
    )


def format_decision(decision):
    """Return the line for a decision.

    Values are quoted where they hold a space, a quote or a line break: a
    caller's text must not be able to forge a second line.
    """
    kind = type(decision).__name__.lower()
    pairs = (
        f"{name}={_format_value(value)}" for name, value in decision._asdict().items()
    )
    return f"{kind} {' '.join(pairs)}"


def _format_value(value):
    if isinstance(value, float):
        return f"{value:.6f}"
    text = str(value)
    if text.isprintable() and not any(mark in text for mark in ' "='):
        return text
    return ascii(text)
