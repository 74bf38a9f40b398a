"""Where the log lines of emulated daemons go."""

import os

from whinwinch import events


def install_log(path):
    """Write the log lines of all daemons of this process to a new file."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    events.install(events.Log(os.open(path, flags, 0o644)))
