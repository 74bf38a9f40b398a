"""Tests of the gossip tasks of several daemons on an in-memory network."""

import asyncio
import random
import unittest

from bench import clocks, rounds
from bench.network import Network, wait_for
from test.logservice.test_relay import FakeConfiguration, build_records
from whinwinch import membership, membertable
from whinwinch.daemons import gossip, peer_pb2
from whinwinch.membertable import Member, State


def add_daemon(network, endpoint):
    members = membership.Membership(endpoint, random.Random(endpoint.daemon))
    configuration = FakeConfiguration()
    return network.add(members, configuration.relay)


def build_network(count, reaches=lambda sender, receiver: True):
    """Return a network in which each daemon has only the first one as a contact."""
    network = Network(reaches)
    endpoints = [rounds.build_endpoint(i, 3, 1, 4) for i in range(count)]
    for endpoint in endpoints:
        daemon = add_daemon(network, endpoint)
        daemon.members.add_contact(endpoints[0])
    return network, endpoints


class GossipTest(unittest.TestCase):
    def test_daemons_find_each_other_through_one_contact(self):
        async def main():
            network, _ = build_network(8)
            daemons = network.daemons.values()
            await network.run(
                wait_for(lambda: {len(d.members) for d in daemons} == {8})
            )
            self.assertLess(network.largest, 4096)

        clocks.run_jumping(main())

    def test_change_is_pushed_within_seconds_despite_loss(self):
        """One daemon reads a change from the log while a tenth of messages is lost.

        The change has to be in force everywhere within nine seconds.
        """
        source = random.Random(7)

        async def steps(network):
            daemons = list(network.daemons.values())
            await wait_for(lambda: {len(d.members) for d in daemons} == {12})
            daemons[3].relay.apply_records(build_records(b"a", b"b"))
            daemons[3].wake.set()
            await wait_for(lambda: {d.relay.offset for d in daemons} == {2}, 9.0)

        async def main():
            network, _ = build_network(12, lambda a, b: source.random() > 0.1)
            await network.run(steps(network))

        clocks.run_jumping(main())

    def test_newcomer_gets_a_long_configuration_from_peers(self):
        """A daemon starts while the log is unavailable.

        It must get the configuration from its peers, in several answers.
        """
        records = build_records(*[b"x" * 1000] * 200)

        async def main():
            network, endpoints = build_network(3)
            for endpoint in endpoints[:2]:
                network.daemons[endpoint.address].relay.apply_records(records)
            newcomer = network.daemons[endpoints[2].address]
            await network.run(wait_for(lambda: newcomer.relay.offset == len(records)))
            self.assertLess(network.largest, 80_000)

        clocks.run_jumping(main())

    def test_a_replacement_does_not_treat_itself_as_a_peer(self):
        """An instance is replaced at the same address.

        The log still lists the former daemon there, so the new one requests the
        member list from itself. If it applied its own empty list, it would become
        ready and answer its callers with "no-endpoint".
        """

        async def main():
            network, endpoints = build_network(1)
            successor = endpoints[0]._replace(daemon="f" * 32)
            newcomer = add_daemon(network, successor)
            newcomer.members.add_contact(endpoints[0])
            await network.run(wait_for(lambda: not newcomer.members.find_contacts()))
            self.assertLess(newcomer.members.next_bucket, membertable.BUCKETS)

        clocks.run_jumping(main())

    def test_dead_daemon_is_removed_when_helpers_confirm_it(self):
        async def main():
            network, endpoints = build_network(6)
            victim = endpoints[4]

            async def steps():
                daemons = network.daemons.values()
                await wait_for(lambda: {len(d.members) for d in daemons} == {6})
                del network.daemons[victim.address]
                await wait_for(
                    lambda: (
                        {d.members.get(victim.daemon).state for d in daemons}
                        == {State.GONE}
                    )
                )

            await network.run(steps())

        clocks.run_jumping(main())

    def test_cut_off_daemon_suspects_nobody(self):
        """A daemon loses its network, so that none of its messages arrive.

        Its helpers don't answer either, which must not count as a confirmed failure
        of others: it must still list all members as alive afterwards.
        """
        cut = set()

        async def main():
            network, endpoints = build_network(
                6, lambda a, b: a not in cut and b not in cut
            )
            isolated = network.daemons[endpoints[5].address]

            async def steps():
                daemons = network.daemons.values()
                await wait_for(lambda: {len(d.members) for d in daemons} == {6})
                cut.add(endpoints[5].address)
                await asyncio.sleep(60.0)
                states = {m.state for m in isolated.members.members()}
                self.assertEqual(states, {State.ALIVE})
                cut.clear()
                await wait_for(lambda: {len(d.members) for d in daemons} == {6})

            await network.run(steps())

        clocks.run_jumping(main())

    def test_restart_at_the_same_address_removes_the_former_daemon_at_once(self):
        async def main():
            network, endpoints = build_network(4)

            async def steps():
                daemons = network.daemons.values()
                await wait_for(lambda: {len(d.members) for d in daemons} == {4})
                former = endpoints[2]
                successor = former._replace(daemon="f" * 32, service="archive")
                add_daemon(network, successor)
                await wait_for(
                    lambda: all(
                        d.members.get(former.daemon).state is State.GONE
                        for d in list(daemons)
                        if d.members.local_member.endpoint != successor
                    ),
                    15.0,
                )

            await network.run(steps())

        clocks.run_jumping(main())


class EncodingTest(unittest.TestCase):
    def test_members_are_unchanged_after_encoding_and_decoding(self):
        endpoint = rounds.build_endpoint(3)
        for state in (State.ALIVE, State.LEAVING):
            leaving = state is State.LEAVING
            member = Member(endpoint._replace(leaving=leaving), state, 5)
            packed = gossip.pack_member(member)
            self.assertEqual(gossip.unpack_members([packed]), (member,))

    def test_member_with_unknown_state_is_skipped(self):
        """A daemon of a newer release sends a state that this one doesn't know.

        The rest of the message must still be applied.
        """
        known = gossip.pack_member(Member(rounds.build_endpoint(3)))
        unknown = peer_pb2.Member(daemon="x", state="resting", version=1)
        self.assertEqual(len(gossip.unpack_members([unknown, known])), 1)

    def test_estimated_size_is_close_to_the_encoded_size(self):
        endpoint = rounds.build_endpoint(3)
        for state in membertable.State:
            member = Member(endpoint, state, 300)
            wrapped = peer_pb2.GossipAnswer(members=[gossip.pack_member(member)])
            estimate = membership.estimate_bytes(member)
            self.assertLessEqual(wrapped.ByteSize(), estimate)
            self.assertLess(estimate, wrapped.ByteSize() + 16)


if __name__ == "__main__":
    unittest.main()
