"""Duplicate detection for attempts that reach a gatekeeper."""

import collections

# Seconds for which an attempt is remembered. Its sender drops any message that would
# be delivered later: a call ends at its deadline, which is always shorter than this.
RETENTION_SECONDS = 60.0


class AttemptHistory:
    """Remembers recent attempts, so that none is handled twice.

    Without this, a late or duplicate message of an attempt that was answered "not
    run" would run it after all. The caller has retried by then, so the work would be
    done twice.

    Args:
        retention: Seconds for which an attempt is remembered.
    """

    def __init__(self, retention=RETENTION_SECONDS):
        self._retention = retention
        self._known = set()
        self._order = collections.deque()

    def record(self, attempt, now):
        """Record an attempt; return False if it was already recorded."""
        self._drop_old(now)
        if attempt in self._known:
            return False
        self._known.add(attempt)
        self._order.append((now, attempt))
        return True

    def _drop_old(self, now):
        while self._order and self._order[0][0] < now - self._retention:
            _, attempt = self._order.popleft()
            self._known.discard(attempt)

    def __len__(self):
        return len(self._known)
