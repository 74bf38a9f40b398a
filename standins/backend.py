"""A stand-in backend server, which announces itself to its daemon.

It serves any path and method. A request occupies a slot for its service time,
then makes its nested calls. The response is a JSON object that identifies the
service and the request:
``{"service", "address", "path", "marker", "request", "below", "filler"}``, where
``marker`` is the query's and ``below`` lists the responses of the nested calls.

Query parameters of a request:

- ``marker=TEXT``: returned in the response, and in those of all nested calls.
- ``next=submissions/status,archive``: calls the first service and passes the
  others on as its ``next``. A service without a path gets this request's path.
- ``work=FACTOR``: factor on the service time, here and in nested calls.
- ``size=CHARACTERS``: length of the filler, which repeats the marker.
- ``direct=1``: nested calls bypass the daemons and go to the backend servers
  listed by ``--direct``, so that a chain can be measured without daemons.

When the deadline (``Whinwinch-Timeout``, milliseconds) passes, a request that
waits for a slot gets 503 and one in service 504. ``X-Request-Id`` is the only
header that is propagated to nested calls.

Each execution is counted by ``Idempotency-Key`` and by marker (or, without a
marker, by ``X-Request-Id``) as soon as it has a slot, even if its response is
lost later. ``GET /ran`` returns both counts.

Other endpoints: ``GET /load``, ``GET /health``, ``GET /stats`` and ``POST
/faults`` (see `work.Faults`). On SIGTERM the backend server withdraws its
announcement, completes the requests that it has or still receives, and stops.
"""

import argparse
import json
import math
import threading
import time
from typing import NamedTuple

from . import announcement, outgoing, serving, work

# Threads in addition to slots and queue, so that /load and /health are answered
# and requests are shed while all slots and the whole queue are occupied.
SPARE_THREADS = 16

DRAIN_TIMEOUT = 15.0  # seconds
# Seconds for which requests that the daemon sent before it received the withdrawal
# are still accepted.
WITHDRAWAL_DELAY = 0.3
COLD_FACTOR = 4.0
MAX_SLOT_WAIT = 5.0  # seconds
RETRY_AFTER = "1"  # seconds, as the header's value


class Settings(NamedTuple):
    """Settings of a stand-in backend server.

    Attributes:
        service: Name of the service.
        slots: Maximum number of requests in service at once.
        service_time: Seconds for which a request occupies its slot, without the
            waiting time.
        queue: Maximum number of requests that wait for a slot.
        connections: Maximum number of connections that is announced.
        cold: Seconds after the start during which the service is slower.
        daemon: URL of its daemon, "" for none.
        calls: Nested calls that every request makes.
        direct: Addresses of backend servers by service name.
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
    """Create a backend server that is bound to its address.

    Args:
        address: `serving.Address`.
        settings: `Settings`.

    Returns:
        The server and its `work.Work`.
    """
    load = work.Work(settings.slots, settings.queue)
    threads = settings.slots + settings.queue + SPARE_THREADS
    serve = build_service(settings, load)
    server = serving.build_server(address, build_handler(load, serve), threads)
    return server, load


def build_handler(load, serve):
    """Return the request handler of a backend server.

    Args:
        load: `work.Work`.
        serve: Function from the WSGI environ to the `serving.Reply` of a request
            to the service itself.
    """

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
    """Set the faults in a JSON body and reply with the faults in effect."""
    try:
        load.set_faults(json.loads(body))
    except (ValueError, AttributeError) as error:
        return serving.form_json(400, {"error": str(error)})
    return serving.form_json(200, load.faults)


def build_service(settings, load):
    """Return the function that executes requests to the service.

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
        deadline = time.monotonic() + get_remaining_time(environ)
        try:
            with load.hold_slot(min(get_remaining_time(environ), MAX_SLOT_WAIT)):
                return run(environ, query, deadline - time.monotonic())
        except work.Shed:
            retry = (("Retry-After", RETRY_AFTER),)
            return serving.form_json(503, {"error": "no slot"}, retry)

    def run(environ, query, remaining):
        request = environ.get("HTTP_X_REQUEST_ID", "")
        # A daemon assigns a new identifier to each attempt; the marker is the
        # caller's identifier, the same along the whole call chain.
        marker = query.get("marker") or request
        load.count_run(marker, environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        factor = float(query.get("work", 1)) * load.faults["slow"]
        service_time = find_service_time(factor)
        time.sleep(max(0.0, min(service_time, remaining)))
        if service_time > remaining:
            return serving.form_json(504, {"error": "deadline"})
        path = environ["PATH_INFO"]
        calls = settings.calls + outgoing.parse_next(query.get("next", ""), path)
        below = [make_call(call, request, query) for call in calls]
        return inject_faults(build_reply(settings, path, request, query, below), load)

    return serve


def get_remaining_time(environ):
    """Return the seconds until the deadline, infinite when there is none."""
    timeout = environ.get("HTTP_WHINWINCH_TIMEOUT", "")
    return int(timeout) / 1000 if timeout.isdecimal() else math.inf


def build_reply(settings, path, request, query, below):
    """Return the reply to a request whose nested calls have ended.

    If one of them failed, the reply is 503 for a 503 and 502 otherwise.
    """
    failed = next((result for result in below if result.status >= 400), None)
    if failed:
        status = 503 if failed.status == 503 else 502
        retry = (("Retry-After", failed.retry_after),) if failed.retry_after else ()
        return serving.form_json(status, {"error": "a nested call failed"}, retry)
    marker = query.get("marker", "")
    value = {
        "service": settings.service,
        "path": path,
        "marker": marker,
        "request": request,
        "below": [result.answer for result in below],
        "filler": fill(marker, int(query.get("size", 0))),
    }
    return serving.form_json(200, value)


def fill(marker, size):
    """Return `size` characters that repeat the marker."""
    unit = marker or "-"
    return (unit * (size // len(unit) + 1))[:size]


def inject_faults(reply, load):
    """Apply the faults that are set to a reply."""
    if load.consume_fault("lose_answers"):
        serving.break_connection()
    if load.consume_fault("errors"):
        return serving.form_json(500, {"error": "injected fault"})
    if load.consume_fault("half"):
        return reply._replace(part=len(reply.body) // 2)
    return reply


def parse_settings(arguments):
    """Parse the command line; return the address and the `Settings`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--address", type=serving.parse_address, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--service-time", type=float, required=True, help="seconds")
    parser.add_argument(
        "--queue", type=int, help="maximum length of the queue; default: slots"
    )
    parser.add_argument("--connections", type=int, default=500)
    parser.add_argument("--cold", type=float, default=0.0, help="seconds")
    parser.add_argument(
        "--daemon", default="", help="URL, for example http://127.0.0.1:PORT"
    )
    parser.add_argument("--calls", type=outgoing.parse_calls, default=())
    parser.add_argument("--direct", type=outgoing.parse_direct, default={})
    options = vars(parser.parse_args(arguments))
    address = options.pop("address")
    if options["queue"] is None:
        options["queue"] = options["slots"]
    return address, Settings(**options)


def main(arguments=None):
    """Serve until SIGTERM or SIGINT, then complete pending requests and stop."""
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
    time.sleep(WITHDRAWAL_DELAY)
    load.wait_until_idle(DRAIN_TIMEOUT)
    server.stop()


if __name__ == "__main__":
    main()
