"""Retry budget, backoff, and the rules for when a request is retried.

Load pattern: a service deep in the call graph slows down or refuses requests, and
each hop above it would retry. Without a shared budget, three tries at each of five
hops cause 243 calls to the deepest service, and the overload sustains itself long
after its cause has gone.

The root request carries a number of retries. A daemon that makes a nested call moves
part of the attempt's budget to the child attempt; the child's answer returns the
unused part. Each retry is spent from exactly one budget and none is ever created, so
the total over the whole call tree stays within the root's number even when messages
are lost. Lost messages can waste retries but never cause more than the bound.

The constants and rules are explained further in ``docs/design/retries.md``.
"""

import heapq
from typing import NamedTuple

from . import hints
from .messages import Outcome, Reason, rank_request

# Upper limit of the first backoff delay, in seconds. About ten one-way trips between
# two availability zones: enough for a slot to become free, too short for a user to
# notice.
INITIAL_BACKOFF = 0.025

# Upper limit of any backoff delay, in seconds. A caller that would have to wait longer
# gets a Retry-After hint instead of keeping a thread blocked.
MAX_BACKOFF = 1.0

# Attempts tracked by one ledger. At 480,000 calls per second on 4,500 daemons with
# 10 s deadlines a ledger tracks some 1,100 attempts on average; the limit leaves room
# for a hot service. Each attempt takes some 0.6 kB with one child.
MAX_TRACKED_ATTEMPTS = 20_000

# Below this share of concurrent calls a service counts as making its calls one after
# the other. A service that always makes two calls at once has a share of one half.
CONCURRENT_SHARE_THRESHOLD = 0.1

# Weight of the newest call in the moving average of that share; the average follows a
# change of behaviour within some 150 calls.
CONCURRENT_SHARE_WEIGHT = 1 / 64

# Largest remaining budget that is granted to a child whole, where calls are made one
# after the other.
MAX_WHOLE_GRANT = 2

# Backend servers that may crash under one request. The second attempt serves a request
# that ran beside the cause; a third would end most of a small service at once.
MAX_CRASHES = 2

# Refusals that concern one endpoint only, so that another one may accept the request.
ENDPOINT_REASONS = frozenset(
    {
        Reason.QUEUE,
        Reason.DEADLINE,
        Reason.LEAVING,
        Reason.NO_ENDPOINT,
        Reason.NOT_SENT,
        Reason.BROKEN,
        Reason.LIMIT,
        Reason.CRASHED,
        Reason.SUSPECT,
        Reason.SHED,
        Reason.WRONG_BACKEND,
        Reason.NONE,
    }
)

# The endpoint is unavailable rather than its service full, so waiting before the first
# retry at another one gains nothing.
UNAVAILABLE_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.LIMIT,
        Reason.NO_ENDPOINT,
        Reason.NOT_SENT,
        Reason.WRONG_BACKEND,
    }
)


class RetryDecision(NamedTuple):
    """Whether and when a request is retried.

    Attributes:
        again: Whether the request is retried, as a new attempt.
        delay: Seconds to wait before the new attempt.
        ground: Reason for the decision, for its log line.
    """

    again: bool
    delay: float
    ground: str


def decide_retry(
    request,
    answer,
    remaining,
    tries,
    now,
    random,
    lowest_other_level=None,
    crashes=0,
):
    """Decide whether a request is retried after an answer.

    This does not spend any retry budget: if the decision is to retry, call
    `Ledger.try_spend` and give up if that returns False.

    Args:
        request: The `Request` whose attempt was answered.
        answer: The `Answer`.
        remaining: Retries left in the budget that pays for this request.
        tries: Retries of this request already made at this hop.
        now: Time of the event loop, in seconds.
        random: Function that returns a float from 0 to 1.
        lowest_other_level: Lowest admission level reported by another endpoint of the
            service, or None if there is no report.
        crashes: Number of backend servers that crashed while they ran the request.

    Returns:
        A `RetryDecision`.
    """
    obstacle = find_retry_obstacle(request, answer, tries, lowest_other_level, crashes)
    if obstacle:
        return RetryDecision(False, 0.0, obstacle)
    if remaining <= 0:
        return RetryDecision(False, 0.0, "no retry budget left")
    # The hint of a limited backend server is for the caller, if no endpoint has room.
    hint = 0.0 if answer.reason is Reason.LIMIT else answer.retry_after
    backoff = draw_backoff(answer.reason, tries, random)
    delay = hint + backoff
    if answer.reason is Reason.DEADLINE and now + delay >= request.deadline:
        # It waited in vain for a slot here, and the hint tells when there is one here.
        # Another endpoint may have a free one now.
        delay = backoff
    if now + delay >= request.deadline:
        return RetryDecision(False, 0.0, "the retry would start after the deadline")
    return RetryDecision(True, delay, answer.reason.value)


