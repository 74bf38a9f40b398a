"""Puts the parts of a daemon together and runs them until it is told to stop."""

import asyncio
import concurrent.futures
import contextlib
import math
import random
import signal
import sys
import time
from typing import NamedTuple

import grpc
from absl import logging

from . import (
    __version__,
    configuration,
    control,
    decisions,
    flight,
    levels,
    membership,
    membertable,
    messages,
    metrics,
    placement,
    recording,
    resources,
    retries,
    router,
    running,
    traces,
)
from .backends import app as backend_app
from .backends.gatekeeper import Gatekeeper
from .callers import app as caller_app
from .callers import server as http_server
from .daemons import client as peer_client
from .daemons import gossip
from .daemons import server as peer_server
from .guarded import Guarded
from .lifecycle import Phase, Way
from .logservice import follower, joining, readers, relay, snapshots, streams
from .logservice.client import LogClient, LogUnavailable
from .messages import Answer, Outcome, Reason
from .operators import access, api
from .operators.store import Store

# Threads for what blocks in control: gossip sent, the log read and appended to.
CONTROL_THREADS = 12
GOSSIP_TIMEOUT = 3.0
# A daemon that stops doesn't wait longer than this for the log.
GOODBYE_SECONDS = 1.0
ALONE_SECONDS = 5.0
LOG_POOL = 4
SECONDS_TO_COME_BACK = 1.0


class Parts(NamedTuple):
    """The parts of a running daemon."""

    settings: object
    loop: asyncio.AbstractEventLoop
    own: str
    log: LogClient
    members: membership.Membership
    store: Store
    relay: relay.Relay
    flights: flight.FlightCounter
    metrics: metrics.Metrics
    running: running.Running
    ledger: Guarded
    levels: Guarded
    peers: peer_client.PeerClient
    control: control.Control
    notes: recording.Notes


def run(settings):
    """Run a daemon until SIGTERM or SIGINT; return the exit code."""
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, settings.verbosity.upper()))
    return asyncio.run(serve(settings))


async def serve(settings):
    """Run a daemon on the running event loop until it has stopped."""
    loop = asyncio.get_running_loop()
    loop.set_default_executor(
        concurrent.futures.ThreadPoolExecutor(CONTROL_THREADS, "control")
    )
    operators = access.parse_operators(settings.operator_tokens)
    access.check_peer_setting(settings.peer_token)
    parts = build_parts(settings, loop)
    gatekeeper = build_gatekeeper(parts)
    parts.control.connect(gatekeeper.install)
    talk = gossip.build_gossip(parts.members, parts.relay, build_send(parts))
    peers = start_peer_server(parts, gatekeeper, talk)
    http_server.start_engine(build_http_servers(parts, gatekeeper, operators))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, parts.control.begin_leaving)
    logging.info(
        "daemon=%s version=%s zone=%s address=%s peer=%s serving",
        parts.own,
        __version__,
        settings.zone,
        settings.address,
        settings.peer_address,
    )
    try:
        await run_tasks(parts, gatekeeper, talk)
    finally:
        await loop.run_in_executor(None, stop_servers, parts, peers)
    return 0


def build_parts(settings, loop):
    """Return the parts of a daemon."""
    own = messages.new_identifier()
    endpoint = messages.Endpoint(
        daemon=own,
        address=str(settings.advertise or settings.peer_address),
        zone=settings.zone,
        region=settings.region,
    )
    log = LogClient(settings.log, LOG_POOL)
    members = membership.Membership(
        endpoint,
        random.Random(),
        membership.Settings(interval=settings.gossip_interval),
    )
    store = Store(
        configuration.Configuration(),
        log.append,
        configuration.encode_change,
        streams.CONFIGURATION,
    )
    flights = flight.FlightCounter()
    ledger = Guarded(retries.Ledger())

    notes = build_notes(settings, own)
    config = build_relay(store, notes)
    counts = metrics.Metrics()

    peers = peer_client.PeerClient(
        loop.time, access.choose_peer_token(settings.peer_token)
    )

    def tick(now):
        peers.close_idle(now)
        with ledger as state:
            state.expire(now)
        if not store.ready and config.find_age(now) < math.inf:
            store.mark_ready()

    return Parts(
        settings=settings,
        loop=loop,
        own=own,
        log=log,
        members=members,
        store=store,
        relay=config,
        flights=flights,
        metrics=counts,
        running=running.Running(),
        ledger=ledger,
        levels=Guarded(levels.Levels()),
        peers=peers,
        control=control.Control(
            loop,
            settings,
            own,
            members,
            log,
            flights,
            tick,
            counts.count_claim,
            notes,
        ),
        notes=notes,
    )


