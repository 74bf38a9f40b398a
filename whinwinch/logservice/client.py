"""Blocking client of the platform's append-only log.

The client never retries an append. An append may take effect although its answer is
lost; an internal retry would then add the record to the stream twice. Instead the
error states whether the record may have been written, and the caller determines the
result, usually by reading on.
"""

import base64
import json
from typing import NamedTuple

import urllib3

from .. import errors

DEFAULT_POOL_SIZE = 4
DEFAULT_TIMEOUT = 2.0
DEFAULT_LIMIT = 500

STATUS_OK = 200
STATUS_CREATED = 201
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
STATUS_SERVICE_UNAVAILABLE = 503


class Record(NamedTuple):
    """One record of a stream.

    Attributes:
        offset: Position in the stream, assigned by the log.
        time: Time of the append, in seconds of the log's clock.
        data: The appended bytes.
    """

    offset: int
    time: float
    data: bytes


class Page(NamedTuple):
    """Records read from a stream, with the bounds of the stream.

    Attributes:
        records: Records in the order of their offsets.
        first: Lowest offset that the log still keeps.
        next: Offset of the next record to be appended.
    """

    records: tuple[Record, ...]
    first: int
    next: int


class LogUnavailable(errors.UserError):
    """A call to the log that failed or whose answer can't be parsed.

    Attributes:
        written: False if the record is certainly not in the stream, None if that
            is unknown. Always False for reads.
    """

    def __init__(self, problem, written):
        super().__init__(f"log service: {problem}")
        self.written = written


class LogClient:
    """Client of the log with a connection pool; thread-safe.

    Args:
        url: URL of the log, for example ``http://10.0.0.9:7000``.
        pool_size: Number of pooled connections. A long poll occupies one for its
            whole duration.
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
            timeout: Timeout of the whole exchange, in seconds.

        Returns:
            The offset that the log assigned to the record.

        Raises:
            LogUnavailable: If there is no confirmation that the record was written.
        """
        answer = self._exchange("POST", f"/streams/{stream}", timeout, body=data)
        if answer.status != STATUS_CREATED:
            raise _build_append_error(answer.status)
        try:
            return int(json.loads(answer.data)["offset"])
        except (ValueError, KeyError, TypeError) as error:
            raise LogUnavailable(f"invalid answer: {error!r}", None) from error

    def read(
        self, stream, offset, limit=DEFAULT_LIMIT, wait=0.0, timeout=DEFAULT_TIMEOUT
    ):
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            offset: Lowest offset to return.
            limit: Maximum number of records.
            wait: Seconds that the log may delay the answer until there is a record.
            timeout: Seconds that the exchange may take in addition to `wait`.

        Returns:
            A `Page`. Its `first` is above `offset` if retention has dropped some of
            the requested records.

        Raises:
            LogUnavailable: If the log doesn't return a valid answer.
        """
        fields = {"offset": str(offset), "limit": str(limit), "wait": str(wait)}
        try:
            answer = self._exchange(
                "GET", f"/streams/{stream}", wait + timeout, fields=fields
            )
        except LogUnavailable as error:
            error.written = False
            raise
        if answer.status != STATUS_OK:
            raise LogUnavailable(f"unexpected status {answer.status}", False)
        return _parse_page(answer.data)

    def close(self):
        """Close the idle connections."""
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
            # The connection broke or timed out after the request may have been
            # sent. The log may have written the record; a writer that assumed
            # otherwise would append it twice, so the result is unknown.
            raise LogUnavailable(f"no answer: {error}", None) from error


def _build_append_error(status):
    # Only 503 and the client errors guarantee that nothing was written. Another
    # server error may have occurred after the write, and a proxy's 200 proves nothing.
    client_error = FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR
    not_written = status == STATUS_SERVICE_UNAVAILABLE or client_error
    return LogUnavailable(f"unexpected status {status}", False if not_written else None)


def _parse_page(body):
    try:
        fields = json.loads(body)
        records = tuple(_parse_record(record) for record in fields["records"])
        return Page(records, int(fields["first"]), int(fields["next"]))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise LogUnavailable(f"invalid answer: {error!r}", False) from error


def _parse_record(fields):
    data = base64.b64decode(fields["data"], validate=True)
    return Record(int(fields["offset"]), float(fields["time"]), data)
