"""Starting, awaiting and reliably stopping the processes of a local mesh."""

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

STOP_TIMEOUT = 12.0  # seconds
POLL_INTERVAL = 0.05  # seconds
# Below the system's range for outgoing connections, one of which could otherwise
# occupy the port of a process that is restarting.
FIRST_PORT, LAST_PORT = 20_000, 32_000


class Process(NamedTuple):
    """A started process.

    Attributes:
        name: Name of its log file.
        popen: Handle of the process.
    """

    name: str
    popen: subprocess.Popen


class NotReady(Exception):
    """A process ended unexpectedly or wasn't ready in time."""


class Processes:
    """Started processes in their order, stopped when the context ends.

    Attributes:
        directory: Directory of the output files.
        killed: Names of the processes that had to be killed or ended with an
            error.
    """

    def __init__(self, directory):
        """Create a group without processes.

        Args:
            directory: Directory of the output files, one for each process.
        """
        self.directory = pathlib.Path(directory)
        self.killed = []
        self._running = []
        self._started_names = set()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # A second signal during the stop would leave processes running.
        signals = (signal.SIGINT, signal.SIGTERM)
        previous = [signal.signal(number, signal.SIG_IGN) for number in signals]
        try:
            self.stop(reversed(self._running))
        finally:
            for number, handler in zip(signals, previous, strict=True):
                signal.signal(number, handler)

    def start(self, name, module, arguments, env=None, keep=False):
        """Start ``python -m module`` and return its `Process`.

        With `keep` its output is appended to that of an earlier process of the
        same name, so that the trace of a replaced daemon isn't lost. Each process
        runs in a new session: Ctrl-C reaches only the parent process, which then
        stops the others in their order.
        """
        # The first start overwrites the output of an earlier run in the same
        # directory, so that it isn't mistaken for output of this run.
        mode = "ab" if keep and name in self._started_names else "wb"
        self._started_names.add(name)
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
        """Wait until processes have ended on their own.

        Args:
            processes: Iterable of `Process`.
            timeout: Seconds for all of them together.

        Raises:
            NotReady: When a process failed or didn't end in time.
        """
        processes = list(processes)
        until = time.monotonic() + timeout
        for process in processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.popen.wait(max(0.0, until - time.monotonic()))
        failed = [each.name for each in processes if each.popen.returncode != 0]
        self.stop(processes)
        if failed:
            raise NotReady(f"{failed[0]} failed:\n{self.read_end(failed[0])}")

    def stop(self, processes):
        """Stop processes concurrently by SIGTERM; kill those that don't end in time.

        Returns:
            Names of the processes that had to be killed or ended with an error.
        """
        processes = list(processes)
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.popen.terminate()
        until = time.monotonic() + STOP_TIMEOUT
        failed = [process.name for process in processes if not _end(process, until)]
        self._running = [each for each in self._running if each not in processes]
        self.killed += failed
        return failed

    def forget(self, process):
        """Stop tracking a process that was ended deliberately."""
        self._running.remove(process)

    def check(self):
        """Raise if a process has ended.

        Raises:
            NotReady: When one has; the message has its name and last output lines.
        """
        for process in self._running:
            if process.popen.poll() is not None:
                raise NotReady(
                    f"{process.name} ended unexpectedly:\n{self.read_end(process.name)}"
                )

    def read_end(self, name, lines=12):
        """Return the last lines of a process's output."""
        text = (self.directory / f"{name}.log").read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def wait_until(self, what, condition, timeout):
        """Poll a condition until it is true.

        Args:
            what: Description of the condition for the error message.
            condition: Function that returns whether the condition is true.
            timeout: Seconds.

        Raises:
            NotReady: When the timeout has passed or a process has ended.
        """
        until = time.monotonic() + timeout
        while not condition():
            self.check()
            if time.monotonic() > until:
                raise NotReady(f"{what}: timed out after {timeout} s")
            time.sleep(POLL_INTERVAL)


def _end(process, until):
    try:
        remaining = max(0.0, until - time.monotonic())
        return process.popen.wait(remaining) in (0, -signal.SIGTERM)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        process.popen.wait()
        return False


@contextlib.contextmanager
def keep_output(directory=None):
    """Yield a directory for output files, a temporary one if `directory` is None."""
    if directory is None:
        with tempfile.TemporaryDirectory(prefix="whinwinch-") as temporary:
            yield temporary
        return
    pathlib.Path(directory).mkdir(parents=True, exist_ok=True)
    yield directory


def find_ports(count):
    """Return distinct free TCP ports of the loopback address."""
    draw = random.SystemRandom()
    ports = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = draw.randint(FIRST_PORT, LAST_PORT)
            bound_socket = stack.enter_context(socket.socket())
            try:
                bound_socket.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
    return ports


def build_probe(timeout=2.0):
    """Return a function that sends an HTTP request.

    It returns the response, or None if there is none within `timeout` seconds.
    """
    http = urllib3.PoolManager(num_pools=64, retries=False, timeout=timeout)

    def probe(url, method="GET", headers=None):
        try:
            return http.request(method, url, headers=headers)
        except urllib3.exceptions.HTTPError:
            return None

    return probe
