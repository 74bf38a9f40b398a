"""Parsers of values in the platform's notation: times, versions, addresses, ports."""

from ..settings import Address

_UNITS = {"ms": 0.001, "s": 1.0}


def parse_duration(text):
    """Return the seconds of a duration such as "1500ms" or "2.5s".

    Raises:
        ValueError: When the text has another form.
    """
    unit = "ms" if str(text).endswith("ms") else "s"
    if not isinstance(text, str) or not text.endswith(unit):
        raise ValueError(f"must be a number followed by ms or s, but is {text!r}")
    seconds = float(text[: -len(unit)]) * _UNITS[unit]
    if not 0.0 <= seconds < 1e9:
        raise ValueError(f"must be from 0s to less than 1e9s, but is {text!r}")
    return seconds


def parse_version(text):
    """Return the number in a configuration version such as "r12".

    Raises:
        ValueError: When the text has another form.
    """
    if not isinstance(text, str) or text[:1] != "r" or not text[1:].isdigit():
        raise ValueError(f"must be r followed by digits, but is {text!r}")
    return int(text[1:])


def parse_address(text):
    """Return the `Address` of text such as "10.0.0.9:8080".

    Raises:
        ValueError: When the text has another form.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"must be IP:PORT, but is {text!r}")
    return Address(host, int(port))


def parse_first_port(text):
    """Return the first number of a comma-separated list of ports.

    Raises:
        ValueError: When the text has another form.
    """
    first = str(text).partition(",")[0]
    if not first.isdigit():
        raise ValueError(f"must be a comma-separated list of ports, but is {text!r}")
    return int(first)
