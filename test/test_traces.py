"""Replay of the recorded traces, good ones and deliberately broken ones."""

import io
import pathlib
import unittest

from whinwinch import tracerecords, traces
from whinwinch.tracerecords import Fault, Run

TRACES = pathlib.Path(__file__).parent / "traces"

# For each broken trace, the first record that breaks a promise, and which.
BROKEN = {
    "cut-off": ("line 25", "stops with attempts in flight"),
    "divided": ("line 24", "holds a different version"),
    "importance": ("line 6", "is shed though"),
    "malformed": ("line 3", "is not a record"),
    "not-the-holder": ("line 14", "without holding key"),
    "part-of-an-answer": ("line 27", "a part of its answer"),
    "payout-twice": ("line 12", "without holding key"),
    "retry-bound": ("line 17", "causes retry 2, its bound is 1"),
    "reverted": ("line 24", "goes back from version 5 to 4"),
    "swapped-answer": ("line 27", "the answer to another"),
    "unclaimed-run": ("line 14", "before its claim was read"),
    "word": ("line 10", 'after "not run" was said'),
    "work-while-leaving": ("line 12", "is leaving and admits"),
}


class ReplayTest(unittest.TestCase):
    def test_good_traces_pass(self):
        paths = sorted(TRACES.glob("good-*.jsonl"))
        self.assertGreaterEqual(len(paths), 3)
        for path in paths:
            with self.subTest(path=path.name):
                replay = traces.replay_file(path)
                self.assertEqual(replay.code, traces.PASSED, replay.text)

    def test_broken_traces_are_caught_at_their_first_record(self):
        paths = {path.stem: path for path in TRACES.glob("broken-*.jsonl")}
        self.assertEqual(set(paths), {f"broken-{name}" for name in BROKEN})
        for name, (place, problem) in BROKEN.items():
            with self.subTest(name=name):
                replay = traces.replay_file(paths[f"broken-{name}"])
                first = replay.text.splitlines()[0]
                self.assertEqual(replay.code, traces.BROKEN)
                self.assertIn(f": {place}: ", first)
                self.assertIn(problem, first)

    def test_a_good_trace_without_its_claims_fails(self):
        path = TRACES / "good-outage.jsonl"
        lines = path.read_text().splitlines()
        kept = [line for line in lines if '"claim"' not in line]
        self.assertTrue(traces.check_trace(kept))


class FormatTest(unittest.TestCase):
    def check(self, *lines):
        return [finding.problem for finding in traces.check_trace(lines)]

    def test_a_trace_of_another_version_is_refused(self):
        self.assertIn(
            "is of version 2", self.check('{"format":"whinwinch-trace","version":2}')[0]
        )
        for head in ("", "7", "{}", "\x00"):
            self.assertIn("not the head", self.check(head)[0])

    def test_an_empty_trace_proves_nothing(self):
        self.assertIn("no record", self.check(tracerecords.encode_head())[0])

    def test_wrong_types_and_kinds_are_findings(self):
        lines = [
            '{"kind":"run","daemon":"g","attempt":7}',
            '{"kind":"walk"}',
            '{"kind":["run"]}',
            "[]",
            "[" * 100_000,
            "{",
        ]
        problems = self.check(tracerecords.encode_head(), *lines)
        self.assertEqual(len(problems), len(lines))

    def test_a_recorder_writes_what_is_read_back(self):
        stream = io.StringIO()
        record = tracerecords.make_recorder(stream)
        entries = [Run("g", "a", "k"), Fault("", "the log is down")]
        for entry in entries:
            record(entry)
        head, *lines = stream.getvalue().splitlines()
        self.assertEqual(head, tracerecords.encode_head())
        self.assertEqual([tracerecords.decode_record(line) for line in lines], entries)


if __name__ == "__main__":
    unittest.main()
