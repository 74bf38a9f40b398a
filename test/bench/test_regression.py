"""Tests of the comparison of two versions on days of deployments."""

import contextlib
import io
import json
import pathlib
import subprocess
import tempfile
import unittest
import unittest.mock

from bench import regression

DAY = regression.Day("sites/press", "trouble-1")
GOOD = regression.Result(0.5, 0.9, True)
# Program that writes a journal entry with the worth that the file `worth` contains.
PLAYER = """#!/usr/bin/env python3
import json, pathlib, sys
day = {"G": float(pathlib.Path("worth").read_text()), "served": 0.9, "gate": True}
day |= {"fault": None, "rules": {}, "short": []}
pathlib.Path("journal", f"{sys.argv[3]}.json").write_text(json.dumps({"days": [day]}))
"""


def build_entry(**fields):
    """Return the text of a journal entry with one day."""
    day = {"G": 0.5, "served": 0.9, "gate": True, "fault": None, "rules": {}}
    return json.dumps({"days": [{**day, "short": [], **fields}]})


class ResultTest(unittest.TestCase):
    def test_day_that_passes(self):
        self.assertEqual(regression.read_result(build_entry()), GOOD)

    def test_day_with_a_violated_rule(self):
        result = regression.read_result(build_entry(rules={"TWICE": 1}, gate=False))
        self.assertFalse(result.passed)
        self.assertEqual(result.problem, "TWICE")

    def test_aborted_day(self):
        result = regression.read_result(build_entry(fault="too slow"))
        self.assertFalse(result.passed)

    def test_run_that_ended_before_a_day(self):
        self.assertIsNone(regression.read_result(json.dumps({"days": []})))


class PairTest(unittest.TestCase):
    def fell(self, before, after):
        return regression.Pair(DAY, before, after).fell

    def test_noise_is_no_loss(self):
        self.assertFalse(self.fell(GOOD, GOOD._replace(worth=0.475)))

    def test_more_than_noise_is_a_loss(self):
        self.assertTrue(self.fell(GOOD, GOOD._replace(worth=0.465)))

    def test_day_that_no_longer_passes_is_worse(self):
        after = GOOD._replace(worth=0.6, passed=False, problem="TWICE")
        self.assertTrue(self.fell(GOOD, after))
        lines = regression.render_pairs([regression.Pair(DAY, GOOD, after)])
        self.assertIn("FELL", lines[1])
        self.assertIn("after: TWICE", lines[2])

    def test_day_without_result_counts_as_worse(self):
        self.assertTrue(self.fell(GOOD, None))


class CommandTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.player = self.path / "player"
        self.player.write_text(PLAYER)
        self.player.chmod(0o755)
        self.root = self.path / "root"
        (self.root / "journal").mkdir(parents=True)
        (self.root / "journal" / "kept").write_text("")
        self.run_git("init", "-q")
        self.commit("0.50")

    def run_git(self, *words):
        who = ("-c", "user.name=a", "-c", "user.email=a@b.example")
        subprocess.run(["git", *who, *words], cwd=self.root, check=True)

    def commit(self, worth):
        (self.root / "worth").write_text(worth)
        self.run_git("add", "-A")
        self.run_git("commit", "-qm", worth)

    def compare(self):
        words = ["HEAD~1", "--player", str(self.player), "--sites", str(self.path)]
        out = io.StringIO()
        with (
            unittest.mock.patch("pathlib.Path.cwd", return_value=self.root),
            unittest.mock.patch("pathlib.Path.home", return_value=self.path),
            contextlib.redirect_stdout(out),
        ):
            code = regression.main([*words, "--day", "press:trouble-1"])
        return code, out.getvalue()

    def test_worse_version_is_reported(self):
        self.commit("0.30")
        code, text = self.compare()
        self.assertEqual(code, 1)
        self.assertIn("0.500 -> 0.300", text)

    def test_equal_version_passes_and_the_journal_is_kept(self):
        self.commit("0.51")
        code, text = self.compare()
        self.assertEqual(code, 0)
        self.assertIn("0.500 -> 0.510", text)
        self.assertTrue((self.root / "journal" / "trouble-1.json").exists())
