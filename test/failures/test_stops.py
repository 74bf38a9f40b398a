"""Planned and unplanned stops of daemons and backend servers, under load."""

import signal
import threading
import unittest

from test.failures import meshes

CALLERS = 6


# Payouts that take long enough to be in flight whenever something stops. Cut
# off, their outcome is unknown and nobody may send them again, so that the
# caller sees it; a read would be tried elsewhere unseen.
LONG_WORK = 50
# Told so, a caller goes to the next daemon, as the callers' guide says.
MOVED_ON = ("leaving", "not-ready")


class Load:
    """Callers that ask for whole answers without a pause, at given nodes.

    Every other one asks for long payouts, the rest for reads.
    """

    def __init__(self, test, nodes):
        self._test = test
        self._nodes = nodes
        self._ending = threading.Event()
        self.replies = []
        self._futures = [
            test.pool.submit(self._ask, number) for number in range(CALLERS)
        ]

    def _ask(self, number):
        ask = self._pay if number % 2 else self._read
        turn = number
        while not self._ending.is_set():
            node = self._nodes[turn % len(self._nodes)]
            marker = meshes.new_marker()
            reply = ask(node, marker)
            if reply.outcome == "not-run" and reply.reason in MOVED_ON:
                turn += 1
                continue
            self.replies.append((marker, reply))

    def _read(self, node, marker):
        return self._test.call(
            node, f"royalties/x?marker={marker}", Whinwinch_Timeout="8000"
        )

    def _pay(self, node, marker):
        return self._test.call(
            node,
            f"royalties/payouts?marker={marker}&work={LONG_WORK}",
            "POST",
            Idempotency_Key=meshes.new_key(),
            Whinwinch_Timeout="8000",
        )

    def end(self):
        """Let the callers end and return what each was told."""
        self._ending.set()
        for future in self._futures:
            future.result(meshes.GENEROUS)
        return self.replies


class StopTest(meshes.MeshTest):
    """One entry without royalties; three endpoints of royalties behind it."""

    services = (meshes.CATALOG, meshes.ROYALTIES)
    zones = ("a", "b", "c")

    def setUp(self):
        self.entries = [n for n in self.nodes if n.service == meshes.CATALOG]
        self.endpoints = [n for n in self.nodes if n.service == meshes.ROYALTIES]

    def assert_all_whole(self, replies):
        self.assertGreater(len(replies), CALLERS)
        for marker, reply in replies:
            self.assertEqual((200, "completed"), (reply.status, reply.outcome))
            self.assertEqual(marker, meshes.read_marker(reply))

    def test_a_rolling_restart_loses_no_request(self):
        """Every daemon beside royalties is replaced in turn, under load.

        Each stop has to finish what is in flight, and to refuse the rest as
        not run, so that it is tried at another endpoint.
        """
        load = Load(self, self.entries)
        for node in self.endpoints:
            self.replace_daemon(node)
            self.wait_until("its endpoint serves", lambda n=node: self.serves(n))
        self.assert_all_whole(load.end())

    def test_entries_that_are_restarted_lose_no_request(self):
        """Every daemon that callers come in at is replaced in turn, under load.

        Callers are told "not run" and go to the next daemon; what is under way
        ends first, payouts of a second among it.
        """
        load = Load(self, self.entries)
        for node in self.entries:
            seen = len(load.replies)
            self.wait_until(
                "callers are served", lambda n=seen: len(load.replies) > n + CALLERS
            )
            self.replace_daemon(node)
        self.assert_all_whole(load.end())

    def replace_daemon(self, node):
        """Stop a daemon as planned and start it again; return when it is ready."""
        daemon = self.find_daemon(node)
        self.signal(node, signal.SIGTERM)
        self.assertEqual(0, daemon.popen.wait(meshes.GENEROUS))
        self.running.forget(daemon)
        self.restart(node)
        self.wait_until("the new daemon is ready", lambda: self.is_ready(node))

    def serves(self, node):
        return self.call(node, "royalties/x").status == 200

    def test_a_backend_server_that_drains_cuts_nothing_off(self):
        """A backend server is told to stop while callers use it."""
        node = self.endpoints[0]
        backend = self.mesh.backends[self.nodes.index(node)]
        load = Load(self, self.entries)
        self.wait_until("callers are served", lambda: len(load.replies) > CALLERS)
        backend.popen.send_signal(signal.SIGTERM)
        self.assertEqual(0, backend.popen.wait(meshes.GENEROUS))
        self.running.forget(backend)
        seen = len(load.replies)
        self.wait_until("more are served", lambda: len(load.replies) > 2 * seen)
        replies = load.end()
        restarted = meshes.mesh.start_backend(self.running, node, self.nodes)
        backends = list(self.mesh.backends)
        backends[self.nodes.index(node)] = restarted
        type(self).mesh = self.mesh._replace(backends=tuple(backends))
        self.wait_until("its endpoint serves", lambda: self.serves(node))
        self.assert_all_whole(replies)


class VanishTest(meshes.MeshTest):
    zones = ("a", "b")

    def test_a_backend_server_that_vanishes(self):
        """A backend server is killed and says nothing.

        Reads go to the other endpoint; the daemon beside the dead one stays,
        and forgets it when its lease is over.
        """
        gone, left = self.nodes
        backend = self.mesh.backends[0]
        backend.popen.kill()
        backend.popen.wait()
        self.running.forget(backend)

        def is_whole():
            return self.call(gone, "royalties/x").outcome == "completed"

        self.wait_until("reads are whole at the entry beside it", is_whole)
        self.wait_until("it is forgotten", lambda: self.read_backend(gone) is None)
        for _ in range(20):
            self.assertEqual("completed", self.call(left, "royalties/x").outcome)


if __name__ == "__main__":
    unittest.main()