def build_notes(settings, own):
    """Return the functions that write the trace, if there is to be one."""
    if not settings.trace:
        return recording.NOTHING
    return recording.build_notes(own, traces.make_recorder(sys.stdout, time.time))


def build_relay(store, notes):
    """Return the relay that hands configuration records on to peers."""
    kept = relay.RecordStore(find_covered)

    def apply_record(record):
        before = store.version
        taken = take_record(record)
        if notes is not recording.NOTHING and store.version != before:
            notes.configured(store.version, store.encode_resources())
        return taken

    def take_record(record):
        applied = store.apply_record(record.offset, record.time, record.data)
        if applied.ground is not configuration.Ground.GAP:
            kept.add(record)
            return True
        if not store.install_snapshot(record.data):
            return False
        kept.add(record)
        return True

    return relay.Relay(apply_record, kept.records_from, lambda: store.offset)


def find_covered(data):
    """Return the offset that a snapshot record covers, None for another one."""
    # Changes are many and snapshots few; the text tells them apart cheaply.
    if b'"snapshot"' not in data[:64]:
        return None
    decoded = configuration.decode_record(data)
    return getattr(decoded, "covers", None)


def build_gatekeeper(parts):
    """Return the gatekeeper of the own backend server."""
    return Gatekeeper(
        clock=parts.loop.time,
        claim=parts.control.claim,
        note_end=parts.control.note_end,
        ledger=parts.ledger,
        running=parts.running,
        takes_work=lambda: parts.control.admits(Way.INWARD),
        max_body=parts.settings.max_body,
        notes=parts.notes,
    )


def build_send(parts):
    """Return the awaitable that sends gossip from the loop."""

    async def send(address, message):
        try:
            return await asyncio.to_thread(
                parts.peers.gossip, address, message, GOSSIP_TIMEOUT
            )
        except grpc.RpcError as error:
            raise gossip.SendError(f"{address}: {error.code()}") from error

    return send


def start_peer_server(parts, gatekeeper, talk):
    """Start serving other daemons; return the server."""

    def serve_call(request):
        parts.flights.start(Way.INWARD, parts.loop.time(), request.deadline)
        try:
            return gatekeeper.serve(request)
        finally:
            parts.flights.end(Way.INWARD)

    def answer_gossip(message):
        answer = gossip.answer_gossip(talk, message)
        future = asyncio.run_coroutine_threadsafe(answer, parts.loop)
        return future.result(GOSSIP_TIMEOUT)

    servicer = peer_server.PeerServicer(
        parts.own, serve_call, answer_gossip, parts.loop.time, parts.settings.peer_token
    )
    return peer_server.start_server(servicer, parts.settings.peer_address)


def build_http_servers(parts, gatekeeper, operators):
    """Return pairs of address and server for callers and the backend server."""
    settings = parts.settings
    route = build_router(parts, gatekeeper)
    calls = caller_app.build_app(
        build_root_route(parts, route),
        settings.max_body,
        settings.threads,
        lambda: parts.flights.count(Way.ENTRY),
    )
    outgoing = caller_app.build_app(
        build_outgoing_route(parts, route),
        settings.max_body,
        settings.threads,
        lambda: parts.flights.count(Way.OUTWARD),
    )
    public = http_server.build_dispatcher(
        calls, build_admin(parts, gatekeeper, operators), build_probes(parts)
    )
    private = backend_app.build_app(
        outgoing, parts.control.announce_soon, parts.control.withdraw_soon
    )
    return (
        (
            settings.address,
            http_server.build_server(settings.address, public, settings),
        ),
        (
            settings.backend_address,
            http_server.build_server(settings.backend_address, private, settings),
        ),
    )


