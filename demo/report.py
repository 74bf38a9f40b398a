"""What the demo prints of a phase, and which promises the phase broke."""

import itertools
import json
import math
from collections import Counter
from typing import NamedTuple

from standins import trace

# Rows of the table, the most important first.
ROWS = tuple(reversed(trace.IMPORTANCES))
COLUMNS = ("whole", "failed", "not run", "unknown")
BY_OUTCOME = {"completed": "failed", "not-run": "not run", "unknown": "unknown"}
# A caller that sends later than this after the due time was short of threads,
# and the load was less than meant.
LATE = 0.25
# Above this share of late sends the table shows the machine, not the mesh: on an
# idle machine of 8 cores hardly any is late, beside other work half of them were.
MACHINE_BOUND = 0.05
# A fault or two among the few most important requests is no upset order.
SLACK = 0.02


class Promise(NamedTuple):
    """One promise and how often it was broken.

    Attributes:
        text: What was promised.
        broken: Times it was broken.
        example: Request or key of one of these, or "".
    """

    text: str
    broken: int
    example: str = ""


def judge_result(result):
    """Return the column of a request: what its caller knows in the end.

    A request refused in the end isn't "not run" if an earlier time it was
    asked ended in "unknown": that time it may have run.
    """
    if any(sent.succeeded for sent in result.sent):
        return "whole"
    outcomes = {sent.outcome for sent in result.sent}
    for outcome in ("unknown", "completed", "not-run"):
        if outcome in outcomes:
            return BY_OUTCOME[outcome]
    return "unknown"


def form_table(title, results, seconds):
    """Return the lines of a phase's table, a row for each importance."""
    counts = Counter((result.importance, judge_result(result)) for result in results)
    lines = [title, form_row("importance", ["asked", *COLUMNS, "whole %", "whole/s"])]
    for row in (*ROWS, "all"):
        rows = ROWS if row == "all" else (row,)
        cells = [sum(counts[each, column] for each in rows) for column in COLUMNS]
        lines.append(form_row(row, form_cells(cells, seconds)))
    return lines


def form_cells(cells, seconds):
    """Return a row's cells: the sum, the columns, the share and rate of whole."""
    asked = sum(cells)
    share = f"{100 * cells[0] / asked:.1f}" if asked else "-"
    return [asked, *cells, share, f"{cells[0] / seconds:.1f}"]


def form_row(name, cells):
    """Return one line of a table."""
    return f"  {name:<11}" + "".join(f"{cell:>10}" for cell in cells)


def form_notes(results):
    """Return lines on the callers' side: times asked, latency, lateness."""
    sent = [each for result in results for each in result.sent]
    late = sum(result.late > LATE for result in results)
    whole = [result.latency for result in results if judge_result(result) == "whole"]
    reasons = Counter(each.reason for each in sent if each.reason not in ("", "none"))
    listed = ", ".join(f"{name} {count}" for name, count in reasons.most_common(6))
    lines = [
        f"  sent {len(sent)} times; most retries caused by one request: "
        f"{max((each.retries for each in sent), default=0)}",
        f"  whole requests: median {find_quantile(whole, 0.5) * 1000:.0f} ms, "
        f"p99 {find_quantile(whole, 0.99) * 1000:.0f} ms from due to whole answer",
        f"  reasons: {listed or 'none'}",
    ]
    if late:
        lines.append(f"  sent more than {LATE} s late, for want of threads: {late}")
    if late > MACHINE_BOUND * len(results):
        lines.append(
            "  this machine was the limit, not the mesh: of this phase only the "
            "promises below say anything"
        )
    return lines


