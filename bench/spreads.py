"""Scaling of what many daemons do together: gossip, restarts, log reads."""

import asyncio
import math
import random
import time
import uuid
from typing import NamedTuple

from whinwinch import (
    configuration,
    joins,
    membership,
    membertable,
)
from whinwinch.logservice import client, joining, readers, relay, streams

from . import clocks, network, rounds
from .sizes import (
    MEDIUM,
    MEMBERS,
    REGIONS,
    SAMPLE,
    ZONES,
    Row,
    build_endpoint,
    count_services,
)
from .states import build_change

LOSS = 0.01
STEADY_SECONDS = 10.0
MAX_SPREAD_SECONDS = 60.0
MAX_ROUNDS = 600


def measure_gossip():
    """Measure idle gossip, and how a configuration change spreads."""
    for count in MEMBERS:
        size = f"{count:,} daemons"
        found = clocks.run_jumping(run_gossip(count))
        yield Row("messages, sent and received, idle", size, found.bytes, "B/s daemon")
        yield Row("exchanges that a daemon takes part in", size, found.rate, "1/s")
        yield Row("processor time without gRPC, idle", size, found.cpu, "us/s daemon")
        for share in (0.5, 0.99, 1.0):
            what = f"a change is known to {share:.0%} ({LOSS:.0%} lost)"
            yield Row(what, size, found.find_time(share) * 1e3, "ms")
        yield Row("bytes for that change", size, found.change, "B/daemon")


def measure_rumours(sizes=MEDIUM):
    """Measure how fast the failure of a daemon and of a zone spreads."""
    for count in sizes:
        size = f"{count:,} daemons"
        mesh = build_mesh(count)
        victim = random.Random(1).choice(list(mesh))
        del mesh[victim]
        seconds, sent = run_until_gone(mesh, {victim}, 0)
        clock = seconds
        yield Row("one daemon dies: gone everywhere after", size, seconds, "s")
        zone = [d for d, m in mesh.items() if m.local_member.endpoint.zone == "zone-0"]
        for daemon in zone:
            del mesh[daemon]
        seconds, sent = run_until_gone(mesh, set(zone), clock)
        what = f"a zone of {len(zone)} dies: gone at 99 % after"
        yield Row(what, size, seconds, "s")
        yield Row("members sent and received meanwhile", size, sent, "B/s daemon")


def measure_cut():
    """Measure how fast other regions detect one unreachable region of four."""
    for count in (100, 400, 1_000):
        mesh = build_mesh(count)
        others = [
            members
            for members in mesh.values()
            if members.local_member.endpoint.region != "region-0"
        ]
        for now in range(1, 121):
            rounds.run_round(mesh, float(now), is_same_side)
            if now in (10, 30, 60, 120):
                found = sum("region-0" in m.find_unreachable_regions() for m in others)
                what = f"daemons that leave it out after {now} s"
                yield Row(what, f"{count:,} daemons", found / len(others) * 100, "%")


def is_same_side(one, other):
    """Return whether two endpoints are both inside or both outside region 0."""
    return (one.region == "region-0") == (other.region == "region-0")


def measure_restart(sizes=MEDIUM):
    """Measure a concurrent restart of a zone: joins, log requests, peer traffic."""
    for count in sizes:
        size = f"{count:,} daemons"
        found = clocks.run_jumping(run_restart(count))
        what = f"{found.restarted} restart: all have the whole list after"
        yield Row(what, size, found.whole, "s")
        yield Row("appends in the busiest second", size, found.appends, "1/s")
        yield Row("reads in the busiest second", size, found.reads, "1/s")
        yield Row("given to newcomers by a living daemon", size, found.given, "B")


def measure_log():
    """Compute the log readers and read rates that the policies cause."""
    for count in MEMBERS:
        size = f"{count:,} daemons"
        members = [membertable.Member(build_endpoint(i, count)) for i in range(count)]
        found = len(find_readers(members))
        yield Row("readers of the configuration", size, found, "daemons")
        yield Row("long polls of the configuration", size, found / 5.0, "reads/s")
        source = random.Random(1)
        intervals = [joins.find_read_interval(count, source) for _ in range(1000)]
        reads = 2 * count * len(intervals) / sum(intervals)
        yield Row("reads of the stream of members", size, reads, "reads/s")


