"""Parsing and validation of requests to the resource API."""

import json
import uuid

import cherrypy

from .. import errors, resources
from . import forms, watch
from .problems import ApiError, describe_findings

# Characters of an idempotency key.
MAX_KEY_LENGTH = 128


def check_query(query, allowed):
    """Check that a query has only allowed parameters, each at most once.

    Raises:
        ApiError: With all findings.
    """
    findings = [
        errors.Finding(
            name, "is not a known parameter" if name not in allowed else "is repeated"
        )
        for name, value in query.items()
        if name not in allowed or not isinstance(value, str)
    ]
    if findings:
        raise describe_findings(findings)


def parse_number(query, name, default, high, kind):
    """Return a parameter of the query as a number from 0 to a maximum.

    Args:
        query: Parameters of the query by name.
        name: Name of the parameter.
        default: Value to return if the parameter is absent.
        high: Highest value allowed.
        kind: Type of the number, ``int`` or ``float``.

    Raises:
        ApiError: If the parameter is not a number or out of range.
    """
    text = query.get(name)
    if text is None:
        return default
    try:
        value = kind(text)
    except ValueError:
        value = -1
    if not 0 <= value <= high:
        problem = f"must be a number from 0 to {high:g}"
        raise describe_findings([errors.Finding(name, problem)])
    return value


def parse_watch(query, resource_store):
    """Return the `watch.Watch` that a query requests.

    Raises:
        ApiError: If the query is invalid, with the findings.
    """
    check_query(query, ("watch", "version", "timeout"))
    if query["watch"] not in ("true", "1"):
        raise describe_findings([errors.Finding("watch", "must be true")])
    version = parse_number(query, "version", resource_store.version, 2**63, int)
    timeout = parse_number(
        query, "timeout", watch.DEFAULT_TIMEOUT, watch.MAX_TIMEOUT, float
    )
    return watch.Watch(version, timeout)


def choose_change_id(author, name, body):
    """Return the identifier of a change, identical for a repeated request.

    The identifier also depends on the content. Otherwise a tool that reuses one
    key for two changes would receive "accepted" for the second one, although it
    was never made.
    """
    key = cherrypy.serving.request.headers.get(forms.KEY_HEADER)
    if key is None:
        return uuid.uuid4().hex
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        problem = f"must have 1 to {MAX_KEY_LENGTH} characters"
        raise describe_findings([errors.Finding(forms.KEY_HEADER, problem)])
    content = json.dumps([key, author, name, body], sort_keys=True)
    return uuid.uuid5(uuid.NAMESPACE_OID, content).hex


def read_condition(present):
    """Return the version that the request replaces, 0 to create the resource.

    Args:
        present: The `configuration.Resource` in force, or None.

    Raises:
        ApiError: If a condition is malformed or already known to fail.
    """
    headers = cherrypy.serving.request.headers
    match = headers.get("If-Match")
    none_match = headers.get("If-None-Match")
    version = present.version if present is not None else 0
    if match is not None and none_match is not None:
        problem = "cannot be combined with If-Match"
        raise describe_findings([errors.Finding("If-None-Match", problem)])
    if none_match is not None:
        if none_match.strip() != "*":
            raise describe_findings([errors.Finding("If-None-Match", "must be *")])
        return 0
    if match is None or match.strip() == "*":
        if match is not None and present is None:
            raise ApiError(
                412, "conflict", "the service does not exist", present_version=0
            )
        return version
    return _parse_etag(match.strip())


def _parse_etag(tag):
    number = tag[1:-1]
    quoted = len(tag) > 2 and tag[0] == tag[-1] == '"'
    if not quoted or not (number.isascii() and number.isdigit()) or len(number) > 19:
        problem = 'must be * or one version in quotes, as in "12"'
        raise describe_findings([errors.Finding("If-Match", problem)])
    return int(number)


def read_body():
    """Return the decoded JSON body.

    Raises:
        ApiError: If the body is too large or is not JSON.
    """
    limit = resources.MAX_RESOURCE_BYTES
    data = cherrypy.serving.request.rfile.read(limit + 1)
    if len(data) > limit:
        problem = f"the body is larger than {limit} bytes"
        raise ApiError(413, "too-large", problem)
    try:
        return json.loads(data, object_pairs_hook=_reject_repeated)
    except (ValueError, RecursionError) as error:
        problem = f"is not JSON: {error}"
        raise describe_findings([errors.Finding("document", problem)]) from error


def _reject_repeated(pairs):
    """Return a JSON object as a dict; raise ValueError for repeated names.

    JSON parsers accept repeated names and use the last value, so that an operator
    who set a field twice would not notice which value is in force.
    """
    form = dict(pairs)
    if len(form) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the name {repeated[:64]!r} is repeated in one object")
    return form


def check_document(document, name, max_key_window):
    """Return the ``spec`` of a valid document.

    Args:
        document: Decoded JSON body.
        name: Name of the service in the URL.
        max_key_window: Maximum key window in seconds.

    Raises:
        ApiError: With all findings.
    """
    findings = []
    try:
        resources.check_resource(document, max_key_window)
    except errors.InputErrors as error:
        findings.extend(error.findings)
    if isinstance(document, dict) and document.get("name", name) != name:
        problem = f"does not match the name {name!r} in the URL"
        findings.append(errors.Finding("name", problem))
    if findings:
        raise describe_findings(findings)
    return document["spec"]
