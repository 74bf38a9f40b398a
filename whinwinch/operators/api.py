"""The resource API as a cherrypy application.

Everything it needs is injected, so that it runs in tests without a daemon. Each
page handler returns JSON bytes or raises `ApiError`; one wrapper around all of
them checks the token and turns errors into their JSON form, so that no handler
can forget to.
"""

import functools
import json
import time as clocks
import uuid
from collections.abc import Callable
from typing import Any, NamedTuple

import cherrypy
from absl import logging

from .. import configuration, errors, resources
from . import access, forms, store, watch

JSON_TYPE = "application/json"
LINES_TYPE = "application/x-ndjson"

# Seconds. An answer of the log takes milliseconds; a request thread is not held
# for longer than a person waits.
PROPOSE_TIMEOUT = 5.0
RETRY_AFTER = 5
MAX_KEY = 128
MAX_HISTORY_LIMIT = 1000
DEFAULT_HISTORY_LIMIT = 100


class Parts(NamedTuple):
    """What the API works with.

    Attributes:
        store: The `store.Store`.
        operators: Tuple of `access.Operator`; empty closes the API.
        find_status: Returns the JSON form of the daemon's status.
        begin_drain: Lets the daemon and its backend server begin to leave;
            called from a request's thread, returns at once.
        render_metrics: Returns the metrics as text.
        max_key_window: Longest window for keys in seconds.
        max_watchers: Most watches at once.
        write_time: Returns the wall-clock time as text, for the history.
        clock: Returns the time in seconds that timeouts are measured with.
        propose_timeout: Seconds for which a request waits for the log.
    """

    store: store.Store
    operators: tuple[access.Operator, ...]
    find_status: Callable[[], Any] = dict
    begin_drain: Callable[[], Any] | None = None
    render_metrics: Callable[[], str] = str
    max_key_window: float = resources.MAX_KEY_WINDOW
    max_watchers: int = watch.DEFAULT_MAX_WATCHERS
    write_time: Callable[[], str] = lambda: clocks.strftime(
        "%Y-%m-%dT%H:%M:%SZ", clocks.gmtime()
    )
    clock: Callable[[], float] = clocks.monotonic
    propose_timeout: float = PROPOSE_TIMEOUT


class ApiError(errors.UserError):
    """An error that is answered in its JSON form.

    Args:
        status: HTTP status.
        code: Short fixed text for programs.
        message: What is wrong, for people.
        findings: Iterable of `errors.Finding`.
        retry_after: Seconds for ``Retry-After``, 0 for none.
        **details: Further fields of `forms.ErrorForm`.
    """

    def __init__(
        self, status, code, message, findings=(), retry_after=0, **details: Any
    ):
        super().__init__(message)
        self.status = status
        self.retry_after = retry_after
        self.form: forms.ErrorForm = {
            "code": code,
            "message": message,
            "findings": [
                forms.FindingForm(**finding._asdict()) for finding in findings
            ],
            **details,
        }


def create_application(parts):
    """Return the resource API, to be mounted at `forms.MOUNT`.

    Args:
        parts: `Parts`.

    Returns:
        A `cherrypy.Application`.
    """
    config = {
        "/": {
            "request.dispatch": _create_dispatcher(parts.operators),
            # Bodies are read by the handlers, with a limit.
            "request.process_request_body": False,
            "request.show_tracebacks": False,
        }
    }
    application = cherrypy.Application(_Root(parts), forms.MOUNT, config)
    # Changes have a log line of their own, with author and decision.
    application.log.access_log.propagate = False
    return application


class _Root:
    def __init__(self, parts):
        self.v1 = _Version(parts)


class _Version:
    def __init__(self, parts):
        self.services = _Services(parts)
        self.history = _History(parts)
        self.status = _Status(parts)
        self.metrics = _Metrics(parts)
        self.drain = _Drain(parts)


