"""Tests of cut connections between daemons and of answers that arrive late."""

import unittest

from test.failures import links, meshes


class LinkTest(meshes.MeshTest):
    """The entry daemon reaches royalties over a link that can be cut."""

    services = (meshes.CATALOG, meshes.ROYALTIES)
    zones = ("a",)

    @classmethod
    def find_env(cls, node):
        if node.service != meshes.ROYALTIES:
            return {}
        cls.link = links.Link("127.0.0.1", node.peer)
        cls.addClassCleanup(cls.link.close)
        return {"WHINWINCH_ADVERTISE": cls.link.address}

    def setUp(self):
        self.entry, self.behind = self.nodes
        self.wait_until("royalties can be reached", self.is_reached)

    def tearDown(self):
        self.link.restore()
        self.slow_down(1.0)

    def is_reached(self):
        return self.call(self.entry, "royalties/x").status == 200

    def test_cut_both_ways_while_a_payout_runs(self):
        """The link fails in both directions while a payout runs.

        The caller receives "unknown", not "not run", since the payout did run.
        """
        key = meshes.new_key()
        self.slow_down(100.0)
        payout = self.start_payout(self.entry, key, timeout=4000)
        self.find_runner(key)
        self.link.cut()
        self.assertEqual("unknown", payout.result(meshes.HANG_TIMEOUT).outcome)
        self.assertEqual(1, self.read_runs(key))

    def test_answers_cut_off_but_not_requests(self):
        """Packets are lost in one direction only.

        Requests arrive and run, but no answer returns.
        """
        key = meshes.new_key()
        self.link.cut(forward=False)
        reply = self.pay(self.entry, key, timeout=3000)
        self.assertEqual("unknown", reply.outcome)
        self.assertLessEqual(self.read_runs(key), 1)
        self.link.restore()
        self.wait_until("royalties can be reached", self.is_reached)
        self.pay(self.entry, key)
        self.assertLessEqual(self.read_runs(key), 1)

    def test_requests_cut_off(self):
        """No request arrives: nothing runs; "not run" and "unknown" are both true."""
        key = meshes.new_key()
        self.link.cut(backward=False)
        reply = self.pay(self.entry, key, timeout=2000)
        self.assertIn(reply.outcome, ("not-run", "unknown"))
        self.assertEqual(0, self.read_runs(key))

    def test_late_answers_never_reach_another_caller(self):
        """Many callers give up shortly before their answers arrive.

        A late answer on a reused connection must not be matched to the next request,
        since a caller would then receive another caller's data.
        """
        self.slow_down(10.0)
        futures = []
        for number in range(40):
            marker = meshes.new_marker()
            timeout = "150" if number % 2 else "8000"
            future = self.pool.submit(
                self.call,
                self.entry,
                f"royalties/x?marker={marker}&size=20000",
                Whinwinch_Timeout=timeout,
            )
            futures.append((marker, future))
        completed = 0
        for marker, future in futures:
            reply = future.result(meshes.HANG_TIMEOUT)
            if reply.status == 200:
                self.assertEqual(marker, meshes.read_marker(reply))
                completed += 1
        self.assertGreater(completed, 0)

    def test_a_truncated_answer_is_not_delivered(self):
        """A backend server fails halfway through its answer.

        If forwarded, the first half of a list would look like a complete list.
        """
        self.set_faults(self.behind.backend_url, half=1)
        key = meshes.new_key()
        reply = self.pay(self.entry, key)
        self.assertEqual("unknown", reply.outcome)
        self.assertEqual(502, reply.status)


if __name__ == "__main__":
    unittest.main()
