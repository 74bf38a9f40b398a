"""Validation of the resources in which operators declare services and calls.

A resource of kind ``Service`` states the importance of a service's calls, how
many retries one request may cause, how long a caller waits and which calls must
never run twice. Without it, all calls would be treated alike under overload: a
royalty payout would be shed as readily and retried as freely as a catalog refresh.
The constants below are defaults and limits on input.

There are two ways to parse a resource. `check_resource` is strict: it protects
the API and raises all findings. `parse_resource` is lenient: it parses what the
log contains and never fails, because a daemon that rejected a record accepted by
others would act on a different configuration.
"""

import difflib
import json
import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import unquote

from .errors import Finding, raise_findings
from .messages import DECLARED_IMPORTANCES, Importance

KIND_SERVICE = "Service"

# A DNS label (RFC 1123), so that a service's name fits in URLs and host names.
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}|\*")
ANY_METHOD = "*"
ANY_SEGMENT = "*"
# Methods that HTTP does not define as idempotent (RFC 9110, 9.2.2).
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})

# Every call of the service is compared at each hop of a request. Matching 200
# calls takes about 0.1 ms of the 1.4 ms allowed for the whole path.
MAX_CALLS = 200
MAX_PATH = 512
MAX_SEGMENTS = 32
# A resource must fit into one log record and one message between daemons.
MAX_RESOURCE_BYTES = 64 * 1024
# Bounds the length of an error response; more findings are rarely fixed at once.
MAX_FINDINGS = 100

# Retries per root request. One retry makes up for one lost attempt, so three let
# a request with a call depth of 16 survive faults in three places. The budget
# avoids multiplication at each hop: 3 retries at each of 16 hops would be 4**16
# attempts.
DEFAULT_RETRY_BUDGET = 3
MAX_RETRY_BUDGET = 100
# Timeouts in seconds. The default suits callers that are people waiting for a page.
DEFAULT_TIMEOUT = 2.0
MIN_TIMEOUT = 0.001
MAX_TIMEOUT = 3600.0
# Maximum waiting time in seconds. The default adds no limit: the gate already ends
# a wait that no longer leaves time for the work (see docs/measurements.md). A
# service whose callers give up before their deadline should declare less.
DEFAULT_MAX_WAIT = MAX_TIMEOUT
# Seconds after its creation during which an idempotency key may be used. A caller's
# clock may be off by minutes, so a window below one minute would refuse valid keys.
DEFAULT_KEY_WINDOW = 900.0
MIN_KEY_WINDOW = 60.0
MAX_KEY_WINDOW = 7 * 24 * 3600.0


class CallForm(TypedDict):
    """JSON form of one call of a service."""

    name: str
    method: NotRequired[str]
    path: NotRequired[str]
    importance: NotRequired[str]
    idempotent: NotRequired[bool]
    key_window: NotRequired[float]


class ServiceForm(TypedDict):
    """JSON form of the ``spec`` of a service."""

    importance: NotRequired[str]
    retry_budget: NotRequired[int]
    timeout: NotRequired[float]
    max_wait: NotRequired[float]
    calls: NotRequired[list[CallForm]]


class ResourceForm(TypedDict):
    """JSON form of a resource."""

    kind: str
    name: str
    spec: ServiceForm


class CallSpec(NamedTuple):
    """A validated call of a service.

    Attributes:
        name: Name of the call, "" for calls that no resource declares.
        method: HTTP method in upper case, or ``*`` for all.
        path: Path prefix as declared.
        importance: Importance of the call.
        idempotent: Whether the call may run more than once. If not, requests
            need an idempotency key.
        idempotency_declared: Whether the resource states `idempotent`.
        repeatable: Whether the call may be sent again after an unknown outcome.
            A POST or PATCH that doesn't declare `idempotent` needs no key, but
            is not repeated either.
        key_window: Seconds for which its idempotency keys are valid.
        segments: Decoded segments of the path prefix.
    """

    name: str = ""
    method: str = ANY_METHOD
    path: str = "/"
    importance: Importance = Importance.NORMAL
    idempotent: bool = True
    idempotency_declared: bool = False
    repeatable: bool = True
    key_window: float = DEFAULT_KEY_WINDOW
    segments: tuple[str, ...] = ()


