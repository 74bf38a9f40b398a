"""Tasks that carry gossip between daemons.

They own the membership and the relay of the configuration. What to do is
decided there; here it is sent, and what comes back is told to them. Sending is
injected, so that all of it runs in tests without sockets.
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

# Seconds until a daemon counts as not having answered. Across regions the way
# there and back takes up to 0.3 s; the rest is for a busy daemon.
PROBE_TIMEOUT = 1.0
# A helper needs time for its own probe before it answers.
HELPER_TIMEOUT = 2 * PROBE_TIMEOUT
# News of the configuration go to so many partners at once. Four reach all of
# 4,500 daemons with a chance of e^-4 to miss one, which a probe then makes up.
PUSH_PARTNERS = 4
# Seconds between two pushes, so that many changes at once share messages.
PUSH_INTERVAL = 0.25
PUSH_BYTES = 16 * 1024
# Bounds in seconds between two attempts to get the member list.
FETCH_PAUSE = (0.1, 0.5)
# Seconds without meeting a peer that has the member list after which a daemon
# that knows peers stops asking. In the restart of a zone gossip brings somebody
# of another zone well within that; the start of a whole mesh waits it out.
FETCH_PATIENCE = 4.0


class SendError(errors.UserError):
    """A message to another daemon was not answered."""


class Gossip(NamedTuple):
    """What the gossip tasks of one daemon work on.

    Attributes:
        members: The `membership.Membership`.
        relay: The `logservice.relay.Relay`.
        send: Awaitable function of an address and a `GossipMessage`; returns a
            `GossipAnswer` or raises `SendError`.
        wake: Set when news should go out at once.
        behind: Queue of endpoints that have a newer configuration.
        notify: Called with the tuple of `membership.Change` after news.
    """

    members: membership.Membership
    relay: object
    send: Callable
    wake: asyncio.Event
    behind: asyncio.Queue
    notify: Callable


def build_gossip(members, relay, send, notify=lambda changes: None):
    """Return a `Gossip`; to be called on the event loop's thread."""
    return Gossip(members, relay, send, asyncio.Event(), asyncio.Queue(8), notify)


async def run_gossip(gossip, random=random_module):
    """Probe, push and catch up until cancelled."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_probe_periodically(gossip, group, random))
        group.create_task(_push_when_woken(gossip, group))
        group.create_task(_catch_up(gossip))
        group.create_task(_fetch_members(gossip, random))


async def answer_gossip(gossip, message):
    """Take in a message from another daemon and answer it.

    Args:
        gossip: The `Gossip`.
        message: A `GossipMessage`.

    Returns:
        A `GossipAnswer`.
    """
    now = _read_clock()
    _take_news(gossip, message)
    gossip.members.record_alive(message.sender, now)
    if message.configuration_offset > gossip.relay.offset:
        _ask_later(gossip, message.sender)
    answer = peer_pb2.GossipAnswer(
        sender=gossip.members.local_member.endpoint.daemon,
        configuration_offset=gossip.relay.offset,
        configuration_age=gossip.relay.find_age(now),
        records=map(pack_record, gossip.relay.give(message.configuration_offset)),
    )
    if message.full:
        page = gossip.members.build_page(message.bucket, now)
        answer.members.extend(map(pack_member, page.members))
        answer.next_bucket = page.next_bucket
        return answer
    digests = membership.Digests(message.bucket, tuple(message.digests))
    answer.members.extend(map(pack_member, _choose_news(gossip, message, digests)))
    if message.probe:
        answer.probe_answered = await _try_probe(gossip, message.probe)
    return answer


def pack_member(member):
    """Return a member as it goes over the wire.

    Bad news go without the endpoint, which whoever it concerns knows already;
    the death of a whole zone then takes half the bytes.
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
    """Return the members of a message, without those that can't be understood.

    A newer daemon may know states that this one doesn't. Failing on one would
    stop all gossip with it.
    """
    known = {state.value for state in membertable.State}
    return tuple(_unpack_member(member) for member in packed if member.state in known)


