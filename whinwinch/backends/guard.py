"""The only way to the backend server beside the daemon.

Every attempt for the backend server passes here, from whichever daemon it comes.
So admission, the order of waiting, its identity and its leaving are facts of this
one process: nothing has to be agreed on with others to keep a request from a
backend server that is leaving, or from another one that has got its address.
"""

import asyncio
import collections
import functools
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from .. import background, callgraph, decisions, gate
from ..http1 import client
from ..messages import Outcome, Reason, Refusal, build_failure
from . import slots

# The backend server answers by its deadline itself; its word is worth a little
# more time than ours, which can't say whether it ran.
ANSWER_SECONDS = 0.05
# When a caller whose attempt was turned down for want of a backend server may
# come back: a daemon that has just started hears of it within a heartbeat.
ABSENT_RETRY_AFTER = 0.3
# Requests name no caller here, and their paths tell kinds of request, not keys.
NO_SHARES = ()
# Largest answer taken from a backend server, in bytes.
MOST_BODY = 16 << 20


class Backend(NamedTuple):
    """The backend server beside the daemon, as it announced itself.

    Attributes:
        identity: Identifier of this start of it.
        service: Its service.
        slots: Requests that it can work on at once.
        leaving: Whether it takes no new work.
    """

    identity: str
    service: str
    slots: int
    leaving: bool = False


class Dialect(NamedTuple):
    """How a backend server is spoken to.

    Attributes:
        form: Function from a request, the seconds left and the backend server's
            identity to the bytes to send.
        judge: Function from a request and a `http1.messages.HttpResponse` to an
            `Answer`.
        belongs: Function from a request and a `http1.messages.HttpResponse` to
            whether it is the answer to this request.
    """

    form: Callable
    judge: Callable
    belongs: Callable


