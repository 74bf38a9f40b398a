"""Retry budget, back-off and the cases in which a request is never retried.

Load pattern: a service deep in the graph slows down or refuses, and each hop
above it would try again. Without a common budget three tries at each of five
hops make 243 calls at the bottom, and the overload feeds itself long after
its cause has gone.

The root request carries a number of retries. A daemon that calls on moves a
part of what an attempt holds to the child attempt; the child's answer returns
what was not used. Every retry is taken from exactly one holder and nothing is
ever created, so the sum over the whole tree stays within the root's number
whatever is lost. What is lost is lost as retries, never as the bound.

Grounds for the figures stand beside the constants and in
``docs/design/retries.md``.
"""

import heapq
from typing import NamedTuple

from . import hints
from .messages import Outcome, Reason, rank_request

# The first back-off: about ten crossings between two availability zones, so a
# slot that is about to become free has time to do so, and still short beside
# what a reader notices.
FIRST_BACKOFF = 0.025

# Back-off stops doubling here; a caller that waits longer is better told when
# to come back than held in a thread.
LONGEST_BACKOFF = 1.0

# Attempts that one ledger remembers. At 480,000 calls a second on 4,500
# daemons and 10 s deadlines some 1,100 are known on average; the limit leaves
# room for a hot service. Each takes some 0.6 kB with one child.
CAPACITY = 20_000

# Below this share of calls that go out together a service counts as calling one
# after the other. Two calls at once already make a share of a half.
SELDOM_TOGETHER = 0.1

# Weight of the newest call in that share: some 150 calls to change the habit.
HABIT_WEIGHT = 1 / 64

# Retries of which none is kept back on the way down, where calls go out in turn.
SENT_DEEP = 2

# Refusals that another endpoint may not share, so that a try elsewhere is of use.
LOCAL_REASONS = frozenset(
    {
        Reason.QUEUE,
        Reason.DEADLINE,
        Reason.LEAVING,
        Reason.NO_ENDPOINT,
        Reason.NOT_SENT,
        Reason.BROKEN,
        Reason.SHED,
        Reason.WRONG_BACKEND,
        Reason.NONE,
    }
)

# The endpoint is gone, not full: waiting before the try elsewhere gains nothing.
GONE_REASONS = frozenset(
    {Reason.LEAVING, Reason.NO_ENDPOINT, Reason.NOT_SENT, Reason.WRONG_BACKEND}
)


class RetryDecision(NamedTuple):
    """Whether to try again.

    Attributes:
        again: Whether the request is tried again, as a new attempt.
        delay: Seconds to wait before the new attempt.
        ground: Why, for the log line of the decision.
    """

    again: bool
    delay: float
    ground: str


def decide_retry(request, answer, remaining, tries, now, random, elsewhere=None):
    """Decide whether a request is tried again after an answer.

    The decision takes nothing from the ledger: call `Ledger.take` when it says
    again, and give up when that returns False.

    Args:
        request: The `Request` whose attempt was answered.
        answer: The `Answer`.
        remaining: Retries that the holder of the budget still has.
        tries: Retries of this request already made at this hop.
        now: Time of the event loop, in seconds.
        random: Function that returns a float from 0 to 1.
        elsewhere: Lowest admission level known at another endpoint of the
            service, or None where none is known.

    Returns:
        A `RetryDecision`.
    """
    obstacle = find_obstacle(request, answer, tries, elsewhere)
    if obstacle:
        return RetryDecision(False, 0.0, obstacle)
    if remaining <= 0:
        return RetryDecision(False, 0.0, "no retry budget left")
    delay = answer.retry_after + draw_backoff(answer.reason, tries, random)
    if now + delay >= request.deadline:
        return RetryDecision(False, 0.0, "the deadline would pass")
    return RetryDecision(True, delay, answer.reason.value)


