"""Runs the commands of the page to start from, as it gives them, in one shell."""

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
# Nothing here is a verdict on speed: a limit only ends a test that hangs.
GENEROUS = 120.0
# Sets up the environment that this test runs in, and takes minutes; the demo
# that it starts has tests of its own.
SET_UP = "make demo"
END = "end of the step, status"
# What differs from run to run, as the page shows it, and its general form.
VARYING = (
    r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ",
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}",
    r"\b[0-9a-f]{32}\b",
    r"I\d{4} \d\d:\d\d:\d\d\.\d{6} \d+ decisions\.py:\d+",
)
# A line of `whinwinch watch`, which goes on beside the other commands.
WATCHED = re.compile(r"\d+ \S+Z \S+ (applied|deleted) by ")


class Step(NamedTuple):
    """One block of commands on the page.

    Attributes:
        commands: The commands as written.
        shown: Lines that the page shows as their output.
    """

    commands: str
    shown: tuple[str, ...]


class Shell:
    """A shell with everything that is started in it."""

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
        """Run commands; return their exit status and the lines of output."""
        # The mark stands on a line of its own, also after output without an end.
        mark = f"STATUS=$?; echo; echo '{END}' $STATUS"
        self._popen.stdin.write(f"{commands}\n{mark}\n")
        self._popen.stdin.flush()
        lines = []
        while not lines or not lines[-1].startswith(END):
            lines.append(self.read_line())
        return int(lines.pop().removeprefix(END)), lines

    def read_line(self):
        """Return the next line of output; fail when none comes."""
        try:
            line = self._lines.get(timeout=GENEROUS)
        except queue.Empty:
            raise AssertionError(f"no output within {GENEROUS} s") from None
        if line is None:
            raise AssertionError("the shell has ended")
        return line

    def close(self):
        """End the shell and whatever a failed step has left running."""
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
    """Return the steps of a page, in their order."""
    steps = []
    for kind, text in re.findall(r"^```(\w+)\n(.*?)^```$", page, re.M | re.S):
        if kind == "sh":
            steps.append(Step(text, ()))
        elif kind == "text":
            steps[-1] = steps[-1]._replace(shown=tuple(text.splitlines()))
    return steps


def replace_ports(page):
    """Return the page with a free port for each port that it names."""
    ports = sorted(set(re.findall(r"127\.0\.0\.1:(\d+)", page)))
    free = dict(zip(ports, processes.find_ports(len(ports)), strict=True))
    return re.sub(rf"\b({'|'.join(ports)})\b", lambda found: str(free[found[0]]), page)


def compile_shown(line):
    """Return a pattern for a line that the page shows as output."""
    pattern = re.escape(line).replace(re.escape("..."), ".*")
    for form in VARYING:
        shown = re.search(form, line)
        if shown:
            pattern = pattern.replace(re.escape(shown[0]), form)
    return re.compile(pattern + "$")


def find_missing(shown, lines):
    """Return the lines shown that the output lacks, in the page's order.

    The watch writes whenever it reads a change, so that its lines are compared
    apart from those of the other commands.
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
        """A command of the page fails for a newcomer, or shows something else."""
        steps = read_steps(replace_ports(PAGE.read_text(encoding="utf-8")))
        self.assertEqual(steps[0].commands.strip(), SET_UP)
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
        # The watch's line may come after the end of the step.
        while find_missing(step.shown, lines):
            lines.append(shell.read_line())


if __name__ == "__main__":
    unittest.main()
