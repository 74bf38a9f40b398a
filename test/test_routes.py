"""Tests of the choice of the route and of the service."""

import collections
import unittest

from whinwinch import routes

ONE_SERVICE = (routes.WeightedService("a", 1),)


def build_route(name, path_prefix, weighted_services=ONE_SERVICE, host="h"):
    return routes.Route(name, host, path_prefix, weighted_services)


class TableTest(unittest.TestCase):
    def test_finds_the_longest_prefix_of_the_host(self):
        table = routes.RouteTable(
            1,
            [
                build_route("short", "/a/"),
                build_route("long", "/a/b/"),
                build_route("other", "/a/b/c/", host="g"),
            ],
        )
        self.assertEqual(table.find("h", "/a/b/c/x").name, "long")
        self.assertEqual(table.find("h", "/a/x").name, "short")
        self.assertIsNone(table.find("h", "/b/"))
        self.assertIsNone(table.find("i", "/a/"))


class SharesTest(unittest.TestCase):
    def test_shares_match_the_weights_over_few_requests(self):
        """With a random choice the shares would be off by a tenth over 100 requests."""
        weighted_services = (
            routes.WeightedService("a", 90),
            routes.WeightedService("b", 7),
            routes.WeightedService("c", 3),
        )
        route, round_robin = (
            build_route("r", "/", weighted_services),
            routes.WeightedRoundRobin(),
        )
        chosen = collections.Counter(round_robin.choose(route) for _ in range(100))
        self.assertEqual(chosen, {"a": 90, "b": 7, "c": 3})

    def test_change_of_another_route_keeps_the_rotation(self):
        weighted_services = (
            routes.WeightedService("a", 1),
            routes.WeightedService("b", 1),
        )
        route, round_robin = (
            build_route("r", "/", weighted_services),
            routes.WeightedRoundRobin(),
        )
        first = round_robin.choose(route)
        round_robin.prune(routes.RouteTable(2, [route, build_route("new", "/n/")]))
        self.assertNotEqual(round_robin.choose(route), first)
