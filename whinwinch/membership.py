"""Gossip membership of the mesh, as a state machine that does no I/O.

Load pattern: thousands of daemons, of which a few change per minute and now and
then five hundred at once, and regions that lose contact with each other for
minutes.

In each interval, each daemon probes one partner and sends recent membership
updates (rumours) along. The partners are a handful of members, most of them in
its own availability zone. They are replaced one at a time, so that connections
to them can be kept. Since every daemon probes one member per interval, the cost
for a daemon doesn't depend on the size of the mesh. A daemon that watched all of
4,500 members would send and answer 9,000 probes per interval.

A failed probe is repeated by other members, the helpers. A member is suspected
only when a helper confirms that it doesn't answer. The suspicion spreads as a
rumour, which the member can refute by raising its version. Without helpers, one
broken path or one slow daemon would evict healthy members.

A member is evicted only by daemons of its own region. When regions lose contact
with each other, each keeps the members of the other, excludes their endpoints as
long as it has others, and continues to probe them, so that the mesh recovers without
intervention. Likewise for a part of a region that was cut off: members that are
gone without having left are still probed occasionally.

The parameters and the reasons for their values are in `memberplan.Settings`.
"""

import collections
import math

from . import membertable
from .memberplan import Change, Digests, IndirectProbe, MemberPage, Probe, Settings
from .membertable import Member, State, supersedes
from .partners import Partners
from .rumours import Rumours, TokenBucket, estimate_bytes

# Digests sent with each probe: 32 probes compare all buckets, at 32 bytes per
# probe.
DIGESTS_PER_PROBE = 8
# One in this many probes goes to an evicted member, or to a contact from the log
# that isn't a member, to find a part of the mesh that was cut off.
PROBES_PER_RECONNECT = 8
# Members of a forgotten region whose endpoints are kept for probing it again.
MAX_REGION_CONTACTS = 8
# Window in seconds over which joins are counted, and the maximum count.
JOIN_WINDOW = 60.0
MAX_COUNTED_JOINS = 1000
# With more pending rumours than this, about as many as fit into one message, digests
# aren't answered.
MAX_RUMOURS_FOR_COMPARISON = 16
# A planning call this many intervals after the previous one means that this
# daemon was paused, so that the failures it has recorded are meaningless.
PAUSED_INTERVALS = 5


