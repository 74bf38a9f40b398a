"""Client of the resource API, for the commands and for operators' tooling.

Any daemon will do, so a client has several addresses and goes to the next when
one fails. A change carries a key, by which all daemons know it again: it can be
sent to a second daemon after an answer was lost, and still takes effect once.
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

# Seconds. The daemon itself waits up to 5 for the log.
DEFAULT_TIMEOUT = 10.0
# Seconds without a line after which a watch is taken for broken; a daemon sends
# one every `forms.HEARTBEAT`.
WATCH_SILENCE = 3 * forms.HEARTBEAT
WATCH_TIMEOUT = 600.0
# Seconds between rounds over all daemons that all failed; doubled each round.
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 5.0
# Answers that another daemon may not give.
RETRIED_ELSEWHERE = frozenset({429, 500, 502, 503, 504})
# Rounds in a row without any line after which a watch gives up.
WATCH_ROUNDS = 10


class ClientError(errors.UserError):
    """A request to the resource API that did not succeed."""


class Unreachable(ClientError):
    """No daemon gave a usable answer; nothing was changed."""


class AccessDenied(ClientError):
    """The token is not known, or the daemon's API is closed."""


class NotFound(ClientError):
    """There is no such resource."""


class Conflict(ClientError):
    """Somebody else has changed the resource.

    Attributes:
        present_version: Its present version, 0 when it does not exist.
    """

    def __init__(self, problem, present_version):
        super().__init__(problem)
        self.present_version = present_version


class Undecided(ClientError):
    """The change may have taken effect, or still may.

    Attributes:
        change_id: Its identifier in the history, "" when no daemon named it.
    """

    def __init__(self, problem, change_id=""):
        super().__init__(problem)
        self.change_id = change_id


class MustList(ClientError):
    """Changes after the watch's version are forgotten: list and watch anew."""


class Refused(ClientError):
    """Any other refusal, with its code."""

    def __init__(self, problem, code):
        super().__init__(problem)
        self.code = code


class Service(NamedTuple):
    """A resource as the API gives it.

    Attributes:
        name: Name of the service.
        version: Its version; state it to change just this one.
        spec: Its specification in JSON form.
        author: Who made it so.
        changed: When, in seconds of the log's clock.
    """

    name: str
    version: int
    spec: dict
    author: str
    changed: float


class Listing(NamedTuple):
    """All services, and the version of the collection to watch from."""

    version: int
    services: tuple[Service, ...]


class WatchEvent(NamedTuple):
    """A change that took effect.

    Attributes:
        version: Version of the collection that it made.
        name: Name of the service.
        spec: The specification in JSON form, None after a deletion.
        author: Who made it.
        changed: When, in seconds of the log's clock.
    """

    version: int
    name: str
    spec: dict | None
    author: str
    changed: float


class Reply(NamedTuple):
    """The HTTP status of an answer and its JSON body."""

    status: int
    document: dict


class _NoAnswer(Exception):
    """One daemon gave no usable answer.

    Attributes:
        sent: Whether the request may have reached it.
        change_id: Identifier of the change, if the daemon named it.
    """

    def __init__(self, problem, sent, change_id=""):
        super().__init__(problem)
        self.sent = sent
        self.change_id = change_id


