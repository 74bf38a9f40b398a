"""What each service did in each second of a log: slots, jobs, levels, refusals.

``python -m reports.services FILE`` adds up the daemons' ``load`` lines. A line may have
text before it, as a collector puts it there.
"""

import argparse
import collections
import pathlib
import sys
from typing import NamedTuple

from whinwinch import explanations

# Refusals of a second that are named; the rest are of smaller kinds.
MOST_REFUSALS = 3


class Second(NamedTuple):
    """What the daemons of one service wrote in one second.

    Attributes:
        second: Second of the time of day.
        service: Its name.
        daemons: Daemons that wrote a line.
        slots: Slots announced.
        limit: Limits on requests in them, added up.
        busy: Slots in use on average.
        waiting: Requests that waited for one.
        ended: Requests that left the backend servers.
        spent: Slot seconds that they took.
        levels: Mean level told by route, over all daemons that wrote.
        refused: Counts by place, route and reason.
    """

    second: int
    service: str
    daemons: int
    slots: int
    limit: int
    busy: float
    waiting: int
    ended: int
    spent: float
    levels: dict
    refused: collections.Counter


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=pathlib.Path, help="what the daemons logged")
    parser.add_argument("--service", default="", help="this one only")
    options = parser.parse_args(arguments)
    with options.log.open(encoding="utf-8", errors="replace") as lines:
        seconds = add_up(read_loads(lines))
    print(render_seconds(s for s in seconds if options.service in ("", s.service)))
    return 0


def read_loads(lines):
    """Yield the fields of the ``load`` lines among log lines."""
    for line in lines:
        if '"event": "load"' not in line:
            continue
        _, brace, rest = line.partition("{")
        fields = explanations.read_fields(brace + rest)
        if fields is not None:
            yield fields


def add_up(loads):
    """Return the `Second` tuples of load lines, in order of time and service."""
    groups = collections.defaultdict(list)
    for fields in loads:
        groups[int(fields["time"]), fields["service"]].append(fields)
    return [_add_group(*key, group) for key, group in sorted(groups.items())]


def _add_group(second, service, group):
    levels, refused = collections.Counter(), collections.Counter()
    for fields in group:
        for route, own, below in fields["levels"]:
            levels[route] += max(own, below) / len(group)
        for at, route, reason, count in fields["refused"]:
            refused[at, route, reason] += count
    sums = (
        sum(fields[name] for fields in group)
        for name in ("slots", "limit", "busy", "waiting", "ended")
    )
    spent = sum(fields["ended"] * fields["job_seconds"] for fields in group)
    return Second(second, service, len(group), *sums, spent, dict(levels), refused)


def render_seconds(seconds):
    """Return `Second` tuples as a table, the first second as 0."""
    lines = ["second service     daemons slots limit   busy waiting ended job ms"]
    first = None
    for each in seconds:
        first = each.second if first is None else first
        job = 1000.0 * each.spent / each.ended if each.ended else 0.0
        levels = " ".join(f"{r}={level:.2f}" for r, level in each.levels.items())
        refused = " ".join(
            f"{at}/{route}/{reason}={count}"
            for (at, route, reason), count in each.refused.most_common(MOST_REFUSALS)
        )
        lines.append(
            f"{each.second - first:>6} {each.service:<12} {each.daemons:>6}"
            f" {each.slots:>5} {each.limit:>5} {each.busy:>6.1f} {each.waiting:>7}"
            f" {each.ended:>5} {job:>6.1f}  {levels}  {refused}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
