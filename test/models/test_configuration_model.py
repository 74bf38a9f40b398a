"""Exhaustive checks of the configuration model, also with mechanisms disabled."""

import unittest

from minicheck import check_liveness, check_safety

from test.models import configuration_model
from test.models.configuration_model import Options
from whinwinch.configuration import Configuration

NEVER_REVERTS = "an accepted configuration never reverts"
READERS_AGREE = "readers at the same offset agree"
ACCEPTED_ONCE = "a change is accepted at most once"
NO_CONFLICT = "only one change to each version is accepted"

MAX_STATES = 100_000

# Counterexamples are short, so the search for one stops before it has visited all
# states.
MUTANT_STATES = 12_000


class InstallsAnySnapshot(Configuration):
    """Installs any snapshot, even one that is older than its own state."""

    def install(self, data):
        self.offset = 0
        return super().install(data)


class RecordsNoIdentifiers(Configuration):
    """Doesn't record the identifiers of earlier changes."""

    def _record_decision(self, change, accepted, version):
        pass


class IgnoresVersions(Configuration):
    """Accepts each change without comparing the version that it replaces."""

    def _apply_change(self, change, version):
        present = self.get(change.kind, change.name)
        version_now = present.version if present else 0
        applied = super()._apply_change(change._replace(replaces=version_now), version)
        return applied._replace(change=change)


class ConfigurationModelTest(unittest.TestCase):
    def assert_holds(self, options):
        protocol = configuration_model.make_protocol(options)
        report = check_safety(protocol, MAX_STATES)
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

    def test_duplicate_appends(self):
        self.assert_holds(Options(plans=(("set", "delete"), ())))

    def test_installing_an_older_snapshot_reverts(self):
        self.assert_broken(NEVER_REVERTS, Options(reader=InstallsAnySnapshot, copies=1))

    def test_continuing_after_a_gap_makes_readers_disagree(self):
        self.assert_broken(READERS_AGREE, Options(skipping=True, copies=1))

    def test_without_change_identifiers_a_change_is_accepted_twice(self):
        plans = (("set", "delete"), ())
        self.assert_broken(
            ACCEPTED_ONCE,
            Options(reader=RecordsNoIdentifiers, plans=plans, snapshots=0),
        )

    def test_without_a_version_check_a_change_is_lost(self):
        self.assert_broken(NO_CONFLICT, Options(reader=IgnoresVersions, copies=1))

    def test_daemons_catch_up_while_peers_send_their_state(self):
        """A daemon restarts after the log has dropped records that it needs."""
        options = Options(keeps_unread=True, peers=True, copies=1, snapshots=0)
        self.assertIs(self.check_progress(options)["holds"], True)
        alone = options._replace(peers=False)
        self.assertIs(self.check_progress(alone)["holds"], False)

    def check_progress(self, options):
        goal = configuration_model.is_caught_up
        return check_liveness(configuration_model.make_protocol(options, goal=goal))


if __name__ == "__main__":
    unittest.main()
