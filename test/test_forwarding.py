"""Tests for the forwarding of one call to endpoints that fail."""

import asyncio
import random
import unittest
import unittest.mock

from whinwinch import (
    crashes,
    directory,
    events,
    forwarding,
    messages,
    placement,
    reportedlevels,
    subsets,
    tries,
)
from whinwinch.messages import Answer, Endpoint, Importance, Outcome, Reason

LOCAL_ADDRESS = "own:1"


class FakePeer:
    """A peer whose daemon returns scripted answers."""

    is_up = True
    reachability = subsets.Reachability.UP

    def __init__(self, answers):
        self.answers = answers
        self.calls = []

    async def call(self, request):
        self.calls.append(request)
        answer = self.answers.pop(0) if self.answers else DONE
        outcome, reason, offered, *status = answer
        made = Answer(request.attempt, outcome, reason, reached_backend=offered)
        return made._replace(status=status[0]) if status else made


class FakePeers(dict):
    """Peers by address."""

    find = dict.get


class FakeGuard:
    """A guard whose backend server belongs to another service."""

    def has_free_slot(self, service):
        return False


DONE = (Outcome.COMPLETED, Reason.NONE, True)
SHED = (Outcome.NOT_RUN, Reason.SHED, True)
FULL = (Outcome.NOT_RUN, Reason.QUEUE, False)
BROKEN = (Outcome.UNKNOWN, Reason.BROKEN, True)
CRASHED = (Outcome.UNKNOWN, Reason.CRASHED, True)
FAILED = (Outcome.COMPLETED, Reason.NONE, True, 500)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *scripts):
        members = directory.Directory(LOCAL_ADDRESS)
        self.peers = FakePeers()
        for number, answers in enumerate(scripts):
            address = f"peer:{number}"
            members.apply_record(address, Endpoint(address, address, "s", "z", "", 9))
            self.peers[address] = FakePeer(list(answers))
        self.reported_levels = reportedlevels.ReportedLevels()
        self.crash_history = crashes.CrashHistory()
        return forwarding.Forwarder(
            LOCAL_ADDRESS,
            members,
            subsets.Subsets(LOCAL_ADDRESS, "z", members),
            self.peers,
            FakeGuard(),
            placement.Placement("z", random.Random(1)),
            self.reported_levels,
            self.crash_history,
        )

    def request(self, repeatable=True, **changed):
        deadline = asyncio.get_running_loop().time() + 5.0
        return messages.Request(
            "a",
            "root",
            "s",
            "c",
            "GET",
            "/",
            Importance.NORMAL,
            deadline,
            repeatable=repeatable,
        )._replace(**changed)

    @property
    def calls(self):
        return [call for peer in self.peers.values() for call in peer.calls]

    async def test_error_in_a_decision_is_answered_as_not_run(self):
        """Guards against "unknown" for work that was never sent."""
        forwarder = self.build([])
        error = unittest.mock.Mock(side_effect=KeyError)
        with unittest.mock.patch.object(self.reported_levels, "level", error):
            answer = await forwarder.serve(self.request(repeatable=False), 2)
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.assertGreater(answer.retry_after, 0.0)
        self.assertEqual(self.calls, [])

    async def test_error_once_the_request_was_sent_is_not_answered_as_not_run(self):
        """Guards against a payout that runs twice because of an unrelated error."""
        forwarder = self.build([])
        error = unittest.mock.Mock(side_effect=KeyError)
        with unittest.mock.patch.object(self.crash_history, "record_answer", error):
            with self.assertRaises(KeyError):
                await forwarder.serve(self.request(repeatable=False), 2)

    async def test_full_gatekeeper_does_not_count_as_an_endpoint_tried(self):
        """A full endpoint refuses before its backend server does any work."""
        forwarder = self.build([FULL] * 9, [FULL] * 9, [])
        answer = await forwarder.serve(self.request(), 1)
        self.assertIs(answer.outcome, Outcome.COMPLETED)
        self.assertFalse(any(call.again for call in self.calls))

    async def test_request_reaches_at_most_the_endpoints_that_the_route_allows(self):
        """Backend servers refuse a request; each that was handed it counts as tried.

        If the request went to all of them, it would load the whole service.
        """
        forwarder = self.build(*[[SHED] * 9] * 4)
        answer = await forwarder.serve(self.request(), 2)
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        reached = [peer for peer in self.peers.values() if peer.calls]
        self.assertEqual(len(reached), 2)
        self.assertEqual([call.again for call in self.calls].count(False), 1)
        self.assertGreater(answer.retry_after, 0.0)

    async def test_endpoint_gets_one_request_a_fixed_number_of_times(self):
        """Guards against retries without end of a request that is always refused."""
        forwarder = self.build(*[[SHED] * 9] * 4)
        await forwarder.serve(self.request(), 2)
        counts = sorted(len(peer.calls) for peer in self.peers.values())
        self.assertEqual(counts, [0, 0, *[tries.MAX_SENDS_PER_ENDPOINT] * 2])

    async def test_refused_request_goes_to_another_endpoint_before_the_same_again(self):
        """Guards against asking an endpoint again that just refused the request."""
        forwarder = self.build([SHED], [SHED])
        answer = await forwarder.serve(self.request(), 2)
        self.assertIs(answer.outcome, Outcome.COMPLETED)
        self.assertEqual([len(peer.calls) for peer in self.peers.values()].count(0), 0)
        self.assertEqual(len(self.calls), 3)

    async def test_request_that_may_have_run_is_not_sent_to_its_endpoint_again(self):
        """Guards against asking an endpoint again that may be at work on a request."""
        forwarder = self.build([BROKEN] * 9, [SHED] * 9)
        answer = await forwarder.serve(self.request(), 2)
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertLessEqual(len(self.peers["peer:0"].calls), 1)

    async def test_retry_after_leaves_time_to_meet_the_objective(self):
        """The level refuses nearly all requests and suggests a delay of seconds.

        A caller that waited so long would miss its objective of one second.
        """
        forwarder = self.build([])
        now = asyncio.get_running_loop().time()
        self.reported_levels.record_levels("peer:0", [("c", 2.0)], now)
        answer = await forwarder.serve(self.request(due=now + 1.0), 2)
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.assertGreater(answer.retry_after, 0.4)
        self.assertLess(answer.retry_after, 1.0)

    async def test_repeatable_request_is_retried_after_an_unknown_outcome(self):
        forwarder = self.build([BROKEN], [BROKEN], [BROKEN])
        answer = await forwarder.serve(self.request(), 3)
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.calls), 3)

    async def test_lost_attempt_followed_by_a_refused_one_is_unknown(self):
        """A first attempt is lost, a second one is refused.

        The request may have run, so its caller must not receive "not run".
        """
        for second in (SHED, FULL):
            answer = await self.build([BROKEN], [second], [second]).serve(
                self.request(), 2
            )
            self.assertIs(answer.outcome, Outcome.UNKNOWN)

    async def test_unrepeatable_request_is_never_retried_after_an_unknown_outcome(self):
        """A connection breaks, and it is unknown whether its payout was made.

        A retry at another endpoint could make it twice.
        """
        forwarder = self.build([BROKEN], [BROKEN])
        answer = await forwarder.serve(self.request(repeatable=False), 3)
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.calls), 1)

    async def test_unrepeatable_request_that_was_not_run_is_retried(self):
        forwarder = self.build([SHED], [])
        answer = await forwarder.serve(self.request(repeatable=False), 2)
        self.assertIs(answer.outcome, Outcome.COMPLETED)

    async def test_each_attempt_has_its_own_identifier(self):
        forwarder = self.build([FULL], [FULL])
        await forwarder.serve(self.request(), 2)
        attempts = [call.attempt for call in self.calls]
        self.assertEqual(len(attempts), len(set(attempts)))

    async def test_server_error_of_the_backend_server_is_logged(self):
        """A payout fails with status 500; its caller knows only the identifier."""
        log = unittest.mock.Mock(lost=0)
        events.install(log)
        self.addCleanup(events.install, events.NullLog())
        answer = await self.build([FAILED]).serve(self.request(), 2)
        self.assertEqual(answer.status, 500)
        ((kind, line),) = [call.args for call in log.sample.call_args_list]
        self.assertEqual(
            (kind, line.endpoint, line.status), ("answered", "peer:0", 500)
        )
        self.assertFalse(line.again)

    async def test_no_endpoint(self):
        answer = await self.build().serve(self.request(), 2)
        self.assertEqual(answer.reason, Reason.NO_ENDPOINT)
        self.assertGreater(answer.retry_after, 0.0)

    async def test_reported_level_refuses_at_the_entry(self):
        """A service four hops down is full, and entries have received its level.

        If the request were admitted, four services would work on it in vain.
        """
        forwarder = self.build([])
        now = asyncio.get_running_loop().time()
        self.reported_levels.record_levels("peer:0", (("c", 2.0),), now)
        answer = await forwarder.serve(self.request(), 2)
        self.assertEqual(answer.reason, Reason.LEVEL)
        self.assertGreater(answer.retry_after, 0.0)
        self.assertEqual(self.calls, [])

    async def test_nested_call_of_an_admitted_request_is_not_refused_by_level(self):
        """A refusal would waste all work already done for its request."""
        forwarder = self.build([])
        now = asyncio.get_running_loop().time()
        self.reported_levels.record_levels("peer:0", (("c", 4.0),), now)
        answer = await forwarder.serve(self.request(via=("front",)), 2)
        self.assertIs(answer.outcome, Outcome.COMPLETED)

    async def test_request_beside_a_crash_is_tried_once_more(self):
        """Guards against failing innocent requests that can be repeated."""
        forwarder = self.build([CRASHED], [])
        answer = await forwarder.serve(self.request(), 3)
        self.assertIs(answer.outcome, Outcome.COMPLETED)

    async def test_request_crashes_two_backend_servers_at_most(self):
        """Guards against one attempt of a caller ending a whole service."""
        forwarder = self.build(*[[CRASHED]] * 4)
        answer = await forwarder.serve(self.request(), 4)
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.calls), 2)

    async def test_work_that_crashes_backend_servers_is_refused_unsent(self):
        """Guards against sending it on, and against callers that come back at once."""
        forwarder = self.build([])
        request = self.request()
        for identity in ("i-1", "i-2", "i-3"):
            record = self.crash_history.build_record(identity, [request])
            self.crash_history.apply(record, asyncio.get_running_loop().time())
        answer = await forwarder.serve(request, 2)
        self.assertEqual(
            (answer.outcome, answer.reason), (Outcome.NOT_RUN, Reason.CAUSES_CRASHES)
        )
        self.assertGreater(answer.retry_after, crashes.REFUSAL_SECONDS / 2)
        self.assertEqual(self.calls, [])
        other = await forwarder.serve(self.request(path="/other"), 2)
        self.assertIs(other.outcome, Outcome.COMPLETED)
