"""Forwarding of one call, from its arrival at a daemon to its answer.

The decisions on the admission level, the endpoint and retries are made by
separate modules; this one calls them in order.
"""

import asyncio
import collections
import random

from absl import logging

from . import decisions, hints, messages, retries, sending, subsets, tries
from .daemons import frames
from .levels import refuse_below
from .messages import Outcome, Reason, Refusal, build_failure
from .placement import Choice

# Seconds after which a caller may retry when its service has no endpoint: within one
# or two seconds a heartbeat makes one available again.
NO_ENDPOINT_RETRY_AFTER = 0.5


class Forwarder:
    """Forwards calls to the endpoints of their services.

    Args:
        local_address: Address of this daemon.
        directory: `directory.Directory`.
        preferences: `subsets.Subsets`.
        peers: `daemons.links.Peers`.
        guard: `backends.guard.Guard` of the local backend server.
        placement: `placement.Placement`.
        reported_levels: `reportedlevels.ReportedLevels`.
        crash_history: `crashes.CrashHistory`.

    Attributes:
        refused: Number of refusals by `messages.Refusal`.
        repeated: Number of retries by route.
    """

    def __init__(
        self,
        local_address,
        directory,
        preferences,
        peers,
        guard,
        placement,
        reported_levels,
        crash_history,
    ):
        self._loop = asyncio.get_running_loop()
        self._local_address = local_address
        self._directory = directory
        self._preferences = preferences
        self._peers = peers
        self._guard = guard
        self._placement = placement
        self._reported_levels = reported_levels
        self._crash_history = crash_history
        self.refused = collections.Counter()
        self.repeated = collections.Counter()

    async def serve(self, request, max_endpoints):
        """Forward a request, with retries, and return its answer.

        An unexpected error before it is sent is a refusal, which a caller may retry.

        Args:
            request: `messages.Request`.
            max_endpoints: Maximum number of endpoints whose backend servers may
                receive the request.
        """
        sent = tries.Tries(max_endpoints)
        try:
            return await self._serve(request, sent)
        except Exception:
            if sent.has_begun:
                raise
            logging.exception("deciding on request %s failed", request.root)
            return build_failure(
                request,
                Outcome.NOT_RUN,
                Reason.NOT_SENT,
                retry_after=NO_ENDPOINT_RETRY_AFTER,
            )

    async def _serve(self, request, sent):
        """Forward a request, with retries, and record its `tries.Tries`."""
        retry_count, may_have_run = 0, False
        crash_count = 0
        while True:
            refused = self._refuse_at_entry(request)
            if refused is not None:
                return self._finalize(request, refused, may_have_run)
            choice = self._choose_endpoint(request, sent)
            if choice.endpoint is None:
                no_endpoint = self.refuse(
                    request, Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER
                )
                return self._finalize(request, no_endpoint, may_have_run)
            address = choice.endpoint.address
            attempt = request._replace(
                attempt=messages.new_identifier(), again=sent.has_reached_backend
            )
            sent.has_begun = True
            answer = await self._send(attempt, choice)
            sent.record(address, answer)
            may_have_run |= answer.outcome is Outcome.UNKNOWN
            crash_count += answer.reason is Reason.CRASHED
            if answer.outcome is Outcome.COMPLETED:
                self._crash_history.record_answer(attempt)
                self._log_server_error(attempt, answer, choice.endpoint)
                return answer
            decision = retries.decide_retry(
                attempt,
                answer,
                sent.count_remaining(self._list_addresses(request.service)),
                retry_count,
                self._loop.time(),
                random.random,
                crashes=crash_count,
            )
            time_left = attempt.deadline - self._loop.time()
            decisions.log_answer(
                attempt,
                answer,
                choice.endpoint,
                time_left,
                decision.again,
                decision.ground,
            )
            if not decision.again:
                return self._finalize(request, answer, may_have_run)
            retry_count += 1
            self.repeated[request.call] += 1
            if decision.delay:
                await asyncio.sleep(decision.delay)

    def refuse(self, request, reason, retry_after):
        """Return the answer to a request that isn't sent, and log and count it.

        Args:
            request: `messages.Request`.
            reason: `messages.Reason`.
            retry_after: Seconds after which the caller may retry.
        """
        self.refused[Refusal(request.call, reason)] += 1
        decisions.log_refusal(request, reason, retry_after, "entry")
        return build_failure(request, Outcome.NOT_RUN, reason, retry_after=retry_after)

    def list_set_aside(self):
        """Return the addresses of the endpoints that are set aside at present."""
        observed = self._placement.used_daemons
        services = {
            e.service for e in self._directory.all_endpoints if e.daemon in observed
        }
        now = self._loop.time()
        return sorted(
            address
            for service in services
            for address in self._placement.find_set_aside(
                self._preferences.list_preferred(service), now
            )
        )

    def _finalize(self, request, answer, may_have_run):
        """Return the final answer; a refusal names the delay before a retry."""
        final = retries.finalize_answer(answer, may_have_run)
        if final.outcome is not Outcome.NOT_RUN or request.via:
            return final
        if final.reason in (Reason.SUSPECT, Reason.CAUSES_CRASHES):
            # A caller that came back sooner would only be refused again.
            return final
        baseline_latency = self._placement.find_baseline(request)
        max_delay = request.due - self._loop.time() - baseline_latency
        delay = hints.fit_retry_after(final.retry_after, max_delay, final.attempt)
        return final._replace(retry_after=delay)

    def _log_server_error(self, attempt, answer, endpoint):
        """Log a server error of the backend server, which is returned unchanged.

        The caller knows only the identifier of its request; without this line the
        failing endpoint could not be found.
        """
        if not answer.is_server_error:
            return
        time_left = attempt.deadline - self._loop.time()
        ground = "the backend server returned an error"
        decisions.log_answer(attempt, answer, endpoint, time_left, False, ground)

    def _choose_endpoint(self, request, sent):
        """Choose an endpoint; the local one while it has a free slot, to save a hop.

        Args:
            request: The `messages.Request`.
            sent: The `tries.Tries` of the request.
        """
        if self._crash_history.is_involved(request):
            chosen = self._choose_only_endpoint(request, sent)
            if chosen is not None:
                return Choice(chosen, "the only endpoint for work in flight at a crash")
        local_address = self._local_address
        endpoints = self._find_usable(request.service)
        excluded = sent.find_excluded([endpoint.address for endpoint in endpoints])
        if local_address not in excluded and self._guard.has_free_slot(request.service):
            for endpoint in endpoints:
                if endpoint.address == local_address:
                    return Choice(endpoint, "local endpoint has a free slot")
        now = self._loop.time()
        return self._placement.choose(request, endpoints, now, excluded)

    def _choose_only_endpoint(self, request, sent):
        """Return the endpoint to which all daemons send work that was in a crash."""
        preferred = self._preferences.list_preferred(request.service)
        sound = subsets.list_sound(preferred, self._find_reach)
        excluded = sent.find_excluded([endpoint.address for endpoint in sound])
        open_ = [e for e in sound if not e.leaving and e.address not in excluded]
        return self._crash_history.choose_endpoint(request, open_)

    def _find_usable(self, service):
        """Return the endpoints of a service whose daemons can be reached."""
        preferred = self._preferences.list_preferred(service)
        usable = subsets.choose_usable(preferred, self._find_reach)
        for endpoint in usable.to_connect:
            self._peers.find(endpoint.address).connect()
        return usable.endpoints

    def _find_reach(self, address):
        if address == self._local_address:
            return subsets.Reachability.UP
        return self._peers.find(address).reachability

    def _list_addresses(self, service):
        return [endpoint.address for endpoint in self._find_usable(service)]

    def _refuse_at_entry(self, request):
        """Return the refusal of a request that isn't sent at all, or None."""
        seconds = self._crash_history.find_refusal(request, self._loop.time())
        if seconds:
            return self.refuse(request, Reason.CAUSES_CRASHES, seconds)
        # A nested call belongs to a request that was already admitted. Refusing it
        # here would waste all work done for that request.
        return None if request.via else self._refuse_by_level(request)

    def _refuse_by_level(self, request):
        now = self._loop.time()
        endpoints = self._directory.find_endpoints(request.service)
        level = self._reported_levels.level(request.call, endpoints, now)
        decision = refuse_below(request, level)
        if decision is None:
            return None
        answer = self.refuse(request, decision.reason, decision.retry_after)
        return answer._replace(load=messages.Load(below=level))

    async def _send(self, attempt, choice):
        return await sending.send_and_observe(
            self._placement,
            choice.endpoint,
            attempt,
            self._loop.time,
            self._serve_or_call,
        )

    async def _serve_or_call(self, endpoint, attempt):
        if endpoint.address == self._local_address:
            return await self._guard.serve(attempt)
        peer = self._peers.find(endpoint.address)
        # Its records may not have reached the daemon yet that is to run it alone.
        for record in self._crash_history.list_suspicions(attempt):
            peer.send_if_connected(frames.Crash(record))
        return await peer.call(attempt)
