"""Routing of one call: admission level, choice of endpoint, attempts and retries."""

import asyncio
import time
from typing import NamedTuple

from . import claims, decisions, messages, placement, recording, retries, sending
from .messages import Answer, Outcome, Reason, Request

# Call chains are up to 16 services deep. A request that has passed twice as many
# is in a loop, which would otherwise end only at its deadline.
MAX_CALL_DEPTH = 32


class IncomingCall(NamedTuple):
    """A validated call made by a caller or by the local backend server.

    Attributes:
        identifier: The request id sent by the caller, "" for none.
        service: Name of the service called.
        method: HTTP method.
        path: Path and query at the backend server.
        importance: Highest importance that the caller requests, None for no limit.
        timeout: Seconds that the caller waits, None for the service's timeout.
        key: Idempotency key, "" for none.
        caller: Name of the caller.
        headers: Pairs of header name and value for the backend server.
        body: The whole body.
    """

    identifier: str
    service: str
    method: str
    path: str
    importance: messages.Importance | None = None
    timeout: float | None = None
    key: str = ""
    caller: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class CallResult(NamedTuple):
    """The result of a call.

    Attributes:
        answer: The answer to the last attempt.
        root: Identifier of the root request.
        retries: Retries that the call has caused at all hops; an upper bound if
            an answer was lost.
        call: Name of the call in the service's resource.
        importance: Importance with which the call was routed.
    """

    answer: Answer
    root: str
    retries: int
    call: str = ""
    importance: messages.Importance = messages.Importance.NORMAL


class AttemptTargets(NamedTuple):
    """Destinations of attempts: the local backend server and other daemons.

    Attributes:
        local_daemon: Identifier of this daemon.
        find_endpoints: Function from the name of a service to its endpoints.
        has_free_slot: Function that returns whether the local backend server has a
            free slot.
        serve: Coroutine function that serves an attempt at the local backend
            server.
        call: Coroutine function that sends an attempt to another daemon's
            endpoint.
    """

    local_daemon: str
    find_endpoints: object
    has_free_slot: object
    serve: object
    call: object


