"""Measures the decisions under load (``make measure``).

Every scenario runs on the baseline (no control: unbounded queues, three retries
a hop) and on the present version, and is judged by what callers receive. The
table states each target and whether it is met. The exit status tells errors
only, not misses.
"""

import argparse
import concurrent.futures
import math
import sys
import time
from typing import NamedTuple

from . import fakes, scenarios

SETTLED_SECONDS = 1.0
RECOVERY_SHARE = 0.99
RECOVERY_STEP = 0.1
RECOVERY_WINDOW = 1.0


class Figure(NamedTuple):
    """One figure of one scenario.

    Attributes:
        name: What was measured.
        target: The target as text.
        value: What came out.
        met: Whether that meets the target.
        unit: How the value is written: "share" or "seconds" or "ratio".
    """

    name: str
    target: str
    value: float
    met: bool
    unit: str = "share"


class Scenario(NamedTuple):
    """One scenario: a name and a function from a way to run to its figures."""

    name: str
    judge: object


class Row(NamedTuple):
    """One line of the table."""

    scenario: str
    baseline: Figure
    present: Figure


def find_goodput(run, since, until):
    """Return whole requests completed per second between two times."""
    done = sum(since <= wish.done < until for wish in run.wishes)
    return done / (until - since)


def find_completed(run, streams):
    """Return the share of wishes of some streams that completed."""
    wishes = [wish for wish in run.wishes if wish.stream in streams]
    return sum(wish.done < math.inf for wish in wishes) / max(1, len(wishes))


def find_percentile(run, share, streams):
    """Return a percentile of the time from first asking to the whole answer."""
    times = sorted(
        wish.done - wish.time for wish in run.wishes if wish.stream in streams
    )
    return times[min(len(times) - 1, int(share * len(times)))]


def find_recovery(run, since):
    """Return seconds from the end of a trigger until goodput is back for good.

    Goodput of a window is the share of the wishes that arrive in it which
    complete. Infinite when it never comes back.
    """
    wishes = [wish for wish in run.wishes if wish.time >= since]
    recovered = math.inf
    windows = int((run.plan.seconds - since - RECOVERY_WINDOW) / RECOVERY_STEP)
    for step in reversed(range(windows + 1)):
        start = since + step * RECOVERY_STEP
        inside = [w for w in wishes if start <= w.time < start + RECOVERY_WINDOW]
        whole = sum(wish.done < math.inf for wish in inside)
        if whole < RECOVERY_SHARE * len(inside):
            break
        recovered = start - since
    return recovered


def find_swing(run, since, until):
    """Return the largest deviation of 1 s goodput from its mean, as a share."""
    counts = [
        find_goodput(run, since + step, since + step + 1.0)
        for step in range(int(until - since))
    ]
    mean = sum(counts) / len(counts)
    return max(abs(count - mean) for count in counts) / mean if mean else math.inf


def at_least(name, value, least):
    """Return a figure that must reach a share."""
    return Figure(name, f">= {least:.1%}", value, value >= least)


def at_most(name, value, most, unit="share"):
    """Return a figure that must not exceed a bound."""
    return Figure(name, f"<= {format_value(most, unit)}", value, value <= most, unit)


def judge_overload(plan, run):
    """Return goodput, waste and oscillation of a steady overload."""
    result = run(plan)
    capacity = scenarios.find_capacity(plan.services)
    until = plan.seconds
    goodput = find_goodput(result, SETTLED_SECONDS, until) / capacity
    return (
        at_least("goodput of capacity", goodput, 0.95),
        at_most("wasted work", result.waste, 0.03),
        at_most(
            "1 s goodput off its mean", find_swing(result, SETTLED_SECONDS, until), 0.15
        ),
    )


def judge_importance(plan, run):
    """Return how many important requests completed, and how many at once."""
    result = run(plan)
    important = [wish for wish in result.wishes if wish.stream == 0]
    at_once = sum(w.done < math.inf and w.attempts == 1 for w in important)
    return (
        at_least("important completed", find_completed(result, {0}), 0.999),
        at_least("important at first asking", at_once / len(important), 0.999),
    )


def judge_recovery(plan, service_time, run):
    """Return the time to recovery."""
    result = run(plan)
    seconds = find_recovery(result, plan.seconds / 2.0)
    return (at_most("recovery", seconds, 1.0 + service_time, "seconds"),)


