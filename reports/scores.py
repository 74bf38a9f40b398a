"""Charts of the scores of the users' sites, from the entries under ``journal/``.

``python -m reports.scores FILE.svg``: draws a line for each site, and one for each
of its standard days.
"""

import argparse
import json
import pathlib
import sys
from typing import NamedTuple

from . import charts

JOURNAL = pathlib.Path("journal")
COLORS = ("steelblue", "darkorange", "seagreen", "firebrick", "purple", "grey", "black")


class Score(NamedTuple):
    """A full score of one site.

    Attributes:
        site: Name of the site.
        when: Date and time as ISO 8601 text.
        score: Score over all standard days.
        days: Pairs of the name of a standard day and its worth.
    """

    site: str
    when: str
    score: float
    days: tuple[tuple[str, float], ...]


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("file", type=pathlib.Path, help="SVG to write")
    options = parser.parse_args(arguments)
    entries = [json.loads(path.read_text()) for path in sorted(JOURNAL.glob("*.json"))]
    options.file.write_text(draw_scores(read_scores(entries)), encoding="utf-8")
    return 0


def read_scores(entries):
    """Return the `Score` tuples of the entries with a full score, in their order."""
    return [
        Score(
            entry["site"],
            entry["at"][0],
            entry["score"],
            tuple((day["name"], day["G"]) for day in entry["days"]),
        )
        for entry in entries
        if entry.get("cmd") == "score" and entry.get("score") is not None
    ]


def draw_scores(scores):
    """Return the text of an SVG file with two charts for each site."""
    drawn = []
    for site in sorted({score.site for score in scores}):
        site_scores = [score for score in scores if score.site == site]
        labels = tuple(score.when[5:16] for score in site_scores)
        line = charts.Series(
            "score", "black", tuple(score.score for score in site_scores)
        )
        title = f"{site}: score of all standard days"
        drawn.append(charts.Chart(title, (line,), labels=labels))
        title = f"{site}: worth of each standard day"
        drawn.append(charts.Chart(title, _list_days(site_scores), labels=labels))
    return charts.draw_charts(drawn)


def _list_days(scores):
    """Return a series for each standard day that all scores include."""
    names = [name for name, _ in scores[0].days]
    day_scores = [dict(score.days) for score in scores]
    shared = [name for name in names if all(name in days for days in day_scores)]
    return tuple(
        charts.Series(name, color, tuple(max(0.0, days[name]) for days in day_scores))
        for name, color in zip(shared, COLORS, strict=False)
    )


if __name__ == "__main__":
    sys.exit(main())
