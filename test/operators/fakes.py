"""A small log and configuration for tests of the resource API."""

import json
import threading
from typing import Any, NamedTuple

from whinwinch import errors


class Change(NamedTuple):
    change_id: str
    kind: str
    name: str
    replaces: int
    body: dict | None
    author: str
    made: str


class Resource(NamedTuple):
    kind: str
    name: str
    version: int
    body: dict
    author: str
    changed: float


class Applied(NamedTuple):
    accepted: bool
    change: Change | None
    reason: str


class LogDown(errors.UserError):
    def __init__(self, written):
        super().__init__("the log is down")
        self.written = written


class Configuration:
    """Accepts a change that replaces the present version; versions count up."""

    def __init__(self):
        self.offset = 0
        self.version = 0
        self._resources = {}

    def apply(self, offset, time, data):
        self.offset = offset + 1
        change = Change(**json.loads(data))
        key = (change.kind, change.name)
        present: Any = self._resources.get(key)
        version = present.version if present else 0
        if version != change.replaces:
            return Applied(False, change, f"is at version {version}")
        self.version += 1
        self._resources.pop(key, None)
        if change.body is not None:
            self._resources[key] = Resource(
                *key, self.version, change.body, change.author, time
            )
        return Applied(True, change, "")

    def resources(self):
        return tuple(self._resources.values())

    def get(self, kind, name):
        return self._resources.get((kind, name))


class Log:
    """Hands each record to the stores that follow it at once.

    Attributes:
        fault: None, or the exception that the next append ends with.
        keeps: Whether an append that ends with a fault takes effect.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.records = []
        self.stores = []
        self.fault = None
        self.keeps = False

    def append(self, stream, data, timeout):
        with self.lock:
            if self.fault is None or self.keeps:
                self.records.append(data)
                self.deliver()
            if self.fault is not None:
                raise self.fault
            return len(self.records) - 1

    def deliver(self):
        for store in self.stores:
            for offset in range(store.offset, len(self.records)):
                store.apply_record(offset, 1000.0 + offset, self.records[offset])


def encode_change(change):
    return json.dumps(change._asdict()).encode()


def make_change(name="archive", replaces=0, body=None, change_id="c1", author="ana"):
    return Change(change_id, "Service", name, replaces, body, author, "today")
