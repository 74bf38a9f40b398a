"""Tests of copies of a keyed topic, and of when the log is read for them."""

import unittest

from whinwinch.logservice import keyed
from whinwinch.logservice.keyed import Record

PATIENCE = 1.4
OLD = Record("config", b"old", 3)
NEW = Record("config", b"new", 7)


class CopyTest(unittest.TestCase):
    def setUp(self):
        self.applied = []
        self.copy = keyed.Copy(self.applied.extend)

    def test_first_listing(self):
        self.copy.take_newest((OLD,), 5)
        self.assertEqual((self.copy.end, self.applied), (5, [OLD]))

    def test_topic_that_is_empty_counts_as_read(self):
        self.copy.take_newest((), 0)
        self.assertTrue(self.copy.is_known)

    def test_records_that_leave_a_gap(self):
        """A peer hands on what is too new for this copy.

        Taken, the records between them would be missing for ever.
        """
        self.copy.take_newest((OLD,), 4)
        self.assertFalse(self.copy.take((NEW,), 6, 8))
        self.assertEqual((self.copy.end, self.applied), (4, [OLD]))

    def test_older_copy_of_a_peer(self):
        """A peer that was cut off for a while hands on what it knew before.

        Taken, callers would meet a configuration that has been replaced.
        """
        self.copy.take_newest((NEW,), 8)
        self.assertTrue(self.copy.take((OLD,), 0, 4))
        self.copy.take_newest((OLD,), 4)
        self.assertEqual((self.copy.end, self.applied), (8, [NEW]))

    def test_doubled_records_are_applied_once(self):
        for _ in range(2):
            self.copy.take((OLD,), 0, 4)
        self.assertEqual(self.applied, [OLD])

    def test_two_records_of_a_key_in_one_page(self):
        self.copy.take((OLD, NEW), 0, 8)
        self.assertEqual(self.applied, [NEW])

    def test_key_that_went_while_the_history_was_lost(self):
        """An instance leaves, then the log drops its history.

        The newest records don't name it any more; unless its absence counts, calls
        would go on being sent to it.
        """
        gone = Record("h:1", b"endpoint", 1)
        self.copy.take_newest((gone, OLD), 4)
        self.copy.take_newest((OLD,), 9)
        self.assertEqual(self.applied[2:], [Record("h:1", b"", 8)])

    def test_what_is_handed_on_brings_another_copy_up_to_date(self):
        other = keyed.Copy(lambda records: None)
        self.copy.take((OLD, Record("a", b"1", 4), Record("b", b"2", 5)), 0, 6)
        other.take(self.copy.give(0), 0, self.copy.end)
        self.copy.take((Record("a", b"", 6), NEW), 6, 8)
        self.assertTrue(other.take(self.copy.give(other.end), other.end, 8))
        self.assertEqual(other.give(0), self.copy.give(0))

    def test_copy_that_knows_nothing_hands_on_nothing(self):
        self.assertIsNone(self.copy.give(0))

    def test_keys_that_went_are_not_kept_for_ever(self):
        """Instances are replaced every day, each with an address of its own.

        Kept for ever they would fill the memory within weeks; once forgotten, a copy
        that may still hold them is told nothing and reads the log.
        """
        for number in range(2 * keyed.MOST_DROPPED):
            gone = Record(f"h:{number}", b"", number)
            self.copy.take((gone,), number, number + 1)
        self.assertLessEqual(len(self.copy.give(0)), keyed.MOST_DROPPED)
        self.assertIsNone(self.copy.give(1))
        self.assertIsNotNone(self.copy.give(self.copy.end - 1))


class FollowingTest(unittest.TestCase):
    def setUp(self):
        self.copy = keyed.Copy(lambda records: None)
        self.following = keyed.Following(self.copy, PATIENCE)
        self.copy.take_newest((OLD,), 4)
        self.following.note_read(4, 0.0)

    def must_read(self, now):
        return self.following.must_read(False, now)

    def test_nothing_known_is_read(self):
        unread = keyed.Following(keyed.Copy(lambda records: None), PATIENCE)
        self.assertTrue(unread.must_read(False, 0.0))

    def test_newcomers_are_asked_one_after_the_other(self):
        """Hundreds of daemons start together, and the log can't be read yet.

        Asked by each daemon that connects, all of them would send the whole topic.
        """
        unread = keyed.Following(keyed.Copy(lambda records: None), PATIENCE)
        asked = [unread.ask_all(0.001 * number) for number in range(200)]
        self.assertEqual(asked.count(True), 1)
        # The one that was asked may hang.
        self.assertTrue(unread.ask_all(keyed.ASK_SECONDS))
        self.assertFalse(self.following.ask_all(9.0))

    def test_reader_reads_whatever_peers_tell(self):
        self.assertTrue(self.following.must_read(True, 0.0))

    def test_peers_that_confirm_save_the_reading(self):
        for step in range(1, 10):
            self.assertFalse(self.following.take_end(4, float(step)))
            self.assertFalse(self.must_read(step + 0.9))

    def test_peers_that_fall_silent(self):
        """The daemon that read for this one is cut off or dies.

        A change made then must be in force here within two seconds all the same.
        """
        self.following.take_end(4, 1.0)
        self.assertFalse(self.must_read(1.0 + PATIENCE))
        self.assertTrue(self.must_read(1.01 + PATIENCE))

    def test_newer_end_is_asked_for_once(self):
        self.assertTrue(self.following.take_end(8, 1.0))
        self.assertFalse(self.following.take_end(8, 1.1))
        self.assertTrue(self.following.take_end(8, 1.0 + 2 * keyed.ASK_SECONDS))

    def test_records_that_come_confirm_the_copy(self):
        self.following.take_end(8, 1.0)
        self.following.take_records((NEW,), 4, 8)
        self.assertEqual(self.copy.end, 8)
        self.assertFalse(self.must_read(1.0 + PATIENCE))

    def test_newer_end_that_nobody_delivers(self):
        """A peer tells of a change and then dies before it hands it on.

        Its word says that this copy is old, not that it is confirmed.
        """
        self.following.take_end(8, 1.0)
        self.assertTrue(self.must_read(PATIENCE + 0.01))

    def test_older_end_confirms_nothing(self):
        """A store answers with what it held seconds ago, and a peer tells its end.

        Taken for a confirmation, a copy would count as new while a change is missed.
        """
        self.assertFalse(self.following.take_end(2, 1.0))
        self.assertEqual(self.copy.end, 4)
        self.assertTrue(self.must_read(PATIENCE + 0.01))

    def test_read_that_hung_while_peers_told_of_more(self):
        """A read is answered late with the end of a moment before.

        Told on, it would confirm the copies of others that miss the change.
        """
        self.following.take_end(8, 1.0)
        self.following.take_records((NEW,), 4, 8)
        self.assertFalse(self.following.note_read(4, 2.0))
        self.assertTrue(self.must_read(1.01 + PATIENCE))
        self.assertTrue(self.following.note_read(8, 3.0))
        self.assertFalse(self.must_read(2.9 + PATIENCE))

    def test_records_confirm_only_up_to_the_end_that_was_told_last(self):
        """One peer tells of a change, then another that is behind tells its end.

        The records of the change confirm the copy as of the first telling only.
        """
        self.following.take_end(8, 1.0)
        self.following.take_end(6, 2.0)
        self.following.take_records((NEW,), 4, 8)
        self.assertTrue(self.must_read(1.01 + PATIENCE))


if __name__ == "__main__":
    unittest.main()
