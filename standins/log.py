"""A stand-in for the platform's append-only log service, over HTTP.

- ``POST /streams/NAME``, any body: 201 and ``{"offset": n}``. Offsets start at
  0 in each stream.
- ``GET /streams/NAME?offset=N&limit=M&wait=SECONDS``: 200 and ``{"first",
  "next", "records": [{"offset", "time", "data"}]}``. ``first`` is the oldest
  offset kept, ``next`` the one that the next append gets, also where ``limit``
  cuts the records short; ``time`` is in wall-clock seconds, ``data`` is base64.
  A read below ``first`` starts at ``first``. With ``wait`` the answer is held
  until there is a record to give.
- ``POST /faults`` with any of ``{"down": bool, "delay": seconds,
  "lose_answers": n, "retain": records}``. While down every other request gets
  503. A lost answer belongs to an append that took effect.
- ``GET /stats``: appends, reads and lost answers so far.

Records are kept in memory only; the platform's own service outlives its
processes, this one doesn't.
"""

import argparse
import base64
import threading
import time
from collections import deque
from json import JSONDecodeError, loads
from typing import NamedTuple, TypedDict

from . import serving

# Requests answered at once. Each long poll holds a thread while it waits, so
# polls get at most POLLS of them and appends always find one free. A poll too
# many is answered at once with no records, as if its wait were over.
THREADS = 160
POLLS = 120

DEFAULT_LIMIT = 1000
MAX_WAIT = 60.0

# An append that would wait longer than this for its turn is refused by 503, as
# a service with a limited rate would do.
MAX_TURN = 2.0


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Place in the stream, from 0.
        time: Wall-clock seconds of the append.
        data: What was appended.
    """

    offset: int
    time: float
    data: bytes


class Page(NamedTuple):
    """What one read gives.

    Attributes:
        first: Oldest offset kept.
        next: Offset that the next append gets.
        records: The records, in order.
    """

    first: int
    next: int
    records: tuple[Record, ...]


class Faults(TypedDict, total=False):
    """The body of ``POST /faults``; what is left out stays as it is."""

    down: bool
    delay: float
    lose_answers: int
    retain: int | None


class LogDown(Exception):
    """The log is down, or has more appends than its rate allows."""


class Stream:
    """The records kept of one stream."""

    def __init__(self):
        self.records = deque()
        self.end = 0

    def append(self, data, now):
        """Add a record and return its offset."""
        offset = self.end
        self.records.append(Record(offset, now, data))
        self.end += 1
        return offset

    def drop(self, oldest, count):
        """Forget records from before `oldest` seconds, and all but the last `count`."""
        while self.records and self.records[0].time < oldest:
            self.records.popleft()
        while count is not None and len(self.records) > count:
            self.records.popleft()

    def read(self, offset, limit):
        """Return a `Page` from `offset` on, of at most `limit` records."""
        first = self.records[0].offset if self.records else self.end
        start = max(offset, first)
        stop = min(start + limit, self.end)
        records = tuple(self.records[at - first] for at in range(start, stop))
        return Page(first, self.end, records)


class Log:
    """All streams, the faults set, and the lock that guards both."""

    def __init__(self, rate=None, retain=None):
        """Create an empty log.

        Args:
            rate: Appends a second over all streams; None for no limit.
            retain: Seconds for which records are kept; None for ever.
        """
        self.rate = rate
        self.retain = retain
        self.faults = Faults(down=False, delay=0.0, lose_answers=0, retain=None)
        self.stats = {"appends": 0, "reads": 0, "lost": 0, "polls": 0}
        self._streams = {}
        self._changed = threading.Condition()
        self._turn = 0.0

    def set_faults(self, faults):
        """Set the faults named and wake every poll, for it to see them.

        Raises:
            ValueError: When there is no fault of some name.
        """
        if unknown := faults.keys() - self.faults.keys():
            raise ValueError(f"no such faults: {sorted(unknown)}")
        with self._changed:
            self.faults.update(faults)
            self._changed.notify_all()

    def append(self, name, data):
        """Append to a stream, at the log's rate.

        Returns:
            The offset, and whether the answer has to be lost.

        Raises:
            LogDown: When the log is down or its rate is exceeded.
        """
        self._pause()
        time.sleep(self._take_turn())
        with self._changed:
            self._check()
            stream = self._streams.setdefault(name, Stream())
            offset = stream.append(data, time.time())
            self._drop(stream)
            self.stats["appends"] += 1
            lost = self.faults["lose_answers"] > 0
            if lost:
                self.faults["lose_answers"] -= 1
                self.stats["lost"] += 1
            self._changed.notify_all()
            return offset, lost

    def read(self, name, offset, limit, wait):
        """Return a `Page`, after up to `wait` seconds if there is nothing yet.

        Raises:
            LogDown: When the log is or goes down.
        """
        self._pause()
        until = time.monotonic() + min(wait, MAX_WAIT)
        with self._changed:
            self.stats["reads"] += 1
            page = self._read(name, offset, limit)
            if page.records or wait <= 0 or self.stats["polls"] >= POLLS:
                return page
            self.stats["polls"] += 1
            try:
                while not page.records and (left := until - time.monotonic()) > 0:
                    self._changed.wait(left)
                    page = self._read(name, offset, limit)
                return page
            finally:
                self.stats["polls"] -= 1

    def _read(self, name, offset, limit):
        self._check()
        stream = self._streams.get(name) or Stream()
        self._drop(stream)
        return stream.read(offset, limit)

    def _drop(self, stream):
        oldest = time.time() - self.retain if self.retain else 0.0
        stream.drop(oldest, self.faults["retain"])

    def _check(self):
        if self.faults["down"]:
            raise LogDown("the log is down")

    def _pause(self):
        with self._changed:
            self._check()
            delay = self.faults["delay"]
        time.sleep(delay)

    def _take_turn(self):
        """Return how long to wait for a turn at the log's rate."""
        if not self.rate:
            return 0.0
        with self._changed:
            now = time.monotonic()
            turn = max(self._turn, now)
            if turn - now > MAX_TURN:
                raise LogDown("more appends than the log takes")
            self._turn = turn + 1 / self.rate
            return turn - now


