"""The rate of requests that a backend server in need names in its answers."""

import math

# Seconds after the last answer with a limit from which an answer without one ends it.
# An answer that was prepared before the need may arrive after the first with a limit.
HOLD_SECONDS = 1.0


class NamedLimit:
    """The limit that one backend server names at present.

    Attributes:
        rate: Requests a second that it takes, infinite without a limit.
    """

    def __init__(self):
        self.rate = math.inf
        self._named_at = -math.inf

    @property
    def is_named(self):
        """Whether there is a limit at present."""
        return math.isfinite(self.rate)

    def observe(self, rate, now):
        """Apply one answer of the backend server.

        Args:
            rate: Limit that the answer names in requests a second, None for none.
            now: Time of the loop's clock in seconds.

        Returns:
            Whether the limit has changed.
        """
        before = self.rate
        if rate is not None:
            self.rate, self._named_at = rate, now
        elif now - self._named_at >= HOLD_SECONDS:
            self.rate = math.inf
        return self.rate != before
