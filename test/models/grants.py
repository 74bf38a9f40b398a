"""Trial of grant policies: how many whole requests does one budget save?

Each call of a request tree is refused by its endpoint with some probability, by
itself, and its answer is lost with another; a retry meets another endpoint with
the same probabilities. A lost answer returns no retries. A request is whole when
every call of its tree is answered in the end. Calls below one service go out one
after the other or all at once. Run it with::

    python -m test.models.grants
"""

import random
from typing import NamedTuple

from whinwinch import retries
from whinwinch.retries import Ledger

FOREVER = 1.0
REQUESTS = 1_000
SEED = 7


class Shape(NamedTuple):
    """Shape of a request tree.

    Attributes:
        depth: Hops below the entry.
        fan_out: Calls of each service to the next level.
        together: Whether the calls of one service go out all at once.
    """

    depth: int
    fan_out: int
    together: bool


class Failure(NamedTuple):
    """How often calls fail.

    Attributes:
        refused: Probability that an endpoint refuses a call.
        lost: Probability that its answer is lost.
    """

    refused: float
    lost: float


class Trial(NamedTuple):
    """What one trial varies.

    Attributes:
        shape: `Shape` of the trees.
        policy: Function that decides on grants.
        refuse: Function that draws whether an endpoint refuses a call.
        lose: Function that draws whether an answer is lost.
    """

    shape: Shape
    policy: object
    refuse: object
    lose: object


class Result(NamedTuple):
    """The end of one attempt.

    Attributes:
        whole: Whether it and all below it were answered.
        deeper: Whether it failed further down.
        unused: Retries returned.
        spent: Retries made below it.
    """

    whole: bool
    deeper: bool
    unused: int
    spent: int


FAILURES = (Failure(0.02, 0.0), Failure(0.02, 0.005), Failure(0.0, 0.01))

SHAPES = (
    Shape(depth=16, fan_out=1, together=False),
    Shape(depth=3, fan_out=3, together=False),
    Shape(depth=3, fan_out=3, together=True),
    Shape(depth=2, fan_out=8, together=True),
)


def make_policies(shape):
    """Return the policies of the trial by name."""
    return {
        "half": retries.grant_half,
        "half up": lambda context: (context.remaining + 1) // 2,
        "all": lambda context: context.remaining,
        "but one": lambda context: context.remaining - (context.remaining > 1),
        "most": retries.grant_all_but_one,
        "even": lambda context: context.remaining // (shape.fan_out + 1),
    }


def run_attempt(trial, held, depth, name):
    """Return the `Result` of an attempt at a service of a depth."""
    if trial.refuse():
        return Result(False, False, held, 0)
    if depth == trial.shape.depth:
        lost = trial.lose()
        return Result(not lost, False, 0 if lost else held, 0)
    ledger = Ledger(trial.policy)
    ledger.open(name, held, FOREVER)
    children = [f"{name}.{number}" for number in range(trial.shape.fan_out)]
    run = run_together if trial.shape.together else run_in_turn
    whole, spent = run(trial, ledger, name, children, depth)
    if trial.lose():
        return Result(False, False, 0, spent)
    return Result(whole, not whole, ledger.close(name), spent)


def run_in_turn(trial, ledger, name, children, depth):
    """Make the calls one after the other; the first failure ends them.

    Returns:
        Whether all were answered in the end, and the retries made.
    """
    spent = 0
    for child in children:
        granted = ledger.grant(name, child)
        result = run_attempt(trial, granted, depth + 1, child)
        answered, used = finish(trial, ledger, name, child, result, depth)
        spent += used
        if not answered:
            return False, spent
    return True, spent


def run_together(trial, ledger, name, children, depth):
    """Make all calls at once; refusals come back before other answers.

    Returns:
        Whether all were answered in the end, and the retries made.
    """
    grants = [ledger.grant(name, child) for child in children]
    results = [
        run_attempt(trial, granted, depth + 1, child)
        for child, granted in zip(children, grants, strict=True)
    ]
    ends = sorted(zip(results, children, strict=True), key=is_slow)
    whole = True
    spent = 0
    for result, child in ends:
        answered, used = finish(trial, ledger, name, child, result, depth)
        whole = whole and answered
        spent += used
    return whole, spent


def is_slow(end):
    """Return whether a pair of result and child isn't a refusal at the child."""
    result, _ = end
    return result.whole or result.deeper


def finish(trial, ledger, name, child, result, depth):
    """Take in an answer and retry while it is of use.

    Returns:
        Whether the call was answered in the end, and the retries made.
    """
    spent = result.spent
    attempt = child
    while True:
        ledger.return_unused(attempt, result.unused)
        if result.whole or result.deeper or not ledger.try_spend(name):
            return result.whole, spent
        attempt = f"{attempt}r"
        granted = ledger.grant(name, attempt)
        result = run_attempt(trial, granted, depth + 1, attempt)
        spent += 1 + result.spent


def measure(shape, policy, budget, failure, seed=SEED, requests=REQUESTS):
    """Return the share of whole requests and the most retries one caused."""
    generator = random.Random(seed)

    def refuse():
        return generator.random() < failure.refused

    def lose():
        return generator.random() < failure.lost

    trial = Trial(shape, policy, refuse, lose)
    whole = 0
    most = 0
    for _ in range(requests):
        # The entry makes one call, so there is nothing to share.
        ledger = Ledger(retries.grant_all_but_one)
        ledger.open("r", budget, FOREVER)
        answered, spent = run_in_turn(trial, ledger, "r", ["r.0"], -1)
        whole += answered
        most = max(most, spent)
    return whole / requests, most


def main():
    """Print one line for each shape, probability and budget."""
    for shape in SHAPES:
        policies = make_policies(shape)
        print(shape)
        print("  refused  lost budget " + " ".join(f"{name:>8}" for name in policies))
        for failure in FAILURES:
            for budget in (0, 1, 3, 6):
                shares = [
                    measure(shape, policy, budget, failure)[0]
                    for policy in policies.values()
                ]
                row = " ".join(f"{share:8.3f}" for share in shares)
                print(f"  {failure.refused:7} {failure.lost:5} {budget:6} {row}")


if __name__ == "__main__":
    main()
