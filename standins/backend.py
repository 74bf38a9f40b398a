"""A stand-in backend server, which announces itself to the daemon beside it.

Any path is served, by any method. A request takes a slot for its service time,
then makes its own outgoing calls, and answers with JSON that says who ran what:
``{"service", "address", "path", "marker", "request", "below", "filler"}``, where
``marker`` echoes the query's and ``below`` holds the answers of the calls made.

The query of a request:

- ``marker=TEXT``: comes back in the answer, and in every answer below it.
- ``next=submissions/status,archive``: calls the first with the rest as its own
  ``next``. A service without a path gets this request's path.
- ``work=FACTOR``: factor on the service time, here and below.
- ``size=BYTES``: fills the answer with the marker, over and over.
- ``direct=1``: calls go straight to the backend servers given by ``--direct``,
  so that the same chain can be measured without daemons.

A deadline (``Whinwinch-Timeout``, milliseconds) ends the wait for a slot by 503
and the service by 504. Outgoing calls carry ``X-Request-Id`` and nothing else.

A run is counted by ``Idempotency-Key`` and by marker (without one by
``X-Request-Id``) once it holds a slot, whatever becomes of its answer;
``GET /ran`` lists both counts.

Besides: ``GET /load``, ``GET /health``, ``GET /stats``, ``POST /faults`` (see
`work.Faults`). On SIGTERM it withdraws its announcement, finishes what it has
and what still reaches it, and stops.
"""

import argparse
import json
import math
import threading
import time
from typing import NamedTuple

from . import announcement, outgoing, serving, work

# Threads beyond slots and queue, so that /load and /health answer and shedding
# works while every slot and every place in the queue is taken.
SPARE_THREADS = 16

DRAIN_TIMEOUT = 15.0
# After the withdrawal a request may still be on its way from the daemon.
LINGER = 0.3
COLD_FACTOR = 4.0
MAX_PATIENCE = 5.0
RETRY_AFTER = "1"


class Settings(NamedTuple):
    """How a backend server behaves.

    Attributes:
        service: Name of the service.
        slots: Requests in service at once.
        service_time: Seconds that a request holds its slot for by itself.
        queue: Requests that may wait for a slot.
        connections: Connections announced.
        cold: Seconds of slow service after the start.
        daemon: URL of the daemon beside it, "" for none.
        calls: Calls that every request makes.
        direct: Addresses of backend servers by service.
    """

    service: str
    slots: int
    service_time: float
    queue: int = 0
    connections: int = 500
    cold: float = 0.0
    daemon: str = ""
    calls: tuple[outgoing.Call, ...] = ()
    direct: dict[str, tuple[str, ...]] = {}


def build_server(address, settings):
    """Bind a backend server.

    Args:
        address: `serving.Address`.
        settings: `Settings`.

    Returns:
        The server and its `work.Work`.
    """
    load = work.Work(settings.slots, settings.queue)
    threads = settings.slots + settings.queue + SPARE_THREADS
    serve = build_service(settings, load)
    server = serving.build_server(address, answer_with(load, serve), threads)
    return server, load


def answer_with(load, serve):
    """Return the function that answers all requests to a backend server."""

    def answer(environ):
        at = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match at:
            case "GET", "/load":
                return serving.form_json(200, load.report_load())
            case "GET", "/health":
                status = 503 if load.faults["unhealthy"] else 200
                return serving.form_json(status, {"healthy": status == 200})
            case "GET", "/stats":
                return serving.form_json(200, load.stats)
            case "GET", "/ran":
                return serving.form_json(200, load.report_runs())
            case "POST", "/faults":
                return set_faults(load, serving.read_body(environ))
        return serve(environ)

    return answer


def set_faults(load, body):
    """Set the faults in a body and answer with those that are set now."""
    try:
        load.set_faults(json.loads(body))
    except (ValueError, AttributeError) as error:
        return serving.form_json(400, {"error": str(error)})
    return serving.form_json(200, load.faults)


