"""Tests of the endpoint records by which daemons discover each other."""

import json
import unittest

from whinwinch.crashes import CrashRecord
from whinwinch.messages import Endpoint
from whinwinch.platform import records

ENDPOINT = Endpoint("10.0.0.1:1", "10.0.0.1:1", "s", "a", "r", 4)


class RecordTest(unittest.TestCase):
    def test_round_trip(self):
        value = records.encode_endpoint(ENDPOINT)
        self.assertEqual(records.decode_endpoint("10.0.0.1:1", value), ENDPOINT)
        self.assertIsNone(records.decode_endpoint("10.0.0.1:1", b""))

    def test_record_of_the_previous_release(self):
        """Guards against daemons that don't find each other during a release."""
        fields = ENDPOINT._asdict()
        del fields["leaving_backend"]
        value = json.dumps(fields).encode()
        self.assertEqual(records.decode_endpoint("10.0.0.1:1", value), ENDPOINT)

    def test_record_of_another_writer(self):
        """Another program writes records with other fields; they must be rejected."""
        fields = ENDPOINT._asdict()
        for value in (
            b"\xff",
            b"[]",
            b"{}",
            json.dumps({**fields, "slots": "4"}).encode(),
            json.dumps({**fields, "leaving": 0}).encode(),
            json.dumps({**fields, "address": "10.0.0.1:2"}).encode(),
        ):
            with self.subTest(value), self.assertRaises(ValueError):
                records.decode_endpoint("10.0.0.1:1", value)

    def test_record_of_a_crash(self):
        crash = CrashRecord("i-1", ("ab", "cd"), "cd")
        value = records.encode_crash(crash)
        self.assertEqual(records.decode_crash(value), crash)
        for changed in ({"identity": 1}, {"proven": None}, {"fingerprints": [1]}):
            with self.subTest(changed), self.assertRaises(ValueError):
                records.decode_crash(
                    json.dumps({**crash._asdict(), **changed}).encode()
                )
        for value in (b"", b"[]", b"{}"):
            with self.subTest(value), self.assertRaises(ValueError):
                records.decode_crash(value)
