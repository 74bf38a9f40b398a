"""Nested calls of a stand-in backend server."""

import itertools
import json
from typing import NamedTuple
from urllib.parse import urlencode

import urllib3

CALL_TIMEOUT = 10.0  # seconds
# Query parameters that a nested call copies from the request.
PROPAGATED_PARAMETERS = ("marker", "work", "direct")


class Call(NamedTuple):
    """A nested call.

    Attributes:
        service: Service to call.
        path: Path of the request, starting with a slash.
        rest: Calls that the called backend server has to make, as a ``next`` text.
    """

    service: str
    path: str
    rest: str = ""


class CallResult(NamedTuple):
    """Result of a nested call.

    Attributes:
        status: HTTP status.
        answer: JSON object in the response's body, None when there is none.
        retry_after: Value of ``Retry-After``, or "".
    """

    status: int
    answer: dict | None
    retry_after: str = ""


def parse_calls(text):
    """Parse calls such as "submissions:/status,archive:/x"."""
    parts = (part.partition(":") for part in text.split(",") if part)
    return tuple(Call(service, path or "/") for service, _, path in parts)


def parse_direct(text):
    """Parse "archive=host:port+host:port,..." into addresses by service name."""
    parts = (part.partition("=") for part in text.split(",") if part)
    return {service: tuple(addresses.split("+")) for service, _, addresses in parts}


def parse_next(text, path):
    """Parse the query parameter ``next``.

    Args:
        text: Value of the parameter.
        path: Path of the request, for a service without a path.

    Returns:
        A tuple with one `Call`, or an empty one.
    """
    if not text:
        return ()
    first, _, rest = text.partition(",")
    service, slash, call_path = first.partition("/")
    return (Call(service, f"/{call_path}" if slash else path, rest),)


def build_caller(settings):
    """Return a function that makes one nested call and returns its `CallResult`.

    Args:
        settings: `backend.Settings`.
    """
    http = urllib3.PoolManager(
        num_pools=32, maxsize=settings.slots + settings.queue, retries=False
    )
    turns = itertools.count()

    def build_url(call, direct):
        if not direct:
            return f"{settings.daemon}/services/{call.service}{call.path}"
        addresses = settings.direct.get(call.service)
        if not addresses:
            raise LookupError(f"no direct address of service {call.service}")
        return f"http://{addresses[next(turns) % len(addresses)]}{call.path}"

    def make_call(call, request, query):
        parameters = {
            name: query[name] for name in PROPAGATED_PARAMETERS if name in query
        }
        if call.rest:
            parameters["next"] = call.rest
        headers = {"X-Request-Id": request}
        try:
            url = f"{build_url(call, 'direct' in query)}?{urlencode(parameters)}"
            answer = http.request("GET", url, headers=headers, timeout=CALL_TIMEOUT)
            retry_after = answer.headers.get("Retry-After", "")
            return CallResult(answer.status, parse_object(answer.data), retry_after)
        except (LookupError, urllib3.exceptions.HTTPError):
            return CallResult(502, None)

    return make_call


def parse_object(body):
    """Return the JSON object in a body, None when the body is anything else."""
    try:
        value = json.loads(body)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
