"""Tests of how the operators' commands print."""

import argparse
import contextlib
import io
import unittest

from whinwinch.operators import commands


class Unbuffered(io.StringIO):
    """Standard output without a buffer: each write goes out by itself."""

    def __init__(self):
        super().__init__()
        self.writes = []

    def write(self, text):
        if text:
            self.writes.append(text)
        return len(text)


class PrintTest(unittest.TestCase):
    def test_a_line_goes_out_whole(self):
        """An operator watches changes beside other commands in one terminal.

        A line whose end is written by itself has the watch's line inside it.
        """
        for output in ("text", "json"):
            stream = Unbuffered()
            with contextlib.redirect_stdout(stream):
                arguments = argparse.Namespace(output=output)
                commands._print(arguments, {"version": 2}, "royalties version 2")
            self.assertEqual(len(stream.writes), 1, stream.writes)
            self.assertTrue(stream.writes[0].endswith("\n"))
