"""Tests that configuration changes reach all daemons despite failures."""

import copy
import unittest

from test.failures import meshes


def build_resource(budget):
    resource = copy.deepcopy(meshes.RESOURCE)
    resource["spec"]["retry_budget"] = budget
    return resource


class ConfigurationTest(meshes.MeshTest):
    zones = ("a", "b", "c")

    def tearDown(self):
        self.set_log_faults(down=False, delay=0.0, lose_answers=0)

    def read_budget(self, node):
        return self.read_resource(node, "royalties")["spec"]["retry_budget"]

    def wait_in_force(self, budget):
        for node in self.nodes:
            self.wait_until(
                "the change is in force", lambda n=node: self.read_budget(n) == budget
            )

    def test_only_one_of_concurrent_changes_is_accepted(self):
        """Operators change the same resource concurrently.

        Without a conflict error, each would assume that their change is in force,
        although only one of the changes is.
        """
        version = self.read_resource(self.nodes[0], "royalties")["version"]
        condition = {"If-Match": f'"{version}"'}
        futures = [
            self.pool.submit(self.apply, node, build_resource(budget), condition)
            for node, budget in zip(self.nodes, (4, 5, 6), strict=True)
        ]
        statuses = [future.result(meshes.HANG_TIMEOUT) for future in futures]
        self.assertEqual(1, statuses.count(200))
        self.assertEqual(2, statuses.count(412))
        self.wait_in_force((4, 5, 6)[statuses.index(200)])

    def test_a_change_whose_answer_the_log_lost(self):
        """The log appends a change, but its answer is lost.

        If an error were reported, the operator would repeat the change and overwrite
        a later change by another operator.
        """
        self.set_log_faults(lose_answers=1)
        self.assertEqual(200, self.apply(self.nodes[0], build_resource(7)))
        self.wait_in_force(7)

    def test_a_change_during_an_outage_of_the_log(self):
        """While the log is down, the old configuration stays in force unchanged."""
        self.apply(self.nodes[0], build_resource(8))
        self.wait_in_force(8)
        self.set_log_faults(down=True)
        self.assertEqual(503, self.apply(self.nodes[1], build_resource(9)))
        for node in self.nodes:
            self.assertEqual(8, self.read_budget(node))
        self.set_log_faults(down=False)

        def is_applied():
            return self.apply(self.nodes[1], build_resource(10)) == 200

        self.wait_until("changes are accepted again", is_applied)
        self.wait_in_force(10)


class StartDuringOutageTest(meshes.MeshTest):
    zones = ("a", "b")

    def test_a_daemon_that_starts_while_the_log_is_down(self):
        """An instance is replaced during an outage of the log.

        The new daemon has neither peers nor configuration. If it accepted calls, it
        might run a payout twice, so it answers "not run" until it has read the log.
        """
        new, old = self.nodes
        self.kill(new)
        self.set_log_faults(down=True)
        self.restart(new)

        def is_up():
            return self.call(new, "royalties/x").status != 0

        self.wait_until("the new daemon answers", is_up)
        reply = self.pay(new, meshes.new_key())
        self.assertEqual(("not-run", "not-ready"), (reply.outcome, reply.reason))
        self.assertEqual("completed", self.call(old, "royalties/x").outcome)
        self.set_log_faults(down=False)
        self.wait_until("the new daemon is ready", lambda: self.is_ready(new))
        reply = self.pay(new, meshes.new_key())
        self.assertEqual(("completed", "none"), (reply.outcome, reply.reason))


if __name__ == "__main__":
    unittest.main()
