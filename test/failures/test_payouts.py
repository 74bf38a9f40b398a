"""Payouts under failures: each runs at most once, and "not run" is a fact."""

import signal
import unittest

from test.failures import meshes

# Service times of some seconds: long enough that a failure surely comes while
# the backend server works.
WHILE_RUNNING = 100.0


class PayoutTest(meshes.MeshTest):
    zones = ("a", "b", "c")

    def tearDown(self):
        self.set_log_faults(down=False, delay=0.0, lose_answers=0)
        self.slow_down(1.0)

    def assert_kept(self, reply, key):
        """Check a reply against what the backend servers have run."""
        runs = self.read_runs(key)
        self.assertLessEqual(runs, 1)
        if reply.outcome == "not-run":
            self.assertEqual(0, runs)

    def test_asked_twice_it_runs_once(self):
        """A poet's client sends a payout again although it was answered.

        Run again, the poet would be overpaid and have to give it back.
        """
        key = meshes.new_key()
        first = self.pay(self.nodes[0], key)
        second = self.pay(self.nodes[1], key)
        self.assertEqual("completed", first.outcome)
        self.assertEqual("unknown", second.outcome)
        self.assertEqual("key-claimed", second.reason)
        self.assertEqual(1, self.read_runs(key))

    def test_asked_at_all_daemons_at_once_it_runs_once(self):
        """A client that retries hard asks every daemon in the same moment."""
        key = meshes.new_key()
        futures = [self.pay_soon(node, key) for node in self.nodes for _ in range(4)]
        replies = [future.result(meshes.GENEROUS) for future in futures]
        outcomes = [reply.outcome for reply in replies]
        self.assertEqual(1, outcomes.count("completed"))
        self.assertNotIn("not-run", outcomes)
        self.assertEqual(1, self.read_runs(key))

    def test_an_append_whose_answer_is_lost(self):
        """The log takes a claim, but its answer gets lost.

        The gatekeeper can't know whether it has claimed; it has to read on,
        neither running twice nor refusing what it may run.
        """
        key = meshes.new_key()
        self.set_log_faults(lose_answers=1)
        reply = self.pay(self.nodes[0], key)
        self.assertEqual("completed", reply.outcome)
        self.assertEqual(1, self.read_runs(key))

    def test_before_during_and_after_an_outage_of_the_log(self):
        """The platform's log is down for a while.

        Payouts are refused as not run meanwhile; reads go on as if nothing
        were. Afterwards the same key runs.
        """
        before, during = meshes.new_key(), meshes.new_key()
        self.assertEqual("completed", self.pay(self.nodes[0], before).outcome)
        self.set_log_faults(down=True)
        refused = self.pay(self.nodes[0], during)
        self.assertEqual("not-run", refused.outcome)
        self.assertEqual("log-down", refused.reason)
        self.assertEqual(0, self.read_runs(during))
        again = self.pay(self.nodes[1], before)
        self.assertNotEqual("completed", again.outcome)
        self.assertEqual("completed", self.call(self.nodes[0], "royalties/x").outcome)
        self.set_log_faults(down=False)
        replies = []

        def is_run():
            replies.append(self.pay(self.nodes[2], during))
            return replies[-1].outcome == "completed"

        self.wait_until("the payout runs after the outage", is_run)
        self.assertEqual(1, self.read_runs(during))
        self.assertEqual(1, self.read_runs(before))

    def test_a_winner_that_is_frozen_and_resumed(self):
        """The instance that runs a payout is frozen past every timeout.

        The caller is told "unknown" and asks again elsewhere with the same
        key; then the frozen daemon wakes up and goes on as if nothing were.
        """
        key = meshes.new_key()
        self.slow_down(WHILE_RUNNING)
        first = self.pay_soon(self.nodes[0], key, timeout=4000)
        runner = self.find_runner(key)
        others = [node for node in self.nodes if node != runner]
        self.signal(runner, signal.SIGSTOP)
        try:
            if runner != self.nodes[0]:
                self.assertEqual("unknown", first.result(meshes.GENEROUS).outcome)
            second = self.pay(others[0], key)
            self.assertNotEqual("completed", second.outcome)
            self.assert_kept(second, key)
        finally:
            self.signal(runner, signal.SIGCONT)
        self.assert_kept(first.result(meshes.GENEROUS), key)
        self.slow_down(1.0)
        third = self.pay(others[1], key)
        self.assert_kept(third, key)
        self.assertEqual(1, self.read_runs(key))


class KilledGatekeeperTest(meshes.MeshTest):
    zones = ("a", "b", "c")

    def test_a_gatekeeper_killed_between_sending_and_answering(self):
        """The daemon beside the backend server is killed during a payout.

        The backend server runs on, and nobody hears of its answer. Sent again
        by a daemon, or under the same key by the caller, it would run twice.
        """
        key = meshes.new_key()
        self.slow_down(WHILE_RUNNING)
        entries = [self.pay_soon(node, key) for node in self.nodes]
        runner = self.find_runner(key)
        self.kill(runner)
        replies = [entry.result(meshes.GENEROUS) for entry in entries]
        self.assertNotIn("not-run", [reply.outcome for reply in replies])
        self.slow_down(1.0)
        again = self.pay(self.find_other(runner), key)
        self.assertEqual("unknown", again.outcome)
        self.assertEqual(1, self.read_runs(key))


if __name__ == "__main__":
    unittest.main()
