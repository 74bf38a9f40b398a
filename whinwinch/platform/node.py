"""Daemon of one instance on the platform: its servers, tasks and signal handlers."""

import asyncio
import functools
import math
import signal
from typing import NamedTuple
from urllib.parse import urlsplit

from absl import logging

from .. import events, gauges, messages, shutdown
from ..announcements import Announcements, State
from ..backends.guard import Backend, Dialect
from ..errors import InputErrors, UserError
from ..http1.messages import HttpResponse
from ..http1.server import Limits, Server
from ..instance import Instance, Location
from ..logservice import keyed
from ..metrics import CONTENT_TYPE, Gauge, Metrics
from . import (
    configuration,
    dialect,
    followers,
    heartbeats,
    leaverecords,
    records,
    settings,
)
from .recordkeeping import INSTANCES_TOPIC, RecordKeeper
from .store import Store

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
READINESS_PATH = "/whinwinch/ready"
METRICS_PATH = "/metrics"
ANNOUNCEMENT_PREFIX = "/whinwinch/instances/"
# Seconds without a report from peers after which a daemon reads the configuration
# itself. A new configuration has to be applied within two seconds.
CONFIGURATION_READ_TIMEOUT = 1.3
# Seconds that a read waits for records of other daemons, and that a daemon waits for
# reports before it reads them itself. These may be long, since daemons report most
# changes over their connections.
INSTANCES_WAIT = 5.0
INSTANCES_READ_TIMEOUT = 6.5
# Seconds between a read that returned records and the next one. Daemons that start
# together write their records at the same time, and each record would wake every
# reader.
INSTANCES_BATCH_DELAY = 0.5
# Seconds between two checks of the settings file, which may change without a signal.
SETTINGS_CHECK_INTERVAL = 1.0
# Retry delay in seconds of a refusal before the configuration has been read.
NOT_READY_RETRY_AFTER = 0.5
# Seconds after the start in which a backend server that runs sends its next heartbeat.
HEARTBEAT_WAIT = 2.0
# Seconds after the start in which the records of leaves are read before a heartbeat is
# believed. If the store is away for longer, the backend server would serve nobody.
LEAVES_WAIT = 2.0
# Seconds that the acknowledgement of a leave waits for its record. A backend server
# takes no answer after one second.
LEAVE_RECORD_WAIT = 0.8
# Longest identifier of a backend server in bytes: the store's keys have 255 at most.
MAX_IDENTIFIER_BYTES = 200
# Seconds before a task that was ended by an unexpected error is restarted.
TASK_RESTART_DELAY = 0.5


class SettingsChange(NamedTuple):
    """Event: the settings file was reloaded."""

    cause: str
    changed: str


async def keep_running(work):
    """Run a task until cancelled; restart it when an unexpected error ends it.

    Without the restart, a daemon would for example keep serving with an old
    configuration, and nobody would notice before the next change.

    Args:
        work: Coroutine function without arguments.
    """
    while True:
        try:
            await work()
        except Exception as error:
            logging.exception("task ended by an unexpected error, restarting it")
            events.write("task-ended", events.Message(repr(error)))
            await asyncio.sleep(TASK_RESTART_DELAY)


