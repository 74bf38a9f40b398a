"""Randomized scenarios: a mesh, a load and disruptions generated from a seed."""

import random
from typing import NamedTuple

from . import backend, caller, load, mesh, samplemesh

ZONES = ("a", "b", "c")
MAX_DEPTH = 4
MAX_WIDTH = 2
MAX_CALLS = 3
MAX_ENDPOINTS = 3
MIN_SLOTS, MAX_SLOTS = 2, 16
MIN_WORK_SECONDS, MAX_WORK_SECONDS = 0.003, 0.05
# Share of the slots in use at the base load, in the most utilized service.
MIN_UTILIZATION, MAX_UTILIZATION = 0.2, 0.8
# Backend runs per second at the base load. A single process emulates all parts of
# the mesh, which bounds its throughput.
MAX_RUNS_PER_SECOND = 80.0
CALL_TIMEOUT_SECONDS = 2.0
DEADLINE_SECONDS, OBJECTIVE_SECONDS = 3.0, 1.0
PHASE_SECONDS = 1.2, 1.5, 1.8
MAX_BURST_FACTOR = 3.0
MAX_DISRUPTIONS = 4
MIN_DISRUPTION_TIME, MAX_DISRUPTION_TIME = 0.3, 3.0
INTERNAL_PREFIX = "/inner/"
MAX_WORKSPACES = 4
# Quota of a workspace as a factor on the rate of its requests at the base load.
MIN_QUOTA_FACTOR, MAX_QUOTA_FACTOR = 0.3, 2.0
MIN_QUOTA_RATE = 1.0


class ScheduledDisruption(NamedTuple):
    """Name of a disruption and its time in seconds from the start of the load."""

    disruption: str
    at: float


class Scenario(NamedTuple):
    """A mesh with its configuration, its load and its disruptions.

    Attributes:
        seed: Seed from which the scenario was generated.
        zones: Availability zones.
        services: `mesh.Service` tuples; those at which root requests enter come
            first.
        configuration: Configuration as the operator writes it.
        flows: `load.Flow` tuples.
        phases: `load.Phase` tuples.
        disruptions: `ScheduledDisruption` tuples, ordered by time.
    """

    seed: int
    zones: tuple[str, ...]
    services: tuple[mesh.Service, ...]
    configuration: dict
    flows: tuple[load.Flow, ...]
    phases: tuple[load.Phase, ...]
    disruptions: tuple[ScheduledDisruption, ...]


class Kind(NamedTuple):
    """A kind of request: route name, path prefix, and whether repeating it is safe."""

    route: str
    prefix: str
    is_safe: bool


