"""Connections between daemons that are cut, and answers that come late."""

import unittest

from test.failures import links, meshes


class LinkTest(meshes.MeshTest):
    """The entry serves catalog; royalties is behind a link that can be cut."""

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
        self.link.mend()
        self.slow_down(1.0)

    def is_reached(self):
        return self.call(self.entry, "royalties/x").status == 200

    def test_cut_both_ways_while_a_payout_runs(self):
        """A switch dies between two zones while a payout is on its way back.

        The caller is told "unknown", never "not run": the payout did run.
        """
        key = meshes.new_key()
        self.slow_down(100.0)
        asked = self.pay_soon(self.entry, key, timeout=4000)
        self.find_runner(key)
        self.link.cut()
        self.assertEqual("unknown", asked.result(meshes.GENEROUS).outcome)
        self.assertEqual(1, self.read_runs(key))

    def test_answers_cut_off_but_not_requests(self):
        """Packets get lost in one direction only.

        Requests arrive and run, but no answer comes back.
        """
        key = meshes.new_key()
        self.link.cut(there=False)
        reply = self.pay(self.entry, key, timeout=3000)
        self.assertEqual("unknown", reply.outcome)
        self.assertLessEqual(self.read_runs(key), 1)
        self.link.mend()
        self.wait_until("royalties can be reached", self.is_reached)
        self.pay(self.entry, key)
        self.assertLessEqual(self.read_runs(key), 1)

    def test_requests_cut_off(self):
        """Nothing arrives any more; "not run" or "unknown" must both be true."""
        key = meshes.new_key()
        self.link.cut(back=False)
        reply = self.pay(self.entry, key, timeout=2000)
        self.assertIn(reply.outcome, ("not-run", "unknown"))
        self.assertEqual(0, self.read_runs(key))

    def test_late_answers_never_reach_another_caller(self):
        """Many callers give up just before their answers come.

        Late answers on the kept connections must not be taken for the answers
        of those who ask next: one caller would read another's data.
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
        whole = 0
        for marker, future in futures:
            reply = future.result(meshes.GENEROUS)
            if reply.status == 200:
                self.assertEqual(marker, meshes.read_marker(reply))
                whole += 1
        self.assertGreater(whole, 0)

    def test_half_an_answer_is_no_answer(self):
        """A backend server dies half way through its answer.

        Handed on, half a list of spills would look like the whole one.
        """
        self.set_faults(self.behind.backend_url, half=1)
        key = meshes.new_key()
        reply = self.pay(self.entry, key)
        self.assertEqual("unknown", reply.outcome)
        self.assertEqual(502, reply.status)


if __name__ == "__main__":
    unittest.main()
