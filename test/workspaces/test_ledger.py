"""Tests of the quotas of all workspaces at one daemon."""

import unittest

from test import requests
from whinwinch.messages import Importance
from whinwinch.workspaces import ledger, quotas, usages
from whinwinch.workspaces.registry import Quota, Registry, Workspace

RATE = 10.0
LIMITED = Workspace("limited", quota=Quota(RATE, RATE))
FREE = Workspace("free")
TERMS = quotas.QuotaTerms(5.0, 0.1, 20.0)
DAEMONS = 4
NO_DEMAND = (0,) * len(Importance)


def build_total(daemons, **rates):
    """Return a `usages.UsageTotal` of NORMAL requests a second, all admitted."""
    entries = []
    for name, rate in rates.items():
        demand = list(NO_DEMAND)
        demand[Importance.NORMAL] = rate * usages.RATE_SCALE
        entries.append(usages.WorkspaceUsage(name, tuple(demand), demand[1]))
    return usages.UsageTotal(daemons, tuple(entries))


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = ledger.Ledger(TERMS, lambda: DAEMONS, 0.0)
        self.ledger.install(Registry((LIMITED, FREE)), 0.0)
        self.sent = 0

    def spend(self, count, now, workspace="limited"):
        """Return how many of some requests are admitted at a time."""
        admitted = 0
        for _ in range(count):
            self.sent += 1
            request = requests.build(f"a{self.sent}", caller=workspace)
            admitted += self.ledger.try_spend(request, now)
        return admitted

    def hear(self, now, daemons=DAEMONS, **rates):
        self.ledger.apply_total(build_total(daemons, **rates), now)

    def test_workspace_without_a_quota_is_admitted(self):
        for workspace in ("free", ""):
            self.assertEqual(self.spend(1000, 1.0, workspace), 1000)

    def test_workspace_that_is_not_busy_is_admitted(self):
        self.hear(2.0)
        self.assertEqual(self.spend(10, 2.1), 10)

    def test_daemon_that_hears_nobody_keeps_to_its_part(self):
        """Guards against the whole quota at each of the daemons that are cut off."""
        allowed = (RATE * 5.0 + RATE) * 1.1 + 20.0
        admitted = sum(self.spend(20, 10.0 + 0.1 * step) for step in range(50))
        self.assertGreater(admitted, 0)
        self.assertLessEqual(admitted, allowed / DAEMONS + 1)

    def test_relay_that_hears_only_itself_counts_as_alone(self):
        """Guards against a relay in a partition that takes its own sum for all."""
        self.hear(10.0, daemons=1)
        self.assertLess(self.spend(100, 10.0), 20)

    def test_demand_of_the_others_counts(self):
        """Guards against a workspace that spreads its requests over daemons."""
        for step in range(20):
            self.hear(1.0 + 0.2 * step, limited=10 * RATE)
        self.assertLess(self.spend(20, 5.0), 10)
        state = self.ledger.read_state("limited", 5.0)
        self.assertEqual((state.demand, state.daemons), (10 * RATE, DAEMONS))

    def test_report_that_is_old_no_longer_counts(self):
        self.hear(1.0, limited=10 * RATE)
        self.assertEqual(self.ledger.read_state("limited", 3.0).daemons, 0)

    def test_accounts_of_idle_workspaces_are_dropped(self):
        """Guards against memory that grows with all workspaces ever seen."""
        self.spend(1, 1.0)
        self.assertEqual(len(self.ledger.list_usages(1.0)), 1)
        later = 2.0 + ledger.IDLE_SECONDS
        self.assertEqual(self.ledger.list_usages(later), ())
        self.assertEqual(self.ledger._entries, {})

    def test_busiest_workspaces_are_listed_up_to_a_bound(self):
        many = [Workspace(f"w{n}", quota=Quota(RATE, RATE)) for n in range(40)]
        self.ledger.install(Registry(many), 0.0)
        for number in range(40):
            self.spend(1 + number % 3, 1.0, f"w{number}")
        listed = self.ledger.list_busiest(1.0, 8)
        self.assertEqual(len(listed), 8)
        demands = [sum(usage.demand) for usage in listed]
        self.assertEqual(demands, sorted(demands, reverse=True))


class ReportsTest(unittest.TestCase):
    def setUp(self):
        self.reports = usages.UsageReports()

    def find_sum(self, now):
        total = self.reports.sum_all(now)
        return total.daemons, {
            entry.workspace: entry.demand[1] / usages.RATE_SCALE
            for entry in total.usages
        }

    def test_sum_over_daemons_and_zones(self):
        self.reports.record_daemon("h:1", build_total(1, w=2).usages, 1.0)
        self.reports.record_daemon("h:2", build_total(1, w=3, v=1).usages, 1.0)
        self.reports.record_zone("h:3", build_total(5, w=4), 1.0)
        self.assertEqual(self.find_sum(1.1), (7, {"w": 9.0, "v": 1.0}))

    def test_workspaces_that_take_turns_keep_what_was_reported(self):
        """Guards against demand that seems to vanish between two turns."""
        self.reports.record_zone("h:3", build_total(5, w=4), 1.0)
        self.reports.record_zone("h:3", build_total(5, v=2), 1.2)
        self.assertEqual(self.find_sum(1.3), (5, {"w": 4.0, "v": 2.0}))

    def test_reports_of_lost_daemons_are_dropped(self):
        self.reports.record_daemon("h:1", build_total(1, w=2).usages, 1.0)
        self.assertEqual(self.find_sum(1.0 + usages.MAX_REPORT_AGE_SECONDS), (0, {}))

    def test_each_workspace_has_its_turn(self):
        total = build_total(8, **{f"w{n}": 1 for n in range(40)})
        sent = set()
        for turn in range(usages.TURNS):
            chosen = usages.select_turn(total, lambda name: 100.0, 1.0, turn)
            self.assertLess(len(chosen.usages), 40)
            sent.update(entry.workspace for entry in chosen.usages)
        self.assertEqual(len(sent), 40)

    def test_nearly_busy_workspaces_are_always_sent(self):
        total = build_total(8, hot=90, calm=10)
        for turn in range(usages.TURNS):
            chosen = usages.select_turn(total, lambda name: 100.0, 1.0, turn)
            self.assertEqual(chosen.usages[0].workspace, "hot")

    def test_busiest_workspaces_come_first_up_to_a_bound(self):
        """Guards against messages that grow with the number of workspaces."""
        rates = {f"w{n}": 100 + n for n in range(usages.MAX_ENTRIES + 10)}
        chosen = usages.select_busy(build_total(8, **rates), lambda name: 100.0, 1.0)
        self.assertEqual(len(chosen.usages), usages.MAX_ENTRIES)
        self.assertEqual(chosen.usages[0].workspace, f"w{usages.MAX_ENTRIES + 9}")
