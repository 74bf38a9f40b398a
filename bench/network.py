"""In-memory network for gossip among many daemons in one process.

Tasks, state and messages are those of a daemon; only the transport and the clock
are replaced.
"""

import asyncio
import random

from bench import rounds
from whinwinch import membership, membertable
from whinwinch.daemons import gossip, peer_pb2

# One-way delays in seconds: within a zone, between zones, between regions.
DELAYS = (0.0005, 0.0015, 0.075)


def find_delay(sender, receiver):
    """Return the one-way delay between two endpoints in seconds."""
    if sender.region != receiver.region:
        return DELAYS[2]
    return DELAYS[0] if sender.zone == receiver.zone else DELAYS[1]


class Network:
    """In-memory network that connects daemons by address.

    Each message is serialized and parsed, as over a real connection. Sending fails
    for a receiver that doesn't exist and for a sender that was replaced.

    Args:
        reaches: Function that returns whether a message from one address to
            another arrives.

    Attributes:
        daemons: `gossip.Gossip` by address.
        largest: Size of the largest message or answer in bytes.
        sent: Total size of all messages and answers in bytes.
        exchanges: Number of answered messages.
    """

    def __init__(self, reaches=lambda sender, receiver: True):
        self.daemons = {}
        self.reaches = reaches
        self.largest = 0
        self.sent = 0
        self.exchanges = 0

    def add(self, members, relay):
        """Add a daemon to the network; return its `gossip.Gossip`."""
        endpoint = members.local_member.endpoint

        async def send(address, message):
            return await self._deliver(endpoint, address, message)

        daemon = gossip.build_gossip(members, relay, send)
        self.daemons[endpoint.address] = daemon
        return daemon

    async def run(self, steps):
        """Run the gossip tasks of all daemons until the coroutine `steps` ends."""
        tasks = [
            asyncio.create_task(gossip.run_gossip(daemon, random.Random(number)))
            for number, daemon in enumerate(self.daemons.values())
        ]
        try:
            await steps
            for task in tasks:
                if task.done():
                    task.result()
                    raise RuntimeError("a gossip task has ended")
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _deliver(self, sender, address, message):
        receiver = self.daemons.get(address)
        if receiver is None or not self._lives(sender):
            raise gossip.SendError(f"{address}: no connection")
        if not self.reaches(sender.address, address):
            raise gossip.SendError(f"{address}: no connection")
        delay = find_delay(sender, receiver.members.local_member.endpoint)
        await asyncio.sleep(delay)
        data = message.SerializeToString()
        copy = peer_pb2.GossipMessage.FromString(data)
        answer = await gossip.answer_gossip(receiver, copy)
        answered = answer.SerializeToString()
        await asyncio.sleep(delay)
        if not self.reaches(address, sender.address):
            raise gossip.SendError(f"{address}: no answer")
        self.largest = max(self.largest, len(data), len(answered))
        self.sent += len(data) + len(answered)
        self.exchanges += 1
        return peer_pb2.GossipAnswer.FromString(answered)

    def _lives(self, endpoint):
        present = self.daemons.get(endpoint.address)
        return (
            present and present.members.local_member.endpoint.daemon == endpoint.daemon
        )


async def wait_for(condition, seconds=200.0, interval=0.1):
    """Wait until a condition holds, for at most `seconds` on the loop's clock.

    Raises:
        AssertionError: The condition doesn't hold in time.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while not condition():
        if loop.time() > end:
            raise AssertionError(f"condition not met within {seconds} s")
        await asyncio.sleep(interval)


def build_memberships(count, zones, regions, services):
    """Return memberships that each contain all members.

    One table is built and copied for all of them, which is faster than gossip.
    """
    endpoints = [
        rounds.build_endpoint(number, zones, regions, services)
        for number in range(count)
    ]
    table = membertable.MemberTable()
    with table.defer_publishing():
        for endpoint in endpoints:
            table.put(membertable.Member(endpoint))
    found = []
    for number, endpoint in enumerate(endpoints):
        source = random.Random(number)
        members = membership.Membership(endpoint, source, table=table.copy())
        members.stop_fetching_pages()
        found.append(members)
    return found