def find_obstacle(request, answer, tries, elsewhere):
    """Return why an answer must not or need not be followed by a retry, or ""."""
    if answer.attempt != request.attempt:
        return "the answer is to another attempt"
    if answer.outcome is Outcome.COMPLETED:
        return "completed"
    # A refusal from further down was already retried, or given up, by the hop
    # just above it. Retrying it here too is what multiplies retries by the
    # depth of the chain; one would see many times R at the bottom.
    if answer.deeper or answer.reason is Reason.DEEPER:
        return "refused deeper down"
    # Nobody knows whether it ran. A second attempt would have a second claim
    # refused at best, and pay a poet twice if that check were ever at fault.
    if answer.outcome is Outcome.UNKNOWN and (request.key or not request.repeatable):
        return "non-idempotent work of unknown outcome"
    if answer.reason is Reason.LEVEL:
        return find_level_obstacle(request, tries, elsewhere)
    if answer.reason not in LOCAL_REASONS:
        return f"{answer.reason.value} holds at every endpoint"
    return ""


def find_level_obstacle(request, tries, elsewhere):
    """Return why a refusal by admission level is not retried, or "".

    The level is about the same at all endpoints of an overloaded service, so a
    retry would only bring more refused work. One slow endpoint among quick ones
    is the exception: where a lower level is known elsewhere, one try is made.
    """
    if tries > 0:
        return "two endpoints refused by admission level"
    if elsewhere is None:
        return "admission level, and none lower is known"
    if rank_request(request) < elsewhere:
        return "admission level, elsewhere too"
    return ""


def draw_backoff(reason, tries, random):
    """Return the seconds to wait: full jitter below a limit that doubles.

    Without the jitter all that one burst had refused would come back together.

    Args:
        reason: `Reason` of the refusal.
        tries: Retries already made at this hop.
        random: Function that returns a float from 0 to 1.
    """
    if reason in GONE_REASONS and tries == 0:
        return 0.0
    limit = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2 ** min(tries, 16))
    return random() * limit


