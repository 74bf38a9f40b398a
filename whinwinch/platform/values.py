"""Parsers of values in the platform's notation: objects, times, addresses, ports.

Other programs can write to the store and call a daemon, so any value may be of another
type, out of range or nested without end. Each parser raises ValueError for those.
"""

import ipaddress
import json

from ..settings import Address

MAX_PORT = 65_535
# Largest number that all programs which read JSON keep exactly.
MAX_NUMBER = 2**53
_UNITS = {"ms": 0.001, "s": 1.0}


def parse_object(data):
    """Return the JSON object in bytes as a dict.

    Raises:
        ValueError: When they contain something else.
    """
    try:
        document = json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    if not isinstance(document, dict):
        raise ValueError("must be a JSON object")
    return document


def parse_number(value, most=MAX_NUMBER):
    """Return a whole number from 0 to `most`.

    Raises:
        ValueError: When the value is another one.
    """
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"must be a whole number from 0 to {most}")
    return value


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
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError(f"must be IP:PORT, but is {text!r}")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port must be from 1 to {MAX_PORT}, but is {port}")
    return Address(str(ipaddress.IPv4Address(host)), int(port))


def parse_first_port(text):
    """Return the first number of a comma-separated list of ports.

    Raises:
        ValueError: When the text has another form.
    """
    first = str(text).partition(",")[0]
    if not first.isdigit():
        raise ValueError(f"must be a comma-separated list of ports, but is {text!r}")
    return int(first)
