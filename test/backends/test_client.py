"""Tests of the client that sends attempts to a backend server of the product."""

import asyncio
import unittest

from test import requests
from test.backends import rawservers
from whinwinch.backends import client
from whinwinch.http1.messages import find_header
from whinwinch.messages import Outcome

MAX_BODY_BYTES = 1 << 16


class BackendClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = rawservers.RawServer(self.answer)
        port = await self.server.listen()
        self.client = client.BackendClient(f"127.0.0.1:{port}", MAX_BODY_BYTES)
        self.is_echoing = True
        self.last = b""
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.client.close()
        await self.server.close()

    async def answer(self, identifier, connection, writer):
        """Answer a request, behind a late second copy of the answer before."""
        writer.write(self.last)
        echoed = identifier if self.is_echoing else ""
        answer = rawservers.build_attempt_response(echoed, identifier.encode())
        self.last = answer
        writer.write(answer)

    async def send(self, attempt):
        deadline = asyncio.get_running_loop().time() + 5.0
        return await self.client.forward(requests.build(attempt, deadline=deadline), 5)

    async def test_late_copy_is_not_the_answer_of_the_next_attempt(self):
        """Guards against an answer that belongs to another request."""
        for attempt in ("first", "second", "third"):
            answer = await self.send(attempt)
            self.assertIs(answer.outcome, Outcome.COMPLETED)
            self.assertEqual(answer.body, attempt.encode())
            self.assertEqual(find_header(answer.headers, client.ATTEMPT), "")

    async def test_connection_of_an_answer_that_names_no_attempt_is_not_used_again(
        self,
    ):
        """Guards against a copy that can't be told from the next answer."""
        for is_echoing, connections in ((True, 1), (True, 1), (False, 1), (False, 2)):
            self.is_echoing = is_echoing
            self.last = b""
            await self.send("attempt")
            self.assertEqual(self.server.connections, connections)
