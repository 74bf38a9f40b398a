"""Tests of the structured log."""

import json
import os
import unittest

from whinwinch import events


class LogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.now = 0.0
        self.log = events.Log(self.writer, lambda: self.now, lambda: 7.0)
        self.addCleanup(os.close, self.writer)
        self.addCleanup(os.close, self.reader)

    def read(self):
        return [json.loads(line) for line in os.read(self.reader, 1 << 20).splitlines()]

    def test_one_object_a_line(self):
        self.log.write("start", events.Message('a "quoted"\nline'))
        expected = {"time": 7.0, "event": "start", "text": 'a "quoted"\nline'}
        self.assertEqual(self.read(), [expected])

    def test_lines_about_requests_are_limited_and_counted(self):
        """Logging thousands of refusals per second would cost more than the calls."""
        for _ in range(1000):
            self.log.sample("refused", events.Message(""))
        self.assertEqual(len(self.read()), events.BURST_LINES)
        self.now = 1.0
        self.log.sample("refused", events.Message(""))
        self.assertEqual(self.read()[0]["left_out"], 1000 - events.BURST_LINES)

    def test_each_group_of_requests_has_limits_of_its_own(self):
        """Guards against losing the few lines of one group among those of another."""
        for _ in range(1000):
            self.log.sample("answered", events.Message(""))
        self.read()
        self.log.sample("answered", events.Message("payout"), "non-idempotent")
        self.assertEqual([line["text"] for line in self.read()], ["payout"])

    def test_stalled_reader_does_not_block_writes(self):
        """The reader of the log stalls, and a blocking write would stop all calls.

        Instead, whole lines are dropped and counted.
        """
        for _ in range(3000):
            self.log.write("change", events.Message("x" * 100))
        self.assertGreater(self.log.lost, 0)
        text = b""
        while chunk := os.read(self.reader, 1 << 16):
            text += chunk
            self.log.write("change", events.Message("behind"))
            if b"behind" in text:
                break
        lines = text.rpartition(b"\n")[0].splitlines()
        self.assertTrue(all(json.loads(line) for line in lines))
