"""Tests of the ordering of announcements."""

import unittest

from whinwinch.announcements import Announcement, Announcements, Leave, State

FIRST = Announcement("i-1", 100, 5, "catalog", "h:1", 4, State.READY)
LEAVING = FIRST._replace(sequence=6, state=State.LEAVING)


class AnnouncementsTest(unittest.TestCase):
    def setUp(self):
        self.announcements = Announcements()
        self.announcements.apply(FIRST)

    def test_late_ready_does_not_override_leaving(self):
        """A "ready" heartbeat is delayed and arrives after the "draining" one.

        If it were applied, callers would be sent to a backend server about to stop.
        """
        self.announcements.apply(LEAVING)
        self.assertTrue(self.announcements.apply(FIRST))
        self.assertEqual(self.announcements.newest, LEAVING)

    def test_heartbeat_after_an_answer_that_says_leaving_changes_nothing(self):
        """Guards against sending requests to a backend server that told it leaves."""
        self.announcements.apply_leaving_answer("i-1")
        self.announcements.apply(FIRST._replace(sequence=9))
        self.assertIs(self.announcements.newest.state, State.LEAVING)
        self.announcements.apply(FIRST._replace(identity="i-2", start_time_ms=200))
        self.assertIs(self.announcements.newest.state, State.READY)

    def test_heartbeat_after_the_leave_is_ignored(self):
        """A heartbeat is delayed and arrives after its sender's leave."""
        self.assertTrue(self.announcements.apply_leave("i-1", 0))
        self.assertTrue(self.announcements.apply(FIRST._replace(sequence=9)))
        self.assertIsNone(self.announcements.newest)

    def test_restart_under_the_same_identifier_resets_the_sequence(self):
        """A restarted backend server keeps its identifier and resets its sequence."""
        self.announcements.apply_leave("i-1", 100)
        again = FIRST._replace(start_time_ms=200, sequence=1)
        self.assertEqual(self.announcements.apply(again), "")
        self.assertEqual(self.announcements.newest, again)
        self.assertTrue(self.announcements.apply(FIRST._replace(sequence=99)))

    def test_leave_of_an_earlier_start_is_ignored(self):
        """The leave of a former process arrives after its successor's announcement."""
        again = FIRST._replace(start_time_ms=200, sequence=1)
        self.announcements.apply(again)
        self.assertFalse(self.announcements.apply_leave("i-1", 100))
        self.assertEqual(self.announcements.newest, again)

    def test_late_heartbeat_of_a_replaced_backend_server_is_ignored(self):
        """A network cut delays a heartbeat until its sender has been replaced."""
        newer = FIRST._replace(identity="i-2", start_time_ms=200, sequence=1)
        self.assertEqual(self.announcements.apply(newer), "")
        self.assertTrue(self.announcements.apply(FIRST._replace(sequence=7)))
        self.assertEqual(self.announcements.newest, newer)

    def test_backend_server_is_leaving_until_another_one_comes(self):
        """Guards against callers that are kept out once a backend server is there."""
        self.assertFalse(self.announcements.is_backend_leaving)
        self.announcements.apply(LEAVING)
        self.assertTrue(self.announcements.is_backend_leaving)
        self.announcements.apply_leave("i-1", 100)
        self.assertTrue(self.announcements.is_backend_leaving)
        self.announcements.apply(FIRST._replace(identity="i-2", start_time_ms=200))
        self.assertFalse(self.announcements.is_backend_leaving)

    def test_recorded_leave_is_known_before_any_heartbeat(self):
        """Guards against a restarted daemon that forgets what it was told."""
        announcements = Announcements()
        self.assertFalse(announcements.is_backend_leaving)
        announcements.apply_leaving_answer("i-1")
        self.assertTrue(announcements.is_backend_leaving)

    def test_backend_server_that_leaves_is_not_ready_again(self):
        """Guards against work for one that was promised to get none."""
        self.announcements.apply(LEAVING)
        self.assertEqual(self.announcements.apply(FIRST._replace(sequence=9)), "")
        self.assertIs(self.announcements.newest.state, State.LEAVING)

    def test_later_start_under_the_same_identifier_is_another_backend_server(self):
        """Guards against one that never gets work again after its restart."""
        self.announcements.apply(LEAVING)
        self.announcements.apply_leaving_answer("i-1")
        again = FIRST._replace(start_time_ms=200, sequence=1)
        self.assertEqual(self.announcements.apply(again), "")
        self.assertEqual(self.announcements.newest, again)
        self.assertFalse(self.announcements.is_backend_leaving)

    def test_leave_without_a_start_is_of_the_start_in_effect(self):
        self.announcements.apply_leave("i-1", 0)
        self.assertEqual(self.announcements.last_leave, Leave("i-1", 100))

    def test_leave_of_an_unknown_start_is_of_every_start(self):
        """Guards against believing a late heartbeat of one that has left."""
        announcements = Announcements()
        announcements.apply_leave("i-1", 0)
        self.assertEqual(announcements.last_leave, Leave("i-1", None))
        self.assertTrue(announcements.apply(FIRST))

    def test_restored_leave_holds_for_its_start(self):
        """Guards against a late heartbeat, and against refusing the next start."""
        announcements = Announcements()
        announcements.restore_leaves((Leave("i-1", 100), Leave("i-0", None)))
        self.assertTrue(announcements.is_backend_leaving)
        announcements.apply(FIRST)
        self.assertIs(announcements.newest.state, State.LEAVING)
        announcements.apply(FIRST._replace(start_time_ms=200))
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
        announcements.apply(FIRST)
        self.assertIs(announcements.newest.state, State.LEAVING)
        announcements.restore_leaves(())
        self.assertIs(announcements.newest.state, State.READY)
