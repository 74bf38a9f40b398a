"""End-to-end tests of the keys of workspaces on the emulated platform."""

import asyncio
import io
import logging as std_logging
import os
import tempfile
import unittest

from absl import logging

from emulator import backend, caller, guarantees, logs, mesh, samplemesh
from whinwinch import events
from whinwinch.http1 import client
from whinwinch.http1.messages import HttpRequest, format_request

DEADLINE_SECONDS = 8.0
# A new configuration is in force within this time at each daemon.
APPLY_SECONDS = 2.5
FIRST_KEY, SECOND_KEY, NEW_KEY = "key-of-one-a", "key-of-one-b", "key-of-two"
KEYS = {FIRST_KEY: "one", SECOND_KEY: "one", NEW_KEY: "two"}
PAY, STATUS, BROWSE = (
    flow.kind._replace(deadline=DEADLINE_SECONDS, key=FIRST_KEY)
    for flow in samplemesh.FLOWS
)
CALLED_ROUTES = ("index", "queue")
ROUTES = {
    name: {
        **route,
        "timeout": f"{DEADLINE_SECONDS}s",
        "target_latency": f"{DEADLINE_SECONDS}s",
        "public": name in CALLED_ROUTES,
    }
    for name, route in samplemesh.ROUTES.items()
}


def build_configuration(version, **keys):
    """Return a configuration whose workspaces have the given lists of keys."""
    workspaces = {name: {"api_keys": listed} for name, listed in keys.items()}
    return {
        **samplemesh.CONFIGURATION,
        "version": version,
        "routes": ROUTES,
        "tenants": workspaces,
    }


class WorkspaceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        configuration = build_configuration("r3", one=[FIRST_KEY, SECOND_KEY], two=[])
        self.mesh = mesh.Mesh(samplemesh.SERVICES, configuration)
        await self.mesh.__aenter__()
        self.addAsyncCleanup(self.mesh.__aexit__, None, None, None)
        self.entries = [member.callers for member in self.mesh.members]
        self.results = []

    async def send(self, kind, entries=None):
        """Send a request to each entry; return the results."""
        results = await asyncio.gather(
            *(
                caller.send_with_retries(entry, kind)
                for entry in entries or self.entries
            )
        )
        self.results += results
        return results

    async def send_raw(self, *headers, path="/browse/1"):
        """Send a request with the given headers to the first entry; return a status."""
        host, _, port = self.entries[0].rpartition(":")
        pool = client.Pool(host, int(port), 1 << 20)
        headers = (("X-Request-Id", "raw"), ("X-Deadline-Ms", "5000"), *headers)
        data = format_request(HttpRequest("GET", path, headers), "f.example")
        until = asyncio.get_running_loop().time() + DEADLINE_SECONDS
        response = await pool.exchange(data, until)
        pool.close()
        return response.status

    def list_runs(self):
        return [run for member in self.mesh.members for run in member.backend.runs]

    def assert_guarantees(self):
        observations = guarantees.Observations(
            tuple(self.results),
            tuple(member.backend for member in self.mesh.members),
            (),
            self.mesh.members[0].settings.repeats,
            KEYS,
        )
        self.assertEqual(guarantees.find_violations(observations), [])

    async def test_backend_servers_get_the_workspace_and_never_the_key(self):
        """Guards against a key that leaks, and a workspace that a caller makes up."""
        for kind in (PAY, STATUS, BROWSE._replace(key=SECOND_KEY)):
            results = await self.send(kind)
            self.assertTrue(all(each.whole for each in results))
        workspaces = {run.workspace for run in self.list_runs()}
        # Calls of backend servers belong to no workspace.
        self.assertEqual(workspaces, {"one", ""})
        self.assert_guarantees()

    async def test_second_endpoint_gets_the_workspace_and_never_the_key(self):
        """Guards against a retry that differs from the first attempt."""
        for member in self.mesh.find("front"):
            member.backend.faults = backend.Faults(shed=0.5)
        results = await self.send(BROWSE) + await self.send(BROWSE)
        self.assertTrue(any(each.whole for each in results))
        self.assert_guarantees()

    async def test_requests_without_a_known_key_do_not_run(self):
        """Guards against serving whoever guesses, repeats or leaves out a key."""
        for kind in (BROWSE, PAY, STATUS):
            for key in ("", "unknown", NEW_KEY):
                results = await self.send(kind._replace(key=key))
                self.assertEqual({each.statuses for each in results}, {(401,)})
        name = "Authorization"
        for headers in (
            ((name, f"Bearer {FIRST_KEY}"), (name, f"Bearer {FIRST_KEY}")),
            ((name, f"Basic {FIRST_KEY}"),),
            ((name, FIRST_KEY),),
            ((name, "Bearer " + "k" * 4000),),
        ):
            self.assertEqual(await self.send_raw(*headers), 401)
        self.assertEqual(self.list_runs(), [])

    async def test_changed_keys_are_in_force_everywhere_within_the_bound(self):
        """Guards against a daemon that serves a key that was taken away."""
        self.mesh.configure(build_configuration("r4", one=[SECOND_KEY], two=[NEW_KEY]))
        await asyncio.sleep(APPLY_SECONDS)
        for key, status in ((FIRST_KEY, 401), (SECOND_KEY, 200), (NEW_KEY, 200)):
            results = await self.send(BROWSE._replace(key=key))
            self.assertEqual({each.statuses for each in results}, {(status,)})
        self.assert_guarantees()

    async def test_key_is_dropped_while_the_store_refuses_most_daemons(self):
        """Guards against a daemon that learns of a change from the store alone."""
        topic = "keyed.op"
        self.mesh.store.faults = self.mesh.store.faults._replace(refuse=503)
        reader = self.mesh.members[0].node
        self.mesh.configure(build_configuration("r4", one=[SECOND_KEY]))
        # One daemon reads the change while the store refuses all others.
        records = self.mesh.store.find(topic).records
        value = records[-1][1 + records[-1][0] :]
        copy = reader._followed_configuration.copy
        record = copy.list_newer(0)[-1]._replace(value=value, offset=copy.end)
        copy.apply_records([record], copy.end, copy.end + 1)
        now = asyncio.get_running_loop().time()
        reader.instance.topics.record_read(topic, copy.end, now)
        await asyncio.sleep(APPLY_SECONDS)
        results = await self.send(BROWSE)
        self.assertEqual({each.statuses for each in results}, {(401,)})

    async def test_dropped_key_stays_dropped_over_a_restart(self):
        """Guards against an older version that comes back with a daemon's start."""
        self.mesh.configure(build_configuration("r4", one=[SECOND_KEY]))
        await asyncio.sleep(APPLY_SECONDS)
        member = self.mesh.members[0]
        await self.mesh.kill(member)
        await self.mesh.restart(member)
        for _ in range(20):
            results = await self.send(BROWSE, [self.entries[0]])
            self.assertIn(results[0].statuses[-1], (401, 503))
            await asyncio.sleep(0.05)
        self.assertEqual(results[0].statuses[-1], 401)

    async def fetch_metrics(self, member):
        given = member.settings
        pool = client.Pool(given.daemons.host, given.metrics, 1 << 20)
        data = format_request(HttpRequest("GET", "/metrics"), "h")
        until = asyncio.get_running_loop().time() + DEADLINE_SECONDS
        response = await pool.exchange(data, until)
        pool.close()
        return response.body.decode()

    async def test_keys_are_in_no_log_line_and_no_metric(self):
        """Guards against a key that anybody who reads logs or metrics can use."""
        path = os.path.join(tempfile.mkdtemp(), "log")
        logs.install_log(path)
        self.addCleanup(events.install, events.NullLog())
        verbosity = logging.get_verbosity()
        self.addCleanup(logging.set_verbosity, verbosity)
        logging.set_verbosity(logging.DEBUG)
        text = io.StringIO()
        handler = std_logging.StreamHandler(text)
        logger = logging.get_absl_logger()
        logger.addHandler(handler)
        self.addCleanup(logger.removeHandler, handler)
        self.addCleanup(setattr, logger, "propagate", logger.propagate)
        logger.propagate = False
        for member in self.mesh.find("front"):
            member.backend.faults = backend.Faults(shed=0.2, fail=0.2, lose=0.2)
        for kind in (BROWSE, PAY, BROWSE._replace(key="unknown-key-text")):
            await self.send(kind)
        self.mesh.members[0].backend.crash()
        await self.send(BROWSE)
        broken = build_configuration("r5", one=[FIRST_KEY], two=[FIRST_KEY])
        self.mesh.configure(broken)
        broken = build_configuration("r6", one=[FIRST_KEY, 7], two=[])
        self.mesh.configure(broken)
        await asyncio.sleep(0.5)
        self.assertIn("unidentified", text.getvalue())
        with open(path, encoding="utf-8") as file:
            written = file.read() + text.getvalue()
        for member in self.mesh.members:
            written += await self.fetch_metrics(member)
        self.assertIn("unidentified", written)
        self.assertIn("configuration-unread", written)
        for key in (*KEYS, "unknown-key-text"):
            self.assertNotIn(key, written)
