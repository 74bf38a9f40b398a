"""Gauges of a daemon's current state, for its metrics page."""

from . import loadlog
from .metrics import Gauge, Label
from .workspaces import usages

# Workspaces with a series of their own, those with most requests first.
MAX_WORKSPACES = 32


def list_gauges(instance, now):
    """Return the `metrics.Gauge` tuples of an `instance.Instance`.

    Args:
        instance: The instance.
        now: Time of the event loop's clock in seconds.
    """
    load = instance.guard.load()
    usage = instance.guard.measure_usage()
    endpoint = instance.endpoint
    gauges = [
        Gauge(
            "backend",
            1,
            build_labels(
                service=endpoint.service,
                zone=endpoint.zone,
                state="leaving" if endpoint.leaving else "ready",
            ),
        ),
        Gauge("slots", endpoint.slots),
        Gauge("ended_total", usage.ended),
        Gauge("slot_seconds_total", usage.seconds),
        Gauge("in_service", load.in_service),
        Gauge("waiting", load.waiting),
        Gauge("limit", load.limit),
        Gauge("links", instance.peers.count_connected()),
        Gauge("configuration_version", instance.table.version),
        Gauge("configuration_age_seconds", instance.find_table_age(now)),
    ]
    connections = instance.guard.connection_counts
    gauges += [
        Gauge("backend_connections_total", connections.opened),
        Gauge("backend_unexpected_data_total", connections.unexpected),
        Gauge("backend_answers_dropped_total", instance.guard.dropped_answers),
    ]
    gauges += [
        Gauge("level", level, (Label("route", name),))
        for name, level in instance.list_levels()
    ]
    for sent in instance.traffic.list_sent():
        labels = build_labels(kind=sent.kind, place=sent.place)
        gauges.append(Gauge("sent_bytes_total", sent.size, labels))
        gauges.append(Gauge("sent_messages_total", sent.frames, labels))
    gauges += [
        Gauge("retries_total", count, build_labels(route=name))
        for name, count in instance.forwarder.repeated.items()
    ]
    gauges += [
        Gauge("set_aside", 1, build_labels(endpoint=address))
        for address in instance.forwarder.list_set_aside()
    ]
    for refused in loadlog.list_refusals(instance):
        labels = build_labels(at=refused.at, route=refused.route, reason=refused.reason)
        gauges.append(Gauge("refusals_total", refused.count, labels))
    for usage in instance.ledger.list_busiest(now, MAX_WORKSPACES):
        labels = build_labels(workspace=usage.workspace)
        demand, admitted = sum(usage.demand), usage.admitted
        gauges.append(Gauge("workspace_demand", demand / usages.RATE_SCALE, labels))
        gauges.append(Gauge("workspace_admitted", admitted / usages.RATE_SCALE, labels))
    return gauges


def build_labels(**values):
    """Return `metrics.Label` tuples from keyword arguments."""
    return tuple(Label(name, value) for name, value in values.items())
