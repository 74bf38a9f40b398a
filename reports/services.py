"""Load of each service in each second of a log: slots, jobs, levels, refusals.

``python -m reports.services FILE`` aggregates the daemons' ``load`` lines. A line may
have a prefix, as log collectors add it.
"""

import argparse
import collections
import pathlib
import sys
from typing import NamedTuple

from whinwinch import explanations

# Only the most frequent kinds of refusals of a second are listed.
MAX_LISTED_REFUSALS = 3


class Second(NamedTuple):
    """Sum of the load lines of one service in one second.

    Attributes:
        second: Logged time, in whole seconds.
        service: Name of the service.
        daemons: Number of daemons that wrote a line.
        slots: Slots that the backend servers announced.
        limit: Sum of the limits on concurrent requests.
        busy: Mean number of slots in use.
        waiting: Number of requests that waited for a slot.
        ended: Number of requests that left the backend servers.
        slot_seconds: Slot seconds that these requests used.
        levels: Mean reported admission level by route, over the same daemons.
        refused: Number of refusals by place, route and reason.
    """

    second: int
    service: str
    daemons: int
    slots: int
    limit: int
    busy: float
    waiting: int
    ended: int
    slot_seconds: float
    levels: dict
    refused: collections.Counter


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", type=pathlib.Path, help="log file of the daemons")
    parser.add_argument("--service", default="", help="show only this service")
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
    """Return the `Second` tuples of load lines, ordered by time and service."""
    groups = collections.defaultdict(list)
    for fields in loads:
        groups[int(fields["time"]), fields["service"]].append(fields)
    return [_add_group(*key, group) for key, group in sorted(groups.items())]


def _add_group(second, service, group):
    levels, refused = collections.Counter(), collections.Counter()
    for fields in group:
        for route, own_level, below in fields["levels"]:
            levels[route] += max(own_level, below) / len(group)
        for at, route, reason, count in fields["refused"]:
            refused[at, route, reason] += count
    sums = (
        sum(fields[name] for fields in group)
        for name in ("slots", "limit", "busy", "waiting", "ended")
    )
    slot_seconds = sum(fields["ended"] * fields["job_seconds"] for fields in group)
    return Second(
        second, service, len(group), *sums, slot_seconds, dict(levels), refused
    )


def render_seconds(seconds):
    """Return the table of `Second` tuples, counting seconds from 0."""
    lines = ["second service     daemons slots limit   busy waiting ended job ms"]
    first = None
    for each in seconds:
        first = each.second if first is None else first
        job = 1000.0 * each.slot_seconds / each.ended if each.ended else 0.0
        levels = " ".join(f"{r}={level:.2f}" for r, level in each.levels.items())
        refused = " ".join(
            f"{at}/{route}/{reason}={count}"
            for (at, route, reason), count in each.refused.most_common(
                MAX_LISTED_REFUSALS
            )
        )
        lines.append(
            f"{each.second - first:>6} {each.service:<12} {each.daemons:>6}"
            f" {each.slots:>5} {each.limit:>5} {each.busy:>6.1f} {each.waiting:>7}"
            f" {each.ended:>5} {job:>6.1f}  {levels}  {refused}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
