"""Tests of the choice of the route and of the service."""

import collections
import unittest

from whinwinch import routes

ONE_PART = (routes.Part("a", 1),)


def build_route(name, prefix, parts=ONE_PART, host="h"):
    return routes.Route(name, host, prefix, parts)


class TableTest(unittest.TestCase):
    def test_finds_the_longest_prefix_of_the_host(self):
        table = routes.Table(
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
        parts = (routes.Part("a", 90), routes.Part("b", 7), routes.Part("c", 3))
        route, shares = build_route("r", "/", parts), routes.Shares()
        chosen = collections.Counter(shares.choose(route) for _ in range(100))
        self.assertEqual(chosen, {"a": 90, "b": 7, "c": 3})

    def test_change_of_another_route_keeps_the_rotation(self):
        parts = (routes.Part("a", 1), routes.Part("b", 1))
        route, shares = build_route("r", "/", parts), routes.Shares()
        first = shares.choose(route)
        shares.keep(routes.Table(2, [route, build_route("new", "/n/")]))
        self.assertNotEqual(shares.choose(route), first)
