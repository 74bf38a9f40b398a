"""A stand-in for the platform's append-only log service, over HTTP.

- ``POST /streams/NAME`` appends the body: 201 and ``{"offset": n}``. Offsets
  start at 0 in each stream.
- ``GET /streams/NAME?offset=N&limit=M&wait=SECONDS``: 200 and ``{"first",
  "next", "records": [{"offset", "time", "data"}]}``. ``first`` is the oldest
  retained offset, ``next`` the offset of the next append, even if ``limit``
  leaves out records; ``time`` is in wall-clock seconds, ``data`` is base64.
  A read from an offset below ``first`` starts at ``first``. With ``wait`` the
  response is delayed until there is a record.
- ``POST /faults`` with any of ``{"down": bool, "delay": seconds,
  "lose_answers": n, "retain": records}``. While the log is down, requests to
  streams get 503. Lost responses are those of appends that took effect.
- ``GET /stats``: numbers of appends, reads, lost responses and current polls.

Records are kept in memory only, so unlike those of the platform's log service
they are lost when the process ends.
"""

import argparse
import base64
import threading
import time
from collections import deque
from json import JSONDecodeError, loads
from typing import NamedTuple, TypedDict

from . import serving

# Each long poll occupies a thread while it waits. The number of polls is limited to
# leave threads free for appends. A poll above the limit is answered immediately
# without records, as if its wait had timed out.
THREADS = 160
MAX_POLLS = 120

DEFAULT_LIMIT = 1000
MAX_WAIT = 60.0  # seconds

