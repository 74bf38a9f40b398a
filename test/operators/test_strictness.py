"""Tests of the rejection of ambiguous requests."""

import io
import unittest

from whinwinch.operators import strictness


def read(*lines):
    text = b"".join(line + b"\r\n" for line in (*lines, b""))
    return strictness.StrictHeaderReader()(io.BytesIO(text), {})


class StrictnessTest(unittest.TestCase):
    def test_repeated_length_is_rejected(self):
        """A proxy uses the first length and the daemon the second.

        The rest of the body would be parsed as a request of another caller.
        """
        with self.assertRaises(ValueError):
            read(b"Content-Length: 3", b"content-length: 4")

    def test_repeated_key_is_rejected(self):
        with self.assertRaises(ValueError):
            read(b"Idempotency-Key: a", b"Idempotency-Key: b")

    def test_length_with_transfer_encoding_is_rejected(self):
        with self.assertRaises(ValueError):
            read(b"Content-Length: 3", b"Transfer-Encoding: chunked")

    def test_name_with_an_underscore_is_dropped(self):
        self.assertEqual({}, read(b"Idempotency_Key: a"))

    def test_list_headers_are_joined(self):
        headers = read(b"Accept: a", b"Accept: b", b"Host: x")
        self.assertEqual({b"Accept": b"a, b", b"Host": b"x"}, headers)


if __name__ == "__main__":
    unittest.main()
