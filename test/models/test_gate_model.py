"""Exhaustive checks of who is served and who is dropped at a full backend server."""

import unittest
import unittest.mock

from minicheck import check_safety

from test.models import gate_model
from whinwinch import waiting

SERVED = "a free slot goes to the most important that waits"
DROPPED = "nobody is dropped for room while a lesser one waits"
EVENTS = 5
MOST_STATES = 20_000


class ByArrival(waiting.Queue):
    """Serves whoever came first, whatever its importance."""

    def pop_next(self):
        for attempt in self._places:
            return self.remove(attempt)
        return None


class DropsTheMostImportant(waiting.Queue):
    """Makes room by dropping the most important."""

    def find_lowest(self, measure):
        del measure
        return max(
            (
                waiter
                for waiters in self._waiters_by_importance.values()
                for _, waiter in waiters
            ),
            key=lambda waiter: waiter.rank,
        )


class GateModelTest(unittest.TestCase):
    def check(self, events=EVENTS):
        return check_safety(gate_model.make_protocol(events), MOST_STATES)

    def test_importance_decides(self):
        report = self.check()
        self.assertTrue(report["exhaustive"])
        for name, found in report["properties"].items():
            with self.subTest(name=name):
                self.assertIs(found["holds"], True, found["counterexample"])

    def assert_broken_by(self, queue, name):
        with unittest.mock.patch.object(waiting, "Queue", queue):
            found = self.check()["properties"][name]
        self.assertIs(found["holds"], False)

    def test_by_arrival_lesser_work_goes_first(self):
        """Payouts queue up behind browsing, under overload."""
        self.assert_broken_by(ByArrival, SERVED)

    def test_dropping_from_the_wrong_end(self):
        """A full queue sheds a payout, and lets browsing wait on."""
        self.assert_broken_by(DropsTheMostImportant, DROPPED)


if __name__ == "__main__":
    unittest.main()