class Guard:
    """Admission to, and the connections of, one backend server.

    Args:
        address: `settings.Address` of the backend server.
        dialect: `Dialect`.
        budget: `repeats.RepeatBudget`.
        find_wait: Function from a request to the seconds that it may wait for a
            slot.
        watch: `callgraph.CallGraph` that is told what runs.
    """

    def __init__(self, address, dialect, budget, find_wait, watch):
        self._loop = asyncio.get_running_loop()
        self._dialect = dialect
        self._pool = client.Pool(address.host, address.port, MOST_BODY)
        self._repeats = budget
        self._find_wait = find_wait
        self._watch = watch
        self._slots = slots.Slots(NO_SHARES)
        self._background = background.Background()
        self.backend = None
        self.is_stopping = False
        self.running = 0
        self.refused = collections.Counter()

    def install(self, backend):
        """Guard a backend server from now on, or none.

        What waits is refused as soon as the backend server leaves, and can then
        be tried elsewhere.
        """
        before = self.backend
        self.backend = backend
        if backend is None or backend.leaving:
            self._slots.refuse_waiting()
            return
        if before is None or before.identity != backend.identity:
            # Kept connections lead to the one before.
            self._pool.close()
            self._slots.open(backend.slots)
        elif before.slots != backend.slots:
            self._slots.resize(backend.slots)

    def has_room(self, service):
        """Return whether a request for a service would be admitted at once."""
        return self._find_obstacle(service) is None and self._slots.has_room

    def load(self, request=None):
        """Return the load of the backend server as the gate sees it."""
        return self._slots.load(request)

    def measure_usage(self):
        """Return the `gate.SlotUsage` of the backend server's slots since its start."""
        return self._slots.measure_usage()

    def find_level(self, route):
        """Return the admission level that requests of a route meet here."""
        if self.backend is None or self._find_obstacle(self.backend.service):
            return 0.0
        return self._slots.find_level(route)

    async def serve(self, request):
        """Serve one attempt and return its answer."""
        obstacle = self._find_obstacle(request.service)
        if obstacle is None and request.deadline <= self._loop.time():
            obstacle = Reason.DEADLINE
        if obstacle is not None:
            return self._refuse(request, obstacle, ABSENT_RETRY_AFTER)
        if not self._count(request):
            return self._refuse(request, Reason.REPEATS, 0.0)
        decision = await self._slots.decide(request, self._find_wait(request))
        if decision.verdict is not gate.Verdict.ADMIT:
            if request.again:
                self._repeats.refund(self._loop.time())
            return self._refuse(request, decision.reason, decision.retry_after)
        return await self._run_admitted(request)

    def _count(self, request):
        """Count an attempt as a first or as a repeat; return whether it may go on."""
        now = self._loop.time()
        if request.again:
            return self._repeats.try_spend(request, now)
        if request.of_repeat:
            self._repeats.record_nested_repeat(now)
        else:
            self._repeats.record_first_attempt(now)
        return True

    def stop(self):
        """Take no new work; what waits can be tried elsewhere."""
        self.is_stopping = True
        self._slots.refuse_waiting()

    def close(self):
        """Close the idle connections."""
        self._pool.close()

    def _find_obstacle(self, service):
        """Return why no request of a service can be taken, or None."""
        backend = self.backend
        if self.is_stopping:
            return Reason.LEAVING
        if backend is None or backend.service != service:
            return Reason.NO_ENDPOINT
        return Reason.LEAVING if backend.leaving else None

    async def _run_admitted(self, request):
        """Run an admitted attempt; one that can't be repeated runs to its end.

        Broken off half way, a payout has perhaps been made and its caller is
        told that nobody knows; with the answer the connection stays of use.
        """
        if request.repeatable:
            return await self._run(request)
        return await self._background.run_to_end(self._run(request))

    async def _run(self, request):
        started = self._loop.time()
        self.running += 1
        # The backend server is told whole milliseconds, and its calls expire so.
        told = int((request.deadline - started) * 1000.0) / 1000.0
        self._watch.start(
            request.attempt,
            callgraph.RunningRequest(
                request.call,
                request.root,
                request.importance,
                started + told,
                request.due,
                request.again or request.of_repeat,
            ),
            started,
        )
        answer = None
        try:
            answer = await self._forward(request)
        finally:
            self.running -= 1
            if request.again and answer is not None and _is_unsent(answer):
                self._repeats.refund(self._loop.time())
            answered = answer is not None and answer.outcome is not Outcome.UNKNOWN
            whole = answer is not None and answer.succeeded
            self._watch.end(request.attempt, answered, whole)
            self._slots.leave(request, answer, started)
        return answer._replace(load=self.load(request))

    async def _forward(self, request):
        """Hand the attempt to the backend server; never raises for the network."""
        backend = self.backend
        left = request.deadline - self._loop.time()
        obstacle = self._find_obstacle(request.service)
        if obstacle is not None or left <= 0.0:
            return _build_not_run(request, obstacle or Reason.DEADLINE)
        data = self._dialect.form(request, left, backend.identity)
        try:
            response = await self._pool.exchange(
                data,
                request.deadline + ANSWER_SECONDS,
                request.method == "HEAD",
                functools.partial(self._dialect.belongs, request),
            )
        except client.NotSentError as error:
            logging.info("backend server not reached: %s", error)
            return _build_not_run(request, Reason.NOT_SENT)
        except client.BrokenError as error:
            logging.info("attempt %s: %s", request.attempt, error)
            return _build_unknown(request, Reason.BROKEN, 502)
        except TimeoutError:
            return _build_unknown(request, Reason.DEADLINE, 504)
        return self._judge(request, response, backend)

    def _judge(self, request, response, backend):
        answer = self._dialect.judge(request, response)
        if answer.reason is Reason.WRONG_BACKEND and self.backend is backend:
            # Another one has got its address: nothing goes there until it has
            # announced itself here.
            logging.warning("backend server %s is gone", backend.identity)
            self.install(None)
        return answer

    def _refuse(self, request, reason, retry_after):
        self.refused[Refusal(request.call, reason)] += 1
        decisions.log_refusal(request, reason, retry_after, "gatekeeper")
        answer = _build_not_run(request, reason, retry_after)
        return answer._replace(load=self.load(request))


def _is_unsent(answer):
    return answer.outcome is Outcome.NOT_RUN and not answer.offered


def _build_not_run(request, reason, retry_after=0.0):
    return build_failure(request, Outcome.NOT_RUN, reason, retry_after=retry_after)


def _build_unknown(request, reason, status):
    answer = build_failure(request, Outcome.UNKNOWN, reason, status)
    return answer._replace(offered=True)
