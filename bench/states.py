"""Scaling of the state and work of one daemon: members, claims, calls."""

import random
import subprocess
import sys
import time
import uuid

from whinwinch import (
    claims,
    configuration,
    gate,
    membership,
    membertable,
    messages,
    placement,
    resources,
)
from whinwinch.daemons import gossip, peer_pb2
from whinwinch.logservice import readers, streams
from whinwinch.operators import store

from . import rounds, wire
from .sizes import (
    MEMBERS,
    ZONES,
    Row,
    build_endpoint,
    measure_memory,
    time_each,
    time_once,
)

# Bytes of the TCP and IP headers of one packet.
PACKET_HEADER_BYTES = 52


def measure_members():
    """Measure the size of a member and the cost of operations on the member list."""
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
        yield Row("apply the list", size, seconds / count * 1e6, "us/member")
        memory = measure_memory(
            lambda count=count, data=data: build_membership(count, data)
        )
        yield Row("member list in memory", size, memory / count, "B/member")
        service = fresh.local_member.endpoint.service
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


def measure_wires():
    """Measure the transport overhead of a gossip exchange."""
    for size in (100, 1_000, 10_000):
        found = wire.measure_wire(size)
        label = f"{size:,} B each way"
        yield Row("kept connection: bytes added", label, found.bytes - 2 * size, "B")
        yield Row("new connection: bytes", label, found.first_bytes - 2 * size, "B")
        yield Row("processor time of both ends", label, found.microseconds, "us")


def measure_claims():
    """Measure claims in batches of several sizes, and the memory of a key."""
    for batch in (1, 10, 100, 500):
        entries = [build_claim(number) for number in range(batch)]
        data = claims.encode_batch(entries)
        size = f"batches of {batch}"
        yield Row("claim in the log", size, len(data) / batch, "B/claim")
        count = max(1, 2_000 // batch)
        seconds = time_each(lambda e=entries: claims.encode_batch(e), count)
        yield Row("encode", size, seconds / batch, "us/claim")
        yield Row(
            "decode and apply", size, time_claims(batch, count) / batch, "us/claim"
        )
    for count in (1_000, 5_000, claims.MAX_KEYS):
        memory = measure_memory(lambda count=count: build_claims(count))
        yield Row("key in memory", f"{count:,} keys", memory / count, "B/key")


def measure_configuration():
    """Measure the size and processing of configuration changes and resources."""
    for count in (100, 890, 3_000):
        size = f"{count:,} resources"
        records = [build_change(number) for number in range(count)]
        wide = sum(map(len, records)) / count
        yield Row("change in the log", size, wide, "B/change")
        memory = measure_memory(lambda records=records: apply_changes(records))
        yield Row("resource in memory", size, memory / count, "B/resource")
        state = apply_changes(records)
        seconds = time_once(lambda records=records: apply_changes(records))
        yield Row("decide on a change", size, seconds / count * 1e6, "us/change")
        view = build_store(records)
        extra = build_change(count)
        yield Row(
            "apply a change on a daemon",
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
        yield Row("install a snapshot", size, seconds / count * 1e6, "us/resource")


def measure_calls():
    """Measure the decisions that each call needs: placement and admission."""
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
    """Measure the resident memory of a process after importing modules."""
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


def build_membership(count, data):
    """Return a membership that contains a serialized member list."""
    fresh = membership.Membership(build_endpoint(0, count), random.Random(1))
    receive_all(fresh, data)
    return fresh


def receive_all(members, data):
    """Apply a serialized list of all members."""
    answer = peer_pb2.GossipAnswer.FromString(data)
    found = gossip.unpack_members(answer.members)
    members.apply_page(membership.MemberPage(found, membertable.BUCKETS), 0.0)


def is_reader(members):
    """Return whether the policy of daemons makes this one read the configuration."""
    return readers.is_reader(
        members.members(), members.local_member, streams.CONFIGURATION, 0.0
    )


def build_claim(number):
    """Return a claim like one from a gatekeeper."""
    source = random.Random(number)
    key = claims.make_key(1e9 + number / 1e3, source.getrandbits(74))
    attempt = uuid.UUID(int=source.getrandbits(128)).hex
    return claims.Claim(key, attempt, "f" * 32)


def time_claims(batch, count):
    """Return the microseconds to apply a batch of new claims."""
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


def build_claims(count):
    """Return claims that contain `count` keys."""
    state = claims.Claims()
    for offset in range(count // 100):
        entries = [build_claim(offset * 100 + number) for number in range(100)]
        state.apply(offset, 1e9, claims.encode_batch(entries))
    return state


def build_change(number):
    """Return the encoded change that creates service `number`."""
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
    """Return the configuration after applying the records."""
    state = configuration.Configuration()
    for offset, data in enumerate(records):
        state.apply(offset, 1e9 + offset, data)
    return state


def build_store(records):
    """Return a daemon's configuration store after applying the records."""
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
    """Return a request `number` for the first service."""
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
    """Return a placement that has observed answers of all endpoints."""
    choice = placement.Placement("zone-0", random.Random(1))
    answer = messages.Answer("0", messages.Outcome.COMPLETED)
    for endpoint in endpoints * 10:
        choice.start(endpoint.daemon, 8.9)
        choice.observe(endpoint.daemon, answer, 0.05, 8.95)
    return choice


def time_gate(count):
    """Return the microseconds to admit and finish a call with `count` in service."""
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