class Client:
    """Connections to the daemons of a mesh; for one thread.

    Args:
        servers: URLs of daemons, such as ``http://10.0.0.7:7300``.
        token: The operator's token.
        timeout: Seconds for each request.
        sleep: Function that pauses for some seconds, between failed rounds.
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
            replaces: Version that must be the present one, 0 when the service
                must not exist yet, None for whatever is there.

        Returns:
            The version of the service that the change made.

        Raises:
            errors.InputErrors: When the resource has errors, with all findings.
            ClientError: When it did not succeed, of a type that says why.
        """
        name = document.get("name") if isinstance(document, dict) else None
        if not isinstance(name, str) or not name:
            errors.raise_findings("resource", [errors.Finding("name", "is missing")])
        return self._change("PUT", name, replaces, document)

    def delete_service(self, name, replaces=None):
        """Delete a service; arguments and errors as for `apply_service`.

        Returns:
            The version of the collection that the change made.
        """
        return self._change("DELETE", name, replaces, None)

    def get_service(self, name):
        """Return a `Service`."""
        return _parse_service(self._read(f"/services/{_quote(name)}"))

    def list_services(self):
        """Return a `Listing`."""
        document = self._read("/services")
        services = tuple(_parse_service(form) for form in document["services"])
        return Listing(document["version"], services)

    def read_status(self):
        """Return the JSON form of a daemon's status."""
        return self._read("/status")

    def drain(self):
        """Let the first daemon and its backend server begin to leave.

        No other daemon is asked when it doesn't answer: that one would leave in
        its place.

        Returns:
            The JSON form of its status.
        """
        try:
            return _check_reply(self._ask("POST", "/drain")).document
        except _NoAnswer as error:
            if error.sent:
                advice = "it may be leaving: look at its status"
                raise Undecided(f"{error}; {advice}") from error
            raise Unreachable(str(error)) from error

    def read_history(self, limit=100):
        """Return the JSON forms of the last changes, the newest first."""
        return self._read(f"/history?limit={limit}")["changes"]

    def watch_services(self, version=None):
        """Yield the `WatchEvent`s after a version, without end.

        After a cut it goes on at the next daemon from the last version seen, so
        that no change is missed or repeated.

        Args:
            version: Version of the collection to go on from, None for the
                present one.

        Raises:
            MustList: When changes after the version are forgotten.
            ClientError: When the token isn't taken, or no daemon has answered
                for `WATCH_ROUNDS` rounds.
        """
        failures = 0
        while True:
            problem = "the watch was cut"
            try:
                for count, line in enumerate(self._stream(version)):
                    version = line["version"]
                    if line["type"] != forms.TYPE_CURRENT:
                        yield _parse_event(line)
                    # Each stream opens with a line; only a second one shows that
                    # it works. A daemon that is stopping ends it after the first.
                    if count:
                        failures = 0
            except _NoAnswer as error:
                problem = str(error)
            failures += 1
            self._turn()
            self._pause_watch(failures, problem)

    def _pause_watch(self, failures, problem):
        """Pause after each round over all daemons; give up after many."""
        rounds, rest = divmod(failures, len(self._servers))
        if rounds >= WATCH_ROUNDS:
            raise Unreachable(problem)
        if not rest:
            self._sleep(min(FIRST_PAUSE * 2 ** (rounds - 1), LONGEST_PAUSE))

    def _read(self, path):
        """Return the JSON body of a GET, from the first daemon that answers."""
        last = None
        for _ in self._servers:
            try:
                return _check_reply(self._ask("GET", path)).document
            except _NoAnswer as error:
                last = error
                self._turn()
        raise Unreachable(f"no daemon answered; the last: {last}")

    def _change(self, method, name, replaces, document):
        headers = {forms.REPEAT_HEADER: uuid.uuid4().hex} | _make_condition(replaces)
        path = f"/services/{_quote(name)}"
        maybe = None
        last = None
        for _ in self._servers:
            try:
                reply = self._ask(method, path, document, headers)
                return _check_reply(reply).document["version"]
            except _NoAnswer as error:
                last = error
                maybe = error if error.sent else maybe
                self._turn()
        if maybe is not None:
            advice = "the change may be in force: look into the history"
            raise Undecided(f"{maybe}; {advice}", maybe.change_id)
        raise Unreachable(f"nothing was changed: {last}")

    def _ask(self, method, path, document=None, headers=None):
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
            raise _NoAnswer(f"{self._servers[0]}: {error}", _was_sent(error)) from error
        return _parse_reply(answer.status, answer.data)

    def _stream(self, version):
        """Yield the lines of one watch at one daemon until it is cut."""
        after = "" if version is None else f"&version={version}"
        path = f"/services?watch=true&timeout={WATCH_TIMEOUT:g}{after}"
        try:
            answer = self._pool.request(
                "GET",
                self._servers[0] + path,
                headers=self._headers,
                timeout=urllib3.Timeout(connect=self._timeout, read=WATCH_SILENCE),
                preload_content=False,
            )
            try:
                if answer.status != 200:
                    _check_reply(_parse_reply(answer.status, answer.data))
                yield from _parse_lines(answer.stream())
            finally:
                answer.close()
        except urllib3.exceptions.HTTPError as error:
            raise _NoAnswer(f"{self._servers[0]}: {error}", sent=False) from error

    def _turn(self):
        """Go to the next daemon."""
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
    """Return whether a request that failed may have reached the daemon."""
    never = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    return not isinstance(error, never)


def _parse_reply(status, data):
    try:
        document = json.loads(data)
    except ValueError as error:
        raise _NoAnswer(f"unreadable answer of status {status}", sent=True) from error
    if not isinstance(document, dict):
        raise _NoAnswer(f"unreadable answer of status {status}", sent=True)
    return Reply(status, document)


def _check_reply(reply):
    """Return a good reply.

    Raises:
        ClientError: For an error that another daemon would give as well.
        _NoAnswer: For one that another daemon may not give.
    """
    if reply.status < 400:
        return reply
    error = reply.document.get("error", {})
    message = error.get("message", f"status {reply.status}")
    code = error.get("code", "")
    if reply.status in RETRIED_ELSEWHERE:
        sent = error.get("may_have_taken_effect", reply.status != 429)
        raise _NoAnswer(message, sent, error.get("change_id", ""))
    if reply.status == 400:
        findings = [errors.Finding(**form) for form in error.get("findings", ())]
        errors.raise_findings(message, findings)
    if reply.status in (401, 403):
        raise AccessDenied(message)
    if reply.status == 404:
        raise NotFound(message)
    if reply.status == 410:
        raise MustList(message)
    if reply.status == 412:
        raise Conflict(message, error.get("present_version", 0))
    raise Refused(message, code)


def _parse_lines(chunks):
    """Yield the decoded lines of a stream; a line that was cut off is dropped."""
    rest = b""
    for chunk in chunks:
        *whole, rest = (rest + chunk).split(b"\n")
        for text in whole:
            line = _parse_line(text)
            if line["type"] == forms.TYPE_TOO_OLD:
                raise MustList(f"changes up to {line['version']} are forgotten")
            yield line


def _parse_line(text):
    try:
        line = json.loads(text)
        if line["type"] in (forms.TYPE_CHANGED, forms.TYPE_DELETED):
            _parse_event(line)
        int(line["version"])
    except (ValueError, KeyError, TypeError) as error:
        raise _NoAnswer(f"unreadable line of a watch: {error!r}", False) from error
    return line


def _parse_service(form):
    return Service(
        form["name"], form["version"], form["spec"], form["author"], form["changed"]
    )


def _parse_event(line):
    return WatchEvent(
        line["version"], line["name"], line.get("spec"), line["author"], line["changed"]
    )
