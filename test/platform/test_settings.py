"""Tests of the platform's settings file."""

import unittest

from whinwinch import errors
from whinwinch.platform import settings
from whinwinch.settings import Address

TEXT = """
self_node.node=sidecar-a-1
self_node.zone=a
self_node.service=s1
self_node.app_addr=10.1.0.8:8301
network.listen.inbound=10.1.0.8:8300
network.listen.outbound=10.1.0.8:8304
network.listen.ready=10.1.0.8:8302
network.listen.control=10.1.0.8:8306
platform.platform.address=10.200.1.7:8309
terms.bounds.drain=2000ms
terms.bounds.grace=6s
unknown.field=1
"""


class SettingsTest(unittest.TestCase):
    def test_read(self):
        parsed = settings.parse_text(TEXT)
        self.assertEqual(parsed.backend, Address("10.1.0.8", 8301))
        self.assertEqual((parsed.drain, parsed.stop_grace), (2.0, 6.0))
        self.assertEqual(parsed.metrics, 0)
        ports = "network.internal_ports=7620,7635\n"
        self.assertEqual(settings.parse_text(TEXT + ports).metrics, 7620)

    def test_all_invalid_fields_are_reported_at_once(self):
        text = TEXT.replace("ready=10.1.0.8:8302", "ready=nowhere")
        text = text.replace("drain=2000ms", "drain=soon")
        text = text.replace("self_node.service=s1\n", "")
        with self.assertRaises(errors.InputErrors) as caught:
            settings.parse_text(text)
        places = {finding.place for finding in caught.exception.findings}
        self.assertEqual(
            places, {"self_node.service", "network.listen.ready", "terms.bounds.drain"}
        )

    def test_no_file(self):
        with self.assertRaises(errors.UserError):
            settings.read_file({})
        with self.assertRaises(errors.UserError):
            settings.read_file({settings.PATH_VARIABLE: "/nowhere"})
