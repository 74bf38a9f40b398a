"""Tests of which announcement of a backend server is the newest."""

import unittest

from whinwinch.announcements import Announcement, Announcements, State

FIRST = Announcement("i-1", 100, 5, "catalog", "h:1", 4, State.READY)
LEAVING = FIRST._replace(sequence=6, state=State.LEAVING)


class AnnouncementsTest(unittest.TestCase):
    def setUp(self):
        self.announcements = Announcements()
        self.announcements.take(FIRST)

    def test_late_ready_does_not_undo_a_leave(self):
        """A heartbeat is held up and arrives behind the one that says draining.

        Believed, callers would be sent to a backend server about to vanish.
        """
        self.announcements.take(LEAVING)
        self.assertTrue(self.announcements.take(FIRST))
        self.assertEqual(self.announcements.newest, LEAVING)

    def test_heartbeat_behind_the_leave(self):
        """A heartbeat arrives after its sender said that it is gone."""
        self.assertTrue(self.announcements.leave("i-1", 0))
        self.assertTrue(self.announcements.take(FIRST._replace(sequence=9)))
        self.assertIsNone(self.announcements.newest)

    def test_restart_under_the_same_identifier(self):
        """A backend server starts again as itself, and counts anew."""
        self.announcements.leave("i-1", 100)
        again = FIRST._replace(started=200, sequence=1)
        self.assertEqual(self.announcements.take(again), "")
        self.assertEqual(self.announcements.newest, again)
        self.assertTrue(self.announcements.take(FIRST._replace(sequence=99)))

    def test_leave_of_an_earlier_start(self):
        """The word that the former start is gone comes after the new one's."""
        again = FIRST._replace(started=200, sequence=1)
        self.announcements.take(again)
        self.assertFalse(self.announcements.leave("i-1", 100))
        self.assertEqual(self.announcements.newest, again)

    def test_late_heartbeat_of_a_former_start(self):
        """A heartbeat was held up by a cut, and its sender has been replaced."""
        newer = FIRST._replace(identity="i-2", started=200, sequence=1)
        self.assertEqual(self.announcements.take(newer), "")
        self.assertTrue(self.announcements.take(FIRST._replace(sequence=7)))
        self.assertEqual(self.announcements.newest, newer)
