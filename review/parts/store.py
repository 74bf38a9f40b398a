"""Stand-in of the platform's metadata store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from . import wire

HEAD = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


class Topic:
    """Records of one topic in the order of their offsets."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, data):
        """Append one record and wake the waiting readers."""
        key, value = data[1 : 1 + data[0]].decode(), data[1 + data[0] :]
        if value:
            self.newest[key] = (value, len(self.records))
        else:
            self.newest.pop(key, None)
        self.records.append(data)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """Serves log-append, log-read and log-newest."""

    def __init__(self):
        self.topics = {}
        self._server = None

    def find(self, name):
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    async def start(self, host):
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def configure(self, document):
        """Write a configuration, as the operator does."""
        value = json.dumps(document).encode()
        self.find("keyed.op").append(bytes([6]) + b"config" + value)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.start.split()
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        topic = self.find(query.get("topic", ""))
        call = (method, parts.path)
        if call == ("POST", "/whinwinch/log-append"):
            return self._append(topic, request.body)
        if call == ("GET", "/whinwinch/log-read"):
            return await self._read(topic, query)
        if call == ("GET", "/whinwinch/log-newest"):
            return self._list_newest(topic, query.get("after", ""))
        return wire.build_response(404, "Not Found")

    def _append(self, topic, body):
        first, place = len(topic.records), 0
        while place < len(body):
            (length,) = LENGTH.unpack_from(body, place)
            place += LENGTH.size
            topic.append(body[place : place + length])
            place += length
        return _build_json({"offset": first, "end_offset": len(topic.records)})

    async def _read(self, topic, query):
        first = int(query["from"])
        if first >= len(topic.records):
            try:
                async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        body = HEAD.pack(len(topic.records), 0) + b"".join(
            LENGTH.pack(len(data)) + data for data in topic.records[first:]
        )
        return wire.build_response(200, "OK", (), body)

    def _list_newest(self, topic, after):
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:500]
        ]
        return _build_json(
            {
                "items": items,
                "has_more": len(keys) > len(items),
                "end_offset": len(topic.records),
            }
        )


def _build_json(document):
    headers = (("Content-Type", "application/json"),)
    return wire.build_response(200, "OK", headers, json.dumps(document).encode())
