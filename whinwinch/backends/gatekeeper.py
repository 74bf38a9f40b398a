"""Guards the own backend server: admission, wait, claim, run, answer."""

import threading
from typing import NamedTuple

from .. import attempts, claims, decisions, gate, messages, recording
from ..messages import Answer, Outcome, Reason
from .client import BackendClient

# While the log is slow, work that waits for its claim holds slots. This share
# keeps it from holding them all: reads would starve though their backend
# server is idle.
CLAIMING_SHARE = 0.25
# How long a caller should stay away when nothing better is known.
DEFAULT_RETRY_AFTER = 1.0


class Waiter(NamedTuple):
    """A thread that waits for the gate's decision, and where it finds it."""

    event: threading.Event
    decided: list


class Gatekeeper:
    """The state around one backend server; safe to use from threads.

    Args:
        clock: Returns the loop's time in seconds.
        claim: Takes a `Request`, returns a `claims.ClaimVerdict`; blocks while
            the log decides, at most until the deadline.
        note_end: Takes a `Request` and its `Answer`; notes in the log how
            claimed work ended.
        ledger: `retries.Ledger` of the attempts inside, `guarded`.
        levels: `levels.Levels` of the daemon, `guarded`.
        running: `running.Running`.
        takes_work: Returns whether new work is taken.
        max_body: Largest answer taken, in bytes.
        find_service: Takes a name, returns its `resources.ServiceSpec`.
        notes: `recording.Notes` for a trace.
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
        notes=recording.NOTHING,
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
        self._notes = notes
        self._lock = threading.Lock()
        self._gate = None
        self._client = None
        self._attempts = attempts.Attempts()
        self._waiters = {}
        self._claiming = 0
        self.service = ""

    def install(self, announcement):
        """Guard the backend server of an announcement, or none."""
        with self._lock:
            if announcement is None:
                self._client = None
                self.service = ""
                return
            self.service = announcement.service
            self._client = BackendClient(
                announcement.address, announcement.connections, self._max_body
            )
            if self._gate is None:
                self._gate = gate.Gate(announcement.slots, self._clock())
                return
            self._deliver(self._gate.resize(announcement.slots, self._clock()))

    def has_room(self):
        """Return whether a request would be admitted without a wait."""
        with self._lock:
            if self._client is None or not self._takes_work():
                return False
            load = self._gate.load(self._clock())
        return not load.waiting and load.in_service < load.limit

    def load(self, request=None):
        """Return the load of the backend server as the gate sees it.

        Args:
            request: The request that asks, for the level of its own flow.
        """
        with self._lock:
            if self._gate is None:
                return messages.Load()
            return self._gate.load(self._clock(), request)

    def serve(self, request):
        """Serve one attempt and return its answer."""
        refused = self._refuse_for_below(request)
        if refused is not None:
            return refused
        decision, waiter = self._offer(request)
        if waiter is not None:
            decision = self._wait(request, waiter, decision.expires)
        admitted = decision.verdict is gate.Verdict.ADMIT
        self._notes.admission(request, admitted)
        if admitted:
            answer = self._serve_admitted(request)
        else:
            answer = self._refuse(request, decision)
        self._notes.answered(answer)
        return answer

    def expire(self):
        """Refuse waiting requests whose time is over; called now and then."""
        with self._lock:
            if self._gate is not None:
                self._deliver(self._gate.expire(self._clock()))

    def _offer(self, request):
        """Return the gate's decision and, when it is to wait, the waiter."""
        now = self._clock()
        with self._lock:
            reason = self._check(request, now)
            if reason is not None:
                return _build_refusal(request, reason), None
            self._gate.limit_wait(self._find_service(request.service).max_wait)
            decision = self._gate.offer(request, now)
            # A more important request may have taken the place of a waiting
            # one, which is told at once instead of when its time is over.
            self._deliver(self._gate.expire(now))
            waiter = None
            if decision.verdict is gate.Verdict.WAIT:
                waiter = Waiter(threading.Event(), [])
                self._waiters[request.attempt] = waiter
        return decision, waiter

    def _refuse_for_below(self, request):
        """Refuse what the calls below would be refused for, or return None.

        Let in, it would take a slot here for an answer that can't be whole.
        """
        with self._levels as levels:
            decision = levels.refuse_below(request, self._clock())
        if decision is None:
            return None
        self._notes.admission(request, False)
        answer = self._refuse(request, decision)._replace(deeper=True)
        self._notes.answered(answer)
        return answer

    def _check(self, request, now):
        """Return why a request can't be taken at all, or None."""
        if not self._takes_work():
            return Reason.LEAVING
        if self._client is None or request.service != self.service:
            return Reason.NO_ENDPOINT
        if request.deadline <= now:
            return Reason.DEADLINE
        if not self._attempts.note(request.attempt, now):
            return Reason.ABANDONED
        return None

    def _wait(self, request, waiter, expires):
        """Wait until the gate has decided; it has by `expires` at the latest."""
        waiter.event.wait(max(0.0, expires - self._clock()))
        if not waiter.event.is_set():
            self.expire()
        if not waiter.event.is_set():
            self._withdraw(request)
        with self._lock:
            self._waiters.pop(request.attempt, None)
        if waiter.decided:
            return waiter.decided[0]
        return _build_refusal(request, Reason.DEADLINE)

    def _withdraw(self, request):
        """Take a waiting request out of the gate, for good."""
        with self._lock:
            self._deliver(self._gate.withdraw(request.attempt, self._clock()))

    def _deliver(self, woken):
        """Hand the gate's decisions to the threads that wait for them.

        Called inside the lock in which the gate decided. Outside it a thread
        whose wait ends just then would find no decision and give up, although
        the gate has admitted it: its slot would stay taken for ever.
        """
        for decision in woken:
            waiter = self._waiters.get(decision.attempt)
            if waiter is not None:
                waiter.decided.append(decision)
                waiter.event.set()

    def _serve_admitted(self, request):
        started = self._clock()
        answer = None
        try:
            answer = self._claim_and_run(request)
        finally:
            self._leave(request, answer, started)
        return answer._replace(
            load=self.load(request)._replace(below=answer.load.below)
        )

    def _leave(self, request, answer, started):
        now = self._clock()
        ran = answer is not None and answer.outcome is not Outcome.NOT_RUN
        succeeded = answer is not None and answer.succeeded
        with self._lock:
            woken = self._gate.finish(
                request.attempt, now, now - started if ran else None, succeeded
            )
            self._deliver(woken)

    def _claim_and_run(self, request):
        if not request.key:
            return self._run(request)
        verdict = self._claim_within_share(request)
        if verdict is None:
            return _build_not_run(request, Reason.QUEUE)
        decisions.log_decision(
            decisions.Claimed(
                request.root, request.attempt, request.key, verdict.verdict.value
            )
        )
        if verdict.verdict is not claims.Verdict.WON:
            return _answer_claim(request, verdict)
        answer = self._run(request)
        self._note_end(request, answer)
        return answer

    def _claim_within_share(self, request):
        """Return the log's verdict, or None when too many wait for theirs."""
        with self._lock:
            limit = max(1, int(self._gate.load(self._clock()).limit * CLAIMING_SHARE))
            if self._claiming >= limit:
                return None
            self._claiming += 1
        try:
            return self._claim(request)
        finally:
            with self._lock:
                self._claiming -= 1

    def _run(self, request):
        """Hand the request to the backend server."""
        # Read again after the wait and the claim: a process that was paused
        # there must not start work that its caller has given up on.
        left = request.deadline - self._clock()
        client = self._client
        if left <= 0 or client is None:
            reason = Reason.DEADLINE if left <= 0 else Reason.NO_ENDPOINT
            return _build_not_run(request, reason)
        with self._ledger as ledger:
            ledger.open(request.attempt, request.budget, request.deadline)
        self._running.start(request)
        answer = client.forward(request, left)
        self._notes.run(request, answer)
        below = self._running.finish(request.attempt)
        if answer.outcome is Outcome.COMPLETED:
            # Also of requests that called nobody: where only some of a flow
            # call on, the others must not be refused for the calls of these.
            with self._levels as levels:
                levels.learn_below(request, below.level, self._clock())
        return self._complete_answer(request, answer, below)

    def _complete_answer(self, request, answer, below):
        """Add what the calls below have met and return the unused budget."""
        with self._ledger as ledger:
            unused = ledger.close(request.attempt)
        answer = answer._replace(unused=unused, load=messages.Load(below=below.level))
        if not answer.is_server_error or not below.refused:
            return answer
        return answer._replace(
            deeper=True, reason=Reason.DEEPER, retry_after=below.retry_after
        )

    def _refuse(self, request, decision):
        decisions.log_refusal(
            request, decision.reason, decision.retry_after, "gatekeeper"
        )
        answer = _build_not_run(request, decision.reason, decision.retry_after)
        if decision.reason is Reason.ABANDONED:
            # The first copy of this message may be running.
            answer = answer._replace(outcome=Outcome.UNKNOWN, unused=0)
        with self._levels as levels:
            below = levels.below(request, self._clock())
        return answer._replace(load=self.load(request)._replace(below=below))


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
    settlement = claims.settle_verdict(verdict)
    return Answer(
        request.attempt,
        settlement.outcome,
        settlement.reason,
        status=503,
        unused=request.budget,
        retry_after=verdict.retry_after,
    )
