"""Admission control and forwarding for the local backend server.

Every attempt for the backend server passes through here, whichever daemon it comes
from. Admission, the queue, and the backend server's identity and draining are
therefore state of this one process: no agreement with other daemons is needed to
keep a request away from a backend server that is leaving, or from another one that
has been given the same address.
"""

import asyncio
import collections
import functools

from absl import logging

from .. import background, callgraph, decisions, events, gate, namedlimits, stopwindow
from ..http1 import client
from ..messages import Outcome, Reason, Refusal, build_failure
from . import connections, crashes, slots, tracing
from .interface import BackendLimit

# Seconds after the deadline that an answer is still accepted. The backend server
# enforces the deadline itself, and its answer states whether the request ran; a
# timeout here can't.
ANSWER_GRACE = 0.05
# Seconds after which a caller may retry an attempt that was refused because there
# was no backend server. A daemon that has just started learns of its backend server
# within one heartbeat.
NO_ENDPOINT_RETRY_AFTER = 0.3
# Seconds after which a caller may retry a request that waited too long to run alone.
SUSPECT_RETRY_AFTER = 0.5
# Seconds that a request waits at most for the rate that a backend server names: other
# endpoints may have free slots.
LIMITED_MAX_WAIT = 0.1
# Refusals for want of slots.
FULL_REASONS = frozenset({Reason.LEVEL, Reason.QUEUE, Reason.DEADLINE})
# Requests carry no caller here, and their paths identify kinds of request rather
# than keys, so there is nothing to divide into fair shares.
NO_FAIRNESS_DIMENSIONS = ()


