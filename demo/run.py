"""The Press's mesh on this machine: an ordinary day, then three times too much.

Starts the stand-in log, 16 backend servers and a daemon beside each, applies
the resources, compares a chain with and without daemons, plays the recorded
trace as it is, then at three times what submissions can carry with callers that
retry hard. Holds what the callers were told against what the backend servers
ran, and ends with 1 if a promise was broken, with 2 if the mesh didn't come up
or didn't stop by itself.
"""

import argparse
import pathlib
import signal
import sys
import time
from typing import NamedTuple

from standins import caller, processes, sender, trace

from . import mesh, report

TRACE = pathlib.Path(__file__).with_name("press.jsonl")
OVERLOADED = "submissions"
OVERLOAD = 3.0
# The first plays the whole trace. Both leave a margin under a minute in all.
ORDINARY_SECONDS = 12.0
OVERLOAD_SECONDS = 10.0
CALLERS = 3
CALLER_THREADS = 160
PHASE_TIMEOUT = ORDINARY_SECONDS + 20.0
CHAINS = 150
WARM_UP = 15
CHAIN = trace.Request(
    0.0,
    "catalog",
    path="/orders",
    next="submissions/decisions,archive/listings",
    work=0.0,
    timeout=5.0,
)

BROKEN, FAILED = 1, 2


class Phase(NamedTuple):
    """One playing of the trace.

    Attributes:
        name: Name in the callers' output files, different for each phase.
        title: Title of its table.
        rate: Multiple of the recorded rate.
        seconds: How long it is played.
        overloaded: Name of the service that gets too much, "" for none.
    """

    name: str
    title: str
    rate: float
    seconds: float
    overloaded: str = ""


class Interrupted(Exception):
    """SIGINT or SIGTERM came."""


def main(arguments=None):
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", help="directory for the processes' output")
    options = parser.parse_args(arguments)
    # Also SIGINT: a shell starts background jobs with it ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, raise_interrupted)
    try:
        with (
            processes.keep_output(options.output) as directory,
            processes.Processes(directory) as running,
        ):
            return run(running, options.seed)
    except processes.NotReady as error:
        print(f"error: {error}", file=sys.stderr)
    except Interrupted:
        print("interrupted; everything was stopped", file=sys.stderr)
    return FAILED


def raise_interrupted(*_):
    """Turn a signal into an exception, so that the processes get stopped."""
    raise Interrupted


def run(running, seed):
    """Start, measure, play both phases, stop; return the exit status."""
    began = time.monotonic()
    nodes = mesh.place_nodes()
    press = mesh.start_mesh(running, nodes)
    steps = (
        ("daemons ready", mesh.wait_until_ready),
        ("resources applied", mesh.apply_resources),
        ("all endpoints reached", mesh.wait_until_reached),
        ("resources in force", mesh.wait_until_in_force),
    )
    for name, step in steps:
        step(running, press)
        say(f"{name} after {time.monotonic() - began:.1f} s")
    say("", "the same chain of three services, one at a time, no service time:")
    say(*report.form_latency(*measure_chain(nodes)))
    promises = play_phases(running, nodes, seed)
    stopping = time.monotonic()
    killed = mesh.stop_mesh(running, press)
    say("", f"everything stopped within {time.monotonic() - stopping:.1f} s")
    if killed:
        say(f"didn't stop by themselves: {', '.join(killed)}")
    say(f"took {time.monotonic() - began:.1f} s")
    if any(promise.broken for promise in promises):
        return BROKEN
    return FAILED if killed else 0


def play_phases(running, nodes, seed):
    """Play the trace as it is, then as an overload; return all promises."""
    requests = trace.read_trace(TRACE.read_text().splitlines())
    rate = find_overload(requests)
    ordinary = "an ordinary day, as recorded"
    overload = f"{OVERLOADED} asked for {OVERLOAD:.0f} times what it can carry"
    return [
        *play_phase(
            running, nodes, seed, Phase("ordinary", ordinary, 1.0, ORDINARY_SECONDS)
        ),
        *play_phase(
            running,
            nodes,
            seed,
            Phase("overload", overload, rate, OVERLOAD_SECONDS, OVERLOADED),
        ),
    ]


