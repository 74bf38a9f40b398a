"""Tests for requests that could be read in two ways."""

import io
import unittest

from whinwinch.operators import strictness


def read(*lines):
    text = b"".join(line + b"\r\n" for line in (*lines, b""))
    return strictness.StrictHeaderReader()(io.BytesIO(text), {})


class StrictnessTest(unittest.TestCase):
    def test_two_lengths(self):
        """A proxy in front takes the first length, this daemon the second.

        The rest of the body would be served as the request of another caller.
        """
        with self.assertRaises(ValueError):
            read(b"Content-Length: 3", b"content-length: 4")

    def test_two_keys(self):
        with self.assertRaises(ValueError):
            read(b"Idempotency-Key: a", b"Idempotency-Key: b")

    def test_a_length_beside_chunks(self):
        with self.assertRaises(ValueError):
            read(b"Content-Length: 3", b"Transfer-Encoding: chunked")

    def test_a_name_with_an_underscore_stands_for_nothing(self):
        self.assertEqual({}, read(b"Idempotency_Key: a"))

    def test_lists_are_joined(self):
        headers = read(b"Accept: a", b"Accept: b", b"Host: x")
        self.assertEqual({b"Accept": b"a, b", b"Host": b"x"}, headers)


if __name__ == "__main__":
    unittest.main()