class ServiceSpec(NamedTuple):
    """A validated service.

    Attributes:
        name: Name of the service.
        importance: Importance of calls that don't state their own.
        retry_budget: Maximum number of retries caused by one root request over
            all hops.
        timeout: Default and maximum time until the deadline of a call, in
            seconds.
        max_wait: Maximum time that a request waits for a slot, in seconds.
        calls: The declared calls, most specific first.
    """

    name: str
    importance: Importance = Importance.NORMAL
    retry_budget: int = DEFAULT_RETRY_BUDGET
    timeout: float = DEFAULT_TIMEOUT
    max_wait: float = DEFAULT_MAX_WAIT
    calls: tuple[CallSpec, ...] = ()


class ServiceResource(NamedTuple):
    """A validated resource of kind ``Service``."""

    kind: str
    name: str
    spec: ServiceSpec


class ParseResult(NamedTuple):
    """A leniently parsed resource with the findings about it.

    Attributes:
        resource: The resource, with defaults in place of invalid values.
        findings: One `Finding` for each problem.
    """

    resource: ServiceResource
    findings: tuple[Finding, ...]


class _Field(NamedTuple):
    """Rule for one field of a JSON object.

    Attributes:
        parse: Returns the validated value, or raises `ValueError` with the problem.
        default: Value if the field is absent or invalid.
        required: Whether the absence of the field is a finding.
    """

    parse: Callable[[Any], Any]
    default: Any
    required: bool = False


def check_resource(document, max_key_window=MAX_KEY_WINDOW):
    """Validate a resource strictly.

    Args:
        document: The decoded JSON document, of any type.
        max_key_window: Maximum `key_window` in seconds. Work whose key is valid
            for longer than its claim stays in the log could run twice, so pass
            less than the time for which the log keeps records.

    Returns:
        The validated `ServiceResource`.

    Raises:
        errors.InputErrors: If there are findings; contains up to `MAX_FINDINGS`
            of them, each with its place in the document.
    """
    parsed = parse_resource(document)
    findings = parsed.findings + tuple(_check_windows(document, max_key_window))
    raise_findings("resource", findings[:MAX_FINDINGS])
    return parsed.resource


def parse_resource(document):
    """Parse a resource leniently, as far as possible.

    An invalid value is replaced by its default. The exception is a call with an
    invalid `idempotent` field, which counts as non-idempotent: work that did not
    run can be requested again, but work that ran twice can't be undone.

    Args:
        document: The decoded JSON document, of any type.

    Returns:
        A `ParseResult`.
    """
    findings = []
    values = _parse_object(document, _RESOURCE_FIELDS, "", findings)
    findings.extend(_check_size(document))
    spec = _parse_spec(values["name"], values["spec"], findings)
    resource = ServiceResource(KIND_SERVICE, values["name"], spec)
    return ParseResult(resource, tuple(findings))


def default_service(name):
    """Return the default specification for a service that no resource declares."""
    return ServiceSpec(name)


def match_call(spec, method, path):
    """Find the declared call that a request belongs to.

    The path is decoded and its ``.``, ``..`` and empty segments are resolved
    before the comparison. Otherwise ``/%70ayouts`` would not match the declared
    ``/payouts`` although the backend server treats both alike: the call would
    not count as non-idempotent, and a payout could run twice.

    Args:
        spec: A `ServiceSpec`.
        method: HTTP method; HEAD also matches calls declared for GET.
        path: Path of the request, with or without a query.

    Returns:
        The most specific matching `CallSpec` or, if none matches, one with an
        empty name and the service's importance.
    """
    method = method.upper()
    if spec.calls:
        methods = (method, ANY_METHOD, "GET" if method == "HEAD" else ANY_METHOD)
        segments = split_path(path)
        for call in spec.calls:
            if call.method in methods and _matches(call, segments):
                return _restrict_repeats(call, method)
    return _restrict_repeats(CallSpec(importance=spec.importance), method)


def split_path(path):
    """Return the decoded segments of a path without its query, dots resolved."""
    path = path.partition("?")[0]
    if "%" in path:
        path = unquote(path)
    segments = []
    for segment in path.split("/"):
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    return tuple(segments)


def _matches(call, segments):
    pattern = call.segments
    prefix = segments[: len(pattern)]
    if pattern == prefix:
        return True
    if ANY_SEGMENT not in pattern or len(pattern) != len(prefix):
        return False
    pairs = zip(pattern, prefix, strict=True)
    return all(segment in (ANY_SEGMENT, actual) for segment, actual in pairs)


def _restrict_repeats(call, method):
    """Return the call, not repeatable if an undeclared POST or PATCH.

    A POST or PATCH may be repeated only if the call declares `idempotent`.
    """
    if call.idempotency_declared or method not in NON_IDEMPOTENT_METHODS:
        return call
    return call._replace(repeatable=False)


