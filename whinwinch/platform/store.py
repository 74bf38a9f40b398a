"""Client of the platform's store."""

import asyncio
import base64
import enum
import json
import struct
from typing import NamedTuple
from urllib.parse import urlencode

from ..http1 import client
from ..http1.messages import HttpRequest, format_request
from ..logservice.keyed import Record

# Timeout of a call in seconds. An answer takes some milliseconds; the store may be
# fifty times slower.
CALL_TIMEOUT = 1.5
# Seconds that a read's answer may take beyond the read's wait. Together with the
# longest wait this is the time until a stalled connection is dropped; a longer wait
# needs fewer calls.
READ_MARGIN = 0.8
# Maximum size of an answer.
MAX_ANSWER_BYTES = 8 << 20
# Two offsets that precede the records of a page.
_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")


class Outcome(enum.Enum):
    """Outcome of a call to the store, as far as the client can determine it."""

    DONE = "done"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"
    BUSY = "refused-for-now"
    GONE = "history-gone"


class StoreError(Exception):
    """Failed call to the store.

    Attributes:
        outcome: `Outcome` of the call.
    """

    def __init__(self, outcome, problem):
        super().__init__(problem)
        self.outcome = outcome


class Page(NamedTuple):
    """Consecutive records of a keyed topic.

    Attributes:
        records: The `Record` tuples in the order of the topic.
        end: Offset after the last record.
        skipped: Number of malformed records, which are not in `records`.
    """

    records: tuple[Record, ...]
    end: int
    skipped: int = 0


class Store:
    """Client of the platform's store.

    Args:
        address: `settings.Address` of the store.
    """

    def __init__(self, address):
        self._host = str(address)
        self._pool = client.Pool(address.host, address.port, MAX_ANSWER_BYTES)
        self.calls = {outcome: 0 for outcome in Outcome}

    async def read_newest(self, topic):
        """Return a `Page` with the newest record of each key of a topic.

        Raises:
            StoreError: When it could not be read.
        """
        records, after, end, skipped = [], None, None, 0
        while True:
            query = {"topic": topic, "part": 0}
            if after is not None:
                query["after"] = after
            answer = self._read_json(await self._call("GET", "log-newest", query))
            items = answer["items"]
            for item in items:
                record = _decode_item(item)
                if record is None:
                    skipped += 1
                else:
                    records.append(record)
            # The pages are no consistent snapshot: changes made in the meantime are
            # read again, starting from the end offset of the first page.
            end = answer["end_offset"] if end is None else end
            if not answer.get("has_more") or not items:
                return Page(tuple(records), end, skipped)
            after = items[-1]["key"]

    async def read_from(self, topic, offset, wait):
        """Return the `Page` of the records from an offset on.

        Args:
            topic: Name of a keyed topic.
            offset: Offset of the first record to return.
            wait: Seconds to wait for a record if there is none yet.

        Raises:
            StoreError: When the read failed; GONE when the records were dropped.
        """
        query = {
            "topic": topic,
            "part": 0,
            "from": offset,
            "wait_ms": int(wait * 1000),
        }
        seconds = wait + READ_MARGIN
        body = await self._call("GET", "log-read", query, seconds=seconds)
        records, skipped, count = [], 0, 0
        for data in _split_records(body):
            record = _decode_record(data, offset + count)
            count += 1
            if record is None:
                skipped += 1
            else:
                records.append(record)
        return Page(tuple(records), offset + count, skipped)

    async def append(self, topic, record):
        """Append a record to a keyed topic.

        Raises:
            StoreError: When the append failed; UNKNOWN when the record may have been
                or may still be appended.
        """
        key = record.key.encode()
        data = bytes([len(key)]) + key + record.value
        body = _LENGTH.pack(len(data)) + data
        await self._call("POST", "log-append", {"topic": topic, "part": 0}, body)

    def close(self):
        """Close all connections to the store."""
        self._pool.close()

    async def _call(self, method, name, query, body=b"", seconds=CALL_TIMEOUT):
        try:
            data = await self._exchange(method, name, query, body, seconds)
        except StoreError as error:
            self.calls[error.outcome] += 1
            raise
        self.calls[Outcome.DONE] += 1
        return data

    async def _exchange(self, method, name, query, body, seconds):
        request = HttpRequest(
            method,
            # A key of another writer may contain what is no text.
            f"/whinwinch/{name}?{urlencode(query, errors='surrogatepass')}",
            body=body,
        )
        until = asyncio.get_running_loop().time() + seconds
        try:
            response = await self._pool.exchange(
                format_request(request, self._host), until
            )
        except client.NotSentError as error:
            raise StoreError(Outcome.NOT_DONE, str(error)) from error
        except client.BrokenError as error:
            raise StoreError(Outcome.UNKNOWN, str(error)) from error
        except TimeoutError as error:
            raise StoreError(Outcome.UNKNOWN, "no answer in time") from error
        if response.status == 200:
            return response.body
        outcome = {
            410: Outcome.GONE,
            429: Outcome.BUSY,
            503: Outcome.BUSY,
        }.get(response.status, Outcome.NOT_DONE)
        raise StoreError(outcome, f"status {response.status} {response.body[:200]!r}")

    def _read_json(self, data):
        try:
            answer = json.loads(data)
            if isinstance(answer["items"], list) and answer["end_offset"] >= 0:
                return answer
        except (KeyError, TypeError, ValueError, RecursionError) as error:
            raise StoreError(Outcome.UNKNOWN, f"malformed page: {error}") from error
        raise StoreError(Outcome.UNKNOWN, "malformed page")


def _split_records(body):
    """Yield the bytes of each record of a page, after the two offsets at its head.

    Raises:
        StoreError: UNKNOWN when the page is truncated.
    """
    if len(body) < _HEAD.size:
        raise StoreError(Outcome.UNKNOWN, "truncated page")
    position = _HEAD.size
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise StoreError(Outcome.UNKNOWN, "truncated page")
        yield body[position : position + length]
        position += length


def _decode_record(data, offset):
    """Return the `Record` of a record's bytes in a keyed topic, None if malformed."""
    if not data or len(data) < 1 + data[0]:
        return None
    try:
        key = data[1 : 1 + data[0]].decode()
        return Record(key, data[1 + data[0] :], offset)
    except UnicodeDecodeError:
        return None


def _decode_item(item):
    """Return the `Record` of an item of a JSON page, None if malformed."""
    try:
        value = base64.b64decode(item["value"] or "")
        # Other daemons, to whom records are handed on, take text only.
        key = str(item["key"]).encode().decode()
        return Record(key, value, int(item["offset"]))
    except (KeyError, TypeError, ValueError):
        return None
