"""What a daemon adds to a call, and what it takes while idle (``make bench``).

Three ways through daemons are held against the same requests sent straight to
the backend servers, at 107 calls a second and as many out again, the load of a
daemon in two years:

- entry: the daemon that the caller enters by guards the service wanted;
- remote: it hands the call to the daemon of another service;
- chain: its backend server calls another service on, through it.

With and without daemons take turns, so that what else the machine does meets
both alike. Then the layers of the path by themselves, one call at a time, and
the resident memory and processor time of a daemon. Backend servers take no
service time of their own.
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
CALLERS_THREADS = 32
TURNS = 3
IDLE_SECONDS = 10.0
LAYER_CALLS = 1500
LAYER_WARM_UP = 200
# Microseconds; three digits keep a hundredth of the 1.4 ms allowed apart.
LONGEST = 60_000_000
DIGITS = 3
MICROSECONDS = 1_000_000

SERVICES = (
    mesh.Service("catalog", 70, 500, 0.0),
    mesh.Service("archive", 70, 500, 0.0),
)
ZONES = ("zone-1",)


class Case(NamedTuple):
    """One way through daemons.

    Attributes:
        name: Name in the table.
        request: The request to repeat.
    """

    name: str
    request: trace.Request


class Usage(NamedTuple):
    """What a process has taken.

    Attributes:
        resident: Resident memory in MiB.
        processor: Processor time in seconds.
    """

    resident: float
    processor: float


# All of them enter by the catalog's daemon.
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
    parser.add_argument("--seconds", type=float, default=6.0, help="of each turn")
    parser.add_argument("--rate", type=float, default=RATE, help="calls a second")
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
    """Measure what is asked for and stop all processes."""
    with started as running:
        if options.only != "daemons":
            measure_layers(running)
        if options.only != "layers":
            measure_daemons(running, options)


def measure_daemons(running, options):
    """Measure the cases, then a daemon's memory and processor time."""
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
    """Return the memory of an idle daemon and its share of a core in percent."""
    before = read_usage(daemon)
    time.sleep(IDLE_SECONDS)
    after = read_usage(daemon)
    share = 100 * (after.processor - before.processor) / IDLE_SECONDS
    return Usage(after.resident, share)


def read_usage(process):
    """Read what a process has taken so far."""
    directory = pathlib.Path(f"/proc/{process.popen.pid}")
    lines = (directory / "status").read_text().splitlines()
    (resident,) = (line.split()[1] for line in lines if line.startswith("VmRSS"))
    # Processor time in schedstat is in nanoseconds, where stat counts ticks of
    # 10 ms, a tenth of a percent over the whole of IDLE_SECONDS.
    times = [
        int((task / "schedstat").read_text().split()[0])
        for task in (directory / "task").iterdir()
    ]
    return Usage(int(resident) / 1024, sum(times) / 1e9)


def measure_case(case, nodes, daemon, options):
    """Play a case with and without daemons in turns and print both."""
    by_service = {node.service.name: node for node in nodes}
    backend = by_service[case.request.service].backend_url
    entry = by_service["catalog"].entry_url
    senders = {
        "direct": sender.build_sender([backend], direct=True),
        "daemons": sender.build_sender([entry]),
    }
    sent = {name: [] for name in senders}
    taken = 0.0
    for turn in range(TURNS + 1):
        requests = schedule_calls(case.request, options, turn)
        for name, send in senders.items():
            threads = CALLERS_THREADS
            before = read_usage(daemon).processor
            results = caller.play(requests, send, caller.Retry.NONE, threads)
            # The first turn opens connections and warms both sides up.
            if turn:
                sent[name] += [result.last for result in results]
                taken += read_usage(daemon).processor - before
    print_comparison(case.name, sent["direct"], sent["daemons"])
    each = 1000 * taken / len(sent["daemons"])
    print_row(f"{case.name} processor", f"{each:.2f}", "ms a call")


def schedule_calls(request, options, turn):
    """Return calls with Poisson arrivals at the rate asked for."""
    draw = random.Random(f"{options.seed}-{turn}")
    requests, at = [], 0.0
    while (at := at + draw.expovariate(options.rate)) < options.seconds:
        requests.append(request._replace(at=at))
    return requests


def print_comparison(name, direct, through):
    """Print a case's latencies, their difference and their ratio."""
    before, after = find_quantiles(direct), find_quantiles(through)
    for label, sent, found in (("direct", direct, before), ("daemons", through, after)):
        bad = sum(not each.succeeded for each in sent)
        retries = sum(each.retries for each in sent)
        print_row(f"{name} {label}", *format_numbers(found), len(sent), bad, retries)
    pairs = tuple(zip(before, after, strict=True))
    print_row(f"{name} added", *format_numbers([high - low for low, high in pairs]))
    print_row(f"{name} ratio", *format_numbers([high / low for low, high in pairs]))


def find_quantiles(sent):
    """Return median and 99th percentile of latencies, in milliseconds."""
    histogram = HdrHistogram(1, LONGEST, DIGITS)
    for each in sent:
        histogram.record_value(int(each.latency * MICROSECONDS))
    return [histogram.get_value_at_percentile(share) / 1000 for share in (50, 99)]


def measure_layers(running):
    """Measure each layer by itself, one call at a time on a kept connection."""
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
    """Return whether a server listens."""
    try:
        socket.create_connection(tuple(address), timeout=1.0).close()
    except OSError:
        return False
    return True


def time_calls(call):
    """Make calls one after the other and return a histogram of microseconds."""
    histogram = HdrHistogram(1, LONGEST, DIGITS)
    for number in range(LAYER_WARM_UP + LAYER_CALLS):
        began = time.perf_counter()
        call()
        taken = time.perf_counter() - began
        if number >= LAYER_WARM_UP:
            histogram.record_value(int(taken * MICROSECONDS))
    return histogram


def build_socket_call(address):
    """Return a call by a bare socket, which shows what the server alone takes."""
    connection = socket.create_connection(tuple(address))
    request = f"GET / HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def call():
        connection.sendall(request)
        connection.recv(65536)

    return call


def build_urllib3_call(address):
    """Return a call by urllib3 on a kept connection."""
    pool = urllib3.HTTPConnectionPool(address.host, address.port, retries=False)
    return lambda: pool.request("GET", "/").data


def format_numbers(values):
    """Return numbers with two digits."""
    return [f"{value:.2f}" for value in values]


def print_row(name, *cells):
    """Print one row of a table at once."""
    print(f"{name:<18}" + "".join(f"{cell:>14}" for cell in cells), flush=True)


if __name__ == "__main__":
    sys.exit(main())
