"""Tests of the decisions on claims, which depend only on the log's order."""

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


def apply_records(*records, state=None, start=0, time=NOW):
    state = Claims() if state is None else state
    for offset, entries in enumerate(records, start):
        state.apply(offset, time, claims.encode_batch(entries))
    return state


class VerdictTest(unittest.TestCase):
    def get_verdict(self, state, claim):
        return state.get_verdict(claim).verdict

    def test_the_first_claim_of_a_key_wins(self):
        state = apply_records([FIRST], [SECOND])
        self.assertIs(self.get_verdict(state, FIRST), Verdict.WON)
        lost = state.get_verdict(SECOND)
        self.assertEqual(lost[:3], (Verdict.LOST, "a1", False))

    def test_a_claim_not_read_yet_is_pending(self):
        self.assertIs(self.get_verdict(apply_records(), FIRST), Verdict.PENDING)

    def test_a_restarted_gatekeeper_does_not_inherit_a_claim(self):
        """Guards against running an attempt twice across a gatekeeper's restart.

        The gatekeeper restarts after its claim and receives the same request
        again. The first process may have run it, so the new one must not.
        """
        restarted = FIRST._replace(incarnation="g1-again")
        state = apply_records([FIRST], [restarted])
        self.assertIs(self.get_verdict(state, restarted), Verdict.LOST)

    def test_a_released_key_goes_to_the_next_claim(self):
        state = apply_records([FIRST], [Release(*FIRST)], [SECOND])
        self.assertIs(self.get_verdict(state, SECOND), Verdict.WON)
        self.assertIs(self.get_verdict(state, FIRST), Verdict.LOST)

    def test_only_the_incarnation_that_claimed_can_release(self):
        state = apply_records([FIRST], [Release(KEY, "a1", "g2")], [SECOND])
        self.assertIs(self.get_verdict(state, FIRST), Verdict.WON)

    def test_a_late_copy_of_a_released_claim_does_not_win(self):
        """Guards against running an attempt that was reported as "not run".

        An append whose answer was lost takes effect a second time after the
        gatekeeper has reported "not run". If that copy won, the payout could run.
        """
        state = apply_records([FIRST], [Release(*FIRST)], [FIRST])
        self.assertIs(self.get_verdict(state, FIRST), Verdict.LOST)
        state = apply_records([SECOND], state=state, start=3)
        self.assertIs(self.get_verdict(state, SECOND), Verdict.WON)

    def test_a_late_copy_of_a_lost_claim_does_not_win(self):
        state = apply_records([FIRST, SECOND], [Release(*FIRST)], [SECOND])
        self.assertIs(self.get_verdict(state, SECOND), Verdict.LOST)

    def test_a_release_before_its_claim_voids_it(self):
        state = apply_records([Release(*FIRST)], [FIRST])
        self.assertIs(self.get_verdict(state, FIRST), Verdict.LOST)

    def test_the_holder_records_that_it_is_done(self):
        state = apply_records([FIRST], [Done(KEY, "a1", "g1", 201)], [SECOND])
        self.assertEqual(state.get_verdict(SECOND)[:4], (Verdict.LOST, "a1", True, 201))
        other = apply_records([FIRST], [Done(KEY, "a1", "g2", 201)], [SECOND])
        self.assertFalse(other.get_verdict(SECOND).done)

    def test_done_work_cannot_be_released(self):
        state = apply_records(
            [FIRST], [Done(KEY, "a1", "g1", 201), Release(*FIRST)], [SECOND]
        )
        self.assertIs(self.get_verdict(state, SECOND), Verdict.LOST)

    def test_the_logs_time_decides_whether_a_key_is_stale(self):
        """Guards against a claim that a paused process appends after the window.

        Earlier claims of its key may have been dropped from the log by then.
        """
        late = apply_records([FIRST], time=NOW + claims.KEY_WINDOW + 1)
        self.assertIs(self.get_verdict(late, FIRST), Verdict.STALE)
        early = apply_records([FIRST], time=NOW - claims.MAX_CLOCK_SKEW - 1)
        self.assertIs(self.get_verdict(early, FIRST), Verdict.STALE)

    def test_setting_back_the_logs_clock_makes_no_expired_key_valid(self):
        state = apply_records([FIRST])
        state.apply(1, NOW + claims.KEY_WINDOW + 1, b"")
        state.apply(2, NOW, claims.encode_batch([SECOND]))
        self.assertIs(self.get_verdict(state, SECOND), Verdict.STALE)

    def test_the_number_of_attempts_tracked_per_key_is_bounded(self):
        retries = [Claim(KEY, f"a{number}", "g") for number in range(200)]
        state = apply_records(
            *([retry] for retry in retries), [Release(*retries[0])], [SECOND]
        )
        self.assertIs(self.get_verdict(state, SECOND), Verdict.LOST)
        self.assertLessEqual(len(state._keys[KEY].decided), claims.MAX_ATTEMPTS_PER_KEY)


