"""Which members a daemon probes: a handful, exchanged one at a time.

Load pattern: thousands of members of which each has to be watched by somebody. Since
everybody probes one partner an interval, the cost for a daemon doesn't depend on how
many there are; since partners stay for a while, connections to them can be kept; and
since most are in the own availability zone, most messages stay there.
"""

import math

from .membertable import State

# Members drawn to fill the places of partners: enough for five of a zone that
# holds a ninth of the members, nine times out of ten.
DRAWN_MEMBERS = 96
# Distances: own availability zone, own region, elsewhere.
ZONE, REGION, FAR = range(3)


class Partners:
    """The partners of one daemon, and whose turn it is.

    Args:
        own: `messages.Endpoint` of the daemon.
        table: `membertable.MemberTable`.
        random: A `random.Random`.
        settings: `membership.Settings`.
    """

    def __init__(self, own, table, random, settings):
        self._own = own
        self._table = table
        self._random = random
        self._settings = settings
        self._partners = {}
        self._order = []
        self._next_rotation = -math.inf
        self._far_turn = False

    def drop(self, daemon):
        """Probe a member no more."""
        self._partners.pop(daemon, None)

    def replace(self, daemon, other, soon):
        """Probe another member instead of one.

        Args:
            daemon: The one.
            other: The other one.
            soon: Whether the other is probed next, without waiting for its turn.
        """
        self._partners.pop(daemon, None)
        self._partners[other] = None
        if soon:
            self._order.append(other)

    def rotate(self, now, heard):
        """Exchange one partner now and then, and fill free places.

        Args:
            now: Time in seconds.
            heard: When each region was last heard of.
        """
        wanted = min(self._count_places(), len(self._table) - 1)
        due = now >= self._next_rotation
        if not due and len(self._partners) >= wanted:
            return
        if due:
            jitter = self._random.uniform(0.5, 1.5)
            self._next_rotation = now + jitter * self._settings.rotation
            if self._partners and wanted < len(self._table) - 1:
                del self._partners[self._choose_leaver()]
        self._fill_places(heard)

    def sample(self, count):
        """Return endpoints of some partners, drawn anew."""
        partners = [m.endpoint for m in map(self._table.get, self._partners) if m]
        return self._random.sample(partners, min(count, len(partners)))

    def choose_next(self):
        """Return the endpoint whose turn it is, or None where there is none."""
        while self._order or self._partners:
            if not self._order:
                self._order = list(self._partners)
                self._random.shuffle(self._order)
            daemon = self._order.pop()
            if daemon in self._partners:
                return self._table.get(daemon).endpoint
        return None

    def choose_helpers(self, daemon, silent):
        """Return endpoints that may repeat a failed probe.

        Args:
            daemon: The daemon in doubt.
            silent: Daemons that have missed a probe themselves.
        """
        possible = [
            member.endpoint
            for member in map(self._table.get, self._partners)
            if member.endpoint.region == self._own.region
            and member.endpoint.daemon != daemon
            and member.endpoint.daemon not in silent
            and member.state is not State.SUSPECT
        ]
        count = min(self._settings.helpers, len(possible))
        return tuple(self._random.sample(possible, count))

    def _choose_leaver(self):
        """Choose the partner to exchange, every other time one far away.

        With one partner in another region, exchanged as seldom as the others,
        a daemon would take minutes to notice that a region is cut off.
        """
        self._far_turn = not self._far_turn
        far = [
            daemon
            for daemon in self._partners
            if self._find_distance(self._table.get(daemon).endpoint) == FAR
        ]
        return self._random.choice(
            far if far and self._far_turn else list(self._partners)
        )

    def _count_places(self):
        settings = self._settings
        return settings.near_partners + settings.region_partners + settings.far_partners

    def _fill_places(self, heard):
        """Fill free places, from a few members or, where they lack, from all.

        A zone of few members in a large mesh is hardly met with among a few.
        """
        for candidates in (
            self._table.draw(self._random, DRAWN_MEMBERS),
            self._table.members(),
        ):
            spare = self._fill_from(candidates, heard)
            if not any(self._count_free().values()):
                return
        missing = max(0, self._count_places() - len(self._partners))
        for endpoint in spare[:missing]:
            self._partners[endpoint.daemon] = None

    def _fill_from(self, candidates, heard):
        """Fill free places; return the endpoints for which there is none."""
        free = self._count_free()
        possible = [
            member.endpoint
            for member in candidates
            if member.state is not State.GONE
            and member.endpoint.daemon not in self._partners
            and member.endpoint.daemon != self._own.daemon
        ]
        self._random.shuffle(possible)
        # The region that was heard of longest ago comes first.
        possible.sort(key=lambda endpoint: heard.get(endpoint.region, -math.inf))
        spare = []
        for endpoint in possible:
            distance = self._find_distance(endpoint)
            if free[distance] > 0:
                free[distance] -= 1
                self._partners[endpoint.daemon] = None
            else:
                spare.append(endpoint)
        spare.sort(key=self._find_distance)
        return spare

    def _count_free(self):
        """Return the free places by distance."""
        free = {
            ZONE: self._settings.near_partners,
            REGION: self._settings.region_partners,
            FAR: self._settings.far_partners,
        }
        for daemon in self._partners:
            distance = self._find_distance(self._table.get(daemon).endpoint)
            free[distance] = max(0, free[distance] - 1)
        return free

    def _find_distance(self, endpoint):
        if endpoint.region != self._own.region:
            return FAR
        return ZONE if endpoint.zone == self._own.zone else REGION
