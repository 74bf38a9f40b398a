"""Compares two versions of this repository on days of the users' deployments.

``python -m bench.regression --player PROGRAM --sites FOLDER BASE`` clones this
repository twice and plays each day on ``BASE`` and on the present commit. Both run at
the same time, so that the load of the machine affects them alike. The output marks
the days on which the present commit is worse. The users' program and site files are
not part of the repository; the command line names them.
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

# Smaller losses are noise: the worth of a day depends on measured processor time.
MAX_WORTH_LOSS = 0.03


class Day(NamedTuple):
    """Day of a deployment.

    Attributes:
        site: Path of the site file, relative to the folder and without extension.
        name: Name of the day.
        in_turn: Whether to play the versions sequentially, since both at once need
            too much memory.
    """

    site: str
    name: str
    in_turn: bool = False


# Days with faults ("trouble") and days of high load ("scale").
DAYS = (
    Day("large/cspp-mesh-large", "trouble-1", in_turn=True),
    Day("large/cspp-mesh-large", "scale-2", in_turn=True),
    Day("further/asante-pellet", "trouble-1"),
    Day("further/asante-pellet", "scale-2"),
    Day("further-grown/asante-pellet-grown", "trouble-1"),
    Day("grown/cspp-mesh-grown", "scale-2"),
    Day("grown/apa-reportes-grown", "scale-2"),
    Day("shifted/cspp-mesh-now-grown", "trouble-3"),
    Day("shifted/cspp-mesh-now-grown", "scale-2"),
)


class Result(NamedTuple):
    """Result of one version on a day.

    Attributes:
        worth: Worth of the day, after prices.
        served: Share of the possible credit that was earned.
        passed: Whether no rule was violated and the day's minimums were reached.
        problem: Why the day didn't pass or was aborted, "" if there is no problem.
    """

    worth: float
    served: float
    passed: bool
    problem: str = ""


class Pair(NamedTuple):
    """Results of a day on both versions, None for a version without a result."""

    day: Day
    before: Result | None
    after: Result | None

    @property
    def fell(self):
        """Whether the day became worse by more than noise, or has no result."""
        if self.before is None or self.after is None:
            return True
        if self.before.passed and not self.after.passed:
            return True
        return self.before.worth - self.after.worth > MAX_WORTH_LOSS


def read_result(text):
    """Return the `Result` in the text of a journal entry, or None without a day."""
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
    """Return the lines of a table that compares the `Pair` tuples."""
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
    """Run the command; return 1 if a day became worse, else 0."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("base", help="commit to compare the present one with")
    parser.add_argument(
        "--player", required=True, type=_find_path, help="path of the users' program"
    )
    parser.add_argument(
        "--sites", required=True, type=_find_path, help="folder of the site files"
    )
    parser.add_argument(
        "--day",
        action="append",
        metavar="SITE:DAY",
        help="day to play; may be repeated",
    )
    parser.add_argument(
        "--in-turn",
        action="store_true",
        help="play the versions of the days named by --day sequentially",
    )
    options = parser.parse_args(arguments)
    days = DAYS
    if options.day:
        days = [
            Day(*text.rsplit(":", 1), in_turn=options.in_turn) for text in options.day
        ]
    root = pathlib.Path.cwd()
    # The users' program can't start daemons from the folder for temporary files.
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
    """Play a day on both versions and return the `Pair`."""
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
    """Copy the journal files of a clone that are missing in this repository."""
    for folder, _, names in os.walk(clone / "journal"):
        target = root / pathlib.Path(folder).relative_to(clone)
        target.mkdir(parents=True, exist_ok=True)
        for name in names:
            if not (target / name).exists():
                shutil.copy2(pathlib.Path(folder) / name, target / name)


if __name__ == "__main__":
    sys.exit(main())
