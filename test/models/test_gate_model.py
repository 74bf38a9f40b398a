"""Exhaustive checks of which requests a full backend server serves and drops."""

import unittest
import unittest.mock

from minicheck import check_safety

from test.models import gate_model
from whinwinch import waiting

SERVED = "a free slot goes to the most important waiting request"
DROPPED = "no request is dropped while a less important one waits"
EVENTS = 5
MAX_STATES = 20_000


class ServesByArrival(waiting.Queue):
    """Serves requests in order of arrival, whatever their importance."""

    def pop_next(self):
        for attempt in self._places:
            return self.remove(attempt)
        return None


class DropsTheMostImportant(waiting.Queue):
    """Drops the most important request of a full queue."""

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
        return check_safety(gate_model.make_protocol(events), MAX_STATES)

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

    def test_serving_by_arrival_serves_less_important_requests_first(self):
        """Under overload, payouts wait behind less important reads."""
        self.assert_broken_by(ServesByArrival, SERVED)

    def test_dropping_the_most_important_request(self):
        """A full queue drops a payout while less important reads keep waiting."""
        self.assert_broken_by(DropsTheMostImportant, DROPPED)


if __name__ == "__main__":
    unittest.main()
