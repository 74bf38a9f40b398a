"""Tests of copies of a keyed topic and of the decision to read the log."""

import unittest

from whinwinch.logservice import keyed
from whinwinch.logservice.keyed import Record

MAX_UNCONFIRMED_AGE = 1.4
OLD = Record("config", b"old", 3)
NEW = Record("config", b"new", 7)


class CopyTest(unittest.TestCase):
    def setUp(self):
        self.applied = []
        self.copy = keyed.TopicCopy(self.applied.extend)

    def test_first_listing(self):
        self.copy.apply_listing((OLD,), 5)
        self.assertEqual((self.copy.end, self.applied), (5, [OLD]))

    def test_empty_topic_counts_as_read(self):
        self.copy.apply_listing((), 0)
        self.assertTrue(self.copy.is_initialized)

    def test_records_that_leave_a_gap(self):
        """Guards against applying records that leave a gap.

        A peer sends records that are too new for this copy; the records in between
        would be missing forever.
        """
        self.copy.apply_listing((OLD,), 4)
        self.assertFalse(self.copy.apply_records((NEW,), 6, 8))
        self.assertEqual((self.copy.end, self.applied), (4, [OLD]))

    def test_outdated_copy_of_a_peer(self):
        """Guards against restoring a configuration that has been replaced.

        A peer that was unreachable for a while sends its outdated records.
        """
        self.copy.apply_listing((NEW,), 8)
        self.assertTrue(self.copy.apply_records((OLD,), 0, 4))
        self.copy.apply_listing((OLD,), 4)
        self.assertEqual((self.copy.end, self.applied), (8, [NEW]))

    def test_duplicate_records_are_applied_once(self):
        for _ in range(2):
            self.copy.apply_records((OLD,), 0, 4)
        self.assertEqual(self.applied, [OLD])

    def test_two_records_of_a_key_in_one_page(self):
        self.copy.apply_records((OLD, NEW), 0, 8)
        self.assertEqual(self.applied, [NEW])

    def test_key_deleted_before_the_history_was_dropped(self):
        """Guards against calls to an instance whose deletion was never read.

        The instance leaves, then the log drops its history. The newest records no
        longer contain its key, and its absence has to count as a deletion.
        """
        gone = Record("h:1", b"endpoint", 1)
        self.copy.apply_listing((gone, OLD), 4)
        self.copy.apply_listing((OLD,), 9)
        self.assertEqual(self.applied[2:], [Record("h:1", b"", 8)])

    def test_sent_records_bring_another_copy_up_to_date(self):
        other = keyed.TopicCopy(lambda records: None)
        self.copy.apply_records((OLD, Record("a", b"1", 4), Record("b", b"2", 5)), 0, 6)
        other.apply_records(self.copy.list_newer(0), 0, self.copy.end)
        self.copy.apply_records((Record("a", b"", 6), NEW), 6, 8)
        self.assertTrue(
            other.apply_records(self.copy.list_newer(other.end), other.end, 8)
        )
        self.assertEqual(other.list_newer(0), self.copy.list_newer(0))

    def test_copy_that_was_never_filled_sends_nothing(self):
        self.assertIsNone(self.copy.list_newer(0))

    def test_deleted_keys_are_not_kept_forever(self):
        """Guards against deleted keys filling the memory within weeks.

        Instances are replaced every day, each with a new address. Once deleted keys
        are discarded, a copy that may still contain them is sent nothing and has to
        read the log.
        """
        for number in range(2 * keyed.MAX_DELETED_KEYS):
            gone = Record(f"h:{number}", b"", number)
            self.copy.apply_records((gone,), number, number + 1)
        self.assertLessEqual(len(self.copy.list_newer(0)), keyed.MAX_DELETED_KEYS)
        self.assertIsNone(self.copy.list_newer(1))
        self.assertIsNotNone(self.copy.list_newer(self.copy.end - 1))


