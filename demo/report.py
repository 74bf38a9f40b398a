"""Reports of a phase of the demo and checks of the guarantees to callers."""

import itertools
import json
import math
from collections import Counter
from typing import NamedTuple

from standins import trace

# Rows of the table by importance, in descending order.
ROWS = tuple(reversed(trace.IMPORTANCES))
COLUMNS = ("whole", "failed", "not run", "unknown")
COLUMN_BY_OUTCOME = {"completed": "failed", "not-run": "not run", "unknown": "unknown"}
# Seconds after its due time from which a request counts as sent late: the caller
# had no free thread, and the load was lower than intended.
LATE_THRESHOLD = 0.25
# Above this share of late requests the table shows the limits of the machine instead
# of those of the mesh. On an idle machine of 8 cores hardly any request is late, next
# to other work half of them are.
MAX_LATE_SHARE = 0.05
# Tolerated difference of the shares of two importances: one or two failures among
# the few most important requests don't violate the order.
SHARE_TOLERANCE = 0.02


class Guarantee(NamedTuple):
    """A guarantee and the number of its violations.

    Attributes:
        text: Description of a violation.
        violations: Number of violations.
        example: Request identifier or idempotency key of one violation, "" for
            none.
    """

    text: str
    violations: int
    example: str = ""


def classify_result(result):
    """Return the column of a request, the outcome as far as its caller knows.

    A request whose last attempt was refused isn't "not run" if an earlier
    attempt has the outcome "unknown": that attempt may have run.
    """
    if any(sent.succeeded for sent in result.sent):
        return "whole"
    outcomes = {sent.outcome for sent in result.sent}
    for outcome in ("unknown", "completed", "not-run"):
        if outcome in outcomes:
            return COLUMN_BY_OUTCOME[outcome]
    return "unknown"


def format_table(title, results, seconds):
    """Return the lines of a phase's table, with a row for each importance."""
    counts = Counter((result.importance, classify_result(result)) for result in results)
    lines = [title, format_row("importance", ["asked", *COLUMNS, "whole %", "whole/s"])]
    for row in (*ROWS, "all"):
        rows = ROWS if row == "all" else (row,)
        cells = [sum(counts[each, column] for each in rows) for column in COLUMNS]
        lines.append(format_row(row, format_cells(cells, seconds)))
    return lines


def format_cells(cells, seconds):
    """Return a row's cells: the total, `COLUMNS`, share and rate of whole requests."""
    asked = sum(cells)
    share = f"{100 * cells[0] / asked:.1f}" if asked else "-"
    return [asked, *cells, share, f"{cells[0] / seconds:.1f}"]


def format_row(name, cells):
    """Return a formatted line of a table."""
    return f"  {name:<11}" + "".join(f"{cell:>10}" for cell in cells)


def format_notes(results):
    """Return lines on attempts, retries, latency, reasons and late requests."""
    sent = [each for result in results for each in result.sent]
    late = sum(result.late > LATE_THRESHOLD for result in results)
    whole = [result.latency for result in results if classify_result(result) == "whole"]
    reasons = Counter(each.reason for each in sent if each.reason not in ("", "none"))
    listed = ", ".join(f"{name} {count}" for name, count in reasons.most_common(6))
    lines = [
        f"  sent {len(sent)} times; most retries caused by one request: "
        f"{max((each.retries for each in sent), default=0)}",
        f"  whole requests: median {find_quantile(whole, 0.5) * 1000:.0f} ms, "
        f"p99 {find_quantile(whole, 0.99) * 1000:.0f} ms from due time to response",
        f"  reasons: {listed or 'none'}",
    ]
    if late:
        lines.append(
            f"  sent more than {LATE_THRESHOLD} s late, all threads busy: {late}"
        )
    if late > MAX_LATE_SHARE * len(results):
        lines.append(
            "  this machine was the limit, not the mesh: in this phase only the "
            "guarantees below are meaningful"
        )
    return lines


