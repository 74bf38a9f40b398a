"""Typed messages exchanged within a daemon and between daemons."""

import enum
import hashlib
import itertools
import math
import os
from typing import NamedTuple

# The lowest HTTP status that reports a failure of the server.
FIRST_SERVER_ERROR = 500
IDENTIFIER_BYTES = 16
HASH_BYTES = 7
HASH_RANGE = float(1 << 8 * HASH_BYTES)


class Importance(enum.IntEnum):
    """Importance of a call; calls of lower importance are shed first.

    The four lower ones are declared by operators. All calls of a preferred workspace
    go before those of other workspaces, and among themselves in the same order.
    """

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3
    PREFERRED_LOW = 4
    PREFERRED_NORMAL = 5
    PREFERRED_HIGH = 6
    PREFERRED_CRITICAL = 7

    @property
    def is_preferred(self):
        """Whether it is that of a preferred workspace."""
        return self >= Importance.PREFERRED_LOW

    @property
    def declared(self):
        """The importance that operators have declared for the call."""
        return Importance(self % Importance.PREFERRED_LOW)


DECLARED_IMPORTANCES = tuple(Importance)[: Importance.PREFERRED_LOW]


def prefer(importance):
    """Return an importance as that of a preferred workspace."""
    return Importance(importance.declared + Importance.PREFERRED_LOW)


class Outcome(enum.Enum):
    """Outcome of a request, as far as the answering daemon can determine it.

    NOT_RUN guarantees that no backend server has run the request and none will.
    Where that isn't certain, the outcome is UNKNOWN.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Reason for which a request was refused or its outcome is unknown."""

    NONE = "none"
    LEVEL = "admission-level"
    QUEUE = "queue-full"
    SHARE = "caller-share"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    NOT_READY = "not-ready"
    NO_ENDPOINT = "no-endpoint"
    NOT_SENT = "not-sent"
    BROKEN = "connection-broken"
    ABANDONED = "abandoned-attempt"
    LOG_DOWN = "log-down"
    KEY_CLAIMED = "key-claimed"
    KEY_AGE = "key-age"
    KEY_MISSING = "key-missing"
    REPEATS = "repeat-budget"
    SHED = "backend-shed"
    WRONG_BACKEND = "wrong-backend"
    NO_ROUTE = "no-route"
    TOO_DEEP = "too-deep"
    BAD_REQUEST = "bad-request"
    DEEPER = "refused-deeper"
    LIMIT = "backend-limit"
    CRASHED = "backend-crashed"
    SUSPECT = "suspect-of-crashes"
    CAUSES_CRASHES = "crashes-backends"
    UNKNOWN_KEY = "unknown-key"
    QUOTA = "workspace-quota"


class Refusal(NamedTuple):
    """Key by which refusals are counted: route and reason."""

    route: str
    reason: Reason


class Request(NamedTuple):
    """One attempt of one call, independent of the protocol.

    Attributes:
        attempt: Identifier of this attempt; a retry is a new attempt.
        root: Identifier of the root request, the same at every hop and attempt.
        service: Name of the called service.
        call: Name of the call of that service, from its resource, or "".
        method: HTTP method.
        path: Path and query at the backend server.
        importance: Declared importance.
        deadline: Time of the event loop's clock after which the caller no longer
            waits for an answer.
        key: Idempotency key of non-idempotent work, or "" for idempotent work.
        repeatable: Whether it may be sent again after an unknown outcome.
        budget: Maximum number of retries that this attempt and its nested calls may
            cause.
        caller: Name of the caller, for fairness.
        via: Services along the call path, the one at the entry daemon first.
        headers: Pairs of header name and value for the backend server.
        body: The complete body.
        again: Whether an earlier attempt of the same request reached a backend
            server, so that this attempt counts against the budget of repeats.
        due: Time of the event loop's clock by which the root request should be
            answered to meet its objective; infinite if it has no objective.
        parent_is_repeat: Whether the attempt that makes this call is itself a repeat,
            so that the call counts as a repeat too.
        calls_left: Number of calls like this one that the root request will probably
            make after it.
    """

    attempt: str
    root: str
    service: str
    call: str
    method: str
    path: str
    importance: Importance
    deadline: float
    key: str = ""
    repeatable: bool = True
    budget: int = 0
    caller: str = ""
    via: tuple[str, ...] = ()
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    again: bool = False
    due: float = math.inf
    parent_is_repeat: bool = False
    calls_left: int = 0


