"""State of the daemon on one instance.

The state is held in memory only. After a restart the daemon reads the configuration
and the records of the other daemons from the log, the backend server announces itself
with its next heartbeat, and admission levels and latencies are measured again.
"""

import asyncio
import collections
import math
import random
from typing import NamedTuple

from . import (
    callerdrain,
    callgraph,
    crashes,
    decisions,
    directory,
    events,
    loadlog,
    messages,
    repeats,
    routes,
    stopwindow,
    subsets,
)
from .backends.guard import Guard
from .backends.interface import Backend
from .daemons import exchange, frames, links, relays, reporting, topics, traffic
from .forwarding import Forwarder
from .logservice import sources
from .messages import Outcome, Reason, build_failure
from .placement import Placement
from .reportedlevels import ReportedLevels
from .workspaces import ledger, registry
from .workspaces import reporting as quota_reporting

# Share of a route's objective that a nested call may wait for a slot. The waits of
# sequential calls of one request add up: with a larger share, admitted requests are
# answered too late.
NESTED_CALL_WAIT_SHARE = 0.25
# A root request waits only here; the rest of its objective is left for the work.
ROOT_REQUEST_WAIT_SHARE = 0.5
# Objective in seconds of a request whose route isn't configured.
DEFAULT_OBJECTIVE = 1.0
# Seconds between two choices of the log's readers: another daemon should take over as
# soon as a reader is unreachable.
SOURCES_INTERVAL = 0.1


class Location(NamedTuple):
    """Address and location of the daemon.

    Attributes:
        address: Address for other daemons.
        zone: Availability zone.
        region: Region.
    """

    address: str
    zone: str
    region: str


class ConfigurationChange(NamedTuple):
    """Event: another version of the configuration was installed."""

    version: int
    before: int
    routes: int


class BackendChange(NamedTuple):
    """Event: the state of the local backend server has changed."""

    identity: str
    service: str
    slots: int
    leaving: bool
    start_time_ms: int


class BackendCrash(NamedTuple):
    """Event: the local backend server has ended without having announced it.

    Attributes:
        identity: Identifier of the backend server.
        service: Name of its service.
        in_flight: Number of requests that it was running.
        fingerprints: The `crashes.build_fingerprint` of their work.
        proven: The one of them that caused the crash, "" if that isn't certain.
    """

    identity: str
    service: str
    in_flight: int
    fingerprints: tuple[str, ...]
    proven: str


