"""Where the worth of one day went: by part, by moment, by kind of request, by reason.

``python -m reports.losses REPORT [--log FILE]`` reads the report file of a day
(``run --report``) and, where there is one, what the daemons logged on it
(``run --log all``). The log says why requests were refused and calls ended; its lines
are sampled under load, so their counts are shares, not sums.
"""

import argparse
import collections
import json
import pathlib
import sys
from typing import NamedTuple

from whinwinch import explanations

# Lines of a table that stand for hardly anything are left out.
SMALLEST_LOSS = 0.0005
MOST_REASONS = 20


class Loss(NamedTuple):
    """A part of the day's worth that was not reached.

    Attributes:
        part: Name of it.
        worth: Worth lost.
    """

    part: str
    worth: float


class Moment(NamedTuple):
    """What was lost in a span of the day, or of a kind of request.

    Attributes:
        name: Its first second, or the name of the kind.
        asked: Requests that were owed an answer.
        late: Share answered late.
        refused: Share refused in the end.
        failed: Share that failed.
        share: Its share of all requests that were not answered in time.
    """

    name: str
    asked: int
    late: float
    refused: float
    failed: float
    share: float


class Ground(NamedTuple):
    """Why a daemon refused requests, or what became of attempts that failed.

    Attributes:
        place: "entry", "gatekeeper", or "attempt".
        route: Name of the route, "" for attempts.
        importance: Its importance, "" for attempts.
        reason: Why.
        lines: Log lines that say so.
    """

    place: str
    route: str
    importance: str
    reason: str
    lines: int


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report", type=pathlib.Path, help="report file of a day")
    parser.add_argument("--log", type=pathlib.Path, help="what the daemons logged")
    options = parser.parse_args(arguments)
    report = json.loads(options.report.read_text(encoding="utf-8"))
    print(render_losses(report))
    if options.log:
        with options.log.open(encoding="utf-8", errors="replace") as lines:
            print(render_grounds(read_grounds(lines)))
    return 0


def list_losses(report):
    """Return the `Loss` tuples of a report, the largest first."""
    parts = [Loss(name, weight * (1.0 - got)) for name, weight, got in report["parts"]]
    prices = [Loss(f"price: {name}", worth) for name, _, worth in report["prices"]]
    losses = [loss for loss in (*parts, *prices) if loss.worth >= SMALLEST_LOSS]
    return sorted(losses, key=lambda loss: -loss.worth)


def list_moments(rows):
    """Return a `Moment` for each row of a report that lost anything."""
    total = sum(row["late"] + row["refused"] + row["failed"] for row in rows)
    moments = []
    for row in rows:
        owed = max(1, row["n"] - row["not_owed"])
        lost = row["late"] + row["refused"] + row["failed"]
        if not lost:
            continue
        shares = (row[name] / owed for name in ("late", "refused", "failed"))
        moments.append(Moment(row["name"], owed, *shares, lost / total))
    return moments


def read_grounds(lines):
    """Return the `Ground` tuples of log lines, the most frequent first."""
    counts = collections.Counter()
    for line in lines:
        _, brace, rest = line.partition("{")
        fields = explanations.read_fields(brace + rest)
        if fields is None:
            continue
        if fields["event"] == "refused":
            key = tuple(fields[name] for name in ("at", "call", "importance", "reason"))
            counts[key] += 1
        elif fields["event"] == "answered":
            counts["attempt", "", "", f"{fields['reason']}: {fields['ground']}"] += 1
    return [Ground(*key, count) for key, count in counts.most_common(MOST_REASONS)]


def render_losses(report):
    """Return the tables of a report as text."""
    lines = [f"worth {report['G']:.3f}", "", "lost by"]
    lines += [f"  {loss.worth:.4f}  {loss.part}" for loss in list_losses(report)]
    for title, rows in (("kind", "classes"), ("second", "windows")):
        lines += ["", f"{title:<24}  owed   late refused failed  share of the loss"]
        lines += [
            f"{moment.name:<24} {moment.asked:>5} {moment.late:>6.3f}"
            f" {moment.refused:>7.3f} {moment.failed:>6.3f} {moment.share:>6.3f}"
            for moment in list_moments(report[rows])
        ]
    return "\n".join(lines)


def render_grounds(grounds):
    """Return the table of what daemons logged as text."""
    lines = ["", "logged (sampled: 40 lines a second of each kind and daemon)"]
    lines += [
        f"{ground.lines:>7}  {ground.place:<10} {ground.route:<12}"
        f" {ground.importance:<9} {ground.reason}"
        for ground in grounds
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
