"""The daemon on the platform: its addresses, its tasks, its signals."""

import asyncio
import functools
import json
import signal
from typing import NamedTuple
from urllib.parse import urlsplit

from absl import logging

from .. import events, gauges, messages
from ..announcements import Announcements, State
from ..backends.guard import Backend, Dialect
from ..callgraph import Edge, Topology
from ..errors import InputErrors, UserError
from ..http1.messages import HttpResponse
from ..http1.server import Limits, Server
from ..instance import Instance, Location
from ..logservice import keyed
from ..metrics import CONTENT_TYPE, Gauge, Metrics
from . import configuration, dialect, followers, heartbeats, settings
from .store import Outcome, Store, StoreError

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# Topic in which daemons introduce themselves to those that never met them.
INSTANCES_TOPIC = "keyed.instances"
# Key in that topic of what is known of calls; all others are addresses.
GRAPH_KEY = "calls"
# Between two looks at whether the store holds what is known of calls, and between two
# readers' turns to write it.
GRAPH_RECORD_SECONDS = 1.0
GRAPH_TURN_SECONDS = 3.0
READINESS_PATH = "/whinwinch/ready"
METRICS_PATH = "/metrics"
ANNOUNCEMENT_PREFIX = "/whinwinch/instances/"
# A daemon whose peers have told nothing of the configuration for this long reads it
# itself: it has to be in force within two seconds.
CONFIGURATION_PATIENCE = 1.3
# How long a read waits for other daemons' records: they tell most over their
# connections, so a record may be late.
INSTANCES_WAIT = 5.0
INSTANCES_PATIENCE = 6.5
# Daemons that start together write their records together; each would wake every
# reader.
INSTANCES_GATHER = 0.5
RECORD_PAUSE = 0.4
# The settings file may change without a signal.
SETTINGS_SECONDS = 1.0
ABSENT_RETRY_AFTER = 0.5
# Before a task that a fault of ours ended starts anew.
TASK_PAUSE = 0.5


class SettingsChange(NamedTuple):
    """Event: the settings file was read again."""

    cause: str
    changed: str


async def keep_running(work):
    """Run a task for ever; one that a fault of ours ends starts anew.

    A daemon that lost one would go on with the configuration of that moment, and
    nobody would notice before the next change.
    """
    while True:
        try:
            await work()
        except Exception as error:
            logging.exception("a task ended")
            events.write("task-ended", events.Message(repr(error)))
            await asyncio.sleep(TASK_PAUSE)


