"""Tests of hop-by-hop headers and of the encoding of responses."""

import unittest

from whinwinch.http1 import messages


class HeadersTest(unittest.TestCase):
    def test_listed_headers_are_dropped(self):
        headers = (("Connection", "close, X-Own"), ("x-own", "1"), ("X-Else", "2"))
        self.assertEqual(messages.drop_headers(headers), (("X-Else", "2"),))

    def test_response_always_states_its_length(self):
        data = messages.format_response(messages.HttpResponse(200, "OK"), False)
        self.assertIn(b"Content-Length: 0", data)

    def test_response_to_head_has_no_body(self):
        response = messages.HttpResponse(200, "OK", (), b"ab")
        data = messages.format_response(response, False, True)
        self.assertIn(b"Content-Length: 2", data)
        self.assertTrue(data.endswith(b"\r\n\r\n"))
