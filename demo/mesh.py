"""The Press's mesh at its current size, as processes on the local machine."""

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
START_TIMEOUT = 40.0  # seconds
# Appends per second; the Press's log accepts several hundred.
LOG_RATE = 300
PROBE_HEADERS = {"Whinwinch-Timeout": "2000", "Whinwinch-Caller": "probe"}


class Service(NamedTuple):
    """A service of the mesh, with one endpoint in each availability zone.

    Attributes:
        name: Name of the service.
        slots: Number of slots of each endpoint.
        connections: Maximum number of connections of each endpoint.
        service_time: Seconds for which a request occupies a slot.
    """

    name: str
    slots: int
    connections: int
    service_time: float

    @property
    def capacity(self):
        """Requests per second that all its endpoints can process together."""
        return len(ZONES) * self.slots / self.service_time


# Slots and connections are those of the Press. The service times are long enough
# for one machine to run the mesh, its daemons and the callers.
SERVICES = (
    Service("catalog", 70, 500, 0.03),
    Service("submissions", 10, 150, 0.4),
    Service("royalties", 70, 500, 0.05),
    Service("archive", 70, 500, 0.04),
)


class Node(NamedTuple):
    """A backend server and its daemon.

    Attributes:
        service: `Service` of the backend server.
        zone: Availability zone.
        entry: Port on which the daemon serves callers.
        loopback: Port on which the daemon serves the local backend server.
        peer: Port on which the daemon serves other daemons.
        backend: Port of the backend server.
        admin: Port on which the daemon serves operators.
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
        """Name of the node, as used in the names of its output files."""
        return f"{self.service.name}-{self.zone}"

    @property
    def entry_url(self):
        """URL at which the daemon serves callers."""
        return f"http://{HOST}:{self.entry}"

    @property
    def admin_url(self):
        """URL at which the daemon serves operators."""
        return f"http://{HOST}:{self.admin}"

    @property
    def backend_url(self):
        """URL of the backend server, without its daemon."""
        return f"http://{HOST}:{self.backend}"


class Mesh(NamedTuple):
    """A started mesh.

    Attributes:
        log: Process of the log.
        daemons: Processes of the daemons.
        backends: Processes of the backend servers.
        nodes: `Node` of each pair of daemon and backend server.
        env: Environment variables of the daemons and of operator commands.
        log_url: URL of the log.
    """

    log: processes.Process
    daemons: tuple[processes.Process, ...]
    backends: tuple[processes.Process, ...]
    nodes: tuple[Node, ...]
    env: dict[str, str]
    log_url: str


# Fields of `Node` that are ports.
PORT_FIELDS = ("entry", "loopback", "peer", "backend", "admin")


def place_nodes(services=SERVICES, zones=ZONES):
    """Return a `Node` for each service in each zone, with free ports."""
    places = [(service, zone) for service in services for zone in zones]
    ports = iter(processes.find_ports(len(PORT_FIELDS) * len(places)))
    return tuple(
        Node(*place, *itertools.islice(ports, len(PORT_FIELDS))) for place in places
    )


def start_mesh(running, nodes, log_options=(), find_env=lambda node: {}):
    """Start the log, the daemons and the backend servers, without waiting for them.

    Args:
        running: `processes.Processes`.
        nodes: Tuple of `Node`.
        log_options: Additional arguments of the log.
        find_env: Function from a `Node` to additional environment variables of
            its daemon.

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
        "--direct": build_direct_option(nodes),
    }
    flags = [part for pair in arguments.items() for part in pair]
    return running.start(f"backend-{node.name}", "standins.backend", flags)


def build_direct_option(nodes):
    """Return the value of ``--direct``, the addresses of all backend servers."""
    by_service = {}
    for node in nodes:
        addresses = by_service.setdefault(node.service.name, [])
        addresses.append(f"{HOST}:{node.backend}")
    return ",".join(
        f"{name}={'+'.join(endpoints)}" for name, endpoints in by_service.items()
    )


def apply_resources(running, mesh, path=RESOURCES):
    """Apply declared resources at the first daemon, by the operators' command.

    Raises:
        processes.NotReady: When the command fails.
    """
    arguments = ["apply", path, "--server", mesh.nodes[0].admin_url]
    command = running.start("apply", "whinwinch", arguments, mesh.env)
    running.finish([command], START_TIMEOUT)


def wait_until_ready(running, mesh):
    """Wait until every daemon reports that it is ready."""
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

    def can_reach(node, name):
        url = f"{node.entry_url}/services/{name}/probe?work=0"
        answer = probe(url, headers=PROBE_HEADERS)
        return answer is not None and answer.status == 200

    def can_reach_all():
        waiting.difference_update([pair for pair in waiting if can_reach(*pair)])
        return not waiting

    running.wait_until("all services reached", can_reach_all, START_TIMEOUT)


def wait_until_in_force(running, mesh):
    """Wait until every daemon applies the resources.

    Once the resources apply, a payout without an idempotency key is refused with
    400. Before that the payout runs without a key, so that no guarantee covers
    it.
    """
    probe = processes.build_probe()
    waiting = set(mesh.nodes)

    def has_resources(node):
        url = f"{node.entry_url}/services/royalties/payouts?work=0"
        answer = probe(url, "POST", PROBE_HEADERS)
        return answer is not None and answer.status == 400

    def have_resources():
        waiting.difference_update([node for node in waiting if has_resources(node)])
        return not waiting

    running.wait_until("resources in force", have_resources, START_TIMEOUT)


def stop_mesh(running, mesh):
    """Stop backend servers, then daemons, then the log, all gracefully.

    Returns:
        Names of the processes that had to be killed or ended with an error.
    """
    groups = (mesh.backends, mesh.daemons, (mesh.log,))
    return [name for group in groups for name in running.stop(group)]


def read_runs(nodes):
    """Add up the execution counts of all backend servers.

    Returns:
        Two dictionaries: executions by idempotency key and by request identifier.
    """
    probe = processes.build_probe(timeout=10.0)
    by_key, by_request = {}, {}
    for node in nodes:
        ran = json.loads(probe(f"{node.backend_url}/ran").data)
        add_counts(by_key, ran["keys"])
        add_counts(by_request, ran["requests"])
    return by_key, by_request


def add_counts(total, counts):
    """Add counts by name to a dictionary of totals."""
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count
