"""Base class of tests that cause failures in a small mesh of real processes."""

import concurrent.futures
import json
import os
import pathlib
import signal
import tempfile
import time
import unittest
import uuid
from typing import NamedTuple

import urllib3

from demo import mesh
from standins import caller, processes
from whinwinch import tracerecords, traces

# Seconds after which a test that hangs fails; the tests check no speed.
HANG_TIMEOUT = 60.0
# Seconds.
SERVICE_TIME = 0.02
TRACED = {"WHINWINCH_TRACE": "on"}
ROYALTIES = mesh.Service("royalties", 20, 100, SERVICE_TIME)
CATALOG = mesh.Service("catalog", 20, 100, SERVICE_TIME)
PAYOUT = {
    "name": "payout",
    "method": "POST",
    "path": "/payouts",
    "importance": "critical",
    "idempotent": False,
}
RESOURCE = {
    "kind": "Service",
    "name": "royalties",
    "spec": {"retry_budget": 3, "timeout": 10.0, "calls": [PAYOUT]},
}


class Reply(NamedTuple):
    """Answer that a caller received.

    Attributes:
        status: HTTP status, or 0 if the connection broke.
        outcome: Outcome header, or "" if there is none.
        reason: Reason header, or "" if there is none.
        body: Body of the answer.
    """

    status: int
    outcome: str = ""
    reason: str = ""
    body: bytes = b""


