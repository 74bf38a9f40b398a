"""The accepted resources of a daemon, shared between its threads.

One task follows the log and hands each record to `Store.apply_record`. Threads
of cherrypy read an immutable `View` without a lock, propose changes
and wait for news. Whether a change is accepted is decided by the log's order in
`configuration.Configuration`; nothing here decides it.
"""

import collections
import enum
import json
import threading
import time as clocks
from types import MappingProxyType
from typing import NamedTuple

from absl import logging

from .. import configuration, errors, resources
from ..configuration import ApplyReason
from ..logservice import streams

# Entries of the history, which hold no resource bodies.
MAX_HISTORY = 1024


class HistoryEntry(NamedTuple):
    """One proposed change, accepted or not.

    Attributes:
        offset: Its place in the log.
        time: When the log took it, in seconds of the log's clock.
        change_id: Its identifier.
        kind: Kind of the resource.
        name: Name of the resource.
        author: Who made it.
        made: When the author's daemon says it was made.
        deleted: Whether it deletes the resource.
        accepted: Whether it took effect.
        reason: Why it did not.
        version: Version of the collection after it.
    """

    offset: int
    time: float
    change_id: str
    kind: str
    name: str
    author: str
    made: str
    deleted: bool
    accepted: bool
    reason: str
    version: int


