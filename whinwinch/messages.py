"""The typed messages that the parts of a daemon, and daemons, pass around."""

import enum
import hashlib
import itertools
import math
import os
from typing import NamedTuple

# HTTP statuses from here on say that the server failed.
FIRST_SERVER_ERROR = 500
IDENTIFIER_BYTES = 16
HASH_BYTES = 7
HASHES = float(1 << 8 * HASH_BYTES)


class Importance(enum.IntEnum):
    """How much a call matters; the higher, the later it is shed."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    CRITICAL = 3


class Outcome(enum.Enum):
    """What is known of a request once it has been answered.

    NOT_RUN is a fact: no backend server was given the request, and none will
    be. Where that isn't certain the outcome is UNKNOWN.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused or its outcome isn't known."""

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


class Refusal(NamedTuple):
    """What refusals are counted by: the route, and the reason."""

    route: str
    reason: Reason


class Request(NamedTuple):
    """One attempt of one call, as the modules of a daemon see it.

    Attributes:
        attempt: Identifier of this attempt; a retry is a new attempt.
        root: Identifier of the root request, the same at every hop and attempt.
        service: Name of the service wanted.
        call: Name of the call of that service, from its resource, or "".
        method: HTTP method.
        path: Path and query at the backend server.
        importance: Declared importance.
        deadline: Time of the event loop's clock after which no answer is wanted.
        key: Idempotency key of non-idempotent work, or "" for idempotent work.
        repeatable: Whether it may be sent again after an unknown outcome.
        budget: Retries that this attempt and all below it may cause, at most.
        caller: Name of the caller, for fairness.
        via: Services passed so far, the entry's first.
        headers: Pairs of header name and value for the backend server.
        body: The whole body.
        again: Whether an earlier attempt of the same request was handed to a
            backend server, so that this one draws on the budget of repeats.
        due: Time of the event loop's clock by which the root request should be
            answered, its objective; infinite where there is none.
        of_repeat: Whether the run that makes this call is itself a repeat, so that
            the call counts as one too.
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
    of_repeat: bool = False


class Load(NamedTuple):
    """What an answer says of the load of the daemon that answers.

    Attributes:
        level: Admission level of the called side: a request whose rank is
            lower would be refused there. 0 admits everything.
        below: Highest admission level met further down on the same call.
        in_service: Requests inside the backend server.
        waiting: Requests that wait for a slot.
        limit: Present limit on requests in service.
    """

    level: float = 0.0
    below: float = 0.0
    in_service: int = 0
    waiting: int = 0
    limit: int = 0


class Answer(NamedTuple):
    """The end of one attempt.

    Attributes:
        attempt: The attempt that this answers; an answer to another is dropped.
        outcome: What is known.
        reason: Why, when it isn't COMPLETED.
        status: HTTP status for the caller.
        headers: Pairs of header name and value.
        body: The whole body.
        unused: Retries granted to the attempt that it did not cause.
        retry_after: Seconds after which the caller may ask again; 0 for none.
        deeper: Whether the refusal came from further down; the hops above
            pass it up instead of retrying.
        load: Load of the answering side.
        offered: Whether a backend server was given the attempt, also where it
            turned it down.
    """

    attempt: str
    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    unused: int = 0
    retry_after: float = 0.0
    deeper: bool = False
    load: Load = Load()
    offered: bool = False

    @property
    def is_server_error(self):
        """Whether its status says that the backend server failed."""
        return self.status >= FIRST_SERVER_ERROR

    @property
    def succeeded(self):
        """Whether the backend server has done what was asked of it."""
        return self.outcome is Outcome.COMPLETED and not self.is_server_error


class Endpoint(NamedTuple):
    """A backend server as the other daemons know it.

    Attributes:
        daemon: Identifier of the daemon beside it, new at every start.
        address: "host:port" of that daemon for calls between daemons.
        service: Name of the service, "" while no backend server has announced.
        zone: Availability zone.
        region: Region.
        slots: Requests that the backend server can work on at once.
        leaving: Whether it takes no new work.
    """

    daemon: str
    address: str
    service: str = ""
    zone: str = ""
    region: str = ""
    slots: int = 0
    leaving: bool = False


def build_failure(request, outcome, reason, status=503, retry_after=0.0):
    """Return the answer to an attempt that no backend server has answered.

    What was not run has caused no retries and returns its whole budget; of
    what is unknown nothing can be returned.

    Args:
        request: The attempt.
        outcome: NOT_RUN or UNKNOWN.
        reason: Why.
        status: HTTP status.
        retry_after: Seconds after which the caller may ask again.
    """
    unused = request.budget if outcome is Outcome.NOT_RUN else 0
    return Answer(
        request.attempt,
        outcome,
        reason,
        status=status,
        unused=unused,
        retry_after=retry_after,
    )


_PREFIX = os.urandom(IDENTIFIER_BYTES // 2).hex()
_COUNTER = itertools.count(int.from_bytes(os.urandom(4), "big") << 16)


def new_identifier():
    """Return a new identifier for a request, an attempt or a daemon.

    Random is what tells this process from others; within it a count is enough,
    and asking the system for random bytes for each attempt costs more than the
    rest of its bookkeeping.
    """
    return f"{_PREFIX}{next(_COUNTER):016x}"


def rank_request(request):
    """Return the rank of a request: importance first, then a hash of its root.

    The hash is the same at every hop, so a deep graph sheds the same whole
    requests everywhere instead of a few legs of each.

    Returns:
        A float from 0 to 4, one unit wide for each importance.
    """
    return request.importance + hash_root(request.root)


def hash_root(root):
    """Spread root request identifiers evenly over 0 to 1.

    The standard `hash` is salted for each process, which would make every
    hop shed different requests.
    """
    digest = hashlib.blake2b(root.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASHES
