"""The outgoing calls of a stand-in backend server."""

import itertools
import json
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3

CALL_TIMEOUT = 10.0
# What the query of an outgoing call takes over from the request's.
KEPT = ("marker", "work", "direct")


class Call(NamedTuple):
    """One outgoing call.

    Attributes:
        service: Service to call.
        path: Path there, with its slash.
        rest: Calls that the called side has to make in turn.
    """

    service: str
    path: str
    rest: str = ""


class Called(NamedTuple):
    """What came of one outgoing call.

    Attributes:
        status: HTTP status.
        answer: The JSON of the body, None when there is none.
        retry_after: Value of ``Retry-After``, or "".
    """

    status: int
    answer: dict | None
    retry_after: str = ""


def parse_calls(text):
    """Read "submissions:/status,archive:/x" into calls."""
    parts = (part.partition(":") for part in text.split(",") if part)
    return tuple(Call(service, path or "/") for service, _, path in parts)


def parse_direct(text):
    """Read "archive=host:port+host:port,..." into addresses by service."""
    parts = (part.partition("=") for part in text.split(",") if part)
    return {service: tuple(addresses.split("+")) for service, _, addresses in parts}


def parse_next(text, path):
    """Read the query's ``next``; return a tuple with the one call or none."""
    if not text:
        return ()
    first, _, rest = text.partition(",")
    service, slash, own_path = first.partition("/")
    return (Call(service, f"/{own_path}" if slash else path, rest),)


def build_caller(settings):
    """Return a function that makes one outgoing call.

    Args:
        settings: `backend.Settings`.
    """
    http = urllib3.PoolManager(
        num_pools=32, maxsize=settings.slots + settings.queue, retries=False
    )
    turns = itertools.count()

    def find_url(call, direct):
        if not direct:
            return f"{settings.daemon}/services/{call.service}{call.path}"
        addresses = settings.direct.get(call.service)
        if not addresses:
            raise LookupError(f"no address given for {call.service}")
        return f"http://{addresses[next(turns) % len(addresses)]}{call.path}"

    def make_call(call, request, query):
        kept = {name: query[name] for name in KEPT if name in query}
        if call.rest:
            kept["next"] = call.rest
        headers = {"X-Request-Id": request}
        try:
            url = f"{find_url(call, 'direct' in query)}?{urlencode(kept)}"
            answer = http.request("GET", url, headers=headers, timeout=CALL_TIMEOUT)
            retry_after = answer.headers.get("Retry-After", "")
            return Called(answer.status, read_json(answer.data), retry_after)
        except (LookupError, urllib3.exceptions.HTTPError):
            return Called(502, None)

    return make_call


def read_json(body):
    """Return the JSON object in a body, None when there is none."""
    try:
        value = json.loads(body)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
