"""Records that a daemon keeps in the store: its own, crashes and the call topology."""

import asyncio

from .. import events
from ..callgraph import Topology
from ..logservice import keyed
from . import records
from .store import Outcome, StoreError

# Topic of the endpoint records by which daemons discover each other.
INSTANCES_TOPIC = "keyed.instances"
# Seconds between two checks of whether the topology in the store is complete.
TOPOLOGY_CHECK_INTERVAL = 1.0
# Seconds for which each reader gives the reader of the next lower rank time to write
# the topology.
TOPOLOGY_WRITE_DELAY = 3.0
# Seconds before another attempt to write the local daemon's record.
RECORD_RETRY_DELAY = 0.4
# Seconds between two searches for records of old crashes.
CRASH_CHECK_INTERVAL = 60.0


class RecordKeeper:
    """Writer of one daemon's records.

    Args:
        store: `store.Store`.
        instance: `instance.Instance`.
        followed: `logservice.keyed.FollowedTopic` of `INSTANCES_TOPIC`.
    """

    def __init__(self, store, instance, followed):
        self._store = store
        self._instance = instance
        self._followed = followed
        # The call topology in the store.
        self._recorded_topology = Topology()
        # Whether the local endpoint's record is withdrawn, which a copy read back from
        # the store must not undo.
        self._is_withdrawn = False
        # Set when the local endpoint or its record may have changed.
        self._changed = asyncio.Event()

    def list_work(self):
        """Return the coroutine functions of the tasks that run until the stop."""
        return (
            self._keep_endpoint,
            self._write_crashes,
            self._delete_old_crashes,
            self._keep_topology,
        )

    def note_change(self):
        """Note that the local endpoint or its record may have changed."""
        self._changed.set()

    async def withdraw(self):
        """Withdraw the local daemon's record, so that no starting daemon reads it.

        Returns:
            Whether that succeeded.
        """
        self._is_withdrawn = True
        record = keyed.Record(self._instance.location.address, b"")
        try:
            await self._store.append(INSTANCES_TOPIC, record)
        except StoreError as error:
            events.write("record-not-withdrawn", events.Message(str(error)))
            return False
        return True

    def apply_topology(self, value):
        """Apply the value of the record of the call topology.

        Raises:
            ValueError: When the value isn't the record of a topology.
        """
        topology = records.decode_topology(value)
        self._recorded_topology = topology
        self._instance.graph.merge_topology(topology)

    async def _keep_endpoint(self):
        """Keep the local daemon's record in the store up to date until cancelled."""
        instance = self._instance
        while True:
            await self._changed.wait()
            self._changed.clear()
            current = instance.endpoint
            recorded = instance.directory.find_recorded(current.address)
            if (
                not self._followed.copy.is_initialized
                or not current.service
                or current == recorded
                or self._is_withdrawn
            ):
                continue
            record = keyed.Record(current.address, records.encode_endpoint(current))
            try:
                await self._store.append(INSTANCES_TOPIC, record)
                instance.directory.apply_record(current.address, current)
            except StoreError as error:
                events.write("record-not-written", events.Message(str(error)))
                if error.outcome is not Outcome.DONE:
                    await asyncio.sleep(RECORD_RETRY_DELAY)
                    self._changed.set()

    async def _write_crashes(self):
        """Write each crash of the local backend server to the store until cancelled."""
        while True:
            crash = await self._instance.crash_records.get()
            key = records.CRASH_PREFIX + crash.identity
            record = keyed.Record(key, records.encode_crash(crash))
            while not await self._try_append(record):
                await asyncio.sleep(RECORD_RETRY_DELAY)

    async def _delete_old_crashes(self):
        """Delete records of old crashes while this is the first reader."""
        instance, clock = self._instance, asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(CRASH_CHECK_INTERVAL)
            if not instance.is_reader() or instance.reader_rank > 0:
                continue
            for identity in instance.crash_history.list_expired(clock()):
                key = records.CRASH_PREFIX + identity
                if await self._try_append(keyed.Record(key, b"")):
                    instance.crash_history.forget(identity)

    async def _try_append(self, record):
        """Append a record to the instances' topic; return whether that succeeded."""
        try:
            await self._store.append(INSTANCES_TOPIC, record)
        except StoreError as error:
            events.write("record-not-written", events.Message(str(error)))
            return False
        return True

    async def _keep_topology(self):
        """Write the call topology to the store while this daemon is a reader.

        If all daemons lose power together, they read the topology when they restart.
        """
        instance, loop = self._instance, asyncio.get_running_loop()
        due = None
        while True:
            await asyncio.sleep(TOPOLOGY_CHECK_INTERVAL)
            topology = self._find_unrecorded_topology()
            if not instance.is_reader() or topology is None:
                due = None
                continue
            if due is None:
                # The first reader writes; each further one only if those before it
                # have not.
                due = loop.time() + instance.reader_rank * TOPOLOGY_WRITE_DELAY
            if loop.time() < due:
                continue
            record = keyed.Record(records.GRAPH_KEY, records.encode_topology(topology))
            if await self._try_append(record):
                self._recorded_topology = topology

    def _find_unrecorded_topology(self):
        """Return the `Topology` of the present routes, None if the store has it."""
        if not self._followed.copy.is_initialized:
            return None
        topology = self._instance.graph.export_topology()
        routes = {route.name for route in self._instance.table.routes}
        entries = tuple(name for name in topology.entries if name in routes)
        calls = tuple(edge for edge in topology.calls if routes.issuperset(edge))
        is_recorded = set(entries) <= set(self._recorded_topology.entries)
        if is_recorded and set(calls) <= set(self._recorded_topology.calls):
            return None
        return Topology(entries, calls)
