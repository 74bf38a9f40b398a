"""Settings of a daemon, read from flags and environment variables."""

import ipaddress
import urllib.parse
from collections.abc import Callable
from typing import Any, NamedTuple

from .errors import Finding, raise_findings

ENVIRONMENT_PREFIX = "WHINWINCH_"
MAX_PORT = 65535
# Minimum ratio of the log's retention to the key window.
MIN_RETENTION_WINDOWS = 4


class Address(NamedTuple):
    """Host and port that a socket listens on or connects to."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class Option(NamedTuple):
    """Definition of one setting.

    Attributes:
        name: Name of the flag without the dashes; the name of the environment
            variable is derived from it.
        parse: Function that converts the text to the value; raises ValueError
            with a description of valid values.
        default: Text of the default value, None if the setting is required.
        help: Help text, including the unit.
        secret: Whether the setting is read from the environment only, because
            flags are visible in the machine's process list.
    """

    name: str
    parse: Callable[[str], Any]
    default: str | None
    help: str
    secret: bool = False

    @property
    def variable(self):
        """Name of the setting's environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")

    @property
    def field(self):
        """Name of the corresponding field of `Settings`."""
        return self.name.replace("-", "_")


class Settings(NamedTuple):
    """Validated settings of one daemon; times in seconds, sizes in bytes."""

    address: Address
    backend_address: Address
    peer_address: Address
    admin_address: Address | None
    advertise: Address | None
    zone: str
    region: str
    log: str
    log_retention: float
    stop_grace: float
    lease: float
    key_window: float
    max_requests: int
    max_body: int
    max_header: int
    gossip_interval: float
    trace: bool
    verbosity: str
    operator_tokens: str
    peer_token: str


def parse_address(text):
    """Parse an address of the form "host:port".

    Raises:
        ValueError: If the text does not have this form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("must be HOST:PORT, for example 10.0.0.7:7300")
    return Address(host, int(port))


def parse_loopback_address(text):
    """Parse an address that is reachable only from this instance.

    Anyone who reaches the address can announce a backend server and receive the
    requests of its callers.

    Raises:
        ValueError: If the text is not an IP address of the loopback interface
            with a port.
    """
    address = parse_address(text)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise ValueError("must be a loopback address, for example 127.0.0.1:7301")
    return address


def parse_optional_address(text):
    """Parse an address; return None for an empty text."""
    return parse_address(text) if text else None


def parse_url(text):
    """Validate an http or https URL and return it without trailing slashes."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise ValueError("must be a URL such as http://10.0.0.2:9000")
    return text.rstrip("/")


def parse_name(text):
    """Validate the name of an availability zone or a region."""
    if not text or not text.replace("-", "").replace("_", "").isalnum():
        raise ValueError("must consist of letters, digits, - and _")
    return text


def build_number_parser(kind, low, high):
    """Return a function that parses numbers of a type in the range low to high."""

    def parse_number(text):
        try:
            number = kind(text)
        except ValueError:
            number = None
        # `not low <= number` also rejects "nan"; `number < low` would not.
        if number is None or not low <= number <= high:
            raise ValueError(f"must be a number from {low} to {high}")
        return number

    return parse_number


def parse_switch(text):
    """Parse "on" or "off" as a bool."""
    if text not in ("on", "off"):
        raise ValueError("must be on or off")
    return text == "on"


def parse_verbosity(text):
    """Validate the name of a log level."""
    if text not in ("debug", "info", "warning", "error"):
        raise ValueError("must be debug, info, warning or error")
    return text


