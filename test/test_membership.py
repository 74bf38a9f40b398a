"""Tests of the membership under message loss, network cuts, pauses and restarts."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bench import rounds
from whinwinch import membership, membertable, messages
from whinwinch.membertable import Member, State

ZONES = 3
INTERVALS = 120


def find_states(mesh, daemon):
    members = [each.get(daemon) for each in mesh.values()]
    return {member.state if member else None for member in members}


def run_until(
    mesh, now, is_done, reaches=lambda sender, receiver: True, intervals=INTERVALS
):
    """Run rounds until `is_done()` and return the time of the last one, in seconds."""
    for _ in range(intervals):
        if is_done():
            return now
        now += 1.0
        rounds.run_round(mesh, now, reaches)
    raise AssertionError(f"not done after {intervals} intervals")


def build_lossy_network(share, seed=1):
    source = random.Random(seed)
    return lambda sender, receiver: source.random() >= share


def build_cut_network(find_side):
    def reaches(sender, receiver):
        return find_side(sender) == find_side(receiver)

    return reaches


class SpreadTest(unittest.TestCase):
    def test_announcement_reaches_all_despite_loss(self):
        mesh = rounds.build_mesh(60, ZONES, services=12)
        first = next(iter(mesh.values()))
        first.announce("catalog", 7, False, 0.0)
        rounds_taken = run_until(
            mesh,
            0.0,
            lambda: all(m.find_endpoints("catalog") for m in mesh.values()),
            build_lossy_network(0.1),
        )
        self.assertLess(rounds_taken, 20)

    def test_digests_recover_lost_rumours(self):
        """A rumour is sent the maximum number of times before all have received it.

        A daemon that missed it would keep sending calls to a service's former
        endpoint. Comparing digests finds the difference.
        """
        mesh = rounds.build_mesh(20, ZONES)
        daemons = list(mesh.values())
        daemons[0].announce("catalog", 7, False, 0.0)
        for number in range(200):
            daemons[0].select_rumours(float(number))
        self.assertEqual(daemons[0].select_rumours(200.0), ())
        run_until(
            mesh,
            200.0,
            lambda: all(m.find_endpoints("catalog") for m in mesh.values()),
        )

    def test_leaving_is_marked_and_gone_member_is_forgotten(self):
        mesh = rounds.build_mesh(12, ZONES, services=4)
        first = next(iter(mesh.values()))
        endpoint = first.local_member.endpoint
        first.announce(endpoint.service, endpoint.slots, True, 0.0)
        now = run_until(
            mesh,
            0.0,
            lambda: all(m.get(endpoint.daemon).endpoint.leaving for m in mesh.values()),
        )
        first.leave(now)
        now = run_until(
            mesh, now, lambda: find_states(mesh, endpoint.daemon) == {State.GONE}
        )
        del mesh[endpoint.daemon]
        rounds.run_round(mesh, now + membership.Settings().tombstone_ttl + 1)
        rounds.run_round(mesh, now + membership.Settings().tombstone_ttl + 2)
        self.assertEqual(find_states(mesh, endpoint.daemon), {None})

    def test_no_message_is_larger_than_allowed(self):
        mesh = rounds.build_mesh(100, ZONES, services=20)
        daemons = list(mesh.values())
        for daemon in daemons[:80]:
            daemon.announce("catalog", 7, False, 0.0)
        allowed = membership.Settings().max_message_bytes
        rounds.run_round(mesh, 1.0)
        for daemon in daemons:
            sent = daemon.select_rumours(1.5)
            self.assertLessEqual(sum(map(membership.estimate_bytes, sent)), allowed)

    def test_most_probes_stay_in_the_zone(self):
        mesh = rounds.build_mesh(120, ZONES)
        traffic = [rounds.run_round(mesh, float(now)) for now in range(1, 30)]
        crossings = sum(t.crossings for t in traffic)
        self.assertLess(crossings, 0.5 * sum(t.exchanges for t in traffic))

    def test_rumours_keep_to_their_rate_in_a_mass_restart(self):
        """Hundreds of daemons of a zone restart at once.

        Each change becomes a rumour. Without a rate limit, gossip would take the
        network and processor time that the callers' requests need.
        """
        parameters = membership.Settings(rumour_rate=500.0, rumour_burst=2_000.0)
        mesh = rounds.build_mesh(100, ZONES, settings=parameters)
        for daemon in list(mesh.values())[:50]:
            daemon.announce("catalog", 7, False, 0.0)
        sizes = [
            rounds.run_round(mesh, float(now)).member_bytes / len(mesh)
            for now in range(1, 31)
        ]
        self.assertLess(sum(sizes), 2_000 + 30 * 500 + parameters.max_message_bytes)


class FailureTest(unittest.TestCase):
    def test_dead_daemon_is_evicted_everywhere(self):
        """An instance fails without announcing that it leaves.

        Calls to it fail until every daemon has evicted it.
        """
        mesh = rounds.build_mesh(40, ZONES, services=8)
        victim = list(mesh)[7]
        del mesh[victim]
        now = run_until(
            mesh,
            0.0,
            lambda: find_states(mesh, victim) == {State.GONE},
            build_lossy_network(0.02),
        )
        self.assertLess(now, 60)

    def test_healthy_daemons_survive_loss(self):
        """The network loses every tenth message for minutes.

        Evicting daemons for lost probes would take endpoints from services
        although all of them work.
        """
        mesh = rounds.build_mesh(40, ZONES)
        reaches = build_lossy_network(0.1)
        for now in range(1, INTERVALS):
            rounds.run_round(mesh, float(now), reaches)
            for daemon in mesh.values():
                gone = [m for m in daemon.members() if m.state is State.GONE]
                self.assertEqual(gone, [])

    def test_one_broken_path_evicts_nobody(self):
        """Two daemons can't reach each other, while all others reach both.

        Neither may evict the other on its own observation alone.
        """
        mesh = rounds.build_mesh(9, ZONES)
        one, other = list(mesh)[:2]

        def reaches(sender, receiver):
            return {sender.daemon, receiver.daemon} != {one, other}

        for now in range(1, INTERVALS):
            rounds.run_round(mesh, float(now), reaches)
        for daemon in mesh.values():
            self.assertTrue(all(m.state is State.ALIVE for m in daemon.members()))

    def test_paused_daemon_comes_back_and_evicts_nobody(self):
        """A daemon is paused for minutes and resumes without noticing.

        The others have evicted it. It must receive requests again, and must not
        evict those whose answers it missed, nor those that it suspected and that
        could not refute the suspicion during the pause.
        """
        mesh = rounds.build_mesh(12, ZONES)
        paused, resumed = list(mesh.items())[3]
        rounds.run_round(mesh, 0.0)
        for other in list(mesh)[8:]:
            resumed.record_confirmed_failure(other, 0.0)
        del mesh[paused]
        now = run_until(mesh, 0.0, lambda: find_states(mesh, paused) == {State.GONE})
        for other in list(mesh)[:6]:
            resumed.record_missed_probe(other, now)
        mesh[paused] = resumed

        def all_alive():
            return all(
                m.state is State.ALIVE for d in mesh.values() for m in d.members()
            )

        for _ in range(60):
            now += 1.0
            rounds.run_round(mesh, now)
            others = [m for m in resumed.members() if m is not resumed.local_member]
            self.assertNotIn(State.GONE, {member.state for member in others})
        self.assertTrue(all_alive())
        self.assertGreater(resumed.local_member.version, 1)

    def test_other_daemon_at_the_address_evicts_the_former_one(self):
        """An instance restarts within a second and gets the same address.

        Its former identifier is still listed for a service at that address, so
        calls would go to whichever service listens there now.
        """
        mesh = rounds.build_mesh(5)
        first, second = list(mesh.values())[:2]
        first.record_replaced(second.local_member.endpoint.daemon, 1.0)
        self.assertIs(first.get(second.local_member.endpoint.daemon).state, State.GONE)

    def test_two_daemons_have_no_helper(self):
        mesh = rounds.build_mesh(2)
        survivor, victim = mesh
        del mesh[victim]
        run_until(mesh, 0.0, lambda: find_states(mesh, victim) == {State.GONE})
        self.assertEqual(len(mesh[survivor]), 1)


class CutTest(unittest.TestCase):
    def test_regions_keep_each_other_and_reconnect_without_the_log(self):
        """Two regions lose contact for ten minutes, and the log is down too.

        During the cut, calls should stay in the local region. Afterwards each
        region has to send requests to the other again without intervention.
        """
        mesh = rounds.build_mesh(40, zones=4, regions=2, services=4)
        for daemon in mesh.values():
            daemon.announce("catalog", 7, False, 0.0)
        now = run_until(
            mesh,
            0.0,
            lambda: all(len(m.find_endpoints("catalog")) == 40 for m in mesh.values()),
        )
        reaches = build_cut_network(lambda endpoint: endpoint.region)
        now = run_until(
            mesh,
            now,
            lambda: all(len(m.find_endpoints("catalog")) == 20 for m in mesh.values()),
            reaches,
        )
        for _ in range(600):
            now += 1.0
            rounds.run_round(mesh, now, reaches)
        for daemon in mesh.values():
            self.assertEqual(len(daemon), 40)
        run_until(
            mesh,
            now,
            lambda: all(len(m.find_endpoints("catalog")) == 40 for m in mesh.values()),
        )

    def test_one_unreachable_region_of_four_is_soon_detected(self):
        """One of four regions is cut off.

        A daemon whose only far partner is in one of the other regions must not
        continue for minutes to place calls in the unreachable one.
        """
        mesh = rounds.build_mesh(48, zones=8, regions=4)
        run_until(
            mesh,
            0.0,
            lambda: all(
                "region-0" in m.find_unreachable_regions()
                for m in mesh.values()
                if m.local_member.endpoint.region != "region-0"
            ),
            build_cut_network(lambda endpoint: endpoint.region == "region-0"),
            intervals=100,
        )

    def test_region_is_forgotten_after_long_cut_and_found_again(self):
        """A region is cut off for longer than `region_ttl`.

        The daemons of each side forget the other side at slightly different
        moments, and must not reintroduce it to each other by gossip. After the
        cut both sides find each other.
        """
        parameters = membership.Settings(region_ttl=120.0)
        mesh = rounds.build_mesh(12, zones=2, regions=2, settings=parameters)
        reaches = build_cut_network(lambda endpoint: endpoint.region)
        now = run_until(
            mesh, 0.0, lambda: {len(m) for m in mesh.values()} == {12}, reaches
        )
        for _ in range(240):
            now += 1.0
            rounds.run_round(mesh, now, reaches)
        self.assertEqual({len(daemon) for daemon in mesh.values()}, {6})
        run_until(mesh, now, lambda: {len(m) for m in mesh.values()} == {12})

    def test_zone_cut_off_within_the_region_comes_back(self):
        """A switch fails and isolates a zone for minutes.

        Both sides evict each other. Nobody reads the log, so they must find each
        other by probing evicted members.
        """
        mesh = rounds.build_mesh(18, ZONES)
        reaches = build_cut_network(lambda endpoint: endpoint.zone == "zone-0")
        now = run_until(
            mesh,
            0.0,
            lambda: {len(m) for m in mesh.values()} == {6, 12},
            reaches,
        )
        run_until(mesh, now, lambda: {len(m) for m in mesh.values()} == {18})


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "pause", "resume", "cut", "heal", "announce"]),
        st.integers(0, 11),
        st.integers(1, 40),
    ),
    max_size=8,
)


class ScheduleTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(FAULTS)
    def test_membership_converges_after_any_faults(self, faults):
        """Daemons die, are paused and are cut off in any order.

        If some tables stayed wrong afterwards, a live daemon missing from them
        would receive no requests, and calls sent to a dead one would fail.
        """
        mesh = rounds.build_mesh(12, ZONES)
        names = list(mesh)
        paused, cut, dead, now = {}, set(), set(), 0.0
        for fault, place, intervals in faults:
            name = names[place]
            if fault == "kill" and len(dead) < 6:
                mesh.pop(name, None)
                paused.pop(name, None)
                dead.add(name)
            elif fault == "pause" and name in mesh:
                paused[name] = mesh.pop(name)
            elif fault == "resume":
                mesh.update(paused)
                paused.clear()
            elif fault == "cut":
                cut.add(f"zone-{place % ZONES}")
            elif fault == "heal":
                cut.clear()
            elif fault == "announce" and name in mesh:
                mesh[name].announce("archive", intervals, False, now)
            for _ in range(intervals):
                now += 1.0
                rounds.run_round(
                    mesh,
                    now,
                    build_cut_network(lambda e: e.zone if e.zone in cut else ""),
                )
        mesh.update(paused)
        run_until(mesh, now, lambda: is_converged(mesh, dead), intervals=400)


def is_converged(mesh, dead):
    """Return whether every table has all live daemons up to date and no dead ones."""
    for member in mesh.values():
        for daemon, other in mesh.items():
            if member.get(daemon) != other.local_member:
                return False
        if any(m.endpoint.daemon in dead for m in find_present(member)):
            return False
    return True


def find_present(members):
    return [m for m in members.members() if m.state is not State.GONE]


class JoinTest(unittest.TestCase):
    def build_newcomer(self, number=1000):
        return membership.Membership(
            rounds.build_endpoint(number), random.Random(number)
        )

    def test_contact_from_the_log_is_not_a_member(self):
        newcomer = self.build_newcomer()
        contact = rounds.build_endpoint(5)._replace(service="archive")
        newcomer.add_contact(contact)
        self.assertEqual(len(newcomer), 1)
        self.assertEqual(newcomer.find_endpoints(contact.service), ())
        self.assertEqual(newcomer.find_contacts(), (contact,))
        newcomer.remove_contact(contact.daemon)
        self.assertEqual(newcomer.find_contacts(), ())

    def test_pages_bring_the_whole_list(self):
        mesh = rounds.build_mesh(300, ZONES)
        peers = list(mesh.values())
        newcomer = self.build_newcomer()
        pages = 0
        while newcomer.next_bucket < membertable.BUCKETS:
            page = peers[pages % 3].build_page(newcomer.next_bucket, 0.0)
            newcomer.apply_page(page, 0.0)
            pages += 1
        self.assertEqual(len(newcomer), 301)
        self.assertGreater(pages, 2)

    def test_newcomers_list_is_not_accepted_as_complete(self):
        """Daemons that start together request the member list from each other.

        A daemon that accepted a newcomer's few members as the whole list would
        answer "no endpoint" for services that have endpoints.
        """
        other = self.build_newcomer(1001)
        newcomer = self.build_newcomer()
        newcomer.apply_page(other.build_page(0, 0.0), 0.0)
        self.assertEqual(newcomer.next_bucket, 0)
        self.assertEqual(len(newcomer), 2)
        other.stop_fetching_pages()
        newcomer.apply_page(other.build_page(0, 0.0), 0.0)
        self.assertEqual(newcomer.next_bucket, membertable.BUCKETS)

    def test_pages_are_refused_above_the_page_budget(self):
        """A zone of hundreds of daemons restarts and all request the member list.

        A peer that served them all would spend its processor time on that.
        """
        peer = next(iter(rounds.build_mesh(150, ZONES).values()))
        parameters = peer.settings
        sent_bytes = 0
        for number in range(400):
            page = peer.build_page(0, number / 100)
            sent_bytes += sum(map(membership.estimate_bytes, page.members))
            if not page.members:
                self.assertEqual(page.next_bucket, 0)
        largest = parameters.page_burst + 4 * parameters.page_rate + 20_000
        self.assertLess(sent_bytes, largest)

    def test_failures_of_an_unknown_daemon_are_ignored(self):
        newcomer = self.build_newcomer()
        stranger = messages.Endpoint("ff", "")
        news = [Member(stranger, State.SUSPECT), Member(stranger, State.GONE)]
        self.assertEqual(newcomer.merge(news, 0.0), ())
        self.assertEqual(len(newcomer), 1)


if __name__ == "__main__":
    unittest.main()
