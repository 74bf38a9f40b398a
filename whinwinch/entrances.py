"""What a daemon answers: callers, the backend server, other daemons, operators."""

import asyncio
import math

from . import (
    __version__,
    assembly,
    decisions,
    membertable,
    messages,
    router,
)
from .backends import app as backend_app
from .callers import app as caller_app
from .callers import server as http_server
from .daemons import gossip
from .daemons import server as peer_server
from .lifecycle import Phase, Way
from .messages import Answer, Outcome, Reason
from .operators import api

SECONDS_TO_COME_BACK = 1.0
# The only daemon of its mesh is ready after this, without a member list.
ALONE_SECONDS = 5.0


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
        return future.result(gossip.THREAD_TIMEOUT)

    servicer = peer_server.PeerServicer(
        parts.own, serve_call, answer_gossip, parts.loop.time, parts.settings.peer_token
    )
    return peer_server.start_server(servicer, parts.settings.peer_address)


def build_http_servers(parts, gatekeeper, operators):
    """Return pairs of address and server for callers and the backend server."""
    settings = parts.settings
    route = assembly.build_router(parts, gatekeeper)
    calls = caller_app.build_app(
        build_root_route(parts, route),
        settings.max_body,
        settings.threads,
        lambda: parts.flights.count(Way.ENTRY),
        parts.metrics.count_event,
    )
    outgoing = caller_app.build_app(
        build_outgoing_route(parts, route),
        settings.max_body,
        settings.threads,
        lambda: parts.flights.count(Way.OUTWARD),
        parts.metrics.count_event,
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
            incoming.identifier or attempt,
            attempt,
            incoming.service,
            "",
            "",
            incoming.caller,
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
