"""Tests of claims as a function of the log's order."""

import json
import random
import unittest
import uuid

from whinwinch import claims
from whinwinch.claims import Claim, Claims, Done, Release, Verdict
from whinwinch.messages import Outcome

NOW = 1_800_000_000.0
KEY = claims.make_key(NOW, random.Random(1).getrandbits(74))
FIRST = Claim(KEY, "a1", "g1")
SECOND = Claim(KEY, "a2", "g2")


def fold(*records, state=None, start=0, time=NOW):
    state = Claims() if state is None else state
    for offset, entries in enumerate(records, start):
        state.apply(offset, time, claims.encode_batch(entries))
    return state


class FoldTest(unittest.TestCase):
    def judge(self, state, claim):
        return state.judge(claim).verdict

    def test_the_first_claim_of_a_key_wins(self):
        state = fold([FIRST], [SECOND])
        self.assertIs(self.judge(state, FIRST), Verdict.WON)
        lost = state.judge(SECOND)
        self.assertEqual(lost[:3], (Verdict.LOST, "a1", False))

    def test_a_claim_not_read_yet_is_pending(self):
        self.assertIs(self.judge(fold(), FIRST), Verdict.PENDING)

    def test_a_restarted_gatekeeper_does_not_inherit_a_claim(self):
        """A gatekeeper restarts after it claimed; its message comes again.

        Whether the first process ran it nobody knows, so the new one must not.
        """
        reborn = FIRST._replace(incarnation="g1-again")
        state = fold([FIRST], [reborn])
        self.assertIs(self.judge(state, reborn), Verdict.LOST)

    def test_a_released_key_goes_to_the_next_claim(self):
        state = fold([FIRST], [Release(*FIRST)], [SECOND])
        self.assertIs(self.judge(state, SECOND), Verdict.WON)
        self.assertIs(self.judge(state, FIRST), Verdict.LOST)

    def test_only_the_incarnation_that_claimed_can_release(self):
        state = fold([FIRST], [Release(KEY, "a1", "g2")], [SECOND])
        self.assertIs(self.judge(state, FIRST), Verdict.WON)

    def test_a_late_copy_of_a_released_claim_does_not_win(self):
        """An append without an answer takes effect a second time, late.

        Its gatekeeper has said "not run" since. Were the copy to win, a payout
        that its caller knows as not run could be made.
        """
        state = fold([FIRST], [Release(*FIRST)], [FIRST])
        self.assertIs(self.judge(state, FIRST), Verdict.LOST)
        state = fold([SECOND], state=state, start=3)
        self.assertIs(self.judge(state, SECOND), Verdict.WON)

    def test_a_late_copy_of_a_lost_claim_does_not_win(self):
        state = fold([FIRST, SECOND], [Release(*FIRST)], [SECOND])
        self.assertIs(self.judge(state, SECOND), Verdict.LOST)

    def test_a_release_before_its_claim_voids_it(self):
        state = fold([Release(*FIRST)], [FIRST])
        self.assertIs(self.judge(state, FIRST), Verdict.LOST)

    def test_the_holder_notes_that_it_is_done(self):
        state = fold([FIRST], [Done(KEY, "a1", "g1", 201)], [SECOND])
        self.assertEqual(state.judge(SECOND)[:4], (Verdict.LOST, "a1", True, 201))
        other = fold([FIRST], [Done(KEY, "a1", "g2", 201)], [SECOND])
        self.assertFalse(other.judge(SECOND).done)

    def test_done_work_cannot_be_released(self):
        state = fold([FIRST], [Done(KEY, "a1", "g1", 201), Release(*FIRST)], [SECOND])
        self.assertIs(self.judge(state, SECOND), Verdict.LOST)

    def test_the_logs_time_decides_whether_a_key_is_stale(self):
        """A claim waits in a paused process for longer than the window.

        Earlier claims of its key may be gone from the log by then.
        """
        late = fold([FIRST], time=NOW + claims.WINDOW + 1)
        self.assertIs(self.judge(late, FIRST), Verdict.STALE)
        early = fold([FIRST], time=NOW - claims.AHEAD - 1)
        self.assertIs(self.judge(early, FIRST), Verdict.STALE)

    def test_a_step_back_of_the_logs_clock_revives_no_key(self):
        state = fold([FIRST])
        state.apply(1, NOW + claims.WINDOW + 1, b"")
        state.apply(2, NOW, claims.encode_batch([SECOND]))
        self.assertIs(self.judge(state, SECOND), Verdict.STALE)

    def test_many_attempts_of_a_key_do_not_grow_without_limit(self):
        asks = [Claim(KEY, f"a{number}", "g") for number in range(200)]
        state = fold(*([ask] for ask in asks), [Release(*asks[0])], [SECOND])
        self.assertIs(self.judge(state, SECOND), Verdict.LOST)
        self.assertLessEqual(len(state._keys[KEY].decided), claims.ATTEMPTS_PER_KEY)


