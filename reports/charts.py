"""SVG charts over time, with lines or stacked areas and marked events."""

from typing import NamedTuple
from xml.etree import ElementTree

WIDTH = 820
HEIGHT = 150
# Margins around the plot area for labels, in pixels.
LEFT, RIGHT, TOP, BOTTOM = 60, 130, 26, 22
FONT = "font: 11px sans-serif"
TITLE = "font: bold 12px sans-serif"
TICKS = 4


class Series(NamedTuple):
    """Values over time, with their name and color.

    Attributes:
        name: Name in the legend.
        color: SVG color name.
        values: One value for each time step.
    """

    name: str
    color: str
    values: tuple[float, ...]


class Mark(NamedTuple):
    """An event to mark in a chart: its time in steps, and its label."""

    at: float
    text: str


class Chart(NamedTuple):
    """One chart.

    Attributes:
        title: Title, with the unit of the values.
        series: `Series` tuples, all of the same length.
        marks: `Mark` tuples.
        step: Length of a time step in units of the time axis.
        unit: Unit of the time axis.
        is_stacked: Whether values are drawn as stacked areas instead of lines.
        labels: Labels of the time steps; () labels them with their time.
    """

    title: str
    series: tuple[Series, ...]
    marks: tuple[Mark, ...] = ()
    step: float = 1.0
    unit: str = "s"
    is_stacked: bool = False
    labels: tuple[str, ...] = ()


class Scale(NamedTuple):
    """Converts time steps and values into pixel coordinates.

    Attributes:
        steps: Number of time steps.
        highest: Largest value of the chart.
    """

    steps: int
    highest: float

    def find_x(self, step):
        """Return the x coordinate of a time step."""
        return LEFT + step * (WIDTH - LEFT - RIGHT) / max(1, self.steps - 1)

    def find_y(self, value):
        """Return the y coordinate of a value."""
        return HEIGHT - BOTTOM - value * (HEIGHT - TOP - BOTTOM) / self.highest


def draw_charts(charts):
    """Return the text of an SVG file with the charts below each other."""
    size = {"width": str(WIDTH), "height": str(HEIGHT * len(charts))}
    root = ElementTree.Element("svg", xmlns="http://www.w3.org/2000/svg", **size)
    ElementTree.SubElement(root, "rect", width="100%", height="100%", fill="white")
    for number, chart in enumerate(charts):
        place = f"translate(0 {number * HEIGHT})"
        _draw_chart(ElementTree.SubElement(root, "g", transform=place), chart)
    return ElementTree.tostring(root, encoding="unicode")


def _draw_chart(parent, chart):
    tops = _stack(chart.series) if chart.is_stacked else chart.series
    steps = max((len(each.values) for each in chart.series), default=0)
    highest = max((max(each.values, default=0.0) for each in tops), default=0.0)
    scale = Scale(steps, highest or 1.0)
    _draw_axes(parent, chart, scale)
    # The topmost area comes first, so that the lower areas are drawn over it.
    for place, series in reversed(tuple(enumerate(tops))):
        _draw_series(parent, series, scale, chart.is_stacked)
        _write(parent, WIDTH - RIGHT + 10, TOP + 14 * place, series.name, series.color)
    for mark in chart.marks:
        x = scale.find_x(mark.at)
        coordinates = {"x1": x, "x2": x, "y1": TOP, "y2": HEIGHT - BOTTOM}
        _draw_line(parent, coordinates, "black", "4 3")
        _write(parent, x + 3, TOP + 9, mark.text)


def _stack(series):
    """Return the series with cumulated values: each includes those before it."""
    tops, below = [], None
    for each in series:
        values = each.values
        if below is not None:
            values = tuple(a + b for a, b in zip(values, below, strict=True))
        tops.append(each._replace(values=values))
        below = values
    return tuple(tops)


def _draw_axes(parent, chart, scale):
    _write(parent, LEFT, 14, chart.title, style=TITLE)
    for number in range(TICKS + 1):
        value = scale.highest * number / TICKS
        y = scale.find_y(value)
        coordinates = {"x1": LEFT, "x2": WIDTH - RIGHT, "y1": y, "y2": y}
        _draw_line(parent, coordinates, "lightgrey")
        _write(parent, 4, y + 4, f"{value:.3g}")
    for step in _choose_steps(scale.steps):
        text = f"{step * chart.step:g} {chart.unit}"
        if chart.labels:
            text = chart.labels[step]
        _write(parent, scale.find_x(step) - 8, HEIGHT - 6, text)


def _choose_steps(steps):
    """Return the evenly spaced steps that get a label."""
    every = max(1, (steps - 1) // 8)
    return range(0, steps, every)


def _draw_series(parent, series, scale, is_filled):
    points = [
        f"{scale.find_x(step):.1f},{scale.find_y(value):.1f}"
        for step, value in enumerate(series.values)
    ]
    if is_filled:
        base = f"{scale.find_y(0.0):.1f}"
        points.append(f"{scale.find_x(len(series.values) - 1):.1f},{base}")
        points.insert(0, f"{scale.find_x(0):.1f},{base}")
        ElementTree.SubElement(
            parent, "polygon", points=" ".join(points), fill=series.color
        )
        return
    attributes = {"fill": "none", "stroke": series.color, "stroke-width": "1.5"}
    ElementTree.SubElement(parent, "polyline", points=" ".join(points), **attributes)


def _draw_line(parent, coordinates, color, dashes="none"):
    coordinates = {name: f"{value:.1f}" for name, value in coordinates.items()}
    attributes = {"stroke": color, "stroke-dasharray": dashes}
    ElementTree.SubElement(parent, "line", **coordinates, **attributes)


def _write(parent, x, y, text, color="black", style=FONT):
    place = {"x": f"{x:.1f}", "y": f"{y:.1f}", "fill": color, "style": style}
    ElementTree.SubElement(parent, "text", **place).text = text
