"""The resource API as a cherrypy application.

All dependencies are injected, so that the API runs in tests without a daemon. Each
handler returns JSON bytes or raises `ApiError`. One wrapper around all handlers
checks the token and converts errors to JSON, so that no handler can omit it.
"""

import functools
import json
import time as clocks
from collections.abc import Callable
from typing import Any, NamedTuple

import cherrypy
from absl import logging

from .. import configuration, resources
from . import access, forms, inputs, problems, store, watch
from .problems import ApiError

JSON_TYPE = "application/json"
JSON_LINES_TYPE = "application/x-ndjson"

# Seconds that a request waits for the log, which normally answers in milliseconds.
# An operator would not wait longer than this, and the wait blocks a thread.
PROPOSE_TIMEOUT = 5.0
MAX_HISTORY_LIMIT = 1000
DEFAULT_HISTORY_LIMIT = 100
# Retry-After in seconds if the maximum number of watches is reached.
WATCH_RETRY_AFTER = 5


class Dependencies(NamedTuple):
    """Dependencies and limits of the API.

    Attributes:
        store: The `store.Store`.
        operators: Tuple of `access.Operator`; if empty, the API is closed.
        get_status: Returns the JSON form of the daemon's status.
        begin_drain: Starts draining the daemon and its backend server; called
            from a request thread, returns immediately. None if unsupported.
        render_metrics: Returns the metrics as text.
        max_key_window: Maximum key window of a resource in seconds.
        max_watchers: Maximum number of concurrent watches.
        format_time: Returns the wall-clock time as text, for the history.
        clock: Returns the time in seconds, for the timeouts of watches.
        propose_timeout: Seconds for which a request waits for the log.
    """

    store: store.Store
    operators: tuple[access.Operator, ...]
    get_status: Callable[[], Any] = dict
    begin_drain: Callable[[], Any] | None = None
    render_metrics: Callable[[], str] = str
    max_key_window: float = resources.MAX_KEY_WINDOW
    max_watchers: int = watch.DEFAULT_MAX_WATCHERS
    format_time: Callable[[], str] = lambda: clocks.strftime(
        "%Y-%m-%dT%H:%M:%SZ", clocks.gmtime()
    )
    clock: Callable[[], float] = clocks.monotonic
    propose_timeout: float = PROPOSE_TIMEOUT


def create_application(dependencies):
    """Return the application that serves the resource API at `forms.MOUNT`.

    Args:
        dependencies: `Dependencies`.

    Returns:
        A `cherrypy.Application`.
    """
    config = {
        "/": {
            "request.dispatch": _create_dispatcher(dependencies.operators),
            # The handlers read the bodies themselves to enforce a size limit.
            "request.process_request_body": False,
            "request.show_tracebacks": False,
        }
    }
    application = cherrypy.Application(_Root(dependencies), forms.MOUNT, config)
    # Changes are logged separately, with their author and decision.
    application.log.access_log.propagate = False
    return application


class _Root:
    def __init__(self, dependencies):
        self.v1 = _Version(dependencies)


class _Version:
    def __init__(self, dependencies):
        self.services = _Services(dependencies)
        self.history = _History(dependencies)
        self.status = _Status(dependencies)
        self.metrics = _Metrics(dependencies)
        self.drain = _Drain(dependencies)


