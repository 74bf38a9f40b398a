"""Traffic between daemons, summed over a log by kind of message and zone.

``python -m reports.traffic FILE`` sums the daemons' ``load`` lines. A line may have
a prefix, as log collectors add it.
"""

import argparse
import collections
import pathlib
import sys
from typing import NamedTuple

from whinwinch.daemons import traffic

from . import services


class Total(NamedTuple):
    """Traffic of all daemons of one kind of message to one place.

    Attributes:
        frames: Number of messages.
        size: Size of these messages in bytes.
    """

    frames: int = 0
    size: int = 0


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=pathlib.Path, help="log file of the daemons")
    options = parser.parse_args(arguments)
    with options.log.open(encoding="utf-8", errors="replace") as lines:
        totals = add_up(services.read_loads(lines))
    print(render_totals(totals))
    return 0


def add_up(loads):
    """Return a `Total` for each pair of message kind and place in load lines."""
    totals = collections.defaultdict(Total)
    for fields in loads:
        for kind, place, frames, size in fields.get("sent", ()):
            total = totals[kind, place]
            totals[kind, place] = Total(total.frames + frames, total.size + size)
    return dict(totals)


def render_totals(totals):
    """Return the table of totals: traffic to other zones first, then by size."""
    lines = [f"{'kind':<14}{'place':<12}{'messages':>12}{'MB':>10}{'bytes each':>12}"]
    order = sorted(
        totals.items(),
        key=lambda item: (item[0][1] != traffic.OTHER_ZONE, -item[1].size),
    )
    for (kind, place), total in order:
        each = total.size / max(1, total.frames)
        lines.append(
            f"{kind:<14}{place:<12}{total.frames:>12,}"
            f"{total.size / 1e6:>10.2f}{each:>12.0f}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
