"""Tests for the routing of one call to scripted endpoints."""

import asyncio
import random
import unittest
import unittest.mock

from whinwinch import (
    claims,
    levels,
    messages,
    placement,
    resources,
    retries,
    router,
    running,
)
from whinwinch.messages import Answer, Importance, Load, Outcome, Reason

NOW = 100.0
RETRY_BUDGET = 3
WALL = 1_700_000_000.0


def complete(request):
    return Answer(
        request.attempt, Outcome.COMPLETED, unused_retries=request.budget, body=b"whole"
    )


def refuse(reason, **fields):
    def answer(request):
        return Answer(
            request.attempt,
            Outcome.NOT_RUN,
            reason,
            status=503,
            unused_retries=request.budget,
            **fields,
        )

    return answer


def lose(request):
    return Answer(request.attempt, Outcome.UNKNOWN, Reason.BROKEN, status=502)


class Mesh:
    """Endpoints that return scripted answers, and the requests sent to them."""

    def __init__(self, *script):
        self.script = list(script)
        self.sent = []

    async def call(self, endpoint, request):
        self.sent.append((endpoint.address, request))
        answer = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        return answer(request)

    def find_endpoints(self, service):
        if service == "nowhere":
            return ()
        return tuple(
            messages.Endpoint(f"d{number}", f"10.0.0.{number}:1", service, "a", "r", 10)
            for number in range(4)
        )


def build_spec(name):
    payout = resources.CallSpec(
        "payout",
        "POST",
        "/payouts",
        Importance.CRITICAL,
        idempotent=False,
        repeatable=False,
        segments=("payouts",),
    )
    return resources.ServiceSpec(name, retry_budget=RETRY_BUDGET, calls=(payout,))


class RouterTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *script):
        self.mesh = Mesh(*script)
        self.levels = levels.LearnedLevels()
        self.ledger = retries.Ledger()
        self.running = running.RunningAttempts()
        self.recorded_calls = []
        return router.Router(
            clock=lambda: NOW,
            targets=router.AttemptTargets(
                "own", self.mesh.find_endpoints, lambda: False, None, self.mesh.call
            ),
            find_service=build_spec,
            match_call=resources.match_call,
            placement_state=placement.Placement("a", random.Random(1)),
            levels=self.levels,
            ledger=self.ledger,
            running=self.running,
            random=lambda: 0.0,
            key_window=900.0,
            record_call=lambda *call: self.recorded_calls.append(call),
        )

    async def route(self, routing, method="GET", path="/books", **fields):
        incoming = router.IncomingCall("root-1", "catalog", method, path, **fields)
        return await routing.route_root(incoming)

    async def test_completed_call_causes_no_retries(self):
        routed = await self.route(self.build(complete))
        self.assertEqual(Outcome.COMPLETED, routed.answer.outcome)
        self.assertEqual(0, routed.retries)
        self.assertEqual("root-1", self.mesh.sent[0][1].root)

    async def test_refusal_by_one_endpoint_is_retried_at_another(self):
        routed = await self.route(self.build(refuse(Reason.LEAVING), complete))
        self.assertEqual(Outcome.COMPLETED, routed.answer.outcome)
        self.assertEqual(1, routed.retries)
        first, second = self.mesh.sent
        self.assertNotEqual(first[0], second[0])
        self.assertNotEqual(first[1].attempt, second[1].attempt)

    async def test_address_reused_by_another_daemon_causes_a_retry_elsewhere(self):
        """An instance was replaced, and peers still list its predecessor.

        The daemon that now answers at the address guards no backend server, or one
        of another service. Without a retry the caller would receive "no-endpoint"
        although three other endpoints are available.
        """
        routed = await self.route(self.build(refuse(Reason.NO_ENDPOINT), complete))
        self.assertEqual(Outcome.COMPLETED, routed.answer.outcome)

    async def test_retries_stay_within_the_budget(self):
        """Every endpoint refuses every attempt.

        Without a budget a request would be retried until its deadline, and many such
        requests would sustain the overload after its cause has gone.
        """
        routed = await self.route(self.build(refuse(Reason.QUEUE)))
        self.assertEqual(Outcome.NOT_RUN, routed.answer.outcome)
        self.assertLessEqual(len(self.mesh.sent), 1 + RETRY_BUDGET)
        self.assertLessEqual(routed.retries, RETRY_BUDGET)

    async def test_refusal_from_further_down_the_call_graph_is_not_retried(self):
        """A service two hops down refuses, and the hop in between reports this.

        The hop directly above it has already retried. Retries at every hop would
        multiply with the depth of the call graph.
        """
        await self.route(self.build(refuse(Reason.LEVEL, from_downstream=True)))
        self.assertEqual(1, len(self.mesh.sent))

    async def test_payout_with_unknown_outcome_is_not_retried(self):
        """A gatekeeper is killed after it received a payout.

        It is unknown whether the recipient was paid; a retry could pay twice.
        """
        key = claims.make_key(WALL, 1)
        with unittest.mock.patch("time.time", lambda: WALL):
            routed = await self.route(self.build(lose), "POST", "/payouts", key=key)
        self.assertEqual(Outcome.UNKNOWN, routed.answer.outcome)
        self.assertEqual(1, len(self.mesh.sent))

    async def test_lost_attempt_followed_by_a_refused_one_is_unknown(self):
        """A connection breaks after a read was sent; the next endpoint is full.

        "Not run" is true of the second attempt only. The caller would apply it to
        its whole request, of which the first attempt may have run.
        """
        routed = await self.route(self.build(lose, refuse(Reason.QUEUE)))
        self.assertGreater(len(self.mesh.sent), 1)
        self.assertEqual(Outcome.UNKNOWN, routed.answer.outcome)

    async def test_lost_attempt_followed_by_no_endpoint_is_unknown(self):
        routing = self.build(lose)
        endpoints = iter((self.mesh.find_endpoints("catalog"), ()))
        routing._targets = routing._targets._replace(
            find_endpoints=lambda service: next(endpoints)
        )
        routed = await self.route(routing)
        self.assertEqual(Outcome.UNKNOWN, routed.answer.outcome)

    async def test_undeclared_post_with_unknown_outcome_is_not_retried(self):
        await self.route(self.build(lose), "POST", "/orders")
        self.assertEqual(1, len(self.mesh.sent))

    async def test_read_with_unknown_outcome_is_retried(self):
        routed = await self.route(self.build(lose, complete))
        self.assertEqual(Outcome.COMPLETED, routed.answer.outcome)

    async def test_payout_without_a_key_is_refused_before_it_is_sent(self):
        routed = await self.route(self.build(complete), "POST", "/payouts")
        self.assertEqual(Reason.KEY_MISSING, routed.answer.reason)
        self.assertEqual(Outcome.NOT_RUN, routed.answer.outcome)
        self.assertFalse(self.mesh.sent)

    async def test_key_that_is_too_old_has_an_unknown_outcome(self):
        """A caller retries with its key after the key window has passed.

        The payout may have run while the key was valid. After "not run" the caller
        would create a new key, and the recipient would be paid twice.
        """
        key = claims.make_key(WALL - 1000.0, 1)
        with unittest.mock.patch("time.time", lambda: WALL):
            routed = await self.route(self.build(complete), "POST", "/payouts", key=key)
        self.assertEqual(Outcome.UNKNOWN, routed.answer.outcome)
        self.assertEqual(Reason.KEY_AGE, routed.answer.reason)
        self.assertFalse(self.mesh.sent)

    async def test_caller_cannot_raise_the_declared_importance(self):
        await self.route(self.build(complete), importance=Importance.CRITICAL)
        self.assertEqual(Importance.NORMAL, self.mesh.sent[0][1].importance)

    async def test_service_without_endpoints_is_refused_with_retry_after(self):
        routed = await self.build(complete).route_root(
            router.IncomingCall("root-1", "nowhere", "GET", "/")
        )
        self.assertEqual(Reason.NO_ENDPOINT, routed.answer.reason)
        self.assertGreater(routed.answer.retry_after, 0.0)

    async def test_level_learned_from_answers_refuses_at_the_entry(self):
        """A service further down sheds all requests below critical importance.

        Without the level, all hops above the refusing one would work on each request
        in vain.
        """
        routing = self.build(complete)
        for _ in range(20):
            self.levels.learn("catalog", "", Load(level=3.0), NOW)
        routed = await self.route(routing)
        self.assertEqual(Reason.LEVEL, routed.answer.reason)
        self.assertFalse(self.mesh.sent)

    async def test_nested_call_inherits_the_properties_of_its_parent(self):
        routing = self.build(complete)
        parent = messages.Request(
            "attempt-1",
            "root-9",
            "royalties",
            "payout",
            "POST",
            "/payouts",
            Importance.CRITICAL,
            NOW + 0.5,
            budget=2,
            caller="press",
            via=("archive",),
        )
        self.ledger.open(parent.attempt, parent.budget, parent.deadline)
        await routing.route_nested(
            router.IncomingCall("attempt-1", "catalog", "GET", "/books"), parent
        )
        sent = self.mesh.sent[0][1]
        self.assertEqual("root-9", sent.root)
        self.assertEqual(Importance.CRITICAL, sent.importance)
        self.assertEqual(NOW + 0.5, sent.deadline)
        self.assertEqual(("archive", "royalties"), sent.via)
        self.assertEqual("press", sent.caller)
        self.assertGreater(sent.budget, 0)

    async def test_cancelled_call_closes_its_budget(self):
        """Callers disconnect while their requests are in flight.

        Budgets that stayed open would fill the memory, and the endpoint would seem
        busier with each disconnected caller.
        """
        routing = self.build(complete)
        hanging = asyncio.Event()

        async def hang(endpoint, request):
            hanging.set()
            await asyncio.Event().wait()

        routing._targets = routing._targets._replace(call=hang)
        task = asyncio.create_task(self.route(routing))
        await hanging.wait()
        (attempt,) = routing._ledger._budgets
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(0, self.ledger.get_remaining(attempt))
        self.assertTrue(routing._ledger._budgets[attempt].closed)

    async def test_call_loop_is_ended(self):
        """Two services call each other in an endless loop.

        Without the limit only the deadline would end it, after thousands of calls.
        """
        routing = self.build(complete)
        parent = messages.Request(
            "attempt-1",
            "root-9",
            "catalog",
            "",
            "GET",
            "/",
            Importance.NORMAL,
            NOW + 5.0,
            via=("catalog",) * router.MAX_CALL_DEPTH,
        )
        routed = await routing.route_nested(
            router.IncomingCall("attempt-1", "catalog", "GET", "/"), parent
        )
        self.assertEqual(Reason.TOO_DEEP, routed.answer.reason)
        self.assertFalse(self.mesh.sent)


if __name__ == "__main__":
    unittest.main()
