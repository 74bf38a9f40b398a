"""Simulates overload scenarios and compares them with targets (``make measure``).

Every scenario runs on the baseline (unbounded queues and three retries per hop,
without overload control) and on the present version. The figures are computed
from what callers receive. The table shows each target and whether it is met. A
missed target doesn't change the exit status.
"""

import argparse
import concurrent.futures
import math
import sys
import time
from typing import NamedTuple

from . import fakes, scenarios

WARM_UP_SECONDS = 1.0
RECOVERY_SHARE = 0.99
RECOVERY_STEP_SECONDS = 0.1
RECOVERY_WINDOW_SECONDS = 1.0


class Figure(NamedTuple):
    """Measured value of one scenario.

    Attributes:
        name: Name of the measured quantity.
        target: Target as text.
        value: Measured value.
        met: Whether the value meets the target.
        unit: Unit of the value: "share", "seconds" or "ratio".
    """

    name: str
    target: str
    value: float
    met: bool
    unit: str = "share"


class Scenario(NamedTuple):
    """Scenario: its name, and a function that maps a runner of plans to figures."""

    name: str
    evaluate: object


class Row(NamedTuple):
    """Row of the table: one figure on the baseline and the present version."""

    scenario: str
    baseline: Figure
    present: Figure


def find_goodput(run, since, until):
    """Return the client requests completed per second between two times."""
    done = sum(since <= request.done < until for request in run.client_requests)
    return done / (until - since)


def find_completed(run, streams):
    """Return the share of client requests of some streams that completed."""
    client_requests = [
        request for request in run.client_requests if request.stream in streams
    ]
    return sum(request.done < math.inf for request in client_requests) / max(
        1, len(client_requests)
    )


def find_percentile(run, share, streams):
    """Return a percentile of the seconds from first attempt to successful answer."""
    times = sorted(
        request.done - request.time
        for request in run.client_requests
        if request.stream in streams
    )
    return times[min(len(times) - 1, int(share * len(times)))]


def find_recovery(run, since):
    """Return the seconds from the end of an overload to lasting recovery.

    Goodput has recovered when, in this and all later windows, at least
    `RECOVERY_SHARE` of the requests that arrive in the window complete. The result
    is infinite if goodput never recovers.
    """
    client_requests = [
        request for request in run.client_requests if request.time >= since
    ]
    recovered = math.inf
    windows = int(
        (run.plan.seconds - since - RECOVERY_WINDOW_SECONDS) / RECOVERY_STEP_SECONDS
    )
    for step in reversed(range(windows + 1)):
        start = since + step * RECOVERY_STEP_SECONDS
        inside = [
            w
            for w in client_requests
            if start <= w.time < start + RECOVERY_WINDOW_SECONDS
        ]
        whole = sum(request.done < math.inf for request in inside)
        if whole < RECOVERY_SHARE * len(inside):
            break
        recovered = start - since
    return recovered


def find_max_deviation(run, since, until):
    """Return the maximum deviation of 1 s goodput from its mean, as a share."""
    counts = [
        find_goodput(run, since + step, since + step + 1.0)
        for step in range(int(until - since))
    ]
    mean = sum(counts) / len(counts)
    return max(abs(count - mean) for count in counts) / mean if mean else math.inf


def at_least(name, value, minimum):
    """Return a figure whose target is a minimum share."""
    return Figure(name, f">= {minimum:.1%}", value, value >= minimum)


def at_most(name, value, maximum, unit="share"):
    """Return a figure whose target is a maximum."""
    return Figure(
        name, f"<= {format_value(maximum, unit)}", value, value <= maximum, unit
    )


def evaluate_overload(plan, run):
    """Return goodput, wasted work and oscillation under a constant overload."""
    result = run(plan)
    capacity = scenarios.find_capacity(plan.services)
    until = plan.seconds
    goodput = find_goodput(result, WARM_UP_SECONDS, until) / capacity
    return (
        at_least("goodput of capacity", goodput, 0.95),
        at_most("wasted work", result.waste, 0.03),
        at_most(
            "1 s goodput off its mean",
            find_max_deviation(result, WARM_UP_SECONDS, until),
            0.15,
        ),
    )


def evaluate_importance(plan, run):
    """Return the shares of important requests completed, in all and without retry."""
    result = run(plan)
    important = [request for request in result.client_requests if request.stream == 0]
    at_once = sum(w.done < math.inf and w.attempts == 1 for w in important)
    return (
        at_least("important completed", find_completed(result, {0}), 0.999),
        at_least("important at first asking", at_once / len(important), 0.999),
    )


def evaluate_recovery(plan, service_time, run):
    """Return the time until goodput recovers after an overload."""
    result = run(plan)
    seconds = find_recovery(result, plan.seconds / 2.0)
    return (at_most("recovery", seconds, 1.0 + service_time, "seconds"),)


def evaluate_hot(plan, run):
    """Return the completion rate of the other callers, and the goodput."""
    result = run(plan)
    others = set(range(1, len(plan.streams)))
    goodput = find_goodput(result, WARM_UP_SECONDS, plan.seconds)
    return (
        at_least("others completed", find_completed(result, others), 0.98),
        at_least("goodput of capacity", goodput / scenarios.CAPACITY, 0.95),
    )


def evaluate_endpoint(plan, usual, run):
    """Return the p99 latency relative to a run without the fault."""
    result = run(plan)
    without = find_percentile(run(usual), 0.99, {0})
    ratio = find_percentile(result, 0.99, {0}) / without
    return (
        at_most("p99 to that without", ratio, 1.5, "ratio"),
        at_least("completed", find_completed(result, {0}), 0.999),
    )


