"""Tests of which calls belong to which requests."""

import unittest

from whinwinch import callgraph


def run(route, deadline, importance=1, root=""):
    return callgraph.Running(route, root or route, importance, deadline)


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.graph = callgraph.CallGraph()

    def test_request_while_nothing_runs_is_a_callers(self):
        found = [self.graph.observe("browse") for _ in range(2)]
        self.assertEqual(found, [False, True])
        self.assertTrue(self.graph.is_entry("browse"))

    def test_one_sight_proves_nothing(self):
        """A run ends for its deadline just before its last call arrives.

        Taken for a caller's, the call could be refused, and with it a request
        for which much has been done.
        """
        self.graph.observe("index")
        self.assertFalse(self.graph.is_entry("index"))

    def test_nothing_is_learnt_while_something_runs(self):
        self.graph.start("a", run("browse", 5.0))
        for _ in range(9):
            self.graph.observe("index")
        self.assertFalse(self.graph.is_entry("index"))

    def test_entries_of_others_are_no_children(self):
        self.graph.start("a", run("browse", 5.0))
        for _ in range(2):
            self.graph.choose_parent("status", 1.0)
        self.assertEqual(self.graph.find_children("browse"), {"status"})
        self.graph.learn_entries(("status",))
        self.assertEqual(self.graph.find_children("browse"), frozenset())


class ParentTest(unittest.TestCase):
    def setUp(self):
        self.graph = callgraph.CallGraph()

    def test_deadline_tells_the_parent(self):
        """Payouts and browsing run together, and both make calls.

        Were a payout's call taken for one of browsing, it would be shed first.
        """
        self.graph.start("p", run("pay", 0.8, 3))
        self.graph.start("b", run("browse", 5.0))
        for _ in range(4):
            parent = self.graph.choose_parent("index", 0.801)
            self.assertEqual(parent.route, "pay")
        self.assertEqual(self.graph.find_children("pay"), {"index"})
        self.assertEqual(self.graph.find_children("browse"), frozenset())

    def test_no_call_of_a_request_that_expires_before_it(self):
        self.graph.start("p", run("pay", 0.8, 3))
        self.graph.start("b", run("browse", 5.0))
        parents = {self.graph.choose_parent("index", 2.0).route for _ in range(4)}
        self.assertEqual(parents, {"browse"})

    def test_known_callers_of_a_route_go_first(self):
        self.graph.start("i", run("index", 5.0))
        for _ in range(2):
            self.graph.choose_parent("queue", 0.7)
        self.graph.start("b", run("back-issues", 5.0))
        parents = {self.graph.choose_parent("queue", 0.7).route for _ in range(6)}
        self.assertEqual(parents, {"index"})

    def test_several_in_turn(self):
        """Each importance gets its part of the calls that can't be told apart."""
        self.graph.start("1", run("index", 5.0, 3, "r1"))
        self.graph.start("2", run("index", 5.0, 1, "r2"))
        parents = [self.graph.choose_parent("queue", 0.7).root for _ in range(4)]
        self.assertEqual(sorted(parents), ["r1", "r1", "r2", "r2"])

    def test_nothing_runs(self):
        self.assertIsNone(self.graph.choose_parent("queue", 0.7))
        self.graph.start("1", run("index", 5.0))
        self.graph.end("1")
        self.assertIsNone(self.graph.choose_parent("queue", 0.7))