class CoverageTest(unittest.TestCase):
    def test_a_reader_that_missed_records_answers_gap(self):
        """A daemon starts when retention has dropped the first records.

        One of them may hold an earlier claim of the key.
        """
        state = Claims()
        state.skip_to(5)
        fold([FIRST], state=state, start=5)
        self.assertIs(state.judge(FIRST).verdict, Verdict.GAP)

    def test_keys_made_well_after_the_gap_are_decided(self):
        state = Claims()
        state.skip_to(5)
        state.apply(5, NOW - claims.AHEAD - 1, b"")
        fold([FIRST], state=state, start=6)
        self.assertIs(state.judge(FIRST).verdict, Verdict.WON)

    def test_a_gap_forgets_what_was_known(self):
        """A reader is paused while retention drops records it has not read.

        In them the key may have been released and claimed by another.
        """
        state = fold([FIRST])
        state.skip_to(9)
        self.assertIs(state.judge(FIRST).verdict, Verdict.GAP)

    def test_the_promised_retention_lets_a_quiet_stream_be_used(self):
        """A service pays once an hour and the log keeps records for less.

        Every payout would be refused if a stream whose records are all gone
        counted as unknown.
        """
        state = Claims(retention=claims.WINDOW + claims.AHEAD + 1)
        state.skip_to(5)
        skips = state.skips
        fold([FIRST], state=state, start=5)
        self.assertIs(state.judge(FIRST).verdict, Verdict.GAP)
        state.confirm_retention(NOW, skips)
        self.assertIs(state.judge(FIRST).verdict, Verdict.WON)

    def test_a_gap_noticed_after_the_append_is_not_confirmed(self):
        state = Claims(retention=claims.WINDOW + claims.AHEAD + 1)
        skips = state.skips
        state.skip_to(5)
        fold([FIRST], state=state, start=5)
        state.confirm_retention(NOW, skips)
        self.assertIs(state.judge(FIRST).verdict, Verdict.GAP)

    def test_keys_dropped_for_lack_of_room_are_a_gap(self):
        generator = random.Random(2)
        state = Claims(capacity=3)
        made = [
            Claim(claims.make_key(NOW + number, generator.getrandbits(74)), "a", "g")
            for number in range(5)
        ]
        fold(made, state=state)
        verdicts = [state.judge(claim).verdict for claim in made]
        self.assertEqual(len(state), 3)
        self.assertEqual(verdicts, [Verdict.GAP] * 2 + [Verdict.WON] * 3)

    def test_old_keys_are_forgotten(self):
        state = fold([FIRST])
        state.apply(1, NOW + claims.WINDOW + 1, b"")
        self.assertEqual(len(state), 0)


class KeyTest(unittest.TestCase):
    def test_a_key_carries_when_it_was_made(self):
        parsed = uuid.UUID(KEY)
        self.assertEqual((parsed.version, parsed.variant), (7, uuid.RFC_4122))
        self.assertEqual(claims.get_key_time(KEY), NOW)

    def test_spellings_of_a_key_are_one_key(self):
        self.assertEqual(claims.normalize_key(KEY.upper().replace("-", "")), KEY)

    def test_bad_keys_are_found_early(self):
        self.assertEqual(claims.check_key(KEY, NOW), ())
        old = claims.check_key(KEY, NOW + claims.WINDOW + 1)
        ahead = claims.check_key(KEY, NOW - claims.AHEAD - 1)
        for findings in (old, ahead, claims.check_key("payout-1", NOW)):
            self.assertEqual(findings[0].place, "idempotency key")
        self.assertTrue(claims.check_key(str(uuid.uuid4()), NOW))


class RecordTest(unittest.TestCase):
    def test_batches_survive_the_journey(self):
        entries = (FIRST, Release(*SECOND), Done(KEY, "a1", "g1", 200))
        batch = claims.decode_batch(claims.encode_batch(entries))
        self.assertEqual(batch.entries, entries)

    def test_malformed_records_are_left_out(self):
        rows = [
            ["claim", KEY, "a"],
            ["claim", "k", "a", "g"],
            7,
            [],
            [[]],
            ["done", KEY, "a", "g", "200"],
            ["claim", KEY, None, "g"],
        ]
        wrong = json.dumps({"format": 1, "entries": rows}).encode()
        for data in (b"", b"\xff", b"[]", b'{"format":2}', wrong, b"[" * 100_000):
            self.assertEqual(claims.decode_batch(data).entries, ())


class RunTest(unittest.TestCase):
    WON = claims.ClaimVerdict(Verdict.WON)

    def test_a_winner_that_was_paused_checks_again(self):
        """A gatekeeper wins, is paused, and resumes after its deadline.

        Its caller was told long ago that the payout was not run.
        """
        self.assertTrue(claims.may_run(self.WON, False, 10.0, 9.0))
        self.assertFalse(claims.may_run(self.WON, False, 10.0, 10.0))
        self.assertFalse(claims.may_run(self.WON, True, 10.0, 9.0))

    def test_nothing_but_a_win_may_run(self):
        for verdict in set(Verdict) - {Verdict.WON}:
            lost = claims.ClaimVerdict(verdict)
            self.assertFalse(claims.may_run(lost, False, 10.0, 9.0))
            settled = claims.settle_verdict(lost)
            # Of a key that was good once, an earlier ask may have run.
            doubtful = (Verdict.LOST, Verdict.STALE, Verdict.GAP)
            told = Outcome.UNKNOWN if verdict in doubtful else Outcome.NOT_RUN
            self.assertIs(settled.outcome, told)


if __name__ == "__main__":
    unittest.main()
