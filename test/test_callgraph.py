"""Tests of which calls belong to which requests."""

import unittest

from whinwinch import callgraph

CALLER, OWN = 1, 2


def run(route, deadline, importance=1, root=""):
    return callgraph.Running(route, root or route, importance, deadline)


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.graph = callgraph.CallGraph()

    def test_requests_while_nothing_runs_are_callers(self):
        for _ in range(callgraph.SURE_SIGHTS):
            self.assertFalse(self.graph.is_entry("browse"))
            self.assertTrue(self.graph.observe("browse", CALLER, 5.0, 0.0))
        self.assertTrue(self.graph.is_entry("browse"))

    def test_request_that_expires_after_all_that_runs_is_a_callers(self):
        """A daemon that is never idle still tells callers from its own server.

        In a burst from the first second on no backend server is ever idle. With
        idle times as the only proof, status checks are taken for calls of
        browsing and wait behind it.
        """
        self.graph.start("a", run("index", 2.0), 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.graph.observe("pay", CALLER, 5.0, 0.0)
        self.assertTrue(self.graph.is_entry("pay"))

    def test_connection_of_a_caller_tells_of_its_other_requests(self):
        """Status checks expire sooner than what runs, and share connections."""
        self.graph.start("a", run("index", 2.0), 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.graph.observe("pay", CALLER, 5.0, 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.assertTrue(self.graph.observe("status", CALLER, 0.6, 0.0))
            self.assertFalse(self.graph.observe("queue", OWN, 0.7, 0.0))
        self.assertEqual(self.graph.entries, {"pay", "status"})

    def test_route_that_both_use_makes_no_connection_a_callers(self):
        """The own server calls a route that callers use too, on its connection."""
        self.graph.learn(callgraph.Facts(("status",)))
        self.graph.start("a", run("index", 2.0), 0.0)
        for _ in range(9):
            self.graph.observe("status", OWN, 0.6, 0.0)
            self.assertFalse(self.graph.observe("queue", OWN, 0.7, 0.0))

    def test_one_sight_proves_nothing(self):
        """A run ends for its deadline just before its last call arrives.

        Taken for a caller's, the call could be refused, and with it a request
        for which much has been done.
        """
        self.graph.observe("index", OWN, 5.0, 0.0)
        self.assertFalse(self.graph.is_entry("index"))

    def test_what_others_told_is_known_at_once(self):
        """All daemons lose power, and the deepest service is short of room at once.

        Until each has learnt anew which requests call it, all are let in, and fail.
        """
        edge = callgraph.Edge("browse", "index")
        self.graph.learn(callgraph.Facts(("browse",), (edge,)))
        self.assertTrue(self.graph.is_entry("browse"))
        self.assertEqual(self.graph.find_children("browse"), {"index"})
        facts = callgraph.Facts(("browse",), (edge,))
        self.assertEqual(self.graph.list_facts(), facts)

    def test_what_others_told_wrongly_dies_out(self):
        """Another daemon took chance meetings of deadlines for calls.

        Believed for ever, requests would be refused for a load they never meet.
        """
        self.graph.learn(callgraph.Facts((), (callgraph.Edge("browse", "index"),)))
        for number in range(100):
            self.graph.start("p", run("pay", 5.0 + number), 0.0)
            self.graph.begin_call("index", OWN, 5.0 + number, 0.0)
            self.graph.end("p")
        self.graph.learn(callgraph.Facts((), (callgraph.Edge("browse", "index"),)))
        self.assertEqual(self.graph.find_children("browse"), frozenset())
        self.assertEqual(self.graph.find_children("pay"), {"index"})

    def test_few_sights_are_told_to_nobody(self):
        for number in range(callgraph.TOLD_SIGHTS):
            self.assertEqual(self.graph.list_facts().calls, ())
            self.graph.start("p", run("pay", 5.0 + number), 0.0)
            self.graph.begin_call("index", OWN, 5.0 + number, 0.0)
            self.graph.end("p")
        edges = (callgraph.Edge("pay", "index"),)
        self.assertEqual(self.graph.list_facts().calls, edges)

    def test_few_sights_among_many_calls_prove_nothing(self):
        self.graph.start("a", run("browse", 5.0), 0.0)
        for _ in range(100):
            self.graph.observe("index", OWN, 2.0, 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.graph.observe("index", OWN, 9.0, 0.0)
        self.assertFalse(self.graph.is_entry("index"))

    def test_nothing_is_learnt_while_something_runs(self):
        self.graph.start("a", run("browse", 5.0), 0.0)
        for _ in range(9):
            self.assertFalse(self.graph.observe("index", OWN, 2.0, 0.0))
        self.assertFalse(self.graph.is_entry("index"))

    def test_calls_of_requests_given_up_on_are_no_callers(self):
        """A caller hangs up, and the backend server works on for a while.

        Its calls come while nothing runs. Were they taken for callers', all
        calls of that route would be refused as if nothing had been done.
        """
        self.graph.start("a", run("browse", 5.0), 0.0)
        self.graph.end("a", False)
        for _ in range(9):
            self.assertFalse(self.graph.observe("index", OWN, 4.0, 1.0))
        self.assertTrue(self.graph.observe("index", OWN, 7.0, 6.0))

    def test_calls_of_requests_from_before_a_restart_are_no_callers(self):
        """The daemon is killed and starts again beside a busy backend server.

        What the backend server was given before is unknown to the new process.
        """
        self.graph.horizon = 5.0
        for _ in range(9):
            self.assertFalse(self.graph.observe("index", OWN, 2.0, 0.0))
        self.assertTrue(self.graph.observe("browse", CALLER, 6.0, 1.0))

    def test_entries_of_others_are_no_children(self):
        self.graph.start("a", run("browse", 5.0), 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.graph.begin_call("status", OWN, 1.0, 0.0)
        self.assertEqual(self.graph.find_children("browse"), {"status"})
        self.graph.learn(callgraph.Facts(("status",)))
        self.assertEqual(self.graph.find_children("browse"), frozenset())


class ParentTest(unittest.TestCase):
    def setUp(self):
        self.graph = callgraph.CallGraph()
        # Some call with more time left shows that the later ones don't have
        # the longest time of their route.
        self.graph.start("o", run("other", 9.0), 0.0)
        self.graph.begin_call("index", OWN, 9.0, 0.0)
        self.graph.begin_call("queue", OWN, 0.7, 0.0)
        self.graph.end("o")
        self.connection = 10

    def call(self, route, deadline, now=0.0):
        """Make a call that is answered at once; return its run's request."""
        self.connection += 1
        made = self.graph.begin_call(route, self.connection, deadline, now)
        if made is None:
            return None
        self.graph.end_call(made, self.connection, now)
        return made.run.request

    def test_deadline_tells_the_parent(self):
        """Payouts and browsing run together, and both make calls.

        Were a payout's call taken for one of browsing, it would be shed first.
        """
        self.graph.start("p", run("pay", 0.8, 3), 0.0)
        self.graph.start("b", run("browse", 5.0), 0.0)
        for _ in range(4):
            self.assertEqual(self.call("index", 0.801).route, "pay")
        self.assertEqual(self.graph.find_children("pay"), {"index"})
        self.assertEqual(self.graph.find_children("browse"), frozenset())

    def test_chance_meetings_of_deadlines_make_no_child(self):
        """Back issues run beside what makes calls, and make none themselves.

        Now and then one expires just when a call does. Taken for its parent,
        all back issues would be refused for a service that they never meet.
        """
        for number in range(100):
            self.graph.start("i", run("index", 0.5), 0.0)
            self.call("queue", 0.5)
            self.graph.end("i")
            if number % 25 == 0:
                self.graph.start("b", run("back-issues", 0.4), 0.0)
                self.call("queue", 0.4)
                self.graph.end("b")
        self.assertEqual(self.graph.find_children("back-issues"), frozenset())
        self.assertEqual(self.graph.find_children("index"), {"queue"})

    def test_longest_time_of_a_call_says_nothing_of_its_parent(self):
        """A call that has its own longest time left ends before its parent.

        A request that happens to expire then is not its parent.
        """
        self.graph.start("b", run("back-issues", 0.7), 0.0)
        self.graph.start("i", run("index", 2.0), 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.call("queue", 0.699)
        self.assertEqual(self.graph.find_children("back-issues"), frozenset())

    def test_no_call_of_a_request_that_expires_before_it(self):
        self.graph.start("p", run("pay", 0.8, 3), 0.0)
        self.graph.start("b", run("browse", 5.0), 0.0)
        parents = {self.call("index", 2.0).route for _ in range(4)}
        self.assertEqual(parents, {"browse"})

    def test_known_callers_of_a_route_go_first(self):
        self.graph.start("i", run("index", 5.0), 0.0)
        for _ in range(callgraph.SURE_SIGHTS):
            self.call("queue", 0.7)
        self.graph.start("b", run("back-issues", 5.0), 0.0)
        parents = {self.call("queue", 0.7, 1.0 + n).route for n in range(6)}
        self.assertEqual(parents, {"index"})

    def test_next_call_comes_on_the_connection_of_the_answer(self):
        """Two requests make four calls each, with nothing to tell them apart.

        Taken in turn, half the calls of the payout would be shed with those of
        browsing, and it would fail though there is room for it.
        """
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "browse"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        second = self.graph.begin_call("queue", 22, 0.71, 0.01)
        self.assertIsNot(first.run, second.run)
        now = 0.1
        for _ in range(3):
            self.graph.end_call(first, 21, now)
            self.graph.end_call(second, 22, now)
            for before, connection in ((second, 22), (first, 21)):
                again = self.graph.begin_call("queue", connection, now + 0.7, now)
                self.assertIs(again.run, before.run)
            now += 0.02

    def test_importance_between_those_that_may_have_made_it(self):
        """A payout and browsing have both just begun, and one of them calls.

        Taken for browsing, the payout's call would be shed with its calls; taken for
        the payout, all of browsing's calls would be as important.
        """
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "browse"), 0.0)
        self.assertEqual(self.graph.begin_call("queue", 21, 0.7, 0.0).importance, 2)

    def test_earliest_time_of_those_that_may_have_made_it(self):
        """A payout and a reader's request run, and a call comes that either made.

        By the reader's time the payout's call would wait behind all that is due
        sooner, and the payout fail.
        """
        now = 1.0
        for name, importance, due in (
            ("overdue", 0, 0.5),
            ("pay", 3, 1.6),
            ("r", 0, 4),
        ):
            request = run(name, 9.0, importance)._replace(due=due)
            self.graph.start(name, request, 0.9)
        self.assertEqual(1.6, self.graph.begin_call("c", OWN, 7.0, now).due)

    def test_deadline_corrects_a_guess(self):
        """A payout's first call was taken for browsing's; its next one tells."""
        self.graph.start("b", run("index", 2.0, 1, "browse"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.graph.start("p", run("index", 0.75, 3, "pay"), 0.0)
        self.graph.end_call(first, 21, 0.1)
        again = self.graph.begin_call("queue", 21, 0.7495, 0.1)
        self.assertEqual(again.run.request.root, "pay")
        self.assertEqual(again.importance, 3)

    def test_calls_of_a_request_don_t_become_less_important(self):
        """Browsing's first call may have been a payout's; its next one can't be.

        Sent on as browsing's again, it would be shed after the first was served.
        """
        self.graph.start("b", run("index", 0.75, 1, "browse"), 0.0)
        self.graph.start("p", run("index", 2.0, 3, "pay"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.assertEqual(first.importance, 2)
        self.graph.end_call(first, 21, 0.1)
        again = self.graph.begin_call("queue", 21, 0.7495, 0.1)
        self.assertEqual(again.run.request.root, "browse")
        self.assertEqual(again.importance, 2)

    def test_request_that_has_made_its_calls_makes_no_other(self):
        """Its connection is taken by the next request right after its last answer."""
        for _ in range(callgraph.SURE_SIGHTS):
            self.graph.start("1", run("index", 5.0), 0.0)
            for _ in range(2):
                made = self.graph.begin_call("queue", 21, 0.7, 0.0)
                self.graph.end_call(made, 21, 0.0)
            self.graph.end("1")
        self.graph.start("1", run("index", 5.0, 1, "one"), 0.0)
        for _ in range(2):
            made = self.graph.begin_call("queue", 21, 0.7, 0.0)
            self.graph.end_call(made, 21, 0.0)
        self.graph.start("2", run("index", 5.0, 1, "two"), 0.0)
        made = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.assertEqual(made.run.request.root, "two")

    def test_requests_for_the_own_service_out_of_nothing_are_callers(self):
        """Callers ask over new connections, and expire before what runs here.

        Taken for calls of browsing, status checks would wait behind it.
        """
        self.graph.start("b", run("browse", 5.0), 0.0)
        for number in range(callgraph.SURE_STRAYS):
            self.graph.observe("status", 30 + number, 0.6, 0.0)
            self.graph.begin_call("status", 30 + number, 0.6, 0.0, True)
        self.assertTrue(self.graph.is_entry("status"))

    def test_connection_that_another_request_uses_later(self):
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.graph.end_call(first, 21, 0.02)
        self.graph.start("2", run("index", 5.0, 1, "browse"), 0.0)
        later = self.graph.begin_call("queue", 21, 0.8, 0.1)
        self.assertEqual(later.run.request.root, "browse")

    def test_request_that_has_ended_makes_no_call(self):
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.graph.end_call(first, 21, 0.02)
        self.graph.end("1")
        self.assertIsNone(self.graph.begin_call("queue", 21, 0.8, 0.021))

    def test_request_with_a_call_out_makes_no_other(self):
        self.graph.start("1", run("index", 5.0, 3, "r1"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "r2"), 0.0)
        self.graph.start("3", run("index", 5.0, 1, "r3"), 0.0)
        made = [self.graph.begin_call("queue", n, 0.7, 0.0) for n in range(3)]
        self.assertEqual([m.run.request.root for m in made], ["r1", "r2", "r3"])

    def test_several_in_turn(self):
        """Each importance gets its part of the calls that can't be told apart."""
        self.graph.start("1", run("index", 5.0, 3, "r1"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "r2"), 0.0)
        parents = [self.call("queue", 0.7, float(n)).root for n in range(4)]
        self.assertEqual(sorted(parents), ["r1", "r1", "r2", "r2"])

    def test_first_call_of_a_route_among_several_kinds_of_requests(self):
        self.graph.start("1", run("index", 5.0), 0.0)
        self.graph.start("2", run("browse", 5.0), 0.0)
        self.assertIn(self.call("new", 0.7).route, ("index", "browse"))

    def test_nothing_runs(self):
        self.assertIsNone(self.call("queue", 0.7))
        self.graph.start("1", run("index", 5.0), 0.0)
        self.graph.end("1")
        self.assertIsNone(self.call("queue", 0.7))
