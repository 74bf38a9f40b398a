"""Meshes, loads and troubles drawn from a seed, of shapes that nobody wrote down."""

import random
from typing import NamedTuple

from . import backend, caller, load, mesh, press

ZONES = ("a", "b", "c")
MOST_DEPTH = 4
MOST_WIDTH = 2
MOST_CALLS = 3
MOST_ENDPOINTS = 3
FEWEST_SLOTS, MOST_SLOTS = 2, 16
SHORTEST_WORK, LONGEST_WORK = 0.003, 0.05
# Of the slots of the fullest service, at the usual load.
LOWEST_USE, HIGHEST_USE = 0.2, 0.8
# Runs a second at the usual load: one process plays all parts of the mesh.
MOST_RUNS = 80.0
CALL_SECONDS = 2.0
DEADLINE, OBJECTIVE = 3.0, 1.0
PHASES_SECONDS = 1.2, 1.5, 1.8
HIGHEST_BURST = 3.0
MOST_TROUBLES = 4
FIRST_TROUBLE, LAST_TROUBLE = 0.3, 3.0
INNER = "/inner/"


class Moment(NamedTuple):
    """A trouble to come: its name, and when, in seconds from the start of the load."""

    trouble: str
    at: float


class Play(NamedTuple):
    """A mesh and what happens to it.

    Attributes:
        seed: What it was drawn from.
        zones: Availability zones.
        services: `mesh.Service` tuples, the callers' first.
        configuration: Table as the operator writes it.
        flows: `load.Flow` tuples.
        phases: `load.Phase` tuples.
        troubles: `Moment` tuples.
    """

    seed: int
    zones: tuple[str, ...]
    services: tuple[mesh.Service, ...]
    configuration: dict
    flows: tuple[load.Flow, ...]
    phases: tuple[load.Phase, ...]
    troubles: tuple[Moment, ...]


class Kind(NamedTuple):
    """One kind of request: its route's name, path prefix, and whether it may repeat."""

    route: str
    prefix: str
    is_safe: bool


def draw_play(seed, troubles, factor=1):
    """Return the `Play` of a seed.

    Args:
        seed: Any whole number.
        troubles: Names of the troubles to draw from.
        factor: Multiple of the usual number of endpoints.
    """
    draw = random.Random(seed)
    zones = ZONES[: draw.randint(1, len(ZONES))]
    layers = _draw_layers(draw, factor)
    services = tuple(service for layer in layers for service in layer)
    routes = {
        kind.route: _draw_route(draw, service, kind)
        for service in services
        for kind in _list_kinds(service)
    }
    flows = [
        _draw_flow(draw, service, kind)
        for service in layers[0] + layers[-1]
        for kind in _list_kinds(service)
        if kind.prefix != INNER
    ]
    scale = _find_scale(draw, services, flows)
    burst = draw.uniform(1.0, HIGHEST_BURST)
    usual, peak, rest = PHASES_SECONDS
    moments = (
        Moment(draw.choice(troubles), draw.uniform(FIRST_TROUBLE, LAST_TROUBLE))
        for _ in range(draw.randint(1, MOST_TROUBLES))
    )
    return Play(
        seed,
        zones,
        services,
        {"version": "r1", "routes": routes, "services": {}, "limits": {}},
        tuple(flow._replace(rate=flow.rate * scale) for flow in flows),
        (load.Phase(usual), load.Phase(peak, burst), load.Phase(rest)),
        tuple(sorted(moments, key=lambda moment: moment.at)),
    )


def name_host(service):
    """Return the host that requests for a service name."""
    return f"{service}.example"


def _draw_layers(draw, factor):
    """Return lists of services, those that callers use first."""
    below, layers = (), []
    depth = draw.randint(2, MOST_DEPTH)
    for level in reversed(range(depth)):
        names = [f"s{level}{n}" for n in range(draw.randint(1, MOST_WIDTH))]
        layer = [_draw_service(draw, name, below, factor) for name in names]
        layers.insert(0, layer)
        below = tuple(service.name for service in layer)
    return layers


def _draw_service(draw, name, below, factor):
    endpoints = factor * draw.randint(2, MOST_ENDPOINTS)
    slots = draw.randint(FEWEST_SLOTS, MOST_SLOTS)
    prefixes = [INNER, "/read/"] + ["/write/"] * draw.randint(0, 1)
    works = {prefix: _draw_work(draw, below) for prefix in prefixes}
    return mesh.Service(name, endpoints, slots, works)


def _draw_work(draw, below):
    calls = tuple(
        backend.Call(name_host(draw.choice(below)), INNER, CALL_SECONDS)
        for _ in range(draw.randint(1, MOST_CALLS) if below else 0)
    )
    seconds = draw.uniform(SHORTEST_WORK, LONGEST_WORK)
    return backend.Work(seconds, calls, draw.randint(100, 4000))


def _list_kinds(service):
    return [
        Kind(f"{service.name}-{prefix.strip('/')}", prefix, prefix != "/write/")
        for prefix in service.works
    ]


def _draw_route(draw, service, kind):
    repeatable = "safe" if kind.is_safe else "unsafe"
    priority = draw.randint(0, 2)
    host, timeout = name_host(service.name), int(1000 * DEADLINE)
    return press.build_route(
        host, kind.prefix, service.name, repeatable, priority, timeout, 1000
    )


def _draw_flow(draw, service, kind):
    asked = caller.Kind(
        name_host(service.name),
        f"{kind.prefix}1",
        "GET" if kind.is_safe else "POST",
        DEADLINE,
        OBJECTIVE,
        retries=draw.randint(0, 2),
        patient=draw.random() < 0.8,
    )
    return load.Flow(kind.route, asked, draw.uniform(0.2, 1.0))


def _find_scale(draw, services, flows):
    """Return the factor on all rates that brings the fullest service to its use."""
    seconds, runs = dict.fromkeys((s.name for s in services), 0.0), 0.0
    by_host = {name_host(service.name): service for service in services}

    def spend(host, path, rate):
        nonlocal runs
        service = by_host[host]
        work = next(w for p, w in service.works.items() if path.startswith(p))
        seconds[service.name] += rate * work.seconds
        runs += rate
        for call in work.calls:
            spend(call.host, call.path, rate)

    for flow in flows:
        spend(flow.kind.host, flow.kind.path, flow.rate)
    wanted = draw.uniform(LOWEST_USE, HIGHEST_USE)
    fullest = max(seconds[s.name] / (s.endpoints * s.slots) for s in services)
    return min(wanted / fullest, MOST_RUNS / runs)
