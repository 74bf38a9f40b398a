"""Checks the bound of quotas on a model of many daemons with late reports."""

import unittest

from whinwinch.messages import Importance
from whinwinch.tokens import TokenBucket
from whinwinch.workspaces import quotas
from whinwinch.workspaces.registry import Quota

from . import quota_model

QUOTAS = tuple(Quota(rate, rate) for rate in (4.0, 20.0, 173.0))
SEEDS = (1, 2, 3)
CUT = (15.0, 27.0)
CUT_DAEMONS = 22


def build_constant(factor, quota):
    return lambda time: factor * quota.rate


def is_cut(number, time):
    return number < CUT_DAEMONS and CUT[0] < time < CUT[1]


def is_alone(number, time):
    return CUT[0] < time < CUT[1]


class BoundTest(unittest.TestCase):
    def assert_bound(self, build, since=0.0, limit=None, build_account=quotas.Account):
        """Assert the bound in all windows of a scenario, for each quota and seed."""
        for quota in QUOTAS:
            for seed in SEEDS:
                scenario = build(quota)._replace(seed=seed)
                outcome = quota_model.Fleet(scenario, build_account).run()
                bound = quota_model.find_bound(limit(quota) if limit else quota)
                worst = quota_model.count_worst_window(outcome, since)
                self.assertLessEqual(worst, bound, (quota, seed))

    def build_excess(self, quota, **changed):
        return quota_model.Scenario(quota, build_constant(3.0, quota), **changed)

    def test_bound_holds_at_three_times_the_quota(self):
        self.assert_bound(self.build_excess)

    def test_bound_holds_when_demand_rises_at_once(self):
        """Guards against requests that are admitted before a surge is heard of."""

        def build(quota):
            return quota_model.Scenario(
                quota, lambda time: quota.rate * (0.6 if time < 10.0 else 3.0)
            )

        self.assert_bound(build)

    def test_bound_holds_at_a_single_entry(self):
        """Guards against one daemon that waits to be told of its own requests."""
        self.assert_bound(lambda quota: self.build_excess(quota, entry=5))

    def test_bound_holds_while_daemons_are_cut_off(self):
        """Guards against two parts of the daemons that each spend the whole quota."""
        self.assert_bound(lambda quota: self.build_excess(quota, is_cut=is_cut))

    def test_bound_holds_while_all_daemons_are_alone(self):
        """Guards against a whole token at each daemon that hears nobody."""
        self.assert_bound(lambda quota: self.build_excess(quota, is_cut=is_alone))

    def test_bound_holds_when_all_daemons_start_again(self):
        """Guards against a full bucket at each daemon once power is back."""
        self.assert_bound(lambda quota: self.build_excess(quota, restart_at=20.0))

    def test_lower_quota_binds_after_one_window(self):
        """Guards against tokens of the former quota that are still spent."""

        def lower(quota):
            return Quota(max(1.0, quota.rate / 10.0), max(1.0, quota.burst / 10.0))

        self.assert_bound(
            lambda quota: quota_model.Scenario(
                quota, build_constant(0.6, quota), lowered=(15.0, lower(quota))
            ),
            since=15.0 + quota_model.TERMS.window,
            limit=lower,
        )

    def test_full_bucket_at_each_daemon_breaks_the_bound(self):
        """Guards against a model that no mistake breaks."""

        class FullAccount(quotas.Account):
            def __init__(self, quota, terms, started_at):
                super().__init__(quota, terms, started_at)
                self._bucket = TokenBucket(quota.rate, quota.burst, started_at)

            def try_spend(self, request, view, now):
                return self._bucket.try_spend(now)

        with self.assertRaises(AssertionError):
            self.assert_bound(self.build_excess, build_account=FullAccount)

    def test_whole_quota_in_each_part_breaks_the_bound(self):
        """Guards against a model without cuts that matter."""

        class ForgetfulAccount(quotas.Account):
            def try_spend(self, request, view, now):
                heard = view._replace(all_daemons=max(1, view.heard_daemons))
                return super().try_spend(request, heard, now)

            def advance(self, view, now):
                heard = view._replace(all_daemons=max(1, view.heard_daemons))
                super().advance(heard, now)

        with self.assertRaises(AssertionError):
            self.assert_bound(
                lambda quota: self.build_excess(quota, is_cut=is_cut),
                build_account=ForgetfulAccount,
            )


class ShareTest(unittest.TestCase):
    def run_scenario(self, quota, factor, **changed):
        demand = build_constant(factor, quota)
        scenario = quota_model.Scenario(quota, demand, **changed)
        return quota_model.Fleet(scenario).run()

    def test_workspaces_within_their_quota_are_served(self):
        """Guards against refusing what the quota allows, also at a request a minute."""
        for quota in QUOTAS:
            outcome = self.run_scenario(quota, 0.6)
            for importance, share in outcome.shares.items():
                self.assertGreaterEqual(share, 0.98, (quota, importance))

    def test_most_of_the_quota_is_used_beyond_it(self):
        """Guards against shares that nobody uses while callers are refused."""
        for quota in QUOTAS:
            outcome = self.run_scenario(quota, 3.0)
            used = len(outcome.admitted) / (40.0 * quota.rate)
            self.assertGreaterEqual(used, 0.9, quota)

    def test_important_requests_get_the_quota_first(self):
        """Guards against refusing payments while reads use the quota."""
        for quota in QUOTAS[1:]:
            shares = self.run_scenario(quota, 2.0).shares
            self.assertGreaterEqual(shares[Importance.CRITICAL], 0.9)
            self.assertLessEqual(shares[Importance.NORMAL], 0.4)


if __name__ == "__main__":
    unittest.main()
