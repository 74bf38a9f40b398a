"""Choice of the event loop."""

import os


def install_loop():
    """Run all event loops by uvloop, which must not use io_uring."""
    # Read when the library is loaded, so the import stands behind it.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    uvloop.install()
