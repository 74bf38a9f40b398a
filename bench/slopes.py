"""How costs grow with size, measured in one process (``make slopes``).

Each table has three sizes or more. Nothing here is a mesh of processes: many
instances of the state run in one, on a clock that jumps, and the transport is
measured by itself. `docs/CAPACITY.md` works the size of two years out of them.
"""

import argparse
import asyncio
import gc
import math
import random
import subprocess
import sys
import time
import tracemalloc
import uuid
from typing import NamedTuple

from bench import clocks, network, rounds, wire
from whinwinch import (
    claims,
    configuration,
    gate,
    joins,
    membership,
    membertable,
    messages,
    placement,
    resources,
)
from whinwinch.daemons import gossip, peer_pb2
from whinwinch.logservice import client, joining, readers, relay, streams
from whinwinch.operators import store

MEMBERS = (100, 1_000, 4_500)
MEDIUM = (100, 400, 1_000)
ZONES = 9
REGIONS = 4
ENDPOINTS_PER_SERVICE = 5
LOSS = 0.01
STEADY_SECONDS = 10.0
LONGEST_SPREAD = 60.0
LONGEST_RUN = 600
SAMPLE = 100
# Bytes of TCP and IP headers of one packet.
PACKET_HEADERS = 52


class Row(NamedTuple):
    """One measurement.

    Attributes:
        what: What was measured.
        size: At which size.
        value: The figure.
        unit: Its unit.
    """

    what: str
    size: str
    value: float
    unit: str


