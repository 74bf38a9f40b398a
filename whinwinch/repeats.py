"""Budget of repeats at one backend server, kept without talking.

Load pattern: a service slows down or loses answers, and every daemon that called
it tries again. All daemons together must not cause more repeats than a share of
the first requests, or a service that is short of room is asked twice for all of
it and stays short.

Every attempt passes the gatekeeper beside the backend server it is meant for, and
says whether it is a repeat. So each gatekeeper holds its own part: what a share
of the first requests that it has seen allows, and a small stock. The sum over all
gatekeepers keeps the bound, with nothing to agree on.
"""

# Of the repeats that operators allow a service, this share is used: calls that a
# repeated request makes again count as repeats too, and can't be told from others.
USED_SHARE = 0.5
# Repeats that may be saved up, so that a single loss after a quiet time is
# repeated, while a burst of losses isn't.
STOCK = 4.0


class RepeatBudget:
    """Tokens for repeats: firsts add a part of one, a repeat takes one.

    Args:
        ratio: Repeats that operators allow for each first request.
    """

    def __init__(self, ratio):
        self._share = ratio * USED_SHARE
        self._tokens = STOCK / 2.0

    def note_first(self):
        """Count a first request."""
        self._tokens = min(STOCK, self._tokens + self._share)

    def take(self):
        """Return whether a repeat may go on, and count it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
