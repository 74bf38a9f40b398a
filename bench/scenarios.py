"""The scenarios under which the decisions are measured.

Each is a plan for the fakes and a target on what callers receive. The capacity
that a scenario is sized by is that of its narrowest service; the decision
modules aren't told it.
"""

from typing import NamedTuple

from whinwinch.messages import Importance

from .fakes import NETWORK_SECONDS, Fault, Plan, Service, Stream

# The narrowest service: 4 endpoints, 8 slots, 0.2 s of work each.
SLOTS = 8
WORK = 0.2
ENDPOINTS = 4
CAPACITY = SLOTS * ENDPOINTS / WORK


def make_chain(depth, narrow=None):
    """Return a chain of services of which one is narrow, the last by default."""
    narrow = depth - 1 if narrow is None else narrow
    services = []
    for index in range(depth):
        legs = (f"s{index + 1}",) if index + 1 < depth else ()
        service = Service(f"s{index}", legs=legs)
        if index == narrow:
            service = service._replace(work=WORK, slots=SLOTS, endpoints=ENDPOINTS)
        services.append(service)
    return tuple(services)


def find_capacity(services):
    """Return the whole requests a second that the narrowest service carries.

    A slot is held for the service's own work and for its nested calls.
    """
    by_name = {service.name: service for service in services}

    def hold(service):
        below = [hold(by_name[leg]) + 2.0 * NETWORK_SECONDS for leg in service.legs]
        return service.work + max(below, default=0.0)

    return min(each.slots * each.endpoints / hold(each) for each in services)


def make_steady(rate, **more):
    """Return a stream of one rate."""
    return Stream(phases=((0.0, rate),), **more)


def plan_overload(depth, factor, seconds, narrow=None, **more):
    """Demand above capacity, clients that retry hard."""
    services = make_chain(depth, narrow)
    streams = (make_steady(find_capacity(services) * factor),)
    return Plan(services, streams, seconds, **more)


def plan_importance(factor, seconds, **more):
    """Important requests at half the capacity among many that are not."""
    streams = (
        make_steady(CAPACITY * 0.5, importance=Importance.CRITICAL),
        make_steady(CAPACITY * factor),
    )
    return Plan(make_chain(6), streams, seconds, **more)


def plan_recovery(depth, seconds, **more):
    """An overload of 5 times the capacity that falls back to 0.7 of it."""
    phases = ((0.0, CAPACITY * 5.0), (seconds / 2.0, CAPACITY * 0.7))
    return Plan(make_chain(depth), (Stream(phases),), seconds, **more)


def plan_hot(dimension, seconds, **more):
    """One caller or key of ten asks 20 times its share, the others half."""
    share = CAPACITY / 10.0
    streams = [make_steady(20.0 * share, **{dimension: "/hot"})]
    streams += [make_steady(0.5 * share, **{dimension: f"/{i}"}) for i in range(9)]
    return Plan(make_chain(3), tuple(streams), seconds, **more)


def plan_endpoint(fault, load, seconds, **more):
    """One of four endpoints in the middle of a chain differs from its peers.

    `load` is the demand as a share of what the four carry.
    """
    faults = ((1, fault),) if fault else ()
    services = (
        Service("s0", legs=("s1",)),
        Service("s1", work=0.02, slots=8, legs=("s2",), faults=faults),
        Service("s2"),
    )
    streams = (make_steady(load * find_capacity(services)),)
    return Plan(services, streams, seconds, **more)


def plan_all_bad(seconds, **more):
    """All endpoints of a service turn ten times slower, within their capacity."""
    fault = Fault(slower=10.0)
    faults = tuple((index, fault) for index in range(ENDPOINTS))
    services = (
        Service("s0", legs=("s1",)),
        Service("s1", work=0.02, slots=8, faults=faults),
    )
    return Plan(services, (make_steady(0.7 * CAPACITY),), seconds, **more)


def plan_long(share, seconds, **more):
    """Short jobs, and a share of jobs that take 100 times as long.

    The long ones alone are more than the slots carry.
    """
    rate = 400.0
    streams = [make_steady(rate * (1.0 - share), call="short")]
    if share:
        streams.append(make_steady(rate * share, call="long", work=100.0))
    services = (Service("s0", work=0.01, slots=5),)
    return Plan(services, tuple(streams), seconds, **more)


def plan_fan_out(factor, seconds, **more):
    """A request of four legs, one of them narrow."""
    legs = ("s1", "s2", "s3", "s4")
    services = (
        Service("s0", legs=legs),
        Service("s1", work=0.02),
        Service("s2", work=0.02),
        Service("s3", work=0.02),
        Service("s4", work=WORK, slots=SLOTS),
    )
    return Plan(services, (make_steady(CAPACITY * factor),), seconds, **more)


class Mesh(NamedTuple):
    """Sizes of one of the two users, of which the narrowest service counts.

    Attributes:
        endpoints: Endpoints of the narrowest service.
        slots: Slots of each.
        work: Assumed seconds of work there.
        wide: Slots of each endpoint of the others.
    """

    endpoints: int
    slots: int
    work: float
    wide: int


PRESS = Mesh(endpoints=4, slots=10, work=0.2, wide=70)
CONSORCIO = Mesh(endpoints=3, slots=50, work=0.5, wide=150)


def plan_mesh(mesh, seconds, **more):
    """Five times the capacity of a user's narrowest service, then 0.7 of it."""
    wide = [
        Service(f"s{i}", slots=mesh.wide, endpoints=mesh.endpoints, legs=(f"s{i + 1}",))
        for i in range(3)
    ]
    narrow = Service("s3", mesh.work, mesh.slots, mesh.endpoints)
    services = (*wide, narrow)
    capacity = find_capacity(services)
    phases = ((0.0, capacity * 5.0), (seconds / 2.0, capacity * 0.7))
    return Plan(services, (Stream(phases),), seconds, **more)
