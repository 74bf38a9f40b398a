"""What must always hold of a play, from what callers and backend servers saw."""

import collections
from typing import NamedTuple

from . import caller

MOST_ENDPOINTS = 2


class Broken(NamedTuple):
    """A promise that was broken: which one, and what was seen."""

    promise: str
    seen: str


class Seen(NamedTuple):
    """What was seen of a play.

    Attributes:
        told: `caller.Told` of all requests.
        servers: `backend.Backend` objects.
        left: `troubles.Left` objects.
        terms: `repeats.RepeatLimits` in force.
    """

    told: tuple
    servers: tuple
    left: tuple
    terms: object


def find_broken(seen):
    """Return a `Broken` for each promise that didn't hold."""
    runs = collections.Counter()
    unsafe = set()
    for server in seen.servers:
        for run in server.runs:
            runs[run.request] += 1
            if run.method != "GET":
                unsafe.add(run.request)
    return [
        *_check_once(runs, unsafe),
        *_check_refusals(runs, seen.told),
        *_check_answers(seen.told),
        *_check_attempts(runs),
        *_check_asked(runs, seen),
        *_check_callers(seen.servers),
        *_check_left(seen.left),
        *_check_repeats(seen.servers, seen.terms),
    ]


def _check_once(runs, unsafe):
    """Yield what ran twice though it must not be repeated."""
    for request in sorted(unsafe):
        if runs[request] > 1:
            yield Broken(
                "unsafe work runs once", f"{request} ran {runs[request]} times"
            )


def _check_refusals(runs, told):
    """Yield what was told not to have run, and did."""
    for each in told:
        for request, status in zip(each.requests, each.statuses, strict=True):
            if status in caller.PROMISES and runs[request]:
                yield Broken("refused work has not run", f"{request} told {status}")


def _check_answers(told):
    """Yield successes that aren't the whole answer to their request."""
    for each in told:
        if each.statuses[-1] == 200 and not each.whole:
            yield Broken("answers are whole and the caller's own", each.requests[-1])


def _check_attempts(runs):
    """Yield requests that ran at more endpoints than their route allows."""
    for request, count in runs.items():
        if count > MOST_ENDPOINTS:
            yield Broken("attempts are bounded", f"{request} ran {count} times")


def _check_asked(runs, seen):
    """Yield runs of requests that nobody sent."""
    sent = {request for each in seen.told for request in each.requests}
    for server in seen.servers:
        sent.update(server.parents)
    for request in sorted(runs.keys() - sent):
        yield Broken("only what was asked for runs", request)


def _check_callers(servers):
    """Yield calls that came under another service than the one that made them."""
    makers = {call: s.service for s in servers for call in s.parents}
    for server in servers:
        for run in server.runs:
            maker = makers.get(run.request)
            if maker is not None and run.caller != maker:
                text = f"{run.request} of {maker} came as of {run.caller}"
                yield Broken("calls name the service that makes them", text)


def _check_left(left):
    """Yield backend servers that got work after the time allowed for draining."""
    for each in left:
        later = len(each.server.runs) - (each.runs or 0)
        if each.runs is not None and later:
            text = f"{each.server.identity} got {later} requests"
            yield Broken("a leaving backend server gets nothing more", text)


def _check_repeats(servers, terms):
    """Yield services that got more repeats than the operator allows.

    One window's slack has to do for the whole play, which may last longer: never more
    than operators allow.
    """
    by_service = collections.defaultdict(collections.Counter)
    for server in servers:
        by_service[server.service].update(run.request for run in server.runs)
    for service, counts in sorted(by_service.items()):
        beyond = counts.total() - len(counts)
        allowed = terms.ratio * len(counts) + terms.slack
        if beyond > allowed:
            text = f"{service}: {beyond} repeats of {len(counts)} requests"
            yield Broken("repeats stay within the budget", text)