def _unpack_member(packed):
    state = membertable.State(packed.state)
    # Thousands of members share a few names; each message brings new copies.
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
    """Return a configuration record as it goes over the wire."""
    return peer_pb2.ConfigurationRecord(
        offset=record.offset, time=record.time, data=record.data
    )


def _unpack_records(packed):
    return tuple(client.Record(item.offset, item.time, item.data) for item in packed)


def _choose_news(gossip, message, digests):
    now = _read_clock()
    rumours = gossip.members.select_rumours(now, message.sender)
    if not digests.values:
        return rumours
    differing = gossip.members.find_differing_members(digests, now)
    told = {packed.daemon for packed in message.members}
    told.update(member.endpoint.daemon for member in rumours)
    return rumours + tuple(m for m in differing if m.endpoint.daemon not in told)


def _take_news(gossip, news):
    """Take in the members and records of a message or an answer."""
    now = _read_clock()
    changes = gossip.members.merge(unpack_members(news.members), now)
    if changes:
        gossip.notify(changes)
    if gossip.relay.take(_unpack_records(news.records)):
        gossip.wake.set()
    gossip.relay.confirm(news.configuration_offset, news.configuration_age, now)


def _ask_later(gossip, daemon):
    member = gossip.members.get(daemon)
    if member is not None and not gossip.behind.full():
        gossip.behind.put_nowait(member.endpoint)


def _compose(gossip, **fields):
    now = _read_clock()
    return peer_pb2.GossipMessage(
        sender=gossip.members.local_member.endpoint.daemon,
        configuration_offset=gossip.relay.offset,
        configuration_age=gossip.relay.find_age(now),
        **fields,
    )


