"""Exhaustive checks of the drain model, also with single mechanisms disabled."""

import unittest

from minicheck import check_liveness, check_safety

from test.models import drain_model
from test.models.drain_model import Options
from whinwinch import lifecycle
from whinwinch.lifecycle import Direction, Phase

NONE_CUT_OFF = "a planned stop cuts off no request in flight"
NO_NEW_WORK = "a leaving backend server receives no new work"
DEFINITE_OUTCOME = "a request to a leaving daemon gets a definite outcome"

MAX_STATES = 100_000

# Counterexamples are short, so the search for one stops before it has visited all
# states.
MUTANT_STATES = 12_000


def admit_always(life, direction):
    return life.phase is not Phase.STOPPED


def admit_nothing_when_leaving(life, direction):
    return not lifecycle.is_leaving(life)


def admit_inward_until_the_daemon_leaves(life, direction):
    return life.phase is Phase.SERVING or direction is Direction.OUTWARD


def stop_at_once(life, now, flight):
    if life.phase is not Phase.LEAVING:
        return life
    return life._replace(phase=Phase.STOPPED)


def stop_without_a_quiet_time(life, now, flight):
    idle = not flight.inward + flight.outward
    return stop_at_once(life, now, flight) if idle else life


def never_stop(life, now, flight):
    return life


class DrainModelTest(unittest.TestCase):
    def assert_broken(self, name, options):
        protocol = drain_model.make_protocol(options)
        found = check_safety(protocol, MUTANT_STATES)["properties"][name]
        self.assertIs(found["holds"], False)
        self.assertGreater(len(found["counterexample"]), 1)

    def test_requests_arrive_at_a_leaving_daemon(self):
        report = check_safety(
            drain_model.make_protocol(Options(requests=3)), MAX_STATES
        )
        self.assertTrue(report["exhaustive"])
        for name, found in report["properties"].items():
            with self.subTest(name=name):
                self.assertIs(found["holds"], True, found["counterexample"])

    def test_stopping_at_once_cuts_off_requests(self):
        self.assert_broken(NONE_CUT_OFF, Options(advance=stop_at_once))

    def test_refusing_calls_of_requests_in_flight_cuts_them_off(self):
        self.assert_broken(NONE_CUT_OFF, Options(admits=admit_nothing_when_leaving))

    def test_admitting_while_leaving_accepts_new_work(self):
        self.assert_broken(NO_NEW_WORK, Options(admits=admit_always))

    def test_a_draining_backend_server_counts_as_leaving(self):
        admits = admit_inward_until_the_daemon_leaves
        self.assert_broken(NO_NEW_WORK, Options(admits=admits))

    def test_without_a_quiet_time_outcomes_are_unknown(self):
        self.assert_broken(DEFINITE_OUTCOME, Options(advance=stop_without_a_quiet_time))

    def test_every_stop_ends(self):
        self.assertIs(self.check_progress(Options())["holds"], True)
        stuck = Options(advance=never_stop)
        self.assertIs(self.check_progress(stuck)["holds"], False)

    def check_progress(self, options):
        goal = drain_model.has_ended
        return check_liveness(drain_model.make_protocol(options, goal=goal))


if __name__ == "__main__":
    unittest.main()