def find_quantile(values, share):
    """Return the smallest value that `share` of all values don't exceed."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def check_promises(results, by_key, by_request, budgets):
    """Hold what callers were told against what the backend servers ran.

    `check_order` adds the promise that holds under overload.

    Args:
        results: `caller.Result` of every request.
        by_key: Runs by idempotency key, over all backend servers.
        by_request: Runs by request identifier, over all backend servers.
        budgets: Retry budget by service.

    Returns:
        A list of `Promise`.
    """
    sent = [(result, each) for result in results for each in result.sent]
    keyed = [result for result in results if result.key]
    return [
        count_broken(
            "payouts run twice",
            [each.key for each in keyed if by_key.get(each.key, 0) > 1],
        ),
        count_broken(
            "payouts reported whole that never ran",
            [
                each.key
                for each in keyed
                if judge_result(each) == "whole" and not by_key.get(each.key)
            ],
        ),
        count_broken(
            "requests reported as not run that ran",
            [
                each.request
                for _, each in sent
                if each.outcome == "not-run" and by_request.get(each.request)
            ],
        ),
        count_broken(
            "requests that caused more retries than their budget",
            [
                each.request
                for result, each in sent
                if each.retries > budgets[result.service]
            ],
        ),
        count_broken(
            "answers that weren't whole or another's",
            [
                each.request
                for _, each in sent
                if (each.outcome, each.status) == ("completed", 200) and not each.whole
            ],
        ),
    ]


def check_order(results, service):
    """Check that the more important work completes the larger share.

    Only requests that need the overloaded service are compared: what goes
    elsewhere completes whatever its importance.

    Args:
        results: `caller.Result` of every request.
        service: Name of the service that is overloaded.

    Returns:
        A `Promise`.
    """
    shares = []
    for row in ROWS:
        columns = [
            judge_result(result)
            for result in results
            if result.importance == row and needs_service(result, service)
        ]
        if columns:
            shares.append((row, columns.count("whole") / len(columns)))
    upset = [
        f"{lower} above {upper}"
        for (upper, more), (lower, less) in itertools.pairwise(shares)
        if less > more + SLACK
    ]
    return count_broken("less important work that was served before more", upset)


def form_goodput(results, service, capacity, seconds):
    """Return a line on the whole requests that needed a service."""
    whole = sum(
        needs_service(result, service) and judge_result(result) == "whole"
        for result in results
    )
    return (
        f"  whole requests that needed {service}: {whole / seconds:.1f}/s "
        f"of the {capacity:.0f}/s that it can carry"
    )


def needs_service(result, service):
    """Return whether a request calls a service, at any depth."""
    calls = [call.partition("/")[0] for call in result.next.split(",")]
    return service in (result.service, *calls)


def count_broken(text, examples):
    """Return a `Promise` from what broke it."""
    return Promise(text, len(examples), examples[0] if examples else "")


def form_promises(promises):
    """Return a line for each promise."""
    return [
        f"  {promise.text}: {promise.broken}"
        + (f" (BROKEN, e.g. {promise.example})" if promise.broken else "")
        for promise in promises
    ]


def read_budgets(path):
    """Return the retry budget of each service from a file of resources."""
    resources = json.loads(path.read_text())
    return {each["name"]: each["spec"]["retry_budget"] for each in resources}


def form_latency(direct, added):
    """Return lines that compare a chain with and without daemons.

    Args:
        direct: Seconds of each chain without daemons.
        added: Seconds of each chain through daemons.
    """
    lines = [form_row("chain", ["median ms", "p99 ms"])]
    quantiles = {}
    for name, values in (("direct", direct), ("daemons", added)):
        quantiles[name] = [1000 * find_quantile(values, at) for at in (0.5, 0.99)]
        cells = [f"{value:.2f}" for value in quantiles[name]]
        lines.append(form_row(name, cells))
    pairs = tuple(zip(quantiles["direct"], quantiles["daemons"], strict=True))
    lines.append(
        form_row("added", [f"{after - before:.2f}" for before, after in pairs])
    )
    lines.append(
        form_row("ratio", [f"{after / before:.2f}" for before, after in pairs])
    )
    return lines