def _get_specificity(call):
    literal = sum(segment != ANY_SEGMENT for segment in call.segments)
    return (len(call.segments), literal, call.method != ANY_METHOD)


def _parse_spec(name, document, findings):
    values = _parse_object(document, _SPEC_FIELDS, "spec", findings)
    if values["max_wait"] > values["timeout"]:
        problem = "is longer than spec.timeout, after which the caller no longer waits"
        if isinstance(document, dict) and "max_wait" in document:
            findings.append(Finding("spec.max_wait", problem))
        values["max_wait"] = values["timeout"]
    calls = [
        _parse_call(call, values["importance"], f"spec.calls[{index}]", findings)
        for index, call in enumerate(values["calls"])
    ]
    findings.extend(_check_unique(calls))
    values["calls"] = tuple(sorted(calls, key=_get_specificity, reverse=True))
    return ServiceSpec(name, **values)


def _parse_call(document, importance, place, findings):
    values = _parse_object(document, _CALL_FIELDS, place, findings)
    if values["importance"] is None:
        values["importance"] = importance
    idempotency_declared = values["idempotent"] is not None
    if not idempotency_declared:
        values["idempotent"] = _assume_idempotent(document, values, place, findings)
    return CallSpec(
        **values,
        idempotency_declared=idempotency_declared,
        repeatable=values["idempotent"],
        segments=split_path(values["path"]),
    )


def _assume_idempotent(document, values, place, findings):
    """Return the value for a call whose `idempotent` is absent or invalid."""
    if isinstance(document, dict) and "idempotent" in document:
        return False
    if values["method"] not in NON_IDEMPOTENT_METHODS:
        return True
    problem = f"must be given as true or false for {values['method']}"
    findings.append(Finding(f"{place}.idempotent", problem))
    return False


def _parse_object(document, fields, place, findings):
    """Parse a JSON object and return a value for each field by name.

    Args:
        document: The decoded JSON document, of any type.
        fields: The `_Field` rules by name.
        place: Place of the object in the resource, "" for the resource itself.
        findings: List to which a `Finding` is added for each problem.
    """
    if not isinstance(document, dict):
        problem = f"must be an object, not {_describe_type(document)}"
        findings.append(Finding(place or "document", problem))
        return {name: field.default for name, field in fields.items()}
    for name in document:
        if name not in fields:
            findings.append(
                Finding(_join(place, str(name)), _describe_unknown_field(name, fields))
            )
    return {
        name: _parse_field(document, name, field, _join(place, name), findings)
        for name, field in fields.items()
    }


def _parse_field(document, name, field, place, findings):
    if name not in document:
        if field.required:
            findings.append(Finding(place, "is missing"))
        return field.default
    try:
        return field.parse(document[name])
    except ValueError as error:
        findings.append(Finding(place, str(error)))
        return field.default


def _describe_unknown_field(name, fields):
    matches = difflib.get_close_matches(str(name)[:64], fields, 1)
    if matches:
        return f"is not a known field; did you mean {matches[0]!r}?"
    return f"is not a known field; allowed here: {', '.join(fields)}"


def _join(place, name):
    shortened = name if len(name) <= 64 else name[:64] + "…"
    return f"{place}.{shortened}" if place else shortened


def _check_size(document):
    try:
        size = len(json.dumps(document).encode())
    except (TypeError, ValueError, RecursionError):
        return [Finding("document", "is not JSON")]
    if size > MAX_RESOURCE_BYTES:
        problem = f"has {size} bytes as JSON; at most {MAX_RESOURCE_BYTES} are allowed"
        return [Finding("document", problem)]
    return []


def _check_windows(document, max_key_window):
    """Yield a finding for each key window that exceeds the retention of claims."""
    spec = document.get("spec") if isinstance(document, dict) else None
    calls = spec.get("calls") if isinstance(spec, dict) else None
    for index, call in enumerate(calls if isinstance(calls, list) else []):
        window = call.get("key_window") if isinstance(call, dict) else None
        if not _is_number(window) or window > MAX_KEY_WINDOW:
            continue
        if window > max_key_window:
            problem = (
                f"exceeds the time the log keeps claims: at most {max_key_window:g}"
            )
            yield Finding(f"spec.calls[{index}].key_window", f"{problem} s")


