"""Tests of the keys of workspaces."""

import unittest

from whinwinch.workspaces import keys


class CredentialsTest(unittest.TestCase):
    def test_key_of_the_scheme(self):
        for value in ("Bearer k1", "bearer k1", "BEARER  k1 "):
            self.assertEqual(keys.parse_credentials([value], "Bearer"), "k1")

    def test_malformed_credentials_carry_no_key(self):
        """Guards against two daemons that take different keys from one request."""
        for values in (
            [],
            ["Bearer k1", "Bearer k1"],
            ["Bearer"],
            ["Bearer "],
            ["Basic k1"],
            ["k1"],
            ["Bearer k1 k2"],
            ["Bearer k\u00e9"],
            ["Bearer " + "k" * (keys.MAX_KEY_LENGTH + 1)],
        ):
            self.assertIsNone(keys.parse_credentials(values, "Bearer"))


class DigestTest(unittest.TestCase):
    def test_digests_distinguish_keys(self):
        self.assertEqual(keys.digest_key("k1"), keys.digest_key("k1"))
        self.assertNotEqual(keys.digest_key("k1"), keys.digest_key("k2"))
        self.assertNotIn(b"k1", keys.digest_key("k1"))
