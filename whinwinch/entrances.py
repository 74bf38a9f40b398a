"""Servers of a daemon for callers, backend server, other daemons and operators."""

import asyncio
import math
from typing import NamedTuple

from google.protobuf.message import DecodeError

from . import (
    __version__,
    assembly,
    decisions,
    membertable,
    messages,
    router,
)
from .backends import app as backend_app
from .callers import answers
from .callers import app as caller_app
from .daemons import exchange, frames, gossip, peer_pb2
from .http1 import server as http_server
from .lifecycle import Direction, Phase
from .messages import Answer, Outcome, Reason, build_failure
from .operators import access, api
from .operators import server as admin_server

# Retry delay in seconds of a refusal while the daemon is leaving or not ready.
UNAVAILABLE_RETRY_AFTER = 1.0
# Seconds after which a daemon that is the only one of its mesh is ready without a
# member list.
MEMBER_LIST_TIMEOUT = 5.0
# Seconds that an operator's request for the status waits for the event loop.
STATUS_TIMEOUT = 5.0


class HttpServers(NamedTuple):
    """The servers for callers and for the local backend server."""

    public: http_server.Server
    private: http_server.Server


def build_exchange(parts, gatekeeper, gossip_state):
    """Return the `exchange.Exchange` that serves calls and gossip of daemons."""

    async def serve_call(request):
        parts.in_flight.start(Direction.INWARD, parts.loop.time(), request.deadline)
        try:
            return await gatekeeper.serve(request)
        finally:
            parts.in_flight.end(Direction.INWARD)

    async def answer_gossip(data):
        try:
            message = peer_pb2.GossipMessage.FromString(data)
        except DecodeError as error:
            raise ValueError(str(error)) from error
        answer = await gossip.answer_gossip(gossip_state, message)
        return answer.SerializeToString()

    hello = frames.Hello(
        parts.local_daemon, parts.members.local_member.endpoint.address
    )
    tokens = parts.settings.peer_token
    return exchange.Exchange(
        hello,
        serve_call,
        answer_abandoned,
        answer_gossip,
        lambda token: not tokens or access.check_peer_token(token, tokens),
    )


def answer_abandoned(request):
    """Return an answer of unknown outcome to an attempt that was abandoned.

    The attempt may have run; its answer is no longer stored.
    """
    return build_failure(request, Outcome.UNKNOWN, Reason.ABANDONED)


def build_http_servers(parts, gatekeeper):
    """Return the `HttpServers`, which aren't listening yet."""
    settings = parts.settings
    route = assembly.build_router(parts, gatekeeper)
    calls = caller_app.build_handler(
        build_root_route(parts, route),
        settings.max_requests,
        lambda: parts.in_flight.count(Direction.ENTRY),
        parts.metrics.count_event,
    )
    outgoing = caller_app.build_handler(
        build_outgoing_route(parts, route),
        settings.max_requests,
        lambda: parts.in_flight.count(Direction.OUTWARD),
        parts.metrics.count_event,
    )
    public = build_dispatcher(calls, build_probes(parts))
    private = backend_app.build_handler(
        outgoing, parts.control.announce, parts.control.withdraw
    )
    limits = http_server.Limits(settings.max_header, settings.max_body)
    refuse = build_malformed_handler(parts.metrics.count_event)
    return HttpServers(
        http_server.Server(public, limits, refuse),
        http_server.Server(private, limits, refuse),
    )


def build_malformed_handler(count_event):
    """Return the function that answers malformed HTTP requests."""

    def answer_malformed(status):
        count_event("unreadable")
        return answers.build_malformed_response(status)

    return answer_malformed


def build_dispatcher(calls, probes):
    """Return the handler of HTTP requests at the callers' address.

    Args:
        calls: Handler of requests whose path starts with ``/services/``.
        probes: Dict from a path such as ``/health`` to a function that returns the
            status and the text of the answer.
    """

    async def dispatch(http, sender):
        path = http.target.partition("?")[0]
        if path.startswith("/services/"):
            return await calls(http, sender)
        probe = probes.get(path)
        if probe is None:
            return answers.build_text_response(404, "path not found\n")
        return answers.build_text_response(*probe())

    return dispatch


def start_admin(parts, gatekeeper, operators):
    """Start the operators' server if it is configured.

    Returns:
        The function that stops the server.
    """
    address = parts.settings.admin_address
    if address is None:
        return lambda: None
    application = build_admin(parts, gatekeeper, operators)
    return admin_server.start_server(address, application, parts.settings)


def build_root_route(parts, route):
    """Return the coroutine function that routes a root request."""

    async def route_root(incoming):
        now = parts.loop.time()
        reason = find_refusal_reason(parts)
        if reason is not None:
            return refuse_entry(incoming, reason)
        parts.in_flight.start(Direction.ENTRY, now, now + (incoming.timeout or 0.0))
        try:
            return await route.route_root(incoming)
        finally:
            parts.in_flight.end(Direction.ENTRY)

    return route_root


