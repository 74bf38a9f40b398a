"""Tests of the log lines that trace one request's attempts at the backend server."""

import unittest
import unittest.mock

from test.backends import rawservers
from whinwinch import events
from whinwinch.messages import Outcome


class TraceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = unittest.mock.Mock(lost=0)
        events.install(self.log)
        self.addCleanup(events.install, events.NullLog())

    async def start(self, answer):
        server = rawservers.RawServer(answer)
        self.guard = rawservers.build_guard(await server.listen())
        self.addAsyncCleanup(server.close)
        self.addCleanup(self.guard.close)

    def read(self, kind):
        calls = self.log.sample.call_args_list
        return [call.args[1] for call in calls if call.args[0] == kind]

    async def test_each_send_of_a_repeated_request_is_logged(self):
        async def answer(identifier, connection, writer):
            is_first = not self.read("exchanged")
            build = rawservers.build_refusal if is_first else rawservers.build_success
            writer.write(build(identifier))

        await self.start(answer)
        await self.guard.serve(rawservers.build_attempt("a1", "q1"))
        await self.guard.serve(rawservers.build_attempt("a2", "q1", again=True))
        first, second = self.read("exchanged")
        self.assertEqual((first.request, first.attempt, first.use), ("q1", "a1", 1))
        self.assertEqual((first.outcome, first.reason), ("not-run", "backend-shed"))
        self.assertEqual((second.request, second.attempt), ("q1", "a2"))
        self.assertEqual((second.outcome, second.repeated), ("completed", True))
        self.assertEqual({first.backend, second.backend}, {rawservers.IDENTITY})

    async def test_request_that_is_served_at_once_is_not_logged(self):
        async def answer(identifier, connection, writer):
            writer.write(rawservers.build_success(identifier))

        await self.start(answer)
        await self.guard.serve(rawservers.build_attempt("a1", "q1"))
        self.assertEqual(self.read("exchanged"), [])

    async def test_dropped_answer_is_logged_and_counted(self):
        """Guards against answers that are thrown away without a trace."""

        async def answer(identifier, connection, writer):
            writer.write(rawservers.build_refusal("q0"))
            writer.write(rawservers.build_success(identifier))

        await self.start(answer)
        served = await self.guard.serve(rawservers.build_attempt("a1", "q1"))
        self.assertIs(served.outcome, Outcome.COMPLETED)
        (dropped,) = self.read("dropped")
        self.assertEqual((dropped.request, dropped.answered), ("q1", "q0"))
        self.assertEqual(dropped.status, 503)
        self.assertGreater(dropped.connection, 0)
        self.assertEqual(self.guard.dropped_answers, 1)


if __name__ == "__main__":
    unittest.main()
