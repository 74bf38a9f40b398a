"""Tests of the connections between daemons, also when they break."""

import asyncio
import math
import unittest
import unittest.mock

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import callgraph, events, reportedlevels
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
from whinwinch.reportedlevels import NO_SHED_SHARES
from whinwinch.subsets import Reachability
from whinwinch.workspaces import usages


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
    calls_left=st.integers(0, callgraph.MAX_CALLS_LEFT),
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
    unused_retries=st.integers(0, 1000),
    retry_after=st.floats(0, 100),
    from_downstream=st.booleans(),
    reached_backend=st.booleans(),
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
        self.at_work = set()
        self.cancelled = []
        self.hold = asyncio.Event()
        self.hold.set()
        self.reports = []
        self.levels = []
        self.tokens = ("",)
        self.token_checks = 0
        await self.start_called("d1", 0)
        hello = frames.Hello("caller-1", "127.0.0.1:1")
        self.peers = links.Peers(hello, lambda *news: self.reports.append(news))
        self.peer = self.peers.find(f"127.0.0.1:{self.port}")
        self.keeping = asyncio.create_task(self.peers.check_periodically())
        self.addAsyncCleanup(self.end)

    async def start_called(self, daemon, port):
        self.called = exchange.Exchange(
            frames.Hello(daemon, "127.0.0.1:2", "own-token"),
            self.serve,
            self.refuse,
            self.answer_gossip,
            self.admits,
            handle_relayed=lambda *report: self.levels.append(report),
            is_at_work=lambda attempt: attempt in self.at_work,
        )
        self.called.news = frames.News(Endpoint("x", "x", "s"))
        self.port = await self.called.listen("127.0.0.1", port)
        self.forgetting = asyncio.create_task(self.called.clean_up_periodically())

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
        self.token_checks += 1
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

    async def test_invalid_address_is_tried_less_and_less_often(self):
        """Guards against a traceback for each attempt, without bound."""
        for address in ("x", "127.0.0.1:70000", "127.0.0.1:-1", f"{150 * 'a'}:1"):
            with self.subTest(address):
                peer = self.peers.find(address)
                self.assertFalse(await peer._wait_connected(1.0))
                first = peer._backoff
                self.assertGreater(first, 0.0)
                await asyncio.sleep(1.1 * first)
                self.assertFalse(await peer._wait_connected(1.0))
                self.assertGreater(peer._backoff, first)

    async def test_calls_share_a_connection(self):
        answers = await asyncio.gather(
            *(self.peer.call(build_request(number)) for number in range(20))
        )
        attempts = [answer.attempt for answer in answers]
        self.assertEqual(attempts, [f"a{number}" for number in range(20)])
        self.assertEqual(len(self.called.sessions), 1)

    async def test_reset_connection_loses_and_repeats_nothing(self):
        """A switch resets the connection while calls are pending on it.

        Without resuming the calls, each payout would be reported as unknown or would
        run twice.
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
        """A switch resets connections; operators must see which, and for how long."""
        written = unittest.mock.Mock(lost=0)
        events.install(written)
        self.addCleanup(events.install, events.NullLog())
        await self.peer.call(build_request(1))
        self.hold.clear()
        pending = asyncio.create_task(self.peer.call(build_request(2)))
        await asyncio.sleep(0.02)
        for session in tuple(self.called.sessions):
            session.transport.abort()
        await asyncio.sleep(0.2)
        self.hold.set()
        await pending
        logged = [call.args[1] for call in written.sample.call_args_list]
        self.assertEqual([event.state for event in logged], ["lost", "regained"])
        self.assertEqual([event.calls for event in logged], [1, 1])

    async def test_call_of_a_payout_that_is_sent_again_is_logged(self):
        written = unittest.mock.Mock(lost=0)
        events.install(written)
        self.addCleanup(events.install, events.NullLog())
        self.hold.clear()
        request = build_request(1)._replace(repeatable=False)
        call = asyncio.create_task(self.peer.call(request))
        await self.wait_until(lambda: self.ran)
        self.abort_sessions()
        self.hold.set()
        await call
        logged = [c.args[1] for c in written.sample.call_args_list]
        (resent,) = [event for event in logged if hasattr(event, "endpoint")]
        self.assertEqual((resent.attempt, resent.endpoint), ("a1", self.peer.address))

    async def test_answer_lost_with_its_connection_is_sent_again(self):
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        self.abort_sessions()
        # The answer is ready before the caller has reconnected.
        self.hold.set()
        self.assertIs((await call).outcome, Outcome.COMPLETED)
        self.assertEqual(self.ran, ["a1"])

    async def test_call_repeated_after_its_record_was_dropped_is_not_run(self):
        """A delayed copy of a call arrives after the record of the call was dropped.

        If it ran again, a payout would be made twice.
        """
        await self.peer.call(build_request(1))
        call = frames.Call(1, build_request(1))
        with unittest.mock.patch.object(exchange, "REPLY_RETENTION_SECONDS", 0.0):
            await asyncio.sleep(2 * exchange.CLEANUP_INTERVAL_SECONDS)
        self.called.handle_call(self.called.get_or_create_caller("caller-1"), call)
        await asyncio.sleep(0.02)
        self.assertEqual(self.ran, ["a1"])

    async def test_payout_whose_caller_was_away_for_long_is_not_run_again(self):
        """Guards against a frozen caller that sends a forgotten call again."""
        self.hold.clear()
        payout = build_request(1)._replace(repeatable=False)
        call = asyncio.create_task(self.peer.call(payout))
        await self.wait_until(lambda: self.ran)
        with (
            unittest.mock.patch.object(self.peer, "connect"),
            unittest.mock.patch.object(links, "RESUME_TIMEOUT", 60.0),
            unittest.mock.patch.object(exchange, "REPLY_RETENTION_SECONDS", 0.0),
            unittest.mock.patch.object(exchange, "CALLER_ABSENCE_SECONDS", 0.0),
        ):
            self.abort_sessions()
            self.hold.set()
            await asyncio.sleep(3 * exchange.CLEANUP_INTERVAL_SECONDS)
        with unittest.mock.patch.object(links, "RESUME_TIMEOUT", 60.0):
            answer = await call
        self.assertEqual(self.ran, ["a1"])
        self.assertEqual(answer.reason, Reason.ABANDONED)

    async def test_payout_that_runs_while_its_caller_is_away_is_answered(self):
        """Guards against an answer that is lost though its caller comes back for it."""
        self.hold.clear()
        payout = build_request(1, 2.0)._replace(repeatable=False)
        call = asyncio.create_task(self.peer.call(payout))
        await self.wait_until(lambda: self.ran)
        self.at_work.update(self.ran)
        with (
            unittest.mock.patch.object(self.peer, "connect"),
            unittest.mock.patch.object(links, "RESUME_TIMEOUT", 60.0),
            unittest.mock.patch.object(exchange, "CALLER_ABSENCE_SECONDS", 0.0),
        ):
            self.abort_sessions()
            await asyncio.sleep(2 * exchange.CLEANUP_INTERVAL_SECONDS)
        self.hold.set()
        with unittest.mock.patch.object(links, "RESUME_TIMEOUT", 60.0):
            answer = await call
        self.assertIs(answer.outcome, Outcome.COMPLETED)
        self.assertEqual(self.ran, ["a1"])

    async def test_work_of_an_absent_caller_that_has_not_begun_is_cancelled(self):
        """Guards against slots that are used for work that nobody waits for."""
        self.hold.clear()
        payout = build_request(1, 2.0)._replace(repeatable=False)
        call = asyncio.create_task(self.peer.call(payout))
        await self.wait_until(lambda: self.ran)
        with (
            unittest.mock.patch.object(self.peer, "connect"),
            unittest.mock.patch.object(links, "RESUME_TIMEOUT", 60.0),
            unittest.mock.patch.object(exchange, "CALLER_ABSENCE_SECONDS", 0.0),
        ):
            self.abort_sessions()
            await self.wait_until(lambda: self.cancelled)
        call.cancel()

    async def test_absent_caller_is_forgotten_after_its_deadlines(self):
        """Guards against memory that grows with each daemon that ever called."""
        await self.peer.call(build_request(1, 0.3))
        with (
            unittest.mock.patch.object(exchange, "REPLY_RETENTION_SECONDS", 0.0),
            unittest.mock.patch.object(exchange, "CALLER_ABSENCE_SECONDS", 0.0),
        ):
            self.abort_sessions()
            await self.wait_until(lambda: not self.called._callers)

    async def test_first_call_after_an_unused_connection_was_closed_is_run(self):
        """Guards against a call that is told as possibly run for its reused number."""
        await self.peer.call(build_request(1))
        with unittest.mock.patch.object(exchange, "REPLY_RETENTION_SECONDS", 0.0):
            await asyncio.sleep(2 * exchange.CLEANUP_INTERVAL_SECONDS)
        loop = asyncio.get_running_loop()
        self.peers.drop_unused(loop.time() + 2 * links.UNUSED_TIMEOUT)
        answer = await self.peers.find(self.peer.address).call(build_request(2))
        self.assertIs(answer.outcome, Outcome.COMPLETED)

    async def test_call_that_ends_in_an_error_is_not_run_again(self):
        """Guards against an error behind the run that leaves no record of it."""
        self.hold = None
        caller = self.called.get_or_create_caller("caller-9")
        with self.assertLogs(level="ERROR"):
            for _ in range(2):
                self.called.handle_call(caller, frames.Call(1, build_request(1)))
                await asyncio.sleep(0.02)
        self.assertEqual(self.ran, ["a1"])
        self.assertEqual(self.called.running, 0)

    async def test_call_cancelled_before_it_starts_is_forgotten(self):
        """Guards against a stop that waits for a call which nobody runs."""
        caller = self.called.get_or_create_caller("d9")
        self.called.handle_call(caller, frames.Call(7, build_request(1)))
        self.called.cancel(caller, 7)
        await asyncio.sleep(0.01)
        self.assertEqual((self.called.running, self.ran), (0, []))

    async def test_call_that_arrives_after_its_cancellation_is_not_run(self):
        """A call is delayed in the network, and its cancellation arrives first."""
        caller = self.called.get_or_create_caller("caller-1")
        self.called.cancel(caller, 7)
        self.called.handle_call(caller, frames.Call(7, build_request(7)))
        await asyncio.sleep(0.02)
        self.assertEqual(self.ran, [])

    async def test_call_to_a_daemon_that_restarts_is_unknown(self):
        """The called daemon is killed and restarted while a call is pending.

        The new process has no record of the call, so its outcome must be reported as
        unknown at once.
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

    async def test_calls_to_a_daemon_that_is_gone(self):
        """The called daemon is killed, and nothing listens at its address any more.

        The pending call is unknown; a later one is reported as not run.
        """
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        self.called.close()
        self.assertIs((await call).outcome, Outcome.UNKNOWN)
        answer = await self.peer.call(build_request(2))
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual(answer.reason, Reason.NOT_SENT)

    async def test_cancelled_call_is_cancelled_at_the_called_daemon(self):
        self.hold.clear()
        call = asyncio.create_task(self.peer.call(build_request(1)))
        await self.wait_until(lambda: self.ran)
        call.cancel()
        await self.wait_until(lambda: self.cancelled)
        self.assertEqual(self.cancelled, ["a1"])

    async def test_call_without_an_answer_by_the_deadline_is_unknown(self):
        # Connect first: otherwise the deadline may pass before anything is sent.
        await self.peer.call(build_request(0))
        self.hold.clear()
        answer = await self.peer.call(build_request(1, 0.05))
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(answer.reason, Reason.DEADLINE)
        await self.wait_until(lambda: self.cancelled)

    async def test_silent_connection_is_replaced(self):
        """A connection falls silent without a reset, while new ones work.

        Only an unanswered ping reveals this. The call must continue on a new one.
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

    async def test_calls_with_a_wrong_token_are_not_run(self):
        """A program that doesn't belong to the mesh connects to the peer port."""
        self.tokens = ("token-of-the-mesh",)
        answer = await self.peer.call(build_request(1))
        self.assertIsNot(answer.outcome, Outcome.COMPLETED)
        with self.assertRaises(ConnectionError):
            await self.peer.send_gossip(b"who is there?")
        self.assertEqual(self.ran, [])
        # The caller must back off, since each attempt costs both sides a connection.
        self.assertLess(self.token_checks, 2 * links.MAX_SHORT_CONNECTIONS)

    async def test_the_right_token_is_accepted_and_not_sent_to_callers(self):
        self.tokens = ("token-of-the-mesh",)
        hello = frames.Hello("caller-2", "127.0.0.1:3", "token-of-the-mesh")
        peers = links.Peers(hello, lambda *news: None)
        self.addCleanup(peers.close)
        answer = await peers.find(f"127.0.0.1:{self.port}").call(build_request(1))
        self.assertIs(answer.outcome, Outcome.COMPLETED)
        self.assertEqual(self.called.hello.token, "")

    async def test_consecutive_resets_cause_no_backoff(self):
        """A switch resets connections repeatedly for a fifth of a second.

        If the daemon were treated like one that rejects connections, its endpoint
        would be excluded, and calls without another endpoint would fail.
        """
        for _ in range(6):
            self.peer.connect()
            await self.wait_until(lambda: self.peer.is_up)
            self.abort_sessions()
            await self.wait_until(lambda: not self.peer.is_up)
            self.assertNotEqual(self.peer.reachability, Reachability.BACKING_OFF)

    async def test_gossip_is_answered(self):
        answers = await asyncio.gather(
            self.peer.send_gossip(b"abc"), self.peer.send_gossip(b"12")
        )
        self.assertEqual(answers, [b"cba", b"21"])

    async def test_pending_gossip_fails_when_its_connection_is_lost(self):
        """A switch resets the connection while a gossip message awaits its answer.

        If its sender waited for ever, the daemon would stop probing.
        """
        self.hold.clear()
        pending = asyncio.create_task(self.peer.send_gossip(b"abc"))
        await self.wait_until(lambda: self.called.sessions and self.peer.is_up)
        await asyncio.sleep(0.02)
        self.abort_sessions()
        with self.assertRaises(ConnectionError):
            await pending

    async def test_invalid_gossip_does_not_end_the_connection(self):
        """A daemon of another release sends a message that this one can't decode."""
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.peer.send_gossip(b"no gossip")
        self.assertEqual(await self.peer.send_gossip(b"abc"), b"cba")

    async def test_unused_connections_are_closed(self):
        """Gossip changes its partners for weeks, and instances are replaced.

        Without this a daemon would accumulate connections.
        """
        await self.peer.call(build_request(1))
        now = asyncio.get_running_loop().time()
        self.peers.drop_unused(now + links.UNUSED_TIMEOUT)
        self.assertEqual(len(self.peers), 0)
        await self.wait_until(lambda: not self.called.sessions)

    async def test_departed_daemon_is_forgotten(self):
        """Hundreds of instances are replaced each day.

        Without this their addresses would fill the memory, and the daemon would try
        to connect to them for ever.
        """
        self.peers.find("127.0.0.1:9")
        self.peers.forget("127.0.0.1:9")
        self.assertEqual(len(self.peers), 1)

    async def test_news_and_levels(self):
        await self.peer.call(build_request(1))
        self.called.publish_news(frames.News(Endpoint("x", "x", "s", leaving=True)))
        shed_shares = (
            reportedlevels.RouteShedding("c", (1000, 500, *NO_SHED_SHARES[2:])),
        )
        self.called.broadcast(frames.LevelSum(True, shed_shares))
        await self.wait_until(lambda: len(self.reports) == 3)
        leaving = [news.endpoint.leaving for _, news in self.reports[:2]]
        self.assertEqual(leaving, [False, True])
        self.assertEqual(self.reports[2][1], frames.LevelSum(True, shed_shares))

    async def test_use_of_quotas_reaches_relays_and_daemons(self):
        """Guards against a total of all daemons that no daemon takes in."""
        entries = (usages.WorkspaceUsage("w", (0, 150, 0, 25, 0, 0, 0, 0), 120),)
        total = frames.UsageSum(True, usages.UsageTotal(3, entries))
        await self.peer.call(build_request(1))
        count = len(self.reports)
        self.peer.send_if_connected(frames.Usages(entries))
        self.called.broadcast(total)
        await self.wait_until(lambda: self.levels and len(self.reports) > count)
        self.assertEqual(self.levels, [("127.0.0.1:1", frames.Usages(entries))])
        self.assertEqual(self.reports[count][1], total)

    async def test_levels_reported_by_a_caller(self):
        """A daemon reports its levels to its relay over its own connection.

        If they were lost, the level of an overloaded service would reach no caller.
        """
        levels = frames.Levels((("c", 1.5),))
        await self.peer.call(build_request(1))
        self.peer.send_if_connected(levels)
        await self.wait_until(lambda: self.levels)
        self.assertEqual(self.levels, [("127.0.0.1:1", levels)])

    async def test_message_is_sent_to_the_selected_daemons_only(self):
        await self.peer.call(build_request(1))
        count = len(self.reports)
        total = frames.LevelSum(True, ())
        self.called.broadcast(total, lambda address: address != "127.0.0.1:1")
        self.called.broadcast(frames.LevelSum(False, ()))
        await self.wait_until(lambda: len(self.reports) > count)
        self.assertEqual(self.reports[count][1], frames.LevelSum(False, ()))