class Node:
    """One daemon on the platform.

    Args:
        given: `settings.InstanceSettings`.
    """

    def __init__(self, given):
        self._settings = given
        self._store = Store(given.store)
        self._announcements = Announcements()
        # What the store holds of calls.
        self._recorded = Topology()
        self.instance = Instance(
            Location(str(given.daemons), given.zone, given.region),
            given.backend,
            Dialect(
                dialect.form_backend_request,
                dialect.judge_backend_answer,
                dialect.belongs_to,
            ),
            given.repeats,
        )
        self._configurations = self._follow(
            CONFIGURATION_TOPIC, self._take_configuration, CONFIGURATION_PATIENCE
        )
        self._records = self._follow(
            INSTANCES_TOPIC, self._take_instances, INSTANCES_PATIENCE
        )
        limits = Limits()
        self._callers = Server(self._answer_call, limits)
        self._readiness = Server(self._answer_readiness, limits)
        self._control = Server(self._answer_announcement, limits)
        self._metrics_page = Server(self._answer_metrics, limits)
        self._metrics = Metrics(self._list_gauges, "route")
        self._changed = asyncio.Event()
        self._stopping = asyncio.Event()

    async def run(self):
        """Serve until the process is told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(
            signal.SIGHUP, functools.partial(self._read_settings, "signal")
        )
        await self.listen()
        events.write("start", self._settings)
        await self.serve()

    async def listen(self):
        """Open all addresses of the daemon."""
        given = self._settings
        await self.instance.listen(given.daemons)
        await self._control.listen(*given.announcements)
        await self._readiness.listen(*given.readiness)
        if given.metrics:
            await self._metrics_page.listen(given.daemons.host, given.metrics)
        await self._callers.listen(*given.callers)

    def stop(self):
        """Begin a planned stop; `serve` returns when it is done."""
        self._stopping.set()

    def close(self):
        """Drop all connections at once."""
        pages = (self._control, self._readiness, self._metrics_page)
        for server in (self._callers, *pages):
            server.abort()
        self.instance.close()
        self._store.close()

    async def serve(self):
        """Serve until told to stop."""
        given, loop = self._settings, asyncio.get_running_loop()
        tasks = [loop.create_task(keep_running(work)) for work in self._list_work()]
        try:
            await self._stopping.wait()
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
            raise

        def leave():
            tasks.append(loop.create_task(self._withdraw_record()))

        await self.instance.stop((self._callers,), given.stop_grace, leave)
        for task in tasks:
            task.cancel()
        self.close()

    def _list_work(self):
        store, instance = self._store, self.instance
        return (
            functools.partial(
                followers.follow_topic,
                store,
                CONFIGURATION_TOPIC,
                self._configurations,
                instance.is_reader,
                instance.topics.note_read,
            ),
            functools.partial(
                followers.follow_topic,
                store,
                INSTANCES_TOPIC,
                self._records,
                instance.is_reader,
                instance.topics.note_read,
                INSTANCES_WAIT,
                INSTANCES_GATHER,
            ),
            self._keep_record,
            self._watch_settings,
            instance.peers.keep,
            instance.exchange.keep,
            instance.report_levels,
            instance.relay_levels,
            instance.report_topology,
            self._keep_graph_record,
            instance.log_load,
            instance.maintain_sources,
        )

    def _follow(self, topic, take, patience):
        """Return the `keyed.Following` of a topic, which peers are told of."""
        following = keyed.Following(keyed.Copy(take), patience)
        self.instance.topics.add(topic, following)
        return following

    async def _answer_call(self, http, sender):
        """Answer a request of a caller or of the own backend server."""
        instance = self.instance
        if not instance.table.version:
            return dialect.refuse(503, messages.Reason.NOT_READY, ABSENT_RETRY_AFTER)
        try:
            arrival = dialect.read_arrival(http)
        except ValueError:
            return dialect.refuse(400, messages.Reason.BAD_REQUEST)
        route = instance.table.find(arrival.host, arrival.path)
        if route is None:
            return dialect.refuse(404, messages.Reason.NO_ROUTE)
        now = asyncio.get_running_loop().time()
        request = dialect.build_request(
            http,
            route,
            instance.round_robin.choose(route),
            self._settings.service,
            now + min(arrival.seconds, route.timeout),
            now + min(route.objective, route.timeout, arrival.seconds),
        )
        answer = await instance.serve(
            request, route, now + arrival.seconds, sender.connection
        )
        seconds = asyncio.get_running_loop().time() - now
        self._metrics.note_call(
            route.name, route.importance, answer.outcome, answer.reason, seconds, 0
        )
        return dialect.form_answer(answer, request.root)

    async def _answer_readiness(self, http, sender):
        ready = self.instance.table.version and not self.instance.is_stopping
        if urlsplit(http.target).path != READINESS_PATH:
            return HttpResponse(404, "Not Found")
        return HttpResponse(200, "OK") if ready else HttpResponse(503, "Not Ready")

    async def _answer_metrics(self, http, sender):
        if urlsplit(http.target).path != METRICS_PATH:
            return HttpResponse(404, "Not Found")
        body = self._metrics.render_metrics().encode()
        return HttpResponse(200, "OK", (("Content-Type", CONTENT_TYPE),), body)

    def _list_gauges(self):
        now = asyncio.get_running_loop().time()
        calls = self._store.calls.items()
        return gauges.list_gauges(self.instance, now) + [
            Gauge("store_calls_total", count, gauges.build_labels(outcome=known.value))
            for known, count in calls
        ]

    async def _answer_announcement(self, http, sender):
        """Take a heartbeat of the own backend server, or its leave."""
        path = urlsplit(http.target).path
        identity = path.removeprefix(ANNOUNCEMENT_PREFIX)
        if identity == path or not identity or "/" in identity:
            return HttpResponse(404, "Not Found")
        try:
            if http.method == "PUT":
                self._take_heartbeat(heartbeats.parse_heartbeat(identity, http.body))
            elif http.method == "DELETE":
                started = heartbeats.parse_start(http.body)
                self._announcements.apply_leave(identity, started)
                self._install_backend()
            else:
                return HttpResponse(405, "Method Not Allowed")
        except (InputErrors, ValueError) as error:
            events.write("heartbeat-unread", events.Message(f"{identity}: {error}"))
            return HttpResponse(400, "Bad Request")
        return HttpResponse(200, "OK", (("Content-Type", "application/json"),), b"{}")

    def _take_heartbeat(self, announcement):
        own = self._settings
        if announcement.service != own.service:
            raise ValueError(f"of service {announcement.service}, not {own.service}")
        obstacle = self._announcements.apply(announcement)
        if obstacle:
            events.write(
                "heartbeat-passed-over",
                events.Message(f"{announcement.identity}: {obstacle}"),
            )
        self._install_backend()

    def _install_backend(self):
        newest = self._announcements.newest
        if newest is None:
            self.instance.install_backend(None)
        else:
            self.instance.install_backend(
                Backend(
                    newest.identity,
                    newest.service,
                    newest.slots,
                    newest.state is State.LEAVING,
                )
            )
        self._changed.set()

    def _take_configuration(self, records):
        for record in records:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            try:
                read = configuration.parse_configuration(record.value)
            except (InputErrors, ValueError) as error:
                events.write("configuration-unread", events.Message(str(error)))
                continue
            if self.instance.install_table(read.table):
                self._callers.limits = read.limits

    def _take_instances(self, records):
        for record in records:
            if record.key == GRAPH_KEY:
                self._take_graph(record.value)
                continue
            try:
                endpoint = decode_endpoint(record.key, record.value)
            except ValueError as error:
                events.write("record-unread", events.Message(f"{record.key}: {error}"))
                continue
            self.instance.record_endpoint(record.key, endpoint)
        self._changed.set()

    async def _keep_record(self):
        """Keep the own record in the store in line with the backend server."""
        instance = self.instance
        while True:
            await self._changed.wait()
            self._changed.clear()
            wanted = instance.endpoint
            held = instance.directory.find_recorded(wanted.address)
            if not self._records.copy.is_known or not wanted.service or wanted == held:
                continue
            record = keyed.Record(wanted.address, encode_endpoint(wanted))
            try:
                await self._store.append(INSTANCES_TOPIC, record)
                instance.directory.apply_record(wanted.address, wanted)
            except StoreError as error:
                events.write("record-not-written", events.Message(str(error)))
                if error.outcome is not Outcome.DONE:
                    await asyncio.sleep(RECORD_PAUSE)
                    self._changed.set()

    def _take_graph(self, value):
        try:
            facts = decode_facts(value)
        except ValueError as error:
            events.write("record-unread", events.Message(f"{GRAPH_KEY}: {error}"))
            return
        self._recorded = facts
        self.instance.graph.merge_topology(facts)

    async def _keep_graph_record(self):
        """As a reader keep what is known of calls in the store.

        When all daemons lose power together, they know it again as they start.
        """
        instance, loop = self.instance, asyncio.get_running_loop()
        due = None
        while True:
            await asyncio.sleep(GRAPH_RECORD_SECONDS)
            facts = self._find_unrecorded()
            if not instance.is_reader() or facts is None:
                due = None
                continue
            if due is None:
                # One of the readers writes; the next ones if it doesn't.
                due = loop.time() + instance.reader_rank * GRAPH_TURN_SECONDS
            if loop.time() < due:
                continue
            record = keyed.Record(GRAPH_KEY, encode_facts(facts))
            try:
                await self._store.append(INSTANCES_TOPIC, record)
                self._recorded = facts
            except StoreError as error:
                events.write("record-not-written", events.Message(str(error)))

    def _find_unrecorded(self):
        """Return the `Topology` of present routes, or None if the store has it."""
        if not self._records.copy.is_known:
            return None
        known = self.instance.graph.export_topology()
        routes = {route.name for route in self.instance.table.routes}
        entries = tuple(name for name in known.entries if name in routes)
        calls = tuple(edge for edge in known.calls if routes.issuperset(edge))
        is_recorded = set(entries) <= set(self._recorded.entries)
        if is_recorded and set(calls) <= set(self._recorded.calls):
            return None
        return Topology(entries, calls)

    async def _withdraw_record(self):
        """Take the own record out of the store, so that nobody starts with it."""
        record = keyed.Record(self.instance.location.address, b"")
        try:
            await self._store.append(INSTANCES_TOPIC, record)
        except StoreError as error:
            events.write("record-not-withdrawn", events.Message(str(error)))

    def _read_settings(self, cause):
        try:
            given = settings.read_file()
        except (InputErrors, UserError) as error:
            events.write("settings-unread", events.Message(str(error)))
            return
        if given == self._settings and cause != "signal":
            return
        changed = [
            name
            for name in given._fields
            if getattr(given, name) != getattr(self._settings, name)
        ]
        events.write("reload", SettingsChange(cause, ", ".join(changed)))
        self._settings = given

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_SECONDS)
            self._read_settings("change")


def encode_endpoint(endpoint):
    """Return the value of an endpoint's record."""
    return json.dumps(endpoint._asdict()).encode()


