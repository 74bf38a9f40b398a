"""Parser of the operator's configuration into routes and limits."""

import math
from typing import NamedTuple

from ..errors import Finding, raise_findings
from ..http1.server import Limits
from ..messages import Importance
from ..routes import Route, RouteTable, WeightedService
from ..workspaces.keys import digest_key
from ..workspaces.registry import Quota, Registry, Workspace
from .values import parse_duration, parse_object, parse_version

# Importance by the platform's priority, of which 0 is the highest. Priorities beyond
# the last one are LOW.
_IMPORTANCES = (Importance.CRITICAL, Importance.HIGH, Importance.NORMAL)
# Priority of the workspaces that go before all others.
_PREFERRED_PRIORITY = 0
# Routes of this kind allow requests to run more than once.
_REPEATABLE_KIND = "safe"
_KINDS = (_REPEATABLE_KIND, "unsafe")


class Configuration(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        table: The routes and the version of the configuration.
        limits: Limits on the requests of callers.
        workspaces: The workspaces with their keys and quotas.
    """

    table: RouteTable
    limits: Limits
    workspaces: Registry


def parse_configuration(data):
    """Return the `Configuration` parsed from JSON bytes.

    One invalid route or workspace makes the whole configuration invalid: with only part
    of them, requests for the others would be refused. Each invalid one has a finding.

    Raises:
        InputErrors: With a finding for every invalid route and workspace.
        ValueError: When the data isn't JSON or has no version.
    """
    document = parse_object(data)
    version = parse_version(document.get("version"))
    findings = []
    routes = _parse_items(document, "routes", _parse_route, findings)
    workspaces = _parse_items(document, "tenants", _parse_workspace, findings)
    raise_findings(f"configuration {version} has invalid parts", findings)
    limits = _parse_limits(document.get("limits") or {})
    registry = Registry(workspaces)
    return Configuration(RouteTable(version, routes), limits, registry)


def _parse_items(document, table, parse, findings):
    """Return the parsed items of a table, and add a finding for each invalid one."""
    parsed = []
    for name, fields in _list_items(document.get(table)):
        try:
            parsed.append(parse(name, fields))
        except (KeyError, TypeError, ValueError) as error:
            findings.append(Finding(f"{table}.{name}", f"{error!r}"))
    return parsed


def _list_items(items):
    """Return pairs of name and fields, from a JSON object or a list of objects."""
    if isinstance(items, dict):
        return tuple(items.items())
    return tuple((fields.get("name", ""), fields) for fields in items or ())


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
        is_public=bool(fields.get("public")),
    )


def _parse_workspace(name, fields):
    """Return a `Workspace`; its errors must not contain the value of a key."""
    keys = fields.get("api_keys") or []
    if not isinstance(keys, list):
        raise ValueError("its keys must be a list")
    # The error of a text that can't be encoded contains that text.
    if not all(isinstance(key, str) and key and key.isascii() for key in keys):
        raise ValueError("each of its keys must be ASCII text")
    digests = tuple(map(digest_key, keys))
    is_preferred = fields.get("priority") == _PREFERRED_PRIORITY
    return Workspace(name, digests, _parse_quota(fields), is_preferred)


def _parse_quota(fields):
    rate = float(fields.get("rate_per_s") or 0.0)
    burst = float(fields.get("burst") or 0.0)
    if not (0.0 <= rate < math.inf and 0.0 <= burst < math.inf):
        raise ValueError("rate_per_s and burst must be numbers of at least 0")
    return Quota(rate, burst) if rate else Quota()


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
