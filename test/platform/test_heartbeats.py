"""Tests of the parser of heartbeats."""

import json
import unittest

from whinwinch import errors
from whinwinch.announcements import State
from whinwinch.platform import heartbeats

BEAT = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 81,
    "state": "draining",
    "warmup_left": "1500ms",
    "seq": 4,
    "born": 1700,
}


def parse(**changed):
    beat = {**BEAT, **changed}
    beat = {name: value for name, value in beat.items() if value is not ...}
    return heartbeats.parse_heartbeat("i-1", json.dumps(beat).encode())


class HeartbeatTest(unittest.TestCase):
    def test_read(self):
        read = parse()
        self.assertEqual(
            (read.identity, read.start_time_ms, read.sequence), ("i-1", 1700, 4)
        )
        self.assertEqual((read.state, read.slots), (State.LEAVING, 81))
        self.assertEqual(read.warmup_left, 1.5)

    def test_heartbeat_of_another_writer(self):
        """Another program sends heartbeats with missing or invalid fields.

        They must not announce a backend server.
        """
        for changed in (
            {"slots": "81"},
            {"slots": True},
            {"state": "asleep"},
            {"seq": ...},
            {"service": 3},
            {"born": "now"},
            {"warmup_left": "soon"},
        ):
            with self.subTest(changed), self.assertRaises(errors.InputErrors):
                parse(**changed)
        for data in (b"", b"[]", b"\xff\x00"):
            with self.subTest(data), self.assertRaises(ValueError):
                heartbeats.parse_heartbeat("i-1", data)

    def test_all_findings_at_once(self):
        with self.assertRaises(errors.InputErrors) as caught:
            parse(slots=-1, state=None)
        places = {finding.place for finding in caught.exception.findings}
        self.assertEqual(places, {"slots", "state"})

    def test_start_time_in_a_leave_request(self):
        self.assertEqual(heartbeats.parse_start(b""), 0)
        self.assertEqual(heartbeats.parse_start(b'{"born": 5}'), 5)
