"""In-memory log for tests of the resource API."""

import threading

from whinwinch import errors
from whinwinch.configuration import Change


class LogDown(errors.UserError):
    def __init__(self, written):
        super().__init__("the log is down")
        self.written = written


class Log:
    """Log that passes each record to the following stores at once.

    Attributes:
        fault: Exception that appends raise, None for no fault.
        keeps: Whether an append that raises `fault` still stores the record.
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


def make_change(name="archive", replaces=0, body=None, change_id="c1", author="ana"):
    return Change(change_id, "Service", name, replaces, body, author, "today")
