"""Guards the own backend server: admission, wait, claim, run, answer."""

import asyncio

from .. import attempts, background, claims, decisions, gate, messages, recording
from ..messages import Answer, Outcome, Reason
from . import slots
from .client import BackendClient

# While the log is slow, work that waits for its claim holds slots. This share
# keeps it from holding them all: reads would starve though their backend
# server is idle.
CLAIMING_SHARE = 0.25
# How long a caller should stay away when nothing better is known.
DEFAULT_RETRY_AFTER = 1.0


class Gatekeeper:
    """The state around one backend server.

    Args:
        clock: Returns the loop's time in seconds.
        claim: Coroutine function from a `Request` to a `claims.ClaimVerdict`; it
            waits while the log decides, at most until the deadline.
        note_end: Takes a `Request` and its `Answer`; notes in the log how
            claimed work ended.
        ledger: `retries.Ledger` of the attempts inside.
        levels: `levels.LearnedLevels` of the daemon.
        running: `running.RunningAttempts`.
        takes_work: Returns whether new work is taken.
        max_body: Largest answer taken, in bytes.
        find_service: Takes a name, returns its `resources.ServiceSpec`.
        trace_hooks: `recording.TraceHooks` for a trace.
    """

    def __init__(
        self,
        clock,
        claim,
        note_end,
        ledger,
        levels,
        running,
        takes_work,
        max_body,
        find_service,
        trace_hooks=recording.NO_TRACE_HOOKS,
    ):
        self._clock = clock
        self._claim = claim
        self._note_end = note_end
        self._ledger = ledger
        self._levels = levels
        self._running = running
        self._takes_work = takes_work
        self._max_body = max_body
        self._find_service = find_service
        self._trace_hooks = trace_hooks
        self._slots = slots.Slots()
        self._client = None
        self._attempts = attempts.AttemptHistory()
        self._claiming = 0
        self._background = background.Background()
        self.service = ""

    def install(self, announcement):
        """Guard the backend server of an announcement, or none."""
        if self._client is not None:
            # Kept connections may lead to one that has gone.
            self._client.close()
        if announcement is None:
            self._client = None
            self.service = ""
            return
        self.service = announcement.service
        self._client = BackendClient(announcement.address, self._max_body)
        if self._slots.are_known:
            self._slots.resize(announcement.slots)
        else:
            self._slots.open(announcement.slots)

    def has_room(self):
        """Return whether a request would be admitted without a wait."""
        takes_work = self._client is not None and self._takes_work()
        return takes_work and self._slots.has_room

    def load(self, request=None):
        """Return the load of the backend server as the gate sees it.

        Args:
            request: The request that asks, for the level of its own flow.
        """
        return self._slots.load(request)

    async def serve(self, request):
        """Serve one attempt and return its answer."""
        refused = self._refuse_for_below(request)
        if refused is not None:
            return refused
        decision = await self._decide(request)
        admitted = decision.verdict is gate.Verdict.ADMIT
        self._trace_hooks.admission(request, admitted)
        if admitted:
            return await self._serve_to_the_end(request)
        answer = self._refuse(request, decision)
        self._trace_hooks.answered(answer)
        return answer

    async def _decide(self, request):
        """Return the decision on an attempt, of the gate or before it."""
        reason = self._check(request, self._clock())
        if reason is not None:
            return _build_refusal(request, reason)
        most_wait = self._find_service(request.service).max_wait
        decision = await self._slots.decide(request, most_wait)
        if decision.verdict is gate.Verdict.REFUSE and not decision.retry_after:
            return decision._replace(retry_after=DEFAULT_RETRY_AFTER)
        return decision

    def _refuse_for_below(self, request):
        """Refuse what the calls below would be refused for, or return None.

        Let in, it would take a slot here for an answer that can't be whole.
        """
        decision = self._levels.refuse_below(request, self._clock())
        if decision is None:
            return None
        self._trace_hooks.admission(request, False)
        answer = self._refuse(request, decision)._replace(deeper=True)
        self._trace_hooks.answered(answer)
        return answer

    def _check(self, request, now):
        """Return why a request can't be taken at all, or None."""
        if not self._takes_work():
            return Reason.LEAVING
        if self._client is None or request.service != self.service:
            return Reason.NO_ENDPOINT
        if request.deadline <= now:
            return Reason.DEADLINE
        if not self._attempts.record(request.attempt, now):
            return Reason.ABANDONED
        return None

    async def _serve_to_the_end(self, request):
        """Serve an admitted attempt; claimed work also if its caller hangs up.

        Broken off half way, a payout has perhaps been made, and its claim keeps
        the caller that asks again from ever learning of it.
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
                # Its caller has hung up: the attempt ends, nobody knows how.
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
        self._note_end(request, answer)
        return answer

    async def _claim_within_share(self, request):
        """Return the log's verdict, or None when too many wait for theirs."""
        limit = max(1, int(self._slots.load().limit * CLAIMING_SHARE))
        if self._claiming >= limit:
            return None
        self._claiming += 1
        try:
            return await self._claim(request)
        finally:
            self._claiming -= 1

    async def _run(self, request):
        """Hand the request to the backend server."""
        # Read again after the wait and the claim: a process that was paused
        # there must not start work that its caller has given up on.
        left = request.deadline - self._clock()
        client = self._client
        if left <= 0 or client is None:
            reason = Reason.DEADLINE if left <= 0 else Reason.NO_ENDPOINT
            return _build_not_run(request, reason)
        self._ledger.open(request.attempt, request.budget, request.deadline)
        self._running.start(request)
        try:
            answer = await client.forward(request, left)
            self._trace_hooks.run(request, answer)
        finally:
            # Also when the caller has hung up: nothing may stay noted as inside.
            below = self._running.finish(request.attempt)
            unused = self._ledger.close(request.attempt)
        if answer.outcome is Outcome.COMPLETED:
            # Also of requests that called nobody: where only some of a flow
            # call on, the others must not be refused for the calls of these.
            self._levels.learn_below(request, below.level, self._clock())
        return _complete_answer(answer, below, unused)

    def _refuse(self, request, decision):
        decisions.log_refusal(
            request, decision.reason, decision.retry_after, "gatekeeper"
        )
        answer = _build_not_run(request, decision.reason, decision.retry_after)
        if decision.reason is Reason.ABANDONED:
            # The first copy of this message may be running.
            answer = answer._replace(outcome=Outcome.UNKNOWN, unused=0)
        below = self._levels.below(request, self._clock())
        return answer._replace(load=self.load(request)._replace(below=below))


def _complete_answer(answer, below, unused):
    """Return an answer with what the calls below have met and the unused budget."""
    answer = answer._replace(unused=unused, load=messages.Load(below=below.level))
    if not answer.is_server_error or not below.refused:
        return answer
    return answer._replace(
        deeper=True, reason=Reason.DEEPER, retry_after=below.retry_after
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
    """Return the answer for work that this gatekeeper may not run."""
    reported = claims.get_reported_outcome(verdict)
    return Answer(
        request.attempt,
        reported.outcome,
        reported.reason,
        status=503,
        unused=request.budget,
        retry_after=verdict.retry_after,
    )
