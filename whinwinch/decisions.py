"""Logging of routing and placement decisions, one line for each decision."""

from typing import NamedTuple

from absl import logging

from . import events

# Group of the lines about non-idempotent work. It has limits of its own: without them
# the many lines about other work would crowd out those that show whether it ran twice.
NON_IDEMPOTENT_GROUP = "non-idempotent"


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


class Exchanged(NamedTuple):
    """Non-idempotent work was sent to the backend server and turned down or repeated.

    Attributes:
        request: Identifier that the caller gave the request.
        backend: Identifier of the backend server.
        connection: Number of the connection, 0 if none could be opened.
        use: Number of requests that the connection has carried, this one included.
        repeated: Whether an earlier attempt of the request reached a backend server.
        seconds: Seconds until the answer.
    """

    root: str
    attempt: str
    request: str
    service: str
    backend: str
    connection: int
    use: int
    repeated: bool
    outcome: str
    reason: str
    status: int
    seconds: float


class Dropped(NamedTuple):
    """An answer of the backend server was dropped: it is not the awaited one.

    Attributes:
        request: Identifier that the caller gave the pending request.
        connection: Number of the connection.
        status: HTTP status of the dropped answer.
        answered: Identifier of the request that it answers, "" if it has none.
    """

    root: str
    attempt: str
    request: str
    connection: int
    status: int
    answered: str


class Resent(NamedTuple):
    """A call of non-idempotent work was sent again after its connection was lost.

    Attributes:
        endpoint: Address of the called daemon.
        seconds: Seconds since the call was first sent.
    """

    root: str
    attempt: str
    service: str
    endpoint: str
    seconds: float


def log_decision(decision, is_repeatable=True):
    """Log a decision as one line: its kind, followed by its fields.

    Args:
        decision: `NamedTuple` with the fields.
        is_repeatable: Whether the request may be repeated after an unknown outcome.
    """
    group = "" if is_repeatable else NON_IDEMPOTENT_GROUP
    events.sample(type(decision).__name__.lower(), decision, group=group)
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
        ),
        request.repeatable,
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
        ),
        attempt.repeatable,
    )


def log_resend(request, endpoint, seconds):
    """Log that a call is sent again, if its work must not run twice.

    Args:
        request: The `messages.Request`.
        endpoint: Address of the called daemon.
        seconds: Seconds since the call was first sent.
    """
    if request.repeatable:
        return
    log_decision(
        Resent(request.root, request.attempt, request.service, endpoint, seconds),
        request.repeatable,
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
