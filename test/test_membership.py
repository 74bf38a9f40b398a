"""Membership under loss, cuts, pauses and mass restarts, without sockets."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bench import rounds
from whinwinch import membership, membertable, messages
from whinwinch.membertable import Member, State

ZONES = 3
INTERVALS = 120


def count_states(mesh, daemon):
    found = [member.get(daemon) for member in mesh.values()]
    return {member.state if member else None for member in found}


def run_until(
    mesh, now, is_done, reaches=lambda sender, receiver: True, intervals=INTERVALS
):
    """Run rounds until `is_done()`; return the time then."""
    for _ in range(intervals):
        if is_done():
            return now
        now += 1.0
        rounds.run_round(mesh, now, reaches)
    raise AssertionError(f"not done after {intervals} intervals")


def lose(share, seed=1):
    source = random.Random(seed)
    return lambda sender, receiver: source.random() >= share


def cut_between(find_side):
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
            lose(0.1),
        )
        self.assertLess(rounds_taken, 20)

    def test_digests_bring_what_rumours_lost(self):
        """A rumour dies out before it has reached everyone.

        A daemon that missed it would send calls to a service's former
        endpoint for ever. Comparing digests finds the difference.
        """
        mesh = rounds.build_mesh(20, ZONES)
        daemons = list(mesh.values())
        daemons[0].announce("catalog", 7, False, 0.0)
        for number in range(200):
            daemons[0].take_rumours(float(number))
        self.assertEqual(daemons[0].take_rumours(200.0), ())
        run_until(
            mesh,
            200.0,
            lambda: all(m.find_endpoints("catalog") for m in mesh.values()),
        )

    def test_leaving_is_marked_and_gone_is_forgotten(self):
        mesh = rounds.build_mesh(12, ZONES, services=4)
        first = next(iter(mesh.values()))
        endpoint = first.own.endpoint
        first.announce(endpoint.service, endpoint.slots, True, 0.0)
        now = run_until(
            mesh,
            0.0,
            lambda: all(m.get(endpoint.daemon).endpoint.leaving for m in mesh.values()),
        )
        first.leave(now)
        now = run_until(
            mesh, now, lambda: count_states(mesh, endpoint.daemon) == {State.GONE}
        )
        del mesh[endpoint.daemon]
        rounds.run_round(mesh, now + membership.Settings().tombstone + 1)
        rounds.run_round(mesh, now + membership.Settings().tombstone + 2)
        self.assertEqual(count_states(mesh, endpoint.daemon), {None})

    def test_no_message_is_larger_than_allowed(self):
        mesh = rounds.build_mesh(100, ZONES, services=20)
        daemons = list(mesh.values())
        for daemon in daemons[:80]:
            daemon.announce("catalog", 7, False, 0.0)
        allowed = membership.Settings().message_bytes
        rounds.run_round(mesh, 1.0)
        for daemon in daemons:
            sent = daemon.take_rumours(1.5)
            self.assertLessEqual(sum(map(membership.estimate_bytes, sent)), allowed)

    def test_most_probes_stay_in_the_zone(self):
        mesh = rounds.build_mesh(120, ZONES)
        traffic = [rounds.run_round(mesh, float(now)) for now in range(1, 30)]
        crossings = sum(t.crossings for t in traffic)
        self.assertLess(crossings, 0.5 * sum(t.exchanges for t in traffic))

    def test_rumours_keep_to_their_rate_in_a_mass_restart(self):
        """Hundreds of daemons of a zone restart at once.

        Each has much to tell; unbounded, gossip would take the network and
        processor time that the callers' requests need.
        """
        figures = membership.Settings(rumour_rate=500.0, rumour_burst=2_000.0)
        mesh = rounds.build_mesh(100, ZONES, settings=figures)
        for daemon in list(mesh.values())[:50]:
            daemon.announce("catalog", 7, False, 0.0)
        sizes = [
            rounds.run_round(mesh, float(now)).member_bytes / len(mesh)
            for now in range(1, 31)
        ]
        self.assertLess(sum(sizes), 2_000 + 30 * 500 + figures.message_bytes)


class FailureTest(unittest.TestCase):
    def test_dead_daemon_is_taken_out_everywhere(self):
        """An instance fails without a word.

        Calls to it fail one by one until everyone knows.
        """
        mesh = rounds.build_mesh(40, ZONES, services=8)
        victim = list(mesh)[7]
        del mesh[victim]
        now = run_until(
            mesh, 0.0, lambda: count_states(mesh, victim) == {State.GONE}, lose(0.02)
        )
        self.assertLess(now, 60)

    def test_healthy_daemons_survive_loss(self):
        """The network loses every tenth message for minutes.

        Taking daemons out for lost probes would shrink services that have all
        their endpoints.
        """
        mesh = rounds.build_mesh(40, ZONES)
        reaches = lose(0.1)
        for now in range(1, INTERVALS):
            rounds.run_round(mesh, float(now), reaches)
            for daemon in mesh.values():
                gone = [m for m in daemon.members() if m.state is State.GONE]
                self.assertEqual(gone, [])

    def test_one_broken_path_takes_nobody_out(self):
        """Two daemons can't reach each other, while everyone else reaches both.

        One of them alone must not have the other taken out.
        """
        mesh = rounds.build_mesh(9, ZONES)
        one, other = list(mesh)[:2]

        def reaches(sender, receiver):
            return {sender.daemon, receiver.daemon} != {one, other}

        for now in range(1, INTERVALS):
            rounds.run_round(mesh, float(now), reaches)
        for daemon in mesh.values():
            self.assertTrue(all(m.state is State.ALIVE for m in daemon.members()))

    def test_paused_daemon_comes_back_and_blames_nobody(self):
        """A daemon stands still for minutes and resumes unaware.

        The others have taken it out. It must get work again, and must not take
        out those whose answers it has missed, nor those that it held suspect
        and that could not contradict meanwhile.
        """
        mesh = rounds.build_mesh(12, ZONES)
        paused, resumed = list(mesh.items())[3]
        rounds.run_round(mesh, 0.0)
        for other in list(mesh)[8:]:
            resumed.deny(other, 0.0)
        del mesh[paused]
        now = run_until(mesh, 0.0, lambda: count_states(mesh, paused) == {State.GONE})
        for other in list(mesh)[:6]:
            resumed.missed(other, now)
        mesh[paused] = resumed

        def all_alive():
            return all(
                m.state is State.ALIVE for d in mesh.values() for m in d.members()
            )

        for _ in range(60):
            now += 1.0
            rounds.run_round(mesh, now)
            others = [m for m in resumed.members() if m is not resumed.own]
            self.assertNotIn(State.GONE, {member.state for member in others})
        self.assertTrue(all_alive())
        self.assertGreater(resumed.own.version, 1)

    def test_other_daemon_at_the_address_takes_the_former_one_out(self):
        """An instance restarts within a second and gets the same address.

        Its former identifier still stands for a service there; calls would go
        to whatever now listens.
        """
        mesh = rounds.build_mesh(5)
        first, second = list(mesh.values())[:2]
        first.replace(second.own.endpoint.daemon, 1.0)
        self.assertIs(first.get(second.own.endpoint.daemon).state, State.GONE)

    def test_two_daemons_have_no_helper(self):
        mesh = rounds.build_mesh(2)
        left, right = mesh
        del mesh[right]
        run_until(mesh, 0.0, lambda: count_states(mesh, right) == {State.GONE})
        self.assertEqual(len(mesh[left]), 1)


class CutTest(unittest.TestCase):
    def test_regions_keep_each_other_and_heal_by_themselves(self):
        """Two regions lose each other for ten minutes, and the log is down too.

        Afterwards each has to send work to the other again without anybody
        doing anything, and meanwhile calls should go to the own region.
        """
        mesh = rounds.build_mesh(40, zones=4, regions=2, services=4)
        for daemon in mesh.values():
            daemon.announce("catalog", 7, False, 0.0)
        now = run_until(
            mesh,
            0.0,
            lambda: all(len(m.find_endpoints("catalog")) == 40 for m in mesh.values()),
        )
        reaches = cut_between(lambda endpoint: endpoint.region)
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

    def test_one_region_of_four_is_soon_known_to_be_cut_off(self):
        """One of four regions is cut off.

        A daemon whose only far partner is in another region must not go on
        placing calls in the lost one for minutes.
        """
        mesh = rounds.build_mesh(48, zones=8, regions=4)
        run_until(
            mesh,
            0.0,
            lambda: all(
                "region-0" in m.find_cut_regions()
                for m in mesh.values()
                if m.own.endpoint.region != "region-0"
            ),
            cut_between(lambda endpoint: endpoint.region == "region-0"),
            intervals=100,
        )

    def test_region_is_forgotten_after_long_and_found_again(self):
        """A region is cut off for longer than it is remembered.

        Each side forgets the other, at slightly different moments, and must
        not bring it back from hearsay; after the cut they find each other.
        """
        figures = membership.Settings(region_time=120.0)
        mesh = rounds.build_mesh(12, zones=2, regions=2, settings=figures)
        reaches = cut_between(lambda endpoint: endpoint.region)
        now = run_until(
            mesh, 0.0, lambda: {len(m) for m in mesh.values()} == {12}, reaches
        )
        for _ in range(240):
            now += 1.0
            rounds.run_round(mesh, now, reaches)
        self.assertEqual({len(daemon) for daemon in mesh.values()}, {6})
        run_until(mesh, now, lambda: {len(m) for m in mesh.values()} == {12})

    def test_zone_cut_off_within_the_region_comes_back(self):
        """A switch fails and a zone is alone for minutes.

        Both sides take each other out. Nobody reads the log, so they must find
        each other by probing those who went without leaving.
        """
        mesh = rounds.build_mesh(18, ZONES)
        reaches = cut_between(lambda endpoint: endpoint.zone == "zone-0")
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
    def test_any_faults_end_with_all_knowing_who_is_there(self, faults):
        """Daemons die, stand still and are cut off in any order.

        When it is over, a daemon that others don't know gets no work although
        it serves, and one that is dead gets calls that fail.
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
                    mesh, now, cut_between(lambda e: e.zone if e.zone in cut else "")
                )
        mesh.update(paused)
        run_until(mesh, now, lambda: is_settled(mesh, dead), intervals=400)


