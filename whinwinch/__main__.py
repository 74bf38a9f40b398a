"""Entry point of the command line: ``python -m whinwinch``."""

import sys

from .commands import main

sys.exit(main())
