"""Waits for the slots of one backend server, on the event loop.

The gate decides who is admitted, waits or is refused; here each waiting request
has a future, which gets the gate's decision as soon as it is made. What goes wrong
without care is a slot that nobody leaves again: admitted in the moment in which its
caller hangs up, a request would hold it for ever, and the endpoint would lose one
slot after the other.
"""

import asyncio

from .. import fairness, gate, messages
from ..messages import Outcome, Reason


class Slots:
    """The gate of one backend server, and the requests that wait at it.

    Args:
        dimensions: Along which callers get shares, as `fairness.Shares` says.
    """

    def __init__(self, dimensions=fairness.DIMENSIONS):
        self._loop = asyncio.get_running_loop()
        self._dimensions = dimensions
        self._gate = None
        self._waiting = {}

    @property
    def are_known(self):
        """Whether a backend server has ever said how many there are."""
        return self._gate is not None

    def open(self, count):
        """Start anew for another backend server with a number of slots."""
        self._gate = gate.Gate(count, self._loop.time(), self._dimensions)

    def resize(self, count):
        """Go on with another number of slots."""
        self._deliver(self._gate.resize(count, self._loop.time()))

    @property
    def has_room(self):
        """Whether a request would be admitted at once."""
        load = self._gate.load(self._loop.time())
        return not load.waiting and load.in_service < load.limit

    def load(self, request=None):
        """Return the `messages.Load` of the backend server as the gate sees it.

        Args:
            request: The request that asks, for the level of its own flow.
        """
        if self._gate is None:
            return messages.Load()
        return self._gate.load(self._loop.time(), request)

    def measure_usage(self):
        """Return the `gate.SlotUsage` of the slots since they were opened."""
        if self._gate is None:
            return gate.SlotUsage()
        return self._gate.measure_usage(self._loop.time())

    def find_level(self, call):
        """Return the admission level that requests of a call meet here."""
        return self._gate.find_level(call, self._loop.time())

    async def decide(self, request, most_wait):
        """Return the gate's decision on an attempt, after a wait where it says so.

        Args:
            request: The `messages.Request`.
            most_wait: Seconds for which it may wait for a slot.
        """
        now = self._loop.time()
        self._gate.set_max_wait(most_wait)
        decision = self._gate.offer(request, now)
        future = None
        if decision.verdict is gate.Verdict.WAIT:
            future = self._loop.create_future()
            self._waiting[request.attempt] = future
        # A more important request may have taken the place of a waiting one,
        # which is told at once instead of when its time is over.
        if self._gate.has_displaced:
            self._deliver(self._gate.expire(now))
        if future is None:
            return decision
        return await self._wait(request, future, decision.expires)

    def leave(self, request, answer, started):
        """Free a slot, and count the service time where it tells something.

        Args:
            request: The `messages.Request` that was admitted.
            answer: Its `messages.Answer`, None where nobody waited for one.
            started: When it went in, on the loop's clock.
        """
        now = self._loop.time()
        ran = answer is not None and answer.outcome is not Outcome.NOT_RUN
        seconds = now - started if ran else None
        succeeded = ran and answer.succeeded
        self._deliver(self._gate.finish(request.attempt, now, seconds, succeeded))

    def refuse_waiting(self):
        """Refuse what waits, so that it is tried elsewhere at once."""
        for attempt, future in tuple(self._waiting.items()):
            if not future.done():
                self._deliver(self._gate.withdraw(attempt, self._loop.time()))
                if not future.done():
                    future.set_result(_refuse(attempt, Reason.LEAVING))

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
        """Refuse a request that has waited as long as it may."""
        self._deliver(self._gate.expire(self._loop.time()))
        future = self._waiting.get(request.attempt)
        if future is not None and not future.done():
            self._withdraw(request)
            future.set_result(_refuse(request.attempt, Reason.DEADLINE))

    def _abandon(self, request, future):
        """Give back the place of a request that nobody waits for any more."""
        if future.cancelled():
            self._withdraw(request)
        elif future.result().verdict is gate.Verdict.ADMIT:
            self.leave(request, None, self._loop.time())

    def _withdraw(self, request):
        self._deliver(self._gate.withdraw(request.attempt, self._loop.time()))

    def _deliver(self, decided):
        """Hand the gate's decisions to the requests that wait for them."""
        for decision in decided:
            future = self._waiting.get(decision.attempt)
            if future is not None and not future.done():
                future.set_result(decision)


def _refuse(attempt, reason):
    return gate.Decision(attempt, gate.Verdict.REFUSE, reason, 0.0)
