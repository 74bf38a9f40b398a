"""Queue for the slots of one backend server, on the event loop.

The gate decides which requests are admitted, wait or are refused. Each waiting
request has a future here that receives the gate's decision. A slot must be freed
also when its request is admitted at the moment its caller disconnects: otherwise it
would never be released, and the endpoint would lose one slot after another.
"""

import asyncio

from .. import fairness, gate, lanes, messages
from ..messages import Outcome, Reason


class Slots:
    """The gate of one backend server and the requests that wait for a slot.

    Args:
        dimensions: Dimensions along which callers get fair shares, see
            `fairness.Shares`.
    """

    def __init__(self, dimensions=fairness.DIMENSIONS):
        self._loop = asyncio.get_running_loop()
        self._dimensions = dimensions
        self._gate = None
        self._waiting = {}
        # Timer until the next waiting request may be admitted at a limited rate.
        self._rate_timer = None

    @property
    def is_open(self):
        """Whether a backend server has ever announced its number of slots."""
        return self._gate is not None

    def open(self, count):
        """Replace the gate for a new backend server with a number of slots.

        Requests that wait at the gate of the previous one are refused: no slot of the
        new gate is ever given to them.
        """
        self.refuse_waiting()
        self._gate = gate.Gate(count, self._loop.time(), self._dimensions)
        self._cancel_rate_timer()

    def resize(self, count):
        """Change the number of slots of the same backend server."""
        self._deliver(self._gate.resize(count, self._loop.time()))

    def limit_rate(self, rate):
        """Set the requests that are admitted a second, infinite for no limit."""
        self._deliver(self._gate.limit_rate(rate, self._loop.time()))

    @property
    def has_free_slot(self):
        """Whether a request would be admitted immediately."""
        return self._gate.has_free_slot(self._loop.time())

    def load(self, request=None):
        """Return the `messages.Load` of the backend server as the gate observes it.

        Args:
            request: Request whose flow's admission level to include, or None.
        """
        if self._gate is None:
            return messages.Load()
        return self._gate.load(self._loop.time(), request)

    def find_available_share(self):
        """Return the share of the slots that a limited rate leaves in use, up to 1."""
        if self._gate is None:
            return 1.0
        return self._gate.find_available_share(self._loop.time())

    def measure_usage(self):
        """Return the `lanes.SlotUsage` of the slots since `open`."""
        if self._gate is None:
            return lanes.SlotUsage()
        return self._gate.measure_usage(self._loop.time())

    def find_level(self, call):
        """Return the admission level that applies to requests of a call here."""
        return self._gate.find_level(call, self._loop.time())

    async def decide(self, request, max_wait):
        """Return the gate's decision on an attempt, waiting for a slot if required.

        Args:
            request: The `messages.Request`.
            max_wait: Maximum time that it may wait for a slot, in seconds.
        """
        now = self._loop.time()
        self._gate.set_max_wait(max_wait)
        decision = self._gate.offer(request, now)
        future = None
        if decision.verdict is gate.Verdict.WAIT:
            future = self._loop.create_future()
            self._waiting[request.attempt] = future
        # A more important request may have displaced a waiting one, which is
        # refused now rather than when its wait expires.
        if self._gate.has_displaced:
            self._deliver(self._gate.expire(now))
        if future is None:
            return decision
        self._schedule_admission()
        return await self._wait(request, future, decision.expires)

    def leave(self, request, answer, started):
        """Free a slot, and record the service time if the request ran.

        Args:
            request: The `messages.Request` that was admitted.
            answer: Its `messages.Answer`, or None if the caller disconnected.
            started: Event loop time at which the request was admitted.
        """
        now = self._loop.time()
        ran = answer is not None and answer.outcome is not Outcome.NOT_RUN
        seconds = now - started if ran else None
        succeeded = ran and answer.succeeded
        self._deliver(self._gate.finish(request.attempt, now, seconds, succeeded))

    def refuse_waiting(self):
        """Refuse all waiting requests, so that they are retried elsewhere."""
        for attempt, future in tuple(self._waiting.items()):
            if not future.done():
                self._deliver(self._gate.withdraw(attempt, self._loop.time()))
                if not future.done():
                    future.set_result(_build_refusal(attempt, Reason.LEAVING))

    async def _wait(self, request, future, expires):
        timer = self._loop.call_at(expires, self._expire, request)
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request, future)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(request.attempt, None)

    def _expire(self, request):
        """Refuse a request whose maximum wait is over."""
        self._deliver(self._gate.expire(self._loop.time()))
        future = self._waiting.get(request.attempt)
        if future is not None and not future.done():
            self._withdraw(request)
            future.set_result(_build_refusal(request.attempt, Reason.DEADLINE))

    def _abandon(self, request, future):
        """Release the queue position or slot of a request whose caller disconnected."""
        if future.cancelled():
            self._withdraw(request)
        elif future.result().verdict is gate.Verdict.ADMIT:
            self.leave(request, None, self._loop.time())

    def _withdraw(self, request):
        self._deliver(self._gate.withdraw(request.attempt, self._loop.time()))

    def _deliver(self, gate_decisions):
        """Pass the gate's decisions to the requests that wait for them."""
        for decision in gate_decisions:
            future = self._waiting.get(decision.attempt)
            if future is not None and not future.done():
                future.set_result(decision)
        self._schedule_admission()

    def _schedule_admission(self):
        """Admit the next waiting request once the limited rate allows it."""
        wait = self._gate.find_token_wait(self._loop.time())
        if not wait or self._rate_timer is not None:
            return
        self._rate_timer = self._loop.call_later(wait, self._admit_at_rate)

    def _admit_at_rate(self):
        self._rate_timer = None
        self._deliver(self._gate.admit_waiting(self._loop.time()))

    def _cancel_rate_timer(self):
        if self._rate_timer is not None:
            self._rate_timer.cancel()
            self._rate_timer = None


def _build_refusal(attempt, reason):
    return gate.Decision(attempt, gate.Verdict.REFUSE, reason, 0.0)
