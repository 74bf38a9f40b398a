"""Daemon of one instance on the platform: its servers, tasks and signal handlers."""

import asyncio
import functools
import signal
from typing import NamedTuple
from urllib.parse import urlsplit

from absl import logging

from .. import events, gauges, messages, shutdown
from ..backends.interface import Dialect
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
    instancerecords,
    localbackend,
    settings,
)
from .recordkeeping import INSTANCES_TOPIC, RecordKeeper
from .store import Store

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
READINESS_PATH = "/whinwinch/ready"
METRICS_PATH = "/metrics"
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
        self._stopping = asyncio.Event()
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
        self._backend = localbackend.LocalBackend(
            self._store,
            self.instance,
            lambda: self._settings.service,
            lambda: self._followed_instances.copy.is_initialized,
            self._records.note_change,
            self._stopping.is_set,
        )
        limits = Limits()
        self._callers = Server(self._answer_call, limits)
        self._readiness = Server(self._answer_readiness, limits)
        self._control = Server(self._backend.answer_report, limits)
        self._metrics_page = Server(self._answer_metrics, limits)
        self._metrics = Metrics(self._list_gauges, "route")

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
        self._backend.close()
        self.instance.close()
        self._store.close()

    async def serve(self):
        """Run the daemon's tasks until `stop` is called, then stop as planned."""
        initial, loop = self._settings, asyncio.get_running_loop()
        self._backend.begin()
        tasks = [loop.create_task(keep_running(work)) for work in self._list_work()]
        try:
            await self._stopping.wait()
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
            raise

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
                self._record_instances_read,
                INSTANCES_WAIT,
                INSTANCES_BATCH_DELAY,
            ),
            *self._records.list_work(),
            functools.partial(self._backend.maintain_leaves, self._is_first_reader),
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

    def _handle_leave(self, identity):
        self._backend.handle_leave(identity)

    def _apply_configuration(self, changed):
        for record in changed:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            try:
                parsed = configuration.parse_configuration(record.value)
            except (InputErrors, ValueError) as error:
                events.write("configuration-unread", events.Message(str(error)))
                continue
            except Exception as error:
                # The message of an unforeseen error may contain a key.
                name = type(error).__name__
                events.write("configuration-unread", events.Message(name))
                continue
            if self.instance.install_configuration(parsed.table, parsed.workspaces):
                self._callers.limits = parsed.limits

    def _record_instances_read(self, topic, end, now):
        """Record that this daemon has read the instances' topic from the store."""
        self.instance.topics.record_read(topic, end, now)
        self._backend.leaves.note_read()

    def _apply_instance_records(self, changed):
        instancerecords.apply_records(
            changed, self.instance, self._backend, self._records
        )

    def _is_first_reader(self):
        return self.instance.is_reader() and self.instance.reader_rank == 0

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