def _compose_probe(gossip, probe, records=()):
    return _compose(
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
        raise SendError(f"{address}: no answer in {timeout} s") from error


async def _probe_periodically(gossip, group, random):
    interval = gossip.members.settings.probe_interval
    while True:
        for instruction in gossip.members.plan(_read_clock()):
            if isinstance(instruction, membership.IndirectProbe):
                group.create_task(_probe_via(gossip, instruction))
            else:
                group.create_task(_probe(gossip, instruction))
        await asyncio.sleep(interval * random.uniform(0.9, 1.1))


async def _probe(gossip, probe, records=()):
    message = _compose_probe(gossip, probe, records)
    try:
        answer = await _send(gossip, probe.address, message)
    except SendError:
        gossip.members.record_missed_probe(probe.daemon, _read_clock())
        return
    now = _read_clock()
    if answer.sender != probe.daemon:
        gossip.members.record_replaced(probe.daemon, now)
    _take_news(gossip, answer)
    gossip.members.record_alive(answer.sender, now)
    if answer.configuration_offset > gossip.relay.offset:
        _ask_later(gossip, answer.sender)


async def _probe_via(gossip, instruction):
    """Let helpers probe a daemon that didn't answer.

    A helper that is silent says nothing of the daemon in doubt: perhaps it is
    this daemon that is cut off. Only a helper's word counts against it.
    """
    message = _compose(gossip, probe=instruction.address)
    answers = await asyncio.gather(
        *(
            _send(gossip, helper.address, message, HELPER_TIMEOUT)
            for helper in instruction.helpers
        ),
        return_exceptions=True,
    )
    heard = [answer for answer in answers if not isinstance(answer, SendError)]
    for answer in heard:
        if isinstance(answer, BaseException):
            raise answer
        _take_news(gossip, answer)
    now = _read_clock()
    if any(answer.probe_answered for answer in heard):
        gossip.members.record_alive(instruction.daemon, now)
    elif heard:
        gossip.members.record_confirmed_failure(instruction.daemon, now)


async def _try_probe(gossip, address):
    try:
        answer = await _send(gossip, address, _compose(gossip))
    except SendError:
        return False
    _take_news(gossip, answer)
    return True


async def _push_when_woken(gossip, group):
    """Send news to a few partners at once, and they to theirs.

    Probes alone take about ten intervals to reach everyone, too long for a
    change that has to be in force everywhere within nine seconds.
    """
    pushed = gossip.relay.offset
    while True:
        await gossip.wake.wait()
        gossip.wake.clear()
        records = _choose_push(gossip.relay, pushed)
        pushed = gossip.relay.offset
        for probe in gossip.members.plan_push(PUSH_PARTNERS, _read_clock()):
            group.create_task(_probe(gossip, probe, records))
        await asyncio.sleep(PUSH_INTERVAL)


def _choose_push(relay, pushed):
    """Return the records since the last push, or none when they are too many.

    Many records mean that this daemon itself was behind; the others have them
    by now, or ask for them when they see the offset.
    """
    records = relay.give(pushed, PUSH_BYTES)
    if records and records[-1].offset + 1 < relay.offset:
        return ()
    return records


async def _catch_up(gossip):
    """Get the records that a peer has and this daemon lacks."""
    while True:
        endpoint = await gossip.behind.get()
        progress = True
        while progress:
            before = gossip.relay.offset
            await _ask_records(gossip, endpoint.address)
            progress = gossip.relay.offset > before


async def _ask_records(gossip, address):
    try:
        answer = await _send(gossip, address, _compose(gossip))
    except SendError as error:
        logging.info("configuration not received: %s", error)
        return
    _take_news(gossip, answer)


async def _fetch_members(gossip, random):
    """Get the whole member list, page by page, from whoever answers.

    Each page may come from another daemon, so that after the restart of a
    whole zone nobody has to give everything to hundreds of newcomers. When a
    whole mesh starts at once, nobody has the list: after a while in which nobody
    who has it was met, what is known is taken for it; digests settle the rest.
    """
    members = gossip.members
    last = _read_clock()
    asked = set()
    while members.next_bucket < membertable.BUCKETS:
        contacts = members.find_contacts()
        if all(endpoint.daemon in asked for endpoint in contacts):
            asked.clear()
        untried = [e for e in contacts if e.daemon not in asked]
        has_list = False
        for endpoint in untried[:1]:
            asked.add(endpoint.daemon)
            has_list = await _fetch_page(gossip, endpoint)
        if has_list or len(members) == 1:
            last = _read_clock()
        elif _read_clock() - last > FETCH_PATIENCE:
            members.stop_fetching_pages()
        await asyncio.sleep(random.uniform(*FETCH_PAUSE))
    logging.info("member list received: %d members", len(gossip.members))


async def _fetch_page(gossip, endpoint):
    """Ask for a page; return whether somebody was met who has the list."""
    own = pack_member(gossip.members.local_member)
    bucket = gossip.members.next_bucket
    message = _compose(gossip, members=[own], full=True, bucket=bucket)
    try:
        answer = await _send(gossip, endpoint.address, message)
    except SendError:
        gossip.members.record_missed_probe(endpoint.daemon, _read_clock())
        return False
    now = _read_clock()
    if answer.sender != endpoint.daemon:
        # The log still names a predecessor at this address.
        gossip.members.remove_contact(endpoint.daemon)
        gossip.members.record_replaced(endpoint.daemon, now)
    if answer.sender == gossip.members.local_member.endpoint.daemon:
        # Taken for a peer's, its own empty list would seem complete, and
        # callers would be told "no-endpoint" of services that are there.
        return False
    page = membership.MemberPage(unpack_members(answer.members), answer.next_bucket)
    changes = gossip.members.apply_page(page, now)
    gossip.members.record_alive(answer.sender, now)
    gossip.notify(changes)
    # Who has no list gives itself; who has given too many lately gives nothing.
    return page.next_bucket > bucket or not page.members


def _read_clock():
    return asyncio.get_running_loop().time()
