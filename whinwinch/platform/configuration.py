"""The operator's configuration, read into the product's routes and limits."""

import json
import math
from typing import NamedTuple

from ..errors import Finding, raise_findings
from ..http1.server import Limits
from ..messages import Importance
from ..routes import Route, RouteTable, WeightedService
from .values import parse_duration, parse_version

# The platform ranks from 0, the highest; what is beyond the last is LOW.
_RANKS = (Importance.CRITICAL, Importance.HIGH, Importance.NORMAL)
# Requests of this kind may run more than once.
_REPEATABLE_KIND = "safe"
_KINDS = (_REPEATABLE_KIND, "unsafe")


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        table: The routes, with the version.
        limits: What callers may send.
    """

    table: RouteTable
    limits: Limits


def parse_configuration(data):
    """Return the `Configuration` of the operator's bytes.

    A route that can't be read is left out with a finding of its own only where
    the whole can't be used: half a configuration would turn requests away.

    Raises:
        InputErrors: With every place that can't be read.
        ValueError: When it isn't JSON or has no version.
    """
    document = json.loads(data)
    if not isinstance(document, dict):
        raise ValueError("the configuration must be a table")
    version = parse_version(document.get("version"))
    findings, routes = [], []
    for name, fields in _list_items(document.get("routes")):
        try:
            routes.append(_parse_route(name, fields))
        except (KeyError, TypeError, ValueError) as error:
            findings.append(Finding(f"routes.{name}", f"{error!r}"))
    raise_findings(f"configuration {version} can't be read", findings)
    limits = _parse_limits(document.get("limits") or {})
    return Configuration(RouteTable(version, routes), limits)


def _list_items(routes):
    """Return pairs of name and fields, from a table or a list of tables."""
    if isinstance(routes, dict):
        return tuple(routes.items())
    return tuple((fields.get("name", ""), fields) for fields in routes or ())


def _parse_route(name, fields):
    kind = fields["kind"]
    if kind not in _KINDS:
        raise ValueError(f"kind {kind!r} isn't known")
    return Route(
        name=name,
        host=fields["host"].lower(),
        path_prefix=fields["path_prefix"],
        weighted_services=_parse_parts(fields),
        repeatable=kind == _REPEATABLE_KIND,
        importance=_rank(fields.get("priority")),
        timeout=_parse_time(fields.get("timeout")),
        objective=_parse_time(fields.get("target_latency")),
        max_endpoints=max(1, int(fields.get("max_attempts") or 1)),
    )


def _parse_parts(fields):
    if fields.get("service"):
        return (WeightedService(fields["service"], 1),)
    parts = tuple(
        WeightedService(part["service"], int(part["weight"]))
        for part in fields["weighted_services"]
        if int(part["weight"]) > 0
    )
    if not parts:
        raise ValueError("leads to no service")
    return parts


def _rank(priority):
    if priority is None:
        return Importance.NORMAL
    if 0 <= int(priority) < len(_RANKS):
        return _RANKS[int(priority)]
    return Importance.LOW


def _parse_time(text):
    return parse_duration(text) if text else math.inf


def _parse_limits(fields):
    usual = Limits()
    return Limits(
        int(fields.get("max_header_bytes") or usual.header_bytes),
        int(fields.get("max_body_bytes") or usual.body_bytes),
        parse_duration(fields.get("header_timeout") or f"{usual.header_seconds}s"),
        parse_duration(fields.get("idle_timeout") or f"{usual.idle_seconds}s"),
    )
