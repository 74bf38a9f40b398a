"""Tests for the retry budget and the rules for when a request is retried."""

import random
import unittest

from whinwinch import retries
from whinwinch.messages import Answer, Importance, Outcome, Reason, Request

REQUEST = Request(
    attempt="a1",
    root="r",
    service="catalog",
    call="",
    method="GET",
    path="/",
    importance=Importance.NORMAL,
    deadline=10.0,
)
REFUSED = Answer("a1", Outcome.NOT_RUN, Reason.QUEUE, 503)
UNKNOWN = Answer("a1", Outcome.UNKNOWN, Reason.BROKEN, 502)


def decide(request=REQUEST, answer=REFUSED, remaining=1, tries=0, now=0.0, **more):
    return retries.decide_retry(
        request, answer, remaining, tries, now, lambda: 0.5, **more
    )


class DecisionTest(unittest.TestCase):
    def test_refusal_by_a_full_queue_is_retried_after_a_jittered_backoff(self):
        decision = decide()
        self.assertTrue(decision.again)
        self.assertEqual(decision.delay, retries.INITIAL_BACKOFF / 2)

    def test_backoff_doubles_up_to_a_limit(self):
        delays = [
            retries.draw_backoff(Reason.QUEUE, tries, lambda: 1.0)
            for tries in (0, 1, 2, 1000)
        ]
        first = retries.INITIAL_BACKOFF
        expected = [first, 2 * first, 4 * first, retries.MAX_BACKOFF]
        self.assertEqual(delays, expected)

    def test_unavailable_endpoint_causes_an_immediate_retry(self):
        for reason in (Reason.LEAVING, Reason.NO_ENDPOINT, Reason.NOT_SENT):
            with self.subTest(reason=reason):
                decision = decide(answer=REFUSED._replace(reason=reason))
                self.assertTrue(decision.again)
                self.assertEqual(decision.delay, 0)

    def test_non_idempotent_request_with_unknown_outcome_is_never_retried(self):
        """A payout is sent, and the connection breaks before its answer.

        A retry could pay the recipient twice.
        """
        keyed = REQUEST._replace(key="k")
        self.assertFalse(decide(keyed, UNKNOWN, remaining=5).again)
        self.assertTrue(decide(keyed, REFUSED, remaining=5).again)
        self.assertTrue(decide(REQUEST, UNKNOWN, remaining=5).again)

    def test_refusal_from_further_down_the_call_graph_is_not_retried(self):
        """The last of five services is overloaded and refuses.

        If each hop retried, the last service would receive dozens of calls for each
        request, and users would wait for all of them.
        """
        self.assertFalse(decide(answer=REFUSED._replace(from_downstream=True)).again)

    def test_refusal_that_applies_at_every_endpoint_is_not_retried(self):
        for reason in (
            Reason.SHARE,
            Reason.LOG_DOWN,
            Reason.KEY_CLAIMED,
            Reason.KEY_AGE,
            Reason.BAD_REQUEST,
            Reason.ABANDONED,
            Reason.DEEPER,
        ):
            with self.subTest(reason=reason):
                self.assertFalse(decide(answer=REFUSED._replace(reason=reason)).again)

    def test_refusal_by_level_is_retried_only_with_a_lower_level_elsewhere(self):
        level = REFUSED._replace(reason=Reason.LEVEL)
        self.assertFalse(decide(answer=level).again)
        self.assertFalse(decide(answer=level, lowest_other_level=3.0).again)
        self.assertTrue(decide(answer=level, lowest_other_level=0.0).again)
        self.assertFalse(decide(answer=level, lowest_other_level=0.0, tries=1).again)

    def test_budget_and_deadline_limit_retries(self):
        self.assertFalse(decide(remaining=0).again)
        self.assertFalse(decide(now=9.999).again)
        self.assertFalse(decide(answer=REFUSED._replace(retry_after=11.0)).again)

    def test_request_that_waited_in_vain_goes_elsewhere_while_there_is_time(self):
        """Guards against a refusal while another endpoint has a free slot."""
        waited = REFUSED._replace(reason=Reason.DEADLINE, retry_after=11.0)
        decision = decide(answer=waited)
        self.assertTrue(decision.again)
        self.assertLess(decision.delay, retries.MAX_BACKOFF)

    def test_retry_waits_at_least_for_retry_after(self):
        self.assertGreaterEqual(decide(answer=REFUSED._replace(retry_after=2)).delay, 2)

    def test_answer_to_another_attempt_is_not_retried(self):
        self.assertFalse(decide(answer=REFUSED._replace(attempt="a0")).again)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = retries.Ledger(retries.grant_half)
        self.ledger.open("a", 3, expires=10.0)

    def test_grant_reduces_the_budget_until_it_is_returned_unused(self):
        self.assertEqual(self.ledger.grant("a", "b"), 1)
        self.assertEqual(self.ledger.get_remaining("a"), 2)
        self.assertEqual(self.ledger.return_unused("b", 1), 1)
        self.assertEqual(self.ledger.close("a"), 3)

    def test_duplicate_answer_returns_retries_once(self):
        """An answer is delivered twice after a network fault.

        If it were counted twice, the request could cause more retries than its
        budget allows.
        """
        self.ledger.grant("a", "b")
        self.ledger.return_unused("b", 2)
        self.assertEqual(self.ledger.return_unused("b", 2), 0)
        self.assertEqual(self.ledger.get_remaining("a"), 3)

    def test_child_returns_no_more_retries_than_it_was_granted(self):
        self.ledger.grant("a", "b")
        self.ledger.return_unused("b", 99)
        self.assertEqual(self.ledger.get_remaining("a"), 3)

    def test_duplicate_request_adds_no_second_budget(self):
        """A message arrives again, while its attempt is open and after it is closed.

        If the attempt were opened again, its retries would be counted twice.
        """
        self.assertFalse(self.ledger.open("a", 3, expires=10.0))
        self.ledger.close("a")
        self.assertFalse(self.ledger.open("a", 3, expires=10.0))
        self.assertEqual(self.ledger.grant("a", "b"), 0)

    def test_after_a_restart_no_retries_are_granted_or_spent(self):
        """A daemon restarts while its backend server processes a request.

        The nested calls that follow are routed, but without any retries.
        """
        fresh = retries.Ledger()
        self.assertEqual(fresh.grant("a", "b"), 0)
        self.assertFalse(fresh.try_spend("a"))
        self.assertEqual(fresh.close("a"), 0)

    def test_each_retry_is_spent_once(self):
        spent = [self.ledger.try_spend("a") for _ in range(4)]
        self.assertEqual(spent, [True, True, True, False])

    def test_expired_attempts_are_forgotten_with_their_children(self):
        self.ledger.grant("a", "b")
        self.assertEqual(self.ledger.expire(9.0), 0)
        self.assertEqual(self.ledger.expire(10.0), 1)
        self.assertEqual(len(self.ledger), 0)
        self.assertEqual(self.ledger.return_unused("b", 2), 0)

    def test_the_ledger_stays_within_its_capacity(self):
        ledger = retries.Ledger(capacity=2)
        opened = [ledger.open(name, 1, 1.0) for name in "abc"]
        self.assertEqual(opened, [True, True, False])
        self.assertEqual(ledger.grant("c", "d"), 0)


