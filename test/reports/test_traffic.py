"""Tests of the table of traffic between daemons."""

import unittest

from reports import traffic


class TrafficTest(unittest.TestCase):
    def test_most_traffic_between_zones_comes_first(self):
        loads = [
            {"sent": [["reply", "other-zone", 2, 1000], ["ping", "same-zone", 9, 36]]},
            {"sent": [["levels", "other-zone", 90, 4500]]},
            {"sent": [["reply", "other-zone", 1, 500]]},
            {"service": "written by an older release"},
        ]
        totals = traffic.add_up(loads)
        self.assertEqual(totals["reply", "other-zone"], traffic.Total(3, 1500))
        kinds = [line.split()[0] for line in traffic.render_totals(totals).splitlines()]
        self.assertEqual(kinds, ["kind", "levels", "reply", "ping"])
