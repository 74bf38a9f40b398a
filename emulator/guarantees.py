"""Checks the guarantees on the observations of callers and backend servers."""

import collections
from typing import NamedTuple

from . import caller

MAX_ENDPOINTS = 2


class Violation(NamedTuple):
    """A guarantee that was violated, and the evidence as text."""

    guarantee: str
    details: str


class Observations(NamedTuple):
    """Observations of a scenario.

    Attributes:
        results: `caller.CallerResult` tuples of all requests.
        servers: `backend.Backend` objects.
        left: `disruptions.DrainingBackend` objects.
        terms: `repeats.RepeatLimits` in force.
        workspaces: Name of the workspace of each key that any configuration held.
        quotas: `workspaces.registry.Quota` by workspace, of those that have one.
        quota_terms: `workspaces.quotas.QuotaTerms` in force.
    """

    results: tuple
    servers: tuple
    left: tuple
    terms: object
    workspaces: dict[str, str] = {}
    quotas: dict = {}
    quota_terms: object = None


def find_violations(observations):
    """Return a `Violation` for each violation that the observations show."""
    runs = collections.Counter()
    unsafe = set()
    for server in observations.servers:
        for run in server.runs:
            runs[run.request] += 1
            if run.method != "GET":
                unsafe.add(run.request)
    return [
        *_check_once(runs, unsafe),
        *_check_refusals(runs, observations.results),
        *_check_answers(observations.results),
        *_check_attempts(runs),
        *_check_sent(runs, observations),
        *_check_callers(observations.servers),
        *_check_drained(observations.left),
        *_check_repeats(observations.servers, observations.terms),
        *_check_workspaces(observations),
        *_check_quotas(observations),
    ]


def _check_once(runs, unsafe):
    """Yield violations by requests that ran twice although repeating is unsafe."""
    for request in sorted(unsafe):
        if runs[request] > 1:
            yield Violation(
                "unsafe work runs once", f"{request} ran {runs[request]} times"
            )


def _check_refusals(runs, results):
    """Yield violations by requests that were reported as not run and did run."""
    for each in results:
        for request, status in zip(each.requests, each.statuses, strict=True):
            if status in caller.NOT_RUN_STATUSES and runs[request]:
                yield Violation("refused work has not run", f"{request} got {status}")


def _check_answers(results):
    """Yield violations by successes without the complete answer to their request."""
    for each in results:
        if each.statuses[-1] == 200 and not each.whole:
            yield Violation("answers are whole and the caller's own", each.requests[-1])


def _check_attempts(runs):
    """Yield violations by requests that ran more often than their route allows."""
    for request, count in runs.items():
        if count > MAX_ENDPOINTS:
            yield Violation("attempts are bounded", f"{request} ran {count} times")


def _check_sent(runs, observations):
    """Yield violations by runs of requests that no caller or backend server sent."""
    sent = {request for each in observations.results for request in each.requests}
    for server in observations.servers:
        sent.update(server.parents)
    for request in sorted(runs.keys() - sent):
        yield Violation("only requests that were sent run", request)


def _check_callers(servers):
    """Yield violations by calls attributed to a service that didn't make them."""
    calling_services = {call: s.service for s in servers for call in s.parents}
    for server in servers:
        for run in server.runs:
            calling_service = calling_services.get(run.request)
            if calling_service is not None and run.caller != calling_service:
                text = (
                    f"{run.request} of {calling_service} was attributed to {run.caller}"
                )
                yield Violation("calls name the service that makes them", text)


def _check_drained(left):
    """Yield violations by backend servers that got requests after the drain timeout."""
    for each in left:
        later = len(each.server.runs) - (each.runs or 0)
        if each.runs is not None and later:
            text = f"{each.server.identity} got {later} requests"
            yield Violation("a leaving backend server gets nothing more", text)


def _check_repeats(servers, terms):
    """Yield violations by services that got more repeats than their retry budget.

    The slack of a single window counts for the whole scenario, which may last longer:
    the check never allows more than the operator's limits do.
    """
    by_service = collections.defaultdict(collections.Counter)
    for server in servers:
        by_service[server.service].update(run.request for run in server.runs)
    for service, counts in sorted(by_service.items()):
        repeat_count = counts.total() - len(counts)
        allowed = terms.ratio * len(counts) + terms.slack
        if repeat_count > allowed:
            text = f"{service}: {repeat_count} repeats of {len(counts)} requests"
            yield Violation("repeats stay within the budget", text)


def _check_workspaces(observations):
    """Yield violations by runs under a wrong workspace or with a caller's key.

    Without workspaces both headers belong to caller and backend server.
    """
    if not observations.workspaces:
        return
    keys = {
        request: each.key for each in observations.results for request in each.requests
    }
    for server in observations.servers:
        for run in server.runs:
            expected = observations.workspaces.get(keys.get(run.request, ""), "")
            if run.workspace != expected:
                text = f"{run.request} ran for {run.workspace!r}, not {expected!r}"
                yield Violation("runs name the workspace that holds the key", text)
            if run.credentials:
                text = f"{run.request} reached {server.identity} with its key"
                yield Violation("keys don't reach backend servers", text)


def _check_quotas(observations):
    """Yield violations by workspaces of which too many requests ran in a window."""
    terms = observations.quota_terms
    for workspace, quota in sorted(observations.quotas.items()):
        within = quota.rate * terms.window + quota.burst
        allowed = within * (1.0 + terms.overage) + terms.slack
        # A request counts once, however many endpoints ran it.
        first_runs = {}
        for server in observations.servers:
            for run in server.runs:
                if run.workspace == workspace:
                    before = first_runs.get(run.request, run.time)
                    first_runs[run.request] = min(before, run.time)
        worst = _count_worst_window(sorted(first_runs.values()), terms.window)
        if worst > allowed:
            text = f"{worst} requests of {workspace} in a window, {allowed:.0f} allowed"
            yield Violation("quotas hold over all daemons", text)


def _count_worst_window(times, seconds):
    """Return the most of some ascending times within a window."""
    worst, first = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= seconds:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
