"""Choice of the event loop."""

import os


def install_loop():
    """Make uvloop the implementation of all event loops, without io_uring."""
    # uvloop reads the variable when it is loaded, so it is imported afterwards.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.install()
