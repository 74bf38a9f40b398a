"""Tests of the fair shares of callers and keys, and of long jobs."""

import random
import unittest

from whinwinch import admission, fairness, messages


def make_request(index, caller, path="/"):
    return messages.Request(
        str(index),
        str(index),
        "catalog",
        "",
        "GET",
        path,
        messages.Importance.NORMAL,
        1e9,
        caller=caller,
    )


def feed(shares, make_next, seconds, rate, capacity):
    """Record requests at a rate and update the levels as a gate does.

    Args:
        shares: The `fairness.Shares`.
        make_next: Function from a random generator and an index to a request.
        seconds: Duration.
        rate: Requests a second.
        capacity: Requests a second that can be served.
    """
    rng = random.Random(5)
    now, index, next_update = 0.0, 0, 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        index += 1
        request = make_next(rng, index)
        rank = messages.rank_request(request)
        if rank >= shares.level(request):
            shares.record(request, rank, now)
        if now > next_update:
            shares.update(capacity, (0.0,) * admission.IMPORTANCE_COUNT, now)
            next_update = now + 0.05


class SharesTest(unittest.TestCase):
    def test_only_the_hot_caller_is_cut(self):
        """One of five callers sends four times what all others send together.

        With one level for all callers, four of five requests of the others would be
        refused because of it.
        """
        shares = fairness.Shares(0.0)

        def make_next(rng, index):
            caller = "hot" if rng.random() < 0.8 else f"caller{rng.randrange(4)}"
            return make_request(index, caller)

        feed(shares, make_next, 5.0, 500.0, 200.0)
        self.assertLess(shares.level(make_request(0, "caller1")), 1.05)
        self.assertGreater(shares.level(make_request(0, "hot")), 1.5)

    def test_only_the_hot_key_is_cut(self):
        shares = fairness.Shares(0.0)

        def make_next(rng, index):
            path = "/hot?page=2" if rng.random() < 0.8 else f"/{rng.randrange(9)}"
            return make_request(index, "reader", path)

        feed(shares, make_next, 5.0, 500.0, 200.0)
        self.assertLess(shares.level(make_request(0, "reader", "/1")), 1.05)
        self.assertGreater(shares.level(make_request(0, "reader", "/hot")), 1.5)

    def test_number_of_flows_is_bounded(self):
        flows = fairness.Flows(0.0)
        for index in range(10000):
            flows.record(str(index), 1.0)
        self.assertLessEqual(len(flows), fairness.MAX_FLOWS)


class DurationsTest(unittest.TestCase):
    def test_long_kind_is_recognised_before_its_first_job_ends(self):
        """Long jobs arrive before any of them has ended.

        Treated as short ones, they would occupy every slot for a hundred times as long.
        """
        durations = fairness.Durations()
        for _ in range(20):
            durations.observe("list", 0.01)
        durations.start("export", 1.0)
        self.assertFalse(durations.is_long("export", 1.01))
        self.assertTrue(durations.is_long("export", 1.2))
        self.assertFalse(durations.is_long("list", 1.2))

    def test_kind_whose_first_job_failed_is_not_long(self):
        """The first job of a kind fails, so its service time doesn't count.

        If it were still recorded as running, the kind would be treated as long.
        """
        durations = fairness.Durations()
        durations.observe("list", 0.01)
        durations.start("search", 1.0)
        durations.end("search")
        self.assertFalse(durations.is_long("search", 9.0))

    def test_long_jobs_keep_a_part_of_the_slots(self):
        self.assertEqual(fairness.compute_long_limit(70, 70.0), 8)
        self.assertEqual(fairness.compute_long_limit(70, 10.5), 70 - 11)
        self.assertEqual(fairness.compute_long_limit(1, 1.0), 1)
