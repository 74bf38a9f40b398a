"""Charts of the outcomes and latencies of a load on the emulated mesh, by flow."""

import math

from emulator import load

from . import charts

STEP_SECONDS = 0.5
# In stacking order, the best outcome at the bottom.
COLORS = {
    load.IN_TIME: "seagreen",
    load.LATE: "gold",
    load.REFUSED: "lightslategrey",
    load.FAILED: "firebrick",
}
QUANTILES = (("median", "steelblue", 0.5), ("99th percentile", "darkorange", 0.99))


def draw_load(results, flows, phases):
    """Return the text of an SVG file with two charts for each flow.

    Args:
        results: `load.Result` tuples.
        flows: `load.Flow` tuples.
        phases: `load.Phase` tuples, in order.
    """
    marks = list_marks(phases)
    drawn = []
    for flow in flows:
        flow_results = [result for result in results if result.flow == flow.name]
        steps = _split(flow_results, sum(phase.seconds for phase in phases))
        drawn.append(_chart_outcomes(flow, steps, marks))
        drawn.append(_chart_latency(flow, steps, marks))
    return charts.draw_charts(drawn)


def list_marks(phases):
    """Return a `charts.Mark` at the start of each phase."""
    marks, at = [], 0.0
    for phase in phases:
        marks.append(charts.Mark(at / STEP_SECONDS, f"{phase.factor:g} x"))
        at += phase.seconds
    return tuple(marks)


def _split(results, seconds):
    """Return a list of results for each time step, by their scheduled time."""
    steps = [[] for _ in range(math.ceil(seconds / STEP_SECONDS))]
    for result in results:
        steps[min(int(result.at / STEP_SECONDS), len(steps) - 1)].append(result)
    return steps


def _chart_outcomes(flow, steps, marks):
    objective = flow.kind.objective
    named = [
        [load.name_outcome(r.caller_result, objective) for r in step] for step in steps
    ]
    series = tuple(
        charts.Series(
            name, color, tuple(step.count(name) / STEP_SECONDS for step in named)
        )
        for name, color in COLORS.items()
    )
    title = f"{flow.name}: requests per second, by outcome"
    return charts.Chart(title, series, marks, STEP_SECONDS, is_stacked=True)


def _chart_latency(flow, steps, marks):
    whole = [
        sorted(r.caller_result.seconds for r in step if r.caller_result.whole)
        for step in steps
    ]
    series = tuple(
        charts.Series(name, color, tuple(_find_milliseconds(whole, share)))
        for name, color, share in QUANTILES
    )
    title = f"{flow.name}: latency of complete answers over all attempts, in ms"
    return charts.Chart(title, series, marks, STEP_SECONDS)


def _find_milliseconds(steps, share):
    """Yield a quantile of the latencies of each step, 0 for a step without any."""
    for seconds in steps:
        quantile = load.find_quantile(seconds, share)
        yield 0.0 if math.isnan(quantile) else 1000 * quantile
