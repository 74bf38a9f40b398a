"""JSON forms, header and paths shared by the resource API and its clients.

They are separate from the API so that a client does not load the HTTP server.
"""

from typing import NotRequired, TypedDict

MOUNT = "/admin"
# A change that is sent again with the same key, to any daemon, takes effect once.
KEY_HEADER = "Idempotency-Key"

# Seconds between the lines of a watch while nothing changes. Without them a client
# would not notice that its connection broke silently. The daemon, which notices only
# when a write fails, would never release the place of that watch.
HEARTBEAT_INTERVAL = 5.0

TYPE_CHANGED = "changed"
TYPE_DELETED = "deleted"
TYPE_CURRENT = "current"
TYPE_TOO_OLD = "too-old"


class FindingForm(TypedDict):
    """JSON form of an `errors.Finding`."""

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
    """JSON form of all services and the version of the collection."""

    version: int
    services: list[ServiceAnswer]


class ChangeAnswer(TypedDict):
    """JSON form of an accepted change whose resource was changed or deleted since."""

    name: str
    version: int


class HistoryAnswer(TypedDict):
    """JSON form of the history, newest entry first."""

    version: int
    changes: list[dict]


class WatchLine(TypedDict):
    """JSON form of one line of a watch.

    A line of type ``current`` reports that all changes up to its version were
    sent. A line of type ``too-old`` reports that the watch cannot continue and
    the client has to list the services again.
    """

    type: str
    version: int
    kind: NotRequired[str]
    name: NotRequired[str]
    spec: NotRequired[dict]
    change_id: NotRequired[str]
    author: NotRequired[str]
    changed: NotRequired[float]