def find_quantile(values, share):
    """Return the smallest value that is not exceeded by `share` of the values."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def check_guarantees(results, by_key, by_request, budgets):
    """Compare the outcomes reported to callers with the backend servers' counts.

    The guarantee under overload is checked by `check_order`.

    Args:
        results: `caller.Result` of every request.
        by_key: Executions by idempotency key, over all backend servers.
        by_request: Executions by request identifier, over all backend servers.
        budgets: Retry budget by service name.

    Returns:
        A list of `Guarantee`.
    """
    sent = [(result, each) for result in results for each in result.sent]
    keyed = [result for result in results if result.key]
    return [
        count_violations(
            "payouts run twice",
            [each.key for each in keyed if by_key.get(each.key, 0) > 1],
        ),
        count_violations(
            "payouts reported whole that never ran",
            [
                each.key
                for each in keyed
                if classify_result(each) == "whole" and not by_key.get(each.key)
            ],
        ),
        count_violations(
            "requests reported as not run that ran",
            [
                each.request
                for _, each in sent
                if each.outcome == "not-run" and by_request.get(each.request)
            ],
        ),
        count_violations(
            "requests that caused more retries than their budget",
            [
                each.request
                for result, each in sent
                if each.retries > budgets[result.service]
            ],
        ),
        count_violations(
            "answers that were incomplete or another request's",
            [
                each.request
                for _, each in sent
                if (each.outcome, each.status) == ("completed", 200) and not each.whole
            ],
        ),
    ]


def check_order(results, service):
    """Check that more important requests complete with a higher share.

    Only requests that need the overloaded service are compared: others complete
    whatever their importance.

    Args:
        results: `caller.Result` of every request.
        service: Name of the service that is overloaded.

    Returns:
        A `Guarantee`.
    """
    shares = []
    for row in ROWS:
        columns = [
            classify_result(result)
            for result in results
            if result.importance == row and needs_service(result, service)
        ]
        if columns:
            shares.append((row, columns.count("whole") / len(columns)))
    violated_pairs = [
        f"{lower} above {upper}"
        for (upper, upper_share), (lower, lower_share) in itertools.pairwise(shares)
        if lower_share > upper_share + SHARE_TOLERANCE
    ]
    return count_violations(
        "less important work that was preferred to more important work", violated_pairs
    )


def format_goodput(results, service, capacity, seconds):
    """Return a line with the rate of whole requests that needed a service."""
    whole = sum(
        needs_service(result, service) and classify_result(result) == "whole"
        for result in results
    )
    return (
        f"  whole requests that needed {service}: {whole / seconds:.1f}/s "
        f"of its capacity of {capacity:.0f}/s"
    )


def needs_service(result, service):
    """Return whether a request needs a service, itself or by a nested call."""
    calls = [call.partition("/")[0] for call in result.next.split(",")]
    return service in (result.service, *calls)


def count_violations(text, examples):
    """Return a `Guarantee` with its violations.

    Args:
        text: Description of a violation.
        examples: Request identifier or idempotency key of each violation.
    """
    return Guarantee(text, len(examples), examples[0] if examples else "")


def format_guarantees(guarantees):
    """Return a line for each guarantee."""
    return [
        f"  {guarantee.text}: {guarantee.violations}"
        + (f" (VIOLATED, e.g. {guarantee.example})" if guarantee.violations else "")
        for guarantee in guarantees
    ]


def read_budgets(path):
    """Return the retry budget of each service in a file of resources."""
    resources = json.loads(path.read_text())
    return {each["name"]: each["spec"]["retry_budget"] for each in resources}


def format_latency(direct, through_daemons):
    """Return lines that compare the latency of a chain with and without daemons.

    Args:
        direct: Latencies in seconds without daemons.
        through_daemons: Latencies in seconds through daemons.
    """
    lines = [format_row("chain", ["median ms", "p99 ms"])]
    quantiles = {}
    for name, values in (("direct", direct), ("daemons", through_daemons)):
        quantiles[name] = [1000 * find_quantile(values, at) for at in (0.5, 0.99)]
        cells = [f"{value:.2f}" for value in quantiles[name]]
        lines.append(format_row(name, cells))
    pairs = tuple(zip(quantiles["direct"], quantiles["daemons"], strict=True))
    lines.append(
        format_row("added", [f"{after - before:.2f}" for before, after in pairs])
    )
    lines.append(
        format_row("ratio", [f"{after / before:.2f}" for before, after in pairs])
    )
    return lines