def find_overload(requests):
    """Return the multiple of the trace that is `OVERLOAD` for the service."""
    wanted = sum(report.needs_service(request, OVERLOADED) for request in requests)
    recorded = wanted / trace.find_length(requests)
    return OVERLOAD * find_capacity() / recorded


def find_capacity():
    """Return the requests a second that the overloaded service can carry."""
    (capacity,) = (
        service.capacity for service in mesh.SERVICES if service.name == OVERLOADED
    )
    return capacity


def play_phase(running, nodes, seed, phase):
    """Play one phase by several callers; print and return the promises."""
    results = play_trace(running, nodes, seed, phase)
    by_key, by_request = mesh.read_runs(nodes)
    budgets = report.read_budgets(mesh.RESOURCES)
    promises = report.check_promises(results, by_key, by_request, budgets)
    if phase.overloaded:
        promises.append(report.check_order(results, phase.overloaded))
    title = f"{phase.title} (x{phase.rate:.2f})"
    say("", *report.form_table(title, results, phase.seconds))
    say(report.form_goodput(results, OVERLOADED, find_capacity(), phase.seconds))
    say(*report.form_notes(results), *report.form_promises(promises))
    return promises


def play_trace(running, nodes, seed, phase):
    """Play the trace by several caller processes and return all results."""
    arguments = {
        "--trace": TRACE,
        "--entries": ",".join(node.entry_url for node in nodes),
        "--rate": phase.rate,
        "--seconds": phase.seconds,
        "--threads": CALLER_THREADS,
        "--seed": seed,
    }
    flags = [part for pair in arguments.items() for part in pair]
    callers = [
        running.start(
            f"caller-{phase.name}-{part}",
            "standins.caller",
            [
                *flags,
                "--part",
                f"{part}/{CALLERS}",
                "--results",
                running.directory / f"caller-{phase.name}-{part}.results",
            ],
        )
        for part in range(CALLERS)
    ]
    running.finish(callers, PHASE_TIMEOUT)
    results = [
        caller.read_result(line)
        for process in callers
        for line in (running.directory / f"{process.name}.results").open()
    ]
    check_count(results, phase)
    return results


def check_count(results, phase):
    """Check that there is one result for each request of a phase.

    Results of another phase among them, or lost ones, would make every share
    and rate of the table wrong without a sign of it.

    Raises:
        processes.NotReady: When there are more or fewer.
    """
    requests = trace.read_trace(TRACE.read_text().splitlines())
    played = trace.schedule_requests(requests, phase.rate, phase.seconds)
    expected = sum(1 for _ in played)
    if len(results) != expected:
        raise processes.NotReady(
            f"{phase.name}: {len(results)} results of {expected} requests"
        )


def measure_chain(nodes):
    """Return the seconds of each chain without daemons, and through them.

    The two take turns, so that what else the machine does meets both alike. A
    turn that fails is left out: on a busy machine it says nothing of the promises.
    """
    catalogs = [node for node in nodes if node.service.name == "catalog"]
    backends = [node.backend_url for node in catalogs]
    entries = [node.entry_url for node in catalogs]
    ways = (sender.build_sender(backends, direct=True), sender.build_sender(entries))
    seconds = ([], [])
    for turn in range(WARM_UP + CHAINS):
        pair = [send(CHAIN) for send in ways]
        failed = [sent for sent in pair if not sent.succeeded]
        if failed:
            say(f"  turn {turn} is left out, the chain failed: {failed[0]}")
        elif turn >= WARM_UP:
            for taken, sent in zip(seconds, pair, strict=True):
                taken.append(sent.latency)
    return seconds


def say(*lines):
    """Print lines at once."""
    print(*lines, sep="\n", flush=True)


if __name__ == "__main__":
    sys.exit(main())
