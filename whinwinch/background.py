"""Work that goes on whatever becomes of whoever asked for it."""

import asyncio


class Background:
    """Tasks that are kept until they end; the event loop alone forgets them."""

    def __init__(self):
        self._tasks = set()

    def start(self, work):
        """Start a coroutine and return its task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run_to_end(self, work):
        """Return what a coroutine returns; it ends also where this is cancelled."""
        return await asyncio.shield(self.start(work))
