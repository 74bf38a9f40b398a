"""Tests of the connections between daemons, while they break."""

import asyncio
import math
import unittest
import unittest.mock

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import events, reportedlevels
from whinwinch.daemons import exchange, frames, links
from whinwinch.logservice import keyed
from whinwinch.messages import (
    Answer,
    Endpoint,
    Importance,
    Load,
    Outcome,
    Reason,
    Request,
    build_failure,
)
from whinwinch.subsets import Reachability


def build_request(number, seconds=5.0):
    deadline = asyncio.get_running_loop().time() + seconds
    return Request(
        f"a{number}", "r", "s", "c", "GET", "/", Importance.HIGH, deadline, body=b"b"
    )


TEXT = st.text(max_size=20)
HEADERS = st.lists(st.tuples(TEXT, TEXT), max_size=3).map(tuple)
REQUESTS = st.builds(
    Request,
    attempt=TEXT,
    root=TEXT,
    service=TEXT,
    call=TEXT,
    method=TEXT,
    path=TEXT,
    importance=st.sampled_from(Importance),
    deadline=st.floats(0, 1000),
    due=st.floats(0, 1000) | st.just(math.inf),
    key=TEXT,
    budget=st.integers(0, 1000),
    caller=TEXT,
    via=st.lists(TEXT, max_size=3).map(tuple),
    headers=HEADERS,
    body=st.binary(max_size=20),
    repeatable=st.booleans(),
    again=st.booleans(),
)
COUNTS = st.integers(0, 99)
ANSWERS = st.builds(
    Answer,
    attempt=TEXT,
    outcome=st.sampled_from(Outcome),
    reason=st.sampled_from(Reason),
    status=st.integers(100, 599),
    headers=HEADERS,
    body=st.binary(max_size=20),
    unused=st.integers(0, 1000),
    retry_after=st.floats(0, 100),
    deeper=st.booleans(),
    offered=st.booleans(),
    load=st.builds(
        Load,
        level=st.floats(0, 4),
        below=st.floats(0, 4),
        in_service=COUNTS,
        waiting=COUNTS,
        limit=COUNTS,
    ),
)


class LinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.ran = []
        self.cancelled = []
        self.hold = asyncio.Event()
        self.hold.set()
        self.told = []
        self.levels = []
        self.tokens = ("",)
        self.shown = 0
        await self.start_called("d1", 0)
        hello = frames.Hello("caller-1", "127.0.0.1:1")
        self.peers = links.Peers(hello, lambda *news: self.told.append(news))
        self.peer = self.peers.find(f"127.0.0.1:{self.port}")
        self.keeping = asyncio.create_task(self.peers.keep())
        self.addAsyncCleanup(self.end)

    async def start_called(self, daemon, port):
        self.called = exchange.Exchange(
            frames.Hello(daemon, "127.0.0.1:2", "own-token"),
            self.serve,
            self.refuse,
            self.answer_gossip,
            self.admits,
            take_relayed=lambda *told: self.levels.append(told),
        )
        self.called.news = frames.News(Endpoint("x", "x", "s"))
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

    def admits(self, token):
        self.shown += 1
        return token in self.tokens

    async def answer_gossip(self, data):
        await self.hold.wait()
        if data == b"no gossip":
            raise ValueError("not understood")
        return data[::-1]

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

    async def test_a_wrong_token_runs_nothing(self):
        """A program that isn't of this mesh reaches the port for daemons."""
        self.tokens = ("token-of-the-mesh",)
        answer = await self.peer.call(build_request(1))
        self.assertIsNot(answer.outcome, Outcome.COMPLETED)
        with self.assertRaises(ConnectionError):
            await self.peer.ask(b"who is there?")
        self.assertEqual(self.ran, [])
        # Not as often as the network lets it: each costs both sides a connection.
        self.assertLess(self.shown, 2 * links.MOST_SHORT_LIVES)

    async def test_the_right_token_is_let_in_and_shown_to_nobody(self):
        self.tokens = ("token-of-the-mesh",)
        hello = frames.Hello("caller-2", "127.0.0.1:3", "token-of-the-mesh")
        peers = links.Peers(hello, lambda *news: None)
        self.addCleanup(peers.close)
        answer = await peers.find(f"127.0.0.1:{self.port}").call(build_request(1))
        self.assertIs(answer.outcome, Outcome.COMPLETED)
        self.assertEqual(self.called.hello.token, "")

    async def test_resets_in_a_row_leave_the_daemon_within_reach(self):
        """A switch resets connections again and again, for a fifth of a second.

        Held for a daemon that lets nobody in, its endpoint would be passed over,
        and calls would fail that find no other.
        """
        for _ in range(6):
            self.peer.connect()
            await self.wait_until(lambda: self.peer.is_up)
            self.abort_sessions()
            await self.wait_until(lambda: not self.peer.is_up)
            self.assertNotEqual(self.peer.reach, Reachability.BACKING_OFF)

    async def test_gossip_is_answered(self):
        answers = await asyncio.gather(self.peer.ask(b"abc"), self.peer.ask(b"12"))
        self.assertEqual(answers, [b"cba", b"21"])

    async def test_gossip_of_a_lost_connection_has_failed(self):
        """A switch resets the connection while gossip waits for its answer.

        Its sender must not wait for ever: the daemon would stop to probe.
        """
        self.hold.clear()
        asking = asyncio.create_task(self.peer.ask(b"abc"))
        await self.wait_until(lambda: self.called.sessions and self.peer.is_up)
        await asyncio.sleep(0.02)
        self.abort_sessions()
        with self.assertRaises(ConnectionError):
            await asking

    async def test_gossip_that_is_not_understood_ends_nothing(self):
        """A daemon of another version sends what this one can't read."""
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.peer.ask(b"no gossip")
        self.assertEqual(await self.peer.ask(b"abc"), b"cba")

    async def test_connections_that_nobody_uses_are_closed(self):
        """Gossip changes its partners for weeks, and instances are replaced."""
        await self.peer.call(build_request(1))
        now = asyncio.get_running_loop().time()
        self.peers.drop_unused(now + links.UNUSED_SECONDS)
        self.assertEqual(len(self.peers), 0)
        await self.wait_until(lambda: not self.called.sessions)

    async def test_departed_daemon_is_forgotten(self):
        """Instances are replaced by the hundred each day.

        Kept, their addresses would fill the memory and be tried for ever.
        """
        self.peers.find("127.0.0.1:9")
        self.peers.forget("127.0.0.1:9")
        self.assertEqual(len(self.peers), 1)

    async def test_news_and_levels(self):
        await self.peer.call(build_request(1))
        self.called.tell(frames.News(Endpoint("x", "x", "s", leaving=True)))
        cuts = (reportedlevels.RouteShedding("c", (1000, 500, 0, 0)),)
        self.called.tell_all(frames.LevelSum(True, cuts))
        await self.wait_until(lambda: len(self.told) == 3)
        leaving = [news.endpoint.leaving for _, news in self.told[:2]]
        self.assertEqual(leaving, [False, True])
        self.assertEqual(self.told[2][1], frames.LevelSum(True, cuts))

    async def test_levels_told_by_a_caller(self):
        """A daemon tells its relay its levels over its own connection.

        Lost there, the level of a full service would reach nobody.
        """
        levels = frames.Levels((("c", 1.5),))
        await self.peer.call(build_request(1))
        self.peer.tell(levels)
        await self.wait_until(lambda: self.levels)
        self.assertEqual(self.levels, [("127.0.0.1:1", levels)])

    async def test_only_those_that_want_it_are_told(self):
        await self.peer.call(build_request(1))
        told = len(self.told)
        whole = frames.LevelSum(True, ())
        self.called.tell_all(whole, lambda address: address != "127.0.0.1:1")
        self.called.tell_all(frames.LevelSum(False, ()))
        await self.wait_until(lambda: len(self.told) > told)
        self.assertEqual(self.told[told][1], frames.LevelSum(False, ()))


