"""Tests of the table of the load of each service in each second."""

import json
import unittest

from reports import services

LOAD = {
    "event": "load",
    "service": "deep",
    "slots": 4,
    "limit": 3,
    "busy": 2.5,
    "waiting": 1,
    "ended": 10,
    "job_seconds": 0.25,
    "levels": [["queue", 0.5, 1.0]],
    "refused": [["entry", "browse", "admission-level", 3]],
}


def build_line(node, time, **fields):
    return f"   1.5 {node} {json.dumps({**LOAD, 'time': time, **fields})}\n"


class ServicesTest(unittest.TestCase):
    def test_adds_up_the_daemons_of_a_service(self):
        lines = [
            build_line("node-1", 7.2),
            build_line("node-2", 7.9, ended=30, levels=[]),
            build_line("node-1", 8.2),
            "   1.5 node-1 no JSON\n",
            build_line("node-3", 7.5, event="placed"),
        ]
        first, second = services.add_up(services.read_loads(lines))
        self.assertEqual((first.second, first.daemons, first.slots), (7, 2, 8))
        self.assertEqual((first.busy, first.ended, first.slot_seconds), (5.0, 40, 10.0))
        self.assertEqual(first.levels, {"queue": 0.5})
        self.assertEqual(first.refused["entry", "browse", "admission-level"], 6)
        table = services.render_seconds((first, second))
        self.assertIn("250.0", table)
        self.assertEqual(len(table.splitlines()), 3)
