"""Runs a small mesh under load and prints what callers received."""

import argparse
import asyncio
import sys
import time

from . import load, mesh, press


def main(arguments=None):
    """Run the command; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0, help="of each phase")
    parser.add_argument("--burst", type=float, default=4.0, help="times the usual")
    parser.add_argument("--seed", type=int, default=1)
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
    async with mesh.Mesh(press.SERVICES, press.CONFIGURATION) as running:
        entries = [member.callers for member in running.members]
        began, used = time.monotonic(), time.process_time()
        results = await load.play(entries, press.FLOWS, phases, options.seed)
        used = time.process_time() - used
        elapsed = time.monotonic() - began
        runs = sum(len(member.backend.runs) for member in running.members)
    for number, phase in enumerate(phases):
        print(f"\nphase {number}: {phase.factor:g} times the usual load")
        print_table(results, number)
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


if __name__ == "__main__":
    sys.exit(main())