def build_router(parts, gatekeeper):
    """Return the router of calls from callers and the own backend server."""
    return router.Router(
        clock=parts.loop.time,
        places=router.Places(
            own=parts.own,
            find_endpoints=parts.members.find_endpoints,
            has_room=gatekeeper.has_room,
            serve=gatekeeper.serve,
            call=parts.peers.call,
        ),
        find_service=lambda name: parts.store.snapshot().find_service(name),
        match_call=resources.match_call,
        placement_state=Guarded(
            placement.Placement(parts.settings.zone, random.Random())
        ),
        levels=parts.levels,
        ledger=parts.ledger,
        running=parts.running,
        random=random.random,
        key_window=parts.settings.key_window,
        note=build_note(parts),
        notes=parts.notes,
    )


def build_note(parts):
    """Return the function that counts the end of a call."""

    def note(incoming, routed, seconds):
        answer = routed.answer
        parts.metrics.note_call(
            incoming.service,
            routed.importance,
            answer.outcome,
            answer.reason,
            seconds,
            routed.retries,
        )

    return note


def build_root_route(parts, route):
    """Return the function that routes a call from outside."""

    def route_root(incoming):
        now = parts.loop.time()
        reason = find_obstacle(parts)
        if reason is not None:
            return refuse_entry(incoming, reason)
        parts.flights.start(Way.ENTRY, now, now + (incoming.timeout or 0.0))
        try:
            return route.route_root(incoming)
        finally:
            parts.flights.end(Way.ENTRY)

    return route_root


def build_outgoing_route(parts, route):
    """Return the function that routes a call of the own backend server."""

    def route_outgoing(incoming):
        now = parts.loop.time()
        parts.flights.start(Way.OUTWARD, now, now + (incoming.timeout or 0.0))
        try:
            if not parts.store.ready:
                return refuse_entry(incoming, Reason.NOT_READY)
            holder = parts.running.find(incoming.identifier)
            if holder is not None:
                return route.route_nested(incoming, holder)
            # A request that this daemon doesn't know, after a restart perhaps:
            # it is served, but may cause no retries.
            return route.route_root(incoming, budget=0 if incoming.identifier else None)
        finally:
            parts.flights.end(Way.OUTWARD)

    return route_outgoing


def find_obstacle(parts):
    """Return why no call is taken from outside at the moment, or None.

    A daemon that has not read the configuration doesn't know which calls must
    not be repeated. Were it to serve them all the same, a payout sent again
    through it would not be claimed, and be paid twice.
    """
    if not parts.control.admits(Way.ENTRY):
        return Reason.LEAVING
    return None if parts.store.ready else Reason.NOT_READY


def refuse_entry(incoming, reason):
    """Return the refusal of a call from outside."""
    attempt = messages.new_identifier()
    answer = Answer(
        attempt,
        Outcome.NOT_RUN,
        reason,
        status=503,
        retry_after=SECONDS_TO_COME_BACK,
    )
    decisions.log_decision(
        decisions.Refused(
            incoming.identifier,
            attempt,
            incoming.service,
            "",
            "",
            reason.value,
            SECONDS_TO_COME_BACK,
            "entry",
        )
    )
    return router.Routed(answer, incoming.identifier or attempt, 0)


def build_readiness(parts):
    """Return a function that says why callers should stay away, "" for nothing.

    A daemon that takes callers before it knows the other daemons tells them
    "no-endpoint" of services that are there; after the restart of a zone all
    its callers would be told so.
    """
    configured = []

    def find_obstacle():
        if parts.control.phase is not Phase.SERVING:
            return "leaving"
        if not parts.store.ready:
            return "no configuration read yet"
        configured.append(parts.loop.time())
        del configured[1:]
        if parts.members.next_page >= membertable.BUCKETS:
            return ""
        # The only daemon of its mesh has nobody to get the list from.
        if parts.loop.time() - configured[0] < ALONE_SECONDS:
            return "no member list received yet"
        return ""

    return find_obstacle


def build_probes(parts):
    """Return the health, readiness and metrics pages by path."""
    find_obstacle = build_readiness(parts)

    def check_health():
        return "200 OK", "ok\n"

    def check_readiness():
        obstacle = find_obstacle()
        if obstacle:
            return "503 Service Unavailable", f"{obstacle}\n"
        return "200 OK", "ready\n"

    def render_metrics():
        return "200 OK", parts.metrics.render_metrics()

    return {
        "/health": check_health,
        "/ready": check_readiness,
        "/metrics": render_metrics,
    }


