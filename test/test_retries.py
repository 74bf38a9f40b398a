"""Tests of the retry budget and of when a request is tried again."""

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
    def test_a_full_queue_is_tried_elsewhere_after_a_jittered_wait(self):
        decision = decide()
        self.assertTrue(decision.again)
        self.assertEqual(decision.delay, retries.FIRST_BACKOFF / 2)

    def test_the_wait_doubles_up_to_a_limit(self):
        delays = [
            retries.draw_backoff(Reason.QUEUE, tries, lambda: 1.0)
            for tries in (0, 1, 2, 1000)
        ]
        first = retries.FIRST_BACKOFF
        expected = [first, 2 * first, 4 * first, retries.LONGEST_BACKOFF]
        self.assertEqual(delays, expected)

    def test_an_endpoint_that_is_gone_is_left_at_once(self):
        for reason in (Reason.LEAVING, Reason.NO_ENDPOINT, Reason.NOT_SENT):
            with self.subTest(reason=reason):
                decision = decide(answer=REFUSED._replace(reason=reason))
                self.assertTrue(decision.again)
                self.assertEqual(decision.delay, 0)

    def test_keyed_work_of_unknown_outcome_is_never_sent_again(self):
        """A payout was sent and the connection broke before its answer.

        Sent again, the poet would be paid twice.
        """
        keyed = REQUEST._replace(key="k")
        self.assertFalse(decide(keyed, UNKNOWN, remaining=5).again)
        self.assertTrue(decide(keyed, REFUSED, remaining=5).again)
        self.assertTrue(decide(REQUEST, UNKNOWN, remaining=5).again)

    def test_a_refusal_from_deeper_down_is_passed_up(self):
        """The last of five services refuses while overloaded.

        If each hop tried again the last service would get dozens of calls for
        each request, and readers would wait through all of them.
        """
        self.assertFalse(decide(answer=REFUSED._replace(deeper=True)).again)

    def test_what_every_endpoint_would_refuse_is_not_tried_again(self):
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

    def test_a_level_is_tried_elsewhere_only_where_a_lower_one_is_known(self):
        level = REFUSED._replace(reason=Reason.LEVEL)
        self.assertFalse(decide(answer=level).again)
        self.assertFalse(decide(answer=level, elsewhere=3.0).again)
        self.assertTrue(decide(answer=level, elsewhere=0.0).again)
        self.assertFalse(decide(answer=level, elsewhere=0.0, tries=1).again)

    def test_budget_and_deadline_end_it(self):
        self.assertFalse(decide(remaining=0).again)
        self.assertFalse(decide(now=9.999).again)
        self.assertFalse(decide(answer=REFUSED._replace(retry_after=11.0)).again)

    def test_the_asked_wait_is_kept(self):
        self.assertGreaterEqual(decide(answer=REFUSED._replace(retry_after=2)).delay, 2)

    def test_an_answer_to_another_attempt_decides_nothing(self):
        self.assertFalse(decide(answer=REFUSED._replace(attempt="a0")).again)


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = retries.Ledger(retries.grant_half)
        self.ledger.open("a", 3, expires=10.0)

    def test_a_grant_is_taken_from_the_holder_and_comes_back_unused(self):
        self.assertEqual(self.ledger.grant("a", "b"), 1)
        self.assertEqual(self.ledger.get_remaining("a"), 2)
        self.assertEqual(self.ledger.give_back("b", 1), 1)
        self.assertEqual(self.ledger.close("a"), 3)

    def test_a_doubled_answer_gives_back_once(self):
        """An answer is delivered twice after a network fault.

        Counted twice, the request could cause more retries than its bound.
        """
        self.ledger.grant("a", "b")
        self.ledger.give_back("b", 2)
        self.assertEqual(self.ledger.give_back("b", 2), 0)
        self.assertEqual(self.ledger.get_remaining("a"), 3)

    def test_a_child_gives_back_no_more_than_it_got(self):
        self.ledger.grant("a", "b")
        self.ledger.give_back("b", 99)
        self.assertEqual(self.ledger.get_remaining("a"), 3)

    def test_a_doubled_request_brings_no_second_budget(self):
        """A message arrives again, while its attempt is open and after it.

        Opened again it would bring its retries a second time.
        """
        self.assertFalse(self.ledger.open("a", 3, expires=10.0))
        self.ledger.close("a")
        self.assertFalse(self.ledger.open("a", 3, expires=10.0))
        self.assertEqual(self.ledger.grant("a", "b"), 0)

    def test_after_a_restart_nothing_is_granted_or_taken(self):
        """A daemon restarts while its backend server works on a request.

        The calls that follow go through, but without any retry.
        """
        fresh = retries.Ledger()
        self.assertEqual(fresh.grant("a", "b"), 0)
        self.assertFalse(fresh.take("a"))
        self.assertEqual(fresh.close("a"), 0)

    def test_each_retry_is_taken_once(self):
        taken = [self.ledger.take("a") for _ in range(4)]
        self.assertEqual(taken, [True, True, True, False])

    def test_forgotten_attempts_go_with_their_children(self):
        self.ledger.grant("a", "b")
        self.assertEqual(self.ledger.expire(9.0), 0)
        self.assertEqual(self.ledger.expire(10.0), 1)
        self.assertEqual(len(self.ledger), 0)
        self.assertEqual(self.ledger.give_back("b", 2), 0)

    def test_the_ledger_stays_within_its_capacity(self):
        ledger = retries.Ledger(capacity=2)
        opened = [ledger.open(name, 1, 1.0) for name in "abc"]
        self.assertEqual(opened, [True, True, False])
        self.assertEqual(ledger.grant("c", "d"), 0)