def is_settled(mesh, dead):
    """Tell whether all know the living as they are, and nobody knows others."""
    for member in mesh.values():
        for daemon, other in mesh.items():
            if member.get(daemon) != other.own:
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

    def test_contact_from_the_log_is_no_member(self):
        newcomer = self.build_newcomer()
        contact = rounds.build_endpoint(5)._replace(service="archive")
        newcomer.load_join(contact)
        self.assertEqual(len(newcomer), 1)
        self.assertEqual(newcomer.find_endpoints(contact.service), ())
        self.assertEqual(newcomer.find_contacts(), (contact,))
        newcomer.load_leave(contact.daemon)
        self.assertEqual(newcomer.find_contacts(), ())

    def test_pages_bring_the_whole_list(self):
        mesh = rounds.build_mesh(300, ZONES)
        peers = list(mesh.values())
        newcomer = self.build_newcomer()
        pages = 0
        while newcomer.next_page < membertable.BUCKETS:
            page = peers[pages % 3].give_page(newcomer.next_page, 0.0)
            newcomer.take_page(page, 0.0)
            pages += 1
        self.assertEqual(len(newcomer), 301)
        self.assertGreater(pages, 2)

    def test_newcomer_does_not_pass_for_the_whole_list(self):
        """Daemons that start together ask each other for the list.

        One that took a newcomer's few members for all would answer
        "no endpoint" for services that are there.
        """
        other = self.build_newcomer(1001)
        newcomer = self.build_newcomer()
        newcomer.take_page(other.give_page(0, 0.0), 0.0)
        self.assertEqual(newcomer.next_page, 0)
        self.assertEqual(len(newcomer), 2)
        other.finish_pages()
        newcomer.take_page(other.give_page(0, 0.0), 0.0)
        self.assertEqual(newcomer.next_page, membertable.BUCKETS)

    def test_pages_are_refused_when_too_many_ask(self):
        """A zone of hundreds of daemons restarts and all want the list.

        A peer that served them all would spend its processor time on it.
        """
        peer = next(iter(rounds.build_mesh(150, ZONES).values()))
        figures = peer.settings
        given = 0
        for number in range(400):
            page = peer.give_page(0, number / 100)
            given += sum(map(membership.estimate_bytes, page.members))
            if not page.members:
                self.assertEqual(page.next_bucket, 0)
        largest = figures.page_burst + 4 * figures.page_rate + 20_000
        self.assertLess(given, largest)

    def test_bad_news_of_a_stranger_are_ignored(self):
        newcomer = self.build_newcomer()
        stranger = messages.Endpoint("ff", "")
        news = [Member(stranger, State.SUSPECT), Member(stranger, State.GONE)]
        self.assertEqual(newcomer.merge(news, 0.0), ())
        self.assertEqual(len(newcomer), 1)


if __name__ == "__main__":
    unittest.main()
