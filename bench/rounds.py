"""Synchronous gossip rounds among many memberships in one process."""

import random
from typing import NamedTuple

from whinwinch import membership, membertable, messages


class Traffic(NamedTuple):
    """Traffic of one round.

    Attributes:
        exchanges: Number of answered messages.
        member_bytes: Estimated bytes of members in messages and answers.
        crossings: Number of exchanges between different zones.
    """

    exchanges: int
    member_bytes: int
    crossings: int


def build_endpoint(number, zones=1, regions=1, services=1):
    """Return the endpoint of daemon `number`, spread over zones and regions."""
    zone = number % zones
    return messages.Endpoint(
        daemon=f"{random.Random(number).getrandbits(128):032x}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7946",
        service=f"service-{number % services}",
        zone=f"zone-{zone}",
        region=f"region-{zone % regions}",
        slots=70,
    )


def build_mesh(count, zones=1, regions=1, services=1, settings=None):
    """Return memberships by daemon identifier that each contain all members."""
    endpoints = [build_endpoint(i, zones, regions, services) for i in range(count)]
    mesh = {
        endpoint.daemon: membership.Membership(endpoint, random.Random(i), settings)
        for i, endpoint in enumerate(endpoints)
    }
    page = membership.MemberPage(
        tuple(membertable.Member(endpoint) for endpoint in endpoints),
        membertable.BUCKETS,
    )
    for daemon in mesh.values():
        daemon.apply_page(page, 0.0)
    return mesh


def run_round(mesh, now, reaches=lambda sender, receiver: True):
    """Plan and carry out one gossip interval of each membership.

    Args:
        mesh: Memberships by daemon identifier; daemons without one don't answer.
        now: Time in seconds.
        reaches: Function that returns whether a message from one endpoint to another
            arrives; called once for the message and once for its answer.

    Returns:
        The `Traffic` of the round.
    """
    sent = []
    for sender in tuple(mesh.values()):
        for instruction in sender.plan(now):
            if isinstance(instruction, membership.IndirectProbe):
                _probe_indirectly(mesh, sender, instruction, now, reaches)
            else:
                sent.append(_probe(mesh, sender, instruction, now, reaches))
    return Traffic(*map(sum, zip(*sent, strict=True))) if sent else Traffic(0, 0, 0)


def _probe(mesh, sender, probe, now, reaches):
    size = sum(map(membership.estimate_bytes, probe.members))
    receiver = mesh.get(probe.daemon)
    if receiver is None or not reaches(
        sender.local_member.endpoint, receiver.local_member.endpoint
    ):
        sender.record_missed_probe(probe.daemon, now)
        return Traffic(0, size, 0)
    receiver.merge(probe.members, now)
    receiver.record_alive(sender.local_member.endpoint.daemon, now)
    answer = receiver.select_rumours(now, sender.local_member.endpoint.daemon)
    answer += receiver.find_differing_members(probe.digests, now)
    size += sum(map(membership.estimate_bytes, answer))
    if not reaches(receiver.local_member.endpoint, sender.local_member.endpoint):
        sender.record_missed_probe(probe.daemon, now)
        return Traffic(0, size, 0)
    sender.merge(answer, now)
    sender.record_alive(probe.daemon, now)
    crosses = receiver.local_member.endpoint.zone != sender.local_member.endpoint.zone
    return Traffic(1, size, int(crosses))


def _probe_indirectly(mesh, sender, instruction, now, reaches):
    target = mesh.get(instruction.daemon)
    own = sender.local_member.endpoint
    reports = []
    for endpoint in instruction.helpers:
        helper = mesh.get(endpoint.daemon)
        if helper is None or not _reach_both(reaches, own, endpoint):
            continue
        answers = target is not None and _reach_both(
            reaches, endpoint, target.local_member.endpoint
        )
        reports.append(answers)
    if any(reports):
        sender.record_alive(instruction.daemon, now)
    elif reports:
        sender.record_confirmed_failure(instruction.daemon, now)


def _reach_both(reaches, one, other):
    return reaches(one, other) and reaches(other, one)
