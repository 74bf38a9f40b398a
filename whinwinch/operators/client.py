"""Client of the resource API, for the commands and for operators' tooling.

Every daemon serves the same API, so a client has the addresses of several and fails
over to the next one. A change carries an idempotency key that all daemons
recognise: it can be sent to a second daemon after the answer of the first was lost,
and still takes effect only once.
"""

import json
import time
import urllib.parse
import uuid
from collections.abc import Callable
from typing import NamedTuple

import urllib3

from .. import errors
from . import forms

# Seconds for a request; longer than the 5 s for which the daemon waits for the log.
DEFAULT_TIMEOUT = 10.0
# Seconds without a line after which a watch counts as broken; a daemon sends a line
# at least every `forms.HEARTBEAT_INTERVAL`.
WATCH_READ_TIMEOUT = 3 * forms.HEARTBEAT_INTERVAL
# Seconds after which the daemon ends a watch; the client then opens the next one.
WATCH_TIMEOUT = 600.0
# Seconds to wait after all daemons failed in turn; doubled after each round.
INITIAL_BACKOFF = 0.2
MAX_BACKOFF = 5.0
# Statuses after which the request is sent to the next daemon.
FAILOVER_STATUSES = frozenset({429, 500, 502, 503, 504})
# Consecutive failed rounds over all daemons after which a watch gives up.
MAX_FAILED_ROUNDS = 10


class ClientError(errors.UserError):
    """A request to the resource API failed."""


class Unreachable(ClientError):
    """No daemon returned a usable response; nothing was changed."""


class AccessDenied(ClientError):
    """The token is invalid, or the daemon's API is closed."""


class NotFound(ClientError):
    """The resource does not exist."""


class Conflict(ClientError):
    """The resource is not at the version that the change replaces.

    Attributes:
        present_version: Current version of the resource, 0 if it does not exist.
    """

    def __init__(self, problem, present_version):
        super().__init__(problem)
        self.present_version = present_version


class Undecided(ClientError):
    """The change may have taken effect or may still do so.

    Attributes:
        change_id: Identifier of the change in the history, "" if no daemon
            returned it.
    """

    def __init__(self, problem, change_id=""):
        super().__init__(problem)
        self.change_id = change_id


class WatchExpired(ClientError):
    """Changes after the watch's version are no longer stored: list and watch again."""


class Refused(ClientError):
    """The API refused the request for any other reason.

    Attributes:
        code: Error code of the API.
    """

    def __init__(self, problem, code):
        super().__init__(problem)
        self.code = code


class Service(NamedTuple):
    """A service resource as returned by the API.

    Attributes:
        name: Name of the service.
        version: Version of the resource; pass it as `replaces` to change only
            this version.
        spec: Specification in JSON form.
        author: Operator who made the last change.
        changed: Time of the last change, in seconds of the log's clock.
    """

    name: str
    version: int
    spec: dict
    author: str
    changed: float


class Listing(NamedTuple):
    """All services and the version of the collection to watch from.

    Attributes:
        version: Version of the collection.
        services: All services.
    """

    version: int
    services: tuple[Service, ...]


class WatchEvent(NamedTuple):
    """A change that took effect.

    Attributes:
        version: Version of the collection after the change.
        name: Name of the service.
        spec: New specification in JSON form, None for a deletion.
        author: Operator who made the change.
        changed: Time of the change, in seconds of the log's clock.
    """

    version: int
    name: str
    spec: dict | None
    author: str
    changed: float


class Reply(NamedTuple):
    """A response of the API.

    Attributes:
        status: HTTP status.
        document: Decoded JSON body.
    """

    status: int
    document: dict


class _DaemonFailed(Exception):
    """One daemon returned no usable response.

    Attributes:
        sent: Whether the request may have reached the daemon.
        change_id: Identifier of the change, "" if the daemon did not return it.
    """

    def __init__(self, problem, sent, change_id=""):
        super().__init__(problem)
        self.sent = sent
        self.change_id = change_id


