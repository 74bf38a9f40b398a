"""Control of a daemon: announcement of its backend server, lifecycle and claims."""

import asyncio

from absl import logging

from . import claims, lifecycle, messages
from .backends.registry import Registry
from .lifecycle import Phase
from .logservice import claimer
from .logservice.client import LogUnavailable

# Seconds between two ticks, at which leases expire and the lifecycle advances.
TICK_INTERVAL = 0.25


class Control:
    """State of a daemon and of the local backend server.

    Args:
        loop: The event loop.
        settings: `settings.Settings`.
        local_daemon: Identifier of this daemon, new at every start.
        membership: `membership.Membership`.
        log: `logservice.client.LogClient`.
        in_flight: `inflight.InFlightCounter`.
        tick: Function called at every tick with the loop's time.
        count_claim: Function called with the verdict on each claim, as text.
        trace_hooks: `recording.TraceHooks`.
    """

    def __init__(
        self,
        loop,
        settings,
        local_daemon,
        membership,
        log,
        in_flight,
        tick,
        count_claim,
        trace_hooks,
    ):
        self._loop = loop
        self._settings = settings
        self._local_daemon = local_daemon
        self._membership = membership
        self._log = log
        self._in_flight = in_flight
        self._tick = tick
        self._count_claim = count_claim
        self._trace_hooks = trace_hooks
        self._registry = Registry(settings.lease)
        self._lifecycle = lifecycle.Lifecycle()
        self._claimers = {}
        self._claimer_tasks = set()
        self._install = None
        self._wake = None
        self._release_callers = None
        self.stopped = asyncio.Event()

    def connect(self, install, wake, release_callers):
        """Set the functions that are called on changes.

        Args:
            install: Called with the new `Announcement` of the backend server, or
                None; installs it in the gatekeeper.
            wake: Makes gossip send updates immediately instead of with its next
                probe, so that peers stop sending calls which a leaving daemon would
                refuse.
            release_callers: Makes callers open their next connection to another
                daemon when this one leaves.
        """
        self._install = install
        self._wake = wake
        self._release_callers = release_callers

    @property
    def announcement(self):
        """The current `Announcement` of the backend server, or None."""
        return self._registry.announcement

    @property
    def phase(self):
        """The daemon's `lifecycle.Phase`."""
        return self._lifecycle.phase

    def admits(self, direction):
        """Return whether requests of a `lifecycle.Direction` are accepted."""
        return lifecycle.admits(self._lifecycle, direction)

    async def claim(self, request):
        """Claim the key of a request; return the verdict from the log."""
        service_claimer = self._find_claimer(request.service)
        verdict = await service_claimer.claim(
            request.key, request.attempt, request.deadline
        )
        self._count_claim(verdict.verdict.value)
        return verdict

    def record_end(self, request, answer):
        """Record the end of a claimed request in the log."""
        service_claimer = self._find_claimer(request.service)
        if answer.outcome is messages.Outcome.NOT_RUN:
            service_claimer.release(request.key, request.attempt)
        elif answer.outcome is messages.Outcome.COMPLETED:
            service_claimer.record_done(request.key, request.attempt, answer.status)

    def begin_leaving(self):
        """Refuse new requests, finish those in flight, then stop."""
        if self.phase is not Phase.SERVING:
            return
        now = self._loop.time()
        self._lifecycle = lifecycle.begin_leaving(
            self._lifecycle,
            now,
            self._settings.stop_grace,
            self._in_flight.last_deadline,
        )
        logging.info("lifecycle phase=leaving until=%.3f", self._lifecycle.until)
        self._trace_hooks.phase(self.phase)
        self._release_callers()
        self._publish_membership(now)

    async def run(self):
        """Advance the daemon's state at every tick until the daemon has stopped."""
        while self.phase is not Phase.STOPPED:
            now = self._loop.time()
            self._expire_announcement(now)
            self._advance(now)
            self._tick(now)
            await asyncio.sleep(TICK_INTERVAL)
        await self._flush_claims()
        self.stopped.set()

    def _advance(self, now):
        before = self.phase
        self._lifecycle = lifecycle.advance(
            self._lifecycle, now, self._in_flight.snapshot()
        )
        if self.phase is not before:
            logging.info("lifecycle phase=stopped ground=%r", self._lifecycle.ground)
            self._trace_hooks.phase(self.phase)

    def announce(self, announcement):
        """Apply an `Announcement` of the backend server."""
        if not self._registry.announce(announcement, self._loop.time()):
            return
        self._lifecycle = lifecycle.set_backend_leaving(self._lifecycle, False)
        logging.info(
            "backend announced service=%s address=%s slots=%d",
            announcement.service,
            announcement.address,
            announcement.slots,
        )
        self._install(announcement)
        self._publish_membership(self._loop.time())

    def withdraw(self):
        """Drain the backend server: it finishes its requests and gets no new ones."""
        if not self._registry.withdraw():
            return
        logging.info("backend withdrawn, draining")
        self._lifecycle = lifecycle.set_backend_leaving(self._lifecycle, True)
        self._publish_membership(self._loop.time())

    def _expire_announcement(self, now):
        """Remove the backend server if its lease has expired."""
        if self._registry.expire(now):
            logging.warning("backend lease expired")
            self._install(None)
            self._membership.announce("", 0, lifecycle.is_leaving(self._lifecycle), now)

    def _publish_membership(self, now):
        announcement = self.announcement
        endpoint = self._membership.local_member.endpoint
        service = announcement.service if announcement else endpoint.service
        slots = announcement.slots if announcement else endpoint.slots
        leaving = lifecycle.is_leaving(self._lifecycle)
        self._membership.announce(service, slots, leaving, now)
        self._wake()

    def _find_claimer(self, service):
        """Return the claimer of a service, started by the service's first claim."""
        service_claimer = self._claimers.get(service)
        if service_claimer is None:
            service_claimer = claimer.Claimer(
                self._log,
                service,
                self._local_daemon,
                LogUnavailable,
                state=claims.Claims(
                    window=self._settings.key_window,
                    retention=self._settings.log_retention,
                ),
                trace_record=self._trace_hooks.claims,
            )
            self._claimers[service] = service_claimer
            self._claimer_tasks.add(self._loop.create_task(service_claimer.run()))
        return service_claimer

    async def _flush_claims(self):
        """Write the pending ends of claimed requests to the log, for a bounded time.

        If they are lost, callers only wait longer.
        """
        for service_claimer in self._claimers.values():
            try:
                async with asyncio.timeout(claimer.VERDICT_TIMEOUT):
                    await service_claimer.flush()
            except TimeoutError:
                logging.warning("claims not flushed: the log does not answer")
        for task in self._claimer_tasks:
            task.cancel()