class GrantPolicyTest(unittest.TestCase):
    def test_single_refusal_sixteen_services_deep_is_retried(self):
        """One endpoint of the deepest of sixteen services refuses one call.

        The hop above must have a retry left to try another endpoint; otherwise the
        whole request would fail.
        """
        for budget in (1, 2, 3, 10):
            with self.subTest(budget=budget):
                self.assertTrue(self._retry_at_depth(16, budget))

    def _retry_at_depth(self, depth, budget):
        remaining = budget
        for hop in range(depth - 1):
            ledger = retries.Ledger()
            ledger.open(f"a{hop}", remaining, expires=10.0)
            remaining = ledger.grant(f"a{hop}", f"a{hop + 1}")
        ledger = retries.Ledger()
        ledger.open("last", remaining, expires=10.0)
        granted = ledger.grant("last", "refused")
        ledger.return_unused("refused", granted)
        decision = decide(remaining=ledger.get_remaining("last"))
        return decision.again and ledger.try_spend("last")

    def test_sequential_calls_are_each_granted_all_retries_but_one(self):
        """A deep chain of calls meets several refusals on its way down.

        If each hop kept back half of its retries, the last hops would have none.
        """
        ledger = retries.Ledger()
        for number in range(300):
            ledger.open(f"a{number}", 3, expires=10.0)
            granted = ledger.grant(f"a{number}", f"c{number}")
            ledger.return_unused(f"c{number}", granted)
        ledger.open("a", 3, expires=10.0)
        self.assertEqual(ledger.grant("a", "c"), 2)
        self.assertTrue(ledger.try_spend("a"))

    def test_concurrent_calls_share_the_retries(self):
        ledger = retries.Ledger()
        for number in range(300):
            ledger.open(f"a{number}", 3, expires=10.0)
            first = ledger.grant(f"a{number}", f"c{number}")
            second = ledger.grant(f"a{number}", f"d{number}")
        self.assertEqual((first, second), (1, 1))
        self.assertTrue(ledger.try_spend("a299"))

    def test_jitter_spreads_requests_that_were_refused_together(self):
        generator = random.Random(1)
        delays = [
            retries.draw_backoff(Reason.QUEUE, 3, generator.random) for _ in range(1000)
        ]
        slots = {int(delay / retries.INITIAL_BACKOFF) for delay in delays}
        self.assertEqual(slots, set(range(8)))


if __name__ == "__main__":
    unittest.main()