def main():
    """Run the measurements that are asked for and print them as tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--only",
        choices=sorted(SLOPES),
        action="append",
        help="measure only this; what ends in -large takes a quarter of an hour",
    )
    chosen = parser.parse_args().only or [n for n in SLOPES if n not in SLOW]
    for name in chosen:
        start = time.perf_counter()
        print(f"\n{name}", flush=True)
        for row in SLOPES[name]():
            text = f"  {row.what:<52}{row.size:>16}{row.value:>14,.1f} {row.unit}"
            print(text, flush=True)
        print(f"  ({time.perf_counter() - start:.0f} s)", flush=True)


def measure_members():
    """Measure what a member costs and what is done for each."""
    for count in MEMBERS:
        packed = [
            gossip.pack_member(membertable.Member(build_endpoint(i, count)))
            for i in range(1, count)
        ]
        data = peer_pb2.GossipAnswer(members=packed).SerializeToString()
        size = f"{count:,} members"
        yield Row("member list on the wire", size, len(data) / count, "B/member")
        fresh = membership.Membership(build_endpoint(0, count), random.Random(1))
        seconds = time_once(lambda data=data, fresh=fresh: receive_all(fresh, data))
        yield Row("take the list in", size, seconds / count * 1e6, "us/member")
        held = measure_memory(lambda count=count, data=data: build_one(count, data))
        yield Row("member list in memory", size, held / count, "B/member")
        service = fresh.own.endpoint.service
        yield Row(
            "find the endpoints of a service",
            size,
            time_each(lambda f=fresh, s=service: f.find_endpoints(s)),
            "us",
        )
        yield Row(
            "exchange a partner (each 10 s)",
            size,
            time_each(lambda f=fresh: f.plan(time.monotonic() * 1e3), 200),
            "us",
        )
        yield Row(
            "decide whether to read the log (each 2 s)",
            size,
            time_each(lambda f=fresh: is_reader(f), 50),
            "us",
        )


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
        zone = [d for d, m in mesh.items() if m.own.endpoint.zone == "zone-0"]
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
            if members.own.endpoint.region != "region-0"
        ]
        for now in range(1, 121):
            rounds.run_round(mesh, float(now), is_same_side)
            if now in (10, 30, 60, 120):
                found = sum("region-0" in m.find_cut_regions() for m in others)
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


def measure_wires():
    """Measure gRPC beside the messages."""
    for size in (100, 1_000, 10_000):
        found = wire.measure_wire(size)
        label = f"{size:,} B each way"
        yield Row("kept connection: bytes added", label, found.bytes - 2 * size, "B")
        yield Row("new connection: bytes", label, found.first_bytes - 2 * size, "B")
        yield Row("processor time of both ends", label, found.microseconds, "us")


def measure_claims():
    """Measure claims in batches of several sizes."""
    for batch in (1, 10, 100, 500):
        entries = [build_claim(number) for number in range(batch)]
        data = claims.encode_batch(entries)
        size = f"batches of {batch}"
        yield Row("claim in the log", size, len(data) / batch, "B/claim")
        count = max(1, 2_000 // batch)
        seconds = time_each(lambda e=entries: claims.encode_batch(e), count)
        yield Row("encode", size, seconds / batch, "us/claim")
        yield Row("read and fold", size, fold_claims(batch, count) / batch, "us/claim")
    for count in (1_000, 5_000, claims.CAPACITY):
        held = measure_memory(lambda count=count: hold_claims(count))
        yield Row("key remembered", f"{count:,} keys", held / count, "B/key")


def measure_configuration():
    """Measure changes and resources of the configuration."""
    for count in (100, 890, 3_000):
        size = f"{count:,} resources"
        records = [build_change(number) for number in range(count)]
        wide = sum(map(len, records)) / count
        yield Row("change in the log", size, wide, "B/change")
        held = measure_memory(lambda records=records: apply_changes(records))
        yield Row("resource in memory", size, held / count, "B/resource")
        state = apply_changes(records)
        seconds = time_once(lambda records=records: apply_changes(records))
        yield Row("decide on a change", size, seconds / count * 1e6, "us/change")
        view = build_store(records)
        extra = build_change(count)
        yield Row(
            "put a change in force on a daemon",
            size,
            time_once(lambda v=view, n=count, e=extra: v.apply_record(n, 1e9, e)) * 1e6,
            "us/change",
        )
        snapshot = state.encode_snapshot()
        yield Row("snapshot", size, len(snapshot) / count, "B/resource")
        seconds = time_once(state.encode_snapshot)
        yield Row("write a snapshot", size, seconds / count * 1e6, "us/resource")
        fresh = configuration.Configuration()
        seconds = time_once(lambda f=fresh, s=snapshot: f.install(s))
        yield Row("take a snapshot in", size, seconds / count * 1e6, "us/resource")


def measure_calls():
    """Measure the decisions on the path of a call."""
    for count in (4, 16, 64):
        endpoints = tuple(rounds.build_endpoint(i, ZONES) for i in range(count))
        choice = build_placement(endpoints)
        yield Row(
            "choose an endpoint",
            f"{count} endpoints",
            time_each(lambda c=choice, e=endpoints: c.choose(build_request(0), e, 9.0)),
            "us/call",
        )
    for count in (10, 100, 1_000):
        yield Row(
            "admit and finish",
            f"{count:,} in service",
            time_gate(count),
            "us/call",
        )


def measure_imports():
    """Measure what a process holds before it has any state."""
    for what, modules in IMPORTS.items():
        program = f"{modules}\n{PRINT_RESIDENT}"
        found = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, check=True, text=True
        )
        yield Row("resident after importing", what, float(found.stdout), "MB")


PRINT_RESIDENT = """
import resource
pages = int(open("/proc/self/statm").read().split()[1])
print(pages * resource.getpagesize() / 1e6)
"""
IMPORTS = {
    "nothing": "",
    "control": "import whinwinch.daemons.gossip, whinwinch.logservice.joining, "
    "whinwinch.logservice.claimer, whinwinch.operators.store",
    "data path": "import httptools, msgpack, urllib3, asyncio, absl.logging, "
    "hdrh.histogram",
    "daemon": "import whinwinch.daemon",
}

SLOPES = {
    "imports": measure_imports,
    "members": measure_members,
    "gossip": measure_gossip,
    "rumours": measure_rumours,
    "cut": measure_cut,
    "restart": measure_restart,
    "rumours-large": lambda: measure_rumours(MEMBERS[-1:]),
    "restart-large": lambda: measure_restart(MEMBERS[-1:]),
    "log": measure_log,
    "wire": measure_wires,
    "claims": measure_claims,
    "configuration": measure_configuration,
    "calls": measure_calls,
}

SLOW = ("rumours-large", "restart-large")


# Time and memory.


def time_once(function):
    """Return the seconds of processor time that one run takes."""
    start = time.process_time()
    function()
    return time.process_time() - start


def time_each(function, count=2_000):
    """Return the microseconds of processor time of one run among many."""
    start = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - start) / count * 1e6


def measure_memory(build):
    """Return the bytes that what `build` returns takes up."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


# Members and gossip.


def build_endpoint(number, count):
    """Return an endpoint of a mesh of that many daemons."""
    return rounds.build_endpoint(number, ZONES, REGIONS, count_services(count))


