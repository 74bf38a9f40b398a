"""Parser of the operator's configuration into routes and limits."""

import json
import math
from typing import NamedTuple

from ..errors import Finding, raise_findings
from ..http1.server import Limits
from ..messages import Importance
from ..routes import Route, RouteTable, WeightedService
from .values import parse_duration, parse_version

# Importance by the platform's priority, of which 0 is the highest. Priorities beyond
# the last one are LOW.
_IMPORTANCES = (Importance.CRITICAL, Importance.HIGH, Importance.NORMAL)
# Routes of this kind allow requests to run more than once.
_REPEATABLE_KIND = "safe"
_KINDS = (_REPEATABLE_KIND, "unsafe")


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        table: The routes and the version of the configuration.
        limits: Limits on the requests of callers.
    """

    table: RouteTable
    limits: Limits


def parse_configuration(data):
    """Return the `Configuration` parsed from JSON bytes.

    One invalid route makes the whole configuration invalid: with only part of the
    routes, requests for the others would be refused. Each invalid route has a
    finding.

    Raises:
        InputErrors: With a finding for every invalid route.
        ValueError: When the data isn't JSON or has no version.
    """
    document = json.loads(data)
    if not isinstance(document, dict):
        raise ValueError("the configuration must be a JSON object")
    version = parse_version(document.get("version"))
    findings, routes = [], []
    for name, fields in _list_items(document.get("routes")):
        try:
            routes.append(_parse_route(name, fields))
        except (KeyError, TypeError, ValueError) as error:
            findings.append(Finding(f"routes.{name}", f"{error!r}"))
    raise_findings(f"configuration {version} has invalid routes", findings)
    limits = _parse_limits(document.get("limits") or {})
    return Configuration(RouteTable(version, routes), limits)


def _list_items(routes):
    """Return pairs of name and fields, from a JSON object or a list of objects."""
    if isinstance(routes, dict):
        return tuple(routes.items())
    return tuple((fields.get("name", ""), fields) for fields in routes or ())


def _parse_route(name, fields):
    kind = fields["kind"]
    if kind not in _KINDS:
        raise ValueError(f"unknown kind {kind!r}, must be safe or unsafe")
    return Route(
        name=name,
        host=fields["host"].lower(),
        path_prefix=fields["path_prefix"],
        weighted_services=_parse_weighted_services(fields),
        repeatable=kind == _REPEATABLE_KIND,
        importance=_parse_importance(fields.get("priority")),
        timeout=_parse_time(fields.get("timeout")),
        objective=_parse_time(fields.get("target_latency")),
        max_endpoints=max(1, int(fields.get("max_attempts") or 1)),
    )


def _parse_weighted_services(fields):
    if fields.get("service"):
        return (WeightedService(fields["service"], 1),)
    services = tuple(
        WeightedService(each["service"], int(each["weight"]))
        for each in fields["weighted_services"]
        if int(each["weight"]) > 0
    )
    if not services:
        raise ValueError("has no service with a weight above 0")
    return services


def _parse_importance(priority):
    if priority is None:
        return Importance.NORMAL
    if 0 <= int(priority) < len(_IMPORTANCES):
        return _IMPORTANCES[int(priority)]
    return Importance.LOW


def _parse_time(text):
    return parse_duration(text) if text else math.inf


def _parse_limits(fields):
    defaults = Limits()
    return Limits(
        int(fields.get("max_header_bytes") or defaults.header_bytes),
        int(fields.get("max_body_bytes") or defaults.body_bytes),
        parse_duration(fields.get("header_timeout") or f"{defaults.header_seconds}s"),
        parse_duration(fields.get("idle_timeout") or f"{defaults.idle_seconds}s"),
    )
