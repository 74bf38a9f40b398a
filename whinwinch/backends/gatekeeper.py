"""Admission, claims and execution of attempts at the local backend server."""

import asyncio

from .. import attempts, background, claims, decisions, gate, messages, recording
from ..messages import Answer, Outcome, Reason
from . import slots
from .client import BackendClient

# Share of the slots that requests may occupy while they wait for their claims.
# With a slow log they would otherwise occupy all slots, and reads would starve
# although the backend server is idle.
MAX_CLAIMING_SHARE = 0.25
# Seconds after which a caller may retry when the gate gives no estimate.
DEFAULT_RETRY_AFTER = 1.0


class Gatekeeper:
    """Admission control and execution for one backend server.

    Args:
        clock: Function that returns the loop's time in seconds.
        claim: Coroutine function from a `Request` to a `claims.ClaimVerdict`. It
            waits for the log's verdict, at most until the request's deadline.
        record_end: Function of a `Request` and its `Answer` that records in the log
            how claimed work ended.
        ledger: `retries.Ledger` of the running attempts' retry budgets.
        levels: `levels.LearnedLevels` of the daemon.
        running: `running.RunningAttempts` of the daemon.
        accepts_work: Function that returns whether new work is accepted.
        max_body: Maximum size of an answer's body, in bytes.
        find_service: Function from a service name to its `resources.ServiceSpec`.
        trace_hooks: `recording.TraceHooks` that write trace records.

    Attributes:
        service: Name of the backend server's service, "" if there is none.
    """

    def __init__(
        self,
        clock,
        claim,
        record_end,
        ledger,
        levels,
        running,
        accepts_work,
        max_body,
        find_service,
        trace_hooks=recording.NO_TRACE_HOOKS,
    ):
        self._clock = clock
        self._claim = claim
        self._record_end = record_end
        self._ledger = ledger
        self._levels = levels
        self._running = running
        self._accepts_work = accepts_work
        self._max_body = max_body
        self._find_service = find_service
        self._trace_hooks = trace_hooks
        self._slots = slots.Slots()
        self._client = None
        self._attempts = attempts.AttemptHistory()
        self._claims_pending = 0
        self._background = background.Background()
        self.service = ""

    def install(self, announcement):
        """Set the backend server to an announced one, or to none.

        Args:
            announcement: `registry.Announcement` of the backend server, or None.
        """
        if self._client is not None:
            # Pooled connections may lead to a backend server that has gone.
            self._client.close()
        if announcement is None:
            self._client = None
            self.service = ""
            return
        self.service = announcement.service
        self._client = BackendClient(announcement.address, self._max_body)
        if self._slots.is_open:
            self._slots.resize(announcement.slots)
        else:
            self._slots.open(announcement.slots)

    def has_free_slot(self):
        """Return whether a request would be admitted immediately."""
        accepts_work = self._client is not None and self._accepts_work()
        return accepts_work and self._slots.has_free_slot

    def load(self, request=None):
        """Return the `messages.Load` of the backend server as the gate observes it.

        Args:
            request: Request whose flow's admission level to include, or None.
        """
        return self._slots.load(request)

    async def serve(self, request):
        """Admit and run one attempt, or refuse it, and return its answer."""
        refused = self._refuse_for_nested_calls(request)
        if refused is not None:
            return refused
        decision = await self._decide(request)
        admitted = decision.verdict is gate.Verdict.ADMIT
        self._trace_hooks.admission(request, admitted)
        if admitted:
            return await self._run_admitted(request)
        answer = self._refuse(request, decision)
        self._trace_hooks.answered(answer)
        return answer

    async def _decide(self, request):
        """Return the `gate.Decision` on an attempt, waiting for it if required."""
        reason = self._find_refusal_reason(request, self._clock())
        if reason is not None:
            return _build_refusal(request, reason)
        max_wait = self._find_service(request.service).max_wait
        decision = await self._slots.decide(request, max_wait)
        if decision.verdict is gate.Verdict.REFUSE and not decision.retry_after:
            return decision._replace(retry_after=DEFAULT_RETRY_AFTER)
        return decision

    def _refuse_for_nested_calls(self, request):
        """Refuse an attempt whose nested calls would be refused, or return None.

        If admitted, it would occupy a slot here for an answer that can't be
        complete.
        """
        decision = self._levels.refuse_below(request, self._clock())
        if decision is None:
            return None
        self._trace_hooks.admission(request, False)
        answer = self._refuse(request, decision)._replace(from_downstream=True)
        self._trace_hooks.answered(answer)
        return answer

    def _find_refusal_reason(self, request, now):
        """Return the `Reason` to refuse a request before the gate decides, or None."""
        if not self._accepts_work():
            return Reason.LEAVING
        if self._client is None or request.service != self.service:
            return Reason.NO_ENDPOINT
        if request.deadline <= now:
            return Reason.DEADLINE
        if not self._attempts.record(request.attempt, now):
            return Reason.ABANDONED
        return None

    async def _run_admitted(self, request):
        """Run an admitted attempt; claimed work also if its caller disconnects.

        If a payout were cancelled midway, it might have been made, and its claim
        would keep a caller that retries from ever learning the outcome.
        """
        if not request.key:
            return await self._serve_admitted(request)
        return await self._background.run_to_end(self._serve_admitted(request))

    async def _serve_admitted(self, request):
        started = asyncio.get_running_loop().time()
        answer = None
        try:
            answer = await self._claim_and_run(request)
        finally:
            self._slots.leave(request, answer, started)
            if answer is None:
                # The caller disconnected, so the outcome is unknown.
                self._trace_hooks.answered(
                    messages.build_failure(request, Outcome.UNKNOWN, Reason.ABANDONED)
                )
        below = answer.load.below
        answer = answer._replace(load=self.load(request)._replace(below=below))
        self._trace_hooks.answered(answer)
        return answer

    async def _claim_and_run(self, request):
        if not request.key:
            return await self._run(request)
        verdict = await self._claim_within_share(request)
        if verdict is None:
            return _build_not_run(request, Reason.QUEUE)
        decisions.log_decision(
            decisions.Claimed(
                request.root, request.attempt, request.key, verdict.verdict.value
            )
        )
        if verdict.verdict is not claims.Verdict.WON:
            return _answer_claim(request, verdict)
        answer = await self._run(request)
        self._record_end(request, answer)
        return answer

    async def _claim_within_share(self, request):
        """Return the log's verdict, or None if too many requests wait for theirs."""
        limit = max(1, int(self._slots.load().limit * MAX_CLAIMING_SHARE))
        if self._claims_pending >= limit:
            return None
        self._claims_pending += 1
        try:
            return await self._claim(request)
        finally:
            self._claims_pending -= 1

    async def _run(self, request):
        """Forward the request to the backend server and return its answer."""
        # The clock is read again after the wait and the claim: a process that was
        # paused meanwhile must not start work that its caller has given up on.
        remaining = request.deadline - self._clock()
        client = self._client
        if remaining <= 0 or client is None:
            reason = Reason.DEADLINE if remaining <= 0 else Reason.NO_ENDPOINT
            return _build_not_run(request, reason)
        self._ledger.open(request.attempt, request.budget, request.deadline)
        self._running.start(request)
        try:
            answer = await client.forward(request, remaining)
            self._trace_hooks.run(request, answer)
        finally:
            # Also if the caller disconnected: no attempt may stay recorded as running.
            below = self._running.finish(request.attempt)
            unused = self._ledger.close(request.attempt)
        if answer.outcome is Outcome.COMPLETED:
            # Recorded also for requests without nested calls: where only some
            # requests of a flow make nested calls, the others must not be refused
            # because of them.
            self._levels.learn_below(request, below.level, self._clock())
        return _complete_answer(answer, below, unused)

    def _refuse(self, request, decision):
        decisions.log_refusal(
            request, decision.reason, decision.retry_after, "gatekeeper"
        )
        answer = _build_not_run(request, decision.reason, decision.retry_after)
        if decision.reason is Reason.ABANDONED:
            # The first copy of this duplicate message may be running.
            answer = answer._replace(outcome=Outcome.UNKNOWN, unused_retries=0)
        below = self._levels.below(request, self._clock())
        return answer._replace(load=self.load(request)._replace(below=below))


def _complete_answer(answer, below, unused):
    """Return an answer with the result of the nested calls and the unused budget."""
    answer = answer._replace(
        unused_retries=unused, load=messages.Load(below=below.level)
    )
    if not answer.is_server_error or not below.refused:
        return answer
    return answer._replace(
        from_downstream=True, reason=Reason.DEEPER, retry_after=below.retry_after
    )


def _build_refusal(request, reason):
    return gate.Decision(
        request.attempt, gate.Verdict.REFUSE, reason, DEFAULT_RETRY_AFTER, 0.0
    )


def _build_not_run(request, reason, retry_after=DEFAULT_RETRY_AFTER):
    return messages.build_failure(
        request, Outcome.NOT_RUN, reason, retry_after=retry_after
    )


def _answer_claim(request, verdict):
    """Return the answer for work whose claim was not won."""
    reported = claims.get_reported_outcome(verdict)
    return Answer(
        request.attempt,
        reported.outcome,
        reported.reason,
        status=503,
        unused_retries=request.budget,
        retry_after=verdict.retry_after,
    )