class _Services:
    """``/admin/v1/services`` and ``/admin/v1/services/NAME``."""

    exposed = True

    def __init__(self, dependencies):
        self._dependencies = dependencies
        self._store = dependencies.store
        self._watchers = watch.Watchers(dependencies.max_watchers)

    def GET(self, name=None, **query):
        """Return one service, the list of all services, or a watch stream."""
        _require_ready(self._store)
        if name is not None:
            inputs.check_query(query, ())
            return self._answer_one(name)
        if "watch" in query:
            return self._answer_watch(query)
        inputs.check_query(query, ())
        return self._answer_list()

    def PUT(self, name, **query):
        """Create or replace a service."""
        _require_ready(self._store)
        inputs.check_query(query, ())
        document = inputs.read_body()
        body = inputs.check_document(document, name, self._dependencies.max_key_window)
        present = self._find_service(name)
        condition = inputs.read_condition(present)
        verdict = self._propose(name, body, condition, present)
        if verdict.resource is None:
            # The request is a repeat of a change that was accepted earlier, and
            # the resource has been changed since.
            return _encode(forms.ChangeAnswer(name=name, version=verdict.version))
        return _answer_service(verdict.resource, 200 if condition else 201)

    def DELETE(self, name, **query):
        """Delete a service."""
        _require_ready(self._store)
        inputs.check_query(query, ())
        present = self._find_service(name)
        condition = inputs.read_condition(present)
        verdict = self._propose(name, None, condition, present)
        return _encode(forms.ChangeAnswer(name=name, version=verdict.version))

    def _find_service(self, name):
        return self._store.snapshot().find_resource(resources.KIND_SERVICE, name)

    def _answer_one(self, name):
        resource = self._find_service(name)
        if resource is None:
            raise problems.describe_missing(name)
        return _answer_service(resource)

    def _answer_list(self):
        view = self._store.snapshot()
        found = view.list_resources(resources.KIND_SERVICE)
        cherrypy.serving.response.headers["ETag"] = f'"{view.version}"'
        services = [_format_service(resource) for resource in found]
        return _encode(forms.ServiceList(version=view.version, services=services))

    def _answer_watch(self, query):
        wanted = inputs.parse_watch(query, self._store)
        if self._store.closed:
            raise ApiError(503, "stopping", "the daemon is stopping", retry_after=1)
        try:
            self._store.wait_changes(wanted.version, 0)
        except store.VersionTooOld as error:
            raise ApiError(410, "version-too-old", str(error)) from error
        if not self._watchers.try_enter():
            problem = f"the daemon already has {self._watchers.limit} watches"
            raise ApiError(
                429, "too-many-watches", problem, retry_after=WATCH_RETRY_AFTER
            )
        # Release the watch's place when the request ends, whatever the reason. A
        # `finally` in the stream would not run if the client disconnects before
        # the first line, and the places would leak one by one.
        request = cherrypy.serving.request
        request.hooks.attach("on_end_request", self._watchers.leave)
        response = cherrypy.serving.response
        response.stream = True
        response.headers["Content-Type"] = JSON_LINES_TYPE
        return watch.stream_changes(self._store, wanted, self._dependencies.clock)

    def _propose(self, name, body, replaces, present):
        """Propose a change and return its verdict if it was accepted."""
        author = cherrypy.serving.request.login
        change = configuration.Change(
            change_id=inputs.choose_change_id(author, name, body),
            kind=resources.KIND_SERVICE,
            name=name,
            replaces=replaces,
            body=body,
            author=author,
            made=self._dependencies.format_time(),
        )
        verdict = self._store.find_verdict(change)
        if verdict is None and body is None and not replaces:
            raise problems.describe_missing(name)
        if verdict is None and present is not None and 0 < replaces < present.version:
            raise problems.describe_conflict(name, present)
        if verdict is None:
            verdict = self._store.propose(change, self._dependencies.propose_timeout)
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
            raise problems.describe_conflict(
                name, self._find_service(name), change.change_id
            )
        if verdict.decision is not store.Decision.ACCEPTED:
            raise problems.describe_undecided(verdict, change.change_id)
        return verdict


class _History:
    """``/admin/v1/history``: the changes, with their authors and times."""

    exposed = True

    def __init__(self, dependencies):
        self._store = dependencies.store

    def GET(self, **query):
        """Return the changes that this daemon has read, newest first."""
        inputs.check_query(query, ("limit", "name", "change_id"))
        limit = inputs.parse_number(
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
    """``/admin/v1/status``: state of the daemon and its view of the mesh."""

    exposed = True

    def __init__(self, dependencies):
        self._get_status = dependencies.get_status

    def GET(self, **query):
        """Return the status of this daemon."""
        inputs.check_query(query, ())
        return _encode(self._get_status())


class _Drain:
    """``/admin/v1/drain``: drains the daemon and its backend server."""

    exposed = True

    def __init__(self, dependencies):
        self._dependencies = dependencies

    def POST(self, **query):
        """Start draining and return the status; idempotent."""
        inputs.check_query(query, ())
        if self._dependencies.begin_drain is None:
            raise ApiError(
                501, "no-drain", "this daemon cannot be drained through the API"
            )
        logging.info("drain author=%s", cherrypy.serving.request.login)
        self._dependencies.begin_drain()
        cherrypy.serving.response.status = 202
        return _encode(self._dependencies.get_status())


class _Metrics:
    """``/admin/v1/metrics``: metrics of the daemon."""

    exposed = True

    def __init__(self, dependencies):
        self._render_metrics = dependencies.render_metrics

    def GET(self, **query):
        """Return the metrics as text."""
        inputs.check_query(query, ())
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
    """Authenticate the operator, run a handler and convert errors to JSON."""
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
    # Before the daemon has read the log, a list would be empty and a change would
    # assume that the resource does not exist. Both would be wrong.
    if not resource_store.ready:
        problem = "the daemon has not read the configuration yet"
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