# Seconds that an append may be delayed by the rate limit; beyond that it is refused
# with 503.
MAX_RATE_DELAY = 2.0


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, from 0.
        time: Wall-clock time of the append in seconds.
        data: Appended bytes.
    """

    offset: int
    time: float
    data: bytes


class Page(NamedTuple):
    """Result of one read.

    Attributes:
        first: Oldest retained offset.
        next: Offset of the next append.
        records: Records in the order of their offsets.
    """

    first: int
    next: int
    records: tuple[Record, ...]


class Faults(TypedDict, total=False):
    """Body of ``POST /faults``; faults that are absent stay unchanged.

    Attributes:
        down: Whether requests to streams get 503.
        delay: Seconds by which appends and reads are delayed.
        lose_answers: Number of next appends that take effect and get no response.
        retain: Maximum number of records that a stream retains; None for no limit.
    """

    down: bool
    delay: float
    lose_answers: int
    retain: int | None


class LogDown(Exception):
    """The log is down, or its append rate is exceeded."""


class Stream:
    """Retained records of one stream."""

    def __init__(self):
        self.records = deque()
        self.end = 0

    def append(self, data, now):
        """Append a record and return its offset.

        Args:
            data: Bytes of the record.
            now: Wall-clock time in seconds.
        """
        offset = self.end
        self.records.append(Record(offset, now, data))
        self.end += 1
        return offset

    def drop(self, oldest, count):
        """Drop records that are too old or too many.

        Args:
            oldest: Wall-clock time in seconds; records from before are dropped.
            count: Maximum number of records that are retained; None for no limit.
        """
        while self.records and self.records[0].time < oldest:
            self.records.popleft()
        while count is not None and len(self.records) > count:
            self.records.popleft()

    def read(self, offset, limit):
        """Return a `Page` of at most `limit` records, starting at `offset`."""
        first = self.records[0].offset if self.records else self.end
        start = max(offset, first)
        stop = min(start + limit, self.end)
        records = tuple(self.records[at - first] for at in range(start, stop))
        return Page(first, self.end, records)


class Log:
    """All streams and faults, guarded by one lock."""

    def __init__(self, rate=None, retain=None):
        """Create an empty log.

        Args:
            rate: Maximum appends per second over all streams; None for no limit.
            retain: Seconds for which records are retained; None for no limit.
        """
        self.rate = rate
        self.retain = retain
        self.faults = Faults(down=False, delay=0.0, lose_answers=0, retain=None)
        self.stats = {"appends": 0, "reads": 0, "lost": 0, "polls": 0}
        self._streams = {}
        self._condition = threading.Condition()
        self._next_append_time = 0.0

    def set_faults(self, faults):
        """Set the given faults and wake all polls, so that they apply at once.

        Raises:
            ValueError: When a fault name is unknown.
        """
        if unknown := faults.keys() - self.faults.keys():
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        with self._condition:
            self.faults.update(faults)
            self._condition.notify_all()

    def append(self, name, data):
        """Append to a stream, delayed as the rate limit requires.

        Returns:
            The offset, and whether the response has to be lost.

        Raises:
            LogDown: When the log is down or its rate is exceeded.
        """
        self._apply_delay()
        time.sleep(self._reserve_append())
        with self._condition:
            self._check_up()
            stream = self._streams.setdefault(name, Stream())
            offset = stream.append(data, time.time())
            self._drop(stream)
            self.stats["appends"] += 1
            lost = self.faults["lose_answers"] > 0
            if lost:
                self.faults["lose_answers"] -= 1
                self.stats["lost"] += 1
            self._condition.notify_all()
            return offset, lost

    def read(self, name, offset, limit, wait):
        """Return a `Page`, waiting up to `wait` seconds for a first record.

        Raises:
            LogDown: When the log is down or goes down during the wait.
        """
        self._apply_delay()
        until = time.monotonic() + min(wait, MAX_WAIT)
        with self._condition:
            self.stats["reads"] += 1
            page = self._read(name, offset, limit)
            if page.records or wait <= 0 or self.stats["polls"] >= MAX_POLLS:
                return page
            self.stats["polls"] += 1
            try:
                while not page.records and (remaining := until - time.monotonic()) > 0:
                    self._condition.wait(remaining)
                    page = self._read(name, offset, limit)
                return page
            finally:
                self.stats["polls"] -= 1

    def _read(self, name, offset, limit):
        self._check_up()
        stream = self._streams.get(name) or Stream()
        self._drop(stream)
        return stream.read(offset, limit)

    def _drop(self, stream):
        oldest = time.time() - self.retain if self.retain else 0.0
        stream.drop(oldest, self.faults["retain"])

    def _check_up(self):
        if self.faults["down"]:
            raise LogDown("the log is down")

    def _apply_delay(self):
        with self._condition:
            self._check_up()
            delay = self.faults["delay"]
        time.sleep(delay)

    def _reserve_append(self):
        """Return the seconds by which the rate limit delays the next append."""
        if not self.rate:
            return 0.0
        with self._condition:
            now = time.monotonic()
            append_time = max(self._next_append_time, now)
            if append_time - now > MAX_RATE_DELAY:
                raise LogDown("append rate exceeded")
            self._next_append_time = append_time + 1 / self.rate
            return append_time - now


def build_handler(log):
    """Return the request handler of a log server."""

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
    return serving.form_json(404, {"error": f"no endpoint {method} {path}"})


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
    """Create a log server that is bound to its address.

    Args:
        address: `serving.Address`.
        rate: Maximum appends per second; None for no limit.
        retain: Seconds for which records are retained; None for no limit.
    """
    log = Log(rate, retain)
    return serving.build_server(address, build_handler(log), THREADS)


def main(arguments=None):
    """Serve a log until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", type=serving.parse_address, required=True)
    parser.add_argument("--rate", type=float, help="maximum appends per second")
    parser.add_argument(
        "--retain", type=float, help="seconds for which records are retained"
    )
    options = parser.parse_args(arguments)
    server = build_server(options.address, options.rate, options.retain)
    serving.start_server(server)
    print(f"log on {serving.find_address(server)}", flush=True)
    serving.wait_for_signal()
    server.stop()


if __name__ == "__main__":
    main()
