"""Tests of one call from its arrival to its answer, with endpoints that fail."""

import asyncio
import random
import unittest
import unittest.mock

from whinwinch import (
    board,
    directory,
    events,
    forwarding,
    messages,
    placement,
    subsets,
)
from whinwinch.messages import Answer, Endpoint, Importance, Outcome, Reason

OWN = "own:1"


class FakePeer:
    """An endpoint's daemon that answers from a list."""

    is_up = True
    reach = subsets.Reach.UP

    def __init__(self, answers):
        self.answers = answers
        self.calls = []

    async def call(self, request):
        self.calls.append(request)
        answer = self.answers.pop(0) if self.answers else DONE
        outcome, reason, offered, *status = answer
        made = Answer(request.attempt, outcome, reason, offered=offered)
        return made._replace(status=status[0]) if status else made


class FakePeers(dict):
    """Peers by address."""

    find = dict.get


class FakeGuard:
    """A guard of a backend server of another service."""

    def has_room(self, service):
        return False


DONE = (Outcome.COMPLETED, Reason.NONE, True)
SHED = (Outcome.NOT_RUN, Reason.SHED, True)
FULL = (Outcome.NOT_RUN, Reason.QUEUE, False)
BROKEN = (Outcome.UNKNOWN, Reason.BROKEN, True)
FAILED = (Outcome.COMPLETED, Reason.NONE, True, 500)


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *scripts):
        known = directory.Directory(OWN)
        self.peers = FakePeers()
        for number, answers in enumerate(scripts):
            address = f"peer:{number}"
            known.record(address, Endpoint(address, address, "s", "z", "", 9))
            self.peers[address] = FakePeer(list(answers))
        self.board = board.Board()
        return forwarding.Forwarder(
            OWN,
            known,
            subsets.Subsets(OWN, "z", known),
            self.peers,
            FakeGuard(),
            placement.Placement("z", random.Random(1)),
            self.board,
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

    async def test_full_gatekeeper_is_passed_by(self):
        """One endpoint is full; asking another one costs no backend server work."""
        forwarder = self.build([FULL] * 9, [FULL] * 9, [])
        answer = await forwarder.serve(self.request(), 1)
        self.assertIs(answer.outcome, Outcome.COMPLETED)
        self.assertFalse(any(call.again for call in self.calls))

    async def test_no_more_endpoints_than_the_route_allows(self):
        """Endpoints turn work down; each that was handed it counts as tried.

        Handed to all of them, one request would load the whole service.
        """
        forwarder = self.build(*[[SHED]] * 4)
        answer = await forwarder.serve(self.request(), 2)
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.assertEqual([call.again for call in self.calls].count(True), 1)
        self.assertEqual(len(self.calls), 2)
        self.assertGreater(answer.retry_after, 0.0)

    async def test_refused_caller_comes_back_in_time(self):
        """The level refuses nearly all, and suggests a pause of seconds.

        An objective of one second is missed by whoever keeps to that.
        """
        forwarder = self.build([])
        now = asyncio.get_running_loop().time()
        self.board.tell("peer:0", [("c", 2.0)], now)
        answer = await forwarder.serve(self.request(due=now + 1.0), 2)
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
        self.assertGreater(answer.retry_after, 0.4)
        self.assertLess(answer.retry_after, 1.0)

    async def test_safe_work_is_repeated_after_a_loss(self):
        forwarder = self.build([BROKEN], [BROKEN], [BROKEN])
        answer = await forwarder.serve(self.request(), 3)
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.calls), 3)

    async def test_lost_and_then_turned_down_is_not_not_run(self):
        """A first attempt is lost, a second one is turned down.

        Told "not run", the caller would believe it of a request that may have run.
        """
        for second in (SHED, FULL):
            answer = await self.build([BROKEN], [second], [second]).serve(
                self.request(), 2
            )
            self.assertIs(answer.outcome, Outcome.UNKNOWN)

    async def test_unsafe_work_is_never_repeated_after_a_loss(self):
        """A payout's connection breaks; nobody knows whether it was made.

        Sent to another endpoint, it may be made twice.
        """
        forwarder = self.build([BROKEN], [BROKEN])
        answer = await forwarder.serve(self.request(repeatable=False), 3)
        self.assertIs(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.calls), 1)

    async def test_unsafe_work_that_was_not_run_is_tried_elsewhere(self):
        forwarder = self.build([SHED], [])
        answer = await forwarder.serve(self.request(repeatable=False), 2)
        self.assertIs(answer.outcome, Outcome.COMPLETED)

    async def test_attempts_have_identifiers_of_their_own(self):
        forwarder = self.build([FULL], [FULL])
        await forwarder.serve(self.request(), 2)
        attempts = [call.attempt for call in self.calls]
        self.assertEqual(len(attempts), len(set(attempts)))

    async def test_failure_of_the_backend_server_is_logged(self):
        """A payout fails with 500, and its caller has nothing but its identifier."""
        written = unittest.mock.Mock(lost=0)
        events.install(written)
        self.addCleanup(events.install, events.Silence())
        answer = await self.build([FAILED]).serve(self.request(), 2)
        self.assertEqual(answer.status, 500)
        ((kind, line),) = [call.args for call in written.sample.call_args_list]
        self.assertEqual(
            (kind, line.endpoint, line.status), ("answered", "peer:0", 500)
        )
        self.assertFalse(line.again)

    async def test_no_endpoint(self):
        answer = await self.build().serve(self.request(), 2)
        self.assertEqual(answer.reason, Reason.NO_ENDPOINT)
        self.assertGreater(answer.retry_after, 0.0)

    async def test_level_told_refuses_at_the_entry(self):
        """A service four hops down is full, and the entries have been told.

        Let in, the request would be worked on by four services and then fail.
        """
        forwarder = self.build([])
        now = asyncio.get_running_loop().time()
        self.board.tell("peer:0", (("c", 2.0),), now)
        answer = await forwarder.serve(self.request(), 2)
        self.assertEqual(answer.reason, Reason.LEVEL)
        self.assertGreater(answer.retry_after, 0.0)
        self.assertEqual(self.calls, [])

    async def test_call_of_an_admitted_request_is_carried_through(self):
        """Refused half way, all that was done for its request would be lost."""
        forwarder = self.build([])
        now = asyncio.get_running_loop().time()
        self.board.tell("peer:0", (("c", 4.0),), now)
        answer = await forwarder.serve(self.request(via=("front",)), 2)
        self.assertIs(answer.outcome, Outcome.COMPLETED)
