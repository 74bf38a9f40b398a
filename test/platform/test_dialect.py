"""Tests of the conversion of HTTP headers and statuses to typed messages."""

import unittest

from whinwinch.backends.interface import Notice
from whinwinch.http1.messages import HttpRequest, HttpResponse, find_header
from whinwinch.messages import Answer, Outcome, Reason, build_failure
from whinwinch.platform import dialect
from whinwinch.routes import Route, WeightedService
from whinwinch.workspaces import registry

SAFE = Route("r", "h", "/a/", (WeightedService("s", 1),), repeatable=True)
UNSAFE = SAFE._replace(repeatable=False)
HTTP_REQUEST = HttpRequest(
    "POST",
    "/a/b?c=d",
    (
        ("Host", "H.example:80"),
        ("X-Request-Id", "q1"),
        ("X-Deadline-Ms", "900"),
        ("X-Caller-Service", "forged"),
        ("X-Expected-Instance", "forged"),
        ("Connection", "keep-alive"),
        ("X-Else", "1"),
    ),
    b"body",
)


def build(route=SAFE):
    return dialect.build_request(HTTP_REQUEST, route, "s", "own", 9.0, 8.0)


def parse(status, *headers, route=SAFE):
    response = HttpResponse(status, "Phrase", headers, b"x")
    return dialect.parse_backend_answer(build(route), response)


class RequestTest(unittest.TestCase):
    def test_arrival(self):
        arrival = dialect.read_arrival(HTTP_REQUEST)
        self.assertEqual(arrival, dialect.Arrival("h.example", "/a/b", 0.9))

    def test_invalid_request(self):
        for http in (
            HTTP_REQUEST._replace(target="http://h/a/"),
            HTTP_REQUEST._replace(headers=()),
            HTTP_REQUEST._replace(headers=(("Host", "h"), ("X-Deadline-Ms", "soon"))),
        ):
            with self.assertRaises(ValueError):
                dialect.read_arrival(http)

    def test_request_to_the_backend_server(self):
        """A caller forges headers that only the daemon may set."""
        data = dialect.format_backend_request(build(), 0.75, "i-1").decode()
        head, _, body = data.partition("\r\n\r\n")
        lines = head.split("\r\n")
        self.assertEqual(lines[0], "POST /a/b?c=d HTTP/1.1")
        self.assertEqual(body, "body")
        self.assertIn("X-Caller-Service: own", lines)
        self.assertIn("X-Expected-Instance: i-1", lines)
        self.assertIn("X-Deadline-Ms: 750", lines)
        self.assertIn("X-Else: 1", lines)
        self.assertIn("Content-Length: 4", lines)
        self.assertNotIn("forged", head)
        self.assertEqual(head.count("X-Deadline-Ms"), 1)


class WorkspaceTest(unittest.TestCase):
    CREDENTIALS = ("Authorization", "Bearer k1")
    FORGED = ("X-Tenant-Id", "forged")
    HTTP = HTTP_REQUEST._replace(headers=(*HTTP_REQUEST.headers, CREDENTIALS, FORGED))

    def build(self, identity):
        return dialect.build_request(
            self.HTTP, SAFE, "s", "own", 9.0, 8.0, identity
        ).headers

    def test_workspace_replaces_key_and_forged_name(self):
        headers = self.build(registry.Identity(registry.Workspace("one")))
        self.assertIn(("X-Tenant-Id", "one"), headers)
        self.assertEqual(find_header(headers, "authorization"), "")
        self.assertNotIn(self.FORGED, headers)
        unknown = registry.Identity(refusal=Reason.UNKNOWN_KEY)
        for identity in (registry.NOBODY, unknown):
            self.assertEqual(find_header(self.build(identity), "x-tenant-id"), "")

    def test_credentials_pass_where_there_are_no_workspaces(self):
        """Guards against taking from backend servers what is meant for them."""
        headers = self.build(registry.UNCHECKED)
        self.assertIn(self.CREDENTIALS, headers)
        self.assertIn(self.FORGED, headers)

    def test_refusals_of_workspaces_have_their_statuses(self):
        for reason, status in ((Reason.UNKNOWN_KEY, 401), (Reason.QUOTA, 429)):
            answer = build_failure(build(), Outcome.NOT_RUN, reason, retry_after=0.5)
            response = dialect.build_response(answer, "q1")
            self.assertEqual(response.status, status)
        self.assertEqual(find_header(response.headers, "retry-after"), "0.500")


