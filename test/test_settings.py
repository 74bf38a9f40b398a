"""Tests of reading and validating the settings of a daemon."""

import argparse
import unittest

from whinwinch import errors, settings

REQUIRED = {
    "WHINWINCH_ADDRESS": "127.0.0.1:7300",
    "WHINWINCH_BACKEND_ADDRESS": "127.0.0.1:7301",
    "WHINWINCH_PEER_ADDRESS": "127.0.0.1:7302",
    "WHINWINCH_ZONE": "a",
    "WHINWINCH_LOG": "http://127.0.0.1:9000/",
}


def read(words=(), **environment):
    parser = argparse.ArgumentParser()
    settings.add_arguments(parser)
    return settings.read_settings(parser.parse_args(words), REQUIRED | environment)


class ReadSettingsTest(unittest.TestCase):
    def test_environment_and_defaults(self):
        found = read()
        self.assertEqual(settings.Address("127.0.0.1", 7300), found.address)
        self.assertEqual("http://127.0.0.1:9000", found.log)
        self.assertEqual(30.0, found.stop_grace)
        self.assertIsNone(found.advertise)

    def test_flag_takes_precedence_over_environment(self):
        self.assertEqual("b", read(["--zone", "b"]).zone)

    def test_all_findings_are_reported_at_once(self):
        with self.assertRaises(errors.InputErrors) as caught:
            read(
                ["--address", "nowhere", "--max-requests", "x"],
                WHINWINCH_LEASE="nan",
                WHINWINCH_LOGG="typing error",
            )
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(
            ["--address", "WHINWINCH_LEASE", "--max-requests", "WHINWINCH_LOGG"], places
        )

    def test_missing_settings_are_named(self):
        parser = argparse.ArgumentParser()
        settings.add_arguments(parser)
        with self.assertRaises(errors.InputErrors) as caught:
            settings.read_settings(parser.parse_args([]), {})
        self.assertEqual(5, len(caught.exception.findings))

    def test_backend_address_must_be_loopback(self):
        for address in ("0.0.0.0:7301", "10.0.0.1:7301", "localhost:7301"):
            with self.subTest(address), self.assertRaises(errors.InputErrors):
                read(["--backend-address", address])

    def test_secrets_have_no_flag(self):
        parser = argparse.ArgumentParser()
        settings.add_arguments(parser)
        self.assertNotIn("token", parser.format_help())


if __name__ == "__main__":
    unittest.main()
