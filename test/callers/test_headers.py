"""Tests for reading a call's headers."""

import unittest

from whinwinch.callers import headers
from whinwinch.messages import Importance


def build_environ(path="/services/catalog/books/7", **variables):
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": path, "REMOTE_ADDR": "127.0.0.9"}
    environ.update(variables)
    return environ


class ParseCallTest(unittest.TestCase):
    def parse(self, *arguments, **variables):
        return headers.parse_call(build_environ(*arguments, **variables), b"")

    def test_path_and_query_reach_the_backend_server(self):
        incoming = self.parse(QUERY_STRING="a=1&b=2").incoming
        self.assertEqual("catalog", incoming.service)
        self.assertEqual("/books/7?a=1&b=2", incoming.path)

    def test_a_question_mark_in_a_segment_stays_quoted(self):
        incoming = self.parse("/services/catalog/what?/x y").incoming
        self.assertEqual("/what%3F/x%20y", incoming.path)

    def test_urgency_becomes_importance(self):
        for urgency, importance in (
            ("u=0", Importance.CRITICAL),
            ("i, u=2", Importance.HIGH),
            ("u=3;q=1", Importance.NORMAL),
            ("u=7", Importance.LOW),
            ("i", None),
        ):
            with self.subTest(urgency):
                parsed = self.parse(HTTP_PRIORITY=urgency)
                self.assertEqual(importance, parsed.incoming.importance)
                self.assertFalse(parsed.findings)

    def test_all_findings_are_reported_at_once(self):
        parsed = self.parse(
            "/services/../x",
            HTTP_PRIORITY="u=9",
            HTTP_WHINWINCH_TIMEOUT="-5",
            HTTP_X_REQUEST_ID="a b",
            HTTP_WHINWINCH_CALLER="x" * 65,
            HTTP_IDEMPOTENCY_KEY="k" * 129,
        )
        places = [finding.place for finding in parsed.findings]
        self.assertEqual(
            [
                "path",
                "X-Request-Id",
                "Priority",
                "Whinwinch-Timeout",
                "Idempotency-Key",
                "Whinwinch-Caller",
            ],
            places,
        )

    def test_timeouts(self):
        self.assertEqual(
            1.5, self.parse(HTTP_WHINWINCH_TIMEOUT="1500").incoming.timeout
        )
        for text in ("0", "1.5", "x", "9" * 30, "٣", "3600001"):
            with self.subTest(text):
                self.assertTrue(self.parse(HTTP_WHINWINCH_TIMEOUT=text).findings)

    def test_a_nameless_caller_is_known_by_its_address(self):
        self.assertEqual("127.0.0.9", self.parse().incoming.caller)

    def test_headers_of_this_hop_are_not_handed_on(self):
        incoming = self.parse(
            HTTP_CONNECTION="close", HTTP_ACCEPT="text/plain", CONTENT_TYPE="a/b"
        ).incoming
        expected = {("Accept", "text/plain"), ("Content-Type", "a/b")}
        self.assertEqual(expected, set(incoming.headers))


if __name__ == "__main__":
    unittest.main()
