"""The platform's settings file, read into typed settings.

Lines are ``a.b=value``. Fields that are not known here are passed over; all that
are missing or wrong are reported together.
"""

import os
import pathlib
from collections.abc import Callable
from typing import Any, NamedTuple

from ..errors import Finding, UserError, raise_findings
from ..repeats import RepeatLimits
from ..settings import Address
from .values import parse_duration, parse_first_port, parse_place

# Environment variable that holds the path of the settings file.
PATH_VARIABLE = "WHINWINCH_BOOT"


class InstanceSettings(NamedTuple):
    """Settings of the daemon on one instance; times in seconds.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        region: Its region.
        service: Service of the backend server beside the daemon.
        backend: Address of that backend server.
        callers: Where callers and the backend server place their requests.
        daemons: Where other daemons place theirs.
        readiness: Where the platform asks whether the daemon takes requests.
        announcements: Where the backend server announces itself.
        metrics: Port of the metrics page, at the address of `daemons`; 0 for none.
        store: Address of the platform's store.
        repeats: Repeats that operators allow, a `repeats.RepeatLimits`.
        drain: Time after which a leaving backend server gets nothing more.
        stop_grace: Time from the signal to stop until the process is killed.
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
    drain: float
    stop_grace: float


class _Field(NamedTuple):
    """A field of the file: its name there, here, and how it is read."""

    name: str
    attribute: str
    parse: Callable[[str], Any]
    default: str | None = None


_FIELDS = (
    _Field("self_node.node", "instance", str),
    _Field("self_node.zone", "zone", str),
    _Field("self_node.region", "region", str, ""),
    _Field("self_node.service", "service", str),
    _Field("self_node.app_addr", "backend", parse_place),
    _Field("network.listen.outbound", "callers", parse_place),
    _Field("network.listen.inbound", "daemons", parse_place),
    _Field("network.listen.ready", "readiness", parse_place),
    _Field("network.listen.control", "announcements", parse_place),
    # The first port that the platform leaves to the daemon's own use.
    _Field("network.internal_ports", "metrics", parse_first_port, "0"),
    _Field("platform.platform.address", "store", parse_place),
    _Field("terms.bounds.retry_budget_ratio", "ratio", float, "0.1"),
    _Field("terms.bounds.budget_slack", "slack", float, "0"),
    _Field("terms.bounds.budget_window", "window", parse_duration, "10s"),
    _Field("terms.bounds.drain", "drain", parse_duration, "2s"),
    _Field("terms.bounds.grace", "stop_grace", parse_duration, "6s"),
)


def read_file(environment=os.environ):
    """Read the settings file that the environment names.

    Raises:
        UserError: When there is none or it can't be read.
        InputErrors: With every field that is missing or wrong.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise UserError(f"{PATH_VARIABLE} must name the settings file")
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f"the settings file can't be read: {error}") from error
    return parse_text(text)


def parse_text(text):
    """Return the `InstanceSettings` of a file's text.

    Raises:
        InputErrors: With every field that is missing or wrong.
    """
    given = dict(
        line.strip().split("=", 1) for line in text.splitlines() if "=" in line
    )
    values, findings = {}, []
    for field in _FIELDS:
        value = given.get(field.name) or field.default
        if value is None:
            findings.append(Finding(field.name, "is missing"))
            continue
        try:
            values[field.attribute] = field.parse(value)
        except ValueError as error:
            findings.append(Finding(field.name, str(error)))
    raise_findings("wrong settings", findings)
    repeats = RepeatLimits(*(values.pop(name) for name in RepeatLimits._fields))
    return InstanceSettings(**values, repeats=repeats)
