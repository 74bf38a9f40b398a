"""An emulated store of the platform, with faults that tests can inject."""

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
    """Faults of the store, in effect until they are replaced.

    Attributes:
        refuse: HTTP status with which every call is answered; 0 for no refusals.
        silent: Whether the store answers no call at all.
        delay: Delay of each answer in seconds.
        lose: Whether appends are applied without an answer.
        late: Delay in seconds after which such an append is applied.
        refused: IP addresses of the only clients to which `refuse` applies; empty for
            all clients.
    """

    refuse: int = 0
    silent: bool = False
    delay: float = 0.0
    lose: bool = False
    late: float = 0.0
    refused: frozenset = frozenset()


class Topic:
    """The records of a topic, which has a single partition."""

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
        """Append a record and wake the readers that wait for it."""
        key, value = split_record(data)
        if value:
            self.newest[key] = (value, self.end)
        else:
            self.newest.pop(key, None)
        self.records.append(data)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        """Drop the history and keep only the newest record of each key."""
        self.first, self.records = self.end, []


class Store:
    """The store; tests may change `topics` and `faults`."""

    def __init__(self):
        self.topics = {}
        self.faults = Faults()
        self.calls = []
        self.server = Server(self._answer, Limits())

    async def listen(self, host="127.0.0.1", port=0):
        """Start serving and return the port."""
        return await self.server.listen(host, port)

    def find(self, name):
        """Return a topic, created at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Append a record as the operator does."""
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
        return build_json_response({"offset": offset, "end_offset": topic.end})


def build_record(key, value):
    """Return the encoded record of a keyed topic."""
    data = key.encode()
    return bytes([len(data)]) + data + value


def split_record(data):
    """Return the key and value of an encoded record."""
    return data[1 : 1 + data[0]].decode(), data[1 + data[0] :]


def split_records(body):
    """Yield the encoded records of a body of length-prefixed records."""
    place = 0
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        yield body[place + LENGTH.size : place + LENGTH.size + length]
        place += LENGTH.size + length


def build_json_response(document):
    """Return a response with a JSON body."""
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
    return build_json_response(
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
