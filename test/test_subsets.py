"""Tests of the selection of the endpoints that a daemon uses."""

import collections
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from whinwinch import directory, subsets
from whinwinch.messages import Endpoint
from whinwinch.subsets import SUBSET_SIZE, Reachability

SERVICES = ("catalog", "royalties", "archive", "submissions")
# Number of endpoints of each service in six zones, as uneven as in a large deployment.
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
    """Return the endpoints of services from their number by service and zone."""
    return [
        Endpoint(f"10.{s}.{z}.{n}:1", f"10.{s}.{z}.{n}:1", f"s{s}", f"z{z}", "r", 4)
        for s, service in enumerate(sizes)
        for z, count in enumerate(service)
        for n in range(count)
    ]


def list_used(daemon, mesh, service, unreachable=frozenset()):
    """Return the addresses of the endpoints of a service that a daemon uses.

    Args:
        daemon: `Endpoint` of the daemon.
        mesh: `Endpoint` tuples of all daemons.
        service: Name of the service.
        unreachable: Addresses that the daemon can't connect to.
    """
    known = directory.Directory(daemon.address)
    for endpoint in mesh:
        known.apply_record(endpoint.address, endpoint)
    return select_endpoints(daemon, known, service, unreachable)


def select_endpoints(daemon, known, service, unreachable=frozenset()):
    """Return the addresses that a daemon uses, given its directory."""
    preferred = subsets.Subsets(daemon.address, daemon.zone, known).list_preferred(
        service
    )

    def find_reach(address):
        return Reachability.BACKING_OFF if address in unreachable else Reachability.UP

    return [e.address for e in subsets.choose_usable(preferred, find_reach).endpoints]


def count_callers(mesh, unreachable=frozenset()):
    """Return the number of daemons per endpoint and of links per daemon."""
    callers, links = collections.Counter(), {}
    known = directory.Directory("")
    for endpoint in mesh:
        known.apply_record(endpoint.address, endpoint)
    for daemon in mesh:
        if daemon.address in unreachable:
            continue
        used = [
            address
            for service in {e.service for e in mesh}
            for address in select_endpoints(daemon, known, service, unreachable)
        ]
        callers.update(used)
        links[daemon.address] = len(used)
    return callers, links


class SubsetsTest(unittest.TestCase):
    def test_links_do_not_grow_with_the_daemons(self):
        """Hundreds of daemons call four services.

        If each connected to all others, each would have a link, heartbeats and
        reported levels for every other, and their number would grow with the square
        of the daemons.
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

    def test_daemons_of_a_zone_are_distributed_evenly(self):
        local = [Endpoint(f"n{n}", f"n{n}", "s", "z", "r", 4) for n in range(20)]
        callers = collections.Counter()
        for place in range(70):
            order = subsets.order_endpoints("x", "z", place / 70, local)
            callers.update(e.address for e in order[: subsets.MAX_LOCAL_ENDPOINTS])
        self.assertLessEqual(max(callers.values()) - min(callers.values()), 1)

    def test_lost_zone_leaves_full_subsets(self):
        """An availability zone loses power.

        Daemons that used its endpoints need others, or their calls find no endpoint.
        """
        mesh = build_mesh(LARGE)
        unreachable = frozenset(e.address for e in mesh if e.zone == "z0")
        callers, links = count_callers(mesh, unreachable)
        self.assertEqual(min(links.values()), max(links.values()))
        self.assertFalse(unreachable & callers.keys())

    def test_local_zone_is_preferred(self):
        mesh = build_mesh(LARGE)
        daemon = next(e for e in mesh if e.service == "s3")
        zones = {e.address: e.zone for e in mesh}
        used = collections.Counter(zones[a] for a in list_used(daemon, mesh, "s0"))
        self.assertEqual(used[daemon.zone], subsets.MAX_LOCAL_ENDPOINTS)

    def test_all_endpoints_of_a_small_service_are_used(self):
        mesh = build_mesh(((2, 2, 2),))
        self.assertEqual(len(list_used(mesh[0], mesh, "s0")), 6)

    def test_local_backend_server_is_always_used(self):
        mesh = build_mesh(((40,),))
        for daemon in mesh:
            self.assertIn(daemon.address, list_used(daemon, mesh, "s0"))

    def test_unreachable_endpoint_is_tried_again_and_not_counted(self):
        """Endpoints become unreachable and recover.

        If they counted while unreachable, a subset could have no usable endpoint; if
        they were never tried again, they would stay idle after their recovery.
        """
        mesh = build_mesh(((30,),))
        reaches = dict.fromkeys((e.address for e in mesh), Reachability.UP)
        reaches.update((e.address, Reachability.RETRY_DUE) for e in mesh[:6])
        reaches.update((e.address, Reachability.UNTRIED) for e in mesh[6:8])
        usable = subsets.choose_usable(mesh, reaches.get)
        self.assertEqual(list(usable.endpoints), mesh[8:18])
        self.assertEqual(set(usable.to_connect), set(mesh[:8]))

    def test_all_endpoints_are_tried_when_all_are_unreachable(self):
        mesh = build_mesh(((3,),))
        usable = subsets.choose_usable(mesh, lambda address: Reachability.RETRY_DUE)
        self.assertEqual(list(usable.endpoints), mesh)

    def test_daemons_of_a_small_service_find_the_same_endpoints_sound(self):
        """Guards against daemons that differ only for want of a connection."""
        mesh = build_mesh([(2, 1)])
        reach = {e.address: Reachability.UNTRIED for e in mesh}
        reach[mesh[0].address] = Reachability.UP
        self.assertEqual(subsets.list_sound(mesh, reach.get), mesh)
        reach[mesh[1].address] = Reachability.BACKING_OFF
        self.assertEqual(subsets.list_sound(mesh, reach.get), [mesh[0], mesh[2]])

    def test_second_daemon_of_a_zone_changes_few_connections(self):
        """A second daemon joins a zone that had only one.

        If the position among the two decided, the first daemon's start among the
        other zones' endpoints would move by half, and it would reopen nearly all its
        connections.
        """
        mesh = build_mesh([[1, 13]])
        self.check_newcomer(mesh, mesh[0])

    @settings(max_examples=60, deadline=None)
    @given(SIZES, st.randoms(use_true_random=False))
    def test_new_member_changes_few_connections(self, sizes, random):
        """Endpoints join and leave all day.

        If many links changed each time, connections would be opened and closed, and
        what daemons had observed of endpoints would be lost.
        """
        mesh = build_mesh(sizes)
        self.check_newcomer(mesh, random.choice(mesh))

    def check_newcomer(self, mesh, daemon):
        """Check the endpoints that a daemon uses before and after one joins."""
        joined = Endpoint("new:1", "new:1", mesh[0].service, mesh[0].zone, "r", 4)
        for service in {e.service for e in mesh}:
            before = set(list_used(daemon, mesh, service))
            after = set(list_used(daemon, [*mesh, joined], service))
            # A start moves by one place at most, local and remote.
            self.assertLessEqual(len(before - after), 2)
            self.assertLessEqual(len(after - before), 2 + (len(before) < SUBSET_SIZE))

    @settings(max_examples=60, deadline=None)
    @given(SIZES)
    def test_subset_is_as_large_as_possible_without_duplicates(self, sizes):
        mesh = build_mesh(sizes)
        for service in {e.service for e in mesh}:
            used = list_used(mesh[0], mesh, service)
            available = sum(e.service == service for e in mesh)
            self.assertEqual(len(used), min(available, SUBSET_SIZE))
            self.assertEqual(len(set(used)), len(used))
