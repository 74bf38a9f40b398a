"""Watches: streams of the changes after a version, one JSON line each."""

import json
import threading
from collections.abc import Callable
from typing import NamedTuple

from . import forms
from .store import VersionTooOld

DEFAULT_TIMEOUT = 60.0
MAX_TIMEOUT = 3600.0
# Each watch holds a thread of the HTTP server all the time.
DEFAULT_MAX_WATCHERS = 8


class Watch(NamedTuple):
    """What a watcher asked for.

    Attributes:
        version: Version of the collection that it knows.
        timeout: Seconds after which the stream ends.
    """

    version: int
    timeout: float


class Watchers:
    """Number of watches under way, with its limit.

    Args:
        limit: Most watches at once.
    """

    def __init__(self, limit=DEFAULT_MAX_WATCHERS):
        self._places = threading.BoundedSemaphore(limit)
        self.limit = limit

    def try_enter(self):
        """Take a place; return whether there was one."""
        return self._places.acquire(blocking=False)

    def leave(self):
        """Give a place back."""
        self._places.release()


def stream_changes(store, watch, clock: Callable[[], float]):
    """Yield the lines of a watch until its time is over.

    No change is missed or repeated: each round asks for what came after the
    last version that was sent.

    Args:
        store: A `store.Store`.
        watch: A `Watch`.
        clock: Function that returns the time in seconds.
    """
    end = clock() + watch.timeout
    version = watch.version
    yield encode_line(forms.WatchLine(type=forms.TYPE_CURRENT, version=version))
    while not store.closed and (left := end - clock()) > 0:
        try:
            events = store.wait_changes(version, min(left, forms.HEARTBEAT))
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
    """Return the line of a `configuration.Event`."""
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
    """Return a line's bytes."""
    return json.dumps(line).encode() + b"\n"