class _Services:
    """``/admin/v1/services`` and ``/admin/v1/services/NAME``."""

    exposed = True

    def __init__(self, parts):
        self._parts = parts
        self._store = parts.store
        self._watchers = watch.Watchers(parts.max_watchers)

    def GET(self, name=None, **query):
        """Return a service, the list of all, or a watch."""
        _require_ready(self._store)
        if name is not None:
            _check_query(query, ())
            return self._answer_one(name)
        if "watch" in query:
            return self._answer_watch(query)
        _check_query(query, ())
        return self._answer_list()

    def PUT(self, name, **query):
        """Create or replace a service."""
        _require_ready(self._store)
        _check_query(query, ())
        body = _check_document(_read_body(), name, self._parts.max_key_window)
        present = self._find(name)
        condition = _read_condition(present)
        verdict = self._propose(name, body, condition, present)
        if verdict.resource is None:
            # A repeated request: the change was accepted before, and somebody
            # has changed the resource since.
            return _encode(forms.ChangeAnswer(name=name, version=verdict.version))
        return _answer_service(verdict.resource, 200 if condition else 201)

    def DELETE(self, name, **query):
        """Delete a service."""
        _require_ready(self._store)
        _check_query(query, ())
        present = self._find(name)
        condition = _read_condition(present)
        verdict = self._propose(name, None, condition, present)
        return _encode(forms.ChangeAnswer(name=name, version=verdict.version))

    def _find(self, name):
        return self._store.snapshot().find_resource(resources.KIND_SERVICE, name)

    def _answer_one(self, name):
        resource = self._find(name)
        if resource is None:
            raise _not_found(name)
        return _answer_service(resource)

    def _answer_list(self):
        view = self._store.snapshot()
        found = view.list_resources(resources.KIND_SERVICE)
        cherrypy.serving.response.headers["ETag"] = f'"{view.version}"'
        services = [_format_service(resource) for resource in found]
        return _encode(forms.ServiceList(version=view.version, services=services))

    def _answer_watch(self, query):
        wanted = _parse_watch(query, self._store)
        if self._store.closed:
            raise ApiError(503, "stopping", "this daemon stops", retry_after=1)
        try:
            self._store.wait_changes(wanted.version, 0)
        except store.VersionTooOld as error:
            raise ApiError(410, "version-too-old", str(error)) from error
        if not self._watchers.try_enter():
            problem = f"this daemon has {self._watchers.limit} watches already"
            raise ApiError(429, "too-many-watches", problem, retry_after=RETRY_AFTER)
        # The place is given back when the request ends, however it does. A
        # `finally` in the stream would not run for a client that leaves before
        # the first line, and the places would be used up one by one.
        request = cherrypy.serving.request
        request.hooks.attach("on_end_request", self._watchers.leave)
        response = cherrypy.serving.response
        response.stream = True
        response.headers["Content-Type"] = LINES_TYPE
        return watch.stream_changes(self._store, wanted, self._parts.clock)

    def _propose(self, name, body, replaces, present):
        """Propose a change; return the verdict of one that was accepted."""
        author = cherrypy.serving.request.login
        change = configuration.Change(
            change_id=_choose_change_id(author, name, body),
            kind=resources.KIND_SERVICE,
            name=name,
            replaces=replaces,
            body=body,
            author=author,
            made=self._parts.write_time(),
        )
        verdict = self._store.find_verdict(change)
        if verdict is None and body is None and not replaces:
            raise _not_found(name)
        if verdict is None and present is not None and 0 < replaces < present.version:
            raise _conflict(name, present)
        if verdict is None:
            verdict = self._store.propose(change, self._parts.propose_timeout)
        logging.info(
            "change=%s service=%s author=%s replaces=%d decision=%s version=%d",
            change.change_id,
            name,
            change.author,
            replaces,
            verdict.decision.value,
            verdict.version,
        )
        if verdict.decision is store.Decision.REJECTED:
            raise _conflict(name, self._find(name), change.change_id)
        if verdict.decision is not store.Decision.ACCEPTED:
            raise _undecided(verdict, change.change_id)
        return verdict


class _History:
    """``/admin/v1/history``: who changed what, and when."""

    exposed = True

    def __init__(self, parts):
        self._store = parts.store

    def GET(self, **query):
        """Return the changes read by this daemon, the newest first."""
        _check_query(query, ("limit", "name", "change_id"))
        limit = _parse_number(
            query, "limit", DEFAULT_HISTORY_LIMIT, MAX_HISTORY_LIMIT, int
        )
        found = [
            entry._asdict()
            for entry in self._store.list_history()
            if query.get("name", entry.name) == entry.name
            and query.get("change_id", entry.change_id) == entry.change_id
        ]
        version = self._store.version
        return _encode(forms.HistoryAnswer(version=version, changes=found[:limit]))