class AnswerTest(unittest.TestCase):
    def test_complete_answer_is_passed_on_unchanged(self):
        answer = parse(201, ("X-Response-Seal", "s"), ("Keep-Alive", "timeout=5"))
        self.assertEqual(answer.outcome, Outcome.COMPLETED)
        response = dialect.build_response(answer, "q1")
        expected = HttpResponse(201, "Phrase", (("X-Response-Seal", "s"),), b"x")
        self.assertEqual(response, expected)

    def test_request_refused_by_the_backend_server(self):
        answer = parse(503, ("X-Not-Executed", "1"))
        self.assertEqual(
            (answer.outcome, answer.reason), (Outcome.NOT_RUN, Reason.SHED)
        )
        self.assertTrue(answer.reached_backend)

    def test_another_backend_server_at_the_address(self):
        answer = parse(421, ("X-Instance-Id", "i-2"))
        self.assertEqual(answer.reason, Reason.WRONG_BACKEND)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)

    def test_status_without_the_header_does_not_guarantee_that_nothing_ran(self):
        """A backend server runs a payout but answers 503.

        If the status were passed on, the caller would conclude that the payout has
        not run, send it again, and it would be paid twice.
        """
        answer = parse(503, ("X-Response-Seal", "s"), route=UNSAFE)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(dialect.build_response(answer, "q1").status, 502)

    def test_success_without_signature(self):
        """Another server than the backend server answers at its address."""
        self.assertEqual(parse(200).outcome, Outcome.UNKNOWN)

    def test_answer_of_another_request(self):
        response = HttpResponse(200, "OK", (("X-Request-Id", "q0"),))
        self.assertFalse(dialect.is_answer_to(build(), response))
        response = HttpResponse(200, "OK", (("X-Request-Id", "q1"),))
        self.assertTrue(dialect.is_answer_to(build(), response))
        self.assertFalse(dialect.is_answer_to(build(), HttpResponse(200, "OK")))

    def test_refusal_has_a_retry_delay(self):
        answer = build_failure(build(), Outcome.NOT_RUN, Reason.LEVEL, retry_after=0.25)
        response = dialect.build_response(answer, "q1")
        self.assertEqual(response.status, 503)
        self.assertEqual(find_header(response.headers, "retry-after"), "0.250")

    def test_unknown_outcome_has_no_status_that_guarantees_not_run(self):
        for reason, status in ((Reason.BROKEN, 502), (Reason.DEADLINE, 504)):
            answer = Answer("a", Outcome.UNKNOWN, reason)
            self.assertEqual(dialect.build_response(answer, "q1").status, status)


class NoticeTest(unittest.TestCase):
    def read(self, *headers):
        return dialect.read_notice(HttpResponse(200, "OK", headers, b"x"))

    def test_limit_and_leave_are_read_from_any_answer(self):
        self.assertEqual(self.read(), Notice(None, False))
        self.assertEqual(self.read(("Server-Limit", "28.5")), Notice(28.5, False))
        self.assertEqual(self.read(("server-limit", "0")), Notice(0.0, False))
        self.assertEqual(self.read(("Server-Leaving", "1")), Notice(None, True))

    def test_limit_that_is_not_a_rate_is_ignored(self):
        """Guards against refusing all requests for a malformed header."""
        for text in ("", "many", "nan", "inf", "-1"):
            with self.subTest(text):
                self.assertEqual(self.read(("Server-Limit", text)).rate, None)
