"""Tests of the connections between daemons, while they break."""

import asyncio
import unittest
import unittest.mock

from whinwinch import events
from whinwinch.daemons import exchange, frames, links
from whinwinch.messages import (
    Answer,
    Endpoint,
    Importance,
    Outcome,
    Reason,
    Request,
    build_failure,
)


def build_request(number, seconds=5.0):
    deadline = asyncio.get_running_loop().time() + seconds
    return Request(
        f"a{number}", "r", "s", "c", "GET", "/", Importance.HIGH, deadline, body=b"b"
    )


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.ran = []
        self.cancelled = []
        self.hold = asyncio.Event()
        self.hold.set()
        self.told = []
        await self.start_called("d1", 0)
        hello = frames.Hello("caller-1", "127.0.0.1:1")
        self.peers = links.Peers(hello, lambda *news: self.told.append(news))
        self.peer = self.peers.find(f"127.0.0.1:{self.port}")
        self.keeping = asyncio.create_task(self.peers.keep())
        self.addAsyncCleanup(self.end)

    async def start_called(self, daemon, port):
        self.called = exchange.Exchange(
            frames.Hello(daemon, "127.0.0.1:2"), self.serve, self.refuse
        )
        self.called.news = frames.News(Endpoint("x", "x", "s"), 3)
        self.port = await self.called.listen("127.0.0.1", port)
        self.forgetting = asyncio.create_task(self.called.keep())

    async def end(self):
        self.keeping.cancel()
        self.forgetting.cancel()
        self.peers.close()
        self.called.close()
        await asyncio.sleep(0.02)

    async def serve(self, request):
        self.ran.append(request.attempt)
        try:
            await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.attempt)
            raise
        return Answer(request.attempt, Outcome.COMPLETED, body=request.body)

    def refuse(self, request):
        return build_failure(request, Outcome.UNKNOWN, Reason.ABANDONED)

    async def wait_until(self, condition):
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)

    def abort_sessions(self):
        for session in tuple(self.called.sessions):
            session.transport.abort()

    async def test_calls_share_a_connection(self):
        answers = await asyncio.gather(
            *(self.peer.call(build_request(number)) for number in range(20))
        )
        attempts = [answer.attempt for answer in answers]
        self.assertEqual(attempts, [f"a{number}" for number in range(20)])
        self.assertEqual(len(self.called.sessions), 1)

    async def test_reset_connection_loses_and_repeats_nothing(self):
        """A switch resets the connection while calls are out on it.

        Callers would be told unknown of each payout, or it would run twice.
        """
        self.hold.clear()
        calls = [
            asyncio.create_task(self.peer.call(build_request(number)))
            for number in range(5)
        ]
        await self.wait_until(lambda: len(self.ran) == 5)
        self.abort_sessions()
        await asyncio.sleep(0.05)
        self.hold.set()
        answers = await asyncio.gather(*calls)
        self.assertTrue(all(each.outcome is Outcome.COMPLETED for each in answers))
        self.assertEqual(len(self.ran), 5)

    async def test_lost_and_regained_connections_are_logged(self):
        """A switch resets connections; on-call has to see which, and for how long."""
        written = unittest.mock.Mock(lost=0)
        events.install(written)
        self.addCleanup(events.install, events.Silence())
        await self.peer.call(build_request(1))
        self.hold.clear()
        asking = asyncio.create_task(self.peer.call(build_request(2)))
        await asyncio.sleep(0.02)
        for session in tuple(self.called.sessions):
            session.transport.abort()
        await asyncio.sleep(0.2)
        self.hold.set()
        await asking
        lines = [call.args[1] for call in written.sample.call_args_list]
        self.assertEqual([line.state for line in lines], ["lost", "regained"])
        self.assertEqual([line.calls for line in lines], [1, 1])

    async def test_answer_lost_with_its_connection_is_given_again(self):
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        self.abort_sessions()
        # The answer is ready before the caller is back.
        self.hold.set()
        self.assertIs((await call).outcome, Outcome.COMPLETED)
        self.assertEqual(self.ran, ["a1"])

    async def test_call_that_comes_again_after_it_was_forgotten(self):
        """A call that was held up for long comes when its answer is dropped.

        Run again, a payout would be made twice.
        """
        await self.peer.call(build_request(1))
        call = frames.Call(1, build_request(1))
        with unittest.mock.patch.object(exchange, "KEEP_SECONDS", 0.0):
            await asyncio.sleep(2 * exchange.TICK_SECONDS)
        self.called.take_call(self.called.find_caller("caller-1"), call)
        await asyncio.sleep(0.02)
        self.assertEqual(self.ran, ["a1"])

    async def test_cancelled_call_that_comes_late_is_not_run(self):
        """A call is held up in the network, and its cancellation comes first."""
        caller = self.called.find_caller("caller-1")
        self.called.cancel(caller, 7)
        self.called.take_call(caller, frames.Call(7, build_request(7)))
        await asyncio.sleep(0.02)
        self.assertEqual(self.ran, [])

    async def test_daemon_that_starts_anew(self):
        """The called daemon is killed and started while a call is out.

        The new one knows nothing of it: the outcome is unknown, and at once.
        """
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        port = self.port
        self.called.close()
        self.forgetting.cancel()
        await self.start_called("d2", port)
        answer = await call
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.ran, ["a1"])

    async def test_daemon_that_is_gone(self):
        """The called daemon is killed; nobody listens at its address any more."""
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        self.called.close()
        self.assertIs((await call).outcome, Outcome.UNKNOWN)
        answer = await self.peer.call(build_request(2))
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(answer.reason, Reason.NOT_SENT)

    async def test_caller_that_gives_up(self):
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        call.cancel()
        await self.wait_until(lambda: self.cancelled)
        self.assertEqual(self.cancelled, ["a1"])

    async def test_no_answer_by_the_deadline(self):
        # Connected before: else the time may be over before anything is sent.
        await self.peer.call(build_request(0))
        self.hold.clear()
        answer = await self.peer.call(build_request(1, 0.05))
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(answer.reason, Reason.DEADLINE)
        await self.wait_until(lambda: self.cancelled)

    async def test_silent_connection_is_replaced(self):
        """A connection falls silent without a reset; new ones work.

        Only an unanswered ping shows it. The call goes on over a new one.
        """
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        (session,) = self.called.sessions
        with unittest.mock.patch.object(session, "data_received", lambda data: None):
            session.transport.pause_reading()
            await self.wait_until(lambda: len(self.called.sessions - {session}))
        self.hold.set()
        self.assertIs((await call).outcome, Outcome.COMPLETED)
        self.assertEqual(self.ran, ["a1"])

    async def test_departed_daemon_is_forgotten(self):
        """Instances are replaced by the hundred each day.

        Kept, their addresses would fill the memory and be tried for ever.
        """
        self.peers.find("127.0.0.1:9")
        self.peers.forget("127.0.0.1:9")
        self.assertEqual(len(self.peers), 1)

    async def test_news_and_levels(self):
        await self.peer.call(build_request(1))
        self.called.tell(frames.News(Endpoint("x", "x", "s", leaving=True), 4))
        self.called.tell_all(frames.Levels((("c", 1.5),)))
        await self.wait_until(lambda: len(self.told) == 3)
        self.assertEqual([news.version for _, news in self.told[:2]], [3, 4])
        self.assertTrue(self.told[1][1].endpoint.leaving)
        self.assertEqual(self.told[2][1].levels, (("c", 1.5),))


class FramesTest(unittest.TestCase):
    def test_bytes_that_are_no_message(self):
        """Something else connects to the port for daemons."""
        for data in (b"GET / HTTP/1.1\r\n", b"\x91\x63", b"\xc1", b"\x92\x01\x01"):
            with self.subTest(data), self.assertRaises(frames.FrameError):
                list(frames.decode_frames(frames.build_unpacker(), data, 0.0))

    def test_time_left_travels(self):
        request = Request("a", "r", "s", "c", "GET", "/", Importance.LOW, 12.5)
        data = frames.encode_frame(frames.Call(1, request), 10.0)
        unpacker = frames.build_unpacker()
        halves = data[:10], data[10:]
        self.assertEqual(list(frames.decode_frames(unpacker, halves[0], 99.0)), [])
        (call,) = frames.decode_frames(unpacker, halves[1], 100.0)
        self.assertEqual(call.request, request._replace(deadline=102.5))
