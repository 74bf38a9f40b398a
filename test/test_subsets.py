"""Tests of which endpoints of a service a daemon uses."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import directory, subsets
from whinwinch.messages import Endpoint
from whinwinch.subsets import SUBSET_SIZE, Reach

SERVICES = ("catalog", "royalties", "archive", "submissions")
# Endpoints of each service in six zones, as uneven as those of a large press.
LARGE = (
    (11, 12, 11, 10, 9, 11),
    (10, 11, 9, 8, 10, 8),
    (12, 10, 11, 10, 9, 10),
    (3, 3, 2, 2, 1, 2),
)
SIZES = st.lists(
    st.lists(st.integers(0, 40), min_size=1, max_size=4), min_size=1, max_size=4
).filter(lambda sizes: sum(map(sum, sizes)) > 0)


def build_mesh(sizes):
    """Return the endpoints of services, given their number in each zone."""
    return [
        Endpoint(f"10.{s}.{z}.{n}:1", f"10.{s}.{z}.{n}:1", f"s{s}", f"z{z}", "r", 4)
        for s, service in enumerate(sizes)
        for z, count in enumerate(service)
        for n in range(count)
    ]


def list_used(own, mesh, service, dead=frozenset()):
    """Return the endpoints of a service that a daemon uses, some out of reach."""
    known = directory.Directory(own.address)
    for endpoint in mesh:
        known.record(endpoint.address, endpoint)
    return use(own, known, service, dead)


def use(own, known, service, dead=frozenset()):
    preferred = subsets.Subsets(own.address, own.zone, known).list_preferred(service)

    def find_reach(address):
        return Reach.PAUSING if address in dead else Reach.UP

    return [e.address for e in subsets.choose_usable(preferred, find_reach).endpoints]


def count_callers(mesh, dead=frozenset()):
    """Return how many daemons use each endpoint, and how many links each has."""
    callers, links = collections.Counter(), {}
    known = directory.Directory("")
    for endpoint in mesh:
        known.record(endpoint.address, endpoint)
    for own in mesh:
        if own.address in dead:
            continue
        used = [
            address
            for service in {e.service for e in mesh}
            for address in use(own, known, service, dead)
        ]
        callers.update(used)
        links[own.address] = len(used)
    return callers, links


class SubsetsTest(unittest.TestCase):
    def test_links_do_not_grow_with_the_daemons(self):
        """Hundreds of daemons call four services.

        Connected with all, each of them would have a link, signs of life and told
        levels for every other, and the fleet their square.
        """
        _, links = count_callers(build_mesh(LARGE))
        self.assertEqual(sum(map(sum, LARGE)), len(links))
        self.assertLessEqual(max(links.values()), len(SERVICES) * SUBSET_SIZE)

    def test_each_endpoint_has_about_as_many_callers(self):
        mesh = build_mesh(LARGE)
        callers, _ = count_callers(mesh)
        for service in {e.service for e in mesh}:
            counts = [callers[e.address] for e in mesh if e.service == service]
            mean = sum(counts) / len(counts)
            self.assertGreater(min(counts), mean / 2)
            self.assertLess(max(counts), 2 * mean)

    def test_zone_deals_its_daemons_out_evenly(self):
        near = [Endpoint(f"n{n}", f"n{n}", "s", "z", "r", 4) for n in range(20)]
        callers = collections.Counter()
        for place in range(70):
            order = subsets.order_endpoints("x", "z", place / 70, near)
            callers.update(e.address for e in order[: subsets.NEAR_SIZE])
        self.assertLessEqual(max(callers.values()) - min(callers.values()), 1)

    def test_zone_that_is_lost_leaves_enough_to_choose_from(self):
        """An availability zone loses power.

        Daemons that used its endpoints need others, or their calls find none.
        """
        mesh = build_mesh(LARGE)
        dead = frozenset(e.address for e in mesh if e.zone == "z0")
        callers, links = count_callers(mesh, dead)
        self.assertEqual(min(links.values()), max(links.values()))
        self.assertFalse(dead & callers.keys())

    def test_own_zone_goes_first(self):
        mesh = build_mesh(LARGE)
        own = next(e for e in mesh if e.service == "s3")
        zones = {e.address: e.zone for e in mesh}
        used = collections.Counter(zones[a] for a in list_used(own, mesh, "s0"))
        self.assertEqual(used[own.zone], subsets.NEAR_SIZE)

    def test_small_service_is_used_whole(self):
        mesh = build_mesh(((2, 2, 2),))
        self.assertEqual(len(list_used(mesh[0], mesh, "s0")), 6)

    def test_endpoint_beside_the_daemon_is_always_used(self):
        mesh = build_mesh(((40,),))
        for own in mesh:
            self.assertIn(own.address, list_used(own, mesh, "s0"))

    def test_endpoint_out_of_reach_is_tried_again_and_not_counted(self):
        """Endpoints are cut off and come back.

        Counted while they are away, they would leave nothing to choose from; never
        tried again, they would stay idle after their return.
        """
        mesh = build_mesh(((30,),))
        reaches = dict.fromkeys((e.address for e in mesh), Reach.UP)
        reaches.update((e.address, Reach.DUE) for e in mesh[:6])
        reaches.update((e.address, Reach.UNTRIED) for e in mesh[6:8])
        usable = subsets.choose_usable(mesh, reaches.get)
        self.assertEqual(list(usable.endpoints), mesh[8:18])
        self.assertEqual(set(usable.wanted), set(mesh[:8]))

    def test_all_out_of_reach_are_tried(self):
        mesh = build_mesh(((3,),))
        usable = subsets.choose_usable(mesh, lambda address: Reach.DUE)
        self.assertEqual(list(usable.endpoints), mesh)

    def test_second_daemon_of_a_zone_moves_little(self):
        """A daemon is alone in its zone, and another one comes.

        By its place among two it would start half way round the other zones' endpoints
        and open nearly all connections anew.
        """
        mesh = build_mesh([[1, 13]])
        self.check_newcomer(mesh, mesh[0])

    @settings(max_examples=60, deadline=None)
    @given(SIZES, st.randoms(use_true_random=False))
    def test_member_that_comes_moves_little(self, sizes, random):
        """Endpoints come and go all day.

        Were many links moved each time, connections would be opened and closed and
        what was learnt of endpoints lost.
        """
        mesh = build_mesh(sizes)
        self.check_newcomer(mesh, random.choice(mesh))

    def check_newcomer(self, mesh, own):
        """Check what a daemon uses before and after one more has come."""
        joined = Endpoint("new:1", "new:1", mesh[0].service, mesh[0].zone, "r", 4)
        for service in {e.service for e in mesh}:
            before = set(list_used(own, mesh, service))
            after = set(list_used(own, [*mesh, joined], service))
            # A start moves by one place at most, near and far.
            self.assertLessEqual(len(before - after), 2)
            self.assertLessEqual(len(after - before), 2 + (len(before) < SUBSET_SIZE))

    @settings(max_examples=60, deadline=None)
    @given(SIZES)
    def test_as_many_as_there_are_and_none_twice(self, sizes):
        mesh = build_mesh(sizes)
        for service in {e.service for e in mesh}:
            used = list_used(mesh[0], mesh, service)
            there = sum(e.service == service for e in mesh)
            self.assertEqual(len(used), min(there, SUBSET_SIZE))
            self.assertEqual(len(set(used)), len(used))
