"""Tests of the generation of scenarios, and runs of some short ones."""

import unittest

from emulator import disruptions, generated, scenarios

NAMES = sorted(disruptions.DISRUPTIONS)
SEEDS = range(60)
# In these, daemons are killed and restarted and connections are reset, while backend
# servers have faults.
PLAYED_SEEDS = 3, 6
PLAYED_WORKSPACE_SEEDS = 4, 6


def find_utilization(scenario, service):
    """Return the share of a service's slots that are in use at the base load."""
    by_host = {scenarios.name_host(each.name): each for each in scenario.services}

    def sum_work(host, path):
        target = by_host[host]
        work = next(w for p, w in target.work_by_prefix.items() if path.startswith(p))
        own = work.seconds if target is service else 0.0
        return own + sum(sum_work(call.host, call.path) for call in work.calls)

    used_seconds = sum(
        f.rate * sum_work(f.kind.host, f.kind.path) for f in scenario.flows
    )
    return used_seconds / (service.endpoints * service.slots)


class ScenarioTest(unittest.TestCase):
    def test_seed_determines_the_scenario(self):
        self.assertEqual(
            scenarios.draw_scenario(7, NAMES), scenarios.draw_scenario(7, NAMES)
        )
        self.assertNotEqual(
            scenarios.draw_scenario(7, NAMES), scenarios.draw_scenario(8, NAMES)
        )

    def test_each_request_and_call_has_a_route(self):
        for seed in SEEDS:
            scenario = scenarios.draw_scenario(seed, NAMES)
            routes = {
                (route["host"], route["path_prefix"])
                for route in scenario.configuration["routes"].values()
            }
            requested = {(f.kind.host, f.kind.path[:-1]) for f in scenario.flows}
            called = {
                (call.host, call.path)
                for service in scenario.services
                for work in service.work_by_prefix.values()
                for call in work.calls
            }
            self.assertLessEqual(requested | called, routes, seed)

    def test_most_utilized_service_is_neither_idle_nor_full(self):
        for seed in SEEDS:
            scenario = scenarios.draw_scenario(seed, NAMES)
            most_utilized = max(
                find_utilization(scenario, service) for service in scenario.services
            )
            self.assertLessEqual(most_utilized, scenarios.MAX_UTILIZATION + 1e-6, seed)
            self.assertGreater(most_utilized, 0.0, seed)

    def test_workspaces_change_nothing_else(self):
        for seed in SEEDS:
            drawn = scenarios.draw_scenario(seed, NAMES)
            changed = scenarios.add_workspaces(drawn)
            self.assertTrue(all(flow.kind.key for flow in changed.flows))
            flows = tuple(
                flow._replace(kind=flow.kind._replace(key="")) for flow in changed.flows
            )
            kept = changed._replace(flows=flows, configuration=drawn.configuration)
            self.assertEqual(kept, drawn)

    def test_scenarios_include_unsafe_requests(self):
        drawn_scenarios = [scenarios.draw_scenario(seed, NAMES) for seed in SEEDS]
        methods = {
            flow.kind.method for scenario in drawn_scenarios for flow in scenario.flows
        }
        self.assertEqual(methods, {"GET", "POST"})

    def test_every_disruption_occurs(self):
        drawn_scenarios = [scenarios.draw_scenario(seed, NAMES) for seed in SEEDS]
        drawn = {
            scheduled.disruption
            for scenario in drawn_scenarios
            for scheduled in scenario.disruptions
        }
        self.assertEqual(drawn, set(NAMES))


class RunTest(unittest.IsolatedAsyncioTestCase):
    async def assert_guarantees(self, scenario):
        verdict = await generated.run_scenario(scenario)
        self.assertEqual(verdict.violations, ())
        self.assertEqual(verdict.unserved, (), generated.describe(verdict))
        self.assertGreater(verdict.whole, 0.0)

    async def test_guarantees_hold_in_randomized_scenarios(self):
        for seed in PLAYED_SEEDS:
            with self.subTest(seed=seed):
                await self.assert_guarantees(scenarios.draw_scenario(seed, NAMES))

    async def test_guarantees_hold_with_workspaces(self):
        for seed in PLAYED_WORKSPACE_SEEDS:
            with self.subTest(seed=seed):
                drawn = scenarios.draw_scenario(seed, NAMES)
                await self.assert_guarantees(scenarios.add_workspaces(drawn))