class Decision(enum.Enum):
    """What is known of a proposed change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    # Surely not in the log: it did not and will not take effect.
    NOT_WRITTEN = "not-written"
    # May be in the log, and may still take effect.
    UNKNOWN = "unknown"


class Verdict(NamedTuple):
    """The end of a proposal.

    Attributes:
        decision: What is known.
        version: Version of the collection that the change made, 0 unless
            accepted.
        reason: Why, when it was not accepted.
        resource: The accepted `configuration.Resource` as the change made it,
            None after a deletion or when it has been changed since.
    """

    decision: Decision
    version: int = 0
    reason: str = ""
    resource: configuration.Resource | None = None


class View(NamedTuple):
    """Everything in force at one moment; never changes.

    Attributes:
        version: Version of the collection.
        changed: When the last change was taken by the log, in seconds of the
            log's clock, 0 when there was none.
        services: Checked specification by name of the service.
        resources: `configuration.Resource` by kind and name.
    """

    version: int = 0
    changed: float = 0.0
    services: MappingProxyType = MappingProxyType({})
    resources: MappingProxyType = MappingProxyType({})

    def find_service(self, name):
        """Return the specification of a service, the default if undeclared."""
        found = self.services.get(name)
        return resources.default_service(name) if found is None else found

    def find_resource(self, kind, name):
        """Return the accepted resource, or None."""
        return self.resources.get((kind, name))

    def list_resources(self, kind):
        """Return all accepted resources of a kind in the order of their names."""
        found = [resource for key, resource in self.resources.items() if key[0] == kind]
        return sorted(found, key=lambda resource: resource.name)


class VersionTooOld(errors.UserError):
    """Changes after this version are no longer all known here.

    A watch that went on from it would miss changes, so its owner has to list
    the resources and watch from the list's version.
    """

    def __init__(self, version, oldest):
        super().__init__(f"version {version} is older than {oldest}: list again")
        self.version = version
        self.oldest = oldest


class _Pending:
    """A change under way, and its verdict once it is known."""

    def __init__(self, change):
        self.change = change
        self.verdict = None


class Store:
    """Accepted resources, changes under way and those who wait for them.

    Args:
        accepted: A `configuration.Configuration`; only this store may change it
            afterwards.
        append: Function of stream, data and timeout in seconds that appends to
            the log and returns the offset. It raises an exception with an
            attribute ``written``: False when the record is surely not in the
            log. Every other exception counts as not known.
        encode: Function that turns a `configuration.Change` into bytes.
        stream: Name of the log's stream of configuration.
        clock: The clock that `propose` measures its timeout with, in seconds.
    """

    def __init__(
        self,
        accepted,
        append,
        encode=configuration.encode_change,
        stream=streams.CONFIGURATION,
        clock=clocks.monotonic,
    ):
        self._configuration = accepted
        self._append = append
        self._encode = encode
        self._stream = stream
        self._clock = clock
        self._news = threading.Condition()
        self._view = View()
        self._history = collections.deque(maxlen=MAX_HISTORY)
        self._pending = {}
        self._ready = False
        self._closed = False
        self._rebuild()

    @property
    def ready(self):
        """Whether the log has been read up to its end, or a peer's state taken."""
        return self._ready

    @property
    def offset(self):
        """Offset of the next record wanted."""
        return self._configuration.offset

    @property
    def version(self):
        """Version of the collection in force."""
        return self._configuration.version

    @property
    def closed(self):
        """Whether nobody should wait for changes any more."""
        return self._closed

    def mark_ready(self):
        """Say that the state is no longer that of a daemon that has read nothing."""
        self._ready = True

    def close(self):
        """End all waiting, so that a daemon that stops is not held up by it."""
        with self._news:
            self._closed = True
            self._news.notify_all()

    def snapshot(self):
        """Return everything in force, as an immutable `View`."""
        return self._view

    def list_history(self):
        """Return the proposals read so far, the newest first."""
        with self._news:
            return tuple(reversed(self._history))

    def apply_record(self, offset, time, data):
        """Take one record of the log, or of a peer that read it there.

        Args:
            offset: Its offset.
            time: When the log took it, in seconds of the log's clock.
            data: Its bytes.

        Returns:
            The `configuration.ApplyResult` that the configuration gave.
        """
        with self._news:
            applied = self._configuration.apply(offset, time, data)
            if applied.ground is ApplyReason.ACCEPTED:
                self._publish(applied.change)
            if applied.ground in (ApplyReason.ACCEPTED, ApplyReason.CONFLICT):
                self._history.append(_make_entry(offset, time, applied, self.version))
            self._settle()
        return applied

    def install_snapshot(self, data):
        """Take in a snapshot of the log or of a peer, if it is newer.

        Args:
            data: Its bytes.

        Returns:
            Whether it was taken in.
        """
        with self._news:
            installed = self._configuration.install(data)
            if installed:
                self._rebuild()
                self._settle()
        return installed

    def encode_snapshot(self):
        """Return the log record of a snapshot of everything in force."""
        with self._news:
            return self._configuration.encode_snapshot()

    def encode_resources(self):
        """Return all accepted resources as bytes, the same at every daemon."""
        view = self._view
        found = [view.resources[key] for key in sorted(view.resources)]
        return json.dumps([list(one) for one in found], sort_keys=True).encode()

    def plan_snapshot(self, retention, wall):
        """Return whether a snapshot is due, as a `configuration.SnapshotPlan`.

        Args:
            retention: Seconds for which the log keeps records.
            wall: Wall-clock time in seconds, near enough to the log's.
        """
        with self._news:
            return configuration.plan_snapshot(
                self._configuration.offset,
                self._configuration.snapshot_covers,
                self._configuration.snapshot_time or wall,
                wall,
                retention,
            )

    def propose(self, change, timeout):
        """Append a change to the log and wait until its fate has been read.

        An answer of the log that got lost says nothing: the change may be in
        force already. Reporting a failure then would have an operator make it
        again, on top of somebody else's change in between. So the fate is taken
        from the log, where the task that follows it finds the change or not.

        Args:
            change: A `configuration.Change`.
            timeout: Seconds for all.

        Returns:
            A `Verdict`.
        """
        end = self._clock() + timeout
        pending = _Pending(change)
        with self._news:
            self._pending[change.change_id] = pending
        try:
            verdict = self._append_change(change, timeout)
            if verdict.decision is Decision.NOT_WRITTEN:
                return verdict
            self._wait_verdict(pending, max(0.0, end - self._clock()))
            return pending.verdict or verdict
        finally:
            with self._news:
                del self._pending[change.change_id]

    def find_verdict(self, change):
        """Return the `Verdict` of a change that has been read before, or None."""
        with self._news:
            decision = self._configuration.find_decision(change.change_id)
            if decision is None:
                return None
            return self._make_verdict(change, decision)

    def wait_changes(self, version, timeout):
        """Wait until there are accepted changes after a version.

        A version that this daemon has not read yet is waited for: the watcher
        may have seen it at a daemon that is ahead.

        Args:
            version: Version of the collection that the watcher knows.
            timeout: Seconds, at most.

        Returns:
            A tuple of `configuration.Event`, oldest first; empty after the
            timeout.

        Raises:
            VersionTooOld: When some change after the version isn't known here.
        """
        with self._news:
            self._news.wait_for(
                lambda: self._configuration.version > version or self._closed, timeout
            )
            found = self._configuration.changes_since(version)
        if isinstance(found, configuration.TooOld):
            raise VersionTooOld(version, found.oldest)
        return found

    def _append_change(self, change, timeout):
        """Append and return what is known before the change has been read."""
        try:
            self._append(self._stream, self._encode(change), timeout)
        except Exception as error:
            logging.warning("change=%s append failed: %s", change.change_id, error)
            if getattr(error, "written", None) is False:
                return Verdict(Decision.NOT_WRITTEN, reason=str(error))
            return Verdict(Decision.UNKNOWN, reason="the log's answer was lost")
        reason = "the log took the change, but it has not been read back yet"
        return Verdict(Decision.UNKNOWN, reason=reason)

    def _wait_verdict(self, pending, timeout):
        with self._news:
            self._news.wait_for(lambda: pending.verdict or self._closed, timeout)

    def _settle(self):
        """Give their verdicts to changes that have been read; wake all waiting.

        The decision is looked up instead of taken from the record just read: a
        daemon that fell behind may learn it from a snapshot.
        """
        for pending in self._pending.values():
            decision = self._configuration.find_decision(pending.change.change_id)
            if pending.verdict is None and decision is not None:
                pending.verdict = self._make_verdict(pending.change, decision)
        self._news.notify_all()

    def _make_verdict(self, change, decision):
        present = self._configuration.get(change.kind, change.name)
        if not decision.accepted:
            state = f"at version {present.version}" if present else "not there"
            return Verdict(Decision.REJECTED, reason=f"{change.name} is {state}")
        if present is not None and present.version != decision.version:
            present = None
        return Verdict(Decision.ACCEPTED, decision.version, resource=present)

    def _publish(self, change):
        """Put a view with one change more in place of the last."""
        key = (change.kind, change.name)
        services = dict(self._view.services)
        accepted = dict(self._view.resources)
        if change.body is None:
            del accepted[key]
            services.pop(change.name, None)
        else:
            accepted[key] = self._configuration.get(*key)
            if change.kind == resources.KIND_SERVICE:
                services[change.name] = _read_service(change.name, change.body)
        self._set_view(services, accepted, self._configuration.time)

    def _rebuild(self):
        """Publish everything anew, after a snapshot took the place of changes."""
        found = self._configuration.resources()
        accepted = {(resource.kind, resource.name): resource for resource in found}
        services = {
            resource.name: _read_service(resource.name, resource.body)
            for resource in found
            if resource.kind == resources.KIND_SERVICE
        }
        changed = max((resource.changed for resource in found), default=0.0)
        self._set_view(services, accepted, changed)

    def _set_view(self, services, accepted, changed):
        self._view = View(
            self._configuration.version,
            changed,
            MappingProxyType(services),
            MappingProxyType(accepted),
        )


def _make_entry(offset, time, applied, version):
    change = applied.change
    return HistoryEntry(
        offset=offset,
        time=time,
        change_id=change.change_id,
        kind=change.kind,
        name=change.name,
        author=change.author,
        made=change.made,
        deleted=change.body is None,
        accepted=applied.accepted,
        reason="" if applied.accepted else applied.ground.value,
        version=version,
    )


def _read_service(name, body):
    """Return the specification of an accepted body, as far as it can be read."""
    document = {"kind": resources.KIND_SERVICE, "name": name, "spec": body}
    reading = resources.parse_resource(document)
    # A record written past the API, or by another version, may say what this
    # daemon can't read. All daemons take it, or they would disagree on what is
    # in force; the line is how an operator notices.
    for finding in reading.findings:
        logging.error(
            "service=%s place=%s unreadable: %s", name, finding.place, finding.problem
        )
    return reading.resource.spec._replace(name=name)