def draw_scenario(seed, disruptions, factor=1):
    """Return the `Scenario` of a seed.

    Args:
        seed: Any integer.
        disruptions: Names of the disruptions to choose from.
        factor: Factor on the number of endpoints of each service.
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
        if kind.prefix != INTERNAL_PREFIX
    ]
    scale = _find_rate_factor(draw, services, flows)
    burst = draw.uniform(1.0, MAX_BURST_FACTOR)
    usual, peak, rest = PHASE_SECONDS
    scheduled = (
        ScheduledDisruption(
            draw.choice(disruptions),
            draw.uniform(MIN_DISRUPTION_TIME, MAX_DISRUPTION_TIME),
        )
        for _ in range(draw.randint(1, MAX_DISRUPTIONS))
    )
    return Scenario(
        seed,
        zones,
        services,
        {"version": "r1", "routes": routes, "services": {}, "limits": {}},
        tuple(flow._replace(rate=flow.rate * scale) for flow in flows),
        (load.Phase(usual), load.Phase(peak, burst), load.Phase(rest)),
        tuple(sorted(scheduled, key=lambda disruption: disruption.at)),
    )


def add_workspaces(scenario):
    """Return a scenario whose requests carry keys of workspaces with quotas.

    All else stays as it was drawn.
    """
    draw = random.Random(f"workspaces {scenario.seed}")
    names = [f"w{number}" for number in range(draw.randint(1, MAX_WORKSPACES))]
    keys = {name: [f"key-{name}-{draw.getrandbits(40):x}"] for name in names}
    flows, rates = [], dict.fromkeys(names, 0.0)
    for flow in scenario.flows:
        name = draw.choice(names)
        rates[name] += flow.rate
        flows.append(flow._replace(kind=flow.kind._replace(key=keys[name][0])))
    routes = {
        name: {**route, "public": route["path_prefix"] == INTERNAL_PREFIX}
        for name, route in scenario.configuration["routes"].items()
    }
    workspaces = {
        name: {
            "api_keys": keys[name],
            "priority": draw.randint(0, 1),
            **_draw_quota(draw, rates[name]),
        }
        for name in names
    }
    configuration = {
        **scenario.configuration,
        "routes": routes,
        "tenants": workspaces,
    }
    return scenario._replace(flows=tuple(flows), configuration=configuration)


def _draw_quota(draw, rate):
    rate *= draw.uniform(MIN_QUOTA_FACTOR, MAX_QUOTA_FACTOR)
    rate = round(max(rate, MIN_QUOTA_RATE), 1)
    return {"rate_per_s": rate, "burst": rate}


def name_host(service):
    """Return the Host header of requests for a service."""
    return f"{service}.example"


def _draw_layers(draw, factor):
    """Return one list of services per layer of the call graph, the top layer first.

    Each layer calls only the layer after it.
    """
    below, layers = (), []
    depth = draw.randint(2, MAX_DEPTH)
    for level in reversed(range(depth)):
        names = [f"s{level}{n}" for n in range(draw.randint(1, MAX_WIDTH))]
        layer = [_draw_service(draw, name, below, factor) for name in names]
        layers.insert(0, layer)
        below = tuple(service.name for service in layer)
    return layers


def _draw_service(draw, name, below, factor):
    endpoints = factor * draw.randint(2, MAX_ENDPOINTS)
    slots = draw.randint(MIN_SLOTS, MAX_SLOTS)
    prefixes = [INTERNAL_PREFIX, "/read/"] + ["/write/"] * draw.randint(0, 1)
    work_by_prefix = {prefix: _draw_work(draw, below) for prefix in prefixes}
    return mesh.Service(name, endpoints, slots, work_by_prefix)


def _draw_work(draw, below):
    calls = tuple(
        backend.Call(
            name_host(draw.choice(below)), INTERNAL_PREFIX, CALL_TIMEOUT_SECONDS
        )
        for _ in range(draw.randint(1, MAX_CALLS) if below else 0)
    )
    seconds = draw.uniform(MIN_WORK_SECONDS, MAX_WORK_SECONDS)
    return backend.Work(seconds, calls, draw.randint(100, 4000))


def _list_kinds(service):
    return [
        Kind(f"{service.name}-{prefix.strip('/')}", prefix, prefix != "/write/")
        for prefix in service.work_by_prefix
    ]


def _draw_route(draw, service, kind):
    repeatable = "safe" if kind.is_safe else "unsafe"
    priority = draw.randint(0, 2)
    host, timeout = name_host(service.name), int(1000 * DEADLINE_SECONDS)
    return samplemesh.build_route(
        host, kind.prefix, service.name, repeatable, priority, timeout, 1000
    )


def _draw_flow(draw, service, kind):
    request_kind = caller.Kind(
        name_host(service.name),
        f"{kind.prefix}1",
        "GET" if kind.is_safe else "POST",
        DEADLINE_SECONDS,
        OBJECTIVE_SECONDS,
        retries=draw.randint(0, 2),
        honors_retry_after=draw.random() < 0.8,
    )
    return load.Flow(kind.route, request_kind, draw.uniform(0.2, 1.0))


def _find_rate_factor(draw, services, flows):
    """Return the factor on all rates that yields the chosen utilization.

    The utilization is that of the most utilized service.
    """
    seconds, runs = dict.fromkeys((s.name for s in services), 0.0), 0.0
    by_host = {name_host(service.name): service for service in services}

    def add_requests(host, path, rate):
        nonlocal runs
        service = by_host[host]
        work = next(w for p, w in service.work_by_prefix.items() if path.startswith(p))
        seconds[service.name] += rate * work.seconds
        runs += rate
        for call in work.calls:
            add_requests(call.host, call.path, rate)

    for flow in flows:
        add_requests(flow.kind.host, flow.kind.path, flow.rate)
    utilization = draw.uniform(MIN_UTILIZATION, MAX_UTILIZATION)
    most_utilized = max(seconds[s.name] / (s.endpoints * s.slots) for s in services)
    return min(utilization / most_utilized, MAX_RUNS_PER_SECOND / runs)
