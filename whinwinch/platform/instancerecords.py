"""What a daemon makes of the records by which daemons discover each other.

Any program can write to the store. The copy of the topic goes on behind a record that
can't be applied, so that one must not end the loop: those behind it would be lost.
"""

import asyncio

from absl import logging

from .. import events
from . import records


def apply_records(changed, instance, backend, keeper):
    """Apply changed records of the topic.

    Args:
        changed: `logservice.keyed.Record` tuples.
        instance: `instance.Instance`.
        backend: `localbackend.LocalBackend`.
        keeper: `recordkeeping.RecordKeeper`.
    """
    backend.leaves.apply_records(changed)
    for record in changed:
        try:
            _apply_record(record, instance, backend, keeper)
        except Exception as error:
            events.write("record-unread", events.Message(f"{record.key}: {error}"))
            if not isinstance(error, ValueError):
                logging.exception("a record could not be applied")
    backend.install_deferred()
    keeper.note_change()


def _apply_record(record, instance, backend, keeper):
    """Apply a record of the topic.

    Raises:
        ValueError: When it isn't one of this release's records.
    """
    if record.key.startswith(records.LEAVE_PREFIX):
        return
    if record.key == records.GRAPH_KEY:
        keeper.apply_topology(record.value)
    elif record.key.startswith(records.CRASH_PREFIX):
        _apply_crash(record, instance.crash_history)
    else:
        _apply_endpoint(record, instance, backend)


def _apply_endpoint(record, instance, backend):
    endpoint = records.decode_endpoint(record.key, record.value)
    instance.record_endpoint(record.key, endpoint)
    is_own = record.key == instance.location.address
    if is_own and endpoint is not None and endpoint.leaving_backend:
        backend.suspect_leave(endpoint.leaving_backend)


def _apply_crash(record, history):
    if not record.value:
        history.forget(record.key.removeprefix(records.CRASH_PREFIX))
        return
    crash = records.decode_crash(record.value)
    history.apply(crash, asyncio.get_running_loop().time())
