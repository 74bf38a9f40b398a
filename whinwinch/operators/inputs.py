"""What a request to the resource API says, checked with all findings."""

import json
import uuid

import cherrypy

from .. import errors, resources
from . import forms, watch
from .problems import ApiError, describe_findings

MAX_KEY = 128


def check_query(query, known):
    """Check the names of a query's parameters, and that each stands once.

    Raises:
        ApiError: With all findings.
    """
    findings = [
        errors.Finding(
            name, "is not a known parameter" if name not in known else "twice"
        )
        for name, value in query.items()
        if name not in known or not isinstance(value, str)
    ]
    if findings:
        raise describe_findings(findings)


def parse_number(query, name, default, high, kind):
    """Return a number from the query, between 0 and a limit.

    Raises:
        ApiError: When it is none, or beyond the limit.
    """
    text = query.get(name)
    if text is None:
        return default
    try:
        value = kind(text)
    except ValueError:
        value = -1
    if not 0 <= value <= high:
        problem = f"has to be a number from 0 to {high:g}"
        raise describe_findings([errors.Finding(name, problem)])
    return value


def parse_watch(query, resource_store):
    """Return the `watch.Watch` that a query asks for.

    Raises:
        ApiError: With the findings.
    """
    check_query(query, ("watch", "version", "timeout"))
    if query["watch"] not in ("true", "1"):
        raise describe_findings([errors.Finding("watch", "has to be true")])
    version = parse_number(query, "version", resource_store.version, 2**63, int)
    timeout = parse_number(
        query, "timeout", watch.DEFAULT_TIMEOUT, watch.MAX_TIMEOUT, float
    )
    return watch.Watch(version, timeout)


def choose_change_id(author, name, body):
    """Return the identifier of a change, the same for a repeated request.

    It depends on the content too. A tool that used one key for two changes
    would otherwise be told that the second was accepted, which nobody made.
    """
    key = cherrypy.serving.request.headers.get(forms.REPEAT_HEADER)
    if key is None:
        return uuid.uuid4().hex
    if not 0 < len(key) <= MAX_KEY:
        problem = f"has to have 1 to {MAX_KEY} letters"
        raise describe_findings([errors.Finding(forms.REPEAT_HEADER, problem)])
    content = json.dumps([key, author, name, body], sort_keys=True)
    return uuid.uuid5(uuid.NAMESPACE_OID, content).hex


def read_condition(present):
    """Return the version that the request says it replaces, 0 for none.

    Args:
        present: The `configuration.Resource` in force, or None.

    Raises:
        ApiError: When a condition can't be read, or surely fails.
    """
    headers = cherrypy.serving.request.headers
    match = headers.get("If-Match")
    none_match = headers.get("If-None-Match")
    version = present.version if present is not None else 0
    if match is not None and none_match is not None:
        problem = "can't stand beside If-Match"
        raise describe_findings([errors.Finding("If-None-Match", problem)])
    if none_match is not None:
        if none_match.strip() != "*":
            raise describe_findings([errors.Finding("If-None-Match", "has to be *")])
        return 0
    if match is None or match.strip() == "*":
        if match is not None and present is None:
            raise ApiError(412, "conflict", "it does not exist", present_version=0)
        return version
    return _parse_tag(match.strip())


def _parse_tag(tag):
    number = tag[1:-1]
    quoted = len(tag) > 2 and tag[0] == tag[-1] == '"'
    if not quoted or not (number.isascii() and number.isdigit()) or len(number) > 19:
        problem = 'has to be * or one version in quotes, as in "12"'
        raise describe_findings([errors.Finding("If-Match", problem)])
    return int(number)


def read_body():
    """Return the decoded JSON body.

    Raises:
        ApiError: When it is too large or no JSON.
    """
    limit = resources.MAX_RESOURCE_BYTES
    data = cherrypy.serving.request.rfile.read(limit + 1)
    if len(data) > limit:
        problem = f"the body has more than {limit} bytes"
        raise ApiError(413, "too-large", problem)
    try:
        return json.loads(data, object_pairs_hook=_reject_repeated)
    except (ValueError, RecursionError) as error:
        problem = f"is not JSON: {error}"
        raise describe_findings([errors.Finding("document", problem)]) from error


def _reject_repeated(pairs):
    """Return an object without repeated names.

    JSON allows a name twice and the last wins; an operator who wrote two marks
    for one call would not see which is in force.
    """
    form = dict(pairs)
    if len(form) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"the name {repeated[:64]!r} stands twice in one object")
    return form


def check_document(document, name, max_key_window):
    """Return the ``spec`` of a right document.

    Raises:
        ApiError: With all findings.
    """
    findings = []
    try:
        resources.check_resource(document, max_key_window)
    except errors.InputErrors as error:
        findings.extend(error.findings)
    if isinstance(document, dict) and document.get("name", name) != name:
        problem = f"is not the {name!r} of the URL"
        findings.append(errors.Finding("name", problem))
    if findings:
        raise describe_findings(findings)
    return document["spec"]
