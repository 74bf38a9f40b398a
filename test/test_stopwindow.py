"""Tests of which work a daemon that is being stopped still accepts."""

import math
import unittest

from test import requests
from whinwinch import stopwindow

NOW = 100.0
UNTIL = NOW + 5.0
LONG_SECONDS = 3.0
SHORT_SECONDS = 0.2


def record_known(durations, kind, seconds):
    for _ in range(stopwindow.MIN_SAMPLES):
        durations.record(kind, seconds)


class RecentDurationsTest(unittest.TestCase):
    def setUp(self):
        self.durations = stopwindow.RecentDurations()

    def test_longest_is_unknown_until_enough_was_seen(self):
        """Guards against taking one quick answer for all work of its kind."""
        self.assertEqual(self.durations.find_longest("r", NOW), math.inf)
        self.durations.record("r", SHORT_SECONDS)
        self.assertEqual(self.durations.find_longest("r", NOW), math.inf)
        record_known(self.durations, "r", LONG_SECONDS)
        self.assertEqual(self.durations.find_longest("r", NOW), LONG_SECONDS)

    def test_longest_is_unknown_while_most_are_in_flight(self):
        """Guards against work that is cut off as only short work has ended so far."""
        in_flight = [self.durations.begin("r", NOW) for _ in range(2)]
        record_known(self.durations, "r", SHORT_SECONDS)
        soon, later = NOW + SHORT_SECONDS / 2, NOW + LONG_SECONDS
        self.assertEqual(self.durations.find_longest("r", soon), SHORT_SECONDS)
        self.assertEqual(self.durations.find_longest("r", later), math.inf)
        self.durations.end(in_flight[0], later, has_run=True)
        self.assertEqual(self.durations.find_longest("r", later), LONG_SECONDS)
        self.durations.end(in_flight[1], later, has_run=False)
        self.assertEqual(self.durations.find_longest("r", later), LONG_SECONDS)

    def test_single_outlier_changes_nothing(self):
        """Guards against refusing short work behind one request that hangs."""
        self.durations.begin("r", NOW)
        for _ in range(stopwindow.MAX_SAMPLES):
            self.durations.record("r", SHORT_SECONDS)
        later = NOW + LONG_SECONDS
        self.assertEqual(self.durations.find_longest("r", later), SHORT_SECONDS)
        self.durations.begin("r", NOW)
        self.assertEqual(self.durations.find_longest("r", later), math.inf)

    def test_old_durations_are_forgotten(self):
        """Guards against refusing work for a slowness that is over."""
        self.durations.record("r", LONG_SECONDS)
        for _ in range(stopwindow.MAX_SAMPLES):
            self.durations.record("r", SHORT_SECONDS)
        self.assertEqual(self.durations.find_longest("r", NOW), SHORT_SECONDS)

    def test_kinds_are_bounded(self):
        """Guards against memory that grows with each route ever configured."""
        for number in range(stopwindow.MAX_KINDS + 1):
            record_known(self.durations, str(number), SHORT_SECONDS)
        self.assertEqual(self.durations.find_longest("0", NOW), math.inf)

    def test_longest_of_all_kinds(self):
        self.assertEqual(self.durations.find_longest_of_all(), 0.0)
        self.durations.record("r", LONG_SECONDS)
        self.durations.record("s", SHORT_SECONDS)
        self.assertEqual(self.durations.find_longest_of_all(), LONG_SECONDS)


class StopWindowTest(unittest.TestCase):
    def setUp(self):
        self.window = stopwindow.StopWindow()

    def test_everything_is_accepted_before_the_stop(self):
        self.assertTrue(self.window.try_accept(NOW, math.inf))

    def test_request_of_an_unknown_kind_is_judged_by_its_deadline(self):
        """Guards against refusing, or cutting off, work of which little is known."""
        durations = stopwindow.RecentDurations()
        short = requests.build("a", deadline=NOW + SHORT_SECONDS)
        long = requests.build("b", deadline=UNTIL + SHORT_SECONDS)
        self.assertTrue(self.window.try_accept_request(long, durations, NOW))
        self.window.begin(NOW, UNTIL, 0.0)
        self.assertTrue(self.window.try_accept_request(short, durations, NOW))
        self.assertFalse(self.window.try_accept_request(long, durations, NOW))
        record_known(durations, long.call, SHORT_SECONDS)
        self.assertTrue(self.window.try_accept_request(long, durations, NOW))

    def test_work_that_ends_after_the_stop_is_refused(self):
        """Guards against work that is cut off while a backend server runs it."""
        self.window.begin(NOW, UNTIL, 0.0)
        self.assertTrue(self.window.try_accept(NOW + 1.0, LONG_SECONDS))
        self.assertFalse(self.window.try_accept(NOW + 2.5, LONG_SECONDS))
        self.assertTrue(self.window.try_accept(NOW + 2.5, SHORT_SECONDS))
        self.assertFalse(self.window.try_accept(UNTIL, 0.0))

    def test_work_does_not_delay_the_end_once_the_window_closes(self):
        """Guards against callers that keep coming and so delay the stop."""
        self.window.begin(NOW, UNTIL, 1.0)
        self.window.close()
        self.assertTrue(self.window.try_accept(NOW, SHORT_SECONDS))
        self.assertFalse(self.window.try_accept(NOW + 0.9, SHORT_SECONDS))

    def test_work_accepted_before_keeps_the_closing_window_open(self):
        """Guards against refusing short work while long work is in flight anyway."""
        self.window.begin(NOW, UNTIL, 0.0)
        self.window.try_accept(NOW, LONG_SECONDS)
        self.window.close()
        self.assertTrue(self.window.try_accept(NOW + 2.0, SHORT_SECONDS))

    def test_callers_return_once_the_next_process_serves(self):
        """Guards against callers sent back to a closed address, or all at once."""
        self.window.begin(NOW, UNTIL, 1.0)
        pauses = [self.window.find_retry_after(NOW, str(key)) for key in range(50)]
        earliest = UNTIL - NOW + stopwindow.RETURN_SECONDS
        self.assertGreaterEqual(min(pauses), earliest)
        self.assertGreater(max(pauses) - min(pauses), stopwindow.RETURN_SECONDS / 2)
        self.window.close()
        closing = self.window.find_retry_after(NOW, "0")
        self.assertLess(closing, 1.0 + 2 * stopwindow.RETURN_SECONDS)
