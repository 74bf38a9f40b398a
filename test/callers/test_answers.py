"""Tests of the conversion of answers to HTTP responses."""

import json
import unittest

from whinwinch.callers import answers
from whinwinch.http1.messages import find_header
from whinwinch.messages import Answer, Outcome, Reason
from whinwinch.router import CallResult


def build(answer):
    return answers.build_response(CallResult(answer, "root-1", 2))


class FormTest(unittest.TestCase):
    def test_an_answer_of_a_backend_server(self):
        answer = Answer(
            "a",
            Outcome.COMPLETED,
            status=404,
            headers=(("Content-Type", "text/x"), ("x-request-id", "attempt")),
            body=b"none",
        )
        response = build(answer)
        self.assertEqual((404, "Not Found"), (response.status, response.phrase))
        self.assertEqual(b"none", response.body)
        self.assertEqual("root-1", find_header(response.headers, "x-request-id"))
        self.assertEqual("2", find_header(response.headers, "whinwinch-retries"))
        names = [name.lower() for name, _ in response.headers]
        self.assertEqual(len(set(names)), len(names))

    def test_a_refusal_has_the_outcome_not_run_and_a_retry_delay(self):
        answer = Answer("a", Outcome.NOT_RUN, Reason.LEVEL, 503, retry_after=1.2)
        response = build(answer)
        self.assertEqual(503, response.status)
        self.assertEqual("2", find_header(response.headers, "retry-after"))
        self.assertEqual("1200", find_header(response.headers, "whinwinch-retry-after"))
        self.assertEqual("not-run", json.loads(response.body)["error"]["outcome"])

    def test_a_malformed_request_has_the_outcome_not_run(self):
        for status in (400, 408, 413, 431):
            response = answers.build_malformed_response(status)
            self.assertEqual(status, response.status)
            error = json.loads(response.body)["error"]
            self.assertEqual("not-run", error["outcome"])
            self.assertEqual(1, len(error["findings"]))

    def test_a_status_without_a_reason_phrase(self):
        self.assertEqual("Unknown", answers.find_phrase(599))


if __name__ == "__main__":
    unittest.main()