class MeshTest(unittest.TestCase):
    """Starts one mesh for all tests of a class and stops it after them."""

    services = (ROYALTIES,)
    zones = ("a", "b")
    resources = (RESOURCE,)

    @classmethod
    def setUpClass(cls):
        directory = cls.enterClassContext(tempfile.TemporaryDirectory())
        # Runs after all processes have ended.
        cls.addClassCleanup(cls.replay, directory)
        cls.running = cls.enterClassContext(processes.Processes(directory))
        cls.nodes = mesh.place_nodes(cls.services, cls.zones)
        cls.http = urllib3.PoolManager(retries=False, timeout=HANG_TIMEOUT, maxsize=64)
        cls.pool = concurrent.futures.ThreadPoolExecutor(64)
        cls.addClassCleanup(cls.pool.shutdown, cancel_futures=True)
        cls.mesh = mesh.start_mesh(
            cls.running,
            cls.nodes,
            find_env=lambda node: TRACED | cls.find_env(node),
        )
        mesh.wait_until_ready(cls.running, cls.mesh)
        mesh.wait_until_reached(cls.running, cls.mesh)
        for resource in cls.resources:
            cls.apply(cls.nodes[0], resource)
        if cls.resources:
            mesh.wait_until_in_force(cls.running, cls.mesh)

    @classmethod
    def replay(cls, directory):
        """Check that the daemons' traces of the whole class violate no guarantee."""
        paths = pathlib.Path(directory).glob("daemon-*.log")
        logs = [path.read_text(errors="replace").splitlines() for path in paths]
        lines = tracerecords.merge_traces(logs)
        findings = traces.check_trace(lines)
        if findings:
            report = [f"{each.place}: {each.problem}" for each in findings[:10]]
            raise AssertionError(
                "\n".join(["the trace violates a guarantee:", *report])
            )

    @classmethod
    def find_env(cls, node):
        """Return additional environment variables of a node's daemon."""
        return {}

    @classmethod
    def apply(cls, node, resource, condition=None):
        """Write a resource through a node's daemon and return the HTTP status."""
        token = cls.mesh.env["WHINWINCH_OPERATOR_TOKEN"]
        headers = {"Authorization": f"Bearer {token}"} | (condition or {})
        answer = cls.http.request(
            "PUT",
            f"{node.admin_url}/admin/v1/services/{resource['name']}",
            json=resource,
            headers=headers,
        )
        return answer.status

    def read_resource(self, node, name):
        """Return a resource as JSON, as a node's daemon shows it."""
        token = self.mesh.env["WHINWINCH_OPERATOR_TOKEN"]
        answer = self.http.request(
            "GET",
            f"{node.admin_url}/admin/v1/services/{name}",
            headers={"Authorization": f"Bearer {token}"},
        )
        return answer.json()

    def read_backend(self, node):
        """Return the local backend server in a daemon's status, or None."""
        token = self.mesh.env["WHINWINCH_OPERATOR_TOKEN"]
        answer = self.http.request(
            "GET",
            f"{node.admin_url}/admin/v1/status",
            headers={"Authorization": f"Bearer {token}"},
        )
        return answer.json()["backend"]

    def call(self, node, path, method="GET", **headers):
        """Call a service through a daemon and return a `Reply`."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            answer = self.http.request(
                method, f"{node.entry_url}/services/{path}", headers=names
            )
        except urllib3.exceptions.HTTPError:
            return Reply(0)
        return Reply(
            answer.status,
            answer.headers.get("Whinwinch-Outcome", ""),
            answer.headers.get("Whinwinch-Reason", ""),
            answer.data,
        )

    def pay(self, node, key, timeout=8000):
        """Request a payout with an idempotency key; the timeout is in milliseconds."""
        return self.call(
            node,
            "royalties/payouts",
            "POST",
            Idempotency_Key=key,
            Whinwinch_Timeout=str(timeout),
        )

    def start_payout(self, node, key, **arguments):
        """Request a payout in the background; return the future of its `Reply`."""
        return self.pool.submit(self.pay, node, key, **arguments)

    def set_faults(self, url, **faults):
        """Set the faults of a stand-in process."""
        self.http.request("POST", f"{url}/faults", json=faults)

    def set_log_faults(self, **faults):
        """Set the faults of the log stand-in."""
        self.set_faults(self.mesh.log_url, **faults)

    def slow_down(self, factor):
        """Multiply the service times of all backend servers by a factor."""
        for node in self.nodes:
            self.set_faults(node.backend_url, slow=factor)

    def read_runs(self, key):
        """Return how often all backend servers together ran the request of a key."""
        return mesh.read_runs(self.nodes)[0].get(key, 0)

    def wait_until(self, what, condition):
        """Wait until a condition holds; fail if it doesn't in time."""
        until = time.monotonic() + HANG_TIMEOUT
        while not condition():
            if time.monotonic() > until:
                self.fail(f"{what}: not within {HANG_TIMEOUT} s")
            time.sleep(0.02)

    def find_runner(self, key):
        """Wait until a payout runs; return the node whose backend server runs it."""
        runners = []

        def is_run():
            for node in self.nodes:
                answer = self.http.request("GET", f"{node.backend_url}/ran")
                if answer.json()["keys"].get(key):
                    runners.append(node)
                    return True
            return False

        self.wait_until("the payout runs", is_run)
        return runners[0]

    def find_other(self, node):
        """Return a node other than the given one."""
        return next(other for other in self.nodes if other != node)

    def restart(self, node):
        """Start a new daemon process for a node whose daemon has ended."""
        log_port = self.mesh.log_url.rpartition(":")[2]
        env = self.mesh.env | TRACED | self.find_env(node)
        daemon = mesh.start_daemon(self.running, node, log_port, env)
        daemons = list(self.mesh.daemons)
        daemons[self.nodes.index(node)] = daemon
        type(self).mesh = self.mesh._replace(daemons=tuple(daemons))

    def is_ready(self, node):
        """Return whether a node's daemon reports that it is ready."""
        try:
            answer = self.http.request("GET", f"{node.entry_url}/ready")
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def find_daemon(self, node):
        """Return the process of a node's daemon."""
        return self.mesh.daemons[self.nodes.index(node)]

    def signal(self, node, number):
        """Send a signal to a node's daemon."""
        os.kill(self.find_daemon(node).popen.pid, number)

    def kill(self, node):
        """Kill a node's daemon without a leave announcement and wait for its end."""
        self.signal(node, signal.SIGKILL)
        self.find_daemon(node).popen.wait()
        self.running.forget(self.find_daemon(node))


def new_key():
    """Return a new idempotency key."""
    return caller.new_key()


def new_marker():
    """Return a unique text that identifies one request and its answer."""
    return uuid.uuid4().hex


def read_marker(reply):
    """Return the marker that an answer contains."""
    return json.loads(reply.body)["marker"]
