"""Tests of operators' tokens and of the tokens between daemons."""

import unittest

from whinwinch import errors
from whinwinch.operators import access

ANA = "ana-0123456789abcdef"
LUIS = "luis-0123456789abcdef"


class AccessTest(unittest.TestCase):
    def test_finds_the_author_of_a_token(self):
        operators = access.parse_operators(f"ana:{ANA}, luis:{LUIS}")
        self.assertEqual(access.find_author(operators, f"Bearer {LUIS}"), "luis")
        self.assertEqual(access.find_author(operators, f"bearer  {ANA}"), "ana")

    def test_rejects_invalid_tokens(self):
        operators = access.parse_operators(f"ana:{ANA}")
        for header in (
            None,
            "",
            "Bearer",
            f"Basic {ANA}",
            "Bearer x",
            f"Bearer {ANA}x",
        ):
            with self.assertRaises(access.AccessError) as caught:
                access.find_author(operators, header)
            self.assertFalse(caught.exception.closed)
        with self.assertRaises(access.AccessError):
            access.find_author(operators, "Bearer caf\xe9\udcff")

    def test_closed_without_tokens(self):
        """A daemon is started without operators' tokens.

        If its admin API were open, anyone who reaches the port could change which
        requests are shed and which calls may run twice.
        """
        with self.assertRaises(access.AccessError) as caught:
            access.find_author((), f"Bearer {ANA}")
        self.assertTrue(caught.exception.closed)

    def test_findings_contain_no_token(self):
        text = f"ana:short,b@d name:{ANA},luis:{LUIS},eva:{LUIS},{LUIS}x"
        with self.assertRaises(errors.InputErrors) as caught:
            access.parse_operators(text)
        findings = caught.exception.findings
        places = [finding.place for finding in findings]
        for index in (0, 1, 3, 4):
            self.assertIn(f"WHINWINCH_OPERATOR_TOKENS[{index}]", places)
        for secret in ("short", ANA, LUIS):
            self.assertNotIn(secret, str(findings))

    def test_repr_contains_no_token(self):
        operators = access.parse_operators(f"ana:{ANA}")
        self.assertNotIn(ANA, repr(operators))

    def test_peer_tokens_rotate_without_interruption(self):
        old, new = "old-0123456789abcdef", "new-0123456789abcdef"
        setting = f" {new},{old}"
        access.check_peer_setting(setting)
        self.assertEqual(access.choose_peer_token(setting), new)
        self.assertTrue(access.check_peer_token(old, setting))
        self.assertTrue(access.check_peer_token(new, setting))
        for token in ("", " ", f"Bearer {new}", f"{new}x", new[:-1], "\u00e9"):
            self.assertFalse(access.check_peer_token(token, setting))
        self.assertFalse(access.check_peer_token("", ""))
        with self.assertRaises(errors.InputErrors) as caught:
            access.check_peer_setting("short,also short by far")
        self.assertNotIn("short", str(caught.exception.findings))


if __name__ == "__main__":
    unittest.main()
