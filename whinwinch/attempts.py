"""Attempts that a gatekeeper has already dealt with."""

import collections

# A message that is delivered later than this has been dropped by its sender:
# a call ends at its deadline, and no deadline of a call is that long.
KEEP_SECONDS = 60.0


class Attempts:
    """Remembers attempts for a while, so that none is dealt with twice.

    A late or doubled message of an attempt that was told "not run" would run
    it after all; the caller, who has asked again by then, would see the work
    done twice.

    Args:
        keep: Seconds for which an attempt is remembered.
    """

    def __init__(self, keep=KEEP_SECONDS):
        self._keep = keep
        self._known = set()
        self._order = collections.deque()

    def note(self, attempt, now):
        """Remember an attempt; return False when it was known already."""
        self._drop_old(now)
        if attempt in self._known:
            return False
        self._known.add(attempt)
        self._order.append((now, attempt))
        return True

    def _drop_old(self, now):
        while self._order and self._order[0][0] < now - self._keep:
            _, attempt = self._order.popleft()
            self._known.discard(attempt)

    def __len__(self):
        return len(self._known)