def build_outgoing_route(parts, route):
    """Return the coroutine function that routes a call of the local backend server."""

    async def route_outgoing(incoming):
        now = parts.loop.time()
        parts.in_flight.start(Direction.OUTWARD, now, now + (incoming.timeout or 0.0))
        try:
            if not parts.store.ready:
                return refuse_entry(incoming, Reason.NOT_READY)
            parent = parts.running.find(incoming.identifier)
            if parent is not None:
                return await route.route_nested(incoming, parent)
            # The parent request is unknown, for example after a restart: the call is
            # served but may cause no retries.
            budget = 0 if incoming.identifier else None
            return await route.route_root(incoming, budget)
        finally:
            parts.in_flight.end(Direction.OUTWARD)

    return route_outgoing


def find_refusal_reason(parts):
    """Return the `Reason` to refuse root requests now, None to serve them.

    A daemon that has not read the configuration doesn't know which calls must not
    be repeated. If it served them, a payout that is retried through it would not be
    claimed and would be paid twice.
    """
    if not parts.control.admits(Direction.ENTRY):
        return Reason.LEAVING
    return None if parts.store.ready else Reason.NOT_READY


def refuse_entry(incoming, reason):
    """Log and return the refusal of a call that was not routed.

    Args:
        incoming: `router.IncomingCall`.
        reason: `Reason` of the refusal.

    Returns:
        The `router.CallResult`.
    """
    attempt = messages.new_identifier()
    answer = Answer(
        attempt,
        Outcome.NOT_RUN,
        reason,
        status=503,
        retry_after=UNAVAILABLE_RETRY_AFTER,
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
            UNAVAILABLE_RETRY_AFTER,
            "entry",
        )
    )
    return router.CallResult(answer, incoming.identifier or attempt, 0)


def build_readiness(parts):
    """Return a function that returns why the daemon isn't ready, "" if it is.

    A daemon that serves callers before it has received the member list answers
    "no-endpoint" for services that have endpoints; after the restart of a zone, all
    its callers would get this answer.
    """
    # The time of the first check after the configuration was read.
    configured_at = []

    def find_obstacle():
        if parts.control.phase is not Phase.SERVING:
            return "leaving"
        if not parts.store.ready:
            return "no configuration read yet"
        configured_at.append(parts.loop.time())
        del configured_at[1:]
        if parts.members.next_bucket >= membertable.BUCKETS:
            return ""
        # The only daemon of its mesh never receives a member list.
        if parts.loop.time() - configured_at[0] < MEMBER_LIST_TIMEOUT:
            return "no member list received yet"
        return ""

    return find_obstacle


def build_probes(parts):
    """Return a dict from path to handler of the health, readiness and metrics pages."""
    find_obstacle = build_readiness(parts)

    def check_health():
        return 200, "ok\n"

    def check_readiness():
        obstacle = find_obstacle()
        if obstacle:
            return 503, f"{obstacle}\n"
        return 200, "ready\n"

    def render_metrics():
        return 200, parts.metrics.render_metrics()

    return {
        "/health": check_health,
        "/ready": check_readiness,
        "/metrics": render_metrics,
    }


def build_admin(parts, gatekeeper, operators):
    """Return the WSGI application of the operators' API.

    It runs on threads; state of the event loop is read on the event loop's thread.
    """

    async def find_status():
        return describe_status(parts, gatekeeper)

    def find_status_from_thread():
        future = asyncio.run_coroutine_threadsafe(find_status(), parts.loop)
        return future.result(STATUS_TIMEOUT)

    def begin_drain():
        parts.loop.call_soon_threadsafe(parts.control.begin_leaving)

    return api.create_application(
        api.Dependencies(
            store=parts.store,
            operators=operators,
            get_status=find_status_from_thread,
            begin_drain=begin_drain,
            render_metrics=parts.metrics.render_metrics,
            max_key_window=parts.settings.key_window,
        )
    )


def describe_status(parts, gatekeeper):
    """Return the status of this daemon for operators, as a JSON object."""
    view = parts.store.snapshot()
    announcement = parts.control.announcement
    return {
        "daemon": parts.local_daemon,
        "version": __version__,
        "phase": parts.control.phase.value,
        "zone": parts.settings.zone,
        "region": parts.settings.region,
        "backend": announcement._asdict() if announcement else None,
        "load": gatekeeper.load()._asdict(),
        "in_flight": parts.in_flight.snapshot()._asdict(),
        "members": len(parts.members),
        "configuration": {
            "version": view.version,
            "changed": view.changed,
            "offset": parts.store.offset,
            "age": find_age(parts),
        },
    }


def find_age(parts):
    """Return the seconds since the configuration was last confirmed as the newest.

    Returns:
        -1 if it never was.
    """
    age = parts.relay.find_age(parts.loop.time())
    return age if age < math.inf else -1.0
