"""Measures the latency that daemons add and their idle cost (``make bench``).

Three routes through daemons are compared with the same requests sent directly to
the backend servers. The rate is 107 calls per second, the load expected of one
daemon in two years, with as many outgoing calls:

- entry: the entry daemon runs beside a backend server of the called service;
- remote: the entry daemon sends the call to a daemon of another service;
- chain: the backend server makes a nested call through its own daemon.

Runs with and without daemons alternate, so that other load on the machine affects
both alike. The command also measures each layer of the path alone, with sequential
calls, and the resident memory and processor time of a daemon. The backend servers
have a service time of zero.
"""

import argparse
import pathlib
import random
import socket
import sys
import time
from typing import NamedTuple

import urllib3
from hdrh.histogram import HdrHistogram

from demo import mesh
from standins import caller, processes, sender, serving, trace

RATE = 107.0
CALLER_THREADS = 32
TURNS = 3
IDLE_SECONDS = 10.0
LAYER_CALLS = 1500
LAYER_WARM_UP = 200
# Three digits resolve a hundredth of the allowed 1.4 ms.
MAX_LATENCY_MICROSECONDS = 60_000_000
DIGITS = 3
MICROSECONDS = 1_000_000

SERVICES = (
    mesh.Service("catalog", 70, 500, 0.0),
    mesh.Service("archive", 70, 500, 0.0),
)
ZONES = ("zone-1",)


class Case(NamedTuple):
    """Route of a call through daemons.

    Attributes:
        name: Name in the table.
        request: Request to repeat.
    """

    name: str
    request: trace.Request


class Usage(NamedTuple):
    """Resource usage of a process.

    Attributes:
        resident: Resident memory in MiB.
        processor: Processor time in seconds, or its share of a core in percent.
    """

    resident: float
    processor: float


# The catalog's daemon is the entry daemon of all cases.
CASES = (
    Case("entry", trace.Request(0.0, "catalog", path="/books")),
    Case("remote", trace.Request(0.0, "archive", path="/listings")),
    Case(
        "chain",
        trace.Request(0.0, "catalog", path="/books", next="archive/listings"),
    ),
)


def main(arguments=None):
    """Measure and print everything; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="duration of each turn"
    )
    parser.add_argument("--rate", type=float, default=RATE, help="calls per second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", help="directory for the processes' output")
    parser.add_argument("--only", choices=("daemons", "layers"))
    parser.add_argument("--case", choices=[case.name for case in CASES])
    options = parser.parse_args(arguments)
    try:
        with processes.keep_output(options.output) as directory:
            measure(processes.Processes(directory), options)
    except processes.NotReady as error:
        print(f"error: {error}", file=sys.stderr)
        return 1
    return 0


def measure(started, options):
    """Run the measurements that `options` select and stop all processes."""
    with started as running:
        if options.only != "daemons":
            measure_layers(running)
        if options.only != "layers":
            measure_daemons(running, options)


def measure_daemons(running, options):
    """Measure the cases, and a daemon's memory and idle processor time."""
    nodes = mesh.place_nodes(SERVICES, ZONES)
    started = mesh.start_mesh(running, nodes)
    mesh.wait_until_ready(running, started)
    mesh.wait_until_reached(running, started)
    (daemon, *_) = started.daemons
    idle = measure_idle(daemon)
    header = ("median ms", "p99 ms", "calls", "bad", "retries")
    print_row(f"{options.rate:.0f} calls/s", *header)
    for case in CASES:
        if options.case in (None, case.name):
            measure_case(case, nodes, daemon, options)
    print_row("a daemon", "MiB resident", "% of a core")
    print_row("idle", f"{idle.resident:.1f}", f"{idle.processor:.2f}")
    print_row("after the load", f"{read_usage(daemon).resident:.1f}", "")


def measure_idle(daemon):
    """Return an idle daemon's memory and its share of a core in percent."""
    before = read_usage(daemon)
    time.sleep(IDLE_SECONDS)
    after = read_usage(daemon)
    share = 100 * (after.processor - before.processor) / IDLE_SECONDS
    return Usage(after.resident, share)


def read_usage(process):
    """Return the memory and the total processor time of a process."""
    directory = pathlib.Path(f"/proc/{process.popen.pid}")
    lines = (directory / "status").read_text().splitlines()
    (resident,) = (line.split()[1] for line in lines if line.startswith("VmRSS"))
    # schedstat has nanoseconds; the 10 ms ticks of stat would be too coarse: one
    # tick is 0.1 % of IDLE_SECONDS.
    times = [
        int((task / "schedstat").read_text().split()[0])
        for task in (directory / "task").iterdir()
    ]
    return Usage(int(resident) / 1024, sum(times) / 1e9)


