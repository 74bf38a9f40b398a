"""Tests of planned and unplanned stops of daemons and backend servers under load."""

import signal
import threading
import unittest

from test.failures import meshes

CALLERS = 6

# Multiple of the service time that a payout takes, so that payouts are in flight at
# any stop. The outcome of a payout that is cut off is unknown and it may not be
# retried, so its caller sees the failure; a read would be retried unnoticed.
LONG_WORK = 50
# Reasons of a refusal after which a caller goes to the next daemon.
NEXT_DAEMON_REASONS = ("leaving", "not-ready")


class Load:
    """Callers that send requests without a pause to the given nodes.

    Every other caller requests long payouts, the rest reads.
    """

    def __init__(self, test, nodes):
        self._test = test
        self._nodes = nodes
        self._ending = threading.Event()
        self.replies = []
        self._futures = [
            test.pool.submit(self._run_caller, number) for number in range(CALLERS)
        ]

    def _run_caller(self, number):
        send = self._pay if number % 2 else self._read
        turn = number
        while not self._ending.is_set():
            node = self._nodes[turn % len(self._nodes)]
            marker = meshes.new_marker()
            reply = send(node, marker)
            if reply.outcome == "not-run" and reply.reason in NEXT_DAEMON_REASONS:
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
        """Stop the callers and return all (marker, reply) pairs."""
        self._ending.set()
        for future in self._futures:
            future.result(meshes.HANG_TIMEOUT)
        return self.replies


class StopTest(meshes.MeshTest):
    """Entry daemons of catalog in three zones, and three endpoints of royalties."""

    services = (meshes.CATALOG, meshes.ROYALTIES)
    zones = ("a", "b", "c")

    def setUp(self):
        self.entries = [n for n in self.nodes if n.service == meshes.CATALOG]
        self.endpoints = [n for n in self.nodes if n.service == meshes.ROYALTIES]

    def assert_all_completed(self, replies):
        self.assertGreater(len(replies), CALLERS)
        for marker, reply in replies:
            self.assertEqual((200, "completed"), (reply.status, reply.outcome))
            self.assertEqual(marker, meshes.read_marker(reply))

    def test_a_rolling_restart_loses_no_request(self):
        """Every daemon of royalties is replaced, one after the other, under load.

        Each stopping daemon completes the requests in flight and refuses new ones as
        not run, so that they are retried at another endpoint.
        """
        load = Load(self, self.entries)
        for node in self.endpoints:
            self.replace_daemon(node)
            self.wait_until("its endpoint answers", lambda n=node: self.serves(n))
        self.assert_all_completed(load.end())

    def test_a_rolling_restart_of_entry_daemons_loses_no_request(self):
        """Every entry daemon is replaced, one after the other, under load.

        Callers receive "not run" and go to the next daemon; requests in flight,
        including payouts that take a second, complete before the stop.
        """
        load = Load(self, self.entries)
        for node in self.entries:
            count = len(load.replies)
            self.wait_until(
                "callers are served", lambda n=count: len(load.replies) > n + CALLERS
            )
            self.replace_daemon(node)
        self.assert_all_completed(load.end())

    def replace_daemon(self, node):
        """Stop a daemon by SIGTERM, start a new one and wait until that is ready."""
        daemon = self.find_daemon(node)
        self.signal(node, signal.SIGTERM)
        self.assertEqual(0, daemon.popen.wait(meshes.HANG_TIMEOUT))
        self.running.forget(daemon)
        self.restart(node)
        self.wait_until("the new daemon is ready", lambda: self.is_ready(node))

    def serves(self, node):
        return self.call(node, "royalties/x").status == 200

    def test_a_draining_backend_server_cuts_off_no_request(self):
        """A backend server receives SIGTERM while it processes requests."""
        node = self.endpoints[0]
        backend = self.mesh.backends[self.nodes.index(node)]
        load = Load(self, self.entries)
        self.wait_until("callers are served", lambda: len(load.replies) > CALLERS)
        backend.popen.send_signal(signal.SIGTERM)
        self.assertEqual(0, backend.popen.wait(meshes.HANG_TIMEOUT))
        self.running.forget(backend)
        count = len(load.replies)
        self.wait_until("more are served", lambda: len(load.replies) > 2 * count)
        replies = load.end()
        restarted = meshes.mesh.start_backend(self.running, node, self.nodes)
        backends = list(self.mesh.backends)
        backends[self.nodes.index(node)] = restarted
        type(self).mesh = self.mesh._replace(backends=tuple(backends))
        self.wait_until("its endpoint answers", lambda: self.serves(node))
        self.assert_all_completed(replies)


class VanishTest(meshes.MeshTest):
    zones = ("a", "b")

    def test_a_backend_server_that_vanishes(self):
        """A backend server is killed without a leave announcement.

        Reads go to the other endpoint. The killed server's daemon keeps running and
        removes the server when its lease expires.
        """
        killed, other = self.nodes
        backend = self.mesh.backends[0]
        backend.popen.kill()
        backend.popen.wait()
        self.running.forget(backend)

        def is_completed():
            return self.call(killed, "royalties/x").outcome == "completed"

        self.wait_until("reads complete at its own daemon", is_completed)
        self.wait_until(
            "its daemon removes it", lambda: self.read_backend(killed) is None
        )
        for _ in range(20):
            self.assertEqual("completed", self.call(other, "royalties/x").outcome)


if __name__ == "__main__":
    unittest.main()