class Guard:
    """Admission control and connection pool of one backend server.

    Args:
        address: `settings.Address` of the backend server.
        dialect: `interface.Dialect` of the backend server.
        budget: `repeats.RepeatBudget` that limits repeats.
        find_max_wait: Function from a request to the maximum time that it may wait
            for a slot, in seconds.
        call_graph: `callgraph.CallGraph` that records the running requests.
        count_endpoints: Function that returns the number of endpoints of the backend
            server's service that are running.
        crash_history: `crashes.CrashHistory` of all backend servers.
        handle_crash: Function called when the backend server has crashed, see
            `crashes.CrashDetector`.
        handle_leave: Function called with the identifier of the backend server when
            it says in an answer that it leaves.
        stop_window: `stopwindow.StopWindow` of the daemon.
    """

    def __init__(
        self,
        address,
        dialect,
        budget,
        find_max_wait,
        call_graph,
        count_endpoints,
        crash_history,
        handle_crash,
        handle_leave,
        stop_window,
    ):
        self._loop = asyncio.get_running_loop()
        self._dialect = dialect
        self._connections = connections.Connections(address, dialect)
        self._repeat_budget = budget
        self._find_max_wait = find_max_wait
        self._call_graph = call_graph
        self._count_endpoints = count_endpoints
        self._crash_history = crash_history
        self._handle_leave = handle_leave
        self._stop_window = stop_window
        # Seconds from the arrival of attempts to their answers, by route.
        self._durations = stopwindow.RecentDurations()
        # Held by the suspect request that runs, so that a crash proves its cause.
        self._suspect_turn = asyncio.Lock()
        self._crash_detector = crashes.CrashDetector(address, handle_crash)
        self._slots = slots.Slots(NO_FAIRNESS_DIMENSIONS)
        self._background = background.Background()
        self._named_limit = namedlimits.NamedLimit()
        self.backend = None
        # The backend server for which connections and slots were last opened, None if
        # there has been none since.
        self._prepared_for = None
        self.is_stopping = False
        # Identifiers of the attempts that are running.
        self._at_work = set()
        # Identifiers of the attempts that may be sent, until they are answered.
        self._admitted = set()
        self.refused = collections.Counter()

    def install(self, backend):
        """Set the backend server to forward to, or None.

        Waiting requests are refused as soon as the backend server leaves, so that
        they can be retried at another endpoint.
        """
        self.backend = backend
        if backend is None:
            self._slots.refuse_waiting()
            self._prepared_for = None
            return
        if backend.leaving:
            self._slots.refuse_waiting()
            return
        self._prepare(backend)

    def _prepare(self, backend):
        """Open connections and slots for a backend server that takes work.

        The one installed last may be the same process while it was taken for leaving,
        for which nothing was opened. So what counts is the last one that took work.
        """
        before, self._prepared_for = self._prepared_for, backend
        if before is None or not before.is_same_process(backend):
            # Pooled connections lead to the previous backend server.
            self._connections.close()
            self._named_limit = namedlimits.NamedLimit()
            self._slots.open(backend.slots)
        elif before.slots != backend.slots:
            self._slots.resize(backend.slots)

    def has_free_slot(self, service):
        """Return whether a request for a service would be admitted immediately."""
        return self._find_refusal_reason(service) is None and self._slots.has_free_slot

    def load(self, request=None):
        """Return the `messages.Load` of the backend server as the gate observes it."""
        return self._slots.load(request)

    @property
    def running(self):
        """Number of attempts that are running."""
        return len(self._at_work)

    def is_at_work(self, attempt):
        """Return whether the attempt with an identifier is running."""
        return attempt in self._at_work

    @property
    def connection_counts(self):
        """The `http1.client.PoolCounts` of the connections to the backend server."""
        return self._connections.counts

    @property
    def dropped_answers(self):
        """Answers that were dropped because they belong to another request."""
        return self._connections.dropped_answers

    def find_available_share(self):
        """Return the share of the slots that a named limit leaves in use, up to 1."""
        return self._slots.find_available_share()

    def list_repeats(self):
        """Return the `repeats.RepeatCount` of each class of requests."""
        return self._repeat_budget.list_counts()

    def measure_usage(self):
        """Return the `lanes.SlotUsage` since the backend server started."""
        return self._slots.measure_usage()

    def find_level(self, route):
        """Return the admission level that applies to requests of a route here."""
        if self.backend is None or self._find_refusal_reason(self.backend.service):
            return 0.0
        return self._slots.find_level(route)

    async def serve(self, request):
        """Admit and run one attempt, or refuse it, and return its answer.

        An unexpected error before the attempt is admitted is a refusal, so that it can
        be retried elsewhere. Otherwise a fault in a decision would take the endpoint
        away from work that it could not have begun.
        """
        try:
            return await self._serve(request)
        except Exception:
            if request.attempt in self._admitted:
                raise
            logging.exception("deciding on attempt %s failed", request.attempt)
            return _build_not_run(request, Reason.NOT_SENT, NO_ENDPOINT_RETRY_AFTER)
        finally:
            self._admitted.discard(request.attempt)

    async def _serve(self, request):
        """Serve an attempt unless it would come too late."""
        reason = self._find_refusal_reason(request.service)
        if reason is None:
            reason = self._find_time_refusal_reason(request)
        if reason is not None:
            return self._refuse(request, reason, NO_ENDPOINT_RETRY_AFTER)
        work, has_run = self._durations.begin(request.call, self._loop.time()), False
        try:
            answer = await self._serve_in_time(request)
            has_run = answer.outcome is not Outcome.NOT_RUN
            return answer
        finally:
            self._durations.end(work, self._loop.time(), has_run)

    async def _serve_in_time(self, request):
        """Serve an attempt that can end before its deadline and the daemon's stop."""
        seconds = self._crash_history.find_refusal(request, self._loop.time())
        if seconds:
            return self._refuse(request, Reason.CAUSES_CRASHES, seconds)
        if not self._count_attempt(request):
            return self._refuse(request, Reason.REPEATS, 0.0)
        if self._crash_history.is_suspect(request):
            return await self._serve_suspect(request)
        return await self._serve_counted(request)

    async def _serve_suspect(self, request):
        """Serve a request in whose presence backend servers crashed, one at a time."""
        hold = self._crash_history.find_hold(request, self._loop.time())
        if hold and self._count_endpoints() < 2:
            return self._refuse_counted(request, Reason.SUSPECT, hold)
        try:
            async with asyncio.timeout(self._find_max_wait(request)):
                await self._suspect_turn.acquire()
        except TimeoutError:
            return self._refuse_counted(request, Reason.SUSPECT, SUSPECT_RETRY_AFTER)
        try:
            seconds = self._crash_history.find_refusal(request, self._loop.time())
            if seconds:
                return self._refuse_counted(request, Reason.CAUSES_CRASHES, seconds)
            if self._crash_history.is_suspect(request):
                return await self._serve_counted(request)
        finally:
            self._suspect_turn.release()
        # The same work was answered while this request waited.
        return await self._serve_counted(request)

    async def _serve_counted(self, request):
        """Admit and run an attempt that the repeat budget has counted."""
        is_limited = self._named_limit.is_named
        max_wait = self._find_max_wait(request)
        if is_limited:
            max_wait = min(max_wait, LIMITED_MAX_WAIT)
        decision = await self._slots.decide(request, max_wait)
        if decision.verdict is gate.Verdict.ADMIT:
            self._admitted.add(request.attempt)
            return await self._run_admitted(request)
        is_full = decision.reason in FULL_REASONS
        reason = Reason.LIMIT if is_limited and is_full else decision.reason
        return self._refuse_counted(request, reason, decision.retry_after)

    def _refuse_counted(self, request, reason, retry_after):
        """Refuse an attempt that the repeat budget has counted."""
        if request.again:
            self._repeat_budget.refund(self._loop.time())
        return self._refuse(request, reason, retry_after)

    def _count_attempt(self, request):
        """Count an attempt against the repeat budget; return whether it may proceed."""
        now = self._loop.time()
        if request.again:
            return self._repeat_budget.try_spend(request, now)
        if request.parent_is_repeat:
            self._repeat_budget.record_nested_repeat(now)
        else:
            self._repeat_budget.record_first_attempt(now)
        return True

    def stop(self):
        """Accept no new work and refuse waiting requests, to be retried elsewhere."""
        self.is_stopping = True
        self._slots.refuse_waiting()

    def close(self):
        """Close the idle connections."""
        self._connections.close()

    def _find_refusal_reason(self, service):
        """Return the `Reason` to refuse every request of a service, or None."""
        backend = self.backend
        if self.is_stopping:
            return Reason.LEAVING
        if backend is None or backend.service != service:
            return Reason.NO_ENDPOINT
        return Reason.LEAVING if backend.leaving else None

    def _find_time_refusal_reason(self, request):
        """Return the `Reason` to refuse a request that can't end in time, or None.

        An attempt that a stop would cut off is refused, to be sent to another endpoint.
        """
        now = self._loop.time()
        if request.deadline <= now:
            return Reason.DEADLINE
        if self._stop_window.try_accept_request(request, self._durations, now):
            return None
        return Reason.LEAVING

    async def _run_admitted(self, request):
        """Run an admitted attempt, to its end if it can't be repeated.

        If a payout were cancelled midway, it might have been made while its caller
        gets the outcome "unknown". Reading the answer also keeps the connection
        reusable.
        """
        if request.repeatable:
            return await self._run(request)
        return await self._background.run_to_end(self._run(request))

    async def _run(self, request):
        started = self._loop.time()
        self._at_work.add(request.attempt)
        # The timeout is sent in whole milliseconds, so the deadline of the backend
        # server's own calls is rounded down in the same way.
        sent_timeout = int((request.deadline - started) * 1000.0) / 1000.0
        self._call_graph.start(
            request.attempt,
            callgraph.RunningRequest(
                request.call,
                request.root,
                request.importance,
                started + sent_timeout,
                request.due,
                request.again or request.parent_is_repeat,
                request.calls_left,
            ),
            started,
        )
        answer = None
        try:
            answer = await self._forward(request)
        finally:
            self._at_work.discard(request.attempt)
            if request.again and answer is not None and _is_unsent(answer):
                self._repeat_budget.refund(self._loop.time())
            answered = answer is not None and answer.outcome is not Outcome.UNKNOWN
            succeeded = answer is not None and answer.succeeded
            self._call_graph.end(request.attempt, answered, succeeded)
            self._slots.leave(request, answer, started)
        return answer._replace(load=self.load(request))

    async def _forward(self, request):
        """Forward the attempt and return its answer, also after a network error."""
        backend = self.backend
        remaining = request.deadline - self._loop.time()
        reason = self._find_refusal_reason(request.service)
        if reason is not None or remaining <= 0.0:
            return _build_not_run(request, reason or Reason.DEADLINE)
        identifier = self._dialect.find_identifier(request.headers)
        trace = tracing.AttemptTrace(request, identifier, backend.identity)
        answer = await self._send(request, remaining, backend, trace)
        trace.log_answer(answer)
        return answer

    async def _send(self, request, remaining, backend, trace):
        """Send the attempt to a backend server and return its answer.

        Args:
            request: The attempt, a `messages.Request`.
            remaining: Seconds until its deadline.
            backend: The `interface.Backend`.
            trace: Its `tracing.AttemptTrace`.
        """
        data = self._dialect.format_request(request, remaining, backend.identity)
        try:
            response = await self._connections.send(
                trace,
                data,
                request.deadline + ANSWER_GRACE,
                functools.partial(self._crash_detector.start, request),
            )
        except client.NotSentError as error:
            logging.info("failed to reach the backend server: %s", error)
            # The request is sent on to the next endpoint. The daemon that does so must
            # know of a crash by then.
            await self._crash_detector.wait_for_check()
            return _build_not_run(request, Reason.NOT_SENT)
        except client.BrokenError as error:
            logging.info(
                "connection broken during attempt %s: %s", request.attempt, error
            )
            if await self._has_crashed(backend):
                return _build_unknown(request, Reason.CRASHED, 502)
            return _build_unknown(request, Reason.BROKEN, 502)
        except TimeoutError:
            return _build_unknown(request, Reason.DEADLINE, 504)
        finally:
            self._crash_detector.end(request)
        answer = self._parse_answer(request, response, backend)
        if answer.outcome is Outcome.NOT_RUN:
            self._connections.record_refusal(trace)
        if answer.reason is not Reason.WRONG_BACKEND:
            self._apply_notice(backend, self._dialect.read_notice(response))
        if answer.outcome is Outcome.COMPLETED:
            self._crash_detector.record_answer()
            self._crash_history.record_answer(request)
        return answer

    async def _has_crashed(self, backend):
        """Return whether a backend server that didn't leave has crashed."""
        if self._crash_detector.has_crashed(backend):
            return True
        current = self.backend
        if current is None or current.leaving or not current.is_same_process(backend):
            return False
        return await self._crash_detector.check(backend)

    def _apply_notice(self, backend, notice):
        """Apply what a backend server tells of itself, if it is the present one."""
        if self.backend is None or not self.backend.is_same_process(backend):
            return
        if notice.leaving and not self.backend.leaving:
            self._handle_leave(backend.identity)
        was_named = self._named_limit.is_named
        if self._named_limit.observe(notice.rate, self._loop.time()):
            self._slots.limit_rate(self._named_limit.rate)
        is_named = self._named_limit.is_named
        if is_named != was_named:
            state = "named" if is_named else "ended"
            event = BackendLimit(backend.identity, state, notice.rate)
            events.write("backend-limit", event)

    def _parse_answer(self, request, response, backend):
        answer = self._dialect.parse_answer(request, response)
        if answer.reason is Reason.WRONG_BACKEND and self.backend is backend:
            # Another backend server has this address. Nothing is forwarded to it
            # until it has announced itself here.
            logging.warning(
                "backend server %s no longer serves its address", backend.identity
            )
            self.install(None)
        return answer

    def _refuse(self, request, reason, retry_after):
        self.refused[Refusal(request.call, reason)] += 1
        decisions.log_refusal(request, reason, retry_after, "gatekeeper")
        answer = _build_not_run(request, reason, retry_after)
        return answer._replace(load=self.load(request))


def _is_unsent(answer):
    return answer.outcome is Outcome.NOT_RUN and not answer.reached_backend


def _build_not_run(request, reason, retry_after=0.0):
    return build_failure(request, Outcome.NOT_RUN, reason, retry_after=retry_after)


def _build_unknown(request, reason, status):
    answer = build_failure(request, Outcome.UNKNOWN, reason, status)
    return answer._replace(reached_backend=True)
