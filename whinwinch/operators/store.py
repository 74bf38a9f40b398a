"""Thread-safe store of the accepted resources of a daemon.

One task follows the log and passes each record to `Store.apply_record`. cherrypy's
threads read an immutable `View` without a lock, propose changes and wait for
accepted ones. `configuration.Configuration` decides from the order of the log
whether a change is accepted; the store itself decides nothing.
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

# Maximum number of history entries; they contain no resource bodies.
MAX_HISTORY = 1024


class HistoryEntry(NamedTuple):
    """A proposed change and whether it was accepted.

    Attributes:
        offset: Offset of the change in the log.
        time: Time at which the log stored the change, in seconds of the log's
            clock.
        change_id: Identifier of the change.
        kind: Kind of the resource.
        name: Name of the resource.
        author: Operator who made the change.
        made: Time of the change according to the daemon that proposed it.
        deleted: Whether the change deletes the resource.
        accepted: Whether the change took effect.
        reason: Why the change was rejected, "" if it was accepted.
        version: Version of the collection after the change.
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
    """State of a proposed change as observed by this daemon."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    # Certainly not in the log: the change did not and will not take effect.
    NOT_WRITTEN = "not-written"
    # Possibly in the log: the change may have taken effect or may still do so.
    UNKNOWN = "unknown"


class Verdict(NamedTuple):
    """Result of proposing a change.

    Attributes:
        decision: State of the change.
        version: Version of the collection that the change produced, 0 unless
            accepted.
        reason: Why the change was not accepted, "" if it was.
        resource: The `configuration.Resource` that the change produced, None
            after a deletion or if the resource has been changed since.
    """

    decision: Decision
    version: int = 0
    reason: str = ""
    resource: configuration.Resource | None = None


class View(NamedTuple):
    """Immutable view of all resources in force at one moment.

    Attributes:
        version: Version of the collection.
        changed: Time at which the log stored the last change, in seconds of the
            log's clock, 0 if there was none.
        services: Validated specifications by service name.
        resources: `configuration.Resource` by kind and name.
    """

    version: int = 0
    changed: float = 0.0
    services: MappingProxyType = MappingProxyType({})
    resources: MappingProxyType = MappingProxyType({})

    def find_service(self, name):
        """Return the specification of a service, or the default specification."""
        found = self.services.get(name)
        return resources.default_service(name) if found is None else found

    def find_resource(self, kind, name):
        """Return the accepted resource of this kind and name, or None."""
        return self.resources.get((kind, name))

    def list_resources(self, kind):
        """Return all accepted resources of a kind, sorted by name."""
        found = [resource for key, resource in self.resources.items() if key[0] == kind]
        return sorted(found, key=lambda resource: resource.name)


class VersionTooOld(errors.UserError):
    """Some of the changes after this version are no longer stored.

    A watch resumed from this version would miss changes. The client has to list
    the resources and watch from the version of the list.

    Attributes:
        version: Version that the watch was to resume from.
        oldest: Oldest version that a watch can resume from.
    """

    def __init__(self, version, oldest):
        super().__init__(f"version {version} is older than {oldest}: list again")
        self.version = version
        self.oldest = oldest


class _PendingChange:
    """A proposed change that is awaiting its verdict."""

    def __init__(self, change):
        self.change = change
        self.verdict = None


class Store:
    """Accepted resources, pending changes and the threads waiting for them.

    Args:
        accepted: A `configuration.Configuration`; only this store may modify it
            afterwards.
        append: Function of stream, data and timeout in seconds that appends to
            the log and returns the offset. If it raises an exception whose
            attribute ``written`` is False, the record is certainly not in the
            log. After any other exception the record may be in the log.
        encode: Function that encodes a `configuration.Change` as bytes.
        stream: Name of the log stream that contains the configuration.
        clock: Function that returns the time in seconds, for the timeout of
            `propose`.
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
        self._changed = threading.Condition()
        self._view = View()
        self._history = collections.deque(maxlen=MAX_HISTORY)
        self._pending = {}
        self._ready = False
        self._closed = False
        self._rebuild()

    @property
    def ready(self):
        """Whether the log was read to its end or a peer's snapshot was installed."""
        return self._ready

    @property
    def offset(self):
        """Offset of the next record to apply."""
        return self._configuration.offset

    @property
    def version(self):
        """Version of the collection in force."""
        return self._configuration.version

    @property
    def closed(self):
        """Whether the store is closed, so that waiting for changes ends at once."""
        return self._closed

    def mark_ready(self):
        """Mark the store as ready once the configuration has been read."""
        self._ready = True

    def close(self):
        """Wake all waiting threads so that they do not delay the daemon's stop."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def snapshot(self):
        """Return an immutable `View` of everything in force."""
        return self._view

    def list_history(self):
        """Return the last `MAX_HISTORY` proposals read, newest first."""
        with self._changed:
            return tuple(reversed(self._history))

    def apply_record(self, offset, time, data):
        """Apply one record that was read from the log by this daemon or a peer.

        Args:
            offset: Offset of the record in the log.
            time: Time at which the log stored the record, in seconds of the
                log's clock.
            data: Encoded record.

        Returns:
            The `configuration.ApplyResult` returned by the configuration.
        """
        with self._changed:
            applied = self._configuration.apply(offset, time, data)
            if applied.ground is ApplyReason.ACCEPTED:
                self._publish(applied.change)
            if applied.ground in (ApplyReason.ACCEPTED, ApplyReason.CONFLICT):
                self._history.append(_make_entry(offset, time, applied, self.version))
            self._resolve_pending()
        return applied

    def install_snapshot(self, data):
        """Install a snapshot from the log or a peer if it is newer.

        Args:
            data: Encoded snapshot.

        Returns:
            Whether the snapshot was installed.
        """
        with self._changed:
            installed = self._configuration.install(data)
            if installed:
                self._rebuild()
                self._resolve_pending()
        return installed

    def encode_snapshot(self):
        """Return a log record with a snapshot of everything in force."""
        with self._changed:
            return self._configuration.encode_snapshot()

    def encode_resources(self):
        """Return all accepted resources encoded identically at every daemon."""
        view = self._view
        found = [view.resources[key] for key in sorted(view.resources)]
        return json.dumps([list(one) for one in found], sort_keys=True).encode()

    def plan_snapshot(self, retention, wall):
        """Return a `configuration.SnapshotPlan` that states whether one is due.

        Args:
            retention: Seconds for which the log keeps records.
            wall: Wall-clock time in seconds, close to that of the log's clock.
        """
        with self._changed:
            return configuration.plan_snapshot(
                self._configuration.offset,
                self._configuration.snapshot_covers,
                self._configuration.snapshot_time or wall,
                wall,
                retention,
            )

    def propose(self, change, timeout):
        """Append a change to the log and wait until its decision is read back.

        If the log's answer is lost, the change may already be in force. If a
        failure were reported, the operator would make the change again and
        overwrite a change that someone else made in between. The decision
        therefore comes from the log itself, as read by the task that follows it.

        Args:
            change: A `configuration.Change`.
            timeout: Total timeout in seconds.

        Returns:
            A `Verdict`.
        """
        end = self._clock() + timeout
        pending = _PendingChange(change)
        with self._changed:
            self._pending[change.change_id] = pending
        try:
            verdict = self._append_change(change, timeout)
            if verdict.decision is Decision.NOT_WRITTEN:
                return verdict
            self._wait_verdict(pending, max(0.0, end - self._clock()))
            return pending.verdict or verdict
        finally:
            with self._changed:
                del self._pending[change.change_id]

    def find_verdict(self, change):
        """Return the `Verdict` of a change already read from the log, or None."""
        with self._changed:
            decision = self._configuration.find_decision(change.change_id)
            if decision is None:
                return None
            return self._make_verdict(change, decision)

    def wait_changes(self, version, timeout):
        """Wait until there are accepted changes after a version.

        The version may be one that this daemon has not read yet, because the
        watcher may have received it from a daemon that is ahead.

        Args:
            version: Last version of the collection that the watcher has received.
            timeout: Maximum time to wait in seconds.

        Returns:
            A tuple of `configuration.Event`, oldest first; empty if there
            are none when the timeout expires or the store is closed.

        Raises:
            VersionTooOld: If some change after the version is no longer stored.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._configuration.version > version or self._closed, timeout
            )
            found = self._configuration.changes_since(version)
        if isinstance(found, configuration.TooOld):
            raise VersionTooOld(version, found.oldest)
        return found

    def _append_change(self, change, timeout):
        """Append a change and return the verdict if it is not read back in time."""
        try:
            self._append(self._stream, self._encode(change), timeout)
        except Exception as error:
            logging.warning("change=%s append failed: %s", change.change_id, error)
            if getattr(error, "written", None) is False:
                return Verdict(Decision.NOT_WRITTEN, reason=str(error))
            return Verdict(Decision.UNKNOWN, reason="the log's answer was lost")
        reason = "the log stored the change, but it has not been read back yet"
        return Verdict(Decision.UNKNOWN, reason=reason)

    def _wait_verdict(self, pending, timeout):
        with self._changed:
            self._changed.wait_for(lambda: pending.verdict or self._closed, timeout)

    def _resolve_pending(self):
        """Set the verdicts of pending changes that were read; wake all waiters.

        The decision is looked up in the configuration rather than in the record
        just applied, because a daemon that fell behind may receive it in a
        snapshot.
        """
        for pending in self._pending.values():
            decision = self._configuration.find_decision(pending.change.change_id)
            if pending.verdict is None and decision is not None:
                pending.verdict = self._make_verdict(pending.change, decision)
        self._changed.notify_all()

    def _make_verdict(self, change, decision):
        present = self._configuration.get(change.kind, change.name)
        if not decision.accepted:
            state = f"is at version {present.version}" if present else "does not exist"
            return Verdict(Decision.REJECTED, reason=f"{change.name} {state}")
        if present is not None and present.version != decision.version:
            present = None
        return Verdict(Decision.ACCEPTED, decision.version, resource=present)

    def _publish(self, change):
        """Replace the view by one that includes an accepted change."""
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
        """Rebuild the view from the configuration, as after a snapshot."""
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
    """Return the specification of an accepted body, with defaults if unreadable."""
    document = {"kind": resources.KIND_SERVICE, "name": name, "spec": body}
    reading = resources.parse_resource(document)
    # A record that bypassed the API, or that another version wrote, may contain
    # values that this daemon cannot parse. Every daemon still applies it, because
    # they would otherwise disagree on the configuration in force. The log line
    # reports the problem to the operator.
    for finding in reading.findings:
        logging.error(
            "service=%s place=%s unreadable: %s", name, finding.place, finding.problem
        )
    return reading.resource.spec._replace(name=name)
