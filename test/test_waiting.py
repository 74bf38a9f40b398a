"""Tests of the queue for slots."""

import unittest

from whinwinch import messages, waiting


def make_waiter(name, importance, expires=10.0):
    request = messages.Request(
        name, name, "catalog", "", "GET", "/", importance, expires
    )
    return waiting.Waiter(request, messages.rank_request(request), 0.0, expires)


class QueueTest(unittest.TestCase):
    def test_serves_by_importance_then_arrival(self):
        queue = waiting.Queue()
        for name, importance in (("a", 1), ("b", 3), ("c", 1), ("d", 3)):
            queue.add(make_waiter(name, messages.Importance(importance)))
        served = [queue.pop_next().request.attempt for _ in range(4)]
        self.assertEqual(served, ["b", "d", "a", "c"])
        self.assertIsNone(queue.pop_next())

    def test_earlier_due_time_is_served_before_earlier_arrival(self):
        """Under overload, the last call of a request meets first calls of others.

        If it were served behind them it would be late, and all work done for the
        request would be lost.
        """
        queue = waiting.Queue()
        normal = messages.Importance.NORMAL
        for name, due in (("new", 9.0), ("old", 3.0), ("also-new", 9.0)):
            queue.add(make_waiter(name, normal)._replace(due=due))
        queue.remove("new")
        queue.add(make_waiter("late", messages.Importance.LOW)._replace(due=1.0))
        served = [queue.pop_next().request.attempt for _ in range(3)]
        self.assertEqual(served, ["old", "also-new", "late"])

    def test_expires_and_removes(self):
        queue = waiting.Queue()
        queue.add(make_waiter("a", messages.Importance.LOW, 1.0))
        queue.add(make_waiter("b", messages.Importance.LOW, 2.0))
        self.assertEqual(queue.next_expiry(), 1.0)
        self.assertEqual([w.request.attempt for w in queue.pop_expired(1.5)], ["a"])
        self.assertIsNotNone(queue.remove("b"))
        self.assertIsNone(queue.remove("b"))
        self.assertEqual(len(queue), 0)

    def test_flows_are_compared_by_margin(self):
        """A hot caller is cut to its highest tenth of ranks.

        Compared by rank, these would displace all other callers from a full queue.
        """
        hot = waiting.measure_margin(1.91, 1.9)
        usual = waiting.measure_margin(1.5, 1.0)
        self.assertLess(hot, usual)
