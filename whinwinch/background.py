"""Background tasks that run to completion even if their starter is cancelled."""

import asyncio


class Background:
    """Set of running tasks, kept because the event loop has only weak references."""

    def __init__(self):
        self._tasks = set()

    def start(self, work):
        """Start a coroutine and return its task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run_to_end(self, work):
        """Return a coroutine's result; it continues if the wait is cancelled."""
        return await asyncio.shield(self.start(work))
