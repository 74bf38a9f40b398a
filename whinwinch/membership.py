"""Who is there: membership by gossip, as a state machine without sockets.

The load pattern: thousands of daemons of which a few change each minute, now
and then five hundred at once, and regions that lose each other for minutes.

Each daemon probes one partner each interval and sends along what it has
recently learnt (rumours). The partners are a handful of members, most of them
in its own availability zone, which are exchanged one at a time, so that the
connections to them can be kept. Since everybody probes one member an interval,
the cost for a daemon doesn't depend on how many there are. Without this, a
daemon that kept watch on all of 4,500 would send and answer 9,000 probes each
interval.

A probe that fails is repeated by helpers. Only when a helper bears out that
the member doesn't answer is it suspected, and the suspicion is a rumour that
the member can contradict by raising its version. Without helpers one broken
path, or one slow daemon, would take healthy members out.

Only a member's own region takes it out. When regions lose each other, each
keeps the other's members, leaves their endpoints out while it has others, and
goes on probing them, so that the mesh heals by itself. The same holds for a
part of a region that was cut off: who is gone without having left is still
probed now and then.

Grounds for the figures in `memberplan.Settings` stand with them.
"""

import collections
import math

from . import membertable
from .memberplan import Change, Digests, MemberPage, Probe, ProbeVia, Settings
from .membertable import Member, State, supersedes
from .partners import Partners
from .rumours import Budget, Rumours, estimate_bytes

# Digests sent along with each probe: all buckets are compared in 32 probes,
# for 32 bytes a probe.
DIGESTS = 8
# A probe in so many goes to a member that is gone, or to a contact from the
# log that isn't known, to find a part of the mesh that was cut off.
RECONNECT_PROBES = 8
# Members of a region that is forgotten whose addresses are kept.
REMEMBERED_ENDPOINTS = 8
# Joins are counted over so many seconds, up to so many.
RECENT = 60.0
MOST_JOINS = 1000
# With more rumours than this waiting, digests aren't answered: about what fits
# into one message.
BUSY_RUMOURS = 16
# A planning call that comes so many intervals late means that this daemon was
# paused; what it holds against others is worth nothing then.
PAUSED_INTERVALS = 5


