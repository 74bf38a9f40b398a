"""Tests for the phases of a daemon: serving, leaving and stopped."""

import unittest

from whinwinch import lifecycle
from whinwinch.lifecycle import Direction, InFlight, Lifecycle, Phase

IDLE = InFlight(inward=0, outward=0, last_arrival=0.0)


class LifecycleTest(unittest.TestCase):
    def leave(self, now=100.0, allowed=30.0, last_deadline=0.0):
        return lifecycle.begin_leaving(Lifecycle(), now, allowed, last_deadline)

    def test_serving_daemon_accepts_all_work(self):
        for direction in Direction:
            self.assertTrue(lifecycle.admits(Lifecycle(), direction))

    def test_leaving_daemon_accepts_only_calls_for_requests_in_flight(self):
        """An instance is replaced while its backend server processes requests.

        New work is refused at once, but nested calls of the requests in flight must
        go through, or these requests would fail.
        """
        leaving = self.leave()
        self.assertFalse(lifecycle.admits(leaving, Direction.ENTRY))
        self.assertFalse(lifecycle.admits(leaving, Direction.INWARD))
        self.assertTrue(lifecycle.admits(leaving, Direction.OUTWARD))
        self.assertTrue(lifecycle.is_leaving(leaving))

    def test_daemon_of_a_draining_backend_server_still_serves_as_entry(self):
        draining = lifecycle.set_backend_leaving(Lifecycle(), True)
        self.assertFalse(lifecycle.admits(draining, Direction.INWARD))
        self.assertTrue(lifecycle.admits(draining, Direction.ENTRY))
        self.assertTrue(lifecycle.is_leaving(draining))
        resumed = lifecycle.set_backend_leaving(draining, False)
        self.assertTrue(lifecycle.admits(resumed, Direction.INWARD))

    def test_stops_when_nothing_is_in_flight_in_either_direction(self):
        leaving = self.leave(last_deadline=125.0)
        busy = InFlight(inward=1, outward=0, last_arrival=90.0)
        calling = InFlight(inward=0, outward=1, last_arrival=90.0)
        for flight in (busy, calling):
            self.assertEqual(lifecycle.advance(leaving, 110.0, flight), leaving)
        stopped = lifecycle.advance(leaving, 110.0, IDLE)
        self.assertIs(stopped.phase, Phase.STOPPED)
        self.assertFalse(lifecycle.admits(stopped, Direction.OUTWARD))

    def test_keeps_running_while_messages_may_still_arrive(self):
        """A caller sent a payout just before it learned that the daemon is leaving.

        If the socket were closed now, the payout would have an unknown outcome; if
        the daemon refuses it, it has certainly not run.
        """
        leaving = self.leave()
        late = IDLE._replace(last_arrival=101.0)
        self.assertIs(lifecycle.advance(leaving, 101.5, late).phase, Phase.LEAVING)
        done = 101.0 + lifecycle.QUIET_PERIOD
        self.assertIs(lifecycle.advance(leaving, done, late).phase, Phase.STOPPED)

    def test_callers_that_keep_sending_do_not_delay_the_stop_forever(self):
        leaving = self.leave(last_deadline=130.0)
        now = 100.0 + lifecycle.MAX_LINGER
        still_sending = IDLE._replace(last_arrival=now)
        stopped = lifecycle.advance(leaving, now, still_sending)
        self.assertIs(stopped.phase, Phase.STOPPED)

    def test_stop_time_is_limited_by_the_settings_and_the_deadlines(self):
        busy = InFlight(inward=2, outward=1, last_arrival=100.0)
        by_settings = self.leave(allowed=5.0, last_deadline=1000.0)
        self.assertEqual(by_settings.until, 105.0)
        stopped = lifecycle.advance(by_settings, 105.0, busy)
        self.assertIn("3 in flight", stopped.ground)
        by_deadline = self.leave(allowed=50.0, last_deadline=120.0)
        self.assertEqual(by_deadline.until, 120.0 + lifecycle.ANSWER_GRACE)

    def test_second_stop_signal_changes_nothing(self):
        leaving = self.leave()
        again = lifecycle.begin_leaving(leaving, 120.0, 30.0, 0.0)
        self.assertEqual(again, leaving)


if __name__ == "__main__":
    unittest.main()
