"""Tests that random call trees up to sixteen levels deep keep their retry budget."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from whinwinch.retries import Ledger

DEPTH = 16
FOREVER = 1e9


class Node:
    """An attempt at the daemon that processes it.

    Attributes:
        name: Name of the attempt.
        parent: Node of the attempt that made this call, or None for the root.
        ledger: The daemon's ledger.
        granted: Retries granted to the attempt.
        calls: Number of nested attempts that it has made.
        reply: Retries that its answer returns, or None before it is answered.
        restarted: Whether the daemon has restarted since the attempt was sent.
    """

    def __init__(self, name, parent, granted):
        self.name = name
        self.parent = parent
        self.ledger = Ledger()
        self.ledger.open(name, granted, FOREVER)
        self.granted = granted
        self.calls = 0
        self.reply = None
        self.restarted = False

    @property
    def depth(self):
        return self.name.count(".")


class LedgerMachine(RuleBasedStateMachine):
    """Calls, retries, answers, losses, copies and restarts in any order."""

    def __init__(self):
        super().__init__()
        self.budget = 0
        self.retries = 0
        self.nodes = []

    @initialize(budget=st.integers(0, 6))
    def start(self, budget):
        self.budget = budget
        self.nodes = [Node("r", None, budget)]

    def pick(self, number):
        return self.nodes[number % len(self.nodes)]

    @rule(number=st.integers(0, 10**6), retry=st.booleans())
    def call(self, number, retry):
        node = self.pick(number)
        if node.depth == DEPTH:
            return
        if retry and not node.ledger.try_spend(node.name):
            return
        self.retries += retry
        self.add_child(node)

    @rule(levels=st.integers(1, 8), width=st.integers(1, 3))
    def call_deeper(self, levels, width):
        """Call on from the deepest attempt, so that trees get deep."""
        deepest = max(self.nodes, key=lambda node: node.depth)
        for _ in range(min(levels, DEPTH - deepest.depth)):
            for _ in range(width):
                self.add_child(deepest)
            deepest = self.nodes[-1]

    def add_child(self, node):
        name = f"{node.name}.{node.calls}"
        node.calls += 1
        granted = node.ledger.grant(node.name, name)
        self.nodes.append(Node(name, node, granted))

    @rule(number=st.integers(0, 10**6))
    def answer(self, number):
        """The answer is made; whether it arrives is another step."""
        node = self.pick(number)
        unused = node.ledger.close(node.name)
        if node.reply is None:
            node.reply = unused

    @rule(number=st.integers(0, 10**6), copies=st.integers(1, 2))
    def deliver(self, number, copies):
        node = self.pick(number)
        if node.parent is None or node.reply is None:
            return
        for _ in range(copies):
            node.parent.ledger.return_unused(node.name, node.reply)

    @rule(number=st.integers(0, 10**6))
    def deliver_request_again(self, number):
        """A copy names the incarnation it is meant for; to another it grants 0."""
        node = self.pick(number)
        granted = 0 if node.restarted else node.granted
        node.ledger.open(node.name, granted, FOREVER)

    @rule(number=st.integers(0, 10**6))
    def restart(self, number):
        node = self.pick(number)
        node.ledger = Ledger()
        node.restarted = True

    @precondition(lambda self: self.nodes)
    @invariant()
    def keeps_the_bound(self):
        held = sum(node.ledger.get_remaining(node.name) for node in self.nodes)
        assert self.retries + held <= self.budget


LedgerMachine.TestCase.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=50, deadline=None
)
LedgerTest = LedgerMachine.TestCase


if __name__ == "__main__":
    unittest.main()