class CoverageTest(unittest.TestCase):
    def test_a_reader_that_missed_records_answers_gap(self):
        """Guards against deciding a claim without all earlier claims of its key.

        The daemon starts after retention has dropped the first records, one of
        which may contain an earlier claim.
        """
        state = Claims()
        state.skip_to(5)
        apply_records([FIRST], state=state, start=5)
        self.assertIs(state.get_verdict(FIRST).verdict, Verdict.GAP)

    def test_keys_made_well_after_the_gap_are_decided(self):
        state = Claims()
        state.skip_to(5)
        state.apply(5, NOW - claims.MAX_CLOCK_SKEW - 1, b"")
        apply_records([FIRST], state=state, start=6)
        self.assertIs(state.get_verdict(FIRST).verdict, Verdict.WON)

    def test_a_gap_discards_all_state(self):
        """Guards against verdicts from outdated state after records were missed.

        A reader is paused while retention drops records it has not read. In them
        the key may have been released and claimed by another attempt.
        """
        state = apply_records([FIRST])
        state.skip_to(9)
        self.assertIs(state.get_verdict(FIRST).verdict, Verdict.GAP)

    def test_guaranteed_retention_makes_a_quiet_stream_usable(self):
        """Guards against refusing every key of a service that is rarely called.

        A service pays once an hour and the log keeps records for less time, so
        all records of its stream have been dropped when the next key arrives.
        """
        state = Claims(retention=claims.KEY_WINDOW + claims.MAX_CLOCK_SKEW + 1)
        state.skip_to(5)
        skips = state.skips
        apply_records([FIRST], state=state, start=5)
        self.assertIs(state.get_verdict(FIRST).verdict, Verdict.GAP)
        state.confirm_retention(NOW, skips)
        self.assertIs(state.get_verdict(FIRST).verdict, Verdict.WON)

    def test_a_gap_detected_after_the_append_is_not_confirmed(self):
        state = Claims(retention=claims.KEY_WINDOW + claims.MAX_CLOCK_SKEW + 1)
        skips = state.skips
        state.skip_to(5)
        apply_records([FIRST], state=state, start=5)
        state.confirm_retention(NOW, skips)
        self.assertIs(state.get_verdict(FIRST).verdict, Verdict.GAP)

    def test_keys_evicted_for_capacity_get_gap(self):
        generator = random.Random(2)
        state = Claims(capacity=3)
        made = [
            Claim(claims.make_key(NOW + number, generator.getrandbits(74)), "a", "g")
            for number in range(5)
        ]
        apply_records(made, state=state)
        verdicts = [state.get_verdict(claim).verdict for claim in made]
        self.assertEqual(len(state), 3)
        self.assertEqual(verdicts, [Verdict.GAP] * 2 + [Verdict.WON] * 3)

    def test_expired_keys_are_dropped(self):
        state = apply_records([FIRST])
        state.apply(1, NOW + claims.KEY_WINDOW + 1, b"")
        self.assertEqual(len(state), 0)


class KeyTest(unittest.TestCase):
    def test_a_key_contains_its_creation_time(self):
        parsed = uuid.UUID(KEY)
        self.assertEqual((parsed.version, parsed.variant), (7, uuid.RFC_4122))
        self.assertEqual(claims.get_key_time(KEY), NOW)

    def test_spellings_of_a_key_are_one_key(self):
        self.assertEqual(claims.normalize_key(KEY.upper().replace("-", "")), KEY)

    def test_invalid_keys_are_refused_before_a_claim(self):
        self.assertEqual(claims.check_key(KEY, NOW), ())
        old = claims.check_key(KEY, NOW + claims.KEY_WINDOW + 1)
        ahead = claims.check_key(KEY, NOW - claims.MAX_CLOCK_SKEW - 1)
        for findings in (old, ahead, claims.check_key("payout-1", NOW)):
            self.assertEqual(findings[0].place, "idempotency key")
        self.assertTrue(claims.check_key(str(uuid.uuid4()), NOW))


class RecordTest(unittest.TestCase):
    def test_batches_decode_to_the_encoded_entries(self):
        entries = (FIRST, Release(*SECOND), Done(KEY, "a1", "g1", 200))
        batch = claims.decode_batch(claims.encode_batch(entries))
        self.assertEqual(batch.entries, entries)

    def test_malformed_entries_are_skipped(self):
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
        """Guards against running a payout that was reported as "not run".

        A gatekeeper's claim wins, but the process is paused and resumes only
        after the deadline.
        """
        self.assertTrue(claims.may_run(self.WON, False, 10.0, 9.0))
        self.assertFalse(claims.may_run(self.WON, False, 10.0, 10.0))
        self.assertFalse(claims.may_run(self.WON, True, 10.0, 9.0))

    def test_only_a_won_claim_may_run(self):
        for verdict in set(Verdict) - {Verdict.WON}:
            lost = claims.ClaimVerdict(verdict)
            self.assertFalse(claims.may_run(lost, False, 10.0, 9.0))
            reported = claims.get_reported_outcome(lost)
            # An earlier attempt with a key that was valid once may have run.
            possibly_run = (Verdict.LOST, Verdict.STALE, Verdict.GAP)
            expected = Outcome.UNKNOWN if verdict in possibly_run else Outcome.NOT_RUN
            self.assertIs(reported.outcome, expected)


if __name__ == "__main__":
    unittest.main()
