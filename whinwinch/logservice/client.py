"""Blocking client of the platform's append-only log.

The client never tries an append twice by itself. An append may take effect
although its answer is lost; a hidden second try would then put the record
into the stream twice. The error says instead what is known, and whoever
appended decides, usually by reading on.
"""

import base64
import binascii
import json
from typing import NamedTuple

import urllib3

from .. import errors

DEFAULT_POOL_SIZE = 4
DEFAULT_TIMEOUT = 2.0
DEFAULT_LIMIT = 500

STATUS_READ = 200
STATUS_APPENDED = 201
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
STATUS_DOWN = 503


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Place in the stream, given by the log.
        time: When the log took it, in seconds of the log's own clock.
        data: What was appended.
    """

    offset: int
    time: float
    data: bytes


class Page(NamedTuple):
    """Records read from a stream, with what the log says of the stream.

    Attributes:
        records: Records in the order of their offsets.
        first: Lowest offset that the log still keeps.
        next: Offset that the next record appended will get.
    """

    records: tuple[Record, ...]
    first: int
    next: int


class LogUnavailable(errors.UserError):
    """The log did not do what it was asked.

    Attributes:
        written: False when the record is surely not in the stream, None when
            that isn't known. Reads always have False.
    """

    def __init__(self, problem, written):
        super().__init__(f"log service: {problem}")
        self.written = written


class LogClient:
    """Connections to the log; safe to use from several threads.

    Args:
        url: Where the log is, for example ``http://10.0.0.9:7000``.
        pool_size: Connections kept open. A long poll holds one all the time.
    """

    def __init__(self, url, pool_size=DEFAULT_POOL_SIZE):
        self._pool = urllib3.connection_from_url(
            url, maxsize=pool_size, block=False, retries=False
        )

    def append(self, stream, data, timeout=DEFAULT_TIMEOUT):
        """Append one record.

        Args:
            stream: Name of the stream.
            data: The record's bytes.
            timeout: Seconds for the whole exchange.

        Returns:
            The offset that the log gave the record.

        Raises:
            LogUnavailable: When the record isn't known to be written.
        """
        answer = self._exchange("POST", f"/streams/{stream}", timeout, body=data)
        if answer.status != STATUS_APPENDED:
            raise _refused(answer.status)
        try:
            return int(json.loads(answer.data)["offset"])
        except (ValueError, KeyError, TypeError) as error:
            raise LogUnavailable(f"unreadable answer: {error!r}", None) from error

    def read(
        self, stream, offset, limit=DEFAULT_LIMIT, wait=0.0, timeout=DEFAULT_TIMEOUT
    ):
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            offset: Lowest offset wanted.
            limit: Most records wanted.
            wait: Seconds that the log may hold the answer until there is a
                record.
            timeout: Seconds for the exchange beyond `wait`.

        Returns:
            A `Page`. Its `first` is above `offset` when retention has dropped
            records that were asked for.

        Raises:
            LogUnavailable: When there is no readable answer.
        """
        fields = {"offset": str(offset), "limit": str(limit), "wait": str(wait)}
        try:
            answer = self._exchange(
                "GET", f"/streams/{stream}", wait + timeout, fields=fields
            )
        except LogUnavailable as error:
            error.written = False
            raise
        if answer.status != STATUS_READ:
            raise LogUnavailable(f"status {answer.status}", False)
        return _parse_page(answer.data)

    def close(self):
        """Close the connections that nobody uses at the moment."""
        self._pool.close()

    def _exchange(self, method, path, timeout, **arguments):
        try:
            return self._pool.request(
                method, path, timeout=urllib3.Timeout(total=timeout), **arguments
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise LogUnavailable(f"no connection: {error}", False) from error
        except urllib3.exceptions.HTTPError as error:
            # The connection broke or fell silent after the request may have
            # left. The log may have taken the record: a writer that believed
            # otherwise would append it twice, so nothing is claimed here.
            raise LogUnavailable(f"no answer: {error}", None) from error


def _refused(status):
    # Only 503 and the client errors promise that nothing was written. Another
    # server error may have come after the write, and a proxy's 200 says nothing.
    client_error = FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR
    surely_not = status == STATUS_DOWN or client_error
    return LogUnavailable(f"status {status}", False if surely_not else None)


def _parse_page(body):
    try:
        fields = json.loads(body)
        records = tuple(_parse_record(record) for record in fields["records"])
        return Page(records, int(fields["first"]), int(fields["next"]))
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        raise LogUnavailable(f"unreadable answer: {error!r}", False) from error


def _parse_record(fields):
    data = base64.b64decode(fields["data"], validate=True)
    return Record(int(fields["offset"]), float(fields["time"]), data)
