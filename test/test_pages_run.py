"""Runs the commands of the getting-started page in one shell, as written there."""

import contextlib
import os
import pathlib
import queue
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import unittest
from typing import NamedTuple

from standins import processes

TOP = pathlib.Path(__file__).parents[1]
PAGE = TOP / "docs" / "guides" / "getting-started.md"
# Seconds; the limit only ends a test that hangs and does not check speed.
OUTPUT_TIMEOUT = 120.0
# Not run here: it sets up the environment that this test already runs in, which takes
# minutes, and starts the demo, which has separate tests.
SETUP_COMMAND = "make demo"
END_MARKER = "end of the step, status"
# Patterns of output that differs from run to run.
VARYING = (
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ",
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}",
    r"\b[0-9a-f]{32}\b",
    r"I\d{4} \d\d:\d\d:\d\d\.\d{6} \d+ decisions\.py:\d+",
)
# A line of `whinwinch watch`, which runs concurrently with the other commands.
WATCHED = re.compile(r"\d+ \S+Z \S+ (applied|deleted) by ")


class Step(NamedTuple):
    """One block of commands on the page.

    Attributes:
        commands: The commands as written.
        shown: Lines of output that the page shows.
    """

    commands: str
    shown: tuple[str, ...]


class Shell:
    """A shell and all processes started in it."""

    def __init__(self, directory):
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("WHINWINCH_")
        }
        self._popen = subprocess.Popen(
            ["bash"],
            cwd=directory,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors="replace",
            start_new_session=True,
        )
        self._lines = queue.SimpleQueue()
        self._reader = threading.Thread(target=self._read)
        self._reader.start()

    def run(self, commands):
        """Run commands and return their exit status and the lines of output."""
        # The extra `echo` puts the marker on a separate line even if the output does
        # not end with a newline.
        mark = f"STATUS=$?; echo; echo '{END_MARKER}' $STATUS"
        self._popen.stdin.write(f"{commands}\n{mark}\n")
        self._popen.stdin.flush()
        lines = []
        while not lines or not lines[-1].startswith(END_MARKER):
            lines.append(self.read_line())
        return int(lines.pop().removeprefix(END_MARKER)), lines

    def read_line(self):
        """Return the next line of output; fail if there is none within the limit."""
        try:
            line = self._lines.get(timeout=OUTPUT_TIMEOUT)
        except queue.Empty:
            raise AssertionError(f"no output within {OUTPUT_TIMEOUT} s") from None
        if line is None:
            raise AssertionError("the shell has ended")
        return line

    def close(self):
        """End the shell and all processes that a failed step left running."""
        for number in (signal.SIGTERM, signal.SIGKILL):
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._popen.pid, number)
            self._reader.join(processes.STOP_TIMEOUT)
        self._popen.wait()
        self._popen.stdin.close()
        self._popen.stdout.close()

    def _read(self):
        for line in self._popen.stdout:
            self._lines.put(line.rstrip())
        self._lines.put(None)


def read_steps(page):
    """Return the steps of a page in order."""
    steps = []
    for kind, text in re.findall(r"^```(\w+)\n(.*?)^```$", page, re.M | re.S):
        if kind == "sh":
            steps.append(Step(text, ()))
        elif kind == "text":
            steps[-1] = steps[-1]._replace(shown=tuple(text.splitlines()))
    return steps


def replace_ports(page):
    """Return the page with each port replaced by a free one."""
    ports = sorted(set(re.findall(r"127\.0\.0\.1:(\d+)", page)))
    free = dict(zip(ports, processes.find_ports(len(ports)), strict=True))
    return re.sub(rf"\b({'|'.join(ports)})\b", lambda found: str(free[found[0]]), page)


def compile_shown(line):
    """Return a pattern that matches a line of output shown on the page."""
    pattern = re.escape(line).replace(re.escape("..."), ".*")
    for form in VARYING:
        shown = re.search(form, line)
        if shown:
            pattern = pattern.replace(re.escape(shown[0]), form)
    return re.compile(pattern + "$")


def find_missing(shown, lines):
    """Return the lines shown on the page that are missing in the output.

    Lines of the watch are compared separately from those of the other commands,
    because the watch prints whenever it reads a change.
    """
    missing = []
    for watched in (False, True):
        left = iter([line for line in lines if bool(WATCHED.match(line)) == watched])
        for line in shown:
            if bool(WATCHED.match(line)) != watched or line == "...":
                continue
            pattern = compile_shown(line)
            if not any(pattern.match(each) for each in left):
                missing.append(line)
    return missing


@unittest.skipUnless(shutil.which("curl"), "the page's commands need curl")
class GettingStartedTest(unittest.TestCase):
    def test_commands_do_what_the_page_says(self):
        """A command of the page fails, or its output differs from the page."""
        steps = read_steps(replace_ports(PAGE.read_text(encoding="utf-8")))
        self.assertEqual(steps[0].commands.strip(), SETUP_COMMAND)
        self.assertGreater(len(steps), 10)
        with tempfile.TemporaryDirectory(prefix="whinwinch-") as directory:
            for name in ("whinwinch", "standins"):
                (pathlib.Path(directory) / name).symlink_to(TOP / name)
            (pathlib.Path(directory) / ".venv").symlink_to(sys.prefix)
            before = set(os.listdir(directory))
            shell = Shell(directory)
            self.addCleanup(shell.close)
            for step in steps[1:]:
                self.run_step(shell, step)
            self.assertEqual(set(os.listdir(directory)), before)

    def run_step(self, shell, step):
        status, lines = shell.run(step.commands)
        output = "\n".join([step.commands, *lines])
        failing = any(line.startswith("whinwinch: ") for line in step.shown)
        self.assertEqual(status, 2 if failing else 0, output)
        missing = find_missing(step.shown, lines)
        late = [line for line in missing if WATCHED.match(line)]
        self.assertEqual(missing, late, output)
        # The line of the watch may be printed after the end of the step.
        while find_missing(step.shown, lines):
            lines.append(shell.read_line())


if __name__ == "__main__":
    unittest.main()
