"""The Press's mesh at its size of today, as processes on this machine."""

import itertools
import json
import os
import pathlib
import secrets
from typing import NamedTuple

from standins import processes

HOST = "127.0.0.1"
REGION = "press"
ZONES = ("zone-1", "zone-2", "zone-3", "zone-4")
RESOURCES = pathlib.Path(__file__).with_name("resources.json")
START_TIMEOUT = 40.0
# "Several hundred appends a second" is what the Press's log takes.
LOG_RATE = 300
PROBE_HEADERS = {"Whinwinch-Timeout": "2000", "Whinwinch-Caller": "probe"}


class Service(NamedTuple):
    """A service of the mesh, one endpoint in each availability zone.

    Attributes:
        name: Name of the service.
        slots: Slots of each endpoint.
        connections: Connections of each endpoint.
        service_time: Seconds that a request takes there by itself.
    """

    name: str
    slots: int
    connections: int
    service_time: float

    @property
    def capacity(self):
        """Requests a second that all its endpoints can carry."""
        return len(ZONES) * self.slots / self.service_time


# Slots and connections are the Press's own. The service times are ours: long
# enough that one machine carries the mesh, its daemons and the callers.
SERVICES = (
    Service("catalog", 70, 500, 0.03),
    Service("submissions", 10, 150, 0.4),
    Service("royalties", 70, 500, 0.05),
    Service("archive", 70, 500, 0.04),
)


class Node(NamedTuple):
    """A backend server and the daemon beside it.

    Attributes:
        service: `Service` of the backend server.
        zone: Availability zone.
        entry: Port of the daemon for callers.
        loopback: Port of the daemon for its own backend server.
        peer: Port of the daemon for other daemons.
        backend: Port of the backend server.
        admin: Port of the daemon for operators.
    """

    service: Service
    zone: str
    entry: int
    loopback: int
    peer: int
    backend: int
    admin: int

    @property
    def name(self):
        """Name of the node's log files."""
        return f"{self.service.name}-{self.zone}"

    @property
    def entry_url(self):
        """URL of the daemon for callers."""
        return f"http://{HOST}:{self.entry}"

    @property
    def admin_url(self):
        """URL of the daemon for operators."""
        return f"http://{HOST}:{self.admin}"

    @property
    def backend_url(self):
        """URL of the backend server itself."""
        return f"http://{HOST}:{self.backend}"


class Mesh(NamedTuple):
    """A mesh whose processes have been started.

    Attributes:
        log: The log's process.
        daemons: The daemons' processes.
        backends: The backend servers' processes.
        nodes: `Node` of each pair.
        env: Environment of the daemons and of operators' commands.
        log_url: URL of the log.
    """

    log: processes.Process
    daemons: tuple[processes.Process, ...]
    backends: tuple[processes.Process, ...]
    nodes: tuple[Node, ...]
    env: dict[str, str]
    log_url: str


# The fields of a node that are ports.
PORTS = ("entry", "loopback", "peer", "backend", "admin")


def place_nodes(services=SERVICES, zones=ZONES):
    """Return a `Node` for each service in each zone, with free ports."""
    places = [(service, zone) for service in services for zone in zones]
    ports = iter(processes.find_ports(len(PORTS) * len(places)))
    return tuple(Node(*place, *itertools.islice(ports, len(PORTS))) for place in places)


def start_mesh(running, nodes, log_options=(), find_env=lambda node: {}):
    """Start the log, then all daemons and backend servers at once.

    Args:
        running: `processes.Processes`.
        nodes: Tuple of `Node`.
        log_options: Further arguments of the log.
        find_env: Returns further environment variables of a node's daemon.

    Returns:
        A `Mesh` that isn't ready yet.
    """
    (log_port,) = processes.find_ports(1)
    log_arguments = ("--address", f"{HOST}:{log_port}", "--rate", LOG_RATE)
    log = running.start("log", "standins.log", log_arguments)
    token = secrets.token_hex()
    env = {
        **os.environ,
        "WHINWINCH_OPERATOR_TOKENS": f"demo:{token}",
        "WHINWINCH_OPERATOR_TOKEN": token,
        "WHINWINCH_PEER_TOKEN": secrets.token_hex(),
    }
    daemons = tuple(
        start_daemon(running, node, log_port, env | find_env(node)) for node in nodes
    )
    backends = tuple(start_backend(running, node, nodes) for node in nodes)
    return Mesh(log, daemons, backends, nodes, env, f"http://{HOST}:{log_port}")