class Membership:
    """What one daemon knows of the mesh. One task owns it.

    `find_endpoints` alone may be called from other threads.

    Args:
        endpoint: This daemon.
        random: A `random.Random`.
        settings: Figures.
        table: A `membertable.MemberTable` that is already known.
    """

    def __init__(self, endpoint, random, settings=None, table=None):
        self.settings = settings or Settings()
        self._random = random
        self._own = Member(endpoint)
        self._table = table or membertable.MemberTable()
        figures = self.settings
        budget = Budget(figures.rumour_rate, figures.rumour_burst)
        self._rumours = Rumours(self._table, budget, figures.message_bytes)
        self._partners = Partners(endpoint, self._table, random, figures)
        self._doubts = {}
        self._misses = {}
        self._suspects = {}
        self._tombstones = {}
        self._lost = set()
        self._regions_heard = {}
        self._region_misses = {}
        self._lost_regions = {}
        self._joins = collections.deque(maxlen=MOST_JOINS)
        self._contacts = {}
        self._digest_cursor = random.randrange(membertable.BUCKETS)
        self._next_page = 0
        self._last_plan = None
        self._page_budget = Budget(figures.page_rate, figures.page_burst)
        self._table.put(self._own)
        self._rumours.add(endpoint.daemon)

    # What others may ask.

    @property
    def own(self):
        """This daemon as a `Member`."""
        return self._own

    @property
    def next_page(self):
        """Bucket from which the member list is still to be asked for.

        `membertable.BUCKETS` when the whole list has been received.
        """
        return self._next_page

    def __len__(self):
        """Count the members present, this daemon included."""
        return len(self._table)

    def members(self):
        """Return all members known, those that are gone too."""
        return self._table.members()

    def get(self, daemon):
        """Return the `Member` of that identifier, or None."""
        return self._table.get(daemon)

    def find_endpoints(self, service):
        """Return the endpoints of a service; safe from any thread."""
        return self._table.find_endpoints(service)

    def find_cut_regions(self):
        """Return the regions that have stopped answering."""
        return frozenset(
            region
            for region, misses in self._region_misses.items()
            if len(misses) >= self.settings.cut_misses
        )

    def find_contacts(self):
        """Return endpoints through which this daemon may reach the mesh.

        Members first, in random order, then those remembered from the log.
        """
        present = [
            member.endpoint
            for member in self._table.members()
            if member.state is State.ALIVE and member is not self._own
        ]
        remembered = list(self._contacts.values())
        self._random.shuffle(present)
        self._random.shuffle(remembered)
        return tuple(present + remembered)

    def count_joins(self, now):
        """Count the members that joined within the last minute."""
        while self._joins and now - self._joins[0] > RECENT:
            self._joins.popleft()
        return len(self._joins)

    # News.

    def announce(self, service, slots, leaving, now):
        """Tell the mesh of a change of this daemon's backend server.

        Args:
            service: Name of the service, "" when there is none.
            slots: Requests that the backend server can work on at once.
            leaving: Whether it takes no new work.
            now: Time in seconds.
        """
        endpoint = self._own.endpoint._replace(
            service=service, slots=slots, leaving=leaving
        )
        if endpoint == self._own.endpoint:
            return
        state = State.LEAVING if leaving else State.ALIVE
        self._change_own(endpoint, state, self._own.version + 1)

    def leave(self, now):
        """Tell the mesh that this daemon stops."""
        self._change_own(self._own.endpoint, State.GONE, self._own.version + 1)

    def merge(self, members, now):
        """Take in what another daemon tells.

        Args:
            members: Iterable of `Member`.
            now: Time in seconds.

        Returns:
            A tuple of `Change`, one for each member of which this was news.
        """
        return self._merge_all(members, now, spread=True)

    def take_page(self, page, now):
        """Take in a page of the member list and remember where the next starts.

        Returns:
            A tuple of `Change`.
        """
        self._next_page = max(self._next_page, page.next_bucket)
        return self._merge_all(page.members, now, spread=False)

    def finish_pages(self):
        """Ask for no more pages, and give them to others from now on."""
        self._next_page = membertable.BUCKETS

    def load_join(self, endpoint):
        """Remember a daemon from the log as a way to reach the mesh.

        It isn't a member before it has been heard of by gossip: the record may
        be old, and calls sent to a daemon that is long gone would fail.
        """
        if self._table.get(endpoint.daemon) is not None:
            return
        self._contacts.pop(endpoint.daemon, None)
        self._contacts[endpoint.daemon] = endpoint
        while len(self._contacts) > self.settings.contacts:
            del self._contacts[next(iter(self._contacts))]

    def load_leave(self, daemon):
        """Forget a way to reach the mesh, because the log says that it left."""
        self._contacts.pop(daemon, None)

    # Results of the instructions.

    def heard(self, daemon, now):
        """Note that a daemon answered, or sent a message, itself."""
        self._doubts.pop(daemon, None)
        self._misses.pop(daemon, None)
        endpoint = self._find_endpoint(daemon)
        if endpoint is None:
            return
        if self._table.get(daemon) is None:
            # It answers, so it is there. Version 0 lets any news replace this.
            self._take(Member(endpoint, State.ALIVE, 0), now)
        self._lost_regions.pop(endpoint.region, None)
        self._regions_heard[endpoint.region] = now
        if self._region_misses.pop(endpoint.region, None):
            self._table.hide_regions(self.find_cut_regions())

    def missed(self, daemon, now):
        """Note that a daemon did not answer a probe."""
        member = self._table.get(daemon)
        if member is None:
            self._miss_contact(daemon)
        if member is None or member.state is State.GONE:
            return
        region = member.endpoint.region
        if region != self._own.endpoint.region:
            self._miss_region(region, daemon, now)
            return
        self._misses[daemon] = self._misses.get(daemon, 0) + 1
        self._doubts.setdefault(daemon, now)

    def deny(self, daemon, now):
        """Note that a helper could not reach a daemon in doubt either."""
        self._doubts.pop(daemon, None)
        self._suspect(daemon, now)

    def replace(self, daemon, now):
        """Note that another daemon answers at this daemon's address.

        An instance was restarted before anyone missed it. Unless its former
        identifier is taken out at once, calls go to a daemon of another
        service until the suspicion has run out.
        """
        self._contacts.pop(daemon, None)
        member = self._table.get(daemon)
        if member is not None and member.state is not State.GONE:
            self._take(member._replace(state=State.GONE), now)
        self._lost.discard(daemon)

    # Instructions.

    def plan(self, now):
        """Decide what to send in this interval.

        Args:
            now: Time in seconds.

        Returns:
            A tuple of `Probe` and `ProbeVia`.
        """
        self._forgive_after_pause(now)
        self._expire(now)
        self._partners.rotate(now, self._regions_heard)
        instructions = self._plan_doubts(now)
        target = self._choose_target()
        if target is not None:
            instructions.append(self._address(target, now))
        return tuple(instructions)

    def plan_push(self, count, now):
        """Choose partners to which urgent news are sent at once.

        Args:
            count: Most partners wanted.
            now: Time in seconds.

        Returns:
            A tuple of `Probe`.
        """
        chosen = self._partners.sample(count)
        return tuple(self._address(endpoint, now) for endpoint in chosen)

    def take_rumours(self, now, about=""):
        """Choose the members to send along with a message, and count them sent.

        Args:
            now: Time in seconds.
            about: The daemon to which the message goes. What is held against
                it goes first, since it alone can contradict that.

        Returns:
            A tuple of `Member`, within the bytes allowed.
        """
        first = []
        addressee = self._table.get(about)
        if about and (addressee is None or addressee.version == 0):
            # Whoever isn't known here hardly knows this daemon either.
            first.append(self._own)
        elif addressee and addressee.state in (State.SUSPECT, State.GONE):
            first.append(addressee)
        return self._rumours.take(first, now)

    def compare(self, digests, now):
        """Return members of buckets in which a peer's digests differ.

        Args:
            digests: The peer's `Digests`.
            now: Time in seconds.

        Returns:
            A tuple of `Member`, within the bytes allowed.
        """
        if len(self._rumours) > BUSY_RUMOURS:
            # When a whole zone dies nearly all digests differ for a while, and
            # whole buckets of what everyone knows would crowd out the news.
            return ()
        own = self._table.find_digests(digests.first, len(digests.values))
        found = []
        for i, (ours, theirs) in enumerate(zip(own, digests.values, strict=True)):
            if ours != theirs:
                bucket = (digests.first + i) % membertable.BUCKETS
                found.extend(self._table.find_bucket_members(bucket))
        if not found:
            return ()
        self._random.shuffle(found)
        return self._rumours.cut(found, now)

    def give_page(self, bucket, now):
        """Return a page of the member list for a daemon that has just started.

        Args:
            bucket: Where the page starts.
            now: Time in seconds.
        """
        if self._next_page < membertable.BUCKETS:
            # Newcomers that took each other's short lists for whole ones would
            # find no endpoints for most services. They may get to know each
            # other, and go on looking for somebody who has the list.
            return MemberPage((self._own,), bucket)
        if self._page_budget.find_left(now) <= 0:
            return MemberPage((), bucket)
        found = []
        while bucket < membertable.BUCKETS and len(found) < self.settings.page_members:
            found.extend(self._table.find_bucket_members(bucket))
            bucket += 1
        self._page_budget.spend(sum(map(estimate_bytes, found)))
        return MemberPage(tuple(found), bucket)

    # One member.

    def _merge_all(self, members, now, spread):
        with self._table.defer_publishing():
            changes = [self._merge_one(member, now, spread) for member in members]
        return tuple(change for change in changes if change is not None)

    def _merge_one(self, member, now, spread):
        daemon = member.endpoint.daemon
        if daemon == self._own.endpoint.daemon:
            self._contradict(member)
            self._correct(member, self._own)
            return None
        known = self._table.get(daemon)
        if known is None:
            if not member.endpoint.address or member.state is State.GONE:
                return None
            if member.endpoint.region in self._lost_regions:
                return None
        elif not supersedes(member, known):
            self._correct(member, known)
            return None
        if known is not None and member.state in (State.SUSPECT, State.GONE):
            # Bad news travel without the endpoint, to keep them short.
            member = member._replace(endpoint=known.endpoint)
        return self._take(member, now, spread)

    def _take(self, member, now, spread=True):
        daemon = member.endpoint.daemon
        known = self._table.get(daemon)
        self._table.put(member)
        self._suspects.pop(daemon, None)
        self._tombstones.pop(daemon, None)
        self._lost.discard(daemon)
        self._contacts.pop(daemon, None)
        if member.state is State.SUSPECT:
            self._suspects[daemon] = now + self._find_suspicion_time()
        elif member.state is State.GONE:
            self._bury(daemon, known, member, now)
        if spread:
            self._rumours.add(daemon)
        joined = known is None or known.state is State.GONE
        joined = joined and member.state is not State.GONE
        if joined and spread:
            self._joins.append(now)
        return Change(member, joined)

    def _correct(self, told, known):
        """Have the news told again that somebody turned out not to know."""
        if told.version < known.version:
            self._rumours.repeat(known.endpoint.daemon)

    def _contradict(self, member):
        """Raise the own version above whatever is held against this daemon.

        It happens after a pause or a cut: the others took this daemon for
        dead. Unless it raised its version, its endpoint would get no work
        although it serves.
        """
        held = member.state in (State.SUSPECT, State.GONE)
        if self._own.state is State.GONE:
            return
        if held and member.version >= self._own.version:
            self._change_own(self._own.endpoint, self._own.state, member.version + 1)

    def _change_own(self, endpoint, state, version):
        self._own = Member(endpoint, state, version)
        self._table.put(self._own)
        self._rumours.add(endpoint.daemon)

    def _suspect(self, daemon, now):
        member = self._table.get(daemon)
        if member is not None and member.state in (State.ALIVE, State.LEAVING):
            self._take(member._replace(state=State.SUSPECT), now)

    def _bury(self, daemon, known, member, now):
        self._tombstones[daemon] = now + self.settings.tombstone
        # Who leaves raises its version. Anyone else who is gone was taken out
        # by others, perhaps because of a cut, and is worth another probe.
        if known is not None and member.version == known.version:
            self._lost.add(daemon)
        self._partners.drop(daemon)
        self._doubts.pop(daemon, None)
        self._misses.pop(daemon, None)

    def _find_suspicion_time(self):
        return self.settings.suspicion * max(1.0, math.log10(len(self._table)))

    def _miss_contact(self, daemon):
        self._misses[daemon] = self._misses.get(daemon, 0) + 1
        if self._misses[daemon] >= self.settings.direct_misses:
            self._contacts.pop(daemon, None)
            del self._misses[daemon]

    # Regions.

    def _miss_region(self, region, daemon, now):
        self._region_misses.setdefault(region, set()).add(daemon)
        self._regions_heard.setdefault(region, now)
        self._table.hide_regions(self.find_cut_regions())
        self._swap_far_partner(region, daemon)

    def _swap_far_partner(self, region, daemon):
        """Take another member of the region instead, and probe it next.

        A dead daemon isn't yet a region cut off. Until a few others have
        failed too, they are asked without waiting for their turn.
        """
        others = [
            member.endpoint.daemon
            for member in self._table.members()
            if member.endpoint.region == region and member.state is not State.GONE
        ]
        other = self._random.choice(others)
        soon = region not in self.find_cut_regions()
        self._partners.replace(daemon, other, soon)

    def _expire_regions(self, now):
        lost = [
            region
            for region in self._region_misses
            if now - self._regions_heard[region] > self.settings.region_time
        ]
        for region in lost:
            self._lose_region(region)

    def _lose_region(self, region):
        """Forget the members of a region, but for a few to look for it again.

        Until one of them answers, nobody's word on the region is taken.
        Daemons forget it at different moments, and would otherwise bring it
        back to each other for ever.
        """
        del self._region_misses[region]
        endpoints = [
            member.endpoint
            for member in self._table.members()
            if member.endpoint.region == region
        ]
        for endpoint in endpoints:
            self._forget(endpoint.daemon)
        count = min(REMEMBERED_ENDPOINTS, len(endpoints))
        chosen = self._random.sample(endpoints, count)
        self._lost_regions[region] = {e.daemon: e for e in chosen}

    def _find_endpoint(self, daemon):
        member = self._table.get(daemon)
        if member is not None:
            return member.endpoint
        for known in (self._contacts, *self._lost_regions.values()):
            if daemon in known:
                return known[daemon]
        return None

    # Time.

    def _forgive_after_pause(self, now):
        """Drop what is held against others when this daemon was paused.

        After a pause every answer is late and every suspicion has run out at
        once. A daemon that resumed would take out whoever it happened to
        suspect, although nobody had a chance to contradict.
        """
        last, self._last_plan = self._last_plan, now
        if last is None or now - last <= PAUSED_INTERVALS * self.settings.interval:
            return
        self._doubts.clear()
        self._misses.clear()
        self._region_misses.clear()
        self._table.hide_regions(())
        for daemon in self._suspects:
            self._suspects[daemon] = now + self._find_suspicion_time()

    def _expire(self, now):
        for daemon in _find_due(self._suspects, now):
            member = self._table.get(daemon)
            self._take(member._replace(state=State.GONE), now)
        for daemon in _find_due(self._tombstones, now):
            self._forget(daemon)
        self._expire_regions(now)

    def _forget(self, daemon):
        self._table.remove(daemon)
        self._lost.discard(daemon)
        self._rumours.forget(daemon)
        self._partners.drop(daemon)
        for held in (self._tombstones, self._suspects, self._doubts, self._misses):
            held.pop(daemon, None)

    # Whom to probe.

    def _choose_target(self):
        if self._random.randrange(RECONNECT_PROBES) == 0:
            lost = self._choose_lost()
            if lost is not None:
                return lost
        return self._partners.choose_next() or self._choose_lost()

    def _choose_lost(self):
        """Choose who is gone without having left, or was never heard of."""
        lost = list(self._contacts.values())
        for endpoints in self._lost_regions.values():
            lost.extend(endpoints.values())
        lost.extend(self._table.get(daemon).endpoint for daemon in self._lost)
        return self._random.choice(lost) if lost else None

    def _plan_doubts(self, now):
        instructions = []
        for daemon in tuple(self._doubts):
            endpoint = self._table.get(daemon).endpoint
            helpers = self._partners.choose_helpers(daemon, self._misses)
            if helpers:
                del self._doubts[daemon]
                instructions.append(ProbeVia(daemon, endpoint.address, helpers))
            elif self._is_alone_with(daemon) and (
                self._misses.get(daemon, 0) >= self.settings.direct_misses
            ):
                del self._doubts[daemon]
                self._suspect(daemon, now)
        return instructions

    def _is_alone_with(self, daemon):
        """Tell whether the region has nobody who could be asked for help.

        When there are others and all of them are silent, it is more likely
        that this daemon is cut off than that all have died at once.
        """
        others = [
            member
            for member in self._table.members()
            if member.endpoint.region == self._own.endpoint.region
            and member.state is not State.GONE
            and member.endpoint.daemon != daemon
            and member is not self._own
        ]
        return not others

    # What to send.

    def _address(self, endpoint, now):
        digests = Digests(
            self._digest_cursor,
            self._table.find_digests(self._digest_cursor, DIGESTS),
        )
        self._digest_cursor = (self._digest_cursor + DIGESTS) % membertable.BUCKETS
        rumours = self.take_rumours(now, endpoint.daemon)
        return Probe(endpoint.daemon, endpoint.address, rumours, digests)


def _find_due(deadlines, now):
    return [daemon for daemon, deadline in deadlines.items() if deadline <= now]
