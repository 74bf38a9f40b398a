"""Both versions of days of the users' deployments, side by side.

``python -m bench.regression --player PROGRAM --sites FOLDER BASE`` clones this
repository twice, plays each day on ``BASE`` and on the present commit at the same time,
so that both have the same machine, and tells which days fell. The users' program and
site files lie beside the repository and are named on the command line.
"""

import argparse
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

# A smaller change of what a day is worth is noise, as processor time is measured.
LARGEST_FALL = 0.03


class Day(NamedTuple):
    """A day of a deployment.

    Attributes:
        site: Path of its site file without its end.
        name: Name of the day.
        in_turn: Whether one version is played after the other, since both at once
            take too much memory.
    """

    site: str
    name: str
    in_turn: bool = False


# One day with trouble and one of high load of each deployment.
DAYS = (
    Day("large/cspp-mesh-large", "trouble-1", in_turn=True),
    Day("large/cspp-mesh-large", "scale-2", in_turn=True),
    Day("further/asante-pellet", "trouble-1"),
    Day("further/asante-pellet", "scale-2"),
    Day("further-grown/asante-pellet-grown", "trouble-1"),
    Day("grown/cspp-mesh-grown", "scale-2"),
    Day("grown/apa-reportes-grown", "scale-2"),
)


class Result(NamedTuple):
    """What one version made of a day.

    Attributes:
        worth: What the day was worth, after prices.
        served: Credit earned of the credit owed.
        passed: Whether no rule broke and the day's floors were reached.
        problem: Why not, or why it was given up, "" for nothing.
    """

    worth: float
    served: float
    passed: bool
    problem: str = ""


class Pair(NamedTuple):
    """A day on both versions; a result is None where the day was not played."""

    day: Day
    before: Result | None
    after: Result | None

    @property
    def fell(self):
        """Whether the day got worse by more than noise, or has no result."""
        if self.before is None or self.after is None:
            return True
        if self.before.passed and not self.after.passed:
            return True
        return self.before.worth - self.after.worth > LARGEST_FALL


def read_result(text):
    """Return the `Result` in a journal entry of one day, None where there is none."""
    days = json.loads(text).get("days") or []
    if not days:
        return None
    day = days[0]
    problems = [day["fault"] or "", *sorted(day["rules"]), *map(str, day["short"])]
    return Result(
        day["G"],
        day["served"],
        bool(day["gate"]) and not day["fault"],
        "; ".join(problem for problem in problems if problem),
    )


def render_pairs(pairs):
    """Return the lines of a table of `Pair` tuples."""
    lines = ["site and day                                   worth          served"]
    for pair in pairs:
        name = f"{pair.day.site} {pair.day.name}"
        verdict = " FELL" if pair.fell else ""
        if pair.before is None or pair.after is None:
            lines.append(f"{name:<44} not played{verdict}")
            continue
        before, after = pair.before, pair.after
        lines.append(
            f"{name:<44} {before.worth:.3f} -> {after.worth:.3f}"
            f" {before.served:.3f} -> {after.served:.3f}{verdict}"
        )
        lines += [
            f"  {when}: {result.problem}"
            for when, result in (("before", before), ("after", after))
            if result.problem
        ]
    return lines


def main(arguments=None):
    """Run the command; return 1 if a day fell."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base", help="commit to compare with")
    parser.add_argument(
        "--player", required=True, type=_find_path, help="the users' program"
    )
    parser.add_argument("--sites", required=True, type=_find_path, help="folder")
    parser.add_argument(
        "--day", action="append", metavar="SITE:DAY", help="this one; may be repeated"
    )
    parser.add_argument(
        "--in-turn",
        action="store_true",
        help="the days named by --day one version after the other",
    )
    options = parser.parse_args(arguments)
    days = DAYS
    if options.day:
        days = [
            Day(*text.rsplit(":", 1), in_turn=options.in_turn) for text in options.day
        ]
    root = pathlib.Path.cwd()
    # The users' program starts no daemons below the folder for temporary files.
    copies = pathlib.Path(
        tempfile.mkdtemp(prefix="regression.", dir=pathlib.Path.home())
    )
    pairs = []
    try:
        clones = _clone(root, copies, options.base)
        for day in days:
            pairs.append(_play(day, clones, options))
            print("\n".join(render_pairs(pairs[-1:])[1:]), flush=True)
        for clone in clones:
            _keep_journal(clone, root)
    finally:
        shutil.rmtree(copies)
    return 1 if any(pair.fell for pair in pairs) else 0


def _clone(root, copies, base):
    clones = copies / "before", copies / "after"
    for clone, commit in zip(clones, (base, "HEAD"), strict=True):
        subprocess.run(["git", "clone", "-q", root, clone], check=True)
        if commit != "HEAD":
            subprocess.run(["git", "-C", clone, "checkout", "-q", commit], check=True)
    return clones


def _play(day, clones, options):
    """Play a day in both clones; return the `Pair`."""
    site = options.sites / f"{day.site}.toml"
    command = [options.player, "run", site, day.name, "--jobs", "1"]
    why = ["--why", f"both versions at the same time, base {options.base}"]
    known = [_list_entries(clone) for clone in clones]
    running = []
    for clone in clones:
        running.append(
            subprocess.Popen([*command, *why], cwd=clone, stdout=subprocess.DEVNULL)
        )
        if day.in_turn:
            running[-1].wait()
    for process in running:
        process.wait()
    results = []
    for clone, before in zip(clones, known, strict=True):
        entries = sorted(_list_entries(clone) - before)
        results.append(read_result(entries[-1].read_text()) if entries else None)
    return Pair(day, *results)


def _find_path(text):
    return pathlib.Path(text).resolve()


def _list_entries(clone):
    return set((clone / "journal").glob("*.json"))


def _keep_journal(clone, root):
    """Copy what the journal of a clone has that this repository hasn't."""
    for folder, _, names in os.walk(clone / "journal"):
        target = root / pathlib.Path(folder).relative_to(clone)
        target.mkdir(parents=True, exist_ok=True)
        for name in names:
            if not (target / name).exists():
                shutil.copy2(pathlib.Path(folder) / name, target / name)


if __name__ == "__main__":
    sys.exit(main())
