"""Types in which a daemon and its local backend server are described to each other."""

from collections.abc import Callable
from typing import NamedTuple


class Backend(NamedTuple):
    """The local backend server, as it announced itself.

    Attributes:
        identity: Identifier of the backend server.
        service: Name of its service.
        slots: Number of requests that it can process concurrently.
        leaving: Whether it accepts no new work.
        start_time_ms: Start time of its process in milliseconds of its wall clock, 0
            when it isn't announced.
    """

    identity: str
    service: str
    slots: int
    leaving: bool = False
    start_time_ms: int = 0

    def is_same_process(self, other):
        """Return whether another `Backend` is the same process."""
        is_same_start = self.start_time_ms == other.start_time_ms
        return self.identity == other.identity and is_same_start


class Notice(NamedTuple):
    """What a backend server tells of itself with an answer.

    Attributes:
        rate: Requests a second that it takes from all daemons together, None if it
            names no limit.
        leaving: Whether it is leaving.
    """

    rate: float | None = None
    leaving: bool = False


class BackendLimit(NamedTuple):
    """Event: the backend server begins or ceases to name a limit.

    Attributes:
        identity: Identifier of the backend server.
        state: "named" or "ended".
        rate: Requests a second that it takes, None without a limit.
    """

    identity: str
    state: str
    rate: float | None


class Dialect(NamedTuple):
    """Functions that translate between attempts and the backend server's protocol.

    Attributes:
        format_request: Formats a request, given the seconds until its deadline and the
            backend server's identity, as the bytes to send.
        parse_answer: Converts a request and its `http1.messages.HttpResponse` to an
            `Answer`.
        is_answer_to: Returns whether a `http1.messages.HttpResponse` is the answer to
            a request.
        read_notice: Returns the `Notice` of a `http1.messages.HttpResponse`.
        find_identifier: Returns the identifier of a request in the headers of the
            request or of its answer, "" if there is none.
    """

    format_request: Callable
    parse_answer: Callable
    is_answer_to: Callable
    read_notice: Callable
    find_identifier: Callable
