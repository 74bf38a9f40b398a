"""Watches: streams of changes after a version, one JSON line per change."""

import json
import threading
from collections.abc import Callable
from typing import NamedTuple

from . import forms
from .store import VersionTooOld

# Seconds after which a watch ends.
DEFAULT_TIMEOUT = 60.0
MAX_TIMEOUT = 3600.0
# Each watch occupies a thread of the HTTP server until it ends.
DEFAULT_MAX_WATCHERS = 8


class Watch(NamedTuple):
    """Parameters of a watch.

    Attributes:
        version: Version of the collection after which the changes are sent.
        timeout: Seconds after which the stream ends.
    """

    version: int
    timeout: float


class Watchers:
    """Limit on the number of concurrent watches.

    Args:
        limit: Maximum number of concurrent watches.
    """

    def __init__(self, limit=DEFAULT_MAX_WATCHERS):
        self._places = threading.BoundedSemaphore(limit)
        self.limit = limit

    def try_enter(self):
        """Occupy a place and return whether one was free."""
        return self._places.acquire(blocking=False)

    def leave(self):
        """Release a place."""
        self._places.release()


def stream_changes(store, watch, clock: Callable[[], float]):
    """Yield the lines of a watch until it times out or the store is closed.

    No change is missed or repeated, because each round requests the changes after
    the last version that was sent.

    Args:
        store: A `store.Store`.
        watch: A `Watch`.
        clock: Function that returns the time in seconds.
    """
    end = clock() + watch.timeout
    version = watch.version
    yield encode_line(forms.WatchLine(type=forms.TYPE_CURRENT, version=version))
    while not store.closed and (remaining := end - clock()) > 0:
        try:
            events = store.wait_changes(
                version, min(remaining, forms.HEARTBEAT_INTERVAL)
            )
        except VersionTooOld as error:
            yield encode_line(
                forms.WatchLine(type=forms.TYPE_TOO_OLD, version=error.oldest)
            )
            return
        for event in events:
            yield encode_line(format_event(event))
            version = event.version
        if not events:
            yield encode_line(forms.WatchLine(type=forms.TYPE_CURRENT, version=version))


def format_event(event):
    """Return the `forms.WatchLine` of a `configuration.Event`."""
    line = forms.WatchLine(
        type=forms.TYPE_DELETED if event.resource is None else forms.TYPE_CHANGED,
        version=event.version,
        kind=event.kind,
        name=event.name,
        change_id=event.change_id,
        author=event.author,
        changed=event.changed,
    )
    if event.resource is not None:
        line["spec"] = event.resource.body
    return line


def encode_line(line):
    """Return a line as JSON bytes with a line end."""
    return json.dumps(line).encode() + b"\n"
