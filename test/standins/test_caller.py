"""Tests of the stand-in caller, against stand-in backend servers."""

import contextlib
import io
import pathlib
import random
import tempfile
import time
import unittest
import unittest.mock
import uuid

from standins import backend, caller, sender, serving, trace

LOOPBACK = serving.Address("127.0.0.1", 0)
REQUEST = trace.Request(0.0, "archive", path="/x", timeout=30.0)


class TraceTest(unittest.TestCase):
    def test_round_trip(self):
        requests = (REQUEST, REQUEST._replace(at=0.5, method="POST", key="new"))
        self.assertEqual(trace.read_trace(trace.write_trace(requests)), requests)

    def test_invalid_line_is_reported_by_number(self):
        with self.assertRaisesRegex(ValueError, "line 2"):
            trace.read_trace(['{"at": 0, "service": "a"}', '{"att": 0}'])

    def test_rate_and_repetition(self):
        requests = tuple(REQUEST._replace(at=at) for at in (0.0, 1.0, 2.0, 3.0))
        played = trace.schedule_requests(requests, 2.0, 3.0)
        self.assertEqual(
            [request.at for request in played], [0.0, 0.5, 1.0, 1.5, 2.0, 2.5]
        )


class CallerTest(unittest.TestCase):
    def start(self, service="archive", slots=2, direct=None):
        settings = backend.Settings(service, slots, 0.0, direct=direct or {})
        server, load = backend.build_server(LOOPBACK, settings)
        serving.start_server(server)
        self.addCleanup(server.stop)
        return f"http://{serving.find_address(server)}", load

    def test_plays_a_chain_and_checks_that_it_is_complete(self):
        archive, _ = self.start()
        direct = {"archive": (archive.removeprefix("http://"),)}
        catalog, _ = self.start("catalog", direct=direct)
        request = REQUEST._replace(service="catalog", next="archive/x", size=9)
        send = sender.build_sender([catalog], direct=True)
        results = caller.play([request] * 5, send, caller.Retry.NONE, 2)
        self.assertEqual([result.last.succeeded for result in results], [True] * 5)
        longer_chain = request._replace(next="archive/x,archive/x")
        self.assertFalse(sender.is_whole(b'{"service": "catalog"}', longer_chain, "m"))

    def test_answer_to_another_request_is_not_whole(self):
        """A caller receives the answer to another caller's request."""
        body = b'{"service": "archive", "marker": "other", "below": []}'
        self.assertFalse(sender.is_whole(body, REQUEST, "own"))
        self.assertTrue(sender.is_whole(body, REQUEST, "other"))

    def test_retries_with_the_same_key(self):
        """Responses are lost after the work ran, and the caller retries.

        Without a daemon the work runs at each attempt, with the same key.
        """
        url, load = self.start()
        load.set_faults({"lose_answers": 2})
        send = sender.build_sender([url], direct=True)
        request = REQUEST._replace(method="POST", key="new")
        key, sent = caller.send_with_retries(
            send, request, caller.Retry.HARD, random.Random(1)
        )
        outcomes = [each.outcome for each in sent]
        self.assertEqual(outcomes, ["unknown", "unknown", "completed"])
        self.assertEqual(load.report_runs()["keys"], {key: 3})

    def test_deadline_passes_between_two_attempts(self):
        """On a busy machine a retry delay ends after the deadline.

        An attempt with a negative timeout would raise in the caller's thread and
        write a traceback among the results.
        """
        timeouts = []

        def send(request, key, timeout):
            timeouts.append(timeout)
            return sender.Sent("r", "not-run", "queue-full", 503, 0.05)

        class Draw:
            def uniform(self, low, high):
                return 0.0

        request = REQUEST._replace(timeout=0.12)
        with unittest.mock.patch.object(
            caller.time, "sleep", lambda _, sleep=time.sleep: sleep(0.2)
        ):
            _, sent = caller.send_with_retries(send, request, caller.Retry.HARD, Draw())
        self.assertEqual([each.outcome for each in sent], ["not-run"])
        self.assertTrue(all(timeout > 0 for timeout in timeouts))

    def test_deadline_passes_before_the_first_attempt(self):
        """A request waits for a thread past its deadline: reported as not run."""
        request = REQUEST._replace(timeout=0.0)
        _, sent = caller.send_with_retries(
            None, request, caller.Retry.HARD, random.Random(1)
        )
        self.assertEqual([each.outcome for each in sent], ["not-run"])
        self.assertEqual(sent[0].reason, "deadline")

    def test_failed_thread_is_reported(self):
        """A thread of the caller raises, and its request has no result.

        Without a report, a result would be missing for no visible reason.
        """

        def send(request, key, timeout):
            raise RuntimeError("no route")

        with self.assertRaises(ExceptionGroup) as caught:
            caller.play([REQUEST], send, caller.Retry.NONE, 1)
        (error,) = caught.exception.exceptions
        self.assertEqual(str(error), "no route")
        self.assertEqual(error.__notes__, ["in caller thread 0"])

    def test_command_ends_with_2_and_keeps_results_apart(self):
        """A thread of the caller raises in the demo.

        Its traceback must not be written to the file of results.
        """
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            (path / "trace").write_text("".join(trace.write_trace([REQUEST])))
            arguments = ["--trace", str(path / "trace"), "--entries", "http://x"]
            arguments += ["--results", str(path / "results")]
            error = io.StringIO()
            with (
                unittest.mock.patch.object(
                    caller.sender, "build_url", side_effect=RuntimeError("boom")
                ),
                contextlib.redirect_stderr(error),
            ):
                self.assertEqual(caller.main(arguments), caller.EXIT_FAILED)
            self.assertIn("boom", error.getvalue())
            self.assertEqual((path / "results").read_text(), "")

    def test_request_without_a_server_is_not_run(self):
        url, _ = self.start()
        self.doCleanups()
        send = sender.build_sender([url], direct=True)
        self.assertEqual(send(REQUEST).outcome, "not-run")

    def test_result_round_trip(self):
        sent = sender.Sent("r", "not-run", "queue-full", 503, 0.1, 1, 0.2)
        result = caller.Result(0.0, "archive", "", "low", "", 0.0, 0.1, (sent, sent))
        self.assertEqual(caller.read_result(caller.write_result(result)), result)

    def test_key_is_uuid_version_7(self):
        key = uuid.UUID(caller.new_key(1.5))
        self.assertEqual((key.version, key.int >> 80), (7, 1500))
