"""Tests of serving, leaving and stopping."""

import unittest

from whinwinch import lifecycle
from whinwinch.lifecycle import Flight, Lifecycle, Phase, Way

NOTHING = Flight(inward=0, outward=0, last_arrival=0.0)


class LifecycleTest(unittest.TestCase):
    def leave(self, now=100.0, allowed=30.0, last_deadline=0.0):
        return lifecycle.begin_leaving(Lifecycle(), now, allowed, last_deadline)

    def test_a_serving_daemon_takes_everything(self):
        for way in Way:
            self.assertTrue(lifecycle.admits(Lifecycle(), way))

    def test_a_leaving_daemon_takes_only_calls_for_what_is_in_flight(self):
        """An instance is replaced while its backend server answers requests.

        New work is refused at once, but the calls that the open requests still
        need go through, so that nobody's answer is cut off.
        """
        leaving = self.leave()
        self.assertFalse(lifecycle.admits(leaving, Way.ENTRY))
        self.assertFalse(lifecycle.admits(leaving, Way.INWARD))
        self.assertTrue(lifecycle.admits(leaving, Way.OUTWARD))
        self.assertTrue(lifecycle.is_leaving(leaving))

    def test_a_draining_backend_server_leaves_its_daemon_an_entry(self):
        draining = lifecycle.mark_backend(Lifecycle(), True)
        self.assertFalse(lifecycle.admits(draining, Way.INWARD))
        self.assertTrue(lifecycle.admits(draining, Way.ENTRY))
        self.assertTrue(lifecycle.is_leaving(draining))
        back = lifecycle.mark_backend(draining, False)
        self.assertTrue(lifecycle.admits(back, Way.INWARD))

    def test_it_stops_when_nothing_is_in_flight_in_both_directions(self):
        leaving = self.leave(last_deadline=125.0)
        busy = Flight(inward=1, outward=0, last_arrival=90.0)
        calling = Flight(inward=0, outward=1, last_arrival=90.0)
        for flight in (busy, calling):
            self.assertEqual(lifecycle.advance(leaving, 110.0, flight), leaving)
        stopped = lifecycle.advance(leaving, 110.0, NOTHING)
        self.assertIs(stopped.phase, Phase.STOPPED)
        self.assertFalse(lifecycle.admits(stopped, Way.OUTWARD))

    def test_it_stays_while_messages_may_be_on_their_way(self):
        """A caller sent a payout just before it heard of the leave.

        Closed now, the socket would leave it with an unknown outcome; refused,
        it is known not to have run.
        """
        leaving = self.leave()
        late = NOTHING._replace(last_arrival=101.0)
        self.assertIs(lifecycle.advance(leaving, 101.5, late).phase, Phase.LEAVING)
        done = 101.0 + lifecycle.QUIET
        self.assertIs(lifecycle.advance(leaving, done, late).phase, Phase.STOPPED)

    def test_callers_that_never_learn_do_not_hold_up_the_stop(self):
        leaving = self.leave(last_deadline=130.0)
        now = 100.0 + lifecycle.LONGEST_LINGER
        knocking = NOTHING._replace(last_arrival=now)
        stopped = lifecycle.advance(leaving, now, knocking)
        self.assertIs(stopped.phase, Phase.STOPPED)

    def test_the_time_allowed_ends_with_the_settings_or_the_deadlines(self):
        busy = Flight(inward=2, outward=1, last_arrival=100.0)
        by_settings = self.leave(allowed=5.0, last_deadline=1000.0)
        self.assertEqual(by_settings.until, 105.0)
        stopped = lifecycle.advance(by_settings, 105.0, busy)
        self.assertIn("3 in flight", stopped.ground)
        by_deadline = self.leave(allowed=50.0, last_deadline=120.0)
        self.assertEqual(by_deadline.until, 120.0 + lifecycle.ANSWER_GRACE)

    def test_a_second_signal_changes_nothing(self):
        leaving = self.leave()
        again = lifecycle.begin_leaving(leaving, 120.0, 30.0, 0.0)
        self.assertEqual(again, leaving)


if __name__ == "__main__":
    unittest.main()
