"""What a daemon tells of members: the news least often sent first, within bytes.

Load pattern: five hundred members change at once, when a whole zone restarts or
dies. Each change has to reach everybody, and all of them in each message would take
many times the bytes that control may use; so a message has a size, a second has a
budget, and what waits goes out by how seldom it has been sent.
"""

import math

from .membertable import State

# How often something is sent again after a peer turned out not to know it.
CORRECTIONS = 2
# Bytes of a member on the wire beyond its strings.
_MEMBER_OVERHEAD = 22


class Budget:
    """Bytes that may be spent: a rate, and what may gather for a burst.

    Args:
        rate: Bytes a second.
        burst: Bytes at once.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._time = None

    def find_left(self, now):
        """Return the bytes that may be spent at a time of the loop's clock."""
        if self._time is not None:
            gained = self._rate * max(0.0, now - self._time)
            self._left = min(self._burst, self._left + gained)
        self._time = now
        return self._left

    def spend(self, amount):
        """Take bytes away; what is over the budget is owed."""
        self._left -= amount


class Rumours:
    """Members whose news are still to be told.

    Args:
        table: `membertable.MemberTable`.
        budget: `Budget` of all that is told of members.
        message_bytes: Most bytes of members in one message.
    """

    def __init__(self, table, budget, message_bytes):
        self._table = table
        self._budget = budget
        self._message_bytes = message_bytes
        # By daemon: how often its news have been sent.
        self._sent = {}

    def __len__(self):
        """Count the members of which there are news."""
        return len(self._sent)

    def add(self, daemon):
        """Take a change of a member, to be told from now on."""
        self._sent[daemon] = 0

    def forget(self, daemon):
        """Tell no more of a member."""
        self._sent.pop(daemon, None)

    def repeat(self, daemon):
        """Tell a few daemons again what somebody turned out not to know."""
        again = max(0, self._find_most_sends() - CORRECTIONS)
        self._sent.setdefault(daemon, again)

    def take(self, first, now):
        """Choose the members to send along with a message, and count them sent.

        Args:
            first: Members that go before all others.
            now: Time in seconds.

        Returns:
            A tuple of `membertable.Member`, within the bytes allowed but for those
            that go first.
        """
        room = self._find_room(now)
        chosen = list(first)
        self._add(chosen, room)
        self._budget.spend(sum(map(estimate_bytes, chosen)))
        return tuple(chosen)

    def cut(self, members, now):
        """Return the first of some members, within the bytes allowed."""
        room = self._find_room(now)
        chosen = []
        for member in members:
            room -= estimate_bytes(member)
            if room < 0:
                break
            chosen.append(member)
        self._budget.spend(sum(map(estimate_bytes, chosen)))
        return tuple(chosen)

    def _find_room(self, now):
        return min(self._message_bytes, self._budget.find_left(now))

    def _add(self, chosen, room):
        """Add news to `chosen`, those least often sent first."""
        limit = self._find_most_sends()
        used = sum(map(estimate_bytes, chosen))
        for daemon in sorted(self._sent, key=self._sent.get):
            member = self._table.get(daemon)
            size = estimate_bytes(member)
            if used + size > room:
                break
            if member not in chosen:
                chosen.append(member)
                used += size
            self._sent[daemon] += 1
            if self._sent[daemon] >= limit:
                del self._sent[daemon]

    def _find_most_sends(self):
        return math.ceil(math.log2(len(self._table) + 1)) + 1


def estimate_bytes(member):
    """Return about how many bytes a member takes on the wire."""
    endpoint = member.endpoint
    size = len(endpoint.daemon) + len(member.state.value) + _MEMBER_OVERHEAD
    if member.state in (State.SUSPECT, State.GONE):
        return size
    strings = endpoint.address, endpoint.service, endpoint.zone, endpoint.region
    return size + sum(map(len, strings))
