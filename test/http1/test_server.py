"""Tests of the serving side of HTTP/1.1."""

import asyncio
import unittest

from whinwinch.http1 import messages, server

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        self.gates = {}
        self.cancelled = []
        limits = server.Limits(
            header_bytes=400, body_bytes=10, header_seconds=0.2, idle_seconds=0.3
        )
        self.server = server.Server(self.answer, limits)
        self.port = await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.end_stop)

    async def answer(self, request, sender):
        self.seen.append(request)
        try:
            if request.target in self.gates:
                await self.gates[request.target].wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        if request.target == "/fault":
            raise RuntimeError("a fault of ours")
        return messages.HttpResponse(200, "OK", (), request.target.encode())

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data):
        """Send bytes and return all that comes until the connection is closed."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(10):
            return await reader.read()

    async def test_pipelined_answers_keep_their_order(self):
        """Three requests come at once and the first takes longest.

        Its caller would take the second answer for the first one's.
        """
        self.gates["/1"] = asyncio.Event()
        reader, writer = await self.connect()
        writer.write(REQUEST % 1 + REQUEST % 2 + REQUEST % 3)
        while len(self.seen) < 3:
            await asyncio.sleep(0.001)
        self.gates["/1"].set()
        bodies = []
        for _ in range(3):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"Content-Length: 2", head)
            bodies.append(await reader.readexactly(2))
        self.assertEqual(bodies, [b"/1", b"/2", b"/3"])

    async def test_caller_that_hangs_up_cancels_its_request(self):
        """A caller closes its connection while its request is out.

        Work for it would go on to the end, for nobody.
        """
        self.gates["/1"] = asyncio.Event()
        _, writer = await self.connect()
        writer.write(REQUEST % 1)
        while not self.seen:
            await asyncio.sleep(0.001)
        writer.close()
        while not self.cancelled:
            await asyncio.sleep(0.001)
        self.assertEqual(self.cancelled, ["/1"])

    async def test_request_cut_off_half_way_is_told_so(self):
        """A caller is cut off half way through its request.

        Handed on, the backend server would act on half an order; its caller, who
        can still read, learns that nothing was run.
        """
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
        writer.write_eof()
        async with asyncio.timeout(10):
            answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.seen, [])

    async def test_what_cannot_be_read_is_answered_in_the_form_asked_for(self):
        self.server.refuse = lambda status: messages.HttpResponse(
            status, "Refused", (), b"why"
        )
        answer = await self.exchange(b"\x16\x03\x01 hello\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400 Refused"))
        self.assertTrue(answer.endswith(b"why"))

    async def test_body_framed_in_two_ways_is_refused(self):
        """A request states a length and chunks, as one that smuggles another does.

        Two servers that believe different ones see different requests.
        """
        answer = await self.exchange(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.seen, [])

    async def test_chunked_body_is_whole(self):
        await self.exchange(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n"
        )
        self.assertEqual(self.seen[0].body, b"abc")

    async def test_too_large(self):
        """A caller sends more than the operator allows; the memory is bounded."""
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 500 + b"\r\n\r\n"
        self.assertTrue((await self.exchange(head)).startswith(b"HTTP/1.1 431"))
        body = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"x" * 11
        self.assertTrue((await self.exchange(body)).startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.seen, [])

    async def test_unfinished_head_ends(self):
        """A caller sends half a head and then nothing, and holds its connection."""
        answer = await self.exchange(b"GET / HTTP/1.1\r\nHost:")
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"))

    async def test_idle_connection_is_closed_after_its_time(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.assertEqual(await self.exchange(b""), b"")
        self.assertGreaterEqual(loop.time() - began, 0.29)

    async def test_fault_of_ours_is_answered(self):
        """A request meets a fault in the daemon; the next one needs an answer too."""
        with self.assertLogs("absl", "ERROR"):
            answer = await self.exchange(
                b"GET /fault HTTP/1.1\r\nHost: h\r\n\r\n"
                b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"))
        self.assertTrue(answer.endswith(b"/2"))

    async def test_stop_answers_what_was_read(self):
        """The daemon is told to stop while a request is out on a kept connection.

        Closed without an answer, nobody could say whether the request had run.
        """
        self.gates["/1"] = asyncio.Event()
        reader, writer = await self.connect()
        writer.write(REQUEST % 1)
        while not self.seen:
            await asyncio.sleep(0.001)
        self.server.begin_stop()
        self.server.end_stop()
        self.gates["/1"].set()
        answer = await reader.read()
        self.assertIn(b"Connection: close", answer)
        self.assertTrue(answer.endswith(b"/1"))
