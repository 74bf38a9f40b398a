"""Tests that payouts run at most once and never after "not run", under failures."""

import signal
import unittest

from test.failures import meshes

# Factor that raises the service time to some seconds, so that a failure occurs while
# the backend server still processes the request.
SLOW_FACTOR = 100.0


class PayoutTest(meshes.MeshTest):
    zones = ("a", "b", "c")

    def tearDown(self):
        self.set_log_faults(down=False, delay=0.0, lose_answers=0)
        self.slow_down(1.0)

    def assert_outcome_true(self, reply, key):
        """Check a reply against the number of runs at the backend servers."""
        runs = self.read_runs(key)
        self.assertLessEqual(runs, 1)
        if reply.outcome == "not-run":
            self.assertEqual(0, runs)

    def test_a_repeated_payout_runs_once(self):
        """A client repeats a payout that was already answered.

        If the payout ran again, the payee would be paid twice.
        """
        key = meshes.new_key()
        first = self.pay(self.nodes[0], key)
        second = self.pay(self.nodes[1], key)
        self.assertEqual("completed", first.outcome)
        self.assertEqual("unknown", second.outcome)
        self.assertEqual("key-claimed", second.reason)
        self.assertEqual(1, self.read_runs(key))

    def test_a_payout_sent_to_all_daemons_at_once_runs_once(self):
        """A client sends the same payout to every daemon concurrently."""
        key = meshes.new_key()
        futures = [
            self.start_payout(node, key) for node in self.nodes for _ in range(4)
        ]
        replies = [future.result(meshes.HANG_TIMEOUT) for future in futures]
        outcomes = [reply.outcome for reply in replies]
        self.assertEqual(1, outcomes.count("completed"))
        self.assertNotIn("not-run", outcomes)
        self.assertEqual(1, self.read_runs(key))

    def test_an_append_whose_answer_is_lost(self):
        """The log appends a claim, but its answer is lost.

        The gatekeeper has to read the log to find out whether its claim was appended;
        it must neither run the payout twice nor refuse it.
        """
        key = meshes.new_key()
        self.set_log_faults(lose_answers=1)
        reply = self.pay(self.nodes[0], key)
        self.assertEqual("completed", reply.outcome)
        self.assertEqual(1, self.read_runs(key))

    def test_before_during_and_after_an_outage_of_the_log(self):
        """The platform's log is down for a while.

        Payouts are refused as not run meanwhile, while reads are still answered.
        After the outage a payout with the same key runs.
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

    def test_a_winner_that_is_suspended_and_resumed(self):
        """The daemon that runs a payout is suspended for longer than every timeout.

        The caller receives "unknown" and repeats the payout at another daemon with
        the same key; then the suspended daemon resumes and continues the payout.
        """
        key = meshes.new_key()
        self.slow_down(SLOW_FACTOR)
        first = self.start_payout(self.nodes[0], key, timeout=4000)
        runner = self.find_runner(key)
        others = [node for node in self.nodes if node != runner]
        self.signal(runner, signal.SIGSTOP)
        try:
            if runner != self.nodes[0]:
                self.assertEqual("unknown", first.result(meshes.HANG_TIMEOUT).outcome)
            second = self.pay(others[0], key)
            self.assertNotEqual("completed", second.outcome)
            self.assert_outcome_true(second, key)
        finally:
            self.signal(runner, signal.SIGCONT)
        self.assert_outcome_true(first.result(meshes.HANG_TIMEOUT), key)
        self.slow_down(1.0)
        third = self.pay(others[1], key)
        self.assert_outcome_true(third, key)
        self.assertEqual(1, self.read_runs(key))


class KilledGatekeeperTest(meshes.MeshTest):
    zones = ("a", "b", "c")

    def test_a_gatekeeper_killed_between_sending_and_answering(self):
        """The backend server's daemon is killed during a payout.

        The backend server completes the payout, but its answer reaches nobody. If a
        daemon or the caller, with the same key, repeated the payout, it would run
        twice.
        """
        key = meshes.new_key()
        self.slow_down(SLOW_FACTOR)
        entries = [self.start_payout(node, key) for node in self.nodes]
        runner = self.find_runner(key)
        self.kill(runner)
        replies = [entry.result(meshes.HANG_TIMEOUT) for entry in entries]
        self.assertNotIn("not-run", [reply.outcome for reply in replies])
        self.slow_down(1.0)
        again = self.pay(self.find_other(runner), key)
        self.assertEqual("unknown", again.outcome)
        self.assertEqual(1, self.read_runs(key))


if __name__ == "__main__":
    unittest.main()