def evaluate_all_bad(plan, run):
    """Return the completion rate when all endpoints are slow."""
    return (at_least("completed", find_completed(run(plan), {0}), 0.99),)


def evaluate_long(plan, usual, run):
    """Return the p99 latency of short jobs and the throughput of long jobs."""
    result = run(plan)
    short = find_percentile(result, 0.99, {0})
    without = find_percentile(run(usual), 0.99, {0})
    # Slots that remain for long jobs: 20 slots minus those that 380 short
    # requests/s of 0.01 s occupy.
    slots_for_long = 4 * 5 - 380.0 * 0.01
    long_rate = sum(
        w.stream == 1 and w.done < plan.seconds for w in result.client_requests
    )
    served = long_rate / plan.seconds / (slots_for_long / 1.0)
    return (
        at_most("short p99 to that without", short / without, 2.0, "ratio"),
        at_least("short completed", find_completed(result, {0}), 0.99),
        at_least("long served of slots left", served, 0.25),
    )


def evaluate_entries(plans, run):
    """Return how much goodput varies with the number of entry daemons."""
    goodputs = [
        find_goodput(run(plan), WARM_UP_SECONDS, plan.seconds) / scenarios.CAPACITY
        for plan in plans
    ]
    return (
        at_most("spread of goodput", max(goodputs) - min(goodputs), 0.05),
        at_least("lowest goodput", min(goodputs), 0.95),
    )


def evaluate_mesh(plan, work, run):
    """Return goodput, recovery and wasted work for a deployment."""
    result = run(plan)
    capacity = scenarios.find_capacity(plan.services)
    half = plan.seconds / 2.0
    goodput = find_goodput(result, WARM_UP_SECONDS, half) / capacity
    return (
        at_least("goodput of capacity", goodput, 0.95),
        at_most("recovery", find_recovery(result, half), 1.0 + work, "seconds"),
        at_most("wasted work", result.waste, 0.03),
    )


def list_scenarios(seconds, seed):
    """Return all scenarios for a duration in seconds and a seed."""
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
    return lambda run: evaluate_overload(plan, run)


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
            "important 0.5x among 5x", lambda run: evaluate_importance(important, run)
        ),
        *(_list_recovery(depth, seconds, more) for depth in (3, 6)),
        Scenario("hot caller, 20 shares", lambda run: evaluate_hot(caller, run)),
        Scenario("hot key, 20 shares", lambda run: evaluate_hot(key, run)),
        Scenario("5 % long jobs", lambda run: evaluate_long(long, short, run)),
        Scenario("5x, 1, 16, 200 entries", lambda run: evaluate_entries(entries, run)),
    )


def _list_recovery(depth, seconds, more):
    plan = scenarios.plan_recovery(depth, 2 * seconds, **more)
    service_time = scenarios.WORK + 0.005 * (depth - 1)
    return Scenario(
        f"5x ends, {depth} deep",
        lambda run: evaluate_recovery(plan, service_time, run),
    )


def _list_endpoints(seconds, more):
    # The three healthy endpoints can carry 0.55 of the capacity of four. An
    # endpoint that announces too many slots still adds its real capacity.
    faults = {
        "one endpoint 10x slower": (fakes.Fault(slowdown=10.0), 0.55),
        "one endpoint fails at once": (fakes.Fault(failing=True), 0.55),
        "one endpoint claims 5x slots": (fakes.Fault(slot_factor=5.0), 0.75),
        "one endpoint joins cold": (
            fakes.Fault(slowdown=10.0, join_time=seconds / 4.0, until=seconds / 2.0),
            0.55,
        ),
    }
    found = []
    for name, (fault, load) in faults.items():
        usual = scenarios.plan_endpoint(None, load, seconds, **more)
        plan = scenarios.plan_endpoint(fault, load, seconds, **more)
        found.append(Scenario(name, _bind_endpoint(plan, usual)))
    bad = scenarios.plan_all_bad(seconds, **more)
    found.append(Scenario("all endpoints slow", lambda run: evaluate_all_bad(bad, run)))
    return found


def _bind_endpoint(plan, usual):
    return lambda run: evaluate_endpoint(plan, usual, run)


def _list_meshes(seconds, more):
    found = []
    for name, mesh in (("Press", scenarios.PRESS), ("Consorcio", scenarios.CONSORCIO)):
        plan = scenarios.plan_mesh(mesh, 2 * seconds, **more)
        found.append(Scenario(f"{name} sizes, 5x ends", _bind_mesh(plan, mesh)))
    return found


def _bind_mesh(plan, mesh):
    return lambda run: evaluate_mesh(plan, mesh.work, run)


def measure(index, seconds, seed, controlled):
    """Return the figures of one scenario on the baseline or the present version.

    Scenarios are passed by index, as their functions can't be pickled for other
    processes.
    """
    scenario = list_scenarios(seconds, seed)[index]
    return scenario.evaluate(lambda plan: fakes.run_plan(plan, controlled))


def measure_all(seconds, seed, processes, names=""):
    """Measure all scenarios whose name contains `names`; return the rows."""
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
    """Format a value with its unit."""
    if value == math.inf:
        return "never"
    if unit == "seconds":
        return f"{value:.1f} s"
    if unit == "ratio":
        return f"{value:.2f}x"
    return f"{value:.1%}"


def format_rows(rows):
    """Return the lines of a Markdown table."""
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