class FramesTest(unittest.TestCase):
    def test_bytes_that_are_no_message(self):
        """Something else connects to the port for daemons."""
        for data in (b"GET / HTTP/1.1\r\n", b"\x91\x63", b"\xc1", b"\x92\x01\x01"):
            with self.subTest(data), self.assertRaises(frames.FrameError):
                list(frames.decode_frames(frames.build_unpacker(), data, 0.0))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(REQUESTS)
    def test_a_request_survives_and_its_deadline_moves_to_the_other_clock(
        self, request
    ):
        data = frames.encode_frame(frames.Call(7, request), now=100.0)
        unpacker = frames.build_unpacker()
        (call,) = frames.decode_frames(unpacker, data, 5000.0)
        self.assertAlmostEqual(request.deadline + 4900.0, call.request.deadline)
        self.assertAlmostEqual(request.due + 4900.0, call.request.due)
        times = {"deadline": request.deadline, "due": request.due}
        self.assertEqual(request, call.request._replace(**times))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(ANSWERS)
    def test_an_answer_survives(self, answer):
        data = frames.encode_frame(frames.Reply(7, answer))
        (reply,) = frames.decode_frames(frames.build_unpacker(), data, 0.0)
        self.assertEqual(answer, reply.answer)

    def test_an_outcome_of_another_version_is_an_error(self):
        fields = ["a", 9, 0, 200, [], b"", 0, 0.0, False, [0.0, 0.0, 0, 0, 0], False]
        data = msgpack.packb((2, 7, fields))
        with self.assertRaises(frames.FrameError):
            list(frames.decode_frames(frames.build_unpacker(), data, 0.0))

    def test_topic_frames_that_are_garbage(self):
        """A peer with a fault sends records whose offsets or values are none.

        Taken, they would bring the copy of a topic to where the log never was.
        """
        number = frames.KINDS.index(frames.TopicRecords)
        end = frames.KINDS.index(frames.TopicEnd)
        for fields in (
            (end, "t", -1),
            (end, "t", "9"),
            (end, 7, 9),
            (end, "t"),
            (number, "t", 0, 5, [["k", "text", 1]]),
            (number, "t", 0, 5, [["k", b"v", -1]]),
            (number, "t", 0, 5, [["k", b"v"]]),
            (number, "t", 0, None, []),
        ):
            data = msgpack.packb(fields)
            with self.subTest(fields), self.assertRaises(frames.FrameError):
                list(frames.decode_frames(frames.build_unpacker(), data, 0.0))

    def test_records_of_a_topic_survive(self):
        record = keyed.Record("k", b"v", 4)
        sent = frames.TopicRecords("t", 2, 5, (record,))
        data = frames.encode_frame(sent)
        (got,) = frames.decode_frames(frames.build_unpacker(), data, 0.0)
        self.assertEqual(sent, got)

    def test_time_left_travels(self):
        request = Request(
            "a", "r", "s", "c", "GET", "/", Importance.LOW, 12.5, due=11.0
        )
        data = frames.encode_frame(frames.Call(1, request), 10.0)
        unpacker = frames.build_unpacker()
        halves = data[:10], data[10:]
        self.assertEqual(list(frames.decode_frames(unpacker, halves[0], 99.0)), [])
        (call,) = frames.decode_frames(unpacker, halves[1], 100.0)
        self.assertEqual(call.request, request._replace(deadline=102.5, due=101.0))
