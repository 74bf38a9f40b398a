"""Tests of requests that the backend server gets more than once."""

import asyncio
import unittest

from test.backends import rawservers
from whinwinch.messages import Outcome, Reason


class RepeatedSendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.arrivals = []
        # What the server writes at each arrival, in order.
        self.scripts = []

    async def start(self):
        self.server = rawservers.RawServer(self.answer)
        self.guard = rawservers.build_guard(await self.server.listen())
        self.addAsyncCleanup(self.server.close)
        self.addCleanup(self.guard.close)

    async def answer(self, identifier, connection, writer):
        self.arrivals.append(connection)
        for data in self.scripts[len(self.arrivals) - 1]:
            writer.write(data)
            await asyncio.sleep(0.02)

    def serve(self, attempt, identifier="q1", **changed):
        request = rawservers.build_attempt(attempt, identifier, **changed)
        return self.guard.serve(request)

    async def test_late_copy_of_a_refusal_is_not_the_answer_to_the_next_send(self):
        """Guards against telling a request as not run that the second send runs."""
        refusal = rawservers.build_refusal("q1")
        self.scripts = [(refusal,), (refusal, rawservers.build_success("q1"))]
        await self.start()
        first = await self.serve("a1")
        self.assertIs(first.reason, Reason.SHED)
        second = await self.serve("a2", again=True)
        self.assertIsNot(second.outcome, Outcome.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