class FramesTest(unittest.TestCase):
    def test_invalid_bytes_are_an_error(self):
        """A program with another protocol connects to the peer port."""
        for data in (b"GET / HTTP/1.1\r\n", b"\x91\x63", b"\xc1", b"\x92\x01\x01"):
            with self.subTest(data), self.assertRaises(frames.FrameError):
                list(frames.decode_frames(frames.build_unpacker(), data, 0.0))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(REQUESTS)
    def test_a_request_is_unchanged_except_for_times_of_the_other_clock(self, request):
        data = frames.encode_frame(frames.Call(7, request), now=100.0)
        unpacker = frames.build_unpacker()
        (call,) = frames.decode_frames(unpacker, data, 5000.0)
        self.assertAlmostEqual(request.deadline + 4900.0, call.request.deadline)
        self.assertAlmostEqual(request.due + 4900.0, call.request.due)
        times = {"deadline": request.deadline, "due": request.due}
        self.assertEqual(request, call.request._replace(**times))

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(ANSWERS)
    def test_an_answer_is_unchanged_after_encoding_and_decoding(self, answer):
        data = frames.encode_frame(frames.Reply(7, answer))
        (reply,) = frames.decode_frames(frames.build_unpacker(), data, 0.0)
        self.assertEqual(answer, reply.answer)

    def test_an_unknown_outcome_is_an_error(self):
        fields = ["a", 9, 0, 200, [], b"", 0, 0.0, False, [0.0, 0.0, 0, 0, 0], False]
        data = msgpack.packb((2, 7, fields))
        with self.assertRaises(frames.FrameError):
            list(frames.decode_frames(frames.build_unpacker(), data, 0.0))

    def test_invalid_topic_frames_are_an_error(self):
        """A faulty peer sends records with invalid offsets or values.

        If they were applied, the copy of a topic would differ from the log.
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

    def test_topic_records_are_unchanged_after_encoding_and_decoding(self):
        record = keyed.Record("k", b"v", 4)
        sent = frames.TopicRecords("t", 2, 5, (record,))
        data = frames.encode_frame(sent)
        (decoded,) = frames.decode_frames(frames.build_unpacker(), data, 0.0)
        self.assertEqual(sent, decoded)

    def test_remaining_time_is_sent_instead_of_the_deadline(self):
        request = Request(
            "a", "r", "s", "c", "GET", "/", Importance.LOW, 12.5, due=11.0
        )
        data = frames.encode_frame(frames.Call(1, request), 10.0)
        unpacker = frames.build_unpacker()
        halves = data[:10], data[10:]
        self.assertEqual(list(frames.decode_frames(unpacker, halves[0], 99.0)), [])
        (call,) = frames.decode_frames(unpacker, halves[1], 100.0)
        self.assertEqual(call.request, request._replace(deadline=102.5, due=101.0))

    async def test_reply_that_is_not_sent_yet_is_known(self):
        """Guards against a stop that cuts off the reply to another daemon."""
        request = build_request(1)._replace(body=b"b" * (16 << 20))
        task = asyncio.create_task(self.peer.call(request))
        async with asyncio.timeout(10):
            while not self.called.has_unsent_bytes:
                await asyncio.sleep(0)
        self.assertFalse(task.done())
        answer = await task
        self.assertEqual(answer.body, request.body)
        self.assertFalse(self.called.has_unsent_bytes)
