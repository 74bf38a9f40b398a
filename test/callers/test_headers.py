"""Tests of the parser of a call's headers."""

import unittest

from whinwinch.callers import headers
from whinwinch.http1.messages import HttpRequest
from whinwinch.messages import Importance

ADDRESS = "127.0.0.9"


def parse(target="/services/catalog/books/7", *pairs):
    return headers.parse_call(HttpRequest("GET", target, pairs), ADDRESS)


class ParseCallTest(unittest.TestCase):
    def parse(self, **headers_by_name):
        pairs = [
            (name.replace("_", "-"), value) for name, value in headers_by_name.items()
        ]
        return parse("/services/catalog/books/7", *pairs)

    def test_path_and_query_reach_the_backend_server(self):
        incoming = parse("/services/catalog/books/7?a=1&b=2").incoming
        self.assertEqual("catalog", incoming.service)
        self.assertEqual("/books/7?a=1&b=2", incoming.path)

    def test_a_question_mark_in_a_segment_stays_quoted(self):
        incoming = parse("/services/catalog/what%3F/x%20y?q=%3F").incoming
        self.assertEqual("/what%3F/x%20y?q=%3F", incoming.path)

    def test_urgency_becomes_importance(self):
        for urgency, importance in (
            ("u=0", Importance.CRITICAL),
            ("i, u=2", Importance.HIGH),
            ("u=3;q=1", Importance.NORMAL),
            ("u=7", Importance.LOW),
            ("i", None),
        ):
            with self.subTest(urgency):
                parsed = self.parse(Priority=urgency)
                self.assertEqual(importance, parsed.incoming.importance)
                self.assertFalse(parsed.findings)

    def test_headers_that_the_daemon_sets_are_not_taken_from_callers(self):
        """Guards against answers dropped for an identifier that a caller made up."""
        names = ("Whinwinch-Attempt", "Whinwinch-Root", "Whinwinch-Timeout")
        parsed = parse("/services/catalog/x", *((name, "1") for name in names))
        passed = {name.lower() for name, _ in parsed.incoming.headers}
        self.assertFalse(passed.intersection(name.lower() for name in names))

    def test_all_findings_are_reported_at_once(self):
        parsed = parse(
            "/services/../x",
            ("Priority", "u=9"),
            ("Whinwinch-Timeout", "-5"),
            ("X-Request-Id", "a b"),
            ("Whinwinch-Caller", "x" * 65),
            ("Idempotency-Key", "k" * 129),
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

    def test_paths_that_name_no_service(self):
        for target in ("*", "/", "/services", "/services/", "/admin/x", "http://a/b"):
            with self.subTest(target):
                (finding,) = parse(target).findings
                self.assertEqual("path", finding.place)

    def test_two_keys(self):
        """A proxy in front of the daemon uses the first key, the daemon the second.

        The payout would be claimed with one key and requested with the other.
        """
        parsed = parse(
            "/services/royalties/payouts",
            ("Idempotency-Key", "a"),
            ("idempotency-key", "b"),
        )
        self.assertEqual(["Idempotency-Key"], [each.place for each in parsed.findings])

    def test_a_header_name_with_an_underscore_is_dropped(self):
        parsed = parse("/services/catalog/x", ("Idempotency_Key", "a"), ("Accept", "b"))
        self.assertEqual("", parsed.incoming.key)
        self.assertEqual((("Accept", "b"),), parsed.incoming.headers)

    def test_timeouts(self):
        self.assertEqual(1.5, self.parse(Whinwinch_Timeout="1500").incoming.timeout)
        for text in ("0", "1.5", "x", "9" * 30, "٣", "3600001"):
            with self.subTest(text):
                self.assertTrue(self.parse(Whinwinch_Timeout=text).findings)

    def test_a_caller_without_a_name_is_identified_by_its_address(self):
        self.assertEqual(ADDRESS, self.parse().incoming.caller)

    def test_hop_by_hop_headers_are_not_passed_on(self):
        incoming = self.parse(
            Connection="close, X-Own",
            X_Own="1",
            Host="a",
            Accept="text/plain",
            Content_Type="a/b",
            Content_Length="0",
        ).incoming
        expected = {("Accept", "text/plain"), ("Content-Type", "a/b")}
        self.assertEqual(expected, set(incoming.headers))


if __name__ == "__main__":
    unittest.main()