def _check_unique(calls):
    """Yield a finding for each duplicate name and each duplicate route."""
    names = {}
    routes = {}
    for index, call in enumerate(calls):
        route = (call.method, call.segments)
        if call.name and names.setdefault(call.name, index) != index:
            problem = (
                f"{call.name!r} is also the name of spec.calls[{names[call.name]}]"
            )
            yield Finding(f"spec.calls[{index}].name", problem)
        if routes.setdefault(route, index) != index:
            problem = f"matches the same requests as spec.calls[{routes[route]}]"
            yield Finding(f"spec.calls[{index}].path", problem)


def _describe_type(value):
    names = {dict: "an object", list: "a list", str: "a string", type(None): "null"}
    names |= {bool: "true or false", int: "a number", float: "a number"}
    return names.get(type(value), type(value).__name__)


def _is_number(value):
    if isinstance(value, bool):
        return False
    # math.isfinite raises OverflowError for an int that is too large for a float.
    return isinstance(value, int) or (isinstance(value, float) and math.isfinite(value))


def _number_parser(low, high, unit):
    """Return a parser for numbers between two limits, in a unit."""

    def parse(value):
        if not _is_number(value):
            raise ValueError(f"must be a number ({unit}), not {_describe_type(value)}")
        if not low <= value <= high:
            raise ValueError(f"must be between {low:g} and {high:g} {unit}")
        return float(value)

    return parse


def _integer_parser(low, high):
    """Return a parser for integers between two limits."""

    def parse(value):
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"must be an integer, not {_describe_type(value)}")
        if not low <= value <= high:
            raise ValueError(f"must be between {low} and {high}")
        return value

    return parse


def _string_parser(pattern, description):
    """Return a parser for strings that match a pattern."""

    def parse(value):
        if not isinstance(value, str):
            raise ValueError(f"must be a string, not {_describe_type(value)}")
        if not pattern.fullmatch(value):
            raise ValueError(f"must be {description}")
        return value

    return parse


def _parse_kind(value):
    if value != KIND_SERVICE:
        raise ValueError(f"must be {KIND_SERVICE!r}, the only supported kind")
    return value


def _parse_importance(value):
    names = [importance.name.lower() for importance in DECLARED_IMPORTANCES]
    if not isinstance(value, str) or value not in names:
        raise ValueError(f"must be one of {', '.join(names)}")
    return Importance[value.upper()]


def _parse_boolean(value):
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, not {_describe_type(value)}")
    return value


def _parse_path(value):
    if not isinstance(value, str):
        raise ValueError(f"must be a string, not {_describe_type(value)}")
    if not value.startswith("/") or len(value) > MAX_PATH:
        raise ValueError(f"must start with '/' and have at most {MAX_PATH} characters")
    if "?" in value or "#" in value:
        raise ValueError("must not contain a query or fragment")
    if len(split_path(value)) > MAX_SEGMENTS:
        raise ValueError(f"must have at most {MAX_SEGMENTS} segments")
    return value


def _parse_calls(value):
    if not isinstance(value, list):
        raise ValueError(f"must be a list, not {_describe_type(value)}")
    if len(value) > MAX_CALLS:
        raise ValueError(f"has {len(value)} calls; at most {MAX_CALLS} are allowed")
    return value


_NAME_FORMAT = "1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends"
_METHOD_FORMAT = "an HTTP method in upper case or '*'"

_RESOURCE_FIELDS = {
    "kind": _Field(_parse_kind, KIND_SERVICE, required=True),
    "name": _Field(_string_parser(NAME_PATTERN, _NAME_FORMAT), "", required=True),
    "spec": _Field(lambda value: value, {}, required=True),
}

_SPEC_FIELDS = {
    "importance": _Field(_parse_importance, Importance.NORMAL),
    "retry_budget": _Field(_integer_parser(0, MAX_RETRY_BUDGET), DEFAULT_RETRY_BUDGET),
    "timeout": _Field(_number_parser(MIN_TIMEOUT, MAX_TIMEOUT, "s"), DEFAULT_TIMEOUT),
    "max_wait": _Field(_number_parser(0, MAX_TIMEOUT, "s"), DEFAULT_MAX_WAIT),
    "calls": _Field(_parse_calls, []),
}

_CALL_FIELDS = {
    "name": _Field(_string_parser(NAME_PATTERN, _NAME_FORMAT), "", required=True),
    "method": _Field(_string_parser(METHOD_PATTERN, _METHOD_FORMAT), ANY_METHOD),
    "path": _Field(_parse_path, "/"),
    "importance": _Field(_parse_importance, None),
    "idempotent": _Field(_parse_boolean, None),
    "key_window": _Field(
        _number_parser(MIN_KEY_WINDOW, MAX_KEY_WINDOW, "s"), DEFAULT_KEY_WINDOW
    ),
}
