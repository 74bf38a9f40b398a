"""Records of the topic by which daemons discover each other, to and from bytes."""

import json

from .. import messages
from ..callgraph import Edge, Topology
from ..crashes import CrashRecord
from . import values

# Key of the call topology.
GRAPH_KEY = "calls"
# Prefix of the keys of crashes, before the identifier of the backend server.
CRASH_PREFIX = "crash/"
# Prefix of the keys of leaves, before the address of the daemon and the identifier of
# the backend server. All other keys are addresses of daemons.
LEAVE_PREFIX = "leave/"


def encode_endpoint(endpoint):
    """Return the value of the record of a `messages.Endpoint`."""
    return json.dumps(endpoint._asdict()).encode()


def decode_endpoint(address, value):
    """Return the `messages.Endpoint` of a record's value, None if it was withdrawn.

    Args:
        address: Key of the record.
        value: Value of the record.

    Raises:
        ValueError: When the value isn't the record of the daemon at the address.
    """
    if not value:
        return None
    fields = values.parse_object(value)
    # Daemons of the previous release don't write it.
    fields.setdefault("leaving_backend", "")
    for name, kind in messages.Endpoint.__annotations__.items():
        if type(fields.get(name)) is not kind:
            raise ValueError(f"{name} must be of type {kind.__name__}")
    endpoint = messages.Endpoint(*(fields[name] for name in messages.Endpoint._fields))
    if endpoint.address != address or endpoint.daemon != address:
        raise ValueError("address and daemon must equal the record's key")
    values.parse_address(address)
    values.parse_number(endpoint.slots, messages.MAX_SLOTS)
    return endpoint


def encode_topology(topology):
    """Return the value of the record of a call `Topology`."""
    return json.dumps(topology._asdict()).encode()


def decode_topology(value):
    """Return the call `Topology` of a record's value.

    Raises:
        ValueError: When the value isn't the record of a topology.
    """
    fields = values.parse_object(value)
    entries, calls = fields.get("entries"), fields.get("calls")
    if not isinstance(entries, list) or not isinstance(calls, list):
        raise ValueError("entries and calls must be lists")
    for names in (entries, *calls):
        if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
            raise ValueError("entries and calls must contain names of routes")
    if any(len(names) != len(Edge._fields) for names in calls):
        raise ValueError("each call must consist of a parent and a child")
    return Topology(tuple(entries), tuple(Edge(*names) for names in calls))


def encode_crash(record):
    """Return the value of the record of a `crashes.CrashRecord`."""
    return json.dumps(record._asdict()).encode()


def decode_crash(value):
    """Return the `crashes.CrashRecord` of a record's value.

    Raises:
        ValueError: When the value isn't the record of a crash.
    """
    fields = values.parse_object(value)
    identity, proven = fields.get("identity"), fields.get("proven")
    fingerprints = fields.get("fingerprints")
    if not isinstance(fingerprints, list):
        raise ValueError("fingerprints must be a list")
    if not all(isinstance(text, str) for text in (identity, proven, *fingerprints)):
        raise ValueError("identity, proven and fingerprints must be strings")
    return CrashRecord(identity, tuple(fingerprints), proven)