class Router:
    """Routes calls of callers and of the local backend server.

    Args:
        clock: Function that returns the event loop time in seconds.
        targets: `AttemptTargets`.
        find_service: Function from a service name to its `resources.ServiceSpec`.
        match_call: Function from a service spec, HTTP method and path to the
            `resources.CallSpec`.
        placement_state: `placement.Placement`.
        levels: `levels.LearnedLevels`.
        ledger: `retries.Ledger`.
        running: `running.RunningAttempts`.
        random: Function that returns a float from 0 to 1, for the backoff jitter.
        key_window: Maximum age of an idempotency key in seconds.
        record_call: Function that records an `IncomingCall`, its `CallResult` and
            the seconds that it took.
        trace_hooks: `recording.TraceHooks` that records a trace.
    """

    def __init__(
        self,
        clock,
        targets,
        find_service,
        match_call,
        placement_state,
        levels,
        ledger,
        running,
        random,
        key_window,
        record_call,
        trace_hooks=recording.NO_TRACE_HOOKS,
    ):
        self._clock = clock
        self._targets = targets
        self._find_service = find_service
        self._match_call = match_call
        self._placement = placement_state
        self._levels = levels
        self._ledger = ledger
        self._running = running
        self._random = random
        self._key_window = key_window
        self._record_call = record_call
        self._trace_hooks = trace_hooks

    async def route_root(self, incoming, budget=None):
        """Route a call as a new root request.

        Args:
            incoming: The `IncomingCall`.
            budget: Retries that it may cause, None for the service's retry budget.

        Returns:
            A `CallResult`.
        """
        spec = self._find_service(incoming.service)
        call = self._match_call(spec, incoming.method, incoming.path)
        now = self._clock()
        request = Request(
            attempt=messages.new_identifier(),
            root=incoming.identifier or messages.new_identifier(),
            service=incoming.service,
            call=call.name,
            method=incoming.method,
            path=incoming.path,
            importance=_lower_importance(call.importance, incoming.importance),
            deadline=now + _limit_timeout(incoming.timeout, spec.timeout),
            key=claims.normalize_key(incoming.key),
            repeatable=call.repeatable,
            budget=spec.retry_budget if budget is None else budget,
            caller=incoming.caller,
            headers=incoming.headers,
            body=incoming.body,
        )
        self._ledger.open(request.attempt, request.budget, request.deadline)
        self._trace_hooks.root_request(request)
        routed = await self._route_and_record(request, incoming, call, request.attempt)
        source = routed.answer.attempt
        self._trace_hooks.delivered(
            request.root, routed.answer, "" if source == request.attempt else source
        )
        return routed

    async def route_nested(self, incoming, parent):
        """Route a call that the local backend server makes for a request.

        Args:
            incoming: The `IncomingCall`.
            parent: The `messages.Request` that the backend server is processing.

        Returns:
            A `CallResult`.
        """
        spec = self._find_service(incoming.service)
        call = self._match_call(spec, incoming.method, incoming.path)
        now = self._clock()
        request = Request(
            attempt=messages.new_identifier(),
            root=parent.root,
            service=incoming.service,
            call=call.name,
            method=incoming.method,
            path=incoming.path,
            importance=max(parent.importance, call.importance),
            deadline=min(
                parent.deadline, now + _limit_timeout(incoming.timeout, spec.timeout)
            ),
            key=claims.normalize_key(incoming.key),
            repeatable=call.repeatable,
            caller=parent.caller,
            via=(*parent.via, parent.service),
            headers=incoming.headers,
            body=incoming.body,
        )
        routed = await self._route_and_record(request, incoming, call, parent.attempt)
        self._running.record_answer(parent.attempt, routed.answer)
        return routed

    async def _route_and_record(self, request, incoming, call, budget_holder):
        started = self._clock()
        try:
            answer = await self._check_and_route(request, incoming, call, budget_holder)
        finally:
            unused = self._close_root(request, budget_holder)
        caused = max(0, request.budget - unused)
        routed = CallResult(answer, request.root, caused, call.name, request.importance)
        self._record_call(incoming, routed, self._clock() - started)
        return routed

    def _close_root(self, request, budget_holder):
        """Close the budget of a root request and return the unused retries.

        A nested call has no separate budget and returns 0.
        """
        if budget_holder != request.attempt:
            return 0
        return self._ledger.close(budget_holder)

    async def _check_and_route(self, request, incoming, call, budget_holder):
        if len(request.via) >= MAX_CALL_DEPTH:
            return _refuse(request, Reason.TOO_DEEP)
        # A request with a key is non-idempotent, whatever its call declares.
        if call.idempotent and not incoming.key:
            return await self._try_endpoints(request, budget_holder)
        window = min(call.key_window, self._key_window)
        reason = check_key(incoming.key, time.time(), window)
        if reason is Reason.NONE:
            return await self._try_endpoints(request, budget_holder)
        if reason is Reason.KEY_MISSING:
            return _refuse(request, reason)
        # The key was valid earlier, and the work may have run then. After "not
        # run" the caller would create a new key, and the work would run twice.
        return _refuse(request, reason)._replace(outcome=Outcome.UNKNOWN)

    async def _try_endpoints(self, request, budget_holder):
        """Send attempts to endpoints until one gives a final answer."""
        tries, tried, may_have_run = 0, frozenset(), False
        while True:
            refused = self._refuse_by_level(request)
            if refused is not None:
                return retries.finalize_answer(refused, may_have_run)
            choice = self._choose_endpoint(request, tried)
            if choice.endpoint is None:
                no_endpoint = self._log_refusal(request, Reason.NO_ENDPOINT, 1.0)
                return retries.finalize_answer(no_endpoint, may_have_run)
            attempt = self._build_attempt(request, budget_holder)
            answer = await self._send(attempt, choice, tries)
            may_have_run |= answer.outcome is messages.Outcome.UNKNOWN
            tries += 1
            tried |= {choice.endpoint.daemon}
            decision = self._decide_retry(attempt, answer, budget_holder, tries, choice)
            if not decision.again:
                return retries.finalize_answer(answer, may_have_run)
            if decision.delay:
                await asyncio.sleep(decision.delay)

    def _refuse_by_level(self, request):
        now = self._clock()
        decision = self._levels.refuse(request, now)
        if decision is None:
            return None
        below = self._levels.level(request.service, request.call, now, request)
        refused = self._log_refusal(request, decision.reason, decision.retry_after)
        return refused._replace(load=messages.Load(below=below))

    def _choose_endpoint(self, request, tried):
        """Choose an endpoint; the local one while it has a free slot, to save a hop.

        Args:
            request: The `messages.Request`.
            tried: Identifiers of the daemons that were already tried.
        """
        endpoints = self._targets.find_endpoints(request.service)
        for endpoint in endpoints:
            is_local = endpoint.daemon == self._targets.local_daemon
            if (
                is_local
                and endpoint.daemon not in tried
                and self._targets.has_free_slot()
            ):
                return placement.Choice(endpoint, "local endpoint has a free slot")
        return self._placement.choose(request, endpoints, self._clock(), tried)

    def _build_attempt(self, request, budget_holder):
        """Return the request as a new attempt with its granted retries."""
        attempt = messages.new_identifier()
        granted = self._ledger.grant(budget_holder, attempt)
        return request._replace(attempt=attempt, budget=granted)

    async def _send(self, attempt, choice, tries):
        endpoint = choice.endpoint
        decisions.log_decision(
            decisions.Placed(
                attempt.root,
                attempt.attempt,
                attempt.service,
                attempt.call,
                attempt.importance.name,
                endpoint.address,
                endpoint.zone,
                choice.ground,
                tries,
            )
        )
        self._trace_hooks.attempt(attempt, tries > 0)
        answer = await sending.send_and_observe(
            self._placement, endpoint, attempt, self._clock, self._serve_or_call
        )
        self._levels.learn(
            attempt.service, attempt.call, answer.load, self._clock(), attempt
        )
        return answer

    async def _serve_or_call(self, endpoint, attempt):
        if endpoint.daemon == self._targets.local_daemon:
            return await self._targets.serve(attempt)
        return await self._targets.call(endpoint, attempt)

    def _decide_retry(self, attempt, answer, budget_holder, tries, choice):
        """Decide on a retry after crediting the retries that an attempt did not use.

        Returns:
            A `retries.RetryDecision`.
        """
        self._ledger.return_unused(attempt.attempt, answer.unused_retries)
        remaining = self._ledger.get_remaining(budget_holder)
        decision = retries.decide_retry(
            attempt, answer, remaining, tries - 1, self._clock(), self._random
        )
        again = decision.again and self._ledger.try_spend(budget_holder)
        self._log_answer(attempt, answer, choice, again, decision.ground)
        return decision._replace(again=again)

    def _log_answer(self, attempt, answer, choice, again, ground):
        """Log the decision after an answer, unless it completed the request."""
        if answer.outcome is Outcome.COMPLETED and not answer.from_downstream:
            return
        time_left = attempt.deadline - self._clock()
        decisions.log_answer(attempt, answer, choice.endpoint, time_left, again, ground)

    def _log_refusal(self, request, reason, retry_after):
        decisions.log_refusal(request, reason, retry_after, "entry")
        return _refuse(request, reason, retry_after)


def check_key(key, wall_time, window):
    """Return why the key of a non-idempotent request is refused, or NONE.

    Args:
        key: The key as the caller sent it.
        wall_time: Wall-clock time of this instance in seconds.
        window: Seconds for which a key is valid.

    Returns:
        KEY_MISSING for a key that is missing, malformed or dated in the future,
        KEY_AGE for one that is too old.
    """
    normal = claims.normalize_key(key)
    if not normal:
        return Reason.KEY_MISSING
    made = claims.get_key_time(normal)
    if made > wall_time + claims.MAX_CLOCK_SKEW:
        return Reason.KEY_MISSING
    if made < wall_time - window:
        return Reason.KEY_AGE
    return Reason.NONE


def _refuse(request, reason, retry_after=0.0):
    return messages.build_failure(
        request, Outcome.NOT_RUN, reason, retry_after=retry_after
    )


def _lower_importance(declared, requested):
    """Return the declared importance, or a lower one that the caller requests."""
    if requested is None:
        return declared
    return min(declared, requested)


def _limit_timeout(requested, maximum):
    if requested is None:
        return maximum
    return min(requested, maximum)
