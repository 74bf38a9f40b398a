"""Tests of the HTTP/1.1 server."""

import asyncio
import contextlib
import unittest

from whinwinch.http1 import messages, server

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
# More than the buffers of a socket hold.
LARGE_BODY_BYTES = 32 << 20


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.seen = []
        self.gates = {}
        self.cancelled = []
        # Body of each response, the target of its request by default.
        self.body = b""
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
        body = self.body or request.target.encode()
        return messages.HttpResponse(200, "OK", (), body)

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, data):
        """Send bytes and return all bytes received until the connection is closed."""
        reader, writer = await self.connect()
        writer.write(data)
        async with asyncio.timeout(10):
            return await reader.read()

    async def test_pipelined_responses_keep_their_order(self):
        """Three requests arrive at once, and the first takes longest.

        If the second response were sent first, the caller would match it to the
        first request.
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

    async def test_disconnecting_caller_cancels_its_request(self):
        """A caller closes its connection while its request is pending.

        Without the cancellation the work would continue although it is not needed.
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

    async def test_truncated_request_is_rejected(self):
        """A caller's connection ends in the middle of its request.

        If the part were passed on, the backend server would act on half an order. The
        caller, which can still read, must learn that nothing was run.
        """
        reader, writer = await self.connect()
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
        writer.write_eof()
        async with asyncio.timeout(10):
            answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.seen, [])

    async def test_invalid_input_gets_the_response_of_the_refuse_function(self):
        self.server.refuse = lambda status: messages.HttpResponse(
            status, "Refused", (), b"why"
        )
        answer = await self.exchange(b"\x16\x03\x01 hello\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400 Refused"))
        self.assertTrue(answer.endswith(b"why"))

    async def test_request_with_length_and_chunks_is_rejected(self):
        """A request states both a length and a chunked body (request smuggling).

        Two servers that each trust a different one read different requests.
        """
        answer = await self.exchange(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.seen, [])

    async def test_chunked_body_is_read_completely(self):
        await self.exchange(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"Connection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n"
        )
        self.assertEqual(self.seen[0].body, b"abc")

    async def test_request_that_is_too_large_is_rejected(self):
        """A caller sends more than the operator allows, which would use up memory."""
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 500 + b"\r\n\r\n"
        self.assertTrue((await self.exchange(head)).startswith(b"HTTP/1.1 431"))
        body = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"x" * 11
        self.assertTrue((await self.exchange(body)).startswith(b"HTTP/1.1 413"))
        self.assertEqual(self.seen, [])

    async def test_header_and_trailers_without_end_are_rejected(self):
        """Guards against a caller that sends one header until the memory is full."""
        chunked = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for first, piece in (
            (b"GET / HTTP/1.1\r\nHost: h\r\nX: ", b"x" * 100),
            (b"GET /", b"x" * 100),
            (chunked + b"0\r\n", b"X: y\r\n" * 20),
            (chunked + b"1;", b"x" * 100),
        ):
            reader, writer = await self.connect()
            writer.write(first)
            with contextlib.suppress(ConnectionError):
                for _ in range(20):
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.002)
            async with asyncio.timeout(5):
                answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 431"), (first, answer))
        self.assertEqual(self.seen, [])

    async def test_incomplete_headers_time_out(self):
        """A caller sends incomplete headers and then keeps its connection open."""
        answer = await self.exchange(b"GET / HTTP/1.1\r\nHost:")
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"))

    async def test_idle_connection_is_closed_after_the_timeout(self):
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.assertEqual(await self.exchange(b""), b"")
        self.assertGreaterEqual(loop.time() - began, 0.29)

    async def test_error_in_the_handler_is_answered(self):
        """The handler fails for one request; the next one must get a response too."""
        with self.assertLogs("absl", "ERROR"):
            answer = await self.exchange(
                b"GET /fault HTTP/1.1\r\nHost: h\r\n\r\n"
                b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"))
        self.assertTrue(answer.endswith(b"/2"))

    async def test_stop_completes_pending_requests(self):
        """The daemon stops while a request is pending on a keep-alive connection.

        If the connection closed without a response, the caller could not know whether
        the request had run.
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

    async def test_stop_answers_pipelined_requests_that_are_running(self):
        """Guards against work cut off behind the first answer of its connection."""
        self.gates["/1"], self.gates["/2"] = asyncio.Event(), asyncio.Event()
        reader, writer = await self.connect()
        writer.write(REQUEST % 1 + REQUEST % 2)
        while len(self.seen) < 2:
            await asyncio.sleep(0.001)
        self.server.begin_stop()
        self.gates["/1"].set()
        await reader.readuntil(b"/1")
        writer.write(REQUEST % 3)
        await asyncio.sleep(0.01)
        self.gates["/2"].set()
        async with asyncio.timeout(10):
            answer = await reader.read()
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertIn(b"Connection: close", answer)
        self.assertTrue(answer.endswith(b"/2"))
        self.assertEqual([request.target for request in self.seen], ["/1", "/2"])
        self.assertEqual(self.cancelled, [])

    async def test_answer_that_is_not_sent_yet_is_not_idle(self):
        """Guards against a stop that cuts off an answer that is read slowly."""
        self.body = b"x" * LARGE_BODY_BYTES
        reader, writer = await self.connect()
        writer.write(REQUEST % 1)
        await reader.readuntil(b"\r\n\r\n")
        self.server.begin_stop()
        self.assertFalse(self.server.is_idle)
        async with asyncio.timeout(10):
            answer = await reader.readexactly(LARGE_BODY_BYTES)
        self.assertEqual(answer, self.body)
        await asyncio.sleep(0.01)
        self.assertTrue(self.server.is_idle)
