"""Tests of the output of the operators' commands."""

import argparse
import contextlib
import io
import unittest

from whinwinch.operators import commands


class Unbuffered(io.StringIO):
    """Unbuffered standard output that records each write."""

    def __init__(self):
        super().__init__()
        self.writes = []

    def write(self, text):
        if text:
            self.writes.append(text)
        return len(text)


class PrintTest(unittest.TestCase):
    def test_a_line_is_printed_in_one_write(self):
        """A watch and other commands print to the same terminal.

        If a line and its line end were two writes, a line of the watch could be
        printed between them.
        """
        for output in ("text", "json"):
            stream = Unbuffered()
            with contextlib.redirect_stdout(stream):
                arguments = argparse.Namespace(output=output)
                commands._print(arguments, {"version": 2}, "royalties version 2")
            self.assertEqual(len(stream.writes), 1, stream.writes)
            self.assertTrue(stream.writes[0].endswith("\n"))
