"""Tests of the level that the endpoints of one service find together."""

import unittest

from whinwinch import admission, gate, pools
from whinwinch.messages import Importance

from . import root_load

# Five endpoints, the slowest takes three times as long as the fastest.
ENDPOINTS = tuple(
    root_load.Endpoint(27, slowness) for slowness in (0.63, 0.63, 1.28, 1.28, 1.9)
)
BROWSE = root_load.Flow("browse", Importance.NORMAL, 620, 4, 0.0224, 0.2, 1.2)
PAY = root_load.Flow("pay", Importance.CRITICAL, 335, 8, 0.0224, 0.2, 1.5)
STATUS = root_load.Flow("status", Importance.HIGH, 240, 1, 0.0367, 0.005, 0.15)
FLOWS = (BROWSE, PAY, STATUS)


class SurgeTest(unittest.TestCase):
    def test_unequal_endpoints_do_not_swing_between_empty_and_overfull(self):
        """Guards against a level of each endpoint's own, combined at the entries."""
        got = root_load.play(ENDPOINTS, FLOWS, ((1.0, 1.0), (8.0, 1.7)))
        self.assertLess(got.swing, 0.5)
        self.assertGreater(got.busy, 0.95)
        self.assertGreater(got.shares["status"].served, 0.95)
        self.assertGreater(got.shares["pay"].served, 0.99)


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = pools.Pool()
        self.told = pools.Told(10.0, "deep", True, gate.Supplies())

    def test_counts_what_was_told_lately(self):
        self.pool.take("a", self.told)
        self.assertEqual(self.pool.list_fresh("deep", ["a"], 10.4), [self.told])
        self.assertEqual(self.pool.list_fresh("deep", ["a"], 10.6), [])

    def test_address_that_another_service_got_does_not_count(self):
        self.pool.take("a", self.told)
        self.assertEqual(self.pool.list_fresh("other", ["a"], 10.1), [])

    def test_endpoint_that_is_gone_does_not_count(self):
        self.pool.take("a", self.told)
        self.assertEqual(self.pool.list_fresh("deep", [], 10.1), [])
        self.assertEqual(self.pool.list_fresh("deep", ["a"], 10.1), [])


class SupplyTest(unittest.TestCase):
    def test_spare_room_of_an_endpoint_that_callers_pass_over_is_not_counted(self):
        """Guards against admitting for an endpoint that no caller uses."""
        none = (0.0,) * admission.CLASSES
        full = admission.Supply(100.0, none, (0.0, 200.0, 0.0, 0.0))
        passed_over = admission.Supply(100.0, none, (0.0, 4.0, 0.0, 0.0))
        pool = admission.add_supplies((full, passed_over))
        self.assertEqual(pool.capacity, 105.0)
        self.assertEqual(pool.rates, (0.0, 204.0, 0.0, 0.0))
