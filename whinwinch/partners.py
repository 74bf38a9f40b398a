"""Partial view of the mesh: the few members that a daemon probes in turn.

Load pattern: thousands of members, each of which has to be probed by some other
daemon. Since every daemon probes one partner per interval, the cost for a daemon
doesn't depend on the size of the mesh. Partners are kept for a while, so that
connections to them can be reused, and replaced one at a time. Most of them are in
the local availability zone, and so most messages stay there.
"""

import math

from .membertable import State

# Members drawn as candidates for partners. With a probability of nine in ten they
# include five of a zone that has a ninth of all members.
CANDIDATES = 96
# Distances: local availability zone, local region, other region.
ZONE, REGION, FAR = range(3)


class Partners:
    """The partners of one daemon and the order in which they are probed.

    Args:
        local: `messages.Endpoint` of this daemon.
        table: `membertable.MemberTable`.
        random: A `random.Random`.
        settings: `memberplan.Settings`.
    """

    def __init__(self, local, table, random, settings):
        self._local = local
        self._table = table
        self._random = random
        self._settings = settings
        self._partners = {}
        self._probe_order = []
        self._next_rotation = -math.inf
        self._replaces_far = False

    def drop(self, daemon):
        """Remove a member from the partners."""
        self._partners.pop(daemon, None)

    def replace(self, daemon, other, probe_next):
        """Replace a partner by another member.

        Args:
            daemon: Identifier of the partner.
            other: Identifier of the member that replaces it.
            probe_next: Whether that member is probed next rather than in its turn.
        """
        self._partners.pop(daemon, None)
        self._partners[other] = None
        if probe_next:
            self._probe_order.append(other)

    def rotate(self, now, region_answer_times):
        """Replace one partner when a rotation is due, and fill vacancies.

        Args:
            now: Time in seconds.
            region_answer_times: Time of the last answer from each region.
        """
        wanted = min(self._count_wanted(), len(self._table) - 1)
        due = now >= self._next_rotation
        if not due and len(self._partners) >= wanted:
            return
        if due:
            jitter = self._random.uniform(0.5, 1.5)
            self._next_rotation = now + jitter * self._settings.rotation_interval
            if self._partners and wanted < len(self._table) - 1:
                del self._partners[self._choose_replaced()]
        self._fill_vacancies(region_answer_times)

    def sample(self, count):
        """Return the endpoints of up to `count` partners chosen at random."""
        partners = [m.endpoint for m in map(self._table.get, self._partners) if m]
        return self._random.sample(partners, min(count, len(partners)))

    def choose_next(self):
        """Return the endpoint to probe next, or None without partners."""
        while self._probe_order or self._partners:
            if not self._probe_order:
                self._probe_order = list(self._partners)
                self._random.shuffle(self._probe_order)
            daemon = self._probe_order.pop()
            if daemon in self._partners:
                return self._table.get(daemon).endpoint
        return None

    def choose_helpers(self, daemon, unresponsive):
        """Return the endpoints of helpers, members that repeat a failed probe.

        Args:
            daemon: Identifier of the daemon whose probe failed.
            unresponsive: Identifiers of daemons that have failed a probe themselves.
        """
        eligible = [
            member.endpoint
            for member in map(self._table.get, self._partners)
            if member.endpoint.region == self._local.region
            and member.endpoint.daemon != daemon
            and member.endpoint.daemon not in unresponsive
            and member.state is not State.SUSPECT
        ]
        count = min(self._settings.helpers, len(eligible))
        return tuple(self._random.sample(eligible, count))

    def _choose_replaced(self):
        """Choose the partner to replace, every other time one in another region.

        There is one far partner by default. If it were replaced as rarely as the
        others, a daemon would take minutes to notice that a region is unreachable.
        """
        self._replaces_far = not self._replaces_far
        far = [
            daemon
            for daemon in self._partners
            if self._find_distance(self._table.get(daemon).endpoint) == FAR
        ]
        return self._random.choice(
            far if far and self._replaces_far else list(self._partners)
        )

    def _count_wanted(self):
        settings = self._settings
        return settings.near_partners + settings.region_partners + settings.far_partners

    def _fill_vacancies(self, region_answer_times):
        """Add partners from a sample or, where it lacks members, from the table.

        A sample hardly ever contains a member of a small zone in a large mesh.
        """
        for candidates in (
            self._table.draw(self._random, CANDIDATES),
            self._table.members(),
        ):
            spare = self._fill_from(candidates, region_answer_times)
            if not any(self._count_vacancies().values()):
                return
        missing = max(0, self._count_wanted() - len(self._partners))
        for endpoint in spare[:missing]:
            self._partners[endpoint.daemon] = None

    def _fill_from(self, candidates, region_answer_times):
        """Add partners from the candidates.

        Returns:
            The endpoints for which there is no vacancy, nearest first.
        """
        vacancies = self._count_vacancies()
        eligible = [
            member.endpoint
            for member in candidates
            if member.state is not State.GONE
            and member.endpoint.daemon not in self._partners
            and member.endpoint.daemon != self._local.daemon
        ]
        self._random.shuffle(eligible)
        # The region whose last answer is the oldest comes first.
        eligible.sort(
            key=lambda endpoint: region_answer_times.get(endpoint.region, -math.inf)
        )
        spare = []
        for endpoint in eligible:
            distance = self._find_distance(endpoint)
            if vacancies[distance] > 0:
                vacancies[distance] -= 1
                self._partners[endpoint.daemon] = None
            else:
                spare.append(endpoint)
        spare.sort(key=self._find_distance)
        return spare

    def _count_vacancies(self):
        """Return the number of vacancies by distance."""
        vacancies = {
            ZONE: self._settings.near_partners,
            REGION: self._settings.region_partners,
            FAR: self._settings.far_partners,
        }
        for daemon in self._partners:
            distance = self._find_distance(self._table.get(daemon).endpoint)
            vacancies[distance] = max(0, vacancies[distance] - 1)
        return vacancies

    def _find_distance(self, endpoint):
        if endpoint.region != self._local.region:
            return FAR
        return ZONE if endpoint.zone == self._local.zone else REGION