def find_retry_obstacle(request, answer, tries, lowest_other_level, crashes=0):
    """Return why an answer must not or need not be followed by a retry, or ""."""
    if answer.attempt != request.attempt:
        return "the answer belongs to another attempt"
    if answer.outcome is Outcome.COMPLETED:
        return "completed"
    # The hop directly above the refusing service has already retried or given up.
    # Retrying at this hop as well would multiply retries by the depth of the chain,
    # and the deepest service would receive many times the root's number.
    if answer.from_downstream or answer.reason is Reason.DEEPER:
        return "refused further down the call graph"
    # The request may have run. The claim of a second attempt would be refused, but if
    # that check ever failed, a retry would run non-idempotent work such as a payment
    # twice.
    if answer.outcome is Outcome.UNKNOWN and (request.key or not request.repeatable):
        return "non-idempotent work with unknown outcome"
    if answer.reason is Reason.CRASHED and crashes >= MAX_CRASHES:
        return f"{crashes} backend servers crashed while they ran it"
    if answer.reason is Reason.LEVEL:
        return find_level_obstacle(request, tries, lowest_other_level)
    if answer.reason not in ENDPOINT_REASONS:
        return f"{answer.reason.value} applies at every endpoint"
    return ""


def find_level_obstacle(request, tries, lowest_other_level):
    """Return why a refusal by admission level is not retried, or "".

    The admission level is about the same at all endpoints of an overloaded service,
    so a retry would only add refused work. The exception is one slow endpoint among
    fast ones: if another endpoint reports a lower level, one retry is made.
    """
    if tries > 0:
        return "two endpoints refused by admission level"
    if lowest_other_level is None:
        return "refused by admission level, none lower reported elsewhere"
    if rank_request(request) < lowest_other_level:
        return "refused by admission level, also too high elsewhere"
    return ""


def draw_backoff(reason, tries, random):
    """Return the seconds to wait before a retry: exponential backoff, full jitter.

    Without jitter, all requests that were refused in one burst would be retried at
    the same moment.

    Args:
        reason: `Reason` of the refusal.
        tries: Retries already made at this hop.
        random: Function that returns a float from 0 to 1.
    """
    if reason in UNAVAILABLE_REASONS and tries == 0:
        return 0.0
    limit = min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** min(tries, 16))
    return random() * limit


def finalize_answer(answer, may_have_run):
    """Return the last attempt's answer, corrected to be true of the whole request.

    If an earlier attempt was lost and the last one was refused, "not run" is true of
    the last attempt only, but the caller would apply it to the request.

    Args:
        answer: The `Answer` to the last attempt.
        may_have_run: Whether an attempt ended with an unknown outcome.
    """
    if answer.outcome is not Outcome.NOT_RUN:
        return answer
    if may_have_run:
        return answer._replace(outcome=Outcome.UNKNOWN, reason=Reason.BROKEN)
    if answer.retry_after:
        return answer
    pause = hints.choose_retry_after(0.0, answer.attempt)
    return answer._replace(retry_after=pause)


class GrantContext(NamedTuple):
    """Input of a grant policy.

    Attributes:
        remaining: Retries left in the budget that pays for the grant.
        concurrent_share: Share of this backend server's calls that are made while
            another call of the same request is in flight.
    """

    remaining: int
    concurrent_share: float


def grant_all_but_one(context):
    """Grant a child all retries but one, and the whole budget of one or two.

    Granted retries are lost if the child's answer is lost; the one kept back pays for
    retrying that call. The last two are granted whole because refusals, whose answers
    return unused retries, are far more frequent than lost answers.
    """
    if context.remaining > MAX_WHOLE_GRANT:
        return context.remaining - 1
    return context.remaining


def grant_half(context):
    """Grant a child half of the remaining retries, rounded down.

    Where calls are made concurrently, the retries kept back can pay for whichever
    call is refused first, while granted ones serve a single branch.
    """
    return context.remaining // 2


def grant_by_concurrency(context):
    """Grant most retries where calls are sequential, and half otherwise.

    With sequential calls little is gained by keeping retries back: each child returns
    its unused retries before the next call. Granting half at each of 16 hops would
    leave the last hops a single retry whatever the root's budget. With concurrent
    calls, granting most to the first call would leave none for the others.
    """
    if context.concurrent_share < CONCURRENT_SHARE_THRESHOLD:
        return grant_all_but_one(context)
    return grant_half(context)


class AttemptBudget:
    """Retry budget of one attempt.

    Attributes:
        remaining: Retries left to spend or to grant.
        expires: Event loop time after which the attempt is forgotten.
        unanswered: Number of children that have not answered.
        closed: Whether the attempt was answered. A closed budget is kept until it
            expires, so that a duplicate message does not open a second budget.
    """

    __slots__ = ("closed", "expires", "remaining", "unanswered")

    def __init__(self, remaining, expires):
        self.remaining = remaining
        self.expires = expires
        self.unanswered = 0
        self.closed = False


