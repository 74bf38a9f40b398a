"""Tests that readers of random claims agree, wherever in the log they start."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from whinwinch import claims
from whinwinch.claims import Claim, Claims, Done, Release, Verdict

START = 1_800_000_000.0
WINDOW = 10.0
MAX_CLOCK_SKEW = 3.0

# Shorter than the window, so that records are dropped while their keys are valid.
RETENTION = 6.0


class ClaimMachine(RuleBasedStateMachine):
    """Claims, releases and notes of a few keys while the log forgets.

    The first reader has seen everything. Of the others each begins where the
    log does when it is made. A winner runs as soon as any reader says so.
    """

    def __init__(self):
        super().__init__()
        self.now = START
        self.log = []
        self.first = 0
        self.keys = [claims.make_key(START, 1), claims.make_key(START + 5, 2)]
        self.asked = set()
        self.released = set()
        self.ran = {}
        self.readers = [self.make_reader()]

    kind = Claims

    def make_reader(self):
        return self.kind(WINDOW, MAX_CLOCK_SKEW, retention=RETENTION)

    def append(self, entry):
        self.log.append((self.now, claims.encode_batch([entry])))

    @rule(
        key=st.integers(0, 1),
        attempt=st.sampled_from("abc"),
        incarnation=st.sampled_from("gh"),
    )
    def claim(self, key, attempt, incarnation):
        entry = Claim(self.keys[key], attempt, incarnation)
        self.asked.add(entry)
        self.append(entry)

    @rule(number=st.integers(0, 20))
    def release(self, number):
        """A gatekeeper gives up what it has not run."""
        left = sorted(self.asked - set(self.ran.values()))
        if left:
            entry = left[number % len(left)]
            self.released.add(entry)
            self.append(Release(*entry))

    @rule(key=st.integers(0, 1))
    def note_done(self, key):
        entry = self.ran.get(self.keys[key])
        if entry:
            self.append(Done(*entry, 200))

    @rule(seconds=st.sampled_from([0.5, 2.0, 7.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def make_late_reader(self):
        reader = self.make_reader()
        reader.skip_to(self.first)
        self.readers.append(reader)

    @rule()
    def drop_old_records(self):
        while self.first < len(self.log):
            if self.log[self.first][0] >= self.now - RETENTION:
                return
            self.first += 1

    @rule(number=st.integers(0, 5))
    def read_on(self, number):
        reader = self.readers[number % len(self.readers)]
        first = 0 if reader is self.readers[0] else self.first
        reader.skip_to(first)
        for offset in range(reader.next, len(self.log)):
            time, data = self.log[offset]
            reader.apply(offset, time, data)

    @rule(number=st.integers(0, 5), key=st.integers(0, 1))
    def append_and_read(self, number, key):
        """A claim of its own tells a reader how old the gap is at least."""
        self.read_on(number)
        reader = self.readers[number % len(self.readers)]
        skips = reader.skips
        self.claim(key, "abc"[number % 3], "gh"[number % 2])
        self.read_on(number)
        reader.confirm_retention(self.now, skips)

    @rule(number=st.integers(0, 5))
    def run_winners(self, number):
        reader = self.readers[number % len(self.readers)]
        for entry in sorted(self.asked - self.released):
            if reader.get_verdict(entry).verdict is Verdict.WON:
                earlier = self.ran.setdefault(entry.key, entry)
                assert earlier == entry

    @invariant()
    def late_readers_agree_or_know_that_they_do_not_know(self):
        whole = self.readers[0]
        for reader in self.readers[1:]:
            if reader.next != whole.next:
                continue
            for entry in self.asked:
                verdict = reader.get_verdict(entry)
                if verdict.verdict is not Verdict.GAP:
                    assert verdict == whole.get_verdict(entry)


class Gapless(Claims):
    """Assumes that records which it has not read contain no claim."""

    def _covers(self, made):
        return True


class GaplessMachine(ClaimMachine):
    """The same with a mechanism taken out."""

    kind = Gapless


SETTINGS = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=50,
    deadline=None,
    database=None,
    print_blob=False,
)


# The test needs any counterexample, not a short one, so there is no shrinking. The
# number of examples until the first one depends on the constants of all loaded
# modules.
MUTANT_SETTINGS = settings(
    SETTINGS, max_examples=2000, phases=[Phase.generate], report_multiple_bugs=False
)


class ClaimTest(unittest.TestCase):
    def test_readers_agree(self):
        run_state_machine_as_test(ClaimMachine, settings=SETTINGS)

    def test_readers_that_ignore_gaps_do_not_agree(self):
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(GaplessMachine, settings=MUTANT_SETTINGS)


if __name__ == "__main__":
    unittest.main()
