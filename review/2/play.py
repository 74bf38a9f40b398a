"""Daemons of one zone are stopped in turn while their clients go on sending."""

import asyncio
import collections
import pathlib
import random
import sys
from typing import NamedTuple

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from parts import deployment, wire  # noqa: E402

HOST = "pellets.example"
CALM_SECONDS = 8.0
# Seconds between the stops of two daemons.
GAP_SECONDS = 1.0
PROBE_SECONDS = 1.0
# Seconds from the end of a process to its next start.
RESTART_SECONDS = 0.5
# A request that was sent within this time after SIGTERM may be cut off if its endpoint
# is at work in the last sixth of the grace time.
EXCUSED_SECONDS = 3.0
LAST_SIXTH = deployment.GRACE_SECONDS * 5 / 6


class Kind(NamedTuple):
    """A kind of request, with figures inside those of the site.

    Attributes:
        service: Service that its route leads to.
        method: HTTP method.
        kind: "safe" or "unsafe".
        priority: Rank of its route.
        work: Shortest and longest work in seconds.
        timeout: Timeout of its route in seconds.
        deadline: Seconds that its clients wait.
        per_second: Requests a second at each machine that has clients.
    """

    service: str
    method: str
    kind: str
    priority: int
    work: tuple
    timeout: float
    deadline: float
    per_second: float