def decode_endpoint(address, value):
    """Return the endpoint of a record's value, None where it was withdrawn.

    Raises:
        ValueError: When it is no record of a daemon.
    """
    if not value:
        return None
    fields = json.loads(value)
    if not isinstance(fields, dict):
        raise ValueError("must be a table")
    for name, kind in messages.Endpoint.__annotations__.items():
        if type(fields.get(name)) is not kind:
            raise ValueError(f"{name} must be of type {kind.__name__}")
    endpoint = messages.Endpoint(*(fields[name] for name in messages.Endpoint._fields))
    if endpoint.address != address or endpoint.daemon != address:
        raise ValueError("speaks of another address")
    return endpoint


def encode_facts(facts):
    """Return the value of the record of what is known of calls."""
    return json.dumps(facts._asdict()).encode()


def decode_facts(value):
    """Return the `Topology` of a record's value.

    Raises:
        ValueError: When it is no such record.
    """
    fields = json.loads(value)
    if not isinstance(fields, dict):
        raise ValueError("must be a table")
    entries, calls = fields.get("entries"), fields.get("calls")
    if not isinstance(entries, list) or not isinstance(calls, list):
        raise ValueError("entries and calls must be lists")
    for names in (entries, *calls):
        if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
            raise ValueError("must hold names of routes")
    if any(len(names) != len(Edge._fields) for names in calls):
        raise ValueError("a call has a parent and a child")
    return Topology(tuple(entries), tuple(Edge(*names) for names in calls))


def run():
    """Run the daemon of this instance; return the exit code."""
    given = settings.read_file()
    asyncio.run(_run(given))
    return 0


async def _run(given):
    await Node(given).run()
