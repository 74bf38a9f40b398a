"""What the resource API and its clients say to each other.

Apart from the API itself, so that a client need not load its HTTP server.
"""

from typing import NotRequired, TypedDict

MOUNT = "/admin"
# A change that is sent again with the same key, here or to another daemon,
# takes effect once.
REPEAT_HEADER = "Idempotency-Key"

# Seconds between the lines that are sent when nothing changes. Without them a
# client whose connection broke silently would wait for changes that can't come,
# and its place would stay taken here, because only a failed write shows it.
HEARTBEAT = 5.0

TYPE_CHANGED = "changed"
TYPE_DELETED = "deleted"
TYPE_CURRENT = "current"
TYPE_TOO_OLD = "too-old"


class FindingForm(TypedDict):
    """JSON form of a finding."""

    place: str
    problem: str


class ErrorForm(TypedDict):
    """JSON form of an error."""

    code: str
    message: str
    findings: list[FindingForm]
    present_version: NotRequired[int]
    may_have_taken_effect: NotRequired[bool]
    change_id: NotRequired[str]


class ServiceAnswer(TypedDict):
    """JSON form of an accepted resource."""

    kind: str
    name: str
    version: int
    author: str
    changed: float
    spec: dict


class ServiceList(TypedDict):
    """JSON form of all services with the version of the collection."""

    version: int
    services: list[ServiceAnswer]


class ChangeAnswer(TypedDict):
    """JSON form of an accepted change whose resource isn't there any more."""

    name: str
    version: int


class HistoryAnswer(TypedDict):
    """JSON form of the history, the newest entry first."""

    version: int
    changes: list[dict]


class WatchLine(TypedDict):
    """JSON form of one line of a watch.

    A line of type ``current`` says that nothing changed up to its version, one
    of type ``too-old`` that the watch can't go on and the list is needed.
    """

    type: str
    version: int
    kind: NotRequired[str]
    name: NotRequired[str]
    spec: NotRequired[dict]
    change_id: NotRequired[str]
    author: NotRequired[str]
    changed: NotRequired[float]
