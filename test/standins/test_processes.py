"""Tests of the output files of processes that are started for a mesh."""

import pathlib
import tempfile
import unittest

from standins import processes

WORDS = b"The Zen of Python"


class OutputTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)

    def count_output(self, running):
        running.finish([running.start("zen", "this", ())], 60.0)
        return (self.path / "zen.log").read_bytes().count(WORDS)

    def test_second_start_adds_to_the_output(self):
        with processes.Processes(self.path) as running:
            self.assertEqual(self.count_output(running), 1)
            self.assertEqual(self.count_output(running), 2)

    def test_output_of_an_earlier_run_is_dropped(self):
        """A directory is used again; what it holds is taken for this run's."""
        for _ in range(2):
            with processes.Processes(self.path) as running:
                self.assertEqual(self.count_output(running), 1)
