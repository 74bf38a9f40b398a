"""Tests for reading bodies whose stated length can't be trusted."""

import io
import unittest

from whinwinch.callers import bodies

MOST = 10


def read(data, **variables):
    environ = {"wsgi.input": io.BytesIO(data), **variables}
    return bodies.read_body(environ, MOST)


class Broken:
    """An input whose connection is cut while it is read."""

    def read(self, length):
        raise TimeoutError("cut")


class ReadBodyTest(unittest.TestCase):
    def test_a_whole_body(self):
        self.assertEqual(b"hello", read(b"hello", CONTENT_LENGTH="5").data)

    def test_no_body(self):
        self.assertEqual(bodies.Body(b""), read(b"left over"))

    def test_a_body_that_is_too_large(self):
        self.assertEqual(413, read(b"x" * 11, CONTENT_LENGTH="11").status)

    def test_a_chunked_body_that_is_too_large(self):
        body = read(b"x" * 30, HTTP_TRANSFER_ENCODING="chunked")
        self.assertEqual(413, body.status)

    def test_a_length_that_lies(self):
        """A caller is cut off half way through its request.

        Without the check the backend server would act on half a request, and
        the caller would find half an order in the system.
        """
        body = read(b"hel", CONTENT_LENGTH="5")
        self.assertEqual(400, body.status)
        self.assertEqual(b"", body.data)

    def test_a_length_that_is_no_number(self):
        self.assertEqual(400, read(b"", CONTENT_LENGTH="-1").status)

    def test_a_connection_that_breaks_while_reading(self):
        """The caller's network goes away; nothing is run."""
        environ = {"wsgi.input": Broken(), "CONTENT_LENGTH": "5"}
        self.assertEqual(408, bodies.read_body(environ, MOST).status)


if __name__ == "__main__":
    unittest.main()
