"""Tests of the conversion of answers to HTTP responses."""

import json
import unittest

from whinwinch.callers import answers
from whinwinch.http1.messages import find_header
from whinwinch.messages import Answer, Outcome, Reason
from whinwinch.router import CallResult


def form(answer):
    return answers.form_answer(CallResult(answer, "root-1", 2))


class FormTest(unittest.TestCase):
    def test_an_answer_of_a_backend_server(self):
        answer = Answer(
            "a",
            Outcome.COMPLETED,
            status=404,
            headers=(("Content-Type", "text/x"), ("x-request-id", "attempt")),
            body=b"none",
        )
        formed = form(answer)
        self.assertEqual((404, "Not Found"), (formed.status, formed.phrase))
        self.assertEqual(b"none", formed.body)
        self.assertEqual("root-1", find_header(formed.headers, "x-request-id"))
        self.assertEqual("2", find_header(formed.headers, "whinwinch-retries"))
        names = [name.lower() for name, _ in formed.headers]
        self.assertEqual(len(set(names)), len(names))

    def test_a_refusal_has_the_outcome_not_run_and_a_retry_delay(self):
        answer = Answer("a", Outcome.NOT_RUN, Reason.LEVEL, 503, retry_after=1.2)
        formed = form(answer)
        self.assertEqual(503, formed.status)
        self.assertEqual("2", find_header(formed.headers, "retry-after"))
        self.assertEqual("1200", find_header(formed.headers, "whinwinch-retry-after"))
        self.assertEqual("not-run", json.loads(formed.body)["error"]["outcome"])

    def test_a_malformed_request_has_the_outcome_not_run(self):
        for status in (400, 408, 413, 431):
            formed = answers.form_unreadable(status)
            self.assertEqual(status, formed.status)
            error = json.loads(formed.body)["error"]
            self.assertEqual("not-run", error["outcome"])
            self.assertEqual(1, len(error["findings"]))

    def test_a_status_without_a_reason_phrase(self):
        self.assertEqual("Unknown", answers.find_phrase(599))


if __name__ == "__main__":
    unittest.main()