def start_daemon(running, node, log_port, env):
    """Start the daemon of a node."""
    arguments = {
        "--address": f"{HOST}:{node.entry}",
        "--backend-address": f"{HOST}:{node.loopback}",
        "--peer-address": f"{HOST}:{node.peer}",
        "--admin-address": f"{HOST}:{node.admin}",
        "--zone": node.zone,
        "--region": REGION,
        "--log": f"http://{HOST}:{log_port}",
    }
    flags = [part for pair in arguments.items() for part in pair]
    name = f"daemon-{node.name}"
    return running.start(name, "whinwinch", ["daemon", *flags], env, keep=True)


def start_backend(running, node, nodes):
    """Start the backend server of a node."""
    service = node.service
    arguments = {
        "--service": service.name,
        "--address": f"{HOST}:{node.backend}",
        "--daemon": f"http://{HOST}:{node.loopback}",
        "--slots": service.slots,
        "--connections": service.connections,
        "--service-time": service.service_time,
        "--direct": form_direct(nodes),
    }
    flags = [part for pair in arguments.items() for part in pair]
    return running.start(f"backend-{node.name}", "standins.backend", flags)


def form_direct(nodes):
    """Return all backend servers' addresses as their ``--direct`` wants them."""
    by_service = {}
    for node in nodes:
        addresses = by_service.setdefault(node.service.name, [])
        addresses.append(f"{HOST}:{node.backend}")
    return ",".join(f"{name}={'+'.join(all_)}" for name, all_ in by_service.items())


def apply_resources(running, mesh, path=RESOURCES):
    """Apply declared resources by the operators' command, at the first daemon.

    Raises:
        processes.NotReady: When the command fails.
    """
    arguments = ["apply", path, "--server", mesh.nodes[0].admin_url]
    command = running.start("apply", "whinwinch", arguments, mesh.env)
    running.finish([command], START_TIMEOUT)


def wait_until_ready(running, mesh):
    """Wait until every daemon says that it is ready."""
    probe = processes.build_probe()
    waiting = set(mesh.nodes)

    def are_ready():
        for node in tuple(waiting):
            answer = probe(f"{node.entry_url}/ready")
            if answer is not None and answer.status == 200:
                waiting.discard(node)
        return not waiting

    running.wait_until("daemons ready", are_ready, START_TIMEOUT)


def wait_until_reached(running, mesh):
    """Wait until every daemon can reach every service."""
    probe = processes.build_probe()
    names = {node.service.name for node in mesh.nodes}
    waiting = {(node, name) for node in mesh.nodes for name in names}

    def is_reached(node, name):
        url = f"{node.entry_url}/services/{name}/probe?work=0"
        answer = probe(url, headers=PROBE_HEADERS)
        return answer is not None and answer.status == 200

    def are_reached():
        waiting.difference_update([pair for pair in waiting if is_reached(*pair)])
        return not waiting

    running.wait_until("all services reached", are_reached, START_TIMEOUT)


def wait_until_in_force(running, mesh):
    """Wait until every daemon knows the resources.

    A payout without a key is refused by 400 once the resources are in force.
    Before that it would run, under no key, which no caller was promised
    anything about.
    """
    probe = processes.build_probe()
    waiting = set(mesh.nodes)

    def is_aware(node):
        url = f"{node.entry_url}/services/royalties/payouts?work=0"
        answer = probe(url, "POST", PROBE_HEADERS)
        return answer is not None and answer.status == 400

    def are_aware():
        waiting.difference_update([node for node in waiting if is_aware(node)])
        return not waiting

    running.wait_until("resources in force", are_aware, START_TIMEOUT)


def stop_mesh(running, mesh):
    """Stop backend servers, then daemons, then the log, each gracefully.

    Returns:
        Names of the processes that had to be killed or ended with an error.
    """
    groups = (mesh.backends, mesh.daemons, (mesh.log,))
    return [name for group in groups for name in running.stop(group)]


def read_runs(nodes):
    """Add up what all backend servers say that they ran.

    Returns:
        Runs by key and runs by request, as two dictionaries.
    """
    probe = processes.build_probe(timeout=10.0)
    by_key, by_request = {}, {}
    for node in nodes:
        ran = json.loads(probe(f"{node.backend_url}/ran").data)
        add_counts(by_key, ran["keys"])
        add_counts(by_request, ran["requests"])
    return by_key, by_request


def add_counts(total, counts):
    """Add counts by name to a total."""
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count
