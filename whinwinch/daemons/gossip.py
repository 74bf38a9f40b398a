"""Tasks that exchange gossip messages with other daemons.

The membership and the relay of the configuration decide what to send. The tasks send
it and apply the answers to both. The function that sends messages is injected, so that
tests run all of this without sockets.
"""

import asyncio
import random as random_module
import sys
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from .. import errors, membership, membertable, messages
from ..logservice import client
from . import peer_pb2

# Seconds until a probe counts as unanswered. A round trip between regions takes up to
# 0.3 s; the rest is for a busy daemon.
PROBE_TIMEOUT = 1.0
# Seconds to wait for a helper, which probes the daemon itself before it answers.
INDIRECT_PROBE_TIMEOUT = 2 * PROBE_TIMEOUT
# Number of daemons that a configuration change is pushed to. With four, a push reaches
# all of 4,500 daemons, each missed with a probability of e^-4; probes reach the rest.
PUSH_PARTNERS = 4
# Minimum seconds between two pushes, so that simultaneous changes share messages.
PUSH_INTERVAL = 0.25
# Maximum size of the records in one push.
MAX_PUSH_BYTES = 16 * 1024
# Bounds of the random interval, in seconds, between two requests for a page of the
# member list.
FETCH_INTERVAL_BOUNDS = (0.1, 0.5)
# Seconds without an answer from a peer that has the member list after which a daemon
# that knows peers stops fetching it. When a zone restarts, gossip finds a daemon of
# another zone well before; when a whole mesh starts, this time is waited in full.
FETCH_TIMEOUT = 4.0


class SendError(errors.UserError):
    """Another daemon didn't answer a gossip message."""


class Gossip(NamedTuple):
    """The state shared by the gossip tasks of one daemon.

    Attributes:
        members: The `membership.Membership`.
        relay: The `logservice.relay.Relay`.
        send: Coroutine function from an address and a `GossipMessage` to a
            `GossipAnswer`; raises `SendError`.
        wake: Event that is set to push configuration changes at once.
        newer_peers: Queue of endpoints whose daemons have a newer configuration.
        notify: Function called with a tuple of `membership.Change` when received
            updates have changed the membership.
    """

    members: membership.Membership
    relay: object
    send: Callable
    wake: asyncio.Event
    newer_peers: asyncio.Queue
    notify: Callable


def build_gossip(members, relay, send, notify=lambda changes: None):
    """Return a `Gossip`; must be called on the event loop's thread."""
    return Gossip(members, relay, send, asyncio.Event(), asyncio.Queue(8), notify)