class Load(NamedTuple):
    """Load of the answering daemon, reported with an answer.

    Attributes:
        level: Admission level of the answering daemon, which refuses requests of a
            lower rank. 0 admits everything.
        below: Highest admission level further down the call graph on this call.
        in_service: Number of requests being processed by the backend server.
        waiting: Number of requests waiting for a slot.
        limit: Current limit on requests in service.
    """

    level: float = 0.0
    below: float = 0.0
    in_service: int = 0
    waiting: int = 0
    limit: int = 0


class Answer(NamedTuple):
    """Final answer to one attempt.

    Attributes:
        attempt: Identifier of the answered attempt; an answer to any other attempt
            is dropped.
        outcome: Outcome of the attempt.
        reason: Reason for an outcome other than COMPLETED.
        status: HTTP status for the caller.
        headers: Pairs of header name and value.
        body: The complete body.
        unused_retries: Number of retries granted to the attempt but not spent.
        retry_after: Seconds after which the caller may retry; 0 for no hint.
        from_downstream: Whether the refusal came from further down the call graph;
            upstream daemons then pass it on instead of retrying.
        load: Load of the answering daemon.
        reached_backend: Whether the attempt reached a backend server, even if that
            refused it.
    """

    attempt: str
    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    unused_retries: int = 0
    retry_after: float = 0.0
    from_downstream: bool = False
    load: Load = Load()
    reached_backend: bool = False

    @property
    def is_server_error(self):
        """Whether its status reports a failure of the backend server."""
        return self.status >= FIRST_SERVER_ERROR

    @property
    def succeeded(self):
        """Whether the backend server processed the request without an error."""
        return self.outcome is Outcome.COMPLETED and not self.is_server_error


# Requests that one backend server can process concurrently: more is a writer's error.
MAX_SLOTS = 1_000_000


class Endpoint(NamedTuple):
    """Backend server that other daemons can reach through the daemon beside it.

    Attributes:
        daemon: Identifier of the daemon beside it, new at every start.
        address: "host:port" of that daemon for calls between daemons.
        service: Name of the service, "" while no backend server is announced.
        zone: Availability zone.
        region: Region.
        slots: Number of requests that the backend server processes concurrently.
        leaving: Whether it accepts no new requests.
        leaving_backend: Identifier of the backend server if that has said that it
            leaves, else "".
    """

    daemon: str
    address: str
    service: str = ""
    zone: str = ""
    region: str = ""
    slots: int = 0
    leaving: bool = False
    leaving_backend: str = ""


def build_failure(request, outcome, reason, status=503, retry_after=0.0):
    """Return the `Answer` to an attempt that no backend server has answered.

    An attempt that has not run has caused no retries and returns its whole budget.
    With an unknown outcome, retries may have been spent and none are returned.

    Args:
        request: The attempt, a `Request`.
        outcome: NOT_RUN or UNKNOWN.
        reason: `Reason` of the failure.
        status: HTTP status.
        retry_after: Seconds after which the caller may retry; 0 for no hint.
    """
    unused = request.budget if outcome is Outcome.NOT_RUN else 0
    return Answer(
        request.attempt,
        outcome,
        reason,
        status=status,
        unused_retries=unused,
        retry_after=retry_after,
    )


_PREFIX = os.urandom(IDENTIFIER_BYTES // 2).hex()
_COUNTER = itertools.count(int.from_bytes(os.urandom(4), "big") << 16)


def new_identifier():
    """Return a new identifier for a request, an attempt or a daemon.

    A random prefix distinguishes the process from others; within the process a
    counter is enough. Reading random bytes from the system for each attempt costs
    more than the rest of its bookkeeping.
    """
    return f"{_PREFIX}{next(_COUNTER):016x}"


def rank_request(request):
    """Return the rank of a request: its importance plus a hash of its root.

    The hash is the same at every hop, so all services of a deep call graph shed the
    same root requests, instead of each shedding calls of different ones.

    Returns:
        A float from 0 to 8, one unit wide for each importance.
    """
    return request.importance + hash_root(request.root)


def hash_root(root):
    """Return a hash of a root request's identifier, uniform from 0 up to 1.

    The built-in `hash` is salted for each process, so every hop would shed
    different requests.
    """
    digest = hashlib.blake2b(root.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
