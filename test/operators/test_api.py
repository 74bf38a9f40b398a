"""Tests of the resource API over HTTP."""

import json
import threading
import unittest

import cherrypy
import urllib3
from cheroot import wsgi

from test.operators import fakes
from test.operators.test_store import make_store
from whinwinch import configuration
from whinwinch.operators import access, api

TOKEN = "ana-0123456789abcdef"
OTHER_TOKEN = "luis-0123456789abcdef"
DOCUMENT = {"kind": "Service", "name": "archive", "spec": {"retry_budget": 2}}


def setUpModule():
    cherrypy.config.update({"environment": "embedded", "log.screen": False})


class ApiCase(unittest.TestCase):
    """Base class of tests that serve the API on a free port."""

    operators = f"ana:{TOKEN},luis:{OTHER_TOKEN}"

    def setUp(self):
        self.log = fakes.Log()
        self.drained = []
        self.store = make_store(self.log)
        self.url = self.start_daemon(self.store)
        self.pool = urllib3.PoolManager(retries=False, timeout=30, maxsize=4)
        self.addCleanup(self.pool.clear)

    def start_daemon(self, store):
        """Serve the API for a store and return its URL."""
        parts = api.Dependencies(
            store,
            access.parse_operators(self.operators),
            get_status=lambda: {"daemon": "d1"},
            begin_drain=lambda: self.drained.append(store),
            max_key_window=900,
            max_watchers=1,
            propose_timeout=0,
        )
        application = api.create_application(parts)
        server = wsgi.Server(
            ("127.0.0.1", 0), wsgi.PathInfoDispatcher({"/admin": application})
        )
        server.shutdown_timeout = 1
        server.prepare()
        serving = threading.Thread(target=server.serve)
        serving.start()
        self.addCleanup(serving.join, 30)
        self.addCleanup(server.stop)
        self.addCleanup(store.close)
        return f"http://127.0.0.1:{server.bind_addr[1]}/admin/v1"

    def ask(self, method, path, document=None, token=TOKEN, **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        if token:
            named["Authorization"] = f"Bearer {token}"
        body = document
        if isinstance(document, dict):
            body = json.dumps(document)
        return self.pool.request(method, self.url + path, body=body, headers=named)

    def put(self, document=None, **headers):
        document = document or DOCUMENT
        path = f"/services/{document['name']}"
        return self.ask("PUT", path, document, **headers)

    def assertError(self, answer, status, code):
        self.assertEqual(answer.status, status, answer.data)
        error = answer.json()["error"]
        self.assertEqual(error["code"], code)
        return error


class ResourceTest(ApiCase):
    def test_creates_reads_lists_and_deletes(self):
        answer = self.put()
        self.assertEqual((answer.status, answer.headers["ETag"]), (201, '"1"'))
        self.assertEqual(self.put().status, 200)
        answer = self.ask("GET", "/services/archive")
        self.assertEqual(answer.json()["spec"], {"retry_budget": 2})
        self.assertEqual(answer.json()["author"], "ana")
        listed = self.ask("GET", "/services").json()
        self.assertEqual((listed["version"], len(listed["services"])), (2, 1))
        answer = self.ask("DELETE", "/services/archive", If_Match='"2"')
        self.assertEqual(answer.json()["version"], 3)
        self.assertError(self.ask("GET", "/services/archive"), 404, "not-found")
        self.assertError(self.ask("DELETE", "/services/archive"), 404, "not-found")

    def test_conditions(self):
        """Two operators read the same version and both change it."""
        first = self.put(If_None_Match="*")
        self.assertEqual(first.status, 201)
        error = self.assertError(self.put(If_None_Match="*"), 412, "conflict")
        self.assertEqual(f'"{error["present_version"]}"', first.headers["ETag"])
        second = self.put(If_Match=first.headers["ETag"])
        self.assertEqual(second.status, 200)
        error = self.assertError(
            self.put(If_Match=first.headers["ETag"]), 412, "conflict"
        )
        self.assertEqual(f'"{error["present_version"]}"', second.headers["ETag"])
        self.assertError(self.put(If_Match='"99"'), 412, "conflict")
        for tag in ("2", '"x"', '""', '"1", "2"'):
            self.assertError(self.put(If_Match=tag), 400, "bad-request")
        self.assertEqual(self.put(If_Match="*").status, 200)

    def test_all_findings_at_once(self):
        document = {"name": "archive", "spec": {"timeout": -1, "retry_buget": 2}}
        error = self.assertError(self.put(document), 400, "bad-request")
        places = {finding["place"] for finding in error["findings"]}
        self.assertEqual(places, {"kind", "spec.timeout", "spec.retry_buget"})
        window = {"name": "a", "key_window": 901}
        document = DOCUMENT | {"spec": {"calls": [window]}}
        self.assertError(self.put(document), 400, "bad-request")
        self.assertEqual(self.log.records, [])

    def test_invalid_bodies_and_paths(self):
        path = "/services/archive"
        for body in ("", "{", "[" * 50000, '{"a": 1, "a": 2}', b"\xff", "NaN", "[]"):
            self.assertError(self.ask("PUT", path, body), 400, "bad-request")
        self.assertError(self.ask("PUT", path, "x" * 70000), 413, "too-large")
        self.assertError(
            self.ask("PUT", "/services/other", DOCUMENT), 400, "bad-request"
        )
        self.assertError(self.ask("GET", "/services?x=1"), 400, "bad-request")
        self.assertError(self.ask("GET", "/nothing"), 404, "http")
        self.assertError(self.ask("POST", path, "{}"), 405, "http")

    def test_log_down(self):
        """The log is down or its answer is lost while an operator makes a change.

        The error has to state whether to look up the change in the history or to
        make it again.
        """
        self.log.fault = fakes.LogDown(False)
        with self.assertLogs(level="WARNING"):
            answer = self.put()
        error = self.assertError(answer, 503, "log-down")
        self.assertFalse(error["may_have_taken_effect"])
        self.assertIn("Retry-After", answer.headers)
        self.log.fault = fakes.LogDown(None)
        with self.assertLogs(level="WARNING"):
            answer = self.put()
        error = self.assertError(answer, 503, "unknown")
        self.assertTrue(error["may_have_taken_effect"])
        self.assertIn("change_id", error)

    def test_history_records_authors_and_times(self):
        self.put()
        self.put(token=OTHER_TOKEN)
        self.ask("DELETE", "/services/archive")
        changes = self.ask("GET", "/history").json()["changes"]
        self.assertEqual([entry["author"] for entry in changes], ["ana", "luis", "ana"])
        self.assertEqual([entry["deleted"] for entry in changes], [True, False, False])
        self.assertEqual(changes[0]["time"], 1002.0)
        found = self.ask("GET", f"/history?change_id={changes[1]['change_id']}").json()
        self.assertEqual(found["changes"], [changes[1]])
        self.assertEqual(len(self.ask("GET", "/history?limit=2").json()["changes"]), 2)
        self.assertError(self.ask("GET", "/history?limit=x"), 400, "bad-request")

    def test_status(self):
        self.assertEqual(self.ask("GET", "/status").json(), {"daemon": "d1"})

    def test_drain(self):
        self.assertError(self.ask("GET", "/drain"), 405, "http")
        self.assertEqual(self.ask("POST", "/drain").status, 202)
        self.assertEqual(self.drained, [self.store])


class AccessTest(ApiCase):
    def test_every_path_needs_a_token(self):
        for path in ("/services", "/history", "/status", "/metrics", "/nothing"):
            answer = self.ask("GET", path, token=None)
            self.assertError(answer, 401, "unauthorized")
            self.assertEqual(answer.headers["WWW-Authenticate"], "Bearer")
        self.assertError(self.put(token="x" * 20), 401, "unauthorized")
        self.assertError(self.ask("POST", "/drain", token=None), 401, "unauthorized")
        self.assertEqual(self.drained, [])
        self.assertEqual(self.log.records, [])


class ClosedTest(ApiCase):
    operators = ""

    def test_api_is_closed_without_tokens(self):
        error = self.assertError(self.put(), 403, "closed")
        self.assertIn("WHINWINCH_OPERATOR_TOKENS", error["message"])


class WatchTest(ApiCase):
    def read_lines(self, path):
        answer = self.ask("GET", path)
        self.assertEqual(answer.status, 200, answer.data)
        lines = [json.loads(line) for line in answer.data.splitlines()]
        return [line for line in lines if line["type"] != "current"]

    def test_resumes_after_a_version(self):
        self.put()
        self.put()
        self.ask("DELETE", "/services/archive")
        lines = self.read_lines("/services?watch=true&version=1&timeout=0.05")
        self.assertEqual([line["version"] for line in lines], [2, 3])
        self.assertEqual([line["type"] for line in lines], ["changed", "deleted"])

    def test_streams_a_change_as_it_happens(self):
        answer = self.open_watch()
        lines = iter(answer.stream(1))
        self.read_line(lines)
        self.put()
        line = self.read_line(lines)
        self.assertEqual((line["type"], line["name"]), ("changed", "archive"))
        self.check_limit()
        self.store.close()
        answer.drain_conn()

    def open_watch(self):
        return self.pool.request(
            "GET",
            self.url + "/services?watch=true&timeout=60",
            headers={"Authorization": f"Bearer {TOKEN}"},
            preload_content=False,
        )

    def read_line(self, parts):
        data = b""
        while not data.endswith(b"\n"):
            data += next(parts)
        return json.loads(data)

    def check_limit(self):
        answer = self.ask("GET", "/services?watch=true")
        self.assertError(answer, 429, "too-many-watches")
        self.assertIn("Retry-After", answer.headers)

    def test_place_of_a_disconnected_client_is_released(self):
        """A client disconnects during its watch.

        If its place were not released, the daemon would soon refuse all watches.
        """
        self.open_watch().close()
        for _ in range(100):
            self.put()
            answer = self.ask("GET", "/services?watch=true&timeout=0")
            if answer.status == 200:
                return
        self.fail("the place of the watch was not released")

    def test_place_is_released(self):
        for _ in range(3):
            self.read_lines("/services?watch=true&timeout=0")

    def test_version_too_old(self):
        """A watcher resumes from a version whose changes are no longer stored."""
        self.put()
        for number in range(configuration.MAX_HISTORY):
            change = fakes.make_change("other", 0, {}, f"c{number}")
            if number:
                change = change._replace(replaces=number + 1)
            self.store.propose(change, 0)
        answer = self.ask("GET", "/services?watch=true&version=0")
        self.assertError(answer, 410, "version-too-old")


class NotReadyTest(ApiCase):
    def test_daemon_without_configuration_is_not_ready(self):
        """A daemon has just started while the log is down.

        If it returned an empty list, tools would create all services again.
        """
        self.store._ready = False
        self.assertError(self.ask("GET", "/services"), 503, "not-ready")
        self.assertError(self.put(), 503, "not-ready")


if __name__ == "__main__":
    unittest.main()