async def run_gossip(gossip, random=random_module):
    """Run the gossip tasks until cancelled."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_probe_periodically(gossip, group, random))
        group.create_task(_push_when_woken(gossip, group))
        group.create_task(_catch_up(gossip))
        group.create_task(_fetch_members(gossip, random))


async def answer_gossip(gossip, message):
    """Apply a message from another daemon and return the answer.

    Args:
        gossip: The `Gossip`.
        message: A `GossipMessage`.

    Returns:
        A `GossipAnswer`.
    """
    now = _read_clock()
    _apply_message(gossip, message)
    gossip.members.record_alive(message.sender, now)
    if message.configuration_offset > gossip.relay.offset:
        _schedule_catch_up(gossip, message.sender)
    answer = peer_pb2.GossipAnswer(
        sender=gossip.members.local_member.endpoint.daemon,
        configuration_offset=gossip.relay.offset,
        configuration_age=gossip.relay.find_age(now),
        records=map(
            pack_record, gossip.relay.list_records(message.configuration_offset)
        ),
    )
    if message.full:
        page = gossip.members.build_page(message.bucket, now)
        answer.members.extend(map(pack_member, page.members))
        answer.next_bucket = page.next_bucket
        return answer
    digests = membership.Digests(message.bucket, tuple(message.digests))
    answer.members.extend(map(pack_member, _select_updates(gossip, message, digests)))
    if message.probe:
        answer.probe_answered = await _try_probe(gossip, message.probe)
    return answer


def pack_member(member):
    """Return the `peer_pb2.Member` that encodes a member.

    The endpoint of suspect and gone members is omitted: receivers whom the update
    concerns have it already. This halves the bytes sent when a whole zone fails.
    """
    endpoint = member.endpoint
    packed = peer_pb2.Member(
        daemon=endpoint.daemon, state=member.state.value, version=member.version
    )
    if member.state in (membertable.State.SUSPECT, membertable.State.GONE):
        return packed
    packed.address = endpoint.address
    packed.service = endpoint.service
    packed.zone = endpoint.zone
    packed.region = endpoint.region
    packed.slots = endpoint.slots
    return packed


def unpack_members(packed):
    """Return the members of a message, skipping those with an unknown state.

    A newer release may add states. Raising an error for one would stop all gossip
    with its sender.
    """
    known_states = {state.value for state in membertable.State}
    return tuple(
        _unpack_member(member) for member in packed if member.state in known_states
    )


def _unpack_member(packed):
    state = membertable.State(packed.state)
    # Thousands of members share a few names; without interning each message would
    # add new copies of them.
    endpoint = messages.Endpoint(
        daemon=packed.daemon,
        address=packed.address,
        service=sys.intern(packed.service),
        zone=sys.intern(packed.zone),
        region=sys.intern(packed.region),
        slots=packed.slots,
        leaving=state is membertable.State.LEAVING,
    )
    return membertable.Member(endpoint, state, packed.version)


def pack_record(record):
    """Return the `peer_pb2.ConfigurationRecord` that encodes a record."""
    return peer_pb2.ConfigurationRecord(
        offset=record.offset, time=record.time, data=record.data
    )


def _unpack_records(packed):
    return tuple(client.Record(item.offset, item.time, item.data) for item in packed)


def _select_updates(gossip, message, digests):
    now = _read_clock()
    rumours = gossip.members.select_rumours(now, message.sender)
    if not digests.values:
        return rumours
    differing = gossip.members.find_differing_members(digests, now)
    known_daemons = {packed.daemon for packed in message.members}
    known_daemons.update(member.endpoint.daemon for member in rumours)
    return rumours + tuple(
        m for m in differing if m.endpoint.daemon not in known_daemons
    )


def _apply_message(gossip, message):
    """Apply the members and records of a message or an answer."""
    now = _read_clock()
    changes = gossip.members.merge(unpack_members(message.members), now)
    if changes:
        gossip.notify(changes)
    if gossip.relay.apply_records(_unpack_records(message.records)):
        gossip.wake.set()
    gossip.relay.record_log_end(
        message.configuration_offset, message.configuration_age, now
    )


def _schedule_catch_up(gossip, daemon):
    member = gossip.members.get(daemon)
    if member is not None and not gossip.newer_peers.full():
        gossip.newer_peers.put_nowait(member.endpoint)


def _build_message(gossip, **fields):
    now = _read_clock()
    return peer_pb2.GossipMessage(
        sender=gossip.members.local_member.endpoint.daemon,
        configuration_offset=gossip.relay.offset,
        configuration_age=gossip.relay.find_age(now),
        **fields,
    )


def _build_probe_message(gossip, probe, records=()):
    return _build_message(
        gossip,
        members=map(pack_member, probe.members),
        bucket=probe.digests.first,
        digests=probe.digests.values,
        records=map(pack_record, records),
    )


async def _send(gossip, address, message, timeout=PROBE_TIMEOUT):
    try:
        async with asyncio.timeout(timeout):
            return await gossip.send(address, message)
    except TimeoutError as error:
        raise SendError(f"{address}: no answer within {timeout} s") from error


async def _probe_periodically(gossip, group, random):
    interval = gossip.members.settings.probe_interval
    while True:
        for instruction in gossip.members.plan(_read_clock()):
            if isinstance(instruction, membership.IndirectProbe):
                group.create_task(_probe_indirectly(gossip, instruction))
            else:
                group.create_task(_probe(gossip, instruction))
        await asyncio.sleep(interval * random.uniform(0.9, 1.1))


async def _probe(gossip, probe, records=()):
    message = _build_probe_message(gossip, probe, records)
    try:
        answer = await _send(gossip, probe.address, message)
    except SendError:
        gossip.members.record_missed_probe(probe.daemon, _read_clock())
        return
    now = _read_clock()
    if answer.sender != probe.daemon:
        gossip.members.record_replaced(probe.daemon, now)
    _apply_message(gossip, answer)
    gossip.members.record_alive(answer.sender, now)
    if answer.configuration_offset > gossip.relay.offset:
        _schedule_catch_up(gossip, answer.sender)


async def _probe_indirectly(gossip, instruction):
    """Let helpers probe a daemon that didn't answer.

    A failure is recorded only if a helper reports it. If no helper answers, this
    daemon itself may be cut off from the network.
    """
    message = _build_message(gossip, probe=instruction.address)
    answers = await asyncio.gather(
        *(
            _send(gossip, helper.address, message, INDIRECT_PROBE_TIMEOUT)
            for helper in instruction.helpers
        ),
        return_exceptions=True,
    )
    received = [answer for answer in answers if not isinstance(answer, SendError)]
    for answer in received:
        if isinstance(answer, BaseException):
            raise answer
        _apply_message(gossip, answer)
    now = _read_clock()
    if any(answer.probe_answered for answer in received):
        gossip.members.record_alive(instruction.daemon, now)
    elif received:
        gossip.members.record_confirmed_failure(instruction.daemon, now)


async def _try_probe(gossip, address):
    try:
        answer = await _send(gossip, address, _build_message(gossip))
    except SendError:
        return False
    _apply_message(gossip, answer)
    return True


async def _push_when_woken(gossip, group):
    """Push configuration changes to a few partners, which push them to theirs.

    Probes alone take about ten intervals to reach all daemons, too long for a change
    that has to be in force everywhere within nine seconds.
    """
    pushed = gossip.relay.offset
    while True:
        await gossip.wake.wait()
        gossip.wake.clear()
        records = _select_push_records(gossip.relay, pushed)
        pushed = gossip.relay.offset
        for probe in gossip.members.plan_push(PUSH_PARTNERS, _read_clock()):
            group.create_task(_probe(gossip, probe, records))
        await asyncio.sleep(PUSH_INTERVAL)


def _select_push_records(relay, pushed):
    """Return the records since the last push, or none if they exceed the size limit.

    Many records mean that this daemon itself was behind. The others have them by
    now, or request them when they receive this daemon's offset.
    """
    records = relay.list_records(pushed, MAX_PUSH_BYTES)
    if records and records[-1].offset + 1 < relay.offset:
        return ()
    return records


async def _catch_up(gossip):
    """Request the missing configuration records from peers that have newer ones."""
    while True:
        endpoint = await gossip.newer_peers.get()
        progress = True
        while progress:
            before = gossip.relay.offset
            await _request_records(gossip, endpoint.address)
            progress = gossip.relay.offset > before


async def _request_records(gossip, address):
    try:
        answer = await _send(gossip, address, _build_message(gossip))
    except SendError as error:
        logging.info("configuration request failed: %s", error)
        return
    _apply_message(gossip, answer)


async def _fetch_members(gossip, random):
    """Fetch the whole member list, page by page, from any daemons that answer.

    Each page may come from another daemon, so that after the restart of a whole zone
    no daemon has to send the full list to hundreds of new ones. When a whole mesh
    starts at once, no daemon has the list: after `FETCH_TIMEOUT` the members received
    so far count as the list, and digests add the missing ones later.
    """
    members = gossip.members
    last_progress = _read_clock()
    contacted = set()
    while members.next_bucket < membertable.BUCKETS:
        contacts = members.find_contacts()
        if all(endpoint.daemon in contacted for endpoint in contacts):
            contacted.clear()
        untried = [e for e in contacts if e.daemon not in contacted]
        has_list = False
        for endpoint in untried[:1]:
            contacted.add(endpoint.daemon)
            has_list = await _fetch_page(gossip, endpoint)
        if has_list or len(members) == 1:
            last_progress = _read_clock()
        elif _read_clock() - last_progress > FETCH_TIMEOUT:
            members.stop_fetching_pages()
        await asyncio.sleep(random.uniform(*FETCH_INTERVAL_BOUNDS))
    logging.info("member list received: %d members", len(gossip.members))


async def _fetch_page(gossip, endpoint):
    """Fetch a page; return whether the daemon that answered has the member list."""
    local_packed = pack_member(gossip.members.local_member)
    bucket = gossip.members.next_bucket
    message = _build_message(gossip, members=[local_packed], full=True, bucket=bucket)
    try:
        answer = await _send(gossip, endpoint.address, message)
    except SendError:
        gossip.members.record_missed_probe(endpoint.daemon, _read_clock())
        return False
    now = _read_clock()
    if answer.sender != endpoint.daemon:
        # The log still lists a former daemon at this address.
        gossip.members.remove_contact(endpoint.daemon)
        gossip.members.record_replaced(endpoint.daemon, now)
    if answer.sender == gossip.members.local_member.endpoint.daemon:
        # This daemon has answered its own request. If its empty list were applied as
        # a peer's, it would seem complete, and callers would get "no-endpoint" for
        # services that have endpoints.
        return False
    page = membership.MemberPage(unpack_members(answer.members), answer.next_bucket)
    changes = gossip.members.apply_page(page, now)
    gossip.members.record_alive(answer.sender, now)
    gossip.notify(changes)
    # A daemon without the list answers with itself only; one that has sent too many
    # pages lately answers with no members.
    return page.next_bucket > bucket or not page.members


def _read_clock():
    return asyncio.get_running_loop().time()