class Instance:
    """The components of one daemon and its state.

    Args:
        location: `Location`.
        backend_address: `settings.Address` of the backend server.
        dialect: `backends.interface.Dialect`.
        repeat_limits: `repeats.RepeatLimits` of all services.
        quota_terms: `workspaces.quotas.QuotaTerms` of all workspaces.
        handle_leave: Function called with the identifier of the local backend server
            when it says in an answer that it leaves.
    """

    def __init__(
        self,
        location,
        backend_address,
        dialect,
        repeat_limits,
        quota_terms,
        handle_leave,
    ):
        self._loop = asyncio.get_running_loop()
        self.location = location
        self.table = routes.RouteTable()
        self.workspaces = registry.Registry()
        self.round_robin = routes.WeightedRoundRobin()
        self.directory = directory.Directory(location.address)
        hello = frames.Hello(messages.new_identifier(), location.address)
        self.traffic = traffic.Traffic(self._is_in_other_zone)
        self.peers = links.Peers(hello, self._apply_frame, self.traffic)
        self.graph = callgraph.CallGraph()
        self._reported_levels = ReportedLevels()
        self.crash_history = crashes.CrashHistory()
        # Crashes of the local backend server that are to be written to the log.
        self.crash_records = asyncio.Queue()
        self.stop_window = stopwindow.StopWindow()
        # Seconds from the arrival of requests and calls to their answers, by route.
        self._durations = stopwindow.RecentDurations()
        self.guard = Guard(
            backend_address,
            dialect,
            repeats.RepeatBudget(
                repeat_limits, self._count_endpoints, self._loop.time()
            ),
            self._find_max_wait,
            self.graph,
            self._count_endpoints,
            self.crash_history,
            self._handle_crash,
            handle_leave,
            self.stop_window,
        )
        self.exchange = exchange.Exchange(
            hello,
            self.guard.serve,
            _answer_abandoned,
            handle_topic=self._apply_topic,
            handle_hello=self._handle_hello,
            handle_relayed=self._apply_relayed,
            sent_traffic=self.traffic,
            is_at_work=self.guard.is_at_work,
        )
        self.topics = topics.Topics(self._broadcast)
        self._relays = relays.Relays(
            location.address, self.peers, self.exchange, self._is_in_local_zone
        )
        # Identifier of the last daemon that connected from each address. It is new at
        # every start of a daemon.
        self._connected_daemons = {}
        self.forwarder = Forwarder(
            location.address,
            self.directory,
            subsets.Subsets(location.address, location.zone, self.directory),
            self.peers,
            self.guard,
            Placement(location.zone, random.Random()),
            self._reported_levels,
            self.crash_history,
        )
        self.ledger = ledger.Ledger(quota_terms, self._count_daemons, self._loop.time())
        self.reporting = reporting.Reporting(
            self._relays,
            self._reported_levels,
            self.graph,
            location.address,
            self.list_levels,
            self.guard.find_available_share,
        )
        self.quota_reporting = quota_reporting.Reporting(
            self.ledger,
            self._relays,
            location.address,
            self._count_daemons,
            lambda: not self.workspaces.is_empty,
        )
        self.caller_drain = callerdrain.CallerDrain()
        self._is_leaving = False
        self._started_at = self._loop.time()
        self._table_installed_at = self._started_at
        self._routes = {}
        self._service_routes = {}
        self._publish()

    async def listen(self, address):
        """Listen for other daemons at a `settings.Address`; return the port."""
        return await self.exchange.listen(address.host, address.port)

    def install_configuration(self, table, workspaces):
        """Install a version of the configuration if it is newer than the present one.

        Args:
            table: `routes.RouteTable` of that version.
            workspaces: Its `workspaces.registry.Registry`.

        Returns:
            Whether it was newer.
        """
        if table.version <= self.table.version:
            return False
        change = ConfigurationChange(
            table.version, self.table.version, len(table.routes)
        )
        events.write("configuration", change)
        self.table = table
        self.workspaces = workspaces
        self.ledger.install(workspaces, self._loop.time())
        self._table_installed_at = self._loop.time()
        self.round_robin.prune(table)
        self._routes = {route.name: route for route in table.routes}
        self._service_routes = _group_by_service(table.routes)
        timeouts = [r.timeout for r in table.routes if math.isfinite(r.timeout)]
        self.graph.unknown_until = self._started_at + max(timeouts, default=0.0)
        return True

    def find_table_age(self, now):
        """Return the seconds since the present routes were installed."""
        return now - self._table_installed_at

    def install_backend(self, backend):
        """Replace the local `Backend`, None if no backend server is announced."""
        if backend == self.guard.backend:
            return
        events.write("backend", BackendChange(*(backend or Backend("", "", 0, True))))
        self.guard.install(backend)
        self._publish()

    def record_endpoint(self, address, endpoint):
        """Apply the logged record of the daemon at an address, None if withdrawn."""
        self.directory.apply_record(address, endpoint)
        if not self._is_up(address):
            # The last report may be from the daemon's previous run, which was leaving.
            self.directory.discard_report(address)
        if endpoint is None:
            self.peers.forget(address)
            self._connected_daemons.pop(address, None)

    def refuse_unidentified(self, request, has_key):
        """Return the answer to a request that belongs to no workspace but needs one.

        Args:
            request: `messages.Request`.
            has_key: Whether it carries a key, which no workspace holds.
        """
        reason = Reason.UNKNOWN_KEY
        self.forwarder.refused[messages.Refusal(request.call, reason)] += 1
        decisions.log_unidentified(request, reason, has_key, self.table.version)
        return build_failure(request, Outcome.NOT_RUN, reason)

    async def serve(self, request, route, expires, connection=0):
        """Serve a request of a caller or a call of the local backend server.

        Args:
            request: `messages.Request`.
            route: `routes.Route`.
            expires: Time of the loop's clock at which the caller stops waiting,
                regardless of the route's timeout.
            connection: Number of the connection on which the request arrived.

        Returns:
            The `messages.Answer`.
        """
        arrived_at = self._loop.time()
        self.caller_drain.record_arrival(arrived_at)
        parent = self._find_parent(request, route, connection, expires)
        work, has_run = self._durations.begin(request.call, arrived_at), False
        try:
            if parent is None:
                answer = await self._serve_root(request, route)
            else:
                answer = await self._serve_call(request, route, parent, connection)
            has_run = answer.outcome is not Outcome.NOT_RUN
            return answer
        finally:
            self._durations.end(work, self._loop.time(), has_run)

    async def _serve_call(self, request, route, parent, connection):
        """Serve a call of the local backend server, also while the daemon stops.

        The request that makes it has been accepted and would fail without it.
        """
        succeeded = False
        try:
            call = self._inherit(request, parent)
            answer = await self.forwarder.serve(call, route.max_endpoints)
            succeeded = answer.succeeded
            return answer
        finally:
            self.graph.end_call(parent, connection, self._loop.time(), succeeded)

    async def _serve_root(self, request, route):
        """Serve a caller's request within the quota of its workspace."""
        now = self._loop.time()
        if not self.stop_window.try_accept_request(request, self._durations, now):
            return self._refuse_while_stopping(request, now)
        if not self.ledger.try_spend(request, now):
            return self._refuse_beyond_quota(request)
        answer = await self.forwarder.serve(request, route.max_endpoints)
        if answer.outcome is Outcome.NOT_RUN:
            self.ledger.refund(request, self._loop.time())
        return answer

    def _refuse_while_stopping(self, request, now):
        seconds = self.stop_window.find_retry_after(now, request.attempt)
        return self.forwarder.refuse(request, Reason.LEAVING, seconds)

    def _refuse_beyond_quota(self, request):
        reason = Reason.QUOTA
        seconds = self.ledger.find_retry_after(request)
        self.forwarder.refused[messages.Refusal(request.call, reason)] += 1
        state = self.ledger.read_state(request.caller, self._loop.time())
        decisions.log_over_quota(request, reason, seconds, state, self.table.version)
        return build_failure(request, Outcome.NOT_RUN, reason, retry_after=seconds)

    def begin_stop(self, until):
        """Accept only work that will probably end before a time of the loop's clock."""
        longest = self._durations.find_longest_of_all()
        self.stop_window.begin(self._loop.time(), until, longest)

    def begin_leaving(self):
        """Refuse all further attempts, and tell the other daemons.

        Requests of callers are still accepted if they end before those in flight.
        """
        self._is_leaving = True
        self.stop_window.close()
        self.guard.stop()
        self._publish()

    def close(self):
        """Close all connections to other daemons and to the backend server."""
        self.exchange.close()
        self.peers.close()
        self.guard.close()

    @property
    def endpoint(self):
        """The `messages.Endpoint` that is reported to other daemons."""
        location = self.location
        endpoint = directory.build_endpoint(
            location.address, self.guard.backend, location.zone, location.region
        )
        return endpoint._replace(leaving=True) if self._is_leaving else endpoint

    def _publish(self):
        """Report the endpoint to connected daemons and to the local directory."""
        self.directory.apply_report(self.location.address, self.endpoint)
        self.exchange.publish_news(frames.News(self.endpoint))

    def _find_parent(self, request, route, connection, expires):
        """Record a call in the call graph and return its `callgraph.Parent`.

        Returns:
            None for a root request.
        """
        now, call = self._loop.time(), request.call
        if request.caller:
            # Calls of backend servers carry no key.
            self.graph.record_caller(call, connection, is_entry=not route.is_public)
            return None
        if self.graph.observe(call, connection, expires, now):
            return None
        backend = self.guard.backend
        is_to_local_service = backend is not None and backend.service == request.service
        return self.graph.begin_call(
            call, connection, expires, now, is_to_local_service
        )

    def _inherit(self, call, parent):
        """Return a nested call with the attributes that it inherits from its parent."""
        return call._replace(
            importance=messages.Importance(parent.importance),
            root=parent.run.request.root,
            due=parent.due,
            via=(self.guard.backend.service if self.guard.backend else "",),
            parent_is_repeat=parent.run.request.is_repeat,
            calls_left=self.graph.count_calls_left(parent),
        )

    def _apply_frame(self, address, news):
        """Apply a frame of the daemon at an address."""
        if isinstance(news, exchange.RELAYED_KINDS):
            self._apply_relayed(address, news)
            return
        if isinstance(news, frames.TOPIC_KINDS):
            self._apply_topic(self.peers.find(address).send_if_connected, news)
            return
        self.directory.apply_report(address, news.endpoint)

    def _find_max_wait(self, request):
        """Return the seconds that a request may wait for a slot."""
        route = self._routes.get(request.call)
        objective = route.objective if route is not None else DEFAULT_OBJECTIVE
        return (
            NESTED_CALL_WAIT_SHARE if request.via else ROOT_REQUEST_WAIT_SHARE
        ) * objective

    def _apply_relayed(self, address, frame):
        """Apply a frame that a daemon sent to its relay or a relay to daemons."""
        if isinstance(frame, frames.Crash):
            self.crash_history.apply(frame.record, self._loop.time())
        elif isinstance(frame, (frames.Usages, frames.UsageSum)):
            self.quota_reporting.apply(address, frame, self._loop.time())
        else:
            self.reporting.apply(address, frame)

    @property
    def reader_rank(self):
        """Index of the local group of daemons among all groups with a reader each."""
        return self._relays.sources.group_index

    def is_reader(self):
        """Return whether this daemon reads the log for other daemons."""
        return self._relays.sources.is_reader

    async def maintain_sources(self):
        """Choose readers of the log and stay connected to them until cancelled."""
        listed, ranks = None, None
        while True:
            if self.directory.all_endpoints is not listed:
                listed = self.directory.all_endpoints
                ranks = sources.Ranks(self.location.address, self.location.zone, listed)
            chosen = ranks.choose(self._is_up, self.exchange.find_addresses)
            self._relays.sources = chosen
            for address in chosen.peer_addresses:
                self.peers.find(address).keep_connected()
            for address in self.peers.drop_unused(self._loop.time()):
                self.directory.discard_report(address)
            await asyncio.sleep(SOURCES_INTERVAL)

    def _handle_hello(self, reply, hello):
        """Handle the Hello frame of a daemon that has connected to this one."""
        before = self._connected_daemons.get(hello.address)
        self._connected_daemons[hello.address] = hello.daemon
        if before != hello.daemon and not self._is_up(hello.address):
            self.directory.discard_report(hello.address)
        self.topics.request_missing(reply, self._loop.time())

    def _is_in_other_zone(self, address):
        return self.directory.find_zone(address) not in ("", self.location.zone)

    def _is_in_local_zone(self, address):
        return self.directory.find_zone(address) == self.location.zone

    def _is_up(self, address):
        return self.peers.find(address).is_up

    def _broadcast(self, frame):
        """Send a frame to the daemons connected to this one and to its sources.

        A source may have stalled as a reader while no other daemon is connected to
        it.
        """
        self.exchange.broadcast(frame)
        for address in self._relays.sources.peer_addresses:
            self.peers.find(address).send_if_connected(frame)

    def _apply_topic(self, reply, frame):
        self.topics.handle(reply, frame, self._loop.time())

    def list_levels(self):
        """Yield the name and level of each route to the local backend server."""
        for level in self.list_route_levels():
            yield level.route, max(level.own, level.below)

    def list_route_levels(self):
        """Yield a `loadlog.RouteLevel` for each local route with a level above 0."""
        for name in self._find_local_routes():
            local, below = (
                self.guard.find_level(name),
                self._find_downstream_level(name),
            )
            if local > 0.0 or below > 0.0:
                yield loadlog.RouteLevel(name, local, below)

    async def log_load(self):
        """Log the load at each interval until cancelled."""
        meter = loadlog.LoadMeter(self, self._loop.time())
        while True:
            await asyncio.sleep(loadlog.LOG_INTERVAL_SECONDS)
            loadlog.write_load(meter.read(self._loop.time()))

    def _count_daemons(self):
        return len(self.directory.all_endpoints)

    def _count_endpoints(self):
        """Return the number of endpoints of the local backend server's service."""
        backend = self.guard.backend
        service = backend.service if backend is not None else ""
        return len(self.directory.find_endpoints(service))

    def _handle_crash(self, backend, requests):
        """Record a crash of the local backend server with what it was running."""
        record = self.crash_history.build_record(backend.identity, requests)
        event = BackendCrash(
            backend.identity,
            backend.service,
            len(requests),
            record.fingerprints,
            record.proven,
        )
        events.write("backend-crash", event)
        self.crash_history.apply(record, self._loop.time())
        # The daemons whose requests were in flight know of it before they get the
        # answers, and learn that the backend server is gone without trying it.
        self.exchange.broadcast(frames.Crash(record))
        self.install_backend(None)
        self.crash_records.put_nowait(record)

    def _find_local_routes(self):
        """Return the names of the routes that lead to the local backend server."""
        backend = self.guard.backend
        if backend is None:
            return ()
        return self._service_routes.get(backend.service, ())

    def _find_downstream_level(self, name):
        """Return the highest admission level on routes that a route's requests call."""
        now = self._loop.time()
        return max(
            (
                self._reported_levels.level(
                    child, self.directory.find_endpoints(weighted.service), now
                )
                for child in self.graph.find_children(name)
                if child in self._routes
                for weighted in self._routes[child].weighted_services
            ),
            default=0.0,
        )


def _group_by_service(routes):
    """Return a dict from each service to the names of the routes that lead to it."""
    names = collections.defaultdict(list)
    for route in routes:
        for service in {each.service for each in route.weighted_services}:
            names[service].append(route.name)
    return dict(names)


def _answer_abandoned(request):
    """Return an answer of unknown outcome to an attempt that was abandoned.

    The attempt may have run; its answer is no longer stored.
    """
    return build_failure(request, Outcome.UNKNOWN, Reason.ABANDONED, 502)
