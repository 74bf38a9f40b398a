"""Event loop with a virtual clock that advances to the next timer."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances the clock by the timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("event loop has no timers and would wait forever")
        self.now += max(0.0, timeout)
        return super().select(0)


class JumpingLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock, for coroutines without sockets or threads."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the time of the virtual clock in seconds."""
        return self._jumping.now


def run_jumping(main):
    """Run a coroutine on a `JumpingLoop` and return its result."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        return runner.run(main)
