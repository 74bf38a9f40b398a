"""Demo of the Press's mesh on this machine: an ordinary day, then overload.

Starts the stand-in log and 16 backend servers with their daemons, applies the
resources, compares a chain with and without daemons, and plays the recorded trace
at its own rate, then at three times the capacity of submissions, with callers
that retry aggressively. Compares the outcomes that were reported to callers with
the requests that the backend servers executed. The exit status is 1 if a guarantee
was violated, 2 if the mesh didn't start or didn't stop on its own.
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
OVERLOAD_FACTOR = 3.0
# The ordinary phase plays the whole trace once. Both phases together leave a margin
# for a total time below one minute.
ORDINARY_SECONDS = 12.0
OVERLOAD_SECONDS = 10.0
CALLERS = 3
CALLER_THREADS = 160
PHASE_TIMEOUT = ORDINARY_SECONDS + 20.0
MEASURED_ROUNDS = 150
WARM_UP_ROUNDS = 15
CHAIN = trace.Request(
    0.0,
    "catalog",
    path="/orders",
    next="submissions/decisions,archive/listings",
    work=0.0,
    timeout=5.0,
)

EXIT_VIOLATED, EXIT_FAILED = 1, 2


class Phase(NamedTuple):
    """A phase of the demo, which plays the trace at one rate.

    Attributes:
        name: Unique name, part of the names of the callers' output files.
        title: Title of the phase's table.
        rate: Multiple of the recorded rate.
        seconds: Length of the phase.
        overloaded: Name of the overloaded service, "" for none.
    """

    name: str
    title: str
    rate: float
    seconds: float
    overloaded: str = ""


class Interrupted(Exception):
    """SIGINT or SIGTERM was received."""


def main(arguments=None):
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", help="directory for the processes' output")
    options = parser.parse_args(arguments)
    # SIGINT is set too, because a shell starts background jobs with SIGINT ignored.
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
        print("interrupted; all processes were stopped", file=sys.stderr)
    return EXIT_FAILED


def raise_interrupted(*_):
    """Raise `Interrupted` on a signal, so that the processes are stopped."""
    raise Interrupted


def run(running, seed):
    """Start the mesh, measure, play both phases, stop; return the exit status."""
    started_at = time.monotonic()
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
        print_lines(f"{name} after {time.monotonic() - started_at:.1f} s")
    print_lines(
        "",
        "latency of a chain of three services, sequential requests, no service time:",
    )
    print_lines(*report.format_latency(*measure_chain(nodes)))
    guarantees = play_phases(running, nodes, seed)
    stopping = time.monotonic()
    killed = mesh.stop_mesh(running, press)
    print_lines("", f"all processes stopped within {time.monotonic() - stopping:.1f} s")
    if killed:
        print_lines(f"killed or ended with an error: {', '.join(killed)}")
    print_lines(f"took {time.monotonic() - started_at:.1f} s")
    if any(guarantee.violations for guarantee in guarantees):
        return EXIT_VIOLATED
    return EXIT_FAILED if killed else 0


def play_phases(running, nodes, seed):
    """Play the trace as recorded, then as an overload; return all guarantees."""
    requests = trace.read_trace(TRACE.read_text().splitlines())
    rate = get_overload_rate(requests)
    ordinary = "an ordinary day, as recorded"
    overload = f"{OVERLOADED} at {OVERLOAD_FACTOR:.0f} times its capacity"
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


def get_overload_rate(requests):
    """Return the rate at which the trace is `OVERLOAD_FACTOR` times the capacity."""
    request_count = sum(
        report.needs_service(request, OVERLOADED) for request in requests
    )
    recorded = request_count / trace.find_length(requests)
    return OVERLOAD_FACTOR * get_capacity() / recorded


def get_capacity():
    """Return the capacity of the overloaded service in requests per second."""
    (capacity,) = (
        service.capacity for service in mesh.SERVICES if service.name == OVERLOADED
    )
    return capacity


def play_phase(running, nodes, seed, phase):
    """Play a phase, print its results and return its guarantees."""
    results = play_trace(running, nodes, seed, phase)
    by_key, by_request = mesh.read_runs(nodes)
    budgets = report.read_budgets(mesh.RESOURCES)
    guarantees = report.check_guarantees(results, by_key, by_request, budgets)
    if phase.overloaded:
        guarantees.append(report.check_order(results, phase.overloaded))
    title = f"{phase.title} (x{phase.rate:.2f})"
    print_lines("", *report.format_table(title, results, phase.seconds))
    print_lines(
        report.format_goodput(results, OVERLOADED, get_capacity(), phase.seconds)
    )
    print_lines(*report.format_notes(results), *report.format_guarantees(guarantees))
    return guarantees


def play_trace(running, nodes, seed, phase):
    """Play the trace by `CALLERS` processes and return all results."""
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
    check_result_count(results, phase)
    return results


def check_result_count(results, phase):
    """Check that there is one result for each request of a phase.

    Lost results, or results of another phase, would make every share and rate of
    the table wrong without an error.

    Raises:
        processes.NotReady: When the numbers differ.
    """
    requests = trace.read_trace(TRACE.read_text().splitlines())
    played = trace.schedule_requests(requests, phase.rate, phase.seconds)
    expected = sum(1 for _ in played)
    if len(results) != expected:
        raise processes.NotReady(
            f"{phase.name}: {len(results)} results of {expected} requests"
        )


def measure_chain(nodes):
    """Return the latencies of a chain without daemons and through daemons.

    The two alternate, so that other load of the machine affects both equally. A
    round with a failure is skipped: on a busy machine it says nothing about the
    guarantees.

    Returns:
        Two lists of latencies in seconds.
    """
    catalogs = [node for node in nodes if node.service.name == "catalog"]
    backends = [node.backend_url for node in catalogs]
    entries = [node.entry_url for node in catalogs]
    senders = (sender.build_sender(backends, direct=True), sender.build_sender(entries))
    seconds = ([], [])
    for turn in range(WARM_UP_ROUNDS + MEASURED_ROUNDS):
        pair = [send(CHAIN) for send in senders]
        failed = [sent for sent in pair if not sent.succeeded]
        if failed:
            print_lines(f"  round {turn} skipped, the chain failed: {failed[0]}")
        elif turn >= WARM_UP_ROUNDS:
            for latencies, sent in zip(seconds, pair, strict=True):
                latencies.append(sent.latency)
    return seconds


def print_lines(*lines):
    """Print lines and flush standard output."""
    print(*lines, sep="\n", flush=True)


if __name__ == "__main__":
    sys.exit(main())