def build_service(settings, load):
    """Return the function that does the service's own work.

    Args:
        settings: `Settings`.
        load: `work.Work`.
    """
    find_service_time = work.build_service_time(
        settings.service_time, settings.cold, COLD_FACTOR
    )
    make_call = outgoing.build_caller(settings)

    def serve(environ):
        query = serving.read_query(environ)
        serving.read_body(environ)
        deadline = time.monotonic() + find_time_left(environ)
        try:
            with load.hold_slot(min(find_time_left(environ), MAX_PATIENCE)):
                return run(environ, query, deadline - time.monotonic())
        except work.Shed:
            retry = (("Retry-After", RETRY_AFTER),)
            return serving.form_json(503, {"error": "no slot"}, retry)

    def run(environ, query, left):
        request = environ.get("HTTP_X_REQUEST_ID", "")
        # A daemon gives each attempt an identifier of its own; the marker is
        # the one that the caller knows, at every hop.
        marker = query.get("marker") or request
        load.count_run(marker, environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        factor = float(query.get("work", 1)) * load.faults["slow"]
        wanted = find_service_time(factor)
        time.sleep(max(0.0, min(wanted, left)))
        if wanted > left:
            return serving.form_json(504, {"error": "deadline"})
        path = environ["PATH_INFO"]
        calls = settings.calls + outgoing.parse_next(query.get("next", ""), path)
        below = [make_call(call, request, query) for call in calls]
        return spoil(form_reply(settings, path, request, query, below), load)

    return serve


def find_time_left(environ):
    """Return the seconds until nobody wants the answer, infinite without a limit."""
    timeout = environ.get("HTTP_WHINWINCH_TIMEOUT", "")
    return int(timeout) / 1000 if timeout.isdecimal() else math.inf


def form_reply(settings, path, request, query, below):
    """Return the answer to a request that ran, by what came of its calls."""
    failed = next((called for called in below if called.status >= 400), None)
    if failed:
        status = 503 if failed.status == 503 else 502
        retry = (("Retry-After", failed.retry_after),) if failed.retry_after else ()
        return serving.form_json(status, {"error": "a call below failed"}, retry)
    marker = query.get("marker", "")
    value = {
        "service": settings.service,
        "path": path,
        "marker": marker,
        "request": request,
        "below": [called.answer for called in below],
        "filler": fill(marker, int(query.get("size", 0))),
    }
    return serving.form_json(200, value)


def fill(marker, size):
    """Return `size` characters made of the marker."""
    unit = marker or "-"
    return (unit * (size // len(unit) + 1))[:size]


def spoil(reply, load):
    """Apply the faults that are set to an answer."""
    if load.take_fault("lose_answers"):
        serving.break_connection()
    if load.take_fault("errors"):
        return serving.form_json(500, {"error": "a fault that was set"})
    if load.take_fault("half"):
        return reply._replace(part=len(reply.body) // 2)
    return reply


def parse_settings(arguments):
    """Read the command line; return the address and the `Settings`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", type=serving.parse_address, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--service-time", type=float, required=True, help="seconds")
    parser.add_argument("--queue", type=int, help="places to wait; default: slots")
    parser.add_argument("--connections", type=int, default=500)
    parser.add_argument("--cold", type=float, default=0.0, help="seconds")
    parser.add_argument("--daemon", default="", help="URL, as http://127.0.0.1:PORT")
    parser.add_argument("--calls", type=outgoing.parse_calls, default=())
    parser.add_argument("--direct", type=outgoing.parse_direct, default={})
    options = vars(parser.parse_args(arguments))
    address = options.pop("address")
    if options["queue"] is None:
        options["queue"] = options["slots"]
    return address, Settings(**options)


def main(arguments=None):
    """Serve until SIGTERM, then drain."""
    address, settings = parse_settings(arguments)
    server, load = build_server(address, settings)
    serving.start_server(server)
    address = serving.find_address(server)
    print(f"{settings.service} on {address}", flush=True)
    stopping = threading.Event()
    announcer = threading.Thread(
        target=announcement.announce, args=(settings, address, stopping)
    )
    if settings.daemon:
        announcer.start()
    serving.wait_for_signal()
    stopping.set()
    if settings.daemon:
        announcer.join()
    load.wait_until_idle(DRAIN_TIMEOUT)
    time.sleep(LINGER)
    load.wait_until_idle(DRAIN_TIMEOUT)
    server.stop()


if __name__ == "__main__":
    main()
