"""Lost worth of one day: by part, by time, by kind of request and by reason.

``python -m reports.losses REPORT [--log FILE]`` reads the report file of a day
(``run --report``) and, optionally, the daemons' log of that day (``run --log all``).
The log contains the reasons of refusals and of the ends of calls. Its lines are sampled
under load, so their counts are shares and not totals.
"""

import argparse
import collections
import json
import pathlib
import sys
from typing import NamedTuple

from whinwinch import explanations

# Smaller losses are omitted from the table.
MIN_LOSS = 0.0005
MAX_REASONS = 20


class Loss(NamedTuple):
    """A loss in one part of the day's worth.

    Attributes:
        part: Name of the part, or of the price that was paid.
        worth: Lost worth.
    """

    part: str
    worth: float


class LossRow(NamedTuple):
    """Losses in a time window of the day, or of a kind of request.

    Attributes:
        name: First second of the window, or name of the kind.
        owed_requests: Number of requests that were owed an answer.
        late: Share of them answered late.
        refused: Share of them refused in the end.
        failed: Share of them that failed.
        share: Share of this row in all requests that were not answered in time.
    """

    name: str
    owed_requests: int
    late: float
    refused: float
    failed: float
    share: float


class Ground(NamedTuple):
    """A logged reason of refusals or of failed attempts, with its frequency.

    Attributes:
        place: "entry" or "gatekeeper" for refusals, "attempt" for failed attempts.
        route: Name of the route, "" for attempts.
        importance: Importance of the requests, "" for attempts.
        reason: Reason, as logged.
        lines: Number of log lines with this reason.
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
    parser.add_argument("--log", type=pathlib.Path, help="log file of the daemons")
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
    losses = [loss for loss in (*parts, *prices) if loss.worth >= MIN_LOSS]
    return sorted(losses, key=lambda loss: -loss.worth)


def list_loss_rows(rows):
    """Return a `LossRow` for each row of a report with losses."""
    total = sum(row["late"] + row["refused"] + row["failed"] for row in rows)
    loss_rows = []
    for row in rows:
        owed = max(1, row["n"] - row["not_owed"])
        lost = row["late"] + row["refused"] + row["failed"]
        if not lost:
            continue
        shares = (row[name] / owed for name in ("late", "refused", "failed"))
        loss_rows.append(LossRow(row["name"], owed, *shares, lost / total))
    return loss_rows


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
    return [Ground(*key, count) for key, count in counts.most_common(MAX_REASONS)]


def render_losses(report):
    """Return the tables of a report as text."""
    lines = [f"worth {report['G']:.3f}", "", "lost by"]
    lines += [f"  {loss.worth:.4f}  {loss.part}" for loss in list_losses(report)]
    for title, rows in (("kind", "classes"), ("second", "windows")):
        lines += ["", f"{title:<24}  owed   late refused failed  share of the loss"]
        lines += [
            f"{loss_row.name:<24} {loss_row.owed_requests:>5} {loss_row.late:>6.3f}"
            f" {loss_row.refused:>7.3f} {loss_row.failed:>6.3f} {loss_row.share:>6.3f}"
            for loss_row in list_loss_rows(report[rows])
        ]
    return "\n".join(lines)


def render_grounds(grounds):
    """Return the table of logged reasons as text."""
    lines = ["", "logged (sampled: 40 lines per second of each kind and daemon)"]
    lines += [
        f"{ground.lines:>7}  {ground.place:<10} {ground.route:<12}"
        f" {ground.importance:<9} {ground.reason}"
        for ground in grounds
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
