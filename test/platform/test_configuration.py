"""Tests of the operator's configuration."""

import json
import unittest

from whinwinch import errors, routes
from whinwinch.messages import Importance
from whinwinch.platform import configuration

ROUTE = {
    "host": "H.example",
    "path_prefix": "/a/",
    "kind": "unsafe",
    "timeout": "800ms",
    "target_latency": "1.5s",
    "priority": 0,
    "service": "s1",
    "max_attempts": 2,
}
SPLIT = {
    "host": "h",
    "path_prefix": "/b/",
    "kind": "safe",
    "priority": 7,
    "weighted_services": [
        {"service": "s1", "weight": 90},
        {"service": "s2", "weight": 10},
        {"service": "s3", "weight": 0},
    ],
}


def parse(routes_by_name, version="r7", limits=None):
    document = {"version": version, "routes": routes_by_name, "limits": limits}
    return configuration.parse_configuration(json.dumps(document).encode())


class ConfigurationTest(unittest.TestCase):
    def test_read(self):
        read = parse({"one": ROUTE, "two": SPLIT}, limits={"idle_timeout": "12s"})
        one, two = read.table.routes
        self.assertEqual(read.table.version, 7)
        self.assertEqual(
            (one.host, one.timeout, one.objective), ("h.example", 0.8, 1.5)
        )
        self.assertFalse(one.repeatable)
        self.assertEqual(one.importance, Importance.CRITICAL)
        self.assertTrue(two.repeatable)
        self.assertEqual(two.importance, Importance.LOW)
        self.assertEqual(
            two.weighted_services,
            (routes.WeightedService("s1", 90), routes.WeightedService("s2", 10)),
        )
        self.assertEqual(read.limits.idle_seconds, 12.0)

    def test_findings_never_contain_a_key(self):
        """Guards against a key in the log line of a configuration that isn't read."""
        for keys in (["secret-1", 7], ["secret-1\ud800"], "secret-1"):
            document = {
                "version": "r8",
                "routes": {"one": ROUTE},
                "tenants": {"w": {"api_keys": keys}},
            }
            data = json.dumps(document).encode()
            with self.assertRaises(errors.InputErrors) as caught:
                configuration.parse_configuration(data)
            texts = [
                f"{each.place} {each.problem}" for each in caught.exception.findings
            ]
            self.assertNotIn("secret", " ".join([str(caught.exception), *texts]))

    def test_every_invalid_route_is_reported(self):
        """An invalid route must not be skipped: its callers would get 404."""
        bad = {**ROUTE, "kind": "sometimes"}
        with self.assertRaises(errors.InputErrors) as caught:
            parse({"one": bad, "two": {}, "three": SPLIT})
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(places, ["routes.one", "routes.two"])

    def test_data_that_is_no_configuration(self):
        for data in (b"", b"[]", b"{}", b"\xff", b'{"version": "7"}'):
            with self.assertRaises(ValueError):
                configuration.parse_configuration(data)