def find_readers(members):
    """Return the members that read the configuration from the log."""
    zones = {}
    for member in members:
        zones.setdefault(member.endpoint.zone, []).append(member)
    return [
        member_of_zone
        for of_zone in zones.values()
        for member_of_zone in of_zone
        if readers.is_reader(of_zone, member_of_zone, streams.CONFIGURATION, 0.0)
    ]


class Spread(NamedTuple):
    """Results of a gossip run.

    Attributes:
        bytes: Bytes per second that an idle daemon sends and receives.
        rate: Exchanges per second in which an idle daemon takes part.
        cpu: Processor microseconds per second of an idle daemon, without gRPC.
        times: Seconds until each daemon received the change, sorted.
        change: Bytes per daemon, in addition to idle traffic, to spread the change.
    """

    bytes: float
    rate: float
    cpu: float
    times: tuple[float, ...]
    change: float

    def find_time(self, share):
        """Return the seconds until a share of the daemons had received the change."""
        return self.times[max(0, int(share * len(self.times)) - 1)]


def build_relay():
    """Return a relay with a real configuration, as in a daemon."""
    state = configuration.Configuration()
    kept = relay.RecordStore(lambda data: None)

    def apply_record(record):
        applied = state.apply(record.offset, record.time, record.data)
        kept.add(record)
        return applied.ground is not configuration.ApplyReason.GAP

    return relay.Relay(apply_record, kept.records_from, lambda: state.offset)


def build_network(count):
    """Return a network of daemons that each know all members."""
    source = random.Random(1)
    mesh = network.Network(lambda sender, receiver: source.random() >= LOSS)
    for members in network.build_memberships(
        count, ZONES, REGIONS, count_services(count)
    ):
        mesh.add(members, build_relay())
    return mesh


async def run_gossip(count):
    """Run idle daemons, then spread a change from the readers of the log."""
    mesh = build_network(count)
    found = []

    async def steps():
        await asyncio.sleep(3.0)
        idle = await observe(mesh, STEADY_SECONDS)
        sent = mesh.sent
        start = asyncio.get_running_loop().time()
        times = await spread_change(mesh)
        elapsed = asyncio.get_running_loop().time() - start
        change = 2 * (mesh.sent - sent) / count - idle[0] * elapsed
        found.append(Spread(*idle, times, change))

    await mesh.run(steps())
    return found[0]


async def observe(mesh, seconds):
    """Return bytes, exchanges and processor microseconds per daemon and second."""
    sent, exchanges, start = mesh.sent, mesh.exchanges, time.process_time()
    await asyncio.sleep(seconds)
    share = seconds * len(mesh.daemons)
    return (
        2 * (mesh.sent - sent) / share,
        2 * (mesh.exchanges - exchanges) / share,
        (time.process_time() - start) / share * 1e6,
    )


async def spread_change(mesh):
    """Pass a record to the readers.

    Returns:
        Sorted seconds until each daemon received it, infinite if it didn't in time.
    """
    loop = asyncio.get_running_loop()
    record = client.Record(0, 0.0, build_change(1))
    members = [daemon.members.local_member for daemon in mesh.daemons.values()]
    for member in find_readers(members):
        daemon = mesh.daemons[member.endpoint.address]
        daemon.relay.apply_records([record])
        daemon.wake.set()
    start = loop.time()
    waiting = list(mesh.daemons.values())
    times = []
    while waiting and loop.time() - start < MAX_SPREAD_SECONDS:
        await asyncio.sleep(0.02)
        left = [daemon for daemon in waiting if daemon.relay.offset == 0]
        times.extend([loop.time() - start] * (len(waiting) - len(left)))
        waiting = left
    return tuple(times) + (math.inf,) * len(waiting)


