"""Tests of the inference of entry routes and of the parents of calls."""

import unittest

from whinwinch import callgraph
from whinwinch.messages import Importance

# Connections of a caller and of the local backend server.
CALLER, BACKEND = 1, 2


def run(route, deadline, importance=1, root=""):
    importance = Importance(importance)
    return callgraph.RunningRequest(route, root or route, importance, deadline)


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.graph = callgraph.CallGraph()

    def test_requests_while_nothing_runs_come_from_callers(self):
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.assertFalse(self.graph.is_entry("browse"))
            self.assertTrue(self.graph.observe("browse", CALLER, 5.0, 0.0))
        self.assertTrue(self.graph.is_entry("browse"))

    def test_request_that_expires_after_all_running_ones_comes_from_a_caller(self):
        """A daemon that is never idle still distinguishes callers from its backend.

        In a burst that begins with the first second no backend server is ever idle.
        If only idle times identified callers, status checks would count as calls of
        browse requests and wait behind them.
        """
        self.graph.start("a", run("index", 2.0), 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.graph.observe("pay", CALLER, 5.0, 0.0)
        self.assertTrue(self.graph.is_entry("pay"))

    def test_connection_of_a_caller_identifies_its_other_requests(self):
        """Status checks expire before running requests, but share a connection."""
        self.graph.start("a", run("index", 2.0), 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.graph.observe("pay", CALLER, 5.0, 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.assertTrue(self.graph.observe("status", CALLER, 0.6, 0.0))
            self.assertFalse(self.graph.observe("queue", BACKEND, 0.7, 0.0))
        self.assertEqual(self.graph.entries, {"pay", "status"})

    def test_entry_route_does_not_make_the_backend_connection_a_callers(self):
        """The local backend server calls a route that callers also use."""
        self.graph.merge_topology(callgraph.Topology(("status",)))
        self.graph.start("a", run("index", 2.0), 0.0)
        for _ in range(9):
            self.graph.observe("status", BACKEND, 0.6, 0.0)
            self.assertFalse(self.graph.observe("queue", BACKEND, 0.7, 0.0))

    def test_keys_show_at_once_which_requests_come_from_callers(self):
        """Guards against guessing where a request tells whose it is."""
        self.graph.start("a", run("index", 9.0), 0.0)
        self.graph.record_caller("browse", CALLER, is_entry=True)
        self.assertTrue(self.graph.is_entry("browse"))
        self.assertTrue(self.graph.observe("status", CALLER, 0.6, 0.0))
        self.assertFalse(self.graph.observe("queue", BACKEND, 0.7, 0.0))

    def test_key_on_a_called_route_makes_no_entry(self):
        """Guards against a caller that makes nested calls look like roots."""
        self.graph.start("a", run("index", 9.0), 0.0)
        self.graph.record_caller("queue", CALLER, is_entry=False)
        self.assertFalse(self.graph.is_entry("queue"))
        self.assertFalse(self.graph.observe("queue", BACKEND, 0.7, 0.0))

    def test_single_observation_makes_no_entry(self):
        """A request reaches its deadline just before its last call arrives.

        If the call counted as a caller's request it could be refused, and the work
        already done for its parent would be lost.
        """
        self.graph.observe("index", BACKEND, 5.0, 0.0)
        self.assertFalse(self.graph.is_entry("index"))

    def test_reported_topology_applies_at_once(self):
        """All daemons restart after a power loss, and the deepest service is full.

        Until each daemon has observed again which requests call that service, it
        would admit all of them, and they would fail.
        """
        edge = callgraph.Edge("browse", "index")
        self.graph.merge_topology(callgraph.Topology(("browse",), (edge,)))
        self.assertTrue(self.graph.is_entry("browse"))
        self.assertEqual(self.graph.find_children("browse"), {"index"})
        topology = callgraph.Topology(("browse",), (edge,))
        self.assertEqual(self.graph.export_topology(), topology)

    def test_wrongly_reported_call_is_outweighed(self):
        """Another daemon reports a call because deadlines matched by chance.

        If the report counted for ever, requests would be refused for the load of a
        service that they never reach.
        """
        self.graph.merge_topology(
            callgraph.Topology((), (callgraph.Edge("browse", "index"),))
        )
        for number in range(100):
            self.graph.start("p", run("pay", 5.0 + number), 0.0)
            self.graph.begin_call("index", BACKEND, 5.0 + number, 0.0)
            self.graph.end("p")
        self.graph.merge_topology(
            callgraph.Topology((), (callgraph.Edge("browse", "index"),))
        )
        self.assertEqual(self.graph.find_children("browse"), frozenset())
        self.assertEqual(self.graph.find_children("pay"), {"index"})

    def test_few_observations_are_not_reported(self):
        for number in range(callgraph.MIN_REPORTED_OBSERVATIONS):
            self.assertEqual(self.graph.export_topology().calls, ())
            self.graph.start("p", run("pay", 5.0 + number), 0.0)
            self.graph.begin_call("index", BACKEND, 5.0 + number, 0.0)
            self.graph.end("p")
        edges = (callgraph.Edge("pay", "index"),)
        self.assertEqual(self.graph.export_topology().calls, edges)

    def test_few_observations_among_many_calls_make_no_entry(self):
        self.graph.start("a", run("browse", 5.0), 0.0)
        for _ in range(100):
            self.graph.observe("index", BACKEND, 2.0, 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.graph.observe("index", BACKEND, 9.0, 0.0)
        self.assertFalse(self.graph.is_entry("index"))

    def test_requests_that_expire_before_a_running_one_make_no_entry(self):
        self.graph.start("a", run("browse", 5.0), 0.0)
        for _ in range(9):
            self.assertFalse(self.graph.observe("index", BACKEND, 2.0, 0.0))
        self.assertFalse(self.graph.is_entry("index"))

    def test_calls_of_abandoned_requests_do_not_come_from_callers(self):
        """A caller disconnects, and the backend server works on for a while.

        Its calls arrive while no request is recorded as running. If they counted as
        callers' requests, all calls of that route would be refused although work
        had been done for their parents.
        """
        self.graph.start("a", run("browse", 5.0), 0.0)
        self.graph.end("a", False)
        for _ in range(9):
            self.assertFalse(self.graph.observe("index", BACKEND, 4.0, 1.0))
        self.assertTrue(self.graph.observe("index", BACKEND, 7.0, 6.0))

    def test_calls_of_requests_from_before_a_restart_do_not_come_from_callers(self):
        """The daemon is killed and restarts beside a busy backend server.

        The new process doesn't know which requests the backend server received from
        the previous one.
        """
        self.graph.unknown_until = 5.0
        for _ in range(9):
            self.assertFalse(self.graph.observe("index", BACKEND, 2.0, 0.0))
        self.assertTrue(self.graph.observe("browse", CALLER, 6.0, 1.0))

    def test_reported_entries_are_not_children(self):
        self.graph.start("a", run("browse", 5.0), 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.graph.begin_call("status", BACKEND, 1.0, 0.0)
        self.assertEqual(self.graph.find_children("browse"), {"status"})
        self.graph.merge_topology(callgraph.Topology(("status",)))
        self.assertEqual(self.graph.find_children("browse"), frozenset())


class ParentTest(unittest.TestCase):
    def setUp(self):
        self.graph = callgraph.CallGraph()
        # These calls have more time left than later ones, which therefore don't have
        # their full timeout left.
        self.graph.start("o", run("other", 9.0), 0.0)
        self.graph.begin_call("index", BACKEND, 9.0, 0.0)
        self.graph.begin_call("queue", BACKEND, 0.7, 0.0)
        self.graph.end("o")
        self.connection = 10

    def call(self, route, deadline, now=0.0):
        """Make a call that is answered at once, and return its parent's request."""
        self.connection += 1
        made = self.graph.begin_call(route, self.connection, deadline, now)
        if made is None:
            return None
        self.graph.end_call(made, self.connection, now)
        return made.run.request

    def test_deadline_identifies_the_parent(self):
        """Payout and browse requests run at the same time, and both make calls.

        If a payout's call counted as a browse request's, it would be shed first.
        """
        self.graph.start("p", run("pay", 0.8, 3), 0.0)
        self.graph.start("b", run("browse", 5.0), 0.0)
        for _ in range(4):
            self.assertEqual(self.call("index", 0.801).route, "pay")
        self.assertEqual(self.graph.find_children("pay"), {"index"})
        self.assertEqual(self.graph.find_children("browse"), frozenset())

    def test_deadlines_that_match_by_chance_make_no_child(self):
        """Back-issue requests make no calls but run beside requests that do.

        Now and then one has the same deadline as a call. If its route counted as the
        parent, all back-issue requests would be refused for the load of a service
        that they never reach.
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

    def test_call_with_its_full_timeout_is_not_matched_by_deadline(self):
        """A call that has its full timeout left expires before its parent.

        A request that happens to have the same deadline is not its parent.
        """
        self.graph.start("b", run("back-issues", 0.7), 0.0)
        self.graph.start("i", run("index", 2.0), 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.call("queue", 0.699)
        self.assertEqual(self.graph.find_children("back-issues"), frozenset())

    def test_request_that_expires_before_a_call_is_not_its_parent(self):
        self.graph.start("p", run("pay", 0.8, 3), 0.0)
        self.graph.start("b", run("browse", 5.0), 0.0)
        parents = {self.call("index", 2.0).route for _ in range(4)}
        self.assertEqual(parents, {"browse"})

    def test_known_parents_of_a_route_are_preferred(self):
        self.graph.start("i", run("index", 5.0), 0.0)
        for _ in range(callgraph.MIN_OBSERVATIONS):
            self.call("queue", 0.7)
        self.graph.start("b", run("back-issues", 5.0), 0.0)
        parents = {self.call("queue", 0.7, 1.0 + n).route for n in range(6)}
        self.assertEqual(parents, {"index"})

    def test_next_call_comes_on_the_connection_of_the_answer(self):
        """Two requests make four calls each that differ only in their connection.

        If the calls were assigned in turn, half of the payout's calls would be shed
        with those of the browse request, and it would fail although there is
        capacity for it.
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

    def test_importance_is_the_midpoint_of_the_possible_parents(self):
        """A payout and a browse request have both just begun, and one makes a call.

        With the importance of the browse request a payout's call would be shed with
        browse calls; with that of the payout all browse calls would be as important.
        """
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "browse"), 0.0)
        self.assertEqual(self.graph.begin_call("queue", 21, 0.7, 0.0).importance, 2)

    def test_due_time_is_the_earliest_of_the_possible_parents(self):
        """A payout and a reader's request run, and either may have made a call.

        With the due time of the reader's request the payout's call would wait behind
        all calls that are due sooner, and the payout would fail.
        """
        now = 1.0
        for name, importance, due in (
            ("overdue", 0, 0.5),
            ("pay", 3, 1.6),
            ("r", 0, 4),
        ):
            request = run(name, 9.0, importance)._replace(due=due)
            self.graph.start(name, request, 0.9)
        self.assertEqual(1.6, self.graph.begin_call("c", BACKEND, 7.0, now).due)

    def test_deadline_corrects_an_inferred_parent(self):
        """A payout's first call may be a browse request's; its next one can't be."""
        self.graph.start("b", run("index", 2.0, 1, "browse"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.graph.start("p", run("index", 0.75, 3, "pay"), 0.0)
        self.graph.end_call(first, 21, 0.1)
        again = self.graph.begin_call("queue", 21, 0.7495, 0.1)
        self.assertEqual(again.run.request.root, "pay")
        self.assertEqual(again.importance, 3)

    def test_calls_of_a_request_don_t_become_less_important(self):
        """A browse request's first call may be a payout's; its next one can't be.

        If the next call got the browse request's own importance, it would be shed
        and the work on the first call lost.
        """
        self.graph.start("b", run("index", 0.75, 1, "browse"), 0.0)
        self.graph.start("p", run("index", 2.0, 3, "pay"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.assertEqual(first.importance, 2)
        self.graph.end_call(first, 21, 0.1)
        again = self.graph.begin_call("queue", 21, 0.7495, 0.1)
        self.assertEqual(again.run.request.root, "browse")
        self.assertEqual(again.importance, 2)

    def test_request_that_has_made_its_usual_calls_is_no_parent(self):
        """The next request reuses its connection right after its last answer."""
        for _ in range(callgraph.MIN_OBSERVATIONS):
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

    def test_unmatched_requests_for_the_local_service_come_from_callers(self):
        """Callers' requests come on new connections and expire before running ones.

        If status checks counted as calls of browse requests, they would wait behind
        those.
        """
        self.graph.start("b", run("browse", 5.0), 0.0)
        for number in range(callgraph.MIN_UNMATCHED):
            self.graph.observe("status", 30 + number, 0.6, 0.0)
            self.graph.begin_call("status", 30 + number, 0.6, 0.0, True)
        self.assertTrue(self.graph.is_entry("status"))

    def test_connection_that_another_request_reuses_later(self):
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.graph.end_call(first, 21, 0.02)
        self.graph.start("2", run("index", 5.0, 1, "browse"), 0.0)
        later = self.graph.begin_call("queue", 21, 0.8, 0.1)
        self.assertEqual(later.run.request.root, "browse")

    def test_request_that_has_ended_is_no_parent(self):
        self.graph.start("1", run("index", 5.0, 3, "pay"), 0.0)
        first = self.graph.begin_call("queue", 21, 0.7, 0.0)
        self.graph.end_call(first, 21, 0.02)
        self.graph.end("1")
        self.assertIsNone(self.graph.begin_call("queue", 21, 0.8, 0.021))

    def test_request_with_a_call_in_flight_is_not_chosen_again(self):
        self.graph.start("1", run("index", 5.0, 3, "r1"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "r2"), 0.0)
        self.graph.start("3", run("index", 5.0, 1, "r3"), 0.0)
        made = [self.graph.begin_call("queue", n, 0.7, 0.0) for n in range(3)]
        self.assertEqual([m.run.request.root for m in made], ["r1", "r2", "r3"])

    def test_indistinguishable_calls_are_assigned_in_turn(self):
        """Requests of each importance get a share of the calls."""
        self.graph.start("1", run("index", 5.0, 3, "r1"), 0.0)
        self.graph.start("2", run("index", 5.0, 1, "r2"), 0.0)
        parents = [self.call("queue", 0.7, float(n)).root for n in range(4)]
        self.assertEqual(sorted(parents), ["r1", "r1", "r2", "r2"])

    def test_first_call_of_a_route_with_parents_of_several_routes(self):
        self.graph.start("1", run("index", 5.0), 0.0)
        self.graph.start("2", run("browse", 5.0), 0.0)
        self.assertIn(self.call("new", 0.7).route, ("index", "browse"))

    def test_no_parent_while_nothing_runs(self):
        self.assertIsNone(self.call("queue", 0.7))
        self.graph.start("1", run("index", 5.0), 0.0)
        self.graph.end("1")
        self.assertIsNone(self.call("queue", 0.7))


class CallsLeftTest(unittest.TestCase):
    """Requests of "index" make four calls of "queue", one after the other."""

    def setUp(self):
        self.graph = callgraph.CallGraph()
        for number in range(callgraph.MIN_OBSERVATIONS):
            self.make_calls(number)

    def make_calls(self, number, calls_left=0):
        """Run one request; return the calls left that each of its calls tells."""
        start = 10.0 * number
        running = run("index", start + 2.0)._replace(calls_left=calls_left)
        self.graph.start("a", running, start)
        told = []
        for call in range(4):
            now = start + 0.1 * (call + 1)
            parent = self.graph.begin_call("queue", BACKEND, now + 0.7, now)
            told.append(self.graph.count_calls_left(parent))
            self.graph.end_call(parent, BACKEND, now + 0.099)
        self.graph.end("a")
        return told

    def test_each_call_tells_how_many_follow(self):
        self.assertEqual(self.make_calls(9), [3, 2, 1, 0])

    def test_calls_of_requests_that_follow_further_up_are_counted(self):
        """Guards against taking the last call of the first of two parts for the last.

        A payment whose first part is done would be repeated like one that is done.
        """
        self.assertEqual(self.make_calls(9, calls_left=1), [7, 6, 5, 4])

    def test_number_of_calls_left_is_bounded(self):
        """Guards against a number that grows at each hop until no message holds it."""
        told = self.make_calls(9, calls_left=callgraph.MAX_CALLS_LEFT)
        self.assertEqual(told, [callgraph.MAX_CALLS_LEFT] * 4)

    def test_calls_in_flight_beside_one_are_counted(self):
        """Guards against repeating one of two calls while the other is given up."""
        self.graph.start("a", run("index", 102.0), 100.0)
        first = self.graph.begin_call("queue", BACKEND, 100.8, 100.1)
        second = self.graph.begin_call("queue", BACKEND + 1, 100.8, 100.1)
        self.assertIs(first.run, second.run)
        self.assertEqual(self.graph.count_calls_left(second), 3)

    def test_timeouts_that_vary_leave_the_calls_of_a_request_together(self):
        """Guards against guessing anew for each call whose timeout is its own."""
        for number in range(12):
            importance = 3 if number == 0 else 1
            running = run("index", 205.0 + number, importance, f"r{number}")
            self.graph.start(f"a{number}", running, 200.0)
        first = self.graph.begin_call("queue", BACKEND, 200.7, 200.0)
        self.graph.end_call(first, BACKEND, 200.05)
        for made, left in ((2, 0.64), (3, 0.69), (4, 0.61)):
            now = 200.0 + 0.05 * (made - 1)
            parent = self.graph.begin_call("queue", BACKEND, now + left, now)
            self.assertEqual((parent.run, parent.made), (first.run, made))
            self.graph.end_call(parent, BACKEND, now + 0.05)

    def test_requests_that_fail_do_not_change_how_many_calls_follow(self):
        """Guards against taking the first call of four for the second.

        While most requests fail, the calls of those that don't are taken for others'.
        """
        for number in range(60):
            self.make_calls(20 + number)
        for number in range(60):
            start = 900.0 + number
            self.graph.start("a", run("index", start + 2.0), start)
            failed = self.graph.begin_call("queue", BACKEND, start + 0.7, start)
            self.graph.end_call(failed, BACKEND, start + 0.02, succeeded=False)
            self.graph.end("a", completed=number % 3 == 0)
        self.assertEqual(self.make_calls(90), [3, 2, 1, 0])

    def test_failed_call_ends_the_sequence_on_its_connection(self):
        """Guards against a failed request's importance for another one's first call."""
        self.graph.start("1", run("index", 205.0, 3, "pay"), 200.0)
        failed = self.graph.begin_call("queue", BACKEND, 200.7, 200.0)
        self.graph.end_call(failed, BACKEND, 200.02, succeeded=False)
        self.graph.start("2", run("index", 205.0, 1, "browse"), 200.02)
        parent = self.graph.begin_call("queue", BACKEND, 200.721, 200.021)
        self.assertEqual(parent.run.request.root, "browse")

    def test_calls_keep_their_root_when_the_request_guessed_has_ended(self):
        """Guards against telling the later calls of a request as those of others."""
        self.graph.start("1", run("index", 205.0, 3, "pay"), 200.0)
        self.graph.start("2", run("index", 205.0, 1, "browse"), 200.0)
        first = self.graph.begin_call("queue", BACKEND, 200.7, 200.0)
        self.graph.end_call(first, BACKEND, 200.02)
        attempt = "1" if first.run.request.root == "pay" else "2"
        self.graph.end(attempt, completed=False)
        second = self.graph.begin_call("queue", BACKEND, 200.721, 200.021)
        self.assertIs(second.run, first.run)
        self.assertEqual(self.graph.count_calls_left(second), 2)
