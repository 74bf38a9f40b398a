"""Values as the platform writes them: times with a unit, versions, addresses."""

from ..settings import Address

_UNITS = {"ms": 0.001, "s": 1.0}


def parse_duration(text):
    """Return the seconds of a time such as "1500ms" or "2.5s".

    Raises:
        ValueError: When it isn't of that form.
    """
    unit = "ms" if str(text).endswith("ms") else "s"
    if not isinstance(text, str) or not text.endswith(unit):
        raise ValueError(f"must be a number with ms or s behind it, but is {text!r}")
    seconds = float(text[: -len(unit)]) * _UNITS[unit]
    if not 0.0 <= seconds < 1e9:
        raise ValueError(f"must be a time from 0 on, but is {text!r}")
    return seconds


def parse_version(text):
    """Return the number of a version of the configuration, such as "r12".

    Raises:
        ValueError: When it isn't of that form.
    """
    if not isinstance(text, str) or text[:1] != "r" or not text[1:].isdigit():
        raise ValueError(f"must be r and a number, but is {text!r}")
    return int(text[1:])


def parse_place(text):
    """Return the `Address` of an "IP:PORT".

    Raises:
        ValueError: When it isn't of that form.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"must be IP:PORT, but is {text!r}")
    return Address(host, int(port))


def parse_first_port(text):
    """Return the first of some ports, joined by commas.

    Raises:
        ValueError: When it isn't of that form.
    """
    first = str(text).partition(",")[0]
    if not first.isdigit():
        raise ValueError(f"must be ports joined by commas, but is {text!r}")
    return int(first)