def settle_answer(answer, may_have_run):
    """Return the last answer as it is true of the whole request.

    A first attempt may have been lost and a second one turned down. "Not run" is
    true of the second; the caller would take it for the request.

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


class Situation(NamedTuple):
    """What is known when a child is to be granted retries.

    Attributes:
        held: Retries that the holder has.
        together: Share of this backend server's calls that go out while
            another call of the same request is out.
    """

    held: int
    together: float


def grant_most(situation):
    """Grant a child all but one, and of one or two everything.

    What went down is lost when the answer is; the one kept repeats a call whose
    answer was lost. The last two go all the way down: refusals are far more
    frequent than lost answers, and return what they got.
    """
    if situation.held > SENT_DEEP:
        return situation.held - 1
    return situation.held


def grant_half(situation):
    """Grant a child half of what is held and keep the odd one.

    Where calls go out together, what is kept serves whichever of them is
    refused first, while what went down serves one branch only.
    """
    return situation.held // 2


def grant_by_habit(situation):
    """Grant most where calls go out one after the other, else half.

    One after the other, little is gained by holding back: each child returns
    what it did not use before the next call. Half at each of 16 hops would
    leave the last ones a single retry whatever the root holds. Calls that go
    out together would find nothing left after the first.
    """
    if situation.together < SELDOM_TOGETHER:
        return grant_most(situation)
    return grant_half(situation)


class Holding:
    """What one attempt holds.

    Attributes:
        remaining: Retries still there to take or to grant.
        expires: Event loop time after which the attempt is forgotten.
        out: Children that have not answered.
        closed: Whether it was answered; kept until it expires, so that a doubled
            message does not open it again with a second budget.
    """

    __slots__ = ("closed", "expires", "out", "remaining")

    def __init__(self, remaining, expires):
        self.remaining = remaining
        self.expires = expires
        self.out = 0
        self.closed = False


class Grant(NamedTuple):
    """What a child attempt was granted.

    Attributes:
        holder: Attempt that it was taken from.
        retries: How many.
    """

    holder: str
    retries: int


class Ledger:
    """Retries held by the attempts that this daemon is working on.

    An attempt that the ledger doesn't know holds nothing: after a restart, or
    past its capacity, the daemon grants and takes 0. That costs retries; the
    bound stands.

    Args:
        policy: Function from a `Situation` to what a new child is granted.
        capacity: Attempts remembered at most.
    """

    def __init__(self, policy=grant_by_habit, capacity=CAPACITY):
        self._policy = policy
        self._capacity = capacity
        self._holdings = {}
        self._children = {}
        self._grants = {}
        self._expiry = []
        # A service that calls together is known after some seven calls; one
        # that doesn't is right from the start.
        self._together = 0.0

    def __len__(self):
        return len(self._holdings)

    def open(self, attempt, granted, expires):
        """Begin to hold what came with an attempt.

        A doubled message finds the attempt known and adds nothing.

        Args:
            attempt: The attempt.
            granted: Retries granted to it.
            expires: Event loop time after which it is forgotten: its deadline.

        Returns:
            Whether the attempt is new and was taken in.
        """
        if attempt in self._holdings or len(self._holdings) >= self._capacity:
            return False
        self._holdings[attempt] = Holding(max(0, granted), expires)
        heapq.heappush(self._expiry, (expires, attempt))
        return True

    def get_remaining(self, attempt):
        """Return the retries that an attempt holds now; 0 for one not known."""
        holding = self._find_open(attempt)
        return holding.remaining if holding else 0

    def grant(self, attempt, child):
        """Move a part of what an attempt holds to a new child attempt.

        Args:
            attempt: The holder.
            child: Identifier of the child attempt; new for each try.

        Returns:
            Retries that the child may cause; 0 where the holder isn't known.
        """
        holding = self._find_open(attempt)
        if holding is None or child in self._grants:
            return 0
        self._note_habit(holding.out > 0)
        situation = Situation(holding.remaining, self._together)
        wanted = self._policy(situation)
        retries = min(holding.remaining, wanted)
        holding.remaining -= retries
        holding.out += 1
        self._grants[child] = Grant(attempt, retries)
        self._children.setdefault(attempt, []).append(child)
        return retries

    def give_back(self, child, unused):
        """Return to the holder what a child's answer says it did not use.

        Each child gives back once and no more than it got. Without that a
        doubled answer would add retries that were already used elsewhere. Call
        it with 0 for a child whose answer is no longer waited for.

        Args:
            child: The child attempt that was answered.
            unused: Retries that it did not use.

        Returns:
            Retries returned to the holder.
        """
        grant = self._grants.pop(child, None)
        if grant is None:
            return 0
        holding = self._find_open(grant.holder)
        if holding is None:
            return 0
        holding.out -= 1
        returned = min(max(0, unused), grant.retries)
        holding.remaining += returned
        return returned

    def take(self, attempt):
        """Take one retry from what an attempt holds.

        Returns:
            Whether there was one; without it the retry must not be made.
        """
        holding = self._find_open(attempt)
        if holding is None or holding.remaining == 0:
            return False
        holding.remaining -= 1
        return True

    def close(self, attempt):
        """End an attempt that is being answered.

        What its children still hold is not waited for and not returned.

        Returns:
            Retries to return upward with the answer.
        """
        holding = self._find_open(attempt)
        if holding is None:
            return 0
        unused = holding.remaining
        holding.remaining = 0
        holding.closed = True
        self._forget_children(attempt)
        return unused

    def expire(self, now):
        """Forget the attempts whose time is over.

        An attempt whose answer was never sent would otherwise stay for ever.

        Returns:
            How many were forgotten.
        """
        forgotten = 0
        while self._expiry and self._expiry[0][0] <= now:
            _, attempt = heapq.heappop(self._expiry)
            self._forget_children(attempt)
            del self._holdings[attempt]
            forgotten += 1
        return forgotten

    def _note_habit(self, together):
        self._together += HABIT_WEIGHT * (together - self._together)

    def _find_open(self, attempt):
        holding = self._holdings.get(attempt)
        return None if holding is None or holding.closed else holding

    def _forget_children(self, attempt):
        for child in self._children.pop(attempt, ()):
            self._grants.pop(child, None)