class Node:
    """One daemon on the platform.

    Args:
        instance_settings: `settings.InstanceSettings`.
    """

    def __init__(self, instance_settings):
        self._settings = instance_settings
        self._store = Store(instance_settings.store)
        self._announcements = Announcements()
        # Whether the backend server is to be installed once the records are read.
        self._is_install_deferred = False
        self.instance = Instance(
            Location(
                str(instance_settings.daemons),
                instance_settings.zone,
                instance_settings.region,
            ),
            instance_settings.backend,
            Dialect(
                dialect.format_backend_request,
                dialect.parse_backend_answer,
                dialect.is_answer_to,
                dialect.read_notice,
                dialect.find_identifier,
            ),
            instance_settings.repeats,
            instance_settings.quotas,
            self._handle_leave,
        )
        self._followed_configuration = self._follow(
            CONFIGURATION_TOPIC, self._apply_configuration, CONFIGURATION_READ_TIMEOUT
        )
        self._followed_instances = self._follow(
            INSTANCES_TOPIC, self._apply_instance_records, INSTANCES_READ_TIMEOUT
        )
        self._records = RecordKeeper(
            self._store, self.instance, self._followed_instances
        )
        self._leaves = leaverecords.LeaveRecords(
            self._store, self.instance.location.address, self._apply_leaves
        )
        limits = Limits()
        self._callers = Server(self._answer_call, limits)
        self._readiness = Server(self._answer_readiness, limits)
        self._control = Server(self._answer_announcement, limits)
        self._metrics_page = Server(self._answer_metrics, limits)
        self._metrics = Metrics(self._list_gauges, "route")
        # Time of the loop's clock at which the daemon began to serve.
        self._started_at = math.inf
        self._stopping = asyncio.Event()

    async def run(self):
        """Serve until the process is signalled to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop)
        loop.add_signal_handler(
            signal.SIGHUP, functools.partial(self._reload_settings, "signal")
        )
        await self.listen()
        events.write("start", self._settings)
        await self.serve()

    async def listen(self):
        """Listen at all addresses of the daemon."""
        current = self._settings
        await self.instance.listen(current.daemons)
        await self._control.listen(*current.announcements)
        await self._readiness.listen(*current.readiness)
        if current.metrics:
            await self._metrics_page.listen(current.daemons.host, current.metrics)
        await self._callers.listen(*current.callers)

    def stop(self):
        """Begin a planned stop; `serve` returns when it is complete."""
        self._stopping.set()

    def close(self):
        """Close all connections immediately."""
        others = (self._control, self._readiness, self._metrics_page)
        for server in (self._callers, *others):
            server.abort()
        self._leaves.close()
        self.instance.close()
        self._store.close()

    async def serve(self):
        """Run the daemon's tasks until `stop` is called, then stop as planned."""
        initial, loop = self._settings, asyncio.get_running_loop()
        self._started_at = loop.time()
        waiting = loop.call_later(HEARTBEAT_WAIT, self._route_callers)
        believing = loop.call_later(LEAVES_WAIT, self._install_deferred)
        tasks = [loop.create_task(keep_running(work)) for work in self._list_work()]
        try:
            await self._stopping.wait()
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
            raise
        finally:
            waiting.cancel()
            believing.cancel()

        await shutdown.stop(
            self.instance, (self._callers,), initial.stop_grace, self._records.withdraw
        )
        for task in tasks:
            task.cancel()
        self.close()

    def _list_work(self):
        """Return the coroutine functions of the tasks that run until the stop."""
        store, instance = self._store, self.instance
        return (
            functools.partial(
                followers.follow_topic,
                store,
                CONFIGURATION_TOPIC,
                self._followed_configuration,
                instance.is_reader,
                instance.topics.record_read,
            ),
            functools.partial(
                followers.follow_topic,
                store,
                INSTANCES_TOPIC,
                self._followed_instances,
                instance.is_reader,
                instance.topics.record_read,
                INSTANCES_WAIT,
                INSTANCES_BATCH_DELAY,
            ),
            *self._records.list_work(),
            functools.partial(self._leaves.maintain, self._is_first_reader),
            self._watch_settings,
            instance.peers.check_periodically,
            instance.exchange.clean_up_periodically,
            instance.reporting.report_levels,
            instance.reporting.relay_levels,
            instance.reporting.report_topology,
            instance.quota_reporting.report_usages,
            instance.quota_reporting.relay_usages,
            instance.log_load,
            instance.maintain_sources,
        )

    def _follow(self, topic, apply_records, read_timeout):
        """Return the `keyed.FollowedTopic` of a topic and share the topic with peers.

        Args:
            topic: Name of the topic.
            apply_records: Function that applies the new records of the topic.
            read_timeout: Seconds without a report from peers after which this daemon
                reads the topic itself.
        """
        followed = keyed.FollowedTopic(keyed.TopicCopy(apply_records), read_timeout)
        self.instance.topics.add(topic, followed)
        return followed

    async def _answer_call(self, http, sender):
        """Answer a request of a caller or of the local backend server."""
        instance = self.instance
        if not instance.table.version:
            return dialect.refuse(503, messages.Reason.NOT_READY, NOT_READY_RETRY_AFTER)
        try:
            arrival = dialect.read_arrival(http)
        except ValueError:
            return dialect.refuse(400, messages.Reason.BAD_REQUEST)
        route = instance.table.find(arrival.host, arrival.path)
        if route is None:
            return dialect.refuse(404, messages.Reason.NO_ROUTE)
        key = dialect.read_key(http)
        identity = instance.workspaces.identify(key, route.is_public)
        now = asyncio.get_running_loop().time()
        request = dialect.build_request(
            http,
            route,
            "" if identity.refusal else instance.round_robin.choose(route),
            self._settings.service,
            now + min(arrival.seconds, route.timeout),
            now + min(route.objective, route.timeout, arrival.seconds),
            identity,
        )
        if identity.refusal is not None:
            answer = instance.refuse_unidentified(request, key is not None)
        else:
            answer = await instance.serve(
                request, route, now + arrival.seconds, sender.connection
            )
        seconds = asyncio.get_running_loop().time() - now
        self._metrics.record_call(
            route.name, request.importance, answer.outcome, answer.reason, seconds, 0
        )
        return dialect.build_response(answer, request.root)

    async def _answer_readiness(self, http, sender):
        instance = self.instance
        ready = instance.table.version and not instance.caller_drain.is_active
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
            Gauge(
                "store_calls_total", count, gauges.build_labels(outcome=outcome.value)
            )
            for outcome, count in calls
        ]

    async def _answer_announcement(self, http, sender):
        """Apply a heartbeat or a leave request of the local backend server."""
        path = urlsplit(http.target).path
        identity = path.removeprefix(ANNOUNCEMENT_PREFIX)
        if identity == path or not identity or "/" in identity:
            return HttpResponse(404, "Not Found")
        try:
            if len(identity) > MAX_IDENTIFIER_BYTES:
                raise ValueError("the identifier is too long")
            if http.method == "PUT":
                self._apply_heartbeat(heartbeats.parse_heartbeat(identity, http.body))
            elif http.method == "DELETE":
                start_time_ms = heartbeats.parse_start(http.body)
                self._announcements.apply_leave(identity, start_time_ms)
                self._install_backend()
            else:
                return HttpResponse(405, "Method Not Allowed")
        except (InputErrors, ValueError) as error:
            events.write("heartbeat-unread", events.Message(f"{identity}: {error}"))
            return HttpResponse(400, "Bad Request")
        leave = self._announcements.last_leave
        if leave is not None and leave.identity == identity:
            if not await self._leaves.write(leave, LEAVE_RECORD_WAIT):
                # A successor of this process would know nothing of the leave.
                events.write("leave-unacknowledged", events.Message(identity))
                return HttpResponse(503, "Not Recorded")
        return HttpResponse(200, "OK", (("Content-Type", "application/json"),), b"{}")

    def _apply_heartbeat(self, announcement):
        current = self._settings
        if announcement.service != current.service:
            raise ValueError(
                f"service is {announcement.service}, must be {current.service}"
            )
        problem = self._announcements.apply(announcement)
        if problem:
            events.write(
                "heartbeat-passed-over",
                events.Message(f"{announcement.identity}: {problem}"),
            )
        self._install_backend()

    def _handle_leave(self, identity):
        """Give no new work to a backend server that says in an answer it leaves."""
        self._announcements.apply_leaving_answer(identity)
        self._leaves.begin_write(self._announcements.last_leave)
        self._install_backend()

    def _apply_leaves(self, leaves):
        """Apply the leaves that earlier processes of this daemon have recorded."""
        self._announcements.restore_leaves(leaves)
        self._install_backend()

    def _knows_leaves(self):
        """Return whether a heartbeat can be told from one that was sent before a leave.

        While the store is away, what other daemons know has to do.
        """
        if not self._followed_instances.copy.is_initialized:
            return False
        waited = asyncio.get_running_loop().time() - self._started_at
        return self._leaves.is_read or waited >= LEAVES_WAIT

    def _install_deferred(self):
        if self._is_install_deferred:
            self._install_backend()

    def _install_backend(self):
        self._route_callers()
        if not self._knows_leaves():
            # The backend server may have told an earlier process that it leaves, and a
            # request could reach it after it was promised that none does.
            self._is_install_deferred = True
            return
        self._is_install_deferred = False
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
                    newest.start_time_ms,
                )
            )
        self._records.note_change()

    def _route_callers(self):
        """Route callers to other daemons while the backend server leaves or is missing.

        The instance, and this daemon with it, is removed soon after the backend server
        has left; where that was before this process started, no heartbeat comes.
        Callers are let in once a backend server announces itself.
        """
        drain, now = self.instance.caller_drain, asyncio.get_running_loop().time()
        has_waited = now - self._started_at >= HEARTBEAT_WAIT
        is_missing = has_waited and self._announcements.newest is None
        if self._announcements.is_backend_leaving or is_missing:
            if drain.begin(now):
                events.write("callers", events.Message("routed to other daemons"))
        elif not self._stopping.is_set() and drain.cancel():
            events.write("callers", events.Message("let in again"))

    def _apply_configuration(self, changed):
        for record in changed:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            try:
                parsed = configuration.parse_configuration(record.value)
            except (InputErrors, ValueError) as error:
                events.write("configuration-unread", events.Message(str(error)))
                continue
            if self.instance.install_configuration(parsed.table, parsed.workspaces):
                self._callers.limits = parsed.limits

    def _apply_instance_records(self, changed):
        for record in changed:
            if record.key == records.GRAPH_KEY:
                self._records.apply_topology(record.value)
                continue
            if record.key.startswith(records.CRASH_PREFIX):
                self._apply_crash(record)
                continue
            try:
                endpoint = records.decode_endpoint(record.key, record.value)
            except ValueError as error:
                events.write("record-unread", events.Message(f"{record.key}: {error}"))
                continue
            self.instance.record_endpoint(record.key, endpoint)
            is_own = record.key == self.instance.location.address
            if is_own and endpoint is not None and endpoint.leaving_backend:
                self._suspect_leave(endpoint.leaving_backend)
        self._install_deferred()
        self._records.note_change()

    def _suspect_leave(self, identity):
        """Apply that this daemon's record, as others know it, names a leave."""
        if not self._leaves.is_read:
            self._announcements.suspect_leave(identity)
            self._route_callers()

    def _is_first_reader(self):
        return self.instance.is_reader() and self.instance.reader_rank == 0

    def _apply_crash(self, record):
        history = self.instance.crash_history
        if not record.value:
            history.forget(record.key.removeprefix(records.CRASH_PREFIX))
            return
        try:
            crash = records.decode_crash(record.value)
        except ValueError as error:
            events.write("record-unread", events.Message(f"{record.key}: {error}"))
            return
        history.apply(crash, asyncio.get_running_loop().time())

    def _reload_settings(self, cause):
        """Reload the settings file, and log which settings have changed.

        Args:
            cause: "signal" or "change", for the log.
        """
        try:
            reloaded = settings.read_file()
        except (InputErrors, UserError) as error:
            events.write("settings-unread", events.Message(str(error)))
            return
        if reloaded == self._settings and cause != "signal":
            return
        changed = [
            name
            for name in reloaded._fields
            if getattr(reloaded, name) != getattr(self._settings, name)
        ]
        events.write("reload", SettingsChange(cause, ", ".join(changed)))
        self._settings = reloaded

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL)
            self._reload_settings("change")


def run():
    """Run the daemon of this instance; return the exit code."""
    instance_settings = settings.read_file()
    asyncio.run(_run(instance_settings))
    return 0


async def _run(instance_settings):
    await Node(instance_settings).run()