class Membership:
    """The members of the mesh as observed by this daemon; used by a single task.

    Only `find_endpoints` may be called from other threads.

    Args:
        endpoint: `messages.Endpoint` of this daemon.
        random: A `random.Random`.
        settings: `Settings`, or None for the defaults.
        table: `membertable.MemberTable` to start from, or None for an empty one.
    """

    def __init__(self, endpoint, random, settings=None, table=None):
        self.settings = settings or Settings()
        self._random = random
        self._local = Member(endpoint)
        self._table = table or membertable.MemberTable()
        parameters = self.settings
        budget = TokenBucket(parameters.rumour_rate, parameters.rumour_burst)
        self._rumours = Rumours(self._table, budget, parameters.max_message_bytes)
        self._partners = Partners(endpoint, self._table, random, parameters)
        # Times of first failed probes, not yet confirmed by a helper, by daemon.
        self._unconfirmed = {}
        # Failed probes since the last answer, by daemon.
        self._missed_probes = {}
        # Times at which suspected members are evicted, by daemon.
        self._suspicion_deadlines = {}
        # Times at which gone members are forgotten, by daemon.
        self._tombstones = {}
        self._evicted = set()
        self._region_answer_times = {}
        # Daemons that have failed a probe since their region last answered.
        self._silent_by_region = {}
        # Endpoints for probing forgotten regions, by region and daemon.
        self._forgotten_regions = {}
        self._join_times = collections.deque(maxlen=MAX_COUNTED_JOINS)
        self._contacts = {}
        self._digest_cursor = random.randrange(membertable.BUCKETS)
        self._next_bucket = 0
        self._last_plan = None
        self._page_budget = TokenBucket(parameters.page_rate, parameters.page_burst)
        self._table.put(self._local)
        self._rumours.add(endpoint.daemon)

    # Queries.

    @property
    def local_member(self):
        """This daemon as a `Member`."""
        return self._local

    @property
    def next_bucket(self):
        """Bucket from which the member list remains to be fetched.

        `membertable.BUCKETS` when the whole list has been received.
        """
        return self._next_bucket

    def __len__(self):
        """Count the members that aren't gone, including this daemon."""
        return len(self._table)

    def members(self):
        """Return all members, including those that are gone."""
        return self._table.members()

    def get(self, daemon):
        """Return the `Member` with an identifier, or None if it is unknown."""
        return self._table.get(daemon)

    def find_endpoints(self, service):
        """Return the endpoints of a service; safe to call from any thread."""
        return self._table.find_endpoints(service)

    def find_unreachable_regions(self):
        """Return the regions that have stopped answering."""
        return frozenset(
            region
            for region, silent in self._silent_by_region.items()
            if len(silent) >= self.settings.unreachable_after_misses
        )

    def find_contacts(self):
        """Return endpoints through which this daemon may reach the mesh.

        Members come first, in random order, followed by contacts from the log.
        """
        present = [
            member.endpoint
            for member in self._table.members()
            if member.state is State.ALIVE and member is not self._local
        ]
        remembered = list(self._contacts.values())
        self._random.shuffle(present)
        self._random.shuffle(remembered)
        return tuple(present + remembered)

    def count_joins(self, now):
        """Count the members that joined within the last minute."""
        while self._join_times and now - self._join_times[0] > JOIN_WINDOW:
            self._join_times.popleft()
        return len(self._join_times)

    # Updates.

    def announce(self, service, slots, leaving, now):
        """Publish a change of this daemon's backend server to the mesh.

        Args:
            service: Name of the service, "" when there is no backend server.
            slots: Requests that the backend server can process concurrently.
            leaving: Whether it accepts no new requests.
            now: Time in seconds.
        """
        endpoint = self._local.endpoint._replace(
            service=service, slots=slots, leaving=leaving
        )
        if endpoint == self._local.endpoint:
            return
        state = State.LEAVING if leaving else State.ALIVE
        self._change_local(endpoint, state, self._local.version + 1)

    def leave(self, now):
        """Publish to the mesh that this daemon stops."""
        self._change_local(self._local.endpoint, State.GONE, self._local.version + 1)

    def merge(self, members, now):
        """Apply member updates received from another daemon.

        Args:
            members: Iterable of `Member`.
            now: Time in seconds.

        Returns:
            A tuple of `Change`, one for each update that was applied.
        """
        return self._merge_all(members, now, spread=True)

    def apply_page(self, page, now):
        """Apply a page of the member list and record where the next one starts.

        Args:
            page: The `MemberPage`.
            now: Time in seconds.

        Returns:
            A tuple of `Change`.
        """
        self._next_bucket = max(self._next_bucket, page.next_bucket)
        return self._merge_all(page.members, now, spread=False)

    def stop_fetching_pages(self):
        """Fetch no more pages, and serve pages to other daemons from now on."""
        self._next_bucket = membertable.BUCKETS

    def add_contact(self, endpoint):
        """Add a daemon from the log as a contact for reaching the mesh.

        It becomes a member only once gossip has confirmed it: the record may be
        old, and calls sent to a daemon that is long gone would fail.
        """
        if self._table.get(endpoint.daemon) is not None:
            return
        self._contacts.pop(endpoint.daemon, None)
        self._contacts[endpoint.daemon] = endpoint
        while len(self._contacts) > self.settings.max_contacts:
            del self._contacts[next(iter(self._contacts))]

    def remove_contact(self, daemon):
        """Remove a contact that has left or was replaced by another daemon."""
        self._contacts.pop(daemon, None)

    # Results of planned instructions.

    def record_alive(self, daemon, now):
        """Record that a daemon answered a probe or sent a message."""
        self._unconfirmed.pop(daemon, None)
        self._missed_probes.pop(daemon, None)
        endpoint = self._find_endpoint(daemon)
        if endpoint is None:
            return
        if self._table.get(daemon) is None:
            # It answers, so it is alive. Any update replaces version 0.
            self._apply(Member(endpoint, State.ALIVE, 0), now)
        self._forgotten_regions.pop(endpoint.region, None)
        self._region_answer_times[endpoint.region] = now
        if self._silent_by_region.pop(endpoint.region, None):
            self._table.exclude_regions(self.find_unreachable_regions())

    def record_missed_probe(self, daemon, now):
        """Record that a daemon did not answer a probe."""
        member = self._table.get(daemon)
        if member is None:
            self._record_missed_contact(daemon)
        if member is None or member.state is State.GONE:
            return
        region = member.endpoint.region
        if region != self._local.endpoint.region:
            self._record_missed_region(region, daemon, now)
            return
        self._missed_probes[daemon] = self._missed_probes.get(daemon, 0) + 1
        self._unconfirmed.setdefault(daemon, now)

    def record_confirmed_failure(self, daemon, now):
        """Record that helpers could not reach an unresponsive daemon either."""
        self._unconfirmed.pop(daemon, None)
        self._suspect(daemon, now)

    def record_replaced(self, daemon, now):
        """Record that another daemon answers at this daemon's address.

        The instance was restarted before its absence was detected. Unless its
        former identifier is evicted at once, calls to it reach a daemon of
        another service until the suspicion times out.
        """
        self._contacts.pop(daemon, None)
        member = self._table.get(daemon)
        if member is not None and member.state is not State.GONE:
            self._apply(member._replace(state=State.GONE), now)
        self._evicted.discard(daemon)

    # Planning of instructions.

    def plan(self, now):
        """Choose the messages to send in this interval.

        Args:
            now: Time in seconds.

        Returns:
            A tuple of `Probe` and `IndirectProbe`.
        """
        self._reset_after_pause(now)
        self._expire(now)
        self._partners.rotate(now, self._region_answer_times)
        instructions = self._plan_confirmations(now)
        target = self._choose_target()
        if target is not None:
            instructions.append(self._build_probe(target, now))
        return tuple(instructions)

    def plan_push(self, count, now):
        """Choose partners to which urgent updates are sent at once.

        Args:
            count: Maximum number of partners.
            now: Time in seconds.

        Returns:
            A tuple of `Probe`.
        """
        chosen = self._partners.sample(count)
        return tuple(self._build_probe(endpoint, now) for endpoint in chosen)

    def select_rumours(self, now, receiver_id=""):
        """Choose the members to send along with a message and count them as sent.

        Args:
            now: Time in seconds.
            receiver_id: Identifier of the receiver. If it is suspected or gone here,
                its state is sent first, since only the receiver can refute it.

        Returns:
            A tuple of `Member`, within the allowed bytes.
        """
        first = []
        receiver = self._table.get(receiver_id)
        if receiver_id and (receiver is None or receiver.version == 0):
            # A daemon unknown here is unlikely to have this daemon in its table.
            first.append(self._local)
        elif receiver and receiver.state in (State.SUSPECT, State.GONE):
            first.append(receiver)
        return self._rumours.select(first, now)

    def find_differing_members(self, digests, now):
        """Return members of the buckets whose digests differ from a peer's.

        Args:
            digests: The peer's `Digests`.
            now: Time in seconds.

        Returns:
            A tuple of `Member`, within the allowed bytes.
        """
        if len(self._rumours) > MAX_RUMOURS_FOR_COMPARISON:
            # When a whole zone fails, nearly all digests differ for a while, and
            # whole buckets of unchanged members would take the bandwidth of
            # rumours.
            return ()
        local = self._table.find_digests(digests.first, len(digests.values))
        differing = []
        for i, (ours, theirs) in enumerate(zip(local, digests.values, strict=True)):
            if ours != theirs:
                bucket = (digests.first + i) % membertable.BUCKETS
                differing.extend(self._table.find_bucket_members(bucket))
        if not differing:
            return ()
        self._random.shuffle(differing)
        return self._rumours.truncate(differing, now)

    def build_page(self, bucket, now):
        """Return a page of the member list for a daemon that has just started.

        Args:
            bucket: Bucket at which the page starts.
            now: Time in seconds.

        Returns:
            A `MemberPage`.
        """
        if self._next_bucket < membertable.BUCKETS:
            # A newcomer that accepted another newcomer's partial list as complete
            # would find no endpoints for most services. So they only add each
            # other, and continue to look for a daemon that has the whole list.
            return MemberPage((self._local,), bucket)
        if self._page_budget.find_available(now) <= 0:
            return MemberPage((), bucket)
        listed = []
        while bucket < membertable.BUCKETS and len(listed) < self.settings.page_members:
            listed.extend(self._table.find_bucket_members(bucket))
            bucket += 1
        self._page_budget.spend(sum(map(estimate_bytes, listed)))
        return MemberPage(tuple(listed), bucket)

    # State of one member.

    def _merge_all(self, members, now, spread):
        with self._table.defer_publishing():
            changes = [self._merge_one(member, now, spread) for member in members]
        return tuple(change for change in changes if change is not None)

    def _merge_one(self, member, now, spread):
        daemon = member.endpoint.daemon
        if daemon == self._local.endpoint.daemon:
            self._refute(member)
            self._resend_if_newer(member, self._local)
            return None
        current = self._table.get(daemon)
        if current is None:
            if not member.endpoint.address or member.state is State.GONE:
                return None
            if member.endpoint.region in self._forgotten_regions:
                return None
        elif not supersedes(member, current):
            self._resend_if_newer(member, current)
            return None
        if current is not None and member.state in (State.SUSPECT, State.GONE):
            # These updates are sent without the endpoint, to save bytes.
            member = member._replace(endpoint=current.endpoint)
        return self._apply(member, now, spread)

    def _apply(self, member, now, spread=True):
        daemon = member.endpoint.daemon
        previous = self._table.get(daemon)
        self._table.put(member)
        self._suspicion_deadlines.pop(daemon, None)
        self._tombstones.pop(daemon, None)
        self._evicted.discard(daemon)
        self._contacts.pop(daemon, None)
        if member.state is State.SUSPECT:
            self._suspicion_deadlines[daemon] = now + self._find_suspicion_timeout()
        elif member.state is State.GONE:
            self._record_gone(daemon, previous, member, now)
        if spread:
            self._rumours.add(daemon)
        joined = previous is None or previous.state is State.GONE
        joined = joined and member.state is not State.GONE
        if joined and spread:
            self._join_times.append(now)
        return Change(member, joined)

    def _resend_if_newer(self, received, current):
        """Resend the current state of a member if a peer sent an older version."""
        if received.version < current.version:
            self._rumours.resend(current.endpoint.daemon)

    def _refute(self, member):
        """Raise the local version above a report that this daemon is down.

        After a pause or a network cut the others consider this daemon dead. If it
        didn't raise its version, its endpoint would receive no requests although
        it can serve them.
        """
        reported_down = member.state in (State.SUSPECT, State.GONE)
        if self._local.state is State.GONE:
            return
        if reported_down and member.version >= self._local.version:
            self._change_local(
                self._local.endpoint, self._local.state, member.version + 1
            )

    def _change_local(self, endpoint, state, version):
        self._local = Member(endpoint, state, version)
        self._table.put(self._local)
        self._rumours.add(endpoint.daemon)

    def _suspect(self, daemon, now):
        member = self._table.get(daemon)
        if member is not None and member.state in (State.ALIVE, State.LEAVING):
            self._apply(member._replace(state=State.SUSPECT), now)

    def _record_gone(self, daemon, previous, member, now):
        self._tombstones[daemon] = now + self.settings.tombstone_ttl
        # A leaving member raises its version. With the version unchanged it was
        # evicted by others, perhaps because of a network cut, and is worth
        # probing again.
        if previous is not None and member.version == previous.version:
            self._evicted.add(daemon)
        self._partners.drop(daemon)
        self._unconfirmed.pop(daemon, None)
        self._missed_probes.pop(daemon, None)

    def _find_suspicion_timeout(self):
        return self.settings.suspicion_timeout * max(1.0, math.log10(len(self._table)))

    def _record_missed_contact(self, daemon):
        self._missed_probes[daemon] = self._missed_probes.get(daemon, 0) + 1
        if self._missed_probes[daemon] >= self.settings.suspect_after_misses:
            self._contacts.pop(daemon, None)
            del self._missed_probes[daemon]

    # Regions.

    def _record_missed_region(self, region, daemon, now):
        self._silent_by_region.setdefault(region, set()).add(daemon)
        self._region_answer_times.setdefault(region, now)
        self._table.exclude_regions(self.find_unreachable_regions())
        self._swap_far_partner(region, daemon)

    def _swap_far_partner(self, region, daemon):
        """Replace a silent far partner by another member of its region.

        A dead daemon doesn't mean that its region is unreachable. Until enough
        others have failed too, the replacement is probed next rather than in
        its turn.
        """
        others = [
            member.endpoint.daemon
            for member in self._table.members()
            if member.endpoint.region == region and member.state is not State.GONE
        ]
        other = self._random.choice(others)
        probe_next = region not in self.find_unreachable_regions()
        self._partners.replace(daemon, other, probe_next)

    def _expire_regions(self, now):
        lost = [
            region
            for region in self._silent_by_region
            if now - self._region_answer_times[region] > self.settings.region_ttl
        ]
        for region in lost:
            self._forget_region(region)

    def _forget_region(self, region):
        """Forget the members of a region, except a few contacts for probing it.

        Until one of them answers, updates about the region are ignored. Daemons
        forget it at different moments, and would otherwise reintroduce it to
        each other forever.
        """
        del self._silent_by_region[region]
        endpoints = [
            member.endpoint
            for member in self._table.members()
            if member.endpoint.region == region
        ]
        for endpoint in endpoints:
            self._forget(endpoint.daemon)
        count = min(MAX_REGION_CONTACTS, len(endpoints))
        chosen = self._random.sample(endpoints, count)
        self._forgotten_regions[region] = {e.daemon: e for e in chosen}

    def _find_endpoint(self, daemon):
        member = self._table.get(daemon)
        if member is not None:
            return member.endpoint
        for contacts in (self._contacts, *self._forgotten_regions.values()):
            if daemon in contacts:
                return contacts[daemon]
        return None

    # Timeouts.

    def _reset_after_pause(self, now):
        """Clear the recorded failures of other daemons after a local pause.

        After a pause every answer is late and every suspicion has timed out at
        once. On resuming, this daemon would evict all members that it suspected,
        although they had no chance to refute the suspicion.
        """
        last, self._last_plan = self._last_plan, now
        if (
            last is None
            or now - last <= PAUSED_INTERVALS * self.settings.probe_interval
        ):
            return
        self._unconfirmed.clear()
        self._missed_probes.clear()
        self._silent_by_region.clear()
        self._table.exclude_regions(())
        for daemon in self._suspicion_deadlines:
            self._suspicion_deadlines[daemon] = now + self._find_suspicion_timeout()

    def _expire(self, now):
        for daemon in _find_due(self._suspicion_deadlines, now):
            member = self._table.get(daemon)
            self._apply(member._replace(state=State.GONE), now)
        for daemon in _find_due(self._tombstones, now):
            self._forget(daemon)
        self._expire_regions(now)

    def _forget(self, daemon):
        self._table.remove(daemon)
        self._evicted.discard(daemon)
        self._rumours.forget(daemon)
        self._partners.drop(daemon)
        for by_daemon in (
            self._tombstones,
            self._suspicion_deadlines,
            self._unconfirmed,
            self._missed_probes,
        ):
            by_daemon.pop(daemon, None)

    # Choice of probe targets.

    def _choose_target(self):
        if self._random.randrange(PROBES_PER_RECONNECT) == 0:
            lost = self._choose_reconnect_target()
            if lost is not None:
                return lost
        return self._partners.choose_next() or self._choose_reconnect_target()

    def _choose_reconnect_target(self):
        """Choose a contact, a forgotten region's daemon or an evicted member."""
        lost = list(self._contacts.values())
        for endpoints in self._forgotten_regions.values():
            lost.extend(endpoints.values())
        lost.extend(self._table.get(daemon).endpoint for daemon in self._evicted)
        return self._random.choice(lost) if lost else None

    def _plan_confirmations(self, now):
        """Have helpers repeat failed probes, or suspect members without them."""
        instructions = []
        for daemon in tuple(self._unconfirmed):
            endpoint = self._table.get(daemon).endpoint
            helpers = self._partners.choose_helpers(daemon, self._missed_probes)
            if helpers:
                del self._unconfirmed[daemon]
                instructions.append(IndirectProbe(daemon, endpoint.address, helpers))
            elif self._is_alone_with(daemon) and (
                self._missed_probes.get(daemon, 0) >= self.settings.suspect_after_misses
            ):
                del self._unconfirmed[daemon]
                self._suspect(daemon, now)
        return instructions

    def _is_alone_with(self, daemon):
        """Return whether this daemon and another are the only ones of their region.

        When there are others and none of them answers, it is more likely that
        this daemon is cut off than that all of them failed at once.
        """
        others = [
            member
            for member in self._table.members()
            if member.endpoint.region == self._local.endpoint.region
            and member.state is not State.GONE
            and member.endpoint.daemon != daemon
            and member is not self._local
        ]
        return not others

    # Construction of probes.

    def _build_probe(self, endpoint, now):
        digests = Digests(
            self._digest_cursor,
            self._table.find_digests(self._digest_cursor, DIGESTS_PER_PROBE),
        )
        self._digest_cursor = (
            self._digest_cursor + DIGESTS_PER_PROBE
        ) % membertable.BUCKETS
        rumours = self.select_rumours(now, endpoint.daemon)
        return Probe(endpoint.daemon, endpoint.address, rumours, digests)


def _find_due(deadlines, now):
    return [daemon for daemon, deadline in deadlines.items() if deadline <= now]
