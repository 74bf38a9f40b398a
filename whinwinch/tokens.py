"""Token bucket: a rate that is kept on average, with a bounded burst."""


class TokenBucket:
    """A token bucket that starts full.

    Args:
        rate: Tokens gained a second.
        burst: Maximum number of tokens.
        now: Time in seconds.

    Attributes:
        rate: Tokens gained a second.
    """

    def __init__(self, rate, burst, now):
        self.rate = rate
        self._burst = burst
        self._tokens = burst
        self._time = now

    def change(self, rate, burst, now):
        """Change the rate and the burst; tokens beyond the burst are lost."""
        self._refill(now)
        self.rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def has_token(self, now):
        """Return whether a whole token is left."""
        self._refill(now)
        return self._tokens >= 1.0

    def try_spend(self, now):
        """Spend one token and return whether a whole one was left."""
        if not self.has_token(now):
            return False
        self._tokens -= 1.0
        return True

    def refund(self, now):
        """Give back a token that was not used."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + 1.0)

    def find_wait(self, now):
        """Return the seconds until a whole token is left."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._tokens)
        return missing / self.rate if missing else 0.0

    def _refill(self, now):
        gained = (now - self._time) * self.rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._time = now
