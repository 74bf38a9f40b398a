"""Tests of trace checks with valid traces and traces that violate a guarantee."""

import io
import pathlib
import unittest

from whinwinch import tracerecords, traces
from whinwinch.tracerecords import Fault, Run

TRACES = pathlib.Path(__file__).parent / "traces"

# First violation in each broken trace: its line and a part of the message.
BROKEN = {
    "cut-off": ("line 25", "stops with attempts in flight"),
    "divided": ("line 24", "has different content for version"),
    "importance": ("line 6", "is shed although"),
    "malformed": ("line 3", "is not a valid record"),
    "not-the-holder": ("line 14", "without holding key"),
    "part-of-an-answer": ("line 27", "gets an incomplete answer"),
    "payout-twice": ("line 12", "without holding key"),
    "retry-bound": ("line 17", "causes retry 2, its budget is 1"),
    "reverted": ("line 24", "reverts from version 5 to 4"),
    "run-after-not-run": ("line 10", 'after it was reported as "not run"'),
    "swapped-answer": ("line 27", "the answer to another request"),
    "unclaimed-run": ("line 14", "before its claim was read"),
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
        for header in ("", "7", "{}", "\x00"):
            self.assertIn("not the header", self.check(header)[0])

    def test_a_trace_without_records_is_a_finding(self):
        self.assertIn("no record", self.check(tracerecords.encode_header())[0])

    def test_wrong_types_and_kinds_are_findings(self):
        lines = [
            '{"kind":"run","daemon":"g","attempt":7}',
            '{"kind":"walk"}',
            '{"kind":["run"]}',
            "[]",
            "[" * 100_000,
            "{",
        ]
        problems = self.check(tracerecords.encode_header(), *lines)
        self.assertEqual(len(problems), len(lines))

    def test_recorded_entries_decode_to_themselves(self):
        stream = io.StringIO()
        record = tracerecords.make_recorder(stream)
        entries = [Run("g", "a", "k"), Fault("", "the log is down")]
        for entry in entries:
            record(entry)
        header, *lines = stream.getvalue().splitlines()
        self.assertEqual(header, tracerecords.encode_header())
        self.assertEqual([tracerecords.decode_record(line) for line in lines], entries)


if __name__ == "__main__":
    unittest.main()