def build_admin(parts, gatekeeper, operators):
    """Return the WSGI callable of the resource API."""
    return api.create_application(
        api.Parts(
            store=parts.store,
            operators=operators,
            find_status=lambda: describe_status(parts, gatekeeper),
            begin_drain=parts.control.drain_soon,
            render_metrics=parts.metrics.render_metrics,
            max_key_window=parts.settings.key_window,
        )
    )


def describe_status(parts, gatekeeper):
    """Return what operators see of this daemon, as a JSON form."""
    view = parts.store.snapshot()
    announcement = parts.control.announcement
    return {
        "daemon": parts.own,
        "version": __version__,
        "phase": parts.control.phase.value,
        "zone": parts.settings.zone,
        "region": parts.settings.region,
        "backend": announcement._asdict() if announcement else None,
        "load": gatekeeper.load()._asdict(),
        "in_flight": parts.flights.read()._asdict(),
        "members": len(parts.members),
        "configuration": {
            "version": view.version,
            "changed": view.changed,
            "offset": parts.store.offset,
            "age": find_age(parts),
        },
    }


def find_age(parts):
    """Return the seconds since the configuration was known newest, -1 for never."""
    age = parts.relay.find_age(parts.loop.time())
    return age if age < math.inf else -1.0


async def run_tasks(parts, gatekeeper, talk):
    """Run the control tasks until the daemon has stopped."""
    tasks = [
        asyncio.create_task(task)
        for task in (
            gossip.run_gossip(talk),
            follow_configuration(parts, talk),
            write_snapshots(parts),
            joining.run_joining(*build_stream(parts, streams.MEMBERS), parts.members),
        )
    ]
    ending = asyncio.create_task(parts.control.run())
    done, _ = await asyncio.wait([*tasks, ending], return_when=asyncio.FIRST_COMPLETED)
    if parts.control.phase is Phase.STOPPED:
        await say_goodbye(parts, talk)
    for task in (*tasks, ending):
        task.cancel()
    for task in done:
        task.result()


async def say_goodbye(parts, talk):
    """Tell peers and the log that this daemon has gone, for a bounded time.

    Peers would find out by their probes, some seconds later.
    """
    parts.members.leave(parts.loop.time())
    talk.wake.set()
    _, append = build_stream(parts, streams.MEMBERS)
    with contextlib.suppress(TimeoutError, LogUnavailable):
        async with asyncio.timeout(GOODBYE_SECONDS):
            await joining.append_leave(append, parts.members, parts.loop.time())
    await asyncio.sleep(gossip.PUSH_INTERVAL)


def build_stream(parts, stream):
    """Return awaitable functions that read and append to a stream of the log."""

    async def read(offset, limit, wait):
        return await asyncio.to_thread(parts.log.read, stream, offset, limit, wait)

    async def append(data):
        return await asyncio.to_thread(parts.log.append, stream, data)

    return read, append


async def follow_configuration(parts, talk):
    """Read the configuration from the log while it is this daemon's turn."""
    read, _ = build_stream(parts, streams.CONFIGURATION)
    await follower.run_follower(
        read, parts.relay, lambda now: is_reader(parts, now), talk.wake
    )


async def write_snapshots(parts):
    """Write snapshots of the configuration while this daemon reads the log."""
    _, append = build_stream(parts, streams.CONFIGURATION)
    await snapshots.run_snapshots(
        lambda: parts.store.plan_snapshot(parts.settings.log_retention, time.time()),
        parts.store.encode_snapshot,
        append,
        lambda: is_reader(parts, parts.loop.time()),
    )


def is_reader(parts, now):
    """Return whether this daemon reads the configuration from the log."""
    return readers.is_reader(
        parts.members.members(),
        parts.members.own,
        streams.CONFIGURATION,
        parts.relay.find_age(now),
    )


def stop_servers(parts, peers):
    """Close what listens, then what connects; nothing is in flight any more."""
    parts.store.close()
    http_server.stop_engine()
    peers.stop(grace=0.5).wait()
    parts.peers.close()
    parts.log.close()
