"""Tests of the interface by which a backend server announces itself."""

import unittest

from whinwinch.backends import app
from whinwinch.http1.messages import HttpRequest


class AnnouncementTest(unittest.TestCase):
    def test_body_that_is_no_announcement_is_refused(self):
        """Guards against an error in place of an answer that tells what is wrong."""
        announced = []
        for body in (b"", b"\xff", b"[" * app.MAX_ANNOUNCEMENT_BYTES, b"{}"):
            with self.subTest(body[:9]):
                http = HttpRequest("PUT", "/", body=body)
                answer = app._serve_announcement(http, announced.append, None)
                self.assertEqual(answer.status, 400)
        self.assertEqual(announced, [])
