"""Tests of meshes that are drawn from seeds, and short plays of some."""

import unittest

from emulator import draws, generated, troubles

NAMES = sorted(troubles.TROUBLES)
SEEDS = range(60)
# Daemons killed, restarted and reset beside backend servers that do something wrong.
PLAYED = 3, 6


def find_use(play, service):
    """Return the share of a service's slots that are in use at the usual load."""
    by_host = {draws.name_host(each.name): each for each in play.services}

    def spend(host, path):
        target = by_host[host]
        work = next(w for p, w in target.works.items() if path.startswith(p))
        own = work.seconds if target is service else 0.0
        return own + sum(spend(call.host, call.path) for call in work.calls)

    spent = sum(f.rate * spend(f.kind.host, f.kind.path) for f in play.flows)
    return spent / (service.endpoints * service.slots)


class DrawsTest(unittest.TestCase):
    def test_one_seed_draws_one_play(self):
        self.assertEqual(draws.draw_play(7, NAMES), draws.draw_play(7, NAMES))
        self.assertNotEqual(draws.draw_play(7, NAMES), draws.draw_play(8, NAMES))

    def test_all_that_is_asked_for_and_called_has_a_route(self):
        for seed in SEEDS:
            play = draws.draw_play(seed, NAMES)
            routes = {
                (route["host"], route["path_prefix"])
                for route in play.configuration["routes"].values()
            }
            asked = {(f.kind.host, f.kind.path[:-1]) for f in play.flows}
            called = {
                (call.host, call.path)
                for service in play.services
                for work in service.works.values()
                for call in work.calls
            }
            self.assertLessEqual(asked | called, routes, seed)

    def test_fullest_service_is_neither_idle_nor_full(self):
        for seed in SEEDS:
            play = draws.draw_play(seed, NAMES)
            fullest = max(find_use(play, service) for service in play.services)
            self.assertLessEqual(fullest, draws.HIGHEST_USE + 1e-6, seed)
            self.assertGreater(fullest, 0.0, seed)

    def test_work_that_must_not_be_repeated_is_drawn_too(self):
        plays = [draws.draw_play(seed, NAMES) for seed in SEEDS]
        methods = {flow.kind.method for play in plays for flow in play.flows}
        self.assertEqual(methods, {"GET", "POST"})

    def test_every_trouble_is_drawn(self):
        plays = [draws.draw_play(seed, NAMES) for seed in SEEDS]
        drawn = {moment.trouble for play in plays for moment in play.troubles}
        self.assertEqual(drawn, set(NAMES))


class PlaysTest(unittest.IsolatedAsyncioTestCase):
    async def test_promises_hold_in_meshes_that_nobody_wrote_down(self):
        for seed in PLAYED:
            with self.subTest(seed=seed):
                verdict = await generated.play(draws.draw_play(seed, NAMES))
                self.assertEqual(verdict.broken, ())
                self.assertTrue(verdict.recovered)
                self.assertGreater(verdict.whole, 0.0)