def build_mesh(count):
    """Return memberships by daemon identifier that each contain all members."""
    found = network.build_memberships(count, ZONES, REGIONS, count_services(count))
    return {members.local_member.endpoint.daemon: members for members in found}


def run_until_gone(mesh, victims, start):
    """Run rounds until sampled daemons have recorded 99 % of the victims as gone.

    Returns:
        Elapsed seconds, and bytes of members per second and daemon.
    """
    source = random.Random(1)
    sampled = source.sample(list(mesh.values()), min(len(mesh), SAMPLE))
    wanted = set(source.sample(sorted(victims), min(len(victims), SAMPLE)))
    sent = 0
    for now in range(1, MAX_ROUNDS):
        traffic = rounds.run_round(
            mesh, start + now, lambda a, b: source.random() >= LOSS
        )
        sent += 2 * traffic.member_bytes
        missing = sum(count_present(members, wanted) for members in sampled)
        if missing <= 0.01 * len(sampled) * len(wanted):
            break
    return now, sent / now / len(mesh)


def count_present(members, daemons):
    """Count the daemons that a membership contains and doesn't record as gone."""
    known = (members.get(daemon) for daemon in daemons)
    return sum(m is not None and m.state is not membertable.State.GONE for m in known)


class Restart(NamedTuple):
    """Results of the restart of a zone.

    Attributes:
        restarted: Number of daemons that restarted.
        whole: Seconds until each of them had at least 99 % of the members.
        appends: Maximum number of log appends in one second.
        reads: Maximum number of log reads in one second.
        given: Mean bytes of gossip per daemon until then.
    """

    restarted: int
    whole: float
    appends: float
    reads: float
    given: float


class CountingLog:
    """In-memory stream of members that counts reads and appends per second."""

    def __init__(self, records):
        self.records = records
        self.reads = {}
        self.appends = {}

    async def read(self, offset, limit, wait):
        """Return a page of records, with the delay between two zones."""
        count_now(self.reads)
        await asyncio.sleep(network.DELAYS[1])
        page = self.records[offset : offset + limit]
        return client.Page(tuple(page), 0, len(self.records))

    async def append(self, data):
        """Append a record."""
        count_now(self.appends)
        now = asyncio.get_running_loop().time()
        self.records.append(client.Record(len(self.records), now, data))


def count_now(counts):
    """Increment the count of the current second."""
    second = int(asyncio.get_running_loop().time())
    counts[second] = counts.get(second, 0) + 1


async def run_restart(count):
    """Restart all daemons of one zone concurrently, with new identifiers."""
    mesh = build_network(count)
    addresses = [
        address
        for address, daemon in mesh.daemons.items()
        if daemon.members.local_member.endpoint.zone == "zone-0"
    ]
    data = joins.encode_record(
        joins.build_join(next(iter(mesh.daemons.values())).members, random.Random(1))
    )
    log = CountingLog([client.Record(0, 0.0, data)])
    for number, address in enumerate(addresses):
        old = mesh.daemons.pop(address).members.local_member.endpoint
        fresh = old._replace(daemon=uuid.uuid5(uuid.NAMESPACE_OID, address).hex)
        source = random.Random(number)
        mesh.add(membership.Membership(fresh, source), build_relay())
    newcomers = [mesh.daemons[address] for address in addresses]
    found = []

    async def steps():
        loop = asyncio.get_running_loop()
        tasks = [
            asyncio.create_task(
                joining.run_joining(log.read, log.append, d.members, random.Random(i))
            )
            for i, d in enumerate(newcomers)
        ]
        wanted = 0.99 * count
        await network.wait_for(
            lambda: all(len(d.members) >= wanted for d in newcomers), 900.0, 1.0
        )
        whole = loop.time()
        given = mesh.sent / count
        await asyncio.sleep(60.0)
        for task in tasks:
            task.cancel()
        found.append(
            Restart(
                len(newcomers),
                whole,
                max(log.appends.values()),
                max(log.reads.values()),
                given,
            )
        )

    await mesh.run(steps())
    return found[0]
