"""Tests of responses that go on without end until the client closes."""

import asyncio
import contextlib
import tracemalloc
import unittest
import unittest.mock

from whinwinch.http1 import bodies, client

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
WHOLE = OK + b"Content-Length: 2\r\n\r\nab"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 503 No\r\nX-Request-Id: other\r\nContent-Length: 0\r\n\r\n"
MAX_BODY_BYTES = 1 << 20
# Far beyond the time that the client may take to close the connection.
DEADLINE_SECONDS = 20.0
MAX_SECONDS = 3.0
# A machine has 200 MB for 81 and more responses at once.
MAX_MEMORY_BYTES = 2 << 20
MAX_DELAY_SECONDS = 0.5


def repeat(first, piece):
    """Return what is sent first, and the piece that is sent without end after it."""
    return first, piece * max(1, 16384 // len(piece))


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, first, piece):
        """Start a server that answers every second connection without end."""
        self.connections = 0

        async def serve(reader, writer):
            self.connections += 1
            is_endless = self.connections == 1
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(first if is_endless else WHOLE)
                    while is_endless and not writer.transport.is_closing():
                        writer.write(piece)
                        await writer.drain()
                        await asyncio.sleep(0)
            writer.transport.abort()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        self.pool = client.Pool("127.0.0.1", port, MAX_BODY_BYTES)
        self.addAsyncCleanup(self.end)

    async def end(self):
        self.pool.close()
        await asyncio.sleep(0.02)

    def send(self):
        until = asyncio.get_running_loop().time() + DEADLINE_SECONDS
        return self.pool.exchange(
            REQUEST,
            until,
            accepts=lambda response: ("X-Request-Id", "other") not in response.headers,
        )

    async def check(self, first, piece):
        """Check that the response is cut off while other requests are served."""
        await self.start(first, piece)
        loop = asyncio.get_running_loop()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        started = loop.time()
        endless = asyncio.create_task(self.send())
        delays = []
        while not endless.done():
            sent = loop.time()
            if self.connections:
                self.assertEqual((await self.send()).body, b"ab")
            delays.append(loop.time() - sent)
            await asyncio.sleep(0.001)
            self.assertLess(loop.time() - started, MAX_SECONDS)
        with self.assertRaises(client.BrokenError):
            await endless
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(peak, MAX_MEMORY_BYTES)
        self.assertLess(max(delays), MAX_DELAY_SECONDS)

    async def test_headers_without_end(self):
        await self.check(*repeat(OK, b"X-A: b\r\n"))

    async def test_one_header_without_end(self):
        await self.check(*repeat(OK + b"X-A: ", b"b"))

    async def test_reason_phrase_without_end(self):
        await self.check(*repeat(b"HTTP/1.1 200 ", b"OK"))

    async def test_interim_responses_without_end(self):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        await self.check(*repeat(b"", interim))

    async def test_trailers_without_end(self):
        await self.check(*repeat(CHUNKED + b"1\r\na\r\n0\r\n", b"X-A: b\r\n"))

    async def test_chunk_extension_without_end(self):
        await self.check(*repeat(CHUNKED + b"1;", b"a"))

    async def test_chunks_without_end(self):
        await self.check(*repeat(CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"))

    async def test_chunks_of_one_byte_without_end(self):
        await self.check(*repeat(CHUNKED, b"1\r\na\r\n"))

    async def test_body_up_to_the_close_without_end(self):
        await self.check(*repeat(OK + b"\r\n", b"a"))

    async def test_responses_to_other_requests_without_end(self):
        await self.check(*repeat(b"", OTHER))

    async def test_bytes_that_are_no_response_without_end(self):
        await self.check(*repeat(b"", b"garbage\r\n"))

    async def test_many_large_bodies_at_once(self):
        """Guards against bodies that are each allowed and fill the memory together."""
        limit = 3 * MAX_BODY_BYTES // 2
        with unittest.mock.patch.object(client, "MAX_PENDING_BODY_BYTES", limit):
            await self.start(b"", b"")
        self.connections = 10
        length = MAX_BODY_BYTES
        hold = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Content-Length: %d\r\n\r\n" % length)
            writer.write(b"a" * (length - 1))
            await hold.wait()
            writer.write(b"a")
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.pool._address = listener.sockets[0].getsockname()
        sends = [asyncio.create_task(self.send()) for _ in range(2)]
        done, _ = await asyncio.wait(sends, return_when=asyncio.FIRST_COMPLETED)
        self.assertIsInstance(done.pop().exception(), client.BrokenError)
        hold.set()
        results = await asyncio.gather(*sends, return_exceptions=True)
        whole = [r for r in results if not isinstance(r, Exception)]
        self.assertEqual([len(response.body) for response in whole], [length])
        self.assertEqual(len(whole), 1)
        self.assertEqual((await self.send()).status, 200)


class BodyBudgetTest(unittest.TestCase):
    def test_bytes_are_counted_until_they_are_given_back(self):
        budget = bodies.BodyBudget(10)
        self.assertTrue(budget.try_take(7))
        self.assertFalse(budget.try_take(4))
        budget.give_back(7)
        self.assertTrue(budget.try_take(10))


if __name__ == "__main__":
    unittest.main()
