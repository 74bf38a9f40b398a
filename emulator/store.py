"""A stand-in for the platform's store: its topics, and its faults on command."""

import asyncio
import base64
import json
import struct
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from whinwinch.http1.messages import HttpResponse
from whinwinch.http1.server import Limits, Server

HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
PAGE_ITEMS = 500


class Faults(NamedTuple):
    """What the store does wrong until told otherwise.

    Attributes:
        refuse: Status with which every call is answered; 0 for none.
        silent: Whether it answers nothing at all.
        delay: Seconds by which each answer is late.
        lose: Whether appends are done and not answered.
        late: Seconds after which such an append is done.
        refused: IP numbers of those that alone get `refuse`; empty for all.
    """

    refuse: int = 0
    silent: bool = False
    delay: float = 0.0
    lose: bool = False
    late: float = 0.0
    refused: frozenset = frozenset()


class Topic:
    """The records of one topic's only partition."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.changed = asyncio.Event()

    @property
    def end(self):
        """Offset behind the last record."""
        return self.first + len(self.records)

    def append(self, data):
        """Append a record and wake those that wait for it."""
        key, value = split_record(data)
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(data)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drop the history; the newest record of each key stays."""
        self.first, self.records = self.end, []


class Store:
    """The store; `topics` and `faults` are there for tests to change."""

    def __init__(self):
        self.topics = {}
        self.faults = Faults()
        self.calls = []
        self.server = Server(self._answer, Limits())

    async def listen(self, host="127.0.0.1", port=0):
        """Serve; return the port."""
        return await self.server.listen(host, port)

    def find(self, name):
        """Return a topic, made at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Append as the operator does."""
        self.find(topic).append(build_record(key, value))

    async def _answer(self, http, sender):
        parts = urlsplit(http.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        faults = self.faults
        if faults.silent:
            await asyncio.Event().wait()
        if faults.refuse and (not faults.refused or sender.host in faults.refused):
            return HttpResponse(faults.refuse, "Refused")
        if faults.delay:
            await asyncio.sleep(faults.delay)
        topic = self.find(query.get("topic", ""))
        if parts.path.endswith("log-append"):
            return await self._append(topic, http.body)
        if parts.path.endswith("log-newest"):
            return _list_newest(topic, query.get("after", ""))
        if parts.path.endswith("log-read"):
            return await _read(topic, query)
        return HttpResponse(404, "Not Found")

    async def _append(self, topic, body):
        faults = self.faults
        if faults.lose:
            loop = asyncio.get_running_loop()
            for data in split_records(body):
                loop.call_later(faults.late, topic.append, data)
            await asyncio.Event().wait()
        offset = topic.end
        for data in split_records(body):
            topic.append(data)
        return answer_json({"offset": offset, "end_offset": topic.end})


def build_record(key, value):
    """Return the content of a record of a keyed topic."""
    return bytes([len(key)]) + key.encode() + value


def split_record(data):
    """Return key and value of a record."""
    return data[1 : 1 + data[0]].decode(), data[1 + data[0] :]


def split_records(body):
    """Yield the contents of framed records."""
    place = 0
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        yield body[place + LENGTH.size : place + LENGTH.size + length]
        place += LENGTH.size + length


def answer_json(document):
    """Return an answer with a JSON body."""
    return HttpResponse(
        200,
        "OK",
        (("Content-Type", "application/json"),),
        json.dumps(document).encode(),
    )


def _list_newest(topic, after):
    keys = sorted(key for key in topic.newest if key > after)
    items = [
        {
            "key": key,
            "value": base64.b64encode(topic.newest[key][0]).decode(),
            "offset": topic.newest[key][1],
        }
        for key in keys[:PAGE_ITEMS]
    ]
    return answer_json(
        {
            "items": items,
            "has_more": len(keys) > PAGE_ITEMS,
            "end_offset": topic.end,
        }
    )


async def _read(topic, query):
    offset = int(query["from"])
    if offset < topic.first:
        return HttpResponse(410, "Gone", (), b'{"first_offset":%d}' % topic.first)
    if offset >= topic.end:
        try:
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                await topic.changed.wait()
        except TimeoutError:
            pass
    listed = topic.records[max(0, offset - topic.first) :]
    body = b"".join(LENGTH.pack(len(data)) + data for data in listed)
    return HttpResponse(200, "OK", (), HEAD.pack(topic.end, topic.first) + body)
