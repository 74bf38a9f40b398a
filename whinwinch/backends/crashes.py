"""Detection of crashes of the local backend server.

A connection that breaks may have been reset, or the backend server may have crashed.
After a crash its address refuses connections until another process listens there.
"""

import asyncio

# Seconds until an attempt to connect proves nothing. On the local instance a refusal
# takes less than a millisecond.
PROBE_TIMEOUT = 0.1


class CrashDetector:
    """The requests in flight at one backend server, and whether it has crashed.

    Args:
        address: `settings.Address` of the backend server.
        handle_crash: Function called once for each crash, with the `interface.Backend`
            and the tuple of the `messages.Request` in flight.
    """

    def __init__(self, address, handle_crash):
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._handle_crash = handle_crash
        self._in_flight = {}
        # The `interface.Backend` that crashed last, None once one has answered.
        self._crashed = None
        self._check = None

    def start(self, request):
        """Record that a request is sent to the backend server."""
        self._in_flight[request.attempt] = request

    def end(self, request):
        """Record that a request was answered or can't be answered any more."""
        self._in_flight.pop(request.attempt, None)

    async def wait_for_check(self):
        """Wait until the check in progress has ended, if there is one."""
        if self._check is not None:
            await asyncio.shield(self._check)

    def record_answer(self):
        """Record an answer of the present backend server: it has not crashed.

        A backend server may refuse connections for a moment because it has too many.
        """
        self._crashed = None

    def has_crashed(self, backend):
        """Return whether a backend server is known to have crashed."""
        return self._crashed is not None and self._crashed.is_same_process(backend)

    async def check(self, backend):
        """Return whether a backend server, to which a connection broke, has crashed.

        All requests whose connections break at the same time share one check.
        """
        if self.has_crashed(backend):
            return True
        if self._check is None:
            self._check = self._loop.create_task(self._run_check(backend))
            self._check.add_done_callback(self._forget_check)
        return await asyncio.shield(self._check)

    async def _run_check(self, backend):
        if not await self._is_refused():
            return False
        self._crashed = backend
        self._handle_crash(backend, tuple(self._in_flight.values()))
        return True

    async def _is_refused(self):
        """Return whether the address refuses connections."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                transport, _ = await self._loop.create_connection(
                    asyncio.Protocol, *self._address
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # Neither proves that the process has ended: the connection may have been
            # reset for too many others, or the instance may be busy.
            return False
        transport.abort()
        return False

    def _forget_check(self, _):
        self._check = None
