"""Simulation of grant policies: how many requests complete with one retry budget.

Each call of a request tree is refused by its endpoint with one probability, and its
answer is lost with another one, independently of other calls; a retry goes to another
endpoint with the same probabilities. A lost answer returns no retries. A request
completes if every call of its tree is answered in the end. The calls of one service
are sequential or concurrent. Run it with::

    python -m test.models.grants
"""

import random
from typing import NamedTuple

from whinwinch import retries
from whinwinch.retries import Ledger

# Expiry time in seconds; the clock of the simulation stays at 0.
EXPIRES = 1.0
REQUESTS = 1_000
SEED = 7


class Shape(NamedTuple):
    """Shape of a request tree.

    Attributes:
        depth: Levels of calls below the service that the entry daemon calls.
        fan_out: Number of calls that each service makes to the next level.
        concurrent: Whether the calls of one service are made concurrently.
    """

    depth: int
    fan_out: int
    concurrent: bool


class Failure(NamedTuple):
    """Probabilities that a call fails.

    Attributes:
        refused: Probability that an endpoint refuses a call.
        lost: Probability that the answer of a call is lost.
    """

    refused: float
    lost: float


class Trial(NamedTuple):
    """Parameters of one simulation.

    Attributes:
        shape: `Shape` of the trees.
        policy: Grant policy, a function of a `GrantContext`.
        refuse: Function that draws whether an endpoint refuses a call.
        lose: Function that draws whether an answer is lost.
    """

    shape: Shape
    policy: object
    refuse: object
    lose: object


class Result(NamedTuple):
    """Result of one attempt.

    Attributes:
        complete: Whether the attempt and all its nested calls were answered.
        failed_deeper: Whether a nested call failed further down the call graph.
        unused: Retries that the answer returned.
        spent: Retries of nested calls.
    """

    complete: bool
    failed_deeper: bool
    unused: int
    spent: int


FAILURES = (Failure(0.02, 0.0), Failure(0.02, 0.005), Failure(0.0, 0.01))

SHAPES = (
    Shape(depth=16, fan_out=1, concurrent=False),
    Shape(depth=3, fan_out=3, concurrent=False),
    Shape(depth=3, fan_out=3, concurrent=True),
    Shape(depth=2, fan_out=8, concurrent=True),
)


def make_policies(shape):
    """Return the simulated grant policies by name."""
    return {
        "half": retries.grant_half,
        "half up": lambda context: (context.remaining + 1) // 2,
        "all": lambda context: context.remaining,
        "but one": lambda context: context.remaining - (context.remaining > 1),
        "most": retries.grant_all_but_one,
        "even": lambda context: context.remaining // (shape.fan_out + 1),
    }


def run_attempt(trial, granted, depth, name):
    """Simulate an attempt at a service of the given depth; return its `Result`."""
    if trial.refuse():
        return Result(False, False, granted, 0)
    if depth == trial.shape.depth:
        lost = trial.lose()
        return Result(not lost, False, 0 if lost else granted, 0)
    ledger = Ledger(trial.policy)
    ledger.open(name, granted, EXPIRES)
    children = [f"{name}.{number}" for number in range(trial.shape.fan_out)]
    run = run_concurrently if trial.shape.concurrent else run_sequentially
    complete, spent = run(trial, ledger, name, children, depth)
    if trial.lose():
        return Result(False, False, 0, spent)
    return Result(complete, not complete, ledger.close(name), spent)


def run_sequentially(trial, ledger, name, children, depth):
    """Make the calls sequentially until one of them fails.

    Returns:
        Whether all calls were answered in the end, and the number of retries.
    """
    spent = 0
    for child in children:
        granted = ledger.grant(name, child)
        result = run_attempt(trial, granted, depth + 1, child)
        answered, used = retry_until_final(trial, ledger, name, child, result, depth)
        spent += used
        if not answered:
            return False, spent
    return True, spent


def run_concurrently(trial, ledger, name, children, depth):
    """Make all calls concurrently; refusals arrive before other answers.

    Returns:
        Whether all calls were answered in the end, and the number of retries.
    """
    grants = [ledger.grant(name, child) for child in children]
    results = [
        run_attempt(trial, granted, depth + 1, child)
        for child, granted in zip(children, grants, strict=True)
    ]
    results_by_child = sorted(zip(results, children, strict=True), key=is_not_refusal)
    complete = True
    spent = 0
    for result, child in results_by_child:
        answered, used = retry_until_final(trial, ledger, name, child, result, depth)
        complete = complete and answered
        spent += used
    return complete, spent


def is_not_refusal(result_of_child):
    """Return whether the result in a (result, child) pair isn't the child's refusal."""
    result, _ = result_of_child
    return result.complete or result.failed_deeper


def retry_until_final(trial, ledger, name, child, result, depth):
    """Apply the result of an attempt and retry it while that may help.

    Returns:
        Whether the call was answered in the end, and the number of retries.
    """
    spent = result.spent
    attempt = child
    while True:
        ledger.return_unused(attempt, result.unused)
        if result.complete or result.failed_deeper or not ledger.try_spend(name):
            return result.complete, spent
        attempt = f"{attempt}r"
        granted = ledger.grant(name, attempt)
        result = run_attempt(trial, granted, depth + 1, attempt)
        spent += 1 + result.spent


def measure(shape, policy, budget, failure, seed=SEED, requests=REQUESTS):
    """Return the share of complete requests and the maximum retries of a request."""
    generator = random.Random(seed)

    def refuse():
        return generator.random() < failure.refused

    def lose():
        return generator.random() < failure.lost

    trial = Trial(shape, policy, refuse, lose)
    complete = 0
    max_spent = 0
    for _ in range(requests):
        # The entry daemon makes one call, so it doesn't have to divide its budget.
        ledger = Ledger(retries.grant_all_but_one)
        ledger.open("r", budget, EXPIRES)
        answered, spent = run_sequentially(trial, ledger, "r", ["r.0"], -1)
        complete += answered
        max_spent = max(max_spent, spent)
    return complete / requests, max_spent


def main():
    """Print one line for each tree shape, failure probability and budget."""
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
