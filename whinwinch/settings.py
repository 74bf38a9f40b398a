"""Settings of a daemon: flags and environment variables, checked together."""

import ipaddress
import urllib.parse
from collections.abc import Callable
from typing import Any, NamedTuple

from .errors import Finding, raise_findings

ENVIRONMENT_PREFIX = "WHINWINCH_"
HIGHEST_PORT = 65535
# Windows of keys that fit into the time for which the log keeps records.
WINDOWS_KEPT = 4


class Address(NamedTuple):
    """Where a socket listens or is reached."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


class Option(NamedTuple):
    """One setting.

    Attributes:
        name: Flag without the dashes; the environment variable follows from it.
        parse: Turns the text into the value; raises ValueError that says what
            would be right.
        default: Text taken when nothing is given; None makes it required.
        help: What it does, with its unit.
        secret: A secret is read from the environment only, because flags show
            in the machine's process list.
    """

    name: str
    parse: Callable[[str], Any]
    default: str | None
    help: str
    secret: bool = False

    @property
    def variable(self):
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")

    @property
    def field(self):
        """Name of the field of `Settings`."""
        return self.name.replace("-", "_")


class Settings(NamedTuple):
    """Checked settings of one daemon; times in seconds, sizes in bytes."""

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
    """Parse "host:port" with an IP number as host.

    Raises:
        ValueError: When it isn't of that form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > HIGHEST_PORT:
        raise ValueError("must be HOST:PORT, for example 10.0.0.7:7300")
    return Address(host, int(port))


def parse_loopback_address(text):
    """Parse an address that only this instance reaches.

    Whoever reaches it may announce a backend server and be given its callers'
    requests.
    """
    address = parse_address(text)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise ValueError("must be a loopback address, for example 127.0.0.1:7301")
    return address


def parse_optional_address(text):
    """Parse an address that may be left out."""
    return parse_address(text) if text else None


def parse_url(text):
    """Check an http or https URL and return it without a slash at its end."""
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise ValueError("must be a URL such as http://10.0.0.2:9000")
    return text.rstrip("/")


def parse_name(text):
    """Check a zone's or region's name."""
    if not text or not text.replace("-", "").replace("_", "").isalnum():
        raise ValueError("must be letters, digits, - and _")
    return text


def build_number_parser(kind, low, high):
    """Return a parser for numbers from `low` to `high`."""

    def parse_number(text):
        try:
            number = kind(text)
        except ValueError:
            number = None
        # Written this way round, so that "nan" is refused too.
        if number is None or not low <= number <= high:
            raise ValueError(f"must be a number from {low} to {high}")
        return number

    return parse_number


def parse_switch(text):
    """Parse "on" or "off"."""
    if text not in ("on", "off"):
        raise ValueError("must be on or off")
    return text == "on"


def parse_verbosity(text):
    """Check the name of a log level."""
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
        "HOST:PORT on the loopback interface where the own backend server "
        "announces itself and places its outgoing calls.",
    ),
    Option(
        "peer-address", parse_address, None, "HOST:PORT where other daemons are served."
    ),
    Option(
        "admin-address",
        parse_optional_address,
        "",
        "HOST:PORT where operators are served; none for no administration here.",
    ),
    Option(
        "advertise",
        parse_optional_address,
        "",
        "HOST:PORT told to other daemons; by default the peer address.",
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
        "is forgotten.",
    ),
    Option(
        "key-window",
        build_number_parser(float, 1, 86400),
        "900",
        "Seconds for which an idempotency key is good; at most a quarter of "
        "the time for which the log keeps records.",
    ),
    Option(
        "max-requests",
        build_number_parser(int, 1, 100_000),
        "2000",
        "Requests of callers handled at once, and as many outgoing ones; more are "
        "refused at once.",
    ),
    Option(
        "max-body",
        build_number_parser(int, 0, 1 << 30),
        str(4 << 20),
        "Largest body of a request or an answer, in bytes.",
    ),
    Option(
        "max-header",
        build_number_parser(int, 256, 1 << 20),
        str(32 << 10),
        "Largest header of a request, in bytes.",
    ),
    Option(
        "gossip-interval",
        build_number_parser(float, 0.05, 60),
        "1",
        "Seconds between two probes of other daemons.",
    ),
    Option(
        "trace",
        parse_switch,
        "off",
        "Whether to write a trace to standard output, for `whinwinch replay`.",
    ),
    Option("verbosity", parse_verbosity, "info", "Lowest level that is logged."),
    Option(
        "operator-tokens",
        str,
        "",
        "Comma-separated AUTHOR:TOKEN of the operators; none closes the "
        "administration API.",
        secret=True,
    ),
    Option(
        "peer-token",
        str,
        "",
        "Comma-separated tokens that the daemons of one mesh show each other, "
        "the first is sent; none accepts calls from anyone who reaches the peer "
        "address.",
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
    """Return the help text for settings that only the environment gives."""
    return "\n".join(
        f"  {option.variable}\n      {option.help}"
        for option in OPTIONS
        if option.secret
    )


def read_settings(arguments, environment):
    """Read and check all settings.

    Args:
        arguments: Namespace with an attribute for each flag, None when absent.
        environment: Mapping of environment variables.

    Returns:
        The checked `Settings`.

    Raises:
        InputErrors: With every wrong or missing setting.
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
    raise_findings("wrong settings", findings)
    return Settings(**values)


def _check_window(values):
    """Find a key window that the log's records don't outlast by far.

    A claim that retention has dropped while its key is still good would let
    the work of that key run a second time.
    """
    window = values.get("key_window", 0.0)
    retention = values.get("log_retention", window * WINDOWS_KEPT)
    if window * WINDOWS_KEPT > retention:
        yield Finding("key-window", f"must be at most log-retention / {WINDOWS_KEPT}")


def _find_text(option, arguments, environment):
    """Return the place and the text of an option; a flag goes first."""
    flag = None if option.secret else getattr(arguments, option.field, None)
    if flag is not None:
        return "--" + option.name, flag
    if option.variable in environment:
        return option.variable, environment[option.variable]
    return f"--{option.name} or {option.variable}", option.default


def _check_unknown(environment):
    """Find variables that look like settings but aren't: mostly misspelt ones."""
    known = {option.variable for option in OPTIONS} | CLIENT_VARIABLES
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            yield Finding(name, "is not a setting")


# Read by the operators' commands, so not wrong when a daemon sees them.
CLIENT_VARIABLES = frozenset(
    {ENVIRONMENT_PREFIX + "SERVER", ENVIRONMENT_PREFIX + "OPERATOR_TOKEN"}
)