def judge_hot(plan, run):
    """Return how many requests of the other callers completed."""
    result = run(plan)
    others = set(range(1, len(plan.streams)))
    goodput = find_goodput(result, SETTLED_SECONDS, plan.seconds)
    return (
        at_least("others completed", find_completed(result, others), 0.98),
        at_least("goodput of capacity", goodput / scenarios.CAPACITY, 0.95),
    )


def judge_endpoint(plan, usual, run):
    """Return the 99th percentile against that without the fault."""
    result = run(plan)
    without = find_percentile(run(usual), 0.99, {0})
    ratio = find_percentile(result, 0.99, {0}) / without
    return (
        at_most("p99 to that without", ratio, 1.5, "ratio"),
        at_least("completed", find_completed(result, {0}), 0.999),
    )


def judge_all_bad(plan, run):
    """Return how many completed though every endpoint looks bad."""
    return (at_least("completed", find_completed(run(plan), {0}), 0.99),)


def judge_long(plan, usual, run):
    """Return the short jobs' 99th percentile, and the long ones' throughput."""
    result = run(plan)
    short = find_percentile(result, 0.99, {0})
    without = find_percentile(run(usual), 0.99, {0})
    # What the slots leave to long jobs when the short ones are served.
    left = 4 * 5 - 380.0 * 0.01
    long_rate = sum(w.stream == 1 and w.done < plan.seconds for w in result.wishes)
    served = long_rate / plan.seconds / (left / 1.0)
    return (
        at_most("short p99 to that without", short / without, 2.0, "ratio"),
        at_least("short completed", find_completed(result, {0}), 0.99),
        at_least("long served of slots left", served, 0.25),
    )


def judge_entries(plans, run):
    """Return the spread of goodput over numbers of entry daemons."""
    goodputs = [
        find_goodput(run(plan), SETTLED_SECONDS, plan.seconds) / scenarios.CAPACITY
        for plan in plans
    ]
    return (
        at_most("spread of goodput", max(goodputs) - min(goodputs), 0.05),
        at_least("lowest goodput", min(goodputs), 0.95),
    )


def judge_mesh(plan, work, run):
    """Return goodput and recovery for the sizes of one user."""
    result = run(plan)
    capacity = scenarios.find_capacity(plan.services)
    half = plan.seconds / 2.0
    goodput = find_goodput(result, SETTLED_SECONDS, half) / capacity
    return (
        at_least("goodput of capacity", goodput, 0.95),
        at_most("recovery", find_recovery(result, half), 1.0 + work, "seconds"),
        at_most("wasted work", result.waste, 0.03),
    )


def list_scenarios(seconds, seed):
    """Return all scenarios at a length in seconds and a seed."""
    more = {"seed": seed}
    return (
        *_list_overloads(seconds, more),
        *_list_others(seconds, more),
        *_list_endpoints(seconds, more),
        *_list_meshes(seconds, more),
    )


def _list_overloads(seconds, more):
    found = []
    for depth in (3, 6, 16):
        for factor in (2, 5, 10):
            plan = scenarios.plan_overload(depth, factor, seconds, **more)
            found.append(
                Scenario(f"{factor}x, {depth} deep", _bind_overload(plan)),
            )
    plan = scenarios.plan_overload(6, 5, seconds, narrow=2, **more)
    found.append(Scenario("5x, 6 deep, third narrow", _bind_overload(plan)))
    plan = scenarios.plan_overload(6, 5, seconds, narrow=0, **more)
    found.append(Scenario("5x, 6 deep, first narrow", _bind_overload(plan)))
    plan = scenarios.plan_fan_out(3, seconds, **more)
    found.append(Scenario("3x, fan-out of 4", _bind_overload(plan)))
    return found


def _bind_overload(plan):
    return lambda run: judge_overload(plan, run)


def _list_others(seconds, more):
    important = scenarios.plan_importance(5, seconds, **more)
    caller = scenarios.plan_hot("caller", seconds, **more)
    key = scenarios.plan_hot("path", seconds, **more)
    long = scenarios.plan_long(0.05, seconds, **more)
    short = scenarios.plan_long(0.0, seconds, **more)
    entries = [
        scenarios.plan_overload(3, 5, seconds, entries=count, **more)
        for count in (1, 16, 200)
    ]
    return (
        Scenario(
            "important 0.5x among 5x", lambda run: judge_importance(important, run)
        ),
        *(_list_recovery(depth, seconds, more) for depth in (3, 6)),
        Scenario("hot caller, 20 shares", lambda run: judge_hot(caller, run)),
        Scenario("hot key, 20 shares", lambda run: judge_hot(key, run)),
        Scenario("5 % long jobs", lambda run: judge_long(long, short, run)),
        Scenario("5x, 1, 16, 200 entries", lambda run: judge_entries(entries, run)),
    )


