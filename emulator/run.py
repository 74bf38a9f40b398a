"""Runs a small mesh under load and prints what callers received."""

import argparse
import asyncio
import pathlib
import sys
import time

from reports import loads

from . import backend, caller, load, logs, mesh, press

# The last status that a caller was told, by what it means to it.
FAILURES = {
    "refused": caller.PROMISES,
    "of unknown outcome": frozenset({502}),
    "failed further down": frozenset({500, 504}),
}


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0, help="of each phase")
    parser.add_argument("--burst", type=float, default=4.0, help="times the usual")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--lose", type=float, default=0.0, help="share of runs whose answer is lost"
    )
    parser.add_argument(
        "--kept", action="store_true", help="callers keep their connections"
    )
    parser.add_argument("--log", metavar="FILE", help="for the daemons' log lines")
    parser.add_argument("--draw", metavar="FILE", help="SVG of what callers got")
    parser.add_argument("--profile", action="store_true", help="where the time goes")
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
    """Play a usual time, a burst and a usual time again."""
    phases = (
        load.Phase(options.seconds),
        load.Phase(options.seconds, options.burst),
        load.Phase(options.seconds),
    )
    if options.log:
        logs.install_log(options.log)
    async with mesh.Mesh(press.SERVICES, press.CONFIGURATION) as running:
        for member in running.members:
            member.backend.faults = backend.Faults(lose=options.lose)
        entries = [member.callers for member in running.members]
        began, used = time.monotonic(), time.process_time()
        pools = caller.Pools() if options.kept else None
        results = await load.play(entries, press.FLOWS, phases, options.seed, pools)
        used = time.process_time() - used
        elapsed = time.monotonic() - began
        runs = sum(len(member.backend.runs) for member in running.members)
    if options.draw:
        drawing = loads.draw_load(results, press.FLOWS, phases)
        pathlib.Path(options.draw).write_text(drawing, encoding="utf-8")
    for number, phase in enumerate(phases):
        print(f"\nphase {number}: {phase.factor:g} times the usual load")
        print_table(results, number)
    print_examples(results)
    cost = 1000 * used / max(1, runs)
    print(f"\n{len(results)} requests, {runs} runs in {elapsed:.1f} s")
    print(f"processor time of all parts together: {cost:.2f} ms a run")


def print_table(results, phase):
    """Print what each flow got in a phase."""
    print("  flow       asked  in time    late refused  failed  median ms  p99 ms")
    for flow in press.FLOWS:
        summary = load.summarize(results, flow, phase)
        print(
            f"  {flow.name:<8} {summary.asked:>7} {summary.in_time:>8.3f}"
            f" {summary.late:>7.3f} {summary.refused:>7.3f} {summary.failed:>7.3f}"
            f" {1000 * summary.median:>10.0f} {1000 * summary.slowest:>7.0f}"
        )


def print_examples(results):
    """Print the last request of each kind of failure, for `whinwinch explain`."""
    for name, statuses in FAILURES.items():
        for result in reversed(results):
            told = result.told
            if not told.whole and told.statuses[-1] in statuses:
                print(f"{name}: {result.flow} {told.requests[-1]}")
                break


if __name__ == "__main__":
    sys.exit(main())