class FollowingTest(unittest.TestCase):
    def setUp(self):
        self.copy = keyed.TopicCopy(lambda records: None)
        self.followed = keyed.FollowedTopic(self.copy, MAX_UNCONFIRMED_AGE)
        self.copy.apply_listing((OLD,), 4)
        self.followed.record_read(4, 0.0)

    def must_read(self, now):
        return self.followed.must_read(False, now)

    def test_copy_that_was_never_filled_is_read(self):
        unread = keyed.FollowedTopic(
            keyed.TopicCopy(lambda records: None), MAX_UNCONFIRMED_AGE
        )
        self.assertTrue(unread.must_read(False, 0.0))

    def test_new_peers_are_asked_one_after_another(self):
        """Guards against hundreds of peers sending the whole topic at once.

        All daemons start together and the log can't be read yet, so each peer that
        connects could be asked for the topic.
        """
        unread = keyed.FollowedTopic(
            keyed.TopicCopy(lambda records: None), MAX_UNCONFIRMED_AGE
        )
        asked = [unread.should_request_all(0.001 * number) for number in range(200)]
        self.assertEqual(asked.count(True), 1)
        # The peer that was asked may hang.
        self.assertTrue(unread.should_request_all(keyed.REQUEST_TIMEOUT))
        self.assertFalse(self.followed.should_request_all(9.0))

    def test_reader_reads_regardless_of_reports_from_peers(self):
        self.assertTrue(self.followed.must_read(True, 0.0))

    def test_confirmations_from_peers_make_a_read_unnecessary(self):
        for step in range(1, 10):
            self.assertFalse(self.followed.apply_end(4, float(step)))
            self.assertFalse(self.must_read(step + 0.9))

    def test_peers_that_stop_reporting(self):
        """Guards against missing changes when the reader of the group fails.

        The reader becomes unreachable or dies; a change must still take effect here
        within two seconds.
        """
        self.followed.apply_end(4, 1.0)
        self.assertFalse(self.must_read(1.0 + MAX_UNCONFIRMED_AGE))
        self.assertTrue(self.must_read(1.01 + MAX_UNCONFIRMED_AGE))

    def test_records_up_to_a_newer_end_are_requested_once(self):
        self.assertTrue(self.followed.apply_end(8, 1.0))
        self.assertFalse(self.followed.apply_end(8, 1.1))
        self.assertTrue(self.followed.apply_end(8, 1.0 + 2 * keyed.REQUEST_TIMEOUT))

    def test_received_records_confirm_the_copy(self):
        self.followed.apply_end(8, 1.0)
        self.followed.apply_records((NEW,), 4, 8)
        self.assertEqual(self.copy.end, 8)
        self.assertFalse(self.must_read(1.0 + MAX_UNCONFIRMED_AGE))

    def test_newer_end_whose_records_never_arrive(self):
        """Guards against treating the report of a newer end as a confirmation.

        A peer reports a change and dies before it sends the records.
        """
        self.followed.apply_end(8, 1.0)
        self.assertTrue(self.must_read(MAX_UNCONFIRMED_AGE + 0.01))

    def test_older_end_confirms_nothing(self):
        """Guards against a confirmation by outdated data.

        A store answers with the state of some seconds ago, and a peer reports that
        end. The copy would count as current while a change is missing.
        """
        self.assertFalse(self.followed.apply_end(2, 1.0))
        self.assertEqual(self.copy.end, 4)
        self.assertTrue(self.must_read(MAX_UNCONFIRMED_AGE + 0.01))

    def test_read_that_hung_while_peers_reported_a_newer_end(self):
        """Guards against a late read confirming copies that miss a change.

        The answer contains an outdated end, which would otherwise be reported to
        peers.
        """
        self.followed.apply_end(8, 1.0)
        self.followed.apply_records((NEW,), 4, 8)
        self.assertFalse(self.followed.record_read(4, 2.0))
        self.assertTrue(self.must_read(1.01 + MAX_UNCONFIRMED_AGE))
        self.assertTrue(self.followed.record_read(8, 3.0))
        self.assertFalse(self.must_read(2.9 + MAX_UNCONFIRMED_AGE))

    def test_records_confirm_only_as_of_the_report_of_their_end(self):
        """Guards against a later report of a lower end extending a confirmation.

        One peer reports a change, then another peer that is behind reports its end.
        The records of the change confirm the copy as of the first report only.
        """
        self.followed.apply_end(8, 1.0)
        self.followed.apply_end(6, 2.0)
        self.followed.apply_records((NEW,), 4, 8)
        self.assertTrue(self.must_read(1.01 + MAX_UNCONFIRMED_AGE))


if __name__ == "__main__":
    unittest.main()