def answer_with(log):
    """Return the function that answers requests from a `Log`."""

    def answer(environ):
        try:
            return _answer(log, environ)
        except LogDown as error:
            retry = (("Retry-After", "1"),)
            return serving.form_json(503, {"error": str(error)}, retry)
        except (ValueError, JSONDecodeError) as error:
            return serving.form_json(400, {"error": str(error)})

    return answer


def _answer(log, environ):
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
    if path.startswith("/streams/"):
        name = path.removeprefix("/streams/")
        if method == "POST":
            return _answer_append(log, name, environ)
        if method == "GET":
            return _answer_read(log, name, serving.read_query(environ))
    if (method, path) == ("POST", "/faults"):
        log.set_faults(loads(serving.read_body(environ)))
        return serving.form_json(200, log.faults)
    if (method, path) == ("GET", "/stats"):
        return serving.form_json(200, log.stats)
    return serving.form_json(404, {"error": f"nothing at {method} {path}"})


def _answer_append(log, name, environ):
    offset, lost = log.append(name, serving.read_body(environ))
    if lost:
        serving.break_connection()
    return serving.form_json(201, {"offset": offset})


def _answer_read(log, name, query):
    offset = int(query.get("offset", 0))
    limit = max(1, int(query.get("limit", DEFAULT_LIMIT)))
    page = log.read(name, offset, limit, float(query.get("wait", 0)))
    records = [
        {
            "offset": record.offset,
            "time": record.time,
            "data": base64.b64encode(record.data).decode(),
        }
        for record in page.records
    ]
    return serving.form_json(200, {**page._asdict(), "records": records})


def build_server(address, rate=None, retain=None):
    """Bind a log server.

    Args:
        address: `serving.Address`.
        rate: Appends a second; None for no limit.
        retain: Seconds for which records are kept; None for ever.
    """
    log = Log(rate, retain)
    return serving.build_server(address, answer_with(log), THREADS)


def main(arguments=None):
    """Serve a log until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", type=serving.parse_address, required=True)
    parser.add_argument("--rate", type=float, help="appends a second")
    parser.add_argument("--retain", type=float, help="seconds a record is kept")
    options = parser.parse_args(arguments)
    server = build_server(options.address, options.rate, options.retain)
    serving.start_server(server)
    print(f"log on {serving.find_address(server)}", flush=True)
    serving.wait_for_signal()
    server.stop()


if __name__ == "__main__":
    main()
