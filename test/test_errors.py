"""Tests of reporting several findings together."""

import unittest

from whinwinch import errors


class FindingsTest(unittest.TestCase):
    def test_all_findings_are_raised_together(self):
        findings = [
            errors.Finding("--zone", "is missing"),
            errors.Finding("--port", "?"),
        ]
        with self.assertRaises(errors.InputErrors) as caught:
            errors.raise_findings("settings", findings)
        self.assertEqual(tuple(findings), caught.exception.findings)

    def test_no_findings_raise_nothing(self):
        errors.raise_findings("settings", [])

    def test_a_group_is_a_user_error(self):
        with self.assertRaises(errors.UserError):
            errors.raise_findings("settings", [errors.Finding("--zone", "is missing")])


if __name__ == "__main__":
    unittest.main()
