"""Plans of the simulated overload scenarios.

The load of a scenario is relative to the capacity of its bottleneck service.
The decision modules don't receive this capacity.
"""

from typing import NamedTuple

from whinwinch.messages import Importance

from .fakes import NETWORK_DELAY_SECONDS, Fault, Plan, Service, Stream

# Bottleneck service: 4 endpoints with 8 slots each, 0.2 s per request.
SLOTS = 8
WORK = 0.2
ENDPOINTS = 4
CAPACITY = SLOTS * ENDPOINTS / WORK


def make_chain(depth, narrow=None):
    """Return a chain of services with one bottleneck, the last service by default."""
    narrow = depth - 1 if narrow is None else narrow
    services = []
    for index in range(depth):
        downstream = (f"s{index + 1}",) if index + 1 < depth else ()
        service = Service(f"s{index}", downstream=downstream)
        if index == narrow:
            service = service._replace(work=WORK, slots=SLOTS, endpoints=ENDPOINTS)
        services.append(service)
    return tuple(services)


def find_capacity(services):
    """Return the capacity of the bottleneck service in requests per second.

    A request occupies a slot during its service time and its nested calls.
    """
    by_name = {service.name: service for service in services}

    def hold(service):
        below = [
            hold(by_name[callee]) + 2.0 * NETWORK_DELAY_SECONDS
            for callee in service.downstream
        ]
        return service.work + max(below, default=0.0)

    return min(each.slots * each.endpoints / hold(each) for each in services)


def make_steady(rate, **more):
    """Return a stream with a constant rate in requests per second."""
    return Stream(phases=((0.0, rate),), **more)


def plan_overload(depth, factor, seconds, narrow=None, **more):
    """Return a plan of demand above capacity from clients that retry."""
    services = make_chain(depth, narrow)
    streams = (make_steady(find_capacity(services) * factor),)
    return Plan(services, streams, seconds, **more)


def plan_importance(factor, seconds, **more):
    """Return a plan of critical requests at half the capacity in an overload."""
    streams = (
        make_steady(CAPACITY * 0.5, importance=Importance.CRITICAL),
        make_steady(CAPACITY * factor),
    )
    return Plan(make_chain(6), streams, seconds, **more)


def plan_recovery(depth, seconds, **more):
    """Return a plan of demand that falls from 5 to 0.7 times the capacity."""
    phases = ((0.0, CAPACITY * 5.0), (seconds / 2.0, CAPACITY * 0.7))
    return Plan(make_chain(depth), (Stream(phases),), seconds, **more)


def plan_hot(dimension, seconds, **more):
    """Return a plan in which one caller or path of ten sends 20 times its share.

    The nine others send half their share.
    """
    share = CAPACITY / 10.0
    streams = [make_steady(20.0 * share, **{dimension: "/hot"})]
    streams += [make_steady(0.5 * share, **{dimension: f"/{i}"}) for i in range(9)]
    return Plan(make_chain(3), tuple(streams), seconds, **more)


def plan_endpoint(fault, load, seconds, **more):
    """Return a plan with a faulty endpoint among four in the middle of a chain.

    `load` is the demand as a share of the capacity of all four.
    """
    faults = ((1, fault),) if fault else ()
    services = (
        Service("s0", downstream=("s1",)),
        Service("s1", work=0.02, slots=8, downstream=("s2",), faults=faults),
        Service("s2"),
    )
    streams = (make_steady(load * find_capacity(services)),)
    return Plan(services, streams, seconds, **more)


def plan_all_bad(seconds, **more):
    """Return a plan in which all endpoints are ten times slower.

    The demand remains within their reduced capacity.
    """
    fault = Fault(slowdown=10.0)
    faults = tuple((index, fault) for index in range(ENDPOINTS))
    services = (
        Service("s0", downstream=("s1",)),
        Service("s1", work=0.02, slots=8, faults=faults),
    )
    return Plan(services, (make_steady(0.7 * CAPACITY),), seconds, **more)


def plan_long(share, seconds, **more):
    """Return a plan with short jobs and a share of jobs 100 times as long.

    The long jobs alone exceed the capacity of the slots.
    """
    rate = 400.0
    streams = [make_steady(rate * (1.0 - share), call="short")]
    if share:
        streams.append(make_steady(rate * share, call="long", work=100.0))
    services = (Service("s0", work=0.01, slots=5),)
    return Plan(services, tuple(streams), seconds, **more)


def plan_fan_out(factor, seconds, **more):
    """Return a plan in which each request makes four concurrent nested calls.

    One of the called services is the bottleneck.
    """
    downstream = ("s1", "s2", "s3", "s4")
    services = (
        Service("s0", downstream=downstream),
        Service("s1", work=0.02),
        Service("s2", work=0.02),
        Service("s3", work=0.02),
        Service("s4", work=WORK, slots=SLOTS),
    )
    return Plan(services, (make_steady(CAPACITY * factor),), seconds, **more)


class Mesh(NamedTuple):
    """Sizes of a deployment's services.

    Attributes:
        endpoints: Number of endpoints of each service.
        slots: Slots of each endpoint of the bottleneck service.
        work: Assumed mean service time of the bottleneck service in seconds.
        wide: Slots of each endpoint of the other services.
    """

    endpoints: int
    slots: int
    work: float
    wide: int


PRESS = Mesh(endpoints=4, slots=10, work=0.2, wide=70)
CONSORCIO = Mesh(endpoints=3, slots=50, work=0.5, wide=150)


def plan_mesh(mesh, seconds, **more):
    """Return a plan of 5, then 0.7 times the capacity of a deployment."""
    wide = [
        Service(
            f"s{i}",
            slots=mesh.wide,
            endpoints=mesh.endpoints,
            downstream=(f"s{i + 1}",),
        )
        for i in range(3)
    ]
    narrow = Service("s3", mesh.work, mesh.slots, mesh.endpoints)
    services = (*wide, narrow)
    capacity = find_capacity(services)
    phases = ((0.0, capacity * 5.0), (seconds / 2.0, capacity * 0.7))
    return Plan(services, (Stream(phases),), seconds, **more)
