"""Entry point of the daemon of one instance on the platform."""

import sys

from absl import logging

from .. import events, loops
from ..errors import InputErrors, UserError
from . import node

STANDARD_OUTPUT = 1


def main():
    """Run the daemon until the process is signalled to stop; return the exit code."""
    logging.set_verbosity(logging.WARNING)
    events.install(events.Log(STANDARD_OUTPUT))
    loops.install_loop()
    try:
        node.run()
    except InputErrors as errors:
        for finding in errors.findings:
            print(f"whinwinch: {finding.place}: {finding.problem}", file=sys.stderr)
        return 2
    except UserError as error:
        print(f"whinwinch: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