# delivery-status-read: work up to 3.8 s, timeout 4 s, deadline 8 s.
STATUS = Kind("tracking", "GET", "safe", 2, (2.4, 3.6), 4.0, 8.0, 5.0)
# bulk-order-place: work up to 1.6 s, timeout 1.2 s, deadline 5 s.
ORDER = Kind("orders", "POST", "unsafe", 0, (0.8, 1.1), 1.2, 5.0, 5.0)
KINDS = {kind.service: kind for kind in (STATUS, ORDER)}
# Service and zone of each machine.
MACHINES = (
    ("tracking", "zone-a"),
    ("tracking", "zone-a"),
    ("tracking", "zone-b"),
    ("orders", "zone-b"),
    ("orders", "zone-b"),
)
CONFIGURATION = {
    "version": "r7",
    "routes": {
        f"r-{service}": {
            "host": HOST,
            "path_prefix": f"/{service}/",
            "kind": kind.kind,
            "timeout": f"{int(kind.timeout * 1000)}ms",
            "target_latency": "2000ms",
            "priority": kind.priority,
            "service": service,
            "max_attempts": 2,
        }
        for service, kind in KINDS.items()
    },
    "services": {
        service: {"health_check_path": "/healthz", "max_connections": 352}
        for service in KINDS
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}


class Sent(NamedTuple):
    """A request that ended.

    Attributes:
        request: Its id.
        kind: Its `Kind`.
        daemon: The daemon that its client sent it to.
        sent: Time at which it was sent.
        ended: Time of its answer, or of the end of its connection.
        status: Status of the answer, 0 without a complete one.
    """

    request: str
    kind: Kind
    daemon: deployment.Daemon
    sent: float
    ended: float
    status: int


class Slow(deployment.Endpoint):
    """An endpoint whose work takes as long as its kind of request says."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, slots=42, **kwargs)
        self._random = random.Random(self.identity)

    async def answer(self, request, writer):
        """Run a request and return the bytes of its answer."""
        self.work = self._random.uniform(*KINDS[self.service].work)
        return await super().answer(request, writer)


class Zone:
    """The daemons of one zone as the platform probes them.

    Args:
        daemons: The `deployment.Daemon` objects.
    """

    def __init__(self, daemons):
        self._misses = dict.fromkeys(daemons, 0)

    async def keep_probing(self, daemon):
        """Probe the readiness of a daemon until cancelled."""
        while True:
            self._misses[daemon] = (
                0 if await daemon.is_ready() else 1 + self._misses[daemon]
            )
            await asyncio.sleep(PROBE_SECONDS)

    def gets_work(self, daemon):
        """Return whether the clients beside a daemon get new work."""
        count = sum(misses < 2 for misses in self._misses.values())
        return self._misses[daemon] < 2 or 2 * count < len(self._misses)


async def play(machines, has_trouble):
    """Return whether planned stops cut off nothing."""
    record = machines.record
    machines.store.configure(CONFIGURATION)
    for number, (service, name) in enumerate(MACHINES):
        await machines.add(Slow(machines, f"i-{number}", service), name)
    await machines.wait_ready()
    await asyncio.sleep(deployment.CONTACT_SECONDS)
    daemons = [machine.daemon for machine in machines.machines[:2]]
    zone, ended = Zone(daemons), []
    async with asyncio.TaskGroup() as tasks:
        running = [tasks.create_task(zone.keep_probing(each)) for each in daemons]
        running += [
            tasks.create_task(keep_sending(kind, each, zone, ended, record))
            for each in daemons
            for kind in KINDS.values()
        ]
        await asyncio.sleep(CALM_SECONDS)
        stops = []
        for daemon in daemons:
            if has_trouble:
                stops.append(tasks.create_task(stop_and_start(daemon)))
            await asyncio.sleep(GAP_SECONDS)
        signalled = dict(zip(daemons, await asyncio.gather(*stops), strict=False))
        await asyncio.sleep(CALM_SECONDS)
        for each in running:
            each.cancel()
    return judge(machines, signalled, ended)


async def stop_and_start(daemon):
    """Stop a daemon as the platform does; return when SIGTERM was sent."""
    daemon.terminate()
    signalled = daemon.disturbed
    try:
        await asyncio.wait_for(daemon.wait(), deployment.GRACE_SECONDS)
    except TimeoutError:
        daemon.kill()
        await daemon.wait()
    await asyncio.sleep(RESTART_SECONDS)
    await daemon.start()
    return signalled


def judge(machines, signalled, ended):
    """Return whether the rule held."""
    record = machines.record
    ran = {run.request for run in machines.runs}
    cut = [
        each
        for each in ended
        if not each.status
        and each.request in ran
        and each.daemon in signalled
        and is_cut(each, signalled[each.daemon])
    ]
    for each in cut:
        since = each.sent - signalled[each.daemon]
        seconds = each.ended - each.sent
        record.write(
            "cut-off",
            request=each.request,
            kind=each.kind.kind,
            sent_after_signal=round(since, 3),
            seconds=round(seconds, 3),
        )
    statuses = dict(collections.Counter(each.status for each in ended))
    record.write("answers", statuses=statuses)
    print(f"answers {statuses}, 0 for none")
    unsafe = sum(each.kind is ORDER for each in cut)
    print(
        f"accepted after SIGTERM, run and cut off: {len(cut)}, {unsafe} of them unsafe"
    )
    return not cut


def is_cut(each, signalled):
    """Return whether the rule counts a request that got no complete answer."""
    since, until = each.sent - signalled, each.ended - signalled
    if not 0.0 <= until <= deployment.GRACE_SECONDS + 1.0:
        return False
    if each.ended - each.sent >= each.kind.timeout:
        return False
    return not (since <= EXCUSED_SECONDS and until >= LAST_SIXTH)


async def keep_sending(kind, daemon, zone, ended, record):
    """Send requests at a machine, while its clients get work, until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        number = 0
        while True:
            if zone.gets_work(daemon):
                identifier = f"{daemon.name}-{kind.service}-{number}"
                tasks.create_task(send(kind, daemon, identifier, ended, record))
            number += 1
            await asyncio.sleep(1.0 / kind.per_second)


async def send(kind, daemon, identifier, ended, record):
    """Send one request over a new connection and note how it ends."""
    headers = (
        ("Host", HOST),
        ("X-Request-Id", identifier),
        ("X-Deadline-Ms", str(int(kind.deadline * 1000))),
    )
    data = wire.build_request(kind.method, f"/{kind.service}/1", headers)
    sent = record.seconds
    record.write("send", request=identifier)
    try:
        status = (await deployment.ask(daemon.outbound, data, kind.deadline)).status
    except (OSError, EOFError, TimeoutError) as error:
        status = 0
        record.write("no-answer", request=identifier, error=type(error).__name__)
    else:
        record.write("answer", request=identifier, status=status)
    ended.append(Sent(identifier, kind, daemon, sent, record.seconds, status))


if __name__ == "__main__":
    deployment.run_case(play, FOLDER)
