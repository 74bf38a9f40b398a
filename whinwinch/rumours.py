"""Selection of the membership updates that are sent along with each message.

A rumour is an update of a member that not everyone is expected to have received
yet. Load pattern: five hundred members change at once, when a whole zone restarts
or fails. Each change has to reach every daemon, but putting all of them into each
message would take many times the bytes that control traffic may use. So the size of
a message and the bytes per second are limited, and the rumours that have been sent
least often go first.
"""

import math

from .membertable import State

# How often an update is sent again after a peer turned out to have missed it.
RESENDS = 2
# Bytes of a member on the wire in addition to its strings.
_MEMBER_OVERHEAD_BYTES = 22


class TokenBucket:
    """Token bucket of bytes, which may be overdrawn.

    Args:
        rate: Bytes added per second.
        burst: Capacity in bytes.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = None

    def find_available(self, now):
        """Return the bytes available, negative while the bucket is overdrawn.

        Args:
            now: Time in seconds.
        """
        if self._updated_at is not None:
            gained = self._rate * max(0.0, now - self._updated_at)
            self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
        return self._tokens

    def spend(self, amount):
        """Remove bytes; any excess is repaid out of later refills."""
        self._tokens -= amount


class Rumours:
    """Members whose updates are still to be sent to other daemons.

    Args:
        table: `membertable.MemberTable`.
        budget: `TokenBucket` for all members that are sent.
        max_message_bytes: Maximum bytes of members in one message.
    """

    def __init__(self, table, budget, max_message_bytes):
        self._table = table
        self._budget = budget
        self._max_message_bytes = max_message_bytes
        # How often each update has been sent, by the member's identifier.
        self._send_counts = {}

    def __len__(self):
        """Count the members with updates still to be sent."""
        return len(self._send_counts)

    def add(self, daemon):
        """Start sending an update of a member."""
        self._send_counts[daemon] = 0

    def forget(self, daemon):
        """Stop sending updates of a member."""
        self._send_counts.pop(daemon, None)

    def resend(self, daemon):
        """Send a member's update a few more times, since a peer has missed it."""
        again = max(0, self._find_max_sends() - RESENDS)
        self._send_counts.setdefault(daemon, again)

    def select(self, first, now):
        """Choose the members to send along with a message and count them as sent.

        Args:
            first: Members that are sent before all others.
            now: Time in seconds.

        Returns:
            A tuple of `membertable.Member`. It stays within the allowed bytes
            unless the members in `first` alone exceed them.
        """
        byte_limit = self._find_byte_limit(now)
        selected = list(first)
        self._add_rumours(selected, byte_limit)
        self._budget.spend(sum(map(estimate_bytes, selected)))
        return tuple(selected)

    def truncate(self, members, now):
        """Return as many leading members as the allowed bytes hold."""
        available = self._find_byte_limit(now)
        selected = []
        for member in members:
            available -= estimate_bytes(member)
            if available < 0:
                break
            selected.append(member)
        self._budget.spend(sum(map(estimate_bytes, selected)))
        return tuple(selected)

    def _find_byte_limit(self, now):
        return min(self._max_message_bytes, self._budget.find_available(now))

    def _add_rumours(self, selected, byte_limit):
        """Add rumours to `selected`, those sent least often first."""
        limit = self._find_max_sends()
        used = sum(map(estimate_bytes, selected))
        for daemon in sorted(self._send_counts, key=self._send_counts.get):
            member = self._table.get(daemon)
            size = estimate_bytes(member)
            if used + size > byte_limit:
                break
            if member not in selected:
                selected.append(member)
                used += size
            self._send_counts[daemon] += 1
            if self._send_counts[daemon] >= limit:
                del self._send_counts[daemon]

    def _find_max_sends(self):
        return math.ceil(math.log2(len(self._table) + 1)) + 1


def estimate_bytes(member):
    """Return the approximate size of a member on the wire, in bytes."""
    endpoint = member.endpoint
    size = len(endpoint.daemon) + len(member.state.value) + _MEMBER_OVERHEAD_BYTES
    if member.state in (State.SUSPECT, State.GONE):
        return size
    strings = endpoint.address, endpoint.service, endpoint.zone, endpoint.region
    return size + sum(map(len, strings))
