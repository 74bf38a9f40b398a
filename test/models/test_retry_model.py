"""Exhaustive checks of the retry budget, and of what each mechanism is for."""

import unittest

from minicheck import check_safety

from test.models import retry_model
from test.models.retry_model import Options
from whinwinch.retries import Ledger

BOUND = "the retries of one request stay within its bound"
MOST_STATES = 150_000

# A counterexample is short; the search for one need not go through all states.
MUTANT_STATES = 12_000


class Trusting(Ledger):
    """Takes each answer at its word, doubled ones too."""

    def return_unused(self, child, unused):
        grant = self._grants.get(child)
        if grant and self._find_open(grant.holder):
            self._budgets[grant.holder].remaining += unused


class Reopening(Ledger):
    """Opens an attempt again when its message comes again."""

    def open(self, attempt, granted, expires):
        self._budgets.pop(attempt, None)
        return super().open(attempt, granted, expires)


class Generous(Ledger):
    """Lets an attempt that it does not know make a retry."""

    def try_spend(self, attempt):
        return super().try_spend(attempt) or attempt not in self._budgets


class Copying(Ledger):
    """Grants without taking from the holder."""

    def grant(self, attempt, child):
        granted = super().grant(attempt, child)
        if granted:
            self._budgets[attempt].remaining += granted
        return granted


class Hopeful(Ledger):
    """Returns upward also what its children have not given back."""

    def close(self, attempt):
        lent = [
            self._grants[child]
            for child in self._children.get(attempt, ())
            if child in self._grants
        ]
        return super().close(attempt) + sum(grant.retries for grant in lent)


class RetryModelTest(unittest.TestCase):
    def assert_holds(self, options):
        report = check_safety(retry_model.make_protocol(options), MOST_STATES)
        self.assertTrue(report["exhaustive"])
        found = report["properties"][BOUND]
        self.assertIs(found["holds"], True, found["counterexample"])

    def assert_broken(self, options):
        report = check_safety(retry_model.make_protocol(options), MUTANT_STATES)
        self.assertIs(report["properties"][BOUND]["holds"], False)

    def test_lost_late_and_doubled_messages_and_a_restart(self):
        self.assert_holds(Options())
        self.assert_holds(Options(budget=3, children=1, grandchildren=3))

    def test_a_doubled_answer_taken_at_its_word_breaks_the_bound(self):
        self.assert_broken(Options(ledger=Trusting))

    def test_a_doubled_request_opened_again_breaks_the_bound(self):
        self.assert_broken(Options(ledger=Reopening))

    def test_a_grant_that_is_a_copy_breaks_the_bound(self):
        self.assert_broken(Options(ledger=Copying))

    def test_retries_of_forgotten_attempts_break_the_bound(self):
        self.assert_broken(Options(ledger=Generous))

    def test_returning_what_children_hold_breaks_the_bound(self):
        self.assert_broken(Options(ledger=Hopeful))

    def test_a_doubled_request_after_a_restart_breaks_the_bound(self):
        """A daemon restarts and gets a second copy of a request.

        It cannot know that its predecessor has used the budget, unless the
        request names the incarnation that it was meant for.
        """
        self.assert_broken(Options(addressed=False))


if __name__ == "__main__":
    unittest.main()
