"""Logging of routing and placement decisions, one line for each decision."""

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
    """A request was refused and has not run."""

    root: str
    attempt: str
    service: str
    call: str
    importance: str
    caller: str
    reason: str
    retry_after: float
    at: str


class Unidentified(NamedTuple):
    """A request was refused because it belongs to no workspace.

    Attributes:
        key: "unknown" if it carries a key, else "none".
        version: Version of the configuration in force.
    """

    root: str
    attempt: str
    call: str
    reason: str
    key: str
    version: int


class OverQuota(NamedTuple):
    """A request was refused because its workspace has used its quota.

    Attributes:
        rate: Rate of the quota in requests a second.
        demand: Requests a second that arrive at all daemons that are heard.
        admitted: Those of them that are admitted.
        daemons: Daemons that are heard, 0 if this one is alone.
        age: Seconds since the last report of the others.
        version: Version of the configuration in force.
    """

    root: str
    attempt: str
    call: str
    importance: str
    workspace: str
    reason: str
    retry_after: float
    rate: float
    demand: float
    admitted: float
    daemons: int
    age: float
    version: int


class Answered(NamedTuple):
    """An attempt was answered, with the decision on whether it is retried."""

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
    """The log has decided whether an attempt may run non-idempotent work."""

    root: str
    attempt: str
    key: str
    verdict: str


def log_decision(decision):
    """Log a decision as one line: its kind, followed by its fields."""
    events.sample(type(decision).__name__.lower(), decision)
    if logging.get_verbosity() >= logging.INFO:
        logging.info("%s", format_decision(decision))


def log_refusal(request, reason, retry_after, at):
    """Log that a request is refused.

    Args:
        request: The `messages.Request`.
        reason: `messages.Reason` of the refusal.
        retry_after: Seconds after which the caller may retry.
        at: Where it is refused: "entry" or "gatekeeper".
    """
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


def log_unidentified(request, reason, has_key, version):
    """Log that a request is refused because it belongs to no workspace.

    Args:
        request: The `messages.Request`, which doesn't contain the key.
        reason: `messages.Reason` of the refusal.
        has_key: Whether it carries a key.
        version: Version of the configuration in force.
    """
    log_decision(
        Unidentified(
            request.root,
            request.attempt,
            request.call,
            reason.value,
            "unknown" if has_key else "none",
            version,
        )
    )


def log_over_quota(request, reason, retry_after, state, version):
    """Log that a request is refused because its workspace has used its quota.

    Args:
        request: The `messages.Request`.
        reason: `messages.Reason` of the refusal.
        retry_after: Seconds after which the caller may retry.
        state: `workspaces.ledger.QuotaState`.
        version: Version of the configuration in force.
    """
    log_decision(
        OverQuota(
            request.root,
            request.attempt,
            request.call,
            request.importance.name,
            state.workspace,
            reason.value,
            retry_after,
            state.rate,
            state.demand,
            state.admitted,
            state.daemons,
            state.age,
            version,
        )
    )


def log_answer(attempt, answer, endpoint, time_left, again, ground):
    """Log an answer other than a success, and whether the request is retried.

    Args:
        attempt: The `messages.Request` that was sent.
        answer: Its `messages.Answer`.
        endpoint: The `messages.Endpoint` that it was sent to.
        time_left: Seconds until the deadline.
        again: Whether the request is retried.
        ground: Reason why it is retried or not.
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
            time_left,
            again,
            ground,
        )
    )


def format_decision(decision):
    """Return the log line of a decision.

    Values that contain a space, a quote or a line break are quoted, so that text
    supplied by a caller cannot forge a second line.
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
    if text.isprintable() and not any(character in text for character in ' "='):
        return text
    return ascii(text)
