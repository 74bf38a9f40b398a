"""Slopes of what many daemons do together: gossip, restarts, the log."""

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
LONGEST_SPREAD = 60.0
LONGEST_RUN = 600


def measure_gossip():
    """Measure an interval of gossip without news, and the spread of a change."""
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
    """Measure how long the death of a daemon and of a zone takes to be known."""
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
    """Measure how soon the others notice that one region of four is cut off."""
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
    """Tell whether no cut of region 0 lies between two endpoints."""
    return (one.region == "region-0") == (other.region == "region-0")


def measure_restart(sizes=MEDIUM):
    """Measure a zone that restarts at once: its joins, the log, the peers."""
    for count in sizes:
        size = f"{count:,} daemons"
        found = clocks.run_jumping(run_restart(count))
        what = f"{found.restarted} restart: all have the whole list after"
        yield Row(what, size, found.whole, "s")
        yield Row("appends in the busiest second", size, found.appends, "1/s")
        yield Row("reads in the busiest second", size, found.reads, "1/s")
        yield Row("given to newcomers by a living daemon", size, found.given, "B")


def measure_log():
    """Count who reads and appends, from the policies themselves."""
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
    """Return those of the members that read the configuration."""
    zones = {}
    for member in members:
        zones.setdefault(member.endpoint.zone, []).append(member)
    return [
        own
        for of_zone in zones.values()
        for own in of_zone
        if readers.is_reader(of_zone, own, streams.CONFIGURATION, 0.0)
    ]


class Spread(NamedTuple):
    """What a run of gossip showed.

    Attributes:
        bytes: Bytes a second, sent and received, of a daemon without news.
        rate: Exchanges a second that a daemon takes part in.
        cpu: Microseconds a second of processor time of a daemon, without gRPC.
        times: Seconds after which each daemon knew the change, sorted.
        change: Bytes of a daemon, beyond the usual, while the change spread.
    """

    bytes: float
    rate: float
    cpu: float
    times: tuple[float, ...]
    change: float

    def find_time(self, share):
        """Return the seconds after which a share of the daemons knew."""
        return self.times[max(0, int(share * len(self.times)) - 1)]


def build_relay():
    """Return a relay over a real configuration, as a daemon has it."""
    state = configuration.Configuration()
    kept = relay.RecordStore(lambda data: None)

    def apply_record(record):
        applied = state.apply(record.offset, record.time, record.data)
        kept.add(record)
        return applied.ground is not configuration.ApplyReason.GAP

    return relay.Relay(apply_record, kept.records_from, lambda: state.offset)


def build_network(count):
    """Return a network of daemons that all know each other."""
    source = random.Random(1)
    mesh = network.Network(lambda sender, receiver: source.random() >= LOSS)
    for members in network.build_memberships(
        count, ZONES, REGIONS, count_services(count)
    ):
        mesh.add(members, build_relay())
    return mesh


async def run_gossip(count):
    """Run daemons without news, then let the readers of the log see a change."""
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
    """Return bytes, exchanges and microseconds of a daemon in a second."""
    sent, exchanges, start = mesh.sent, mesh.exchanges, time.process_time()
    await asyncio.sleep(seconds)
    share = seconds * len(mesh.daemons)
    return (
        2 * (mesh.sent - sent) / share,
        2 * (mesh.exchanges - exchanges) / share,
        (time.process_time() - start) / share * 1e6,
    )


async def spread_change(mesh):
    """Give a record to the readers; return when each daemon knew it, sorted."""
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
    while waiting and loop.time() - start < LONGEST_SPREAD:
        await asyncio.sleep(0.02)
        left = [daemon for daemon in waiting if daemon.relay.offset == 0]
        times.extend([loop.time() - start] * (len(waiting) - len(left)))
        waiting = left
    return tuple(times) + (math.inf,) * len(waiting)


def build_mesh(count):
    """Return memberships by identifier that all know each other."""
    found = network.build_memberships(count, ZONES, REGIONS, count_services(count))
    return {members.local_member.endpoint.daemon: members for members in found}


def run_until_gone(mesh, victims, start):
    """Run rounds until 99 % of the news have arrived at a sample of the daemons.

    Returns:
        Seconds that it took, and bytes of members a second for each daemon.
    """
    source = random.Random(1)
    sampled = source.sample(list(mesh.values()), min(len(mesh), SAMPLE))
    wanted = set(source.sample(sorted(victims), min(len(victims), SAMPLE)))
    sent = 0
    for now in range(1, LONGEST_RUN):
        traffic = rounds.run_round(
            mesh, start + now, lambda a, b: source.random() >= LOSS
        )
        sent += 2 * traffic.member_bytes
        missing = sum(count_present(members, wanted) for members in sampled)
        if missing <= 0.01 * len(sampled) * len(wanted):
            break
    return now, sent / now / len(mesh)


def count_present(members, daemons):
    """Count the daemons that a membership doesn't know to be gone."""
    known = (members.get(daemon) for daemon in daemons)
    return sum(m is not None and m.state is not membertable.State.GONE for m in known)


# A zone that restarts.


class Restart(NamedTuple):
    """What the restart of a zone showed.

    Attributes:
        restarted: How many daemons restarted.
        whole: Seconds until all of them knew all members.
        appends: Appends to the log in the busiest second.
        reads: Reads of the log in the busiest second.
        given: Bytes that a living daemon gave to newcomers and others.
    """

    restarted: int
    whole: float
    appends: float
    reads: float
    given: float


class CountingLog:
    """The stream of members in memory; counts by the second."""

    def __init__(self, records):
        self.records = records
        self.reads = {}
        self.appends = {}

    async def read(self, offset, limit, wait):
        """Read as the log does."""
        count_now(self.reads)
        await asyncio.sleep(network.DELAYS[1])
        page = self.records[offset : offset + limit]
        return client.Page(tuple(page), 0, len(self.records))

    async def append(self, data):
        """Append as the log does."""
        count_now(self.appends)
        now = asyncio.get_running_loop().time()
        self.records.append(client.Record(len(self.records), now, data))


def count_now(counts):
    """Count one more for the present second."""
    second = int(asyncio.get_running_loop().time())
    counts[second] = counts.get(second, 0) + 1


async def run_restart(count):
    """Restart the daemons of one zone at once, with new identifiers."""
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