def measure_case(case, nodes, daemon, options):
    """Measure a case alternately with and without daemons; print both results."""
    by_service = {node.service.name: node for node in nodes}
    backend = by_service[case.request.service].backend_url
    entry = by_service["catalog"].entry_url
    senders = {
        "direct": sender.build_sender([backend], direct=True),
        "daemons": sender.build_sender([entry]),
    }
    sent = {name: [] for name in senders}
    processor_seconds = 0.0
    for turn in range(TURNS + 1):
        requests = schedule_calls(case.request, options, turn)
        for name, send in senders.items():
            threads = CALLER_THREADS
            before = read_usage(daemon).processor
            results = caller.play(requests, send, caller.Retry.NONE, threads)
            # The first turn opens connections and warms both sides up.
            if turn:
                sent[name] += [result.last for result in results]
                processor_seconds += read_usage(daemon).processor - before
    print_comparison(case.name, sent["direct"], sent["daemons"])
    each = 1000 * processor_seconds / len(sent["daemons"])
    print_row(f"{case.name} processor", f"{each:.2f}", "ms a call")


def schedule_calls(request, options, turn):
    """Return calls with Poisson arrivals at the configured rate."""
    draw = random.Random(f"{options.seed}-{turn}")
    requests, at = [], 0.0
    while (at := at + draw.expovariate(options.rate)) < options.seconds:
        requests.append(request._replace(at=at))
    return requests


def print_comparison(name, direct, through):
    """Print a case's latencies with and without daemons, difference and ratio."""
    before, after = find_quantiles(direct), find_quantiles(through)
    for label, sent, found in (("direct", direct, before), ("daemons", through, after)):
        bad = sum(not each.succeeded for each in sent)
        retries = sum(each.retries for each in sent)
        print_row(f"{name} {label}", *format_numbers(found), len(sent), bad, retries)
    pairs = tuple(zip(before, after, strict=True))
    print_row(f"{name} added", *format_numbers([high - low for low, high in pairs]))
    print_row(f"{name} ratio", *format_numbers([high / low for low, high in pairs]))


def find_quantiles(sent):
    """Return the median and the 99th percentile latency in milliseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, DIGITS)
    for each in sent:
        histogram.record_value(int(each.latency * MICROSECONDS))
    return [histogram.get_value_at_percentile(share) / 1000 for share in (50, 99)]


def measure_layers(running):
    """Measure each layer alone, with sequential calls on a persistent connection."""
    print_row("one at a time", "median ms", "p99 ms")
    layers = (
        ("socket, cheroot", "cheroot", build_socket_call),
        ("urllib3, cheroot", "cheroot", build_urllib3_call),
        ("urllib3, grafted", "cherrypy", build_urllib3_call),
        ("urllib3, page", "page", build_urllib3_call),
        ("socket, event loop", "loop", build_socket_call),
    )
    for name, layer, build_call in layers:
        (port,) = processes.find_ports(1)
        address = serving.Address(mesh.HOST, port)
        arguments = (layer, "--address", address)
        server = running.start(f"echo-{layer}", "bench.echo", arguments)
        running.wait_until(name, lambda at=address: can_connect(at), 20.0)
        histogram = time_calls(build_call(address))
        running.stop([server])
        found = [histogram.get_value_at_percentile(share) / 1000 for share in (50, 99)]
        print_row(name, *format_numbers(found))


def can_connect(address):
    """Return whether a server accepts connections at an address."""
    try:
        socket.create_connection(tuple(address), timeout=1.0).close()
    except OSError:
        return False
    return True


def time_calls(call):
    """Make sequential calls; return a histogram of their microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, DIGITS)
    for number in range(LAYER_WARM_UP + LAYER_CALLS):
        began = time.perf_counter()
        call()
        latency = time.perf_counter() - began
        if number >= LAYER_WARM_UP:
            histogram.record_value(int(latency * MICROSECONDS))
    return histogram


def build_socket_call(address):
    """Return a function that makes a call over a bare socket.

    It adds almost no client time, so that its latency is that of the server.
    """
    connection = socket.create_connection(tuple(address))
    request = f"GET / HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def call():
        connection.sendall(request)
        connection.recv(65536)

    return call


def build_urllib3_call(address):
    """Return a function that makes a call with urllib3 on a persistent connection."""
    pool = urllib3.HTTPConnectionPool(address.host, address.port, retries=False)
    return lambda: pool.request("GET", "/").data


def format_numbers(values):
    """Format numbers with two decimal places."""
    return [f"{value:.2f}" for value in values]


def print_row(name, *cells):
    """Print one row of a table and flush it."""
    print(f"{name:<18}" + "".join(f"{cell:>14}" for cell in cells), flush=True)


if __name__ == "__main__":
    sys.exit(main())
