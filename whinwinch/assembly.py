"""Construction of the components of a daemon."""

import asyncio
import math
import random
import sys
import time
from typing import NamedTuple

from . import (
    configuration,
    control,
    inflight,
    levels,
    membership,
    messages,
    metrics,
    placement,
    recording,
    resources,
    retries,
    router,
    running,
    tracerecords,
)
from .backends.gatekeeper import Gatekeeper
from .daemons import frames, links
from .lifecycle import Direction
from .logservice import relay, streams
from .logservice.client import LogClient
from .operators import access
from .operators.store import Store

# Number of connections to the log that are kept open.
LOG_POOL_SIZE = 4


class Parts(NamedTuple):
    """Components of a running daemon.

    Attributes:
        settings: `settings.Settings`.
        loop: Event loop of the daemon.
        local_daemon: Identifier of this daemon, new at every start.
        log: Client of the platform's log.
        members: Member list of the mesh.
        store: Store of the configuration.
        relay: Relay of configuration records to and from peers.
        in_flight: Counter of requests and calls in flight.
        metrics: Metrics of the daemon.
        running: Attempts at the local backend server.
        ledger: Retry budgets.
        levels: Admission levels learned from answers.
        peers: Connections to other daemons.
        control: Backend server, lifecycle and claims.
        trace_hooks: Functions that write the trace.
    """

    settings: object
    loop: asyncio.AbstractEventLoop
    local_daemon: str
    log: LogClient
    members: membership.Membership
    store: Store
    relay: relay.Relay
    in_flight: inflight.InFlightCounter
    metrics: metrics.Metrics
    running: running.RunningAttempts
    ledger: retries.Ledger
    levels: levels.LearnedLevels
    peers: links.Peers
    control: control.Control
    trace_hooks: recording.TraceHooks


def build_parts(settings, loop):
    """Return the `Parts` of a daemon.

    Args:
        settings: `settings.Settings`.
        loop: The running event loop.
    """
    local_daemon = messages.new_identifier()
    endpoint = messages.Endpoint(
        daemon=local_daemon,
        address=str(settings.advertise or settings.peer_address),
        zone=settings.zone,
        region=settings.region,
    )
    log = LogClient(settings.log, LOG_POOL_SIZE)
    members = membership.Membership(
        endpoint,
        random.Random(),
        membership.Settings(probe_interval=settings.gossip_interval),
    )
    store = Store(
        configuration.Configuration(),
        log.append,
        configuration.encode_change,
        streams.CONFIGURATION,
    )
    in_flight = inflight.InFlightCounter()
    ledger = retries.Ledger()

    trace_hooks = build_trace_hooks(settings, local_daemon)
    config = build_relay(store, trace_hooks)
    counts = metrics.Metrics()

    token = access.choose_peer_token(settings.peer_token)
    hello = frames.Hello(local_daemon, endpoint.address, token)
    peers = links.Peers(hello, ignore_news)

    def tick(now):
        peers.drop_unused(now)
        ledger.expire(now)
        if not store.ready and config.find_age(now) < math.inf:
            store.mark_ready()

    return Parts(
        settings=settings,
        loop=loop,
        local_daemon=local_daemon,
        log=log,
        members=members,
        store=store,
        relay=config,
        in_flight=in_flight,
        metrics=counts,
        running=running.RunningAttempts(),
        ledger=ledger,
        levels=levels.LearnedLevels(),
        peers=peers,
        control=control.Control(
            loop,
            settings,
            local_daemon,
            members,
            log,
            in_flight,
            tick,
            counts.count_claim,
            trace_hooks,
        ),
        trace_hooks=trace_hooks,
    )


def ignore_news(address, news):
    """Ignore the News frames of other daemons, which gossip duplicates."""
    del address, news


def build_trace_hooks(settings, local_daemon):
    """Return the `recording.TraceHooks` of the trace, no-ops if tracing is off."""
    if not settings.trace:
        return recording.NO_TRACE_HOOKS
    return recording.build_trace_hooks(
        local_daemon, tracerecords.make_recorder(sys.stdout, time.time)
    )


def build_relay(store, trace_hooks):
    """Return the relay that forwards configuration records to peers."""
    records = relay.RecordStore(find_covered)

    def apply_record(record):
        before = store.version
        was_applied = apply_to_store(record)
        if trace_hooks is not recording.NO_TRACE_HOOKS and store.version != before:
            trace_hooks.configured(store.version, store.encode_resources())
        return was_applied

    def apply_to_store(record):
        applied = store.apply_record(record.offset, record.time, record.data)
        if applied.ground is not configuration.ApplyReason.GAP:
            records.add(record)
            return True
        if not store.install_snapshot(record.data):
            return False
        records.add(record)
        return True

    return relay.Relay(apply_record, records.records_from, lambda: store.offset)


def find_covered(data):
    """Return the offset that a snapshot covers the stream to, None for other records.

    Args:
        data: Bytes of the record.
    """
    # Most records are changes; this cheap search for the key avoids decoding them.
    if b'"snapshot"' not in data[:64]:
        return None
    decoded = configuration.decode_record(data)
    return getattr(decoded, "covers", None)


def build_gatekeeper(parts):
    """Return the gatekeeper of the local backend server."""
    return Gatekeeper(
        clock=parts.loop.time,
        claim=parts.control.claim,
        record_end=parts.control.record_end,
        ledger=parts.ledger,
        levels=parts.levels,
        running=parts.running,
        accepts_work=lambda: parts.control.admits(Direction.INWARD),
        max_body=parts.settings.max_body,
        find_service=lambda name: parts.store.snapshot().find_service(name),
        trace_hooks=parts.trace_hooks,
    )


def build_router(parts, gatekeeper):
    """Return the router of calls from callers and the local backend server."""

    async def call(endpoint, request):
        return await parts.peers.find(endpoint.address).call(request)

    return router.Router(
        clock=parts.loop.time,
        targets=router.AttemptTargets(
            local_daemon=parts.local_daemon,
            find_endpoints=parts.members.find_endpoints,
            has_free_slot=gatekeeper.has_free_slot,
            serve=gatekeeper.serve,
            call=call,
        ),
        find_service=lambda name: parts.store.snapshot().find_service(name),
        match_call=resources.match_call,
        placement_state=placement.Placement(parts.settings.zone, random.Random()),
        levels=parts.levels,
        ledger=parts.ledger,
        running=parts.running,
        random=random.random,
        key_window=parts.settings.key_window,
        record_call=build_call_recorder(parts),
        trace_hooks=parts.trace_hooks,
    )


def build_call_recorder(parts):
    """Return the function that counts completed calls in the metrics."""

    def record_call(incoming, routed, seconds):
        answer = routed.answer
        parts.metrics.record_call(
            incoming.service,
            routed.importance,
            answer.outcome,
            answer.reason,
            seconds,
            routed.retries,
        )

    return record_call