class UsefulnessTest(unittest.TestCase):
    def test_a_lone_failure_sixteen_deep_is_retried(self):
        """One endpoint of the deepest of sixteen services refuses one call.

        The reader sees nothing of it, because the hop above tries another.
        """
        for budget in (1, 2, 3, 10):
            with self.subTest(budget=budget):
                self.assertTrue(self._retry_at_depth(16, budget))

    def _retry_at_depth(self, depth, budget):
        held = budget
        for hop in range(depth - 1):
            ledger = retries.Ledger()
            ledger.open(f"a{hop}", held, expires=10.0)
            held = ledger.grant(f"a{hop}", f"a{hop + 1}")
        ledger = retries.Ledger()
        ledger.open("last", held, expires=10.0)
        granted = ledger.grant("last", "refused")
        ledger.give_back("refused", granted)
        decision = decide(remaining=ledger.get_remaining("last"))
        return decision.again and ledger.take("last")

    def test_calls_made_in_turn_are_each_granted_all_but_one(self):
        """A deep chain meets several refusals on its way down.

        Were half kept back at each hop, the last ones could not try again.
        """
        ledger = retries.Ledger()
        for number in range(300):
            ledger.open(f"a{number}", 3, expires=10.0)
            granted = ledger.grant(f"a{number}", f"c{number}")
            ledger.give_back(f"c{number}", granted)
        ledger.open("a", 3, expires=10.0)
        self.assertEqual(ledger.grant("a", "c"), 2)
        self.assertTrue(ledger.take("a"))

    def test_calls_made_together_share(self):
        ledger = retries.Ledger()
        for number in range(300):
            ledger.open(f"a{number}", 3, expires=10.0)
            first = ledger.grant(f"a{number}", f"c{number}")
            second = ledger.grant(f"a{number}", f"d{number}")
        self.assertEqual((first, second), (1, 1))
        self.assertTrue(ledger.take("a299"))

    def test_jitter_spreads_what_was_refused_together(self):
        generator = random.Random(1)
        delays = [
            retries.draw_backoff(Reason.QUEUE, 3, generator.random) for _ in range(1000)
        ]
        slots = {int(delay / retries.FIRST_BACKOFF) for delay in delays}
        self.assertEqual(slots, set(range(8)))


if __name__ == "__main__":
    unittest.main()
