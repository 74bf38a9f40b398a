"""Tests of the SVG charts and of the reports drawn with them."""

import unittest
from xml.etree import ElementTree

from emulator import caller, load, samplemesh
from reports import charts, loads, scores

SVG = "{http://www.w3.org/2000/svg}"


def read(text):
    return ElementTree.fromstring(text)


def find_texts(root):
    return [element.text for element in root.iter(SVG + "text")]


class ChartTest(unittest.TestCase):
    def test_stacked_areas_reach_the_sum(self):
        series = (
            charts.Series("a", "red", (1.0, 2.0)),
            charts.Series("b", "blue", (3.0, 0.0)),
        )
        chart = charts.Chart("t", series, (charts.Mark(1, "fault"),), is_stacked=True)
        root = read(charts.draw_charts([chart]))
        upper, lower = root.iter(SVG + "polygon")
        self.assertEqual((upper.get("fill"), lower.get("fill")), ("blue", "red"))
        top = float(upper.get("points").split()[1].split(",")[1])
        self.assertEqual(top, charts.TOP)
        self.assertIn("fault", find_texts(root))
        self.assertIn("4", find_texts(root))

    def test_nothing_to_draw(self):
        read(charts.draw_charts([charts.Chart("t", (charts.Series("a", "red", ()),))]))


class LoadTest(unittest.TestCase):
    def test_charts_of_each_flow_by_outcome(self):
        flow = samplemesh.FLOWS[0]
        caller_results = (
            caller.CallerResult(("1",), (200,), 0.1, True, 0.0),
            caller.CallerResult(("2",), (200,), 9.0, True, 0.0),
            caller.CallerResult(("3",), (503,), 0.1, False, 1.0),
            caller.CallerResult(("4",), (500,), 0.1, False, 0.0),
        )
        results = [load.Result(flow.name, 0, 0.1, each) for each in caller_results]
        names = [
            load.name_outcome(each, flow.kind.objective) for each in caller_results
        ]
        self.assertEqual(names, list(loads.COLORS))
        phases = (load.Phase(1.0), load.Phase(1.0, 4.0))
        root = read(loads.draw_load(results, (flow,), phases))
        texts = find_texts(root)
        self.assertIn("4 x", texts)
        self.assertTrue(any(text.startswith(flow.name) for text in texts))


class ScoresTest(unittest.TestCase):
    def test_full_scores_only(self):
        days = [{"name": "quiet-1", "G": 0.9}]
        entry = {
            "cmd": "score",
            "site": "s",
            "at": ["2026-12-03T02:23:21Z", ""],
            "score": 0.8,
            "days": days,
        }
        others = [{"cmd": "hunt", "days": []}, entry | {"score": None}]
        found = scores.read_scores([*others, entry])
        self.assertEqual(
            found, [scores.Score("s", entry["at"][0], 0.8, (("quiet-1", 0.9),))]
        )
        texts = find_texts(read(scores.draw_scores(found)))
        self.assertIn("quiet-1", texts)
        self.assertIn("12-03T02:23", texts)


if __name__ == "__main__":
    unittest.main()
