"""One call from its arrival at a daemon to its answer.

Level, endpoint, attempt, whether to try again: the decisions stand in modules of
their own; here they are put in order.
"""

import asyncio
import collections
import random

from . import decisions, hints, messages, retries, sending, subsets
from .levels import refuse_below
from .messages import Outcome, Reason, Refusal, build_failure
from .placement import Choice

# When a caller may come back that found no endpoint at all: a heartbeat brings
# one back within a second or two.
ABSENT_RETRY_AFTER = 0.5


class Forwarder:
    """Sends calls to the endpoints of their services.

    Args:
        own: Address of this daemon.
        directory: `directory.Directory`.
        preferences: `subsets.Subsets`.
        peers: `daemons.links.Peers`.
        guard: `backends.guard.Guard` of the own backend server.
        placement: `placement.Placement`.
        board: `board.Board`.
    """

    def __init__(self, own, directory, preferences, peers, guard, placement, board):
        self._loop = asyncio.get_running_loop()
        self._own = own
        self._directory = directory
        self._preferences = preferences
        self._peers = peers
        self._guard = guard
        self._placement = placement
        self._board = board
        self.refused = collections.Counter()
        self.repeated = collections.Counter()

    async def serve(self, request, most_endpoints):
        """Serve a request and return its answer.

        Args:
            request: `messages.Request`.
            most_endpoints: Endpoints that it may be handed to, at most.
        """
        tried, offered, tries, may_have_run = set(), 0, 0, False
        while True:
            # A call from inside belongs to a request that was let in: refused
            # here, all that has been done for it would be lost.
            refused = None if request.via else self._refuse_by_level(request)
            if refused is not None:
                return self._settle(request, refused, may_have_run)
            choice = self._choose(request, tried)
            if choice.endpoint is None:
                absent = self._refuse(request, Reason.NO_ENDPOINT, ABSENT_RETRY_AFTER)
                return self._settle(request, absent, may_have_run)
            address = choice.endpoint.address
            tried.add(address)
            attempt = request._replace(
                attempt=messages.new_identifier(), again=offered > 0
            )
            answer = await self._send(attempt, choice)
            may_have_run |= answer.outcome is Outcome.UNKNOWN
            offered += answer.offered or answer.outcome is Outcome.UNKNOWN
            tries += 1
            if answer.outcome is Outcome.COMPLETED:
                self._log_failure(attempt, answer, choice.endpoint)
                return answer
            open_endpoints = self._count_open(request.service, tried)
            remaining = min(open_endpoints, most_endpoints - offered)
            decision = retries.decide_retry(
                attempt, answer, remaining, tries - 1, self._loop.time(), random.random
            )
            left = attempt.deadline - self._loop.time()
            decisions.log_answer(
                attempt,
                answer,
                choice.endpoint,
                left,
                decision.again,
                decision.ground,
            )
            if not decision.again:
                return self._settle(request, answer, may_have_run)
            self.repeated[request.call] += 1
            if decision.delay:
                await asyncio.sleep(decision.delay)

    def list_set_aside(self):
        """Return the addresses of endpoints that are set aside at present."""
        known = self._placement.known
        services = {e.service for e in self._directory.everyone if e.daemon in known}
        now = self._loop.time()
        return sorted(
            address
            for service in services
            for address in self._placement.find_set_aside(
                self._preferences.list_preferred(service), now
            )
        )

    def _settle(self, request, answer, may_have_run):
        """Return the answer to give; a refusal says when to come back."""
        settled = retries.settle_answer(answer, may_have_run)
        if settled.outcome is not Outcome.NOT_RUN or request.via:
            return settled
        usual = self._placement.find_usual(request)
        room = request.due - self._loop.time() - usual
        pause = hints.fit_retry_after(settled.retry_after, room, settled.attempt)
        return settled._replace(retry_after=pause)

    def _log_failure(self, attempt, answer, endpoint):
        """Log a failure of the backend server, which is passed on as it is.

        Its caller knows the identifier only; without this line nothing would tell
        which endpoint had failed it.
        """
        if not answer.is_server_error:
            return
        left = attempt.deadline - self._loop.time()
        ground = "the backend server failed it"
        decisions.log_answer(attempt, answer, endpoint, left, False, ground)

    def _choose(self, request, tried):
        """Choose an endpoint; the own one while it has room, to save a hop."""
        own = self._own
        endpoints = self._find_usable(request.service)
        if own not in tried and self._guard.has_room(request.service):
            for endpoint in endpoints:
                if endpoint.address == own:
                    return Choice(endpoint, "own endpoint has room")
        now = self._loop.time()
        return self._placement.choose(request, endpoints, now, tried)

    def _find_usable(self, service):
        """Return the endpoints to choose from, whose daemons can be reached."""
        preferred = self._preferences.list_preferred(service)
        usable = subsets.choose_usable(preferred, self._find_reach)
        for endpoint in usable.wanted:
            self._peers.find(endpoint.address).connect()
        return usable.endpoints

    def _find_reach(self, address):
        if address == self._own:
            return subsets.Reach.UP
        return self._peers.find(address).reach

    def _count_open(self, service, tried):
        usable = self._find_usable(service)
        return sum(endpoint.address not in tried for endpoint in usable)

    def _refuse_by_level(self, request):
        now = self._loop.time()
        endpoints = self._directory.find_endpoints(request.service)
        level = self._board.level(request.call, endpoints, now)
        decision = refuse_below(request, level)
        if decision is None:
            return None
        answer = self._refuse(request, decision.reason, decision.retry_after)
        return answer._replace(load=messages.Load(below=level))

    async def _send(self, attempt, choice):
        return await sending.send_watched(
            self._placement,
            choice.endpoint,
            attempt,
            self._loop.time,
            self._serve_or_call,
        )

    async def _serve_or_call(self, endpoint, attempt):
        if endpoint.address == self._own:
            return await self._guard.serve(attempt)
        return await self._peers.find(endpoint.address).call(attempt)

    def _refuse(self, request, reason, retry_after):
        self.refused[Refusal(request.call, reason)] += 1
        decisions.log_refusal(request, reason, retry_after, "entry")
        return build_failure(request, Outcome.NOT_RUN, reason, retry_after=retry_after)
