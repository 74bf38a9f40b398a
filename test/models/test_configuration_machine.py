"""Tests that random configuration histories match a plain dictionary."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from whinwinch import configuration
from whinwinch.configuration import Change, Configuration

NAMES = st.sampled_from(["catalog", "royalties"])


class ConfigurationMachine(RuleBasedStateMachine):
    """Changes, copies, noise, snapshots and restarts in any order.

    `current` is the model: name to pair of version and body. The first reader
    never stops; the second falls behind, starts anew and is handed snapshots.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.current = {}
        self.seen = set()
        self.steady = Configuration()
        self.other = Configuration()
        self.snapshots = []
        self.version = 0

    def write(self, data):
        offset = len(self.log)
        self.log.append(data)
        return self.steady.apply(offset, float(offset), data)

    @rule(
        name=NAMES,
        number=st.integers(0, 12),
        offset=st.integers(0, 40),
        delete=st.booleans(),
        fresh=st.booleans(),
    )
    def change(self, name, number, offset, delete, fresh):
        version, _ = self.current.get(name, (0, None))
        replaces = version if fresh else offset
        body = None if delete else {"n": number}
        change_id = f"c{number}"
        change = Change(change_id, "service", name, replaces, body, "ana", "")
        applied = self.write(configuration.encode_change(change))
        wanted = change_id not in self.seen and replaces == version
        wanted = wanted and (version or not delete)
        if change_id not in self.seen:
            assert applied.accepted == bool(wanted)
        self.seen.add(change_id)
        if wanted and delete:
            del self.current[name]
        elif wanted:
            self.current[name] = (len(self.log), body)

    @rule(data=st.binary(max_size=8))
    def write_noise(self, data):
        assert not self.write(data).accepted

    @rule()
    def take_snapshot(self):
        if self.steady.offset:
            self.snapshots.append(self.steady.encode_snapshot())

    @rule(number=st.integers(0, 100))
    def write_snapshot(self, number):
        if self.snapshots:
            self.write(self.snapshots[number % len(self.snapshots)])

    @rule(number=st.integers(0, 100))
    def hand_on_snapshot(self, number):
        if self.snapshots:
            self.other.install(self.snapshots[number % len(self.snapshots)])

    @rule(count=st.integers(1, 5))
    def read_on(self, count):
        for offset in range(self.other.offset, len(self.log))[:count]:
            self.other.apply(offset, float(offset), self.log[offset])

    @rule()
    def restart(self):
        self.other = Configuration()
        self.version = 0

    @invariant()
    def matches_the_model(self):
        found = {
            resource.name: (resource.version, resource.body)
            for resource in self.steady.resources()
        }
        assert found == self.current

    @invariant()
    def never_reverts(self):
        assert self.other.version >= self.version
        self.version = self.other.version

    @invariant()
    def agrees_once_it_has_read_as_far(self):
        if self.other.offset == self.steady.offset:
            assert self.other.take_snapshot() == self.steady.take_snapshot()

    @invariant()
    def tells_every_change(self):
        events = self.steady.changes_since(0)
        told = {}
        for event in events:
            told[event.name] = event.resource
        assert {name for name, found in told.items() if found} == set(self.current)


ConfigurationMachine.TestCase.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
ConfigurationTest = ConfigurationMachine.TestCase


if __name__ == "__main__":
    unittest.main()
