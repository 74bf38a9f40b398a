"""Tests of the ordering of announcements."""

import unittest

from whinwinch import starts
from whinwinch.announcements import Announcement, Announcements, State
from whinwinch.starts import Leave, Start

# Time of the daemon's wall clock at which a backend server says that it leaves.
WALL_MS = 150
# Seconds between two heartbeats.
INTERVAL = 1.5
FIRST = Announcement("i-1", 100, 5, "catalog", "h:1", 4, State.READY)
LEAVING = FIRST._replace(sequence=6, state=State.LEAVING)


def apply(announcements, announcement, now=0.0):
    return announcements.apply(announcement, now)


def announce(announcements, announcement, count, began=0.0):
    """Apply heartbeats with ascending sequence numbers; return what became of them."""
    return [
        announcements.apply(
            announcement._replace(sequence=announcement.sequence + number),
            began + number * INTERVAL,
        )
        for number in range(count)
    ]


class AnnouncementsTest(unittest.TestCase):
    def setUp(self):
        self.announcements = Announcements()
        self.apply(FIRST)

    def apply(self, announcement, now=0.0):
        return apply(self.announcements, announcement, now)

    def test_late_ready_does_not_override_leaving(self):
        """A "ready" heartbeat is delayed and arrives after the "draining" one.

        If it were applied, callers would be sent to a backend server about to stop.
        """
        self.apply(LEAVING)
        self.assertTrue(self.apply(FIRST))
        self.assertEqual(self.announcements.newest, LEAVING)

    def test_heartbeat_after_an_answer_that_says_leaving_changes_nothing(self):
        """Guards against sending requests to a backend server that told it leaves."""
        self.announcements.apply_leaving_answer("i-1", 0)
        self.apply(FIRST._replace(sequence=9))
        self.assertIs(self.announcements.newest.state, State.LEAVING)
        self.apply(FIRST._replace(identity="i-2", start_time_ms=200))
        self.assertIs(self.announcements.newest.state, State.READY)

    def test_heartbeat_after_the_leave_is_ignored(self):
        """A heartbeat is delayed and arrives after its sender's leave."""
        self.assertTrue(self.announcements.apply_leave("i-1", 0, WALL_MS))
        self.assertTrue(self.apply(FIRST._replace(sequence=9)))
        self.assertIsNone(self.announcements.newest)

    def test_restart_under_the_same_identifier_resets_the_sequence(self):
        """A restarted backend server keeps its identifier and resets its sequence."""
        self.announcements.apply_leave("i-1", 100, WALL_MS)
        again = FIRST._replace(start_time_ms=200, sequence=1)
        self.assertEqual(self.apply(again), "")
        self.assertEqual(self.announcements.newest, again)
        self.assertTrue(self.apply(FIRST._replace(sequence=99)))

    def test_leave_of_an_earlier_start_is_ignored(self):
        """The leave of a former process arrives after its successor's announcement."""
        again = FIRST._replace(start_time_ms=200, sequence=1)
        self.apply(again)
        self.assertFalse(self.announcements.apply_leave("i-1", 100, WALL_MS))
        self.assertEqual(self.announcements.newest, again)

    def test_late_heartbeat_of_a_replaced_backend_server_is_ignored(self):
        """A network cut delays a heartbeat until its sender has been replaced."""
        newer = FIRST._replace(identity="i-2", start_time_ms=200, sequence=1)
        self.assertEqual(self.apply(newer), "")
        self.assertTrue(self.apply(FIRST._replace(sequence=7)))
        self.assertEqual(self.announcements.newest, newer)

    def test_backend_server_is_leaving_until_another_one_comes(self):
        """Guards against callers that are kept out once a backend server is there."""
        self.assertFalse(self.announcements.is_backend_leaving)
        self.apply(LEAVING)
        self.assertTrue(self.announcements.is_backend_leaving)
        self.announcements.apply_leave("i-1", 100, WALL_MS)
        self.assertTrue(self.announcements.is_backend_leaving)
        self.apply(FIRST._replace(identity="i-2", start_time_ms=200))
        self.assertFalse(self.announcements.is_backend_leaving)

    def test_recorded_leave_is_known_before_any_heartbeat(self):
        """Guards against a restarted daemon that forgets what it was told."""
        announcements = Announcements()
        self.assertFalse(announcements.is_backend_leaving)
        announcements.apply_leaving_answer("i-1", 0)
        self.assertTrue(announcements.is_backend_leaving)

    def test_backend_server_that_leaves_is_not_ready_again(self):
        """Guards against work for one that was promised to get none."""
        self.apply(LEAVING)
        self.assertEqual(self.apply(FIRST._replace(sequence=9)), "")
        self.assertIs(self.announcements.newest.state, State.LEAVING)

    def test_later_start_under_the_same_identifier_is_another_backend_server(self):
        """Guards against one that never gets work again after its restart."""
        self.apply(LEAVING)
        self.announcements.apply_leaving_answer("i-1", 0)
        again = FIRST._replace(start_time_ms=200, sequence=1)
        self.assertEqual(self.apply(again), "")
        self.assertEqual(self.announcements.newest, again)
        self.assertFalse(self.announcements.is_backend_leaving)

    def test_leave_without_a_start_is_of_the_start_in_effect(self):
        self.announcements.apply_leave("i-1", 0, WALL_MS)
        self.assertEqual(self.announcements.last_leave.start_time_ms, 100)

    def test_leave_of_an_unknown_start_is_of_every_start_so_far(self):
        """Guards against believing a late heartbeat of one that has left."""
        announcements = Announcements()
        announcements.apply_leave("i-1", 0, WALL_MS)
        self.assertIsNone(announcements.last_leave.start_time_ms)
        self.assertTrue(apply(announcements, FIRST))
        ahead = WALL_MS + 2_000
        self.assertTrue(apply(announcements, FIRST._replace(start_time_ms=ahead)))
        self.assertTrue(announcements.is_backend_leaving)

    def test_late_heartbeat_of_a_start_that_left_unheard_is_not_believed(self):
        """Guards against work for a restarted one whose only heartbeat is late."""
        self.announcements.apply_leave("i-1", 0, WALL_MS)
        again = FIRST._replace(start_time_ms=140, sequence=1)
        self.assertTrue(self.apply(again, 3.0))
        self.assertTrue(self.apply(again._replace(sequence=2), 4.5))
        self.assertIsNone(self.announcements.newest)

    def test_leave_of_one_that_drains_is_of_a_start_that_is_unheard_too(self):
        """Guards against work for one that crashed while it drained, and left."""
        self.apply(LEAVING)
        self.announcements.apply_leave("i-1", 0, WALL_MS)
        self.assertTrue(self.apply(FIRST._replace(start_time_ms=140, sequence=1), 3.0))
        self.assertEqual(self.apply(FIRST._replace(start_time_ms=160), 3.1), "")
        self.assertIs(self.announcements.newest.state, State.READY)

    def test_repeated_leave_keeps_what_is_known_and_covers_more(self):
        """Guards against a second leave that undoes or narrows the first."""
        self.announcements.apply_leave("i-1", 0, WALL_MS)
        self.announcements.apply_leave("i-1", 0, WALL_MS + 5_000)
        expected = Leave("i-1", 100, WALL_MS + 5_000)
        self.assertEqual(self.announcements.last_leave, expected)
        self.assertTrue(announce(self.announcements, FIRST, 9)[-1])

    def test_start_with_a_clock_set_back_gets_work_after_a_leave(self):
        """Guards against a start that is taken for its predecessor for good."""
        for again in (120, 90):
            with self.subTest(start_time_ms=again):
                announcements = Announcements()
                apply(announcements, FIRST)
                announcements.apply_leave("i-1", 0, WALL_MS)
                later = FIRST._replace(start_time_ms=again, sequence=1)
                problems = announce(announcements, later, 4)
                self.assertTrue(all(problems[:3]))
                self.assertEqual(problems[3], "")
                self.assertIs(announcements.newest.state, State.READY)
                self.assertFalse(announcements.is_backend_leaving)
                self.assertEqual(announcements.confirmed, Start("i-1", again))

    def test_start_with_a_clock_set_back_replaces_one_that_crashed(self):
        """Guards against heartbeats that are passed over for good, and the leave."""
        for identity in ("i-1", "i-2"):
            with self.subTest(identity=identity):
                announcements = Announcements()
                apply(announcements, FIRST)
                later = FIRST._replace(identity=identity, start_time_ms=90, sequence=1)
                announce(announcements, later, 4)
                self.assertEqual(announcements.newest.start, later.start)
                leaving = later._replace(sequence=9, state=State.LEAVING)
                self.assertEqual(apply(announcements, leaving, 9.0), "")
                self.assertTrue(announcements.is_backend_leaving)
                self.assertTrue(apply(announcements, FIRST._replace(sequence=99), 9.1))
                self.assertEqual(announcements.newest.start, later.start)

    def test_one_that_is_alive_is_not_replaced_by_late_heartbeats(self):
        """Guards against late heartbeats that pass for another process."""
        late = FIRST._replace(start_time_ms=90, sequence=1)
        for number in range(9):
            now = number * INTERVAL
            self.apply(late._replace(sequence=number), now)
            self.apply(FIRST._replace(sequence=10 + number), now + 0.1)
        self.assertEqual(self.announcements.newest.start, FIRST.start)

    def test_leave_of_a_start_in_doubt_holds_once_it_is_believed(self):
        """Guards against work after a leave that was passed over."""
        leaving = LEAVING._replace(start_time_ms=90, sequence=1)
        self.assertTrue(self.apply(leaving))
        self.assertTrue(self.announcements.gets_work("i-1"))
        announce(self.announcements, leaving._replace(state=State.READY), 6)
        self.assertEqual(self.announcements.newest.start, leaving.start)
        self.assertFalse(self.announcements.gets_work("i-1"))

    def test_start_that_drains_for_long_is_not_confirmed(self):
        """Guards against a log line that says of a leaving start that it gets work."""
        announce(self.announcements, LEAVING, 6)
        self.assertIsNone(self.announcements.confirmed)
        self.assertFalse(self.announcements.gets_work("i-1"))

    def test_restored_leave_does_not_replace_a_later_one(self):
        """Guards against an acknowledgement of what isn't recorded."""
        self.announcements.apply_leave("i-1", 0, WALL_MS)
        leave = self.announcements.find_leave("i-1")
        self.announcements.restore_leaves((Leave("i-1", 50),))
        self.assertEqual(self.announcements.find_leave("i-1"), leave)

    def test_leave_of_an_earlier_start_beside_a_suspected_one_is_known(self):
        """Guards against an error in the middle of an acknowledgement."""
        self.announcements.suspect_leave("i-1")
        self.assertFalse(self.announcements.apply_leave("i-1", 50, WALL_MS))
        self.assertEqual(self.announcements.find_leave("i-1").start_time_ms, 50)

    def test_late_leave_of_the_start_in_effect_holds(self):
        """Guards against a leave that a later heartbeat overtakes."""
        self.apply(FIRST._replace(sequence=9))
        self.assertTrue(self.apply(LEAVING))
        self.assertFalse(self.announcements.gets_work("i-1"))

    def test_restored_leave_holds_for_its_start(self):
        """Guards against a late heartbeat, and against refusing the next start."""
        announcements = Announcements()
        announcements.restore_leaves((Leave("i-1", 100), Leave("i-0", None)))
        self.assertTrue(announcements.is_backend_leaving)
        apply(announcements, FIRST)
        self.assertIs(announcements.newest.state, State.LEAVING)
        apply(announcements, FIRST._replace(start_time_ms=200))
        self.assertIs(announcements.newest.state, State.READY)
        self.assertIsNone(announcements.last_leave)

    def test_leaves_restored_late_do_not_concern_a_running_backend_server(self):
        """Guards against callers kept out by the word of an earlier one."""
        self.announcements.restore_leaves((Leave("i-0", 50),))
        self.assertFalse(self.announcements.is_backend_leaving)
        self.assertIsNone(self.announcements.last_leave)

    def test_suspected_leave_ends_once_the_leaves_are_known(self):
        """Guards against a later start that is refused for good."""
        announcements = Announcements()
        announcements.suspect_leave("i-1")
        self.assertTrue(announcements.is_backend_leaving)
        apply(announcements, FIRST)
        self.assertIs(announcements.newest.state, State.LEAVING)
        announcements.restore_leaves(())
        self.assertIs(announcements.newest.state, State.READY)

    def test_suspected_one_that_is_alive_gets_work(self):
        """Guards against a start that is out for a whole outage of the store."""
        announcements = Announcements()
        announcements.suspect_leave("i-1")
        announce(announcements, FIRST, 3)
        self.assertIs(announcements.newest.state, State.LEAVING)
        announce(announcements, FIRST._replace(sequence=20), 2, 3 * INTERVAL)
        self.assertIs(announcements.newest.state, State.READY)


class LiveStartsTest(unittest.TestCase):
    def test_late_announcements_do_not_show_that_a_start_is_alive(self):
        """Guards against two late heartbeats, repeats and ones out of order."""
        cases = {
            "two, far apart": ((1, 0.0), (2, 5.5)),
            "repeats": ((1, 0.0), (1, 2.0), (1, 4.0), (1, 5.0)),
            "descending": ((5, 0.0), (4, 2.0), (3, 4.0), (2, 5.0)),
            "in a burst": ((1, 0.0), (2, 0.1), (3, 0.2), (4, 0.3)),
            "after a pause": ((1, 0.0), (2, 1.5), (3, 8.0), (4, 9.5)),
        }
        for name, announcements in cases.items():
            with self.subTest(name):
                live = starts.LiveStarts()
                start = Start("i-1", 100)
                seen = [live.observe(start, *each) for each in announcements]
                self.assertFalse(any(seen))
