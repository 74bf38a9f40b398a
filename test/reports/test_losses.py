"""Tests of the tables of a day's lost worth."""

import json
import unittest

from reports import losses

ROWS = [
    {"name": "a", "n": 110, "late": 5, "refused": 10, "failed": 0, "not_owed": 10},
    {"name": "b", "n": 50, "late": 0, "refused": 0, "failed": 5, "not_owed": 0},
    {"name": "c", "n": 50, "late": 0, "refused": 0, "failed": 0, "not_owed": 0},
]
REPORT = {
    "G": 0.7,
    "parts": [["whole day", 0.5, 0.9], ["worst class", 0.5, 0.6]],
    "prices": [["cloud calls", 900.0, 0.02], ["probes", 0.0, 0.0]],
    "classes": ROWS,
    "windows": ROWS,
}


def build_line(**fields):
    return f"  1.5 sidecar-1 {json.dumps({'time': 1.0, **fields})}\n"


class LossesTest(unittest.TestCase):
    def test_largest_loss_first(self):
        found = losses.list_losses(REPORT)
        self.assertEqual(
            [loss.part for loss in found],
            ["worst class", "whole day", "price: cloud calls"],
        )
        self.assertAlmostEqual(found[0].worth, 0.2)

    def test_loss_rows_count_owed_requests(self):
        first, second = losses.list_loss_rows(ROWS)
        self.assertEqual(
            (first.owed_requests, first.refused, first.share), (100, 0.1, 0.75)
        )
        self.assertEqual((second.name, second.failed), ("b", 0.1))

    def test_reasons_of_refusals_and_attempts(self):
        refused = {
            "event": "refused",
            "at": "entry",
            "call": "pay",
            "importance": "LOW",
            "reason": "admission-level",
        }
        answered = {"event": "answered", "reason": "deadline", "ground": "deadline"}
        lines = [build_line(**refused)] * 2 + [build_line(**answered), "other\n", "{"]
        found = losses.read_grounds(lines)
        self.assertEqual(
            found[0], losses.Ground("entry", "pay", "LOW", "admission-level", 2)
        )
        self.assertEqual(found[1].reason, "deadline: deadline")

    def test_tables_list_all_losses(self):
        text = losses.render_losses(REPORT)
        for word in ("worst class", "price: cloud calls", "second"):
            self.assertIn(word, text)


if __name__ == "__main__":
    unittest.main()