class Client:
    """Client of the daemons of one mesh; not safe for several threads.

    Args:
        servers: URLs of daemons, such as ``http://10.0.0.7:7300``.
        token: The operator's token.
        timeout: Timeout of each request in seconds.
        sleep: Function that sleeps for a number of seconds, for the backoff
            between failed rounds.
    """

    def __init__(
        self,
        servers,
        token,
        timeout=DEFAULT_TIMEOUT,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self._servers = [server.rstrip("/") + forms.MOUNT + "/v1" for server in servers]
        self._headers = {"Authorization": f"Bearer {token}"}
        self._timeout = timeout
        self._sleep = sleep
        self._pool = urllib3.PoolManager(retries=False)

    def close(self):
        """Close all connections."""
        self._pool.clear()

    def apply_service(self, document, replaces=None):
        """Create or replace a service.

        Args:
            document: JSON form of the resource.
            replaces: Required current version, 0 if the service must not exist
                yet, None for any version.

        Returns:
            The version of the service after the change.

        Raises:
            errors.InputErrors: If the resource is invalid, with all findings.
            ClientError: If the change failed; the subclass identifies the cause.
        """
        name = document.get("name") if isinstance(document, dict) else None
        if not isinstance(name, str) or not name:
            errors.raise_findings("resource", [errors.Finding("name", "is missing")])
        return self._change("PUT", name, replaces, document)

    def delete_service(self, name, replaces=None):
        """Delete a service; arguments and errors as for `apply_service`.

        Returns:
            The version of the collection after the deletion.
        """
        return self._change("DELETE", name, replaces, None)

    def get_service(self, name):
        """Return the `Service` of a name."""
        return _parse_service(self._read(f"/services/{_quote(name)}"))

    def list_services(self):
        """Return a `Listing` of all services."""
        document = self._read("/services")
        services = tuple(_parse_service(form) for form in document["services"])
        return Listing(document["version"], services)

    def read_status(self):
        """Return the JSON form of a daemon's status."""
        return self._read("/status")

    def drain(self):
        """Start draining the first daemon and its backend server.

        There is no failover to another daemon, which would be drained instead.

        Returns:
            The JSON form of the daemon's status.
        """
        try:
            return _check_reply(self._send("POST", "/drain")).document
        except _DaemonFailed as error:
            if error.sent:
                advice = "the daemon may be draining: check its status"
                raise Undecided(f"{error}; {advice}") from error
            raise Unreachable(str(error)) from error

    def read_history(self, limit=100):
        """Return the JSON forms of the last changes, newest first."""
        return self._read(f"/history?limit={limit}")["changes"]

    def watch_services(self, version=None):
        """Yield the `WatchEvent`s after a version, indefinitely.

        After a disconnect the watch resumes at the next daemon from the last
        version received, so that no change is missed or repeated.

        Args:
            version: Version of the collection to start from, None for the
                current one.

        Raises:
            WatchExpired: If changes after the version are no longer stored.
            ClientError: If the token is rejected, or all daemons failed in
                `MAX_FAILED_ROUNDS` consecutive rounds.
        """
        failures = 0
        while True:
            problem = "the watch was disconnected"
            try:
                for count, line in enumerate(self._stream(version)):
                    version = line["version"]
                    if line["type"] != forms.TYPE_CURRENT:
                        yield _parse_event(line)
                    # Every stream starts with a line, and a stopping daemon ends
                    # the stream after it. Only a second line shows that the watch
                    # works.
                    if count:
                        failures = 0
            except _DaemonFailed as error:
                problem = str(error)
            failures += 1
            self._rotate_servers()
            self._back_off(failures, problem)

    def _back_off(self, failures, problem):
        """Sleep after each failed round over all daemons; give up after the last."""
        rounds, rest = divmod(failures, len(self._servers))
        if rounds >= MAX_FAILED_ROUNDS:
            raise Unreachable(problem)
        if not rest:
            self._sleep(min(INITIAL_BACKOFF * 2 ** (rounds - 1), MAX_BACKOFF))

    def _read(self, path):
        """Return the JSON body of a GET from the first daemon that responds."""
        last = None
        for _ in self._servers:
            try:
                return _check_reply(self._send("GET", path)).document
            except _DaemonFailed as error:
                last = error
                self._rotate_servers()
        raise Unreachable(f"no daemon answered; last error: {last}")

    def _change(self, method, name, replaces, document):
        headers = {forms.KEY_HEADER: uuid.uuid4().hex} | _make_condition(replaces)
        path = f"/services/{_quote(name)}"
        possibly_sent = None
        last = None
        for _ in self._servers:
            try:
                reply = self._send(method, path, document, headers)
                return _check_reply(reply).document["version"]
            except _DaemonFailed as error:
                last = error
                possibly_sent = error if error.sent else possibly_sent
                self._rotate_servers()
        if possibly_sent is not None:
            advice = "the change may be in force: check the history"
            raise Undecided(f"{possibly_sent}; {advice}", possibly_sent.change_id)
        raise Unreachable(f"nothing was changed: {last}")

    def _send(self, method, path, document=None, headers=None):
        body = None if document is None else json.dumps(document).encode()
        try:
            answer = self._pool.request(
                method,
                self._servers[0] + path,
                body=body,
                headers=self._headers | (headers or {}),
                timeout=self._timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _DaemonFailed(
                f"{self._servers[0]}: {error}", _was_sent(error)
            ) from error
        return _parse_reply(answer.status, answer.data)

    def _stream(self, version):
        """Yield the lines of one watch at one daemon until it ends."""
        after = "" if version is None else f"&version={version}"
        path = f"/services?watch=true&timeout={WATCH_TIMEOUT:g}{after}"
        try:
            answer = self._pool.request(
                "GET",
                self._servers[0] + path,
                headers=self._headers,
                timeout=urllib3.Timeout(connect=self._timeout, read=WATCH_READ_TIMEOUT),
                preload_content=False,
            )
            try:
                if answer.status != 200:
                    _check_reply(_parse_reply(answer.status, answer.data))
                yield from _parse_lines(answer.stream())
            finally:
                answer.close()
        except urllib3.exceptions.HTTPError as error:
            raise _DaemonFailed(f"{self._servers[0]}: {error}", sent=False) from error

    def _rotate_servers(self):
        """Move the first daemon to the end of the list."""
        self._servers.append(self._servers.pop(0))


def _quote(name):
    return urllib.parse.quote(name, safe="")


def _make_condition(replaces):
    if replaces is None:
        return {}
    if replaces == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{replaces}"'}


def _was_sent(error):
    """Return whether a failed request may have reached the daemon."""
    never = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    return not isinstance(error, never)


def _parse_reply(status, data):
    try:
        document = json.loads(data)
    except ValueError as error:
        raise _DaemonFailed(
            f"unreadable answer of status {status}", sent=True
        ) from error
    if not isinstance(document, dict):
        raise _DaemonFailed(f"unreadable answer of status {status}", sent=True)
    return Reply(status, document)


def _check_reply(reply):
    """Return a reply unless its status is an error.

    Raises:
        errors.InputErrors: For an invalid request, with all findings.
        ClientError: For an error that every daemon would return.
        _DaemonFailed: For an error that another daemon may not return.
    """
    if reply.status < 400:
        return reply
    error = reply.document.get("error", {})
    message = error.get("message", f"status {reply.status}")
    code = error.get("code", "")
    if reply.status in FAILOVER_STATUSES:
        sent = error.get("may_have_taken_effect", reply.status != 429)
        raise _DaemonFailed(message, sent, error.get("change_id", ""))
    if reply.status == 400:
        findings = [errors.Finding(**form) for form in error.get("findings", ())]
        errors.raise_findings(message, findings)
    if reply.status in (401, 403):
        raise AccessDenied(message)
    if reply.status == 404:
        raise NotFound(message)
    if reply.status == 410:
        raise WatchExpired(message)
    if reply.status == 412:
        raise Conflict(message, error.get("present_version", 0))
    raise Refused(message, code)


def _parse_lines(chunks):
    """Yield the decoded lines of a stream; an incomplete last line is dropped."""
    rest = b""
    for chunk in chunks:
        *whole, rest = (rest + chunk).split(b"\n")
        for text in whole:
            line = _parse_line(text)
            if line["type"] == forms.TYPE_TOO_OLD:
                raise WatchExpired(
                    f"changes up to version {line['version']} are no longer stored"
                )
            yield line


def _parse_line(text):
    try:
        line = json.loads(text)
        if line["type"] in (forms.TYPE_CHANGED, forms.TYPE_DELETED):
            _parse_event(line)
        int(line["version"])
    except (ValueError, KeyError, TypeError) as error:
        raise _DaemonFailed(f"unreadable line of a watch: {error!r}", False) from error
    return line


def _parse_service(form):
    return Service(
        form["name"], form["version"], form["spec"], form["author"], form["changed"]
    )


def _parse_event(line):
    return WatchEvent(
        line["version"], line["name"], line.get("spec"), line["author"], line["changed"]
    )
