"""Routing of one call: level, endpoint, attempt, and whether to try again."""

import asyncio
import time
from typing import NamedTuple

from . import claims, decisions, messages, placement, recording, retries, sending
from .messages import Answer, Outcome, Reason, Request

# Chains are up to 16 deep. A request that has passed twice as many services
# goes round in a loop, which would otherwise end only at its deadline.
DEEPEST_PATH = 32


class Incoming(NamedTuple):
    """A checked call as a caller or the own backend server makes it.

    Attributes:
        identifier: The request id given by the caller, "" for none.
        service: Name of the service wanted.
        method: HTTP method.
        path: Path and query at the backend server.
        importance: Highest importance that the caller asks for, None for none.
        timeout: Seconds that the caller waits, None for the service's own.
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


class Routed(NamedTuple):
    """The end of a call.

    Attributes:
        answer: The answer of the last attempt.
        root: Identifier of the root request.
        retries: Retries that the call has caused, over all hops; an upper
            bound where an answer was lost.
        call: Name of the call in the service's resource.
        importance: Importance with which it was admitted.
    """

    answer: Answer
    root: str
    retries: int
    call: str = ""
    importance: messages.Importance = messages.Importance.NORMAL


class Places(NamedTuple):
    """Where attempts can be sent.

    Attributes:
        own: Identifier of the own daemon.
        find_endpoints: Takes a service, returns its endpoints.
        has_room: Returns whether the own backend server has a free slot.
        serve: Coroutine function that serves an attempt at the own backend
            server.
        call: Coroutine function that sends an attempt to another daemon's
            endpoint.
    """

    own: str
    find_endpoints: object
    has_room: object
    serve: object
    call: object


class Router:
    """Routes calls of callers and of the own backend server.

    Args:
        clock: Returns the loop's time in seconds.
        places: `Places`.
        find_service: Takes a name, returns its `resources.ServiceSpec`.
        match_call: Takes a spec, method and path, returns its `CallSpec`.
        placement_state: `placement.Placement`.
        levels: `levels.Levels`.
        ledger: `retries.Ledger`.
        running: `running.Running`.
        random: Function that returns a float from 0 to 1, for back-off.
        key_window: Seconds for which an idempotency key is good at most.
        note: Takes an `Incoming`, its `Routed` and the seconds it took.
        notes: `recording.Notes` for a trace.
    """

    def __init__(
        self,
        clock,
        places,
        find_service,
        match_call,
        placement_state,
        levels,
        ledger,
        running,
        random,
        key_window,
        note,
        notes=recording.NOTHING,
    ):
        self._clock = clock
        self._places = places
        self._find_service = find_service
        self._match_call = match_call
        self._placement = placement_state
        self._levels = levels
        self._ledger = ledger
        self._running = running
        self._random = random
        self._key_window = key_window
        self._note = note
        self._notes = notes

    async def route_root(self, incoming, budget=None):
        """Route a call from outside.

        Args:
            incoming: The `Incoming`.
            budget: Retries that it may cause, None for what the service says.

        Returns:
            A `Routed`.
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
        self._notes.root_request(request)
        routed = await self._route_counted(request, incoming, call, request.attempt)
        source = routed.answer.attempt
        self._notes.delivered(
            request.root, routed.answer, "" if source == request.attempt else source
        )
        return routed

    async def route_nested(self, incoming, holder):
        """Route a call that the request `holder` makes from inside."""
        spec = self._find_service(incoming.service)
        call = self._match_call(spec, incoming.method, incoming.path)
        now = self._clock()
        request = Request(
            attempt=messages.new_identifier(),
            root=holder.root,
            service=incoming.service,
            call=call.name,
            method=incoming.method,
            path=incoming.path,
            importance=max(holder.importance, call.importance),
            deadline=min(
                holder.deadline, now + _limit_timeout(incoming.timeout, spec.timeout)
            ),
            key=claims.normalize_key(incoming.key),
            repeatable=call.repeatable,
            caller=holder.caller,
            via=(*holder.via, holder.service),
            headers=incoming.headers,
            body=incoming.body,
        )
        routed = await self._route_counted(request, incoming, call, holder.attempt)
        self._running.note_answer(holder.attempt, routed.answer)
        return routed

    async def _route_counted(self, request, incoming, call, holder):
        started = self._clock()
        try:
            answer = await self._check_and_route(request, incoming, call, holder)
        finally:
            unused = self._close_root(request, holder)
        caused = max(0, request.budget - unused)
        routed = Routed(answer, request.root, caused, call.name, request.importance)
        self._note(incoming, routed, self._clock() - started)
        return routed

    def _close_root(self, request, holder):
        """Return what a root request has left; a nested call holds nothing."""
        if holder != request.attempt:
            return 0
        return self._ledger.close(holder)

    async def _check_and_route(self, request, incoming, call, holder):
        if len(request.via) >= DEEPEST_PATH:
            return _refuse(request, Reason.TOO_DEEP)
        # A key marks a request as non-idempotent, whatever is declared.
        if call.idempotent and not incoming.key:
            return await self._try_endpoints(request, holder)
        window = min(call.key_window, self._key_window)
        reason = check_key(incoming.key, time.time(), window)
        if reason is Reason.NONE:
            return await self._try_endpoints(request, holder)
        if reason is Reason.KEY_MISSING:
            return _refuse(request, reason)
        # The key was good once, and the work may have run then. Told "not
        # run", the caller would make a new key and have it run again.
        return _refuse(request, reason)._replace(outcome=Outcome.UNKNOWN)

    async def _try_endpoints(self, request, holder):
        """Try until an answer stands; each try is an attempt of its own."""
        tries, tried, may_have_run = 0, frozenset(), False
        while True:
            refused = self._refuse_by_level(request)
            if refused is not None:
                return retries.settle_answer(refused, may_have_run)
            choice = self._choose(request, tried)
            if choice.endpoint is None:
                absent = self._log_refusal(request, Reason.NO_ENDPOINT, 1.0)
                return retries.settle_answer(absent, may_have_run)
            attempt = self._build_attempt(request, holder)
            answer = await self._send(attempt, choice, tries)
            may_have_run |= answer.outcome is messages.Outcome.UNKNOWN
            tries += 1
            tried |= {choice.endpoint.daemon}
            decision = self._decide_retry(attempt, answer, holder, tries, choice)
            if not decision.again:
                return retries.settle_answer(answer, may_have_run)
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

    def _choose(self, request, tried):
        """Choose an endpoint; the own one while it has room, to save a hop."""
        endpoints = self._places.find_endpoints(request.service)
        for endpoint in endpoints:
            is_own = endpoint.daemon == self._places.own
            if is_own and endpoint.daemon not in tried and self._places.has_room():
                return placement.Choice(endpoint, "own endpoint has room")
        return self._placement.choose(request, endpoints, self._clock(), tried)

    def _build_attempt(self, request, holder):
        """Return the request as an attempt with its part of the budget."""
        attempt = messages.new_identifier()
        granted = self._ledger.grant(holder, attempt)
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
        self._notes.attempt(attempt, tries > 0)
        answer = await sending.send_watched(
            self._placement, endpoint, attempt, self._clock, self._serve_or_call
        )
        self._levels.learn(
            attempt.service, attempt.call, answer.load, self._clock(), attempt
        )
        return answer

    async def _serve_or_call(self, endpoint, attempt):
        if endpoint.daemon == self._places.own:
            return await self._places.serve(attempt)
        return await self._places.call(endpoint, attempt)

    def _decide_retry(self, attempt, answer, holder, tries, choice):
        """Settle the budget of an attempt; return a `retries.RetryDecision`."""
        self._ledger.give_back(attempt.attempt, answer.unused)
        remaining = self._ledger.get_remaining(holder)
        decision = retries.decide_retry(
            attempt, answer, remaining, tries - 1, self._clock(), self._random
        )
        again = decision.again and self._ledger.take(holder)
        self._log_answer(attempt, answer, choice, again, decision.ground)
        return decision._replace(again=again)

    def _log_answer(self, attempt, answer, choice, again, ground):
        """Log what was decided after an answer; a whole one asks no decision."""
        if answer.outcome is Outcome.COMPLETED and not answer.deeper:
            return
        left = attempt.deadline - self._clock()
        decisions.log_answer(attempt, answer, choice.endpoint, left, again, ground)

    def _log_refusal(self, request, reason, retry_after):
        decisions.log_refusal(request, reason, retry_after, "entry")
        return _refuse(request, reason, retry_after)


def check_key(key, wall, window):
    """Return why the key of non-idempotent work can't be taken, or NONE.

    Args:
        key: The key as the caller sent it.
        wall: This instance's wall-clock time in seconds.
        window: Seconds for which a key is good.

    Returns:
        KEY_MISSING for what never was a good key, KEY_AGE for one too old.
    """
    normal = claims.normalize_key(key)
    if not normal:
        return Reason.KEY_MISSING
    made = claims.get_key_time(normal)
    if made > wall + claims.AHEAD:
        return Reason.KEY_MISSING
    if made < wall - window:
        return Reason.KEY_AGE
    return Reason.NONE


def _refuse(request, reason, retry_after=0.0):
    return messages.build_failure(
        request, Outcome.NOT_RUN, reason, retry_after=retry_after
    )


def _lower_importance(declared, asked):
    """A caller may lower what the resource declares, never raise it."""
    if asked is None:
        return declared
    return min(declared, asked)


def _limit_timeout(asked, longest):
    if asked is None:
        return longest
    return min(asked, longest)
