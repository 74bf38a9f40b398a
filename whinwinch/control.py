"""State of a daemon: backend server, lifecycle, claims."""

import asyncio

from absl import logging

from . import claims, lifecycle, messages
from .backends.registry import Registry
from .lifecycle import Phase
from .logservice import claimer
from .logservice.client import LogUnavailable

TICK_INTERVAL = 0.25


class Control:
    """What the daemon beside a backend server knows of it and of itself.

    Args:
        loop: The event loop.
        settings: `settings.Settings`.
        own: Identifier of this daemon, new at every start.
        membership: `membership.Membership`.
        log: `logservice.client.LogClient`.
        in_flight: `inflight.InFlightCounter`.
        tick: Called at every tick with the loop's time.
        count_claim: Called with the verdict on each claim, as text.
        trace_hooks: `recording.TraceHooks` for a trace.
    """

    def __init__(
        self,
        loop,
        settings,
        own,
        membership,
        log,
        in_flight,
        tick,
        count_claim,
        trace_hooks,
    ):
        self._loop = loop
        self._settings = settings
        self._own = own
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
        self._let_go = None
        self.stopped = asyncio.Event()

    def connect(self, install, wake, let_go):
        """Say who is told of changes.

        Args:
            install: Takes the new `Announcement` or None: the gatekeeper.
            wake: Lets gossip tell the news at once instead of with its next
                probe, so that callers needn't be refused by who leaves.
            let_go: Lets callers open their next connection elsewhere, once this
                daemon leaves.
        """
        self._install = install
        self._wake = wake
        self._let_go = let_go

    @property
    def announcement(self):
        """The present announcement, or None."""
        return self._registry.announcement

    @property
    def phase(self):
        """The daemon's `lifecycle.Phase`."""
        return self._lifecycle.phase

    def admits(self, direction):
        """Return whether work of a `lifecycle.Direction` is taken."""
        return lifecycle.admits(self._lifecycle, direction)

    async def claim(self, request):
        """Return the log's verdict on a claim."""
        task = self._find_claimer(request.service)
        verdict = await task.claim(request.key, request.attempt, request.deadline)
        self._count_claim(verdict.verdict.value)
        return verdict

    def note_end(self, request, answer):
        """Note in the log how claimed work ended."""
        task = self._find_claimer(request.service)
        if answer.outcome is messages.Outcome.NOT_RUN:
            task.release(request.key, request.attempt)
        elif answer.outcome is messages.Outcome.COMPLETED:
            task.note_done(request.key, request.attempt, answer.status)

    def begin_leaving(self):
        """Take no new work, finish what is in flight, then stop."""
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
        self._let_go()
        self._publish_membership(now)

    async def run(self):
        """Do at every tick what is due, until the daemon has stopped."""
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
        """Take an announcement of the backend server."""
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
        """Take that the backend server drains: no new work, but it ends its own."""
        if not self._registry.withdraw():
            return
        logging.info("backend withdrawn")
        self._lifecycle = lifecycle.set_backend_leaving(self._lifecycle, True)
        self._publish_membership(self._loop.time())

    def _expire_announcement(self, now):
        """Forget a backend server that has stopped announcing itself."""
        if self._registry.expire(now):
            logging.warning("backend lease expired")
            self._install(None)
            self._membership.announce("", 0, lifecycle.is_leaving(self._lifecycle), now)

    def _publish_membership(self, now):
        announcement = self.announcement
        own = self._membership.local_member.endpoint
        service = announcement.service if announcement else own.service
        slots = announcement.slots if announcement else own.slots
        leaving = lifecycle.is_leaving(self._lifecycle)
        self._membership.announce(service, slots, leaving, now)
        self._wake()

    def _find_claimer(self, service):
        """Return the claimer of a service; it costs nothing before its first claim."""
        found = self._claimers.get(service)
        if found is None:
            found = claimer.Claimer(
                self._log,
                service,
                self._own,
                LogUnavailable,
                state=claims.Claims(
                    window=self._settings.key_window,
                    retention=self._settings.log_retention,
                ),
                note=self._trace_hooks.claims,
            )
            self._claimers[service] = found
            self._claimer_tasks.add(self._loop.create_task(found.run()))
        return found

    async def _flush_claims(self):
        """Write the last notes, for a bounded time: they only spare callers waits."""
        for found in self._claimers.values():
            try:
                async with asyncio.timeout(claimer.PATIENCE):
                    await found.flush()
            except TimeoutError:
                logging.warning("claims not flushed: the log does not answer")
        for task in self._claimer_tasks:
            task.cancel()
