"""Tests for calls to other daemons, against a gRPC server in this process."""

import threading
import unittest

from demo import mesh
from standins import processes
from whinwinch import messages
from whinwinch.daemons import client, peer_pb2, server
from whinwinch.messages import Answer, Importance, Outcome, Reason

GENEROUS = 30.0


def build_request(deadline=GENEROUS):
    return messages.Request(
        attempt="a1",
        root="r1",
        service="catalog",
        call="",
        method="GET",
        path="/",
        importance=Importance.NORMAL,
        deadline=deadline,
        budget=3,
    )


class ClientTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.answer = lambda request: Answer(request.attempt, Outcome.COMPLETED)
        (port,) = processes.find_ports(1)
        self.address = f"{mesh.HOST}:{port}"
        self.endpoint = messages.Endpoint("d1", self.address)
        self.client = client.PeerClient(lambda: self.now, "token-of-the-mesh")
        self.addCleanup(self.client.close)

    def serve(self, tokens="token-of-the-mesh"):
        servicer = server.PeerServicer(
            "d1",
            lambda request: self.answer(request),
            lambda message: peer_pb2.GossipAnswer(sender="d1"),
            lambda: self.now,
            tokens,
        )
        started = server.start_server(servicer, self.address)
        self.addCleanup(lambda: started.stop(0).wait())
        return started

    def test_an_answer(self):
        self.serve()
        answer = self.client.call(self.endpoint, build_request())
        self.assertEqual(Outcome.COMPLETED, answer.outcome)

    def test_a_budget_meant_for_the_predecessor_is_not_used(self):
        """A daemon restarts between two copies of one message.

        The first may have used its retries. With them again, the whole request
        would cause more than its bound.
        """
        budgets = []

        def note(request):
            budgets.append(request.budget)
            return Answer(request.attempt, Outcome.COMPLETED)

        self.answer = note
        self.serve()
        former = self.endpoint._replace(daemon="d0")
        for endpoint in (self.endpoint, former):
            self.client.call(endpoint, build_request())
        self.assertEqual([3, 0], budgets)

    def test_nobody_there_is_a_fact(self):
        """A daemon is gone, and its peers don't know yet.

        Nothing was sent, so the caller may be told "not run", and the whole
        budget is left to try elsewhere.
        """
        answer = self.client.call(self.endpoint, build_request())
        self.assertEqual(Outcome.NOT_RUN, answer.outcome)
        self.assertEqual(Reason.NOT_SENT, answer.reason)
        self.assertEqual(3, answer.unused)

    def test_a_server_that_dies_while_it_works_leaves_the_outcome_unknown(self):
        """A daemon is killed while it works on a request that it was sent."""
        working = threading.Event()
        ending = threading.Event()

        def work(request):
            working.set()
            ending.wait(GENEROUS)
            return Answer(request.attempt, Outcome.COMPLETED)

        self.answer = work
        started = self.serve()
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self.client.call(self.endpoint, build_request())
            )
        )
        caller.start()
        self.assertTrue(working.wait(GENEROUS))
        stopping = started.stop(0)
        caller.join(GENEROUS)
        ending.set()
        stopping.wait()
        self.assertEqual(Outcome.UNKNOWN, answers[0].outcome)
        self.assertEqual(0, answers[0].unused)
        again = self.client.call(self.endpoint, build_request())
        self.assertEqual(Outcome.NOT_RUN, again.outcome)

    def test_the_answer_to_another_attempt_is_not_handed_on(self):
        """A fault mixes up two answers; a caller would read another's data."""
        self.answer = lambda request: Answer("a2", Outcome.COMPLETED, body=b"x")
        self.serve()
        answer = self.client.call(self.endpoint, build_request())
        self.assertEqual(Outcome.UNKNOWN, answer.outcome)
        self.assertEqual(b"", answer.body)

    def test_a_wrong_token_runs_nothing(self):
        ran = []
        self.answer = ran.append
        self.serve(tokens="another-mesh-altogether")
        answer = self.client.call(self.endpoint, build_request())
        self.assertNotEqual(Outcome.COMPLETED, answer.outcome)
        self.assertFalse(ran)

    def test_channels_that_nobody_uses_are_closed(self):
        """Gossip changes its partners for weeks, and instances are replaced."""
        self.serve()
        self.client.call(self.endpoint, build_request())
        self.client.close_idle(self.now + client.IDLE_SECONDS)
        self.assertEqual(1, len(self.client))
        self.client.close_idle(self.now + client.IDLE_SECONDS + 1.0)
        self.assertEqual(0, len(self.client))
        answer = self.client.call(self.endpoint, build_request())
        self.assertEqual(Outcome.COMPLETED, answer.outcome)


if __name__ == "__main__":
    unittest.main()
