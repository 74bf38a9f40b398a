"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the time that the loop would have waited."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now += max(0.0, timeout)
        return super().select(0)


class JumpingLoop(asyncio.SelectorEventLoop):
    """Event loop for work that needs no sockets and no threads."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the seconds that have passed on this clock."""
        return self._jumping.now


def run_jumping(main):
    """Run a coroutine on a `JumpingLoop` and return its result."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        return runner.run(main)
