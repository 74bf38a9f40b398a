"""Redirects the log lines of emulated daemons to a file."""

import os

from whinwinch import events


def install_log(path):
    """Write the log lines of all daemons of this process to a file, truncated first."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    events.install(events.Log(os.open(path, flags, 0o644)))