def count_services(count):
    """Return how many services a mesh of that many daemons has."""
    return max(1, count // ENDPOINTS_PER_SERVICE)


def build_one(count, data):
    """Return a membership that knows a packed list."""
    fresh = membership.Membership(build_endpoint(0, count), random.Random(1))
    receive_all(fresh, data)
    return fresh


def receive_all(members, data):
    """Take in a packed list of all members."""
    answer = peer_pb2.GossipAnswer.FromString(data)
    found = gossip.unpack_members(answer.members)
    members.take_page(membership.MemberPage(found, membertable.BUCKETS), 0.0)


def is_reader(members):
    """Decide as a daemon does whether it reads the configuration."""
    return readers.is_reader(members.members(), members.own, streams.CONFIGURATION, 0.0)


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
        return applied.ground is not configuration.Ground.GAP

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
    members = [daemon.members.own for daemon in mesh.daemons.values()]
    for member in find_readers(members):
        daemon = mesh.daemons[member.endpoint.address]
        daemon.relay.take([record])
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
    return {members.own.endpoint.daemon: members for members in found}


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
        if daemon.members.own.endpoint.zone == "zone-0"
    ]
    data = joins.encode_record(
        joins.build_join(next(iter(mesh.daemons.values())).members, random.Random(1))
    )
    log = CountingLog([client.Record(0, 0.0, data)])
    for number, address in enumerate(addresses):
        old = mesh.daemons.pop(address).members.own.endpoint
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


# Claims, configuration, calls.


def build_claim(number):
    """Return a claim like those of a gatekeeper."""
    source = random.Random(number)
    key = claims.make_key(1e9 + number / 1e3, source.getrandbits(74))
    attempt = uuid.UUID(int=source.getrandbits(128)).hex
    return claims.Claim(key, attempt, "f" * 32)


def fold_claims(batch, count):
    """Return the microseconds to fold in a batch of new claims."""
    state = claims.Claims()
    records = [
        claims.encode_batch(
            [build_claim(place * batch + number) for number in range(batch)]
        )
        for place in range(count)
    ]
    start = time.process_time()
    for offset, data in enumerate(records):
        state.apply(offset, 1e9, data)
    return (time.process_time() - start) / count * 1e6


def hold_claims(count):
    """Return claims that remember so many keys."""
    state = claims.Claims()
    for offset in range(count // 100):
        entries = [build_claim(offset * 100 + number) for number in range(100)]
        state.apply(offset, 1e9, claims.encode_batch(entries))
    return state


def build_change(number):
    """Return the record of a change that creates a service."""
    body = {
        "retry_budget": 3,
        "importance": "normal",
        "max_wait": 0.2,
        "calls": [
            {"name": "read", "method": "GET", "path": "/books", "idempotent": True},
            {
                "name": "pay",
                "method": "POST",
                "path": "/payouts",
                "importance": "critical",
                "idempotent": False,
            },
        ],
    }
    return configuration.encode_change(
        configuration.Change(
            change_id=f"{number:032x}",
            kind=resources.KIND_SERVICE,
            name=f"service-{number}",
            replaces=0,
            body=body,
            author="operator",
            made="2026-01-01T00:00:00Z",
        )
    )


def apply_changes(records):
    """Return the configuration after the records."""
    state = configuration.Configuration()
    for offset, data in enumerate(records):
        state.apply(offset, 1e9 + offset, data)
    return state


def build_store(records):
    """Return a daemon's store after the records."""
    found = store.Store(
        configuration.Configuration(),
        lambda stream, data: None,
        configuration.encode_change,
        streams.CONFIGURATION,
    )
    for offset, data in enumerate(records):
        found.apply_record(offset, 1e9, data)
    return found


def build_request(number):
    """Return a request for the first service."""
    return messages.Request(
        attempt=str(number),
        root=f"{number:032x}",
        service="service-0",
        call="read",
        method="GET",
        path="/",
        importance=messages.Importance.NORMAL,
        deadline=1e9,
        caller=f"caller-{number % 50}",
    )


def build_placement(endpoints):
    """Return a placement that has seen answers of all endpoints."""
    choice = placement.Placement("zone-0", random.Random(1))
    answer = messages.Answer("0", messages.Outcome.COMPLETED)
    for endpoint in endpoints * 10:
        choice.start(endpoint.daemon, 8.9)
        choice.observe(endpoint.daemon, answer, 0.05, 8.95)
    return choice


def time_gate(count):
    """Return the microseconds to admit and finish a call with others in service."""
    state = gate.Gate(2 * count)
    for number in range(count):
        state.offer(build_request(number), number * 1e-4)
    requests = [build_request(count + number) for number in range(2_000)]
    start = time.process_time()
    now = count * 1e-4
    for request in requests:
        now += 1e-3
        state.offer(request, now)
        state.finish(request.attempt, now + 1e-3, 1e-3, True)
    return (time.process_time() - start) / len(requests) * 1e6


if __name__ == "__main__":
    main()
