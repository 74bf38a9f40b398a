"""Processes of a small mesh on this machine: started, awaited, always stopped."""

import contextlib
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import urllib3

STOP_TIMEOUT = 12.0
POLL_INTERVAL = 0.05
# Below the ports that the system gives to outgoing connections: one of these would
# have the port of a process that is down for a moment.
FIRST_PORT, LAST_PORT = 20_000, 32_000


class Process(NamedTuple):
    """A process that was started.

    Attributes:
        name: Name of its log file.
        popen: Handle of the process.
    """

    name: str
    popen: subprocess.Popen


class NotReady(Exception):
    """A process ended, or wasn't ready in time."""


class Processes:
    """The processes started, in their order."""

    def __init__(self, directory):
        """Begin with no process.

        Args:
            directory: Where each process's output goes.
        """
        self.directory = pathlib.Path(directory)
        self.killed = []
        self._running = []
        self._started = set()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # A second signal while stopping would leave processes behind.
        signals = (signal.SIGINT, signal.SIGTERM)
        previous = [signal.signal(number, signal.SIG_IGN) for number in signals]
        try:
            self.stop(reversed(self._running))
        finally:
            for number, handler in zip(signals, previous, strict=True):
                signal.signal(number, handler)

    def start(self, name, module, arguments, env=None, keep=False):
        """Start ``python -m module`` and return its `Process`.

        With `keep` its output goes behind that of a former process of this
        name, as the trace of a daemon that was replaced needs. It gets a
        session of its own: Ctrl-C reaches only this process, which then stops
        the others in their order.
        """
        # What an earlier run left in the directory would be taken for this one's.
        mode = "ab" if keep and name in self._started else "wb"
        self._started.add(name)
        output = (self.directory / f"{name}.log").open(mode)
        with output:
            popen = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=env,
                start_new_session=True,
            )
        process = Process(name, popen)
        self._running.append(process)
        return process

    def finish(self, processes, timeout):
        """Wait until processes have ended by themselves.

        Args:
            processes: Iterable of `Process`.
            timeout: Seconds for all of them together.

        Raises:
            NotReady: When one failed or didn't end in time.
        """
        processes = list(processes)
        until = time.monotonic() + timeout
        for process in processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.popen.wait(max(0.0, until - time.monotonic()))
        bad = [each.name for each in processes if each.popen.returncode != 0]
        self.stop(processes)
        if bad:
            raise NotReady(f"{bad[0]} failed:\n{self.read_end(bad[0])}")

    def stop(self, processes):
        """Stop processes together by SIGTERM, and kill what stays.

        Returns:
            Names of those that had to be killed or ended with an error.
        """
        processes = list(processes)
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.popen.terminate()
        until = time.monotonic() + STOP_TIMEOUT
        bad = [process.name for process in processes if not _end(process, until)]
        self._running = [each for each in self._running if each not in processes]
        self.killed += bad
        return bad

    def forget(self, process):
        """Leave out a process that was ended on purpose."""
        self._running.remove(process)

    def check(self):
        """Raise if a process has ended.

        Raises:
            NotReady: With its name and the end of its output.
        """
        for process in self._running:
            if process.popen.poll() is not None:
                raise NotReady(f"{process.name} ended:\n{self.read_end(process.name)}")

    def read_end(self, name, lines=12):
        """Return the last lines of a process's output."""
        text = (self.directory / f"{name}.log").read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def wait_until(self, what, condition, timeout):
        """Poll a condition until it holds.

        Raises:
            NotReady: When it doesn't hold in time or a process has ended.
        """
        until = time.monotonic() + timeout
        while not condition():
            self.check()
            if time.monotonic() > until:
                raise NotReady(f"{what}: not within {timeout} s")
            time.sleep(POLL_INTERVAL)


def _end(process, until):
    try:
        left = max(0.0, until - time.monotonic())
        return process.popen.wait(left) in (0, -signal.SIGTERM)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        process.popen.wait()
        return False


@contextlib.contextmanager
def keep_output(directory=None):
    """Give a directory for processes' output, a passing one unless one is named."""
    if directory is None:
        with tempfile.TemporaryDirectory(prefix="whinwinch-") as passing:
            yield passing
        return
    pathlib.Path(directory).mkdir(parents=True, exist_ok=True)
    yield directory


def find_ports(count):
    """Return free TCP ports of the loopback address, all different."""
    draw = random.SystemRandom()
    ports = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = draw.randint(FIRST_PORT, LAST_PORT)
            taken = stack.enter_context(socket.socket())
            try:
                taken.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
    return ports


def build_probe(timeout=2.0):
    """Return a function from method and URL to the answer, None for none."""
    http = urllib3.PoolManager(num_pools=64, retries=False, timeout=timeout)

    def probe(url, method="GET", headers=None):
        try:
            return http.request(method, url, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None

    return probe
