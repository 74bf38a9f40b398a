"""Exhaustive checks of the retry model, also with single mechanisms disabled."""

import unittest

from minicheck import check_safety

from test.models import retry_model
from test.models.retry_model import Options
from whinwinch.retries import Ledger

WITHIN_BUDGET = "the retries of one request stay within its budget"
MAX_STATES = 150_000

# Counterexamples are short, so the search for one stops before it has visited all
# states.
MUTANT_STATES = 12_000


class AppliesDuplicates(Ledger):
    """Applies each answer, even a duplicate."""

    def return_unused(self, child, unused):
        grant = self._grants.get(child)
        if grant and self._find_open(grant.holder):
            self._budgets[grant.holder].remaining += unused


class ReopensAttempts(Ledger):
    """Opens an attempt again when a duplicate of its request arrives."""

    def open(self, attempt, granted, expires):
        self._budgets.pop(attempt, None)
        return super().open(attempt, granted, expires)


class AllowsUnrecorded(Ledger):
    """Lets an attempt that it has not recorded make retries."""

    def try_spend(self, attempt):
        return super().try_spend(attempt) or attempt not in self._budgets


class GrantsCopies(Ledger):
    """Grants retries without deducting them from the holder."""

    def grant(self, attempt, child):
        granted = super().grant(attempt, child)
        if granted:
            self._budgets[attempt].remaining += granted
        return granted


class ReturnsOutstanding(Ledger):
    """Returns retries to its caller that its children haven't returned yet."""

    def close(self, attempt):
        outstanding = [
            self._grants[child]
            for child in self._children.get(attempt, ())
            if child in self._grants
        ]
        return super().close(attempt) + sum(grant.retries for grant in outstanding)


class RetryModelTest(unittest.TestCase):
    def assert_holds(self, options):
        report = check_safety(retry_model.make_protocol(options), MAX_STATES)
        self.assertTrue(report["exhaustive"])
        found = report["properties"][WITHIN_BUDGET]
        self.assertIs(found["holds"], True, found["counterexample"])

    def assert_broken(self, options):
        report = check_safety(retry_model.make_protocol(options), MUTANT_STATES)
        self.assertIs(report["properties"][WITHIN_BUDGET]["holds"], False)

    def test_lost_late_and_duplicate_messages_and_a_restart(self):
        self.assert_holds(Options())
        self.assert_holds(Options(budget=3, children=1, grandchildren=3))

    def test_applying_a_duplicate_answer_exceeds_the_budget(self):
        self.assert_broken(Options(ledger=AppliesDuplicates))

    def test_opening_a_duplicate_request_again_exceeds_the_budget(self):
        self.assert_broken(Options(ledger=ReopensAttempts))

    def test_granting_without_deducting_exceeds_the_budget(self):
        self.assert_broken(Options(ledger=GrantsCopies))

    def test_retries_of_unrecorded_attempts_exceed_the_budget(self):
        self.assert_broken(Options(ledger=AllowsUnrecorded))

    def test_returning_outstanding_grants_exceeds_the_budget(self):
        self.assert_broken(Options(ledger=ReturnsOutstanding))

    def test_a_duplicate_request_after_a_restart_exceeds_the_budget(self):
        """A restarted daemon receives a duplicate of an earlier request.

        It can't know that the budget was used before its restart, unless the request
        names the incarnation of the daemon that it was sent to.
        """
        self.assert_broken(Options(checks_incarnation=False))


if __name__ == "__main__":
    unittest.main()
