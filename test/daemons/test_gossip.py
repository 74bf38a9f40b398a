"""The gossip tasks of several daemons, joined by a network in memory."""

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
    """Return a network whose daemons know only the first one, as a contact."""
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
        """One daemon reads a change from the log; every tenth message is lost.

        It has to be in force everywhere within nine seconds.
        """
        source = random.Random(7)

        async def steps(network):
            daemons = list(network.daemons.values())
            await wait_for(lambda: {len(d.members) for d in daemons} == {12})
            daemons[3].relay.take(build_records(b"a", b"b"))
            daemons[3].wake.set()
            await wait_for(lambda: {d.relay.offset for d in daemons} == {2}, 9.0)

        async def main():
            network, _ = build_network(12, lambda a, b: source.random() > 0.1)
            await network.run(steps(network))

        clocks.run_jumping(main())

    def test_newcomer_gets_a_long_configuration_from_peers(self):
        """A daemon starts while the log is down.

        It takes the configuration from its peers, in several answers.
        """
        records = build_records(*[b"x" * 1000] * 200)

        async def main():
            network, endpoints = build_network(3)
            for endpoint in endpoints[:2]:
                network.daemons[endpoint.address].relay.take(records)
            newcomer = network.daemons[endpoints[2].address]
            await network.run(wait_for(lambda: newcomer.relay.offset == len(records)))
            self.assertLess(network.largest, 80_000)

        clocks.run_jumping(main())

    def test_a_successor_does_not_take_itself_for_a_peer(self):
        """An instance is replaced at the same address.

        The end of the log names its predecessor there, so that it asks itself
        for the members. With its own empty list it believed itself ready, and
        its callers were told "no-endpoint".
        """

        async def main():
            network, endpoints = build_network(1)
            successor = endpoints[0]._replace(daemon="f" * 32)
            newcomer = add_daemon(network, successor)
            newcomer.members.add_contact(endpoints[0])
            await network.run(wait_for(lambda: not newcomer.members.find_contacts()))
            self.assertLess(newcomer.members.next_bucket, membertable.BUCKETS)

        clocks.run_jumping(main())

    def test_dead_daemon_is_taken_out_by_helpers_word(self):
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

    def test_cut_off_daemon_blames_nobody(self):
        """A daemon's own network is cut; none of its messages arrive.

        Its helpers are silent too, and silence is no word against others: after
        the cut it still knows everyone.
        """
        cut = set()

        async def main():
            network, endpoints = build_network(
                6, lambda a, b: a not in cut and b not in cut
            )
            lonely = network.daemons[endpoints[5].address]

            async def steps():
                daemons = network.daemons.values()
                await wait_for(lambda: {len(d.members) for d in daemons} == {6})
                cut.add(endpoints[5].address)
                await asyncio.sleep(60.0)
                states = {m.state for m in lonely.members.members()}
                self.assertEqual(states, {State.ALIVE})
                cut.clear()
                await wait_for(lambda: {len(d.members) for d in daemons} == {6})

            await network.run(steps())

        clocks.run_jumping(main())

    def test_restart_at_the_same_address_takes_the_former_out_at_once(self):
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


class WireTest(unittest.TestCase):
    def test_members_survive_the_wire(self):
        endpoint = rounds.build_endpoint(3)
        for state in (State.ALIVE, State.LEAVING):
            leaving = state is State.LEAVING
            member = Member(endpoint._replace(leaving=leaving), state, 5)
            packed = gossip.pack_member(member)
            self.assertEqual(gossip.unpack_members([packed]), (member,))

    def test_unknown_state_is_passed_over(self):
        """A newer daemon sends a state that this one doesn't know.

        The rest of the message still counts.
        """
        known = gossip.pack_member(Member(rounds.build_endpoint(3)))
        strange = peer_pb2.Member(daemon="x", state="resting", version=1)
        self.assertEqual(len(gossip.unpack_members([strange, known])), 1)

    def test_estimated_bytes_are_near_the_real_ones(self):
        endpoint = rounds.build_endpoint(3)
        for state in membertable.State:
            member = Member(endpoint, state, 300)
            wrapped = peer_pb2.GossipAnswer(members=[gossip.pack_member(member)])
            estimate = membership.estimate_bytes(member)
            self.assertLessEqual(wrapped.ByteSize(), estimate)
            self.assertLess(estimate, wrapped.ByteSize() + 16)


if __name__ == "__main__":
    unittest.main()
