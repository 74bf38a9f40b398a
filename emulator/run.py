"""Runs a small mesh under load and prints what callers received."""

import argparse
import asyncio
import pathlib
import sys
import time

from reports import loads

from . import backend, caller, load, logs, mesh, samplemesh

# Last statuses of failed requests, by what they mean for the caller.
FAILURES = {
    "refused": caller.NOT_RUN_STATUSES,
    "of unknown outcome": frozenset({502}),
    "failed further down": frozenset({500, 504}),
}


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="duration of each phase"
    )
    parser.add_argument(
        "--burst", type=float, default=4.0, help="factor on the base load in the burst"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--lose", type=float, default=0.0, help="share of runs whose answer is lost"
    )
    parser.add_argument("--kept", action="store_true", help="callers reuse connections")
    parser.add_argument("--log", metavar="FILE", help="file for the daemons' log lines")
    parser.add_argument(
        "--draw", metavar="FILE", help="SVG file for a chart of the outcomes"
    )
    parser.add_argument(
        "--profile", action="store_true", help="print a profile of the processor time"
    )
    options = parser.parse_args(arguments)
    if options.profile:
        import cProfile

        cProfile.runctx(
            "asyncio.run(run(options))", globals(), locals(), sort="tottime"
        )
    else:
        asyncio.run(run(options))
    return 0


async def run(options):
    """Run the base load, a burst, and the base load again, and print the outcomes."""
    phases = (
        load.Phase(options.seconds),
        load.Phase(options.seconds, options.burst),
        load.Phase(options.seconds),
    )
    if options.log:
        logs.install_log(options.log)
    async with mesh.Mesh(samplemesh.SERVICES, samplemesh.CONFIGURATION) as running:
        for member in running.members:
            member.backend.faults = backend.Faults(lose=options.lose)
        entries = [member.callers for member in running.members]
        start_time, used = time.monotonic(), time.process_time()
        pools = caller.Pools() if options.kept else None
        results = await load.run_load(
            entries, samplemesh.FLOWS, phases, options.seed, pools
        )
        used = time.process_time() - used
        elapsed = time.monotonic() - start_time
        runs = sum(len(member.backend.runs) for member in running.members)
    if options.draw:
        drawing = loads.draw_load(results, samplemesh.FLOWS, phases)
        pathlib.Path(options.draw).write_text(drawing, encoding="utf-8")
    for number, phase in enumerate(phases):
        print(f"\nphase {number}: {phase.factor:g} times the base load")
        print_table(results, number)
    print_examples(results)
    cost = 1000 * used / max(1, runs)
    print(f"\n{len(results)} requests, {runs} runs in {elapsed:.1f} s")
    print(f"processor time of all parts together: {cost:.2f} ms per run")


def print_table(results, phase):
    """Print the outcomes of each flow in a phase."""
    print("  flow        sent  in time    late refused  failed  median ms  p99 ms")
    for flow in samplemesh.FLOWS:
        summary = load.summarize(results, flow, phase)
        print(
            f"  {flow.name:<8} {summary.requests:>7} {summary.in_time:>8.3f}"
            f" {summary.late:>7.3f} {summary.refused:>7.3f} {summary.failed:>7.3f}"
            f" {1000 * summary.median:>10.0f} {1000 * summary.slowest:>7.0f}"
        )


def print_examples(results):
    """Print the last request of each kind of failure, for `whinwinch explain`."""
    for name, statuses in FAILURES.items():
        for result in reversed(results):
            caller_result = result.caller_result
            if not caller_result.whole and caller_result.statuses[-1] in statuses:
                print(f"{name}: {result.flow} {caller_result.requests[-1]}")
                break


if __name__ == "__main__":
    sys.exit(main())