OPTIONS = (
    Option(
        "address",
        parse_address,
        None,
        "HOST:PORT where callers are served.",
    ),
    Option(
        "backend-address",
        parse_loopback_address,
        None,
        "HOST:PORT on the loopback interface where the local backend server "
        "announces itself and sends its outgoing calls.",
    ),
    Option(
        "peer-address", parse_address, None, "HOST:PORT where other daemons are served."
    ),
    Option(
        "admin-address",
        parse_optional_address,
        "",
        "HOST:PORT where operators are served; if empty, the admin API is disabled.",
    ),
    Option(
        "advertise",
        parse_optional_address,
        "",
        "HOST:PORT advertised to other daemons; by default the peer address.",
    ),
    Option("zone", parse_name, None, "Availability zone of this instance."),
    Option("region", parse_name, "main", "Region of this instance."),
    Option("log", parse_url, None, "URL of the platform's log service."),
    Option(
        "log-retention",
        build_number_parser(float, 60, 1e9),
        "86400",
        "Seconds for which the log keeps records.",
    ),
    Option(
        "stop-grace",
        build_number_parser(float, 0, 3600),
        "30",
        "Seconds that a planned stop waits for requests in flight.",
    ),
    Option(
        "lease",
        build_number_parser(float, 0.1, 60),
        "3",
        "Seconds after which a backend server that stopped announcing itself "
        "is removed.",
    ),
    Option(
        "key-window",
        build_number_parser(float, 1, 86400),
        "900",
        "Seconds for which an idempotency key is valid; at most a quarter of "
        "the time for which the log keeps records.",
    ),
    Option(
        "max-requests",
        build_number_parser(int, 1, 100_000),
        "2000",
        "Maximum number of callers' requests in flight, and likewise of outgoing "
        "calls; further ones are refused immediately.",
    ),
    Option(
        "max-body",
        build_number_parser(int, 0, 1 << 30),
        str(4 << 20),
        "Maximum size of the body of a request or an answer, in bytes.",
    ),
    Option(
        "max-header",
        build_number_parser(int, 256, 1 << 20),
        str(32 << 10),
        "Maximum size of the header of a request, in bytes.",
    ),
    Option(
        "gossip-interval",
        build_number_parser(float, 0.05, 60),
        "1",
        "Seconds between probes of other daemons.",
    ),
    Option(
        "trace",
        parse_switch,
        "off",
        "Whether to write a trace to standard output, for `whinwinch replay`.",
    ),
    Option("verbosity", parse_verbosity, "info", "Minimum level of log messages."),
    Option(
        "operator-tokens",
        str,
        "",
        "Comma-separated AUTHOR:TOKEN pairs of the operators; if empty, the "
        "admin API is closed.",
        secret=True,
    ),
    Option(
        "peer-token",
        str,
        "",
        "Comma-separated tokens with which the daemons of one mesh authenticate; "
        "the first is sent, all are accepted; if empty, anyone who reaches the "
        "peer address can make calls.",
        secret=True,
    ),
)


def add_arguments(parser):
    """Add a flag for each setting that isn't a secret."""
    for option in OPTIONS:
        if option.secret:
            continue
        default = "required" if option.default is None else option.default or "none"
        parser.add_argument(
            "--" + option.name,
            metavar="VALUE",
            help=f"{option.help} [{option.variable}; {default}]",
        )


def describe_secrets():
    """Return the help text of the settings read from the environment only."""
    return "\n".join(
        f"  {option.variable}\n      {option.help}"
        for option in OPTIONS
        if option.secret
    )


def read_settings(arguments, environment):
    """Read and validate all settings.

    Args:
        arguments: Namespace with an attribute for each flag, None if absent.
        environment: Mapping of environment variables.

    Returns:
        The validated `Settings`.

    Raises:
        InputErrors: With all invalid, missing and unknown settings.
    """
    values = {}
    findings = []
    for option in OPTIONS:
        place, text = _find_text(option, arguments, environment)
        if text is None:
            findings.append(Finding(place, "is missing"))
            continue
        try:
            values[option.field] = option.parse(text)
        except ValueError as error:
            findings.append(Finding(place, f"{error}, but is {text!r}"))
    findings.extend(_check_window(values))
    findings.extend(_check_unknown(environment))
    raise_findings("invalid settings", findings)
    return Settings(**values)


def _check_window(values):
    """Yield a finding if the key window is too long for the log's retention.

    If the log dropped a claim while its key is still valid, the work of that key
    could run a second time.
    """
    window = values.get("key_window", 0.0)
    retention = values.get("log_retention", window * MIN_RETENTION_WINDOWS)
    if window * MIN_RETENTION_WINDOWS > retention:
        yield Finding(
            "key-window", f"must be at most log-retention / {MIN_RETENTION_WINDOWS}"
        )


def _find_text(option, arguments, environment):
    """Return location and text of an option; the flag takes precedence."""
    flag = None if option.secret else getattr(arguments, option.field, None)
    if flag is not None:
        return "--" + option.name, flag
    if option.variable in environment:
        return option.variable, environment[option.variable]
    return f"--{option.name} or {option.variable}", option.default


def _check_unknown(environment):
    """Yield a finding for each unknown variable with the prefix, such as a typo."""
    known = {option.variable for option in OPTIONS} | CLIENT_VARIABLES
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            yield Finding(name, "is not a setting")


# Variables of the operators' commands, which a daemon ignores.
CLIENT_VARIABLES = frozenset(
    {ENVIRONMENT_PREFIX + "SERVER", ENVIRONMENT_PREFIX + "OPERATOR_TOKEN"}
)