def _list_recovery(depth, seconds, more):
    plan = scenarios.plan_recovery(depth, 2 * seconds, **more)
    service_time = scenarios.WORK + 0.005 * (depth - 1)
    return Scenario(
        f"5x ends, {depth} deep",
        lambda run: judge_recovery(plan, service_time, run),
    )


def _list_endpoints(seconds, more):
    # Three endpoints can carry 0.55 of four; one that lies still does its part.
    faults = {
        "one endpoint 10x slower": (fakes.Fault(slower=10.0), 0.55),
        "one endpoint fails at once": (fakes.Fault(failing=True), 0.55),
        "one endpoint claims 5x slots": (fakes.Fault(lying=5.0), 0.75),
        "one endpoint joins cold": (
            fakes.Fault(slower=10.0, joins=seconds / 4.0, until=seconds / 2.0),
            0.55,
        ),
    }
    found = []
    for name, (fault, load) in faults.items():
        usual = scenarios.plan_endpoint(None, load, seconds, **more)
        plan = scenarios.plan_endpoint(fault, load, seconds, **more)
        found.append(Scenario(name, _bind_endpoint(plan, usual)))
    bad = scenarios.plan_all_bad(seconds, **more)
    found.append(Scenario("all endpoints slow", lambda run: judge_all_bad(bad, run)))
    return found


def _bind_endpoint(plan, usual):
    return lambda run: judge_endpoint(plan, usual, run)


def _list_meshes(seconds, more):
    found = []
    for name, mesh in (("Press", scenarios.PRESS), ("Consorcio", scenarios.CONSORCIO)):
        plan = scenarios.plan_mesh(mesh, 2 * seconds, **more)
        found.append(Scenario(f"{name} sizes, 5x ends", _bind_mesh(plan, mesh)))
    return found


def _bind_mesh(plan, mesh):
    return lambda run: judge_mesh(plan, mesh.work, run)


def measure(index, seconds, seed, controlled):
    """Return the figures of one scenario, run in one way.

    Scenarios are named by index, as functions don't travel to other processes.
    """
    scenario = list_scenarios(seconds, seed)[index]
    return scenario.judge(lambda plan: fakes.run_plan(plan, controlled))


def measure_all(seconds, seed, processes, names=""):
    """Measure all scenarios whose name holds `names`; return the rows."""
    listed = list_scenarios(seconds, seed)
    chosen = [i for i, scenario in enumerate(listed) if names in scenario.name]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        futures = [
            (
                listed[index].name,
                pool.submit(measure, index, seconds, seed, False),
                pool.submit(measure, index, seconds, seed, True),
            )
            for index in chosen
        ]
        rows = []
        for name, baseline, present in futures:
            pairs = zip(baseline.result(), present.result(), strict=True)
            rows += [Row(name, *pair) for pair in pairs]
    return rows


def format_value(value, unit):
    """Write a value in its unit."""
    if value == math.inf:
        return "never"
    if unit == "seconds":
        return f"{value:.1f} s"
    if unit == "ratio":
        return f"{value:.2f}x"
    return f"{value:.1%}"


def format_rows(rows):
    """Return the table as lines of Markdown."""
    lines = [
        "| scenario | figure | target | baseline | present | met |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        figure = row.present
        cells = (
            row.scenario,
            figure.name,
            figure.target,
            format_value(row.baseline.value, figure.unit),
            format_value(figure.value, figure.unit),
            "yes" if figure.met else "MISSED",
        )
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def parse_arguments(arguments):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="measure", description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", default="", help="part of a scenario's name")
    return parser.parse_args(arguments)


def main(arguments=None):
    """Measure, print the table, and return the exit status."""
    options = parse_arguments(arguments)
    began = time.monotonic()
    rows = measure_all(options.seconds, options.seed, options.processes, options.only)
    print("\n".join(format_rows(rows)))
    missed = sum(not row.present.met for row in rows)
    print(f"\n{len(rows) - missed} of {len(rows)} targets met, {missed} missed;")
    print(f"demand {options.seconds:g} s, seed {options.seed},")
    print(f"{time.monotonic() - began:.0f} s to run")
    return 0


if __name__ == "__main__":
    sys.exit(main())
