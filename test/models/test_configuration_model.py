"""Exhaustive checks of configuration, and of what each mechanism is for."""

import unittest

from minicheck import check_liveness, check_safety

from test.models import configuration_model
from test.models.configuration_model import Options
from whinwinch.configuration import Configuration

REVERTS = "an accepted configuration never reverts"
AGREE = "all who have read as far agree"
ONCE = "a change is accepted once"
ORDER = "of two changes of one version one is accepted"

MOST_STATES = 100_000

# A counterexample is short; the search for one need not go through all states.
MUTANT_STATES = 12_000


class Backward(Configuration):
    """Takes in any snapshot, also one that covers less than was read."""

    def install(self, data):
        self.offset = 0
        return super().install(data)


class Forgetful(Configuration):
    """Remembers no change identifiers."""

    def _record_decision(self, change, accepted, version):
        pass


class Blind(Configuration):
    """Accepts each change, whatever version it replaces."""

    def _apply_change(self, change, version):
        present = self.get(change.kind, change.name)
        found = present.version if present else 0
        applied = super()._apply_change(change._replace(replaces=found), version)
        return applied._replace(change=change)


class ConfigurationModelTest(unittest.TestCase):
    def assert_holds(self, options):
        protocol = configuration_model.make_protocol(options)
        report = check_safety(protocol, MOST_STATES)
        self.assertTrue(report["exhaustive"])
        for name, found in report["properties"].items():
            with self.subTest(name=name):
                self.assertIs(found["holds"], True, found["counterexample"])

    def assert_broken(self, name, options):
        protocol = configuration_model.make_protocol(options)
        found = check_safety(protocol, MUTANT_STATES)["properties"][name]
        self.assertIs(found["holds"], False)
        self.assertGreater(len(found["counterexample"]), 1)

    def test_racing_operators_snapshots_and_retention(self):
        self.assert_holds(Options(copies=1))

    def test_two_snapshots_written_out_of_order(self):
        self.assert_holds(Options(copies=1, snapshots=2, plans=(("set",), ("set",))))

    def test_doubled_appends(self):
        self.assert_holds(Options(plans=(("set", "delete"), ())))

    def test_taking_in_an_older_snapshot_reverts(self):
        self.assert_broken(REVERTS, Options(reader=Backward, copies=1))

    def test_going_on_after_a_gap_divides_the_readers(self):
        self.assert_broken(AGREE, Options(skipping=True, copies=1))

    def test_a_forgotten_change_is_accepted_twice(self):
        plans = (("set", "delete"), ())
        self.assert_broken(ONCE, Options(reader=Forgetful, plans=plans, snapshots=0))

    def test_accepting_whatever_is_replaced_loses_a_change(self):
        self.assert_broken(ORDER, Options(reader=Blind, copies=1))

    def test_everyone_catches_up_while_peers_hand_on(self):
        """The log has dropped what a restarted daemon needs."""
        options = Options(careful=True, peers=True, copies=1, snapshots=0)
        self.assertIs(self.check_progress(options)["holds"], True)
        alone = options._replace(peers=False)
        self.assertIs(self.check_progress(alone)["holds"], False)

    def check_progress(self, options):
        goal = configuration_model.is_caught_up
        return check_liveness(configuration_model.make_protocol(options, goal=goal))


if __name__ == "__main__":
    unittest.main()