class _Status:
    """``/admin/v1/status``: what the daemon knows of itself and the mesh."""

    exposed = True

    def __init__(self, parts):
        self._find_status = parts.find_status

    def GET(self, **query):
        """Return the status of this daemon."""
        _check_query(query, ())
        return _encode(self._find_status())


class _Drain:
    """``/admin/v1/drain``: lets the daemon and its backend server leave."""

    exposed = True

    def __init__(self, parts):
        self._parts = parts

    def POST(self, **query):
        """Begin to leave and return the status; asking twice does no harm."""
        _check_query(query, ())
        if self._parts.begin_drain is None:
            raise ApiError(501, "no-drain", "this daemon can't be drained from here")
        logging.info("drain author=%s", cherrypy.serving.request.login)
        self._parts.begin_drain()
        cherrypy.serving.response.status = 202
        return _encode(self._parts.find_status())


class _Metrics:
    """``/admin/v1/metrics``."""

    exposed = True

    def __init__(self, parts):
        self._render_metrics = parts.render_metrics

    def GET(self, **query):
        """Return the metrics as text."""
        _check_query(query, ())
        cherrypy.serving.response.headers["Content-Type"] = "text/plain; charset=utf-8"
        return self._render_metrics().encode()


def _create_dispatcher(operators):
    """Return a dispatcher whose handlers are wrapped in `_answer`."""
    dispatch_method = cherrypy.dispatch.MethodDispatcher()

    def dispatch(path_info):
        result = dispatch_method(path_info)
        request = cherrypy.serving.request
        request.handler = functools.partial(_answer, request.handler, operators)
        return result

    return dispatch


def _answer(handler, operators):
    """Run a page handler for a known operator; turn errors into JSON."""
    request = cherrypy.serving.request
    response = cherrypy.serving.response
    response.headers["Content-Type"] = JSON_TYPE
    response.headers["Cache-Control"] = "no-store"
    try:
        request.login = _find_author(operators)
        return handler()
    except ApiError as error:
        return _answer_error(error)
    except cherrypy.HTTPError as error:
        return _answer_error(ApiError(error.code, "http", error.reason))
    except Exception:
        logging.exception("admin path=%s failed", request.path_info)
        return _answer_error(ApiError(500, "internal", "see the daemon's log"))


def _answer_error(error):
    response = cherrypy.serving.response
    response.status = error.status
    if error.retry_after:
        response.headers["Retry-After"] = str(error.retry_after)
    if error.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return _encode({"error": error.form})


def _find_author(operators):
    header = cherrypy.serving.request.headers.get("Authorization")
    try:
        return access.find_author(operators, header)
    except access.AccessError as error:
        if error.closed:
            raise ApiError(403, "closed", str(error)) from error
        raise ApiError(401, "unauthorized", str(error)) from error


def _require_ready(resource_store):
    # A daemon that has not read the log yet knows no resources. A list would be
    # empty and a change would replace "nothing": both plainly wrong.
    if not resource_store.ready:
        problem = "this daemon has not read the configuration yet"
        raise ApiError(
            503, "not-ready", problem, retry_after=1, may_have_taken_effect=False
        )


def _encode(form):
    return json.dumps(form).encode() + b"\n"


def _answer_service(resource, status=200):
    response = cherrypy.serving.response
    response.status = status
    response.headers["ETag"] = f'"{resource.version}"'
    return _encode(_format_service(resource))


def _format_service(resource):
    return forms.ServiceAnswer(
        kind=resource.kind,
        name=resource.name,
        version=resource.version,
        author=resource.author,
        changed=resource.changed,
        spec=resource.body,
    )


def _not_found(name):
    return ApiError(404, "not-found", f"there is no resource for service {name!r}")


def _conflict(name, present, change_id=""):
    version = present.version if present is not None else 0
    state = f"is at version {version}" if version else "does not exist"
    return ApiError(
        412,
        "conflict",
        f"service {name!r} {state}: read it again and decide anew",
        present_version=version,
        change_id=change_id,
    )


