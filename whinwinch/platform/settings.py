"""Parser of the platform's settings file.

Lines have the form ``a.b=value``. Unknown fields are ignored; all missing or invalid
fields are reported together.
"""

import os
import pathlib
from collections.abc import Callable
from typing import Any, NamedTuple

from ..errors import Finding, UserError, raise_findings
from ..repeats import RepeatLimits
from ..settings import Address
from ..workspaces.quotas import QuotaTerms
from .values import parse_address, parse_duration, parse_first_port

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "WHINWINCH_BOOT"


class InstanceSettings(NamedTuple):
    """Settings of the daemon on one instance; times in seconds.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone of the instance.
        region: Region of the instance.
        service: Service of the backend server beside the daemon.
        backend: Address of that backend server.
        callers: Address for requests of callers and of the backend server.
        daemons: Address for calls of other daemons.
        readiness: Address of the readiness probe.
        announcements: Address for heartbeats of the backend server.
        metrics: Port of the metrics page, on the host of `daemons`; 0 for none.
        store: Address of the platform's store.
        repeats: `repeats.RepeatLimits` of all services.
        quotas: `workspaces.quotas.QuotaTerms` of all workspaces.
        drain: Time after which a leaving backend server receives no more requests.
        stop_grace: Time from the stop signal until the process is killed.
    """

    instance: str
    zone: str
    region: str
    service: str
    backend: Address
    callers: Address
    daemons: Address
    readiness: Address
    announcements: Address
    metrics: int
    store: Address
    repeats: RepeatLimits
    quotas: QuotaTerms
    drain: float
    stop_grace: float


class _Field(NamedTuple):
    """Field of the settings file.

    Attributes:
        name: Name in the file.
        attribute: Name of the attribute that holds the value.
        parse: Function that parses the text of the value.
        default: Text used if the field is missing, None if it is required.
    """

    name: str
    attribute: str
    parse: Callable[[str], Any]
    default: str | None = None


_FIELDS = (
    _Field("self_node.node", "instance", str),
    _Field("self_node.zone", "zone", str),
    _Field("self_node.region", "region", str, ""),
    _Field("self_node.service", "service", str),
    _Field("self_node.app_addr", "backend", parse_address),
    _Field("network.listen.outbound", "callers", parse_address),
    _Field("network.listen.inbound", "daemons", parse_address),
    _Field("network.listen.ready", "readiness", parse_address),
    _Field("network.listen.control", "announcements", parse_address),
    # The first of the ports that the platform reserves for the daemon.
    _Field("network.internal_ports", "metrics", parse_first_port, "0"),
    _Field("platform.platform.address", "store", parse_address),
    _Field("terms.bounds.retry_budget_ratio", "ratio", float, "0.1"),
    _Field("terms.bounds.budget_slack", "slack", float, "0"),
    _Field("terms.bounds.budget_window", "window", parse_duration, "10s"),
    _Field("terms.bounds.quota_window", "quota_window", parse_duration, "5s"),
    _Field("terms.bounds.quota_overage", "quota_overage", float, "0"),
    _Field("terms.bounds.quota_slack", "quota_slack", float, "0"),
    _Field("terms.bounds.drain", "drain", parse_duration, "2s"),
    _Field("terms.bounds.grace", "stop_grace", parse_duration, "6s"),
)


def read_file(environment=os.environ):
    """Return the `InstanceSettings` of the file that `PATH_VARIABLE` names.

    Raises:
        UserError: When the variable isn't set or the file can't be read.
        InputErrors: With a finding for every missing or invalid field.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise UserError(f"{PATH_VARIABLE} must be set to the path of the settings file")
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f"can't read the settings file: {error}") from error
    return parse_text(text)


def parse_text(text):
    """Return the `InstanceSettings` parsed from a file's text.

    Raises:
        InputErrors: With a finding for every missing or invalid field.
    """
    texts = dict(
        line.strip().split("=", 1) for line in text.splitlines() if "=" in line
    )
    values, findings = {}, []
    for field in _FIELDS:
        value = texts.get(field.name) or field.default
        if value is None:
            findings.append(Finding(field.name, "is missing"))
            continue
        try:
            values[field.attribute] = field.parse(value)
        except ValueError as error:
            findings.append(Finding(field.name, str(error)))
    raise_findings("invalid settings", findings)
    repeats = RepeatLimits(*(values.pop(name) for name in RepeatLimits._fields))
    quotas = QuotaTerms(*(values.pop(f"quota_{name}") for name in QuotaTerms._fields))
    return InstanceSettings(**values, repeats=repeats, quotas=quotas)
