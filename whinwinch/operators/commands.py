"""Operator commands: call the client and print the results as text or JSON."""

import contextlib
import itertools
import json
import sys
import time

from ..errors import Finding, raise_findings

DEFAULT_SERVER = "http://127.0.0.1:7303"
SERVER_VARIABLE = "WHINWINCH_SERVER"
TOKEN_VARIABLE = "WHINWINCH_OPERATOR_TOKEN"


def run_apply(arguments, environment):
    """Create or replace the resources in files."""
    documents = _read_documents(arguments.files)
    with _connect(arguments, environment) as client:
        for document in documents:
            version = client.apply_service(document, arguments.if_version)
            name = document["name"]
            result = {"name": name, "version": version}
            _print(arguments, result, f"{name} version {version}")
    return 0


def run_get(arguments, environment):
    """Show one resource or all of them."""
    with _connect(arguments, environment) as client:
        if arguments.name:
            service = client.get_service(arguments.name)
            _print(arguments, service._asdict(), _format_service(service))
            return 0
        listing = client.list_services()
    services = [service._asdict() for service in listing.services]
    lines = [_format_line(service) for service in listing.services]
    text = "\n".join([f"collection version {listing.version}", *lines])
    _print(arguments, {"version": listing.version, "services": services}, text)
    return 0


def run_delete(arguments, environment):
    """Delete a resource."""
    with _connect(arguments, environment) as client:
        version = client.delete_service(arguments.name, arguments.if_version)
    result = {"name": arguments.name, "version": version}
    _print(arguments, result, f"{arguments.name} deleted, version {version}")
    return 0


def run_watch(arguments, environment):
    """Print changes as they take effect, up to the requested number."""
    with _connect(arguments, environment) as client:
        events = client.watch_services(arguments.after)
        for event in itertools.islice(events, arguments.most):
            what = "deleted" if event.spec is None else "applied"
            changed = _format_time(event.changed)
            text = f"{event.version} {changed} {event.name} {what} by {event.author}"
            _print(arguments, event._asdict(), text)
    return 0


def run_history(arguments, environment):
    """Show the changes with their authors and times, newest first."""
    with _connect(arguments, environment) as client:
        changes = client.read_history()
    lines = [_format_change(change) for change in changes]
    _print(arguments, {"changes": changes}, "\n".join(lines))
    return 0


def run_status(arguments, environment):
    """Show the status of one daemon."""
    with _connect(arguments, environment) as client:
        status = client.read_status()
    _print(arguments, status, "\n".join(_format_tree(status)))
    return 0


def run_drain(arguments, environment):
    """Drain one daemon and its backend server without losing requests."""
    with _connect(arguments, environment) as client:
        status = client.drain()
    _print(arguments, status, "leaving")
    return 0


@contextlib.contextmanager
def _connect(arguments, environment):
    # Imported lazily because `--help` and `replay` need no HTTP client.
    from . import client

    text = arguments.server or environment.get(SERVER_VARIABLE, DEFAULT_SERVER)
    servers = [server.strip() for server in text.split(",") if server.strip()]
    invalid = [server for server in servers if not server.startswith("http")]
    raise_findings(
        "invalid servers",
        [
            Finding(server, "must be a URL such as http://10.0.0.7:7300")
            for server in invalid
        ],
    )
    connected = client.Client(servers, environment.get(TOKEN_VARIABLE, ""))
    try:
        yield connected
    finally:
        connected.close()


def _read_documents(paths):
    """Return the resources in files; a file may contain one or a list of them."""
    documents = []
    findings = []
    for path in paths:
        try:
            content = json.loads(_read_text(path))
        except (OSError, ValueError) as error:
            findings.append(Finding(path, f"cannot be read: {error}"))
            continue
        documents.extend(content if isinstance(content, list) else [content])
    raise_findings("unreadable files", findings)
    return documents


def _read_text(path):
    if path == "-":
        return sys.stdin.read()
    with open(path, encoding="utf-8") as file:
        return file.read()


def _print(arguments, document, text):
    """Print a result as text or JSON and flush it for readers of a pipe."""
    shown = json.dumps(document) if arguments.output == "json" else text
    # Write the text and its line end at once: if output is unbuffered, a line of
    # `whinwinch watch` in the same terminal could be printed between the two.
    print(f"{shown}\n", end="", flush=True)


def _format_service(service):
    head = f"{_format_line(service)}\n"
    return head + json.dumps(service.spec, indent=2)


def _format_line(service):
    changed = _format_time(service.changed)
    return f"{service.name} version {service.version} by {service.author} at {changed}"


def _format_change(change):
    what = "delete" if change["deleted"] else "apply"
    outcome = "accepted" if change["accepted"] else f"rejected: {change['reason']}"
    at = _format_time(change["time"])
    return f"{at} {change['author']} {what} {change['name']} {outcome}"


def _format_time(seconds):
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))


def _format_tree(value, path=""):
    """Yield one line with path and value for each leaf of a JSON document."""
    if not isinstance(value, dict):
        yield f"{path} {json.dumps(value)}"
        return
    for name, child in value.items():
        yield from _format_tree(child, f"{path}.{name}" if path else name)
