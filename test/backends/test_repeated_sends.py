"""Tests of requests that the backend server gets more than once."""

import asyncio
import unittest
import unittest.mock

from test.backends import rawservers
from whinwinch.backends import refusals
from whinwinch.messages import Outcome, Reason


class RepeatedSendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Number of the connection of each arrival.
        self.arrivals = []
        # Late copies of refusals, by the connection that they come over.
        self.copies = {}
        self.refused_arrivals = 1
        self.server = rawservers.RawServer(self.answer)
        self.guard = rawservers.build_guard(await self.server.listen())
        self.addAsyncCleanup(self.server.close)
        self.addCleanup(self.guard.close)

    async def answer(self, identifier, connection, writer):
        """Turn down the first arrivals, and send a late copy of each refusal."""
        self.arrivals.append(connection)
        writer.write(self.copies.pop(connection, b""))
        if len(self.arrivals) <= self.refused_arrivals:
            self.copies[connection] = rawservers.build_refusal(identifier)
            writer.write(self.copies[connection])
            return
        await asyncio.sleep(0.02)
        writer.write(rawservers.build_success(identifier))

    def serve(self, attempt, identifier="q1", **changed):
        request = rawservers.build_attempt(attempt, identifier, **changed)
        return self.guard.serve(request)

    async def test_late_copy_of_a_refusal_is_not_the_answer_to_the_next_send(self):
        """Guards against telling a request as not run that the second send runs."""
        first = await self.serve("a1")
        self.assertIs(first.reason, Reason.SHED)
        second = await self.serve("a2", again=True)
        self.assertIs(second.outcome, Outcome.COMPLETED)

    async def test_request_is_not_sent_over_a_connection_that_refused_it(self):
        self.refused_arrivals = 2
        for number in range(3):
            await self.serve(f"a{number}", again=number > 0)
        self.assertEqual(self.arrivals, [1, 2, 3])
        await self.serve("b", "q2")
        self.assertEqual(self.arrivals[3:], [3])

    async def test_connection_is_closed_when_its_refusal_cannot_be_remembered(self):
        """Guards against a flood of refusals that empties the memory of them."""
        full = refusals.RefusalMemory(max_requests=0)
        with unittest.mock.patch.object(self.guard._connections, "_refusals", full):
            await self.serve("a1")
            await self.serve("a2", again=True)
        self.assertEqual(self.arrivals, [1, 2])

    async def test_refusal_without_an_identifier_proves_nothing(self):
        """Guards against telling a request as not run by an answer to anybody's."""
        self.copies[1] = rawservers.build_refusal("")
        self.refused_arrivals = 0
        started = asyncio.get_running_loop().time()
        answer = await self.serve("a1")
        self.assertEqual(
            (answer.outcome, answer.reason), (Outcome.UNKNOWN, Reason.BROKEN)
        )
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)
        self.assertIs((await self.serve("a2", "q2")).outcome, Outcome.COMPLETED)
        self.assertNotEqual(self.arrivals[0], self.arrivals[1])

    async def test_connection_of_a_request_without_an_identifier_is_not_used_again(
        self,
    ):
        """Guards against late copies of answers that tell no request."""
        self.refused_arrivals = 1
        refused = await self.serve("a1", "")
        self.assertIs(refused.reason, Reason.SHED)
        self.assertIs((await self.serve("a2", "q2")).outcome, Outcome.COMPLETED)
        self.assertEqual(self.arrivals, [1, 2])


if __name__ == "__main__":
    unittest.main()