class Grant(NamedTuple):
    """Retries granted to a child attempt.

    Attributes:
        holder: Attempt whose budget paid for the retries.
        retries: Number of retries granted.
    """

    holder: str
    retries: int


class Ledger:
    """Retry budgets of the attempts that this daemon is working on.

    An attempt that the ledger does not track, after a restart or beyond its capacity,
    has a budget of 0 to grant or spend. This loses retries but never exceeds the
    bound.

    Args:
        policy: Function from a `GrantContext` to the retries granted to a new child.
        capacity: Maximum number of attempts tracked.
    """

    def __init__(self, policy=grant_by_concurrency, capacity=MAX_TRACKED_ATTEMPTS):
        self._policy = policy
        self._capacity = capacity
        self._budgets = {}
        self._children = {}
        self._grants = {}
        self._expiry = []
        # Services are assumed to make sequential calls; one that makes concurrent
        # calls is recognized after some seven calls.
        self._concurrent_share = 0.0

    def __len__(self):
        return len(self._budgets)

    def open(self, attempt, granted, expires):
        """Start tracking the budget of an attempt.

        A duplicate message of a tracked attempt adds nothing.

        Args:
            attempt: The attempt.
            granted: Retries granted to it.
            expires: Event loop time after which it is forgotten: its deadline.

        Returns:
            Whether the attempt is new and is now tracked.
        """
        if attempt in self._budgets or len(self._budgets) >= self._capacity:
            return False
        self._budgets[attempt] = AttemptBudget(max(0, granted), expires)
        heapq.heappush(self._expiry, (expires, attempt))
        return True

    def get_remaining(self, attempt):
        """Return the retries left to an attempt; 0 for one that is not tracked."""
        budget = self._find_open(attempt)
        return budget.remaining if budget else 0

    def grant(self, attempt, child):
        """Move part of an attempt's budget to a new child attempt.

        Args:
            attempt: The attempt whose budget pays.
            child: Identifier of the child attempt; each retry needs a new one.

        Returns:
            Retries that the child may cause; 0 if the attempt is not tracked.
        """
        budget = self._find_open(attempt)
        if budget is None or child in self._grants:
            return 0
        self._record_concurrency(budget.unanswered > 0)
        context = GrantContext(budget.remaining, self._concurrent_share)
        wanted = self._policy(context)
        retries = min(budget.remaining, wanted)
        budget.remaining -= retries
        budget.unanswered += 1
        self._grants[child] = Grant(attempt, retries)
        self._children.setdefault(attempt, []).append(child)
        return retries

    def return_unused(self, child, unused):
        """Return a child's unused retries to the budget that granted them.

        Each child returns retries once and at most as many as it was granted.
        Otherwise a duplicate answer would add retries that were already used
        elsewhere. Call this with 0 for a child whose answer is no longer awaited.

        Args:
            child: The child attempt that was answered.
            unused: Retries that it did not use.

        Returns:
            Retries added to the granting budget.
        """
        grant = self._grants.pop(child, None)
        if grant is None:
            return 0
        budget = self._find_open(grant.holder)
        if budget is None:
            return 0
        budget.unanswered -= 1
        returned = min(max(0, unused), grant.retries)
        budget.remaining += returned
        return returned

    def try_spend(self, attempt):
        """Spend one retry of an attempt's budget.

        Returns:
            Whether a retry was left. If not, the retry must not be made.
        """
        budget = self._find_open(attempt)
        if budget is None or budget.remaining == 0:
            return False
        budget.remaining -= 1
        return True

    def close(self, attempt):
        """Close the budget of an attempt that is being answered.

        Retries still granted to unanswered children are not awaited or returned.

        Returns:
            Unused retries, to be returned to the caller with the answer.
        """
        budget = self._find_open(attempt)
        if budget is None:
            return 0
        unused = budget.remaining
        budget.remaining = 0
        budget.closed = True
        self._forget_children(attempt)
        return unused

    def expire(self, now):
        """Forget the attempts whose deadline has passed.

        An attempt whose answer was never sent would otherwise stay forever.

        Returns:
            Number of attempts forgotten.
        """
        forgotten = 0
        while self._expiry and self._expiry[0][0] <= now:
            _, attempt = heapq.heappop(self._expiry)
            self._forget_children(attempt)
            del self._budgets[attempt]
            forgotten += 1
        return forgotten

    def _record_concurrency(self, concurrent):
        self._concurrent_share += CONCURRENT_SHARE_WEIGHT * (
            concurrent - self._concurrent_share
        )

    def _find_open(self, attempt):
        budget = self._budgets.get(attempt)
        return None if budget is None or budget.closed else budget

    def _forget_children(self, attempt):
        for child in self._children.pop(attempt, ()):
            self._grants.pop(child, None)