def _undecided(verdict, change_id):
    """Return the error of a change that was not accepted and not rejected."""
    maybe = verdict.decision is store.Decision.UNKNOWN
    if maybe:
        code = "unknown"
        message = (
            f"{verdict.reason}: the change may be in force already or later; "
            "look for its change_id in the history"
        )
    else:
        code = "log-down"
        message = f"{verdict.reason}: the change did not and will not take effect"
    return ApiError(
        503,
        code,
        message,
        retry_after=RETRY_AFTER,
        may_have_taken_effect=maybe,
        change_id=change_id,
    )


def _bad_request(findings):
    return ApiError(400, "bad-request", "the request has errors", findings)


def _check_query(query, known):
    findings = [
        errors.Finding(
            name, "is not a known parameter" if name not in known else "twice"
        )
        for name, value in query.items()
        if name not in known or not isinstance(value, str)
    ]
    if findings:
        raise _bad_request(findings)


def _parse_number(query, name, default, high, kind):
    """Return a number from the query, between 0 and a limit."""
    text = query.get(name)
    if text is None:
        return default
    try:
        value = kind(text)
    except ValueError:
        value = -1
    if not 0 <= value <= high:
        problem = f"has to be a number from 0 to {high:g}"
        raise _bad_request([errors.Finding(name, problem)])
    return value


def _parse_watch(query, resource_store):
    _check_query(query, ("watch", "version", "timeout"))
    if query["watch"] not in ("true", "1"):
        raise _bad_request([errors.Finding("watch", "has to be true")])
    version = _parse_number(query, "version", resource_store.version, 2**63, int)
    timeout = _parse_number(
        query, "timeout", watch.DEFAULT_TIMEOUT, watch.MAX_TIMEOUT, float
    )
    return watch.Watch(version, timeout)


def _choose_change_id(author, name, body):
    """Return the identifier of a change, the same for a repeated request.

    It depends on the content too. A tool that used one key for two changes
    would otherwise be told that the second was accepted, which nobody made.
    """
    key = cherrypy.serving.request.headers.get(forms.REPEAT_HEADER)
    if key is None:
        return uuid.uuid4().hex
    if not 0 < len(key) <= MAX_KEY:
        problem = f"has to have 1 to {MAX_KEY} letters"
        raise _bad_request([errors.Finding(forms.REPEAT_HEADER, problem)])
    content = json.dumps([key, author, name, body], sort_keys=True)
    return uuid.uuid5(uuid.NAMESPACE_OID, content).hex


def _read_condition(present):
    """Return the version that the request says it replaces, 0 for none."""
    headers = cherrypy.serving.request.headers
    match = headers.get("If-Match")
    none_match = headers.get("If-None-Match")
    version = present.version if present is not None else 0
    if match is not None and none_match is not None:
        problem = "can't stand beside If-Match"
        raise _bad_request([errors.Finding("If-None-Match", problem)])
    if none_match is not None:
        if none_match.strip() != "*":
            raise _bad_request([errors.Finding("If-None-Match", "has to be *")])
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
        raise _bad_request([errors.Finding("If-Match", problem)])
    return int(number)


def _read_body():
    """Return the decoded JSON body."""
    limit = resources.MAX_RESOURCE_BYTES
    data = cherrypy.serving.request.rfile.read(limit + 1)
    if len(data) > limit:
        problem = f"the body has more than {limit} bytes"
        raise ApiError(413, "too-large", problem)
    try:
        return json.loads(data, object_pairs_hook=_reject_repeated)
    except (ValueError, RecursionError) as error:
        problem = f"is not JSON: {error}"
        raise _bad_request([errors.Finding("document", problem)]) from error


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


def _check_document(document, name, max_key_window):
    """Return the ``spec`` of a right document."""
    findings = []
    try:
        resources.check_resource(document, max_key_window)
    except errors.InputErrors as error:
        findings.extend(error.findings)
    if isinstance(document, dict) and document.get("name", name) != name:
        problem = f"is not the {name!r} of the URL"
        findings.append(errors.Finding("name", problem))
    if findings:
        raise _bad_request(findings)
    return document["spec"]
