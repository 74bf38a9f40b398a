"""Table of the members of the mesh, as observed by one daemon.

Load pattern: 4,500 members change a few times a minute, while every call looks up
the endpoints of one service. So the table is indexed by service and keeps the
endpoints of each service as an immutable tuple, which a request thread reads
without a lock. Without the index each call would scan all members (about a
millisecond); without the tuple a call could read a list that the event loop is
changing.

Members are assigned to buckets by a hash of their identifier, and every bucket has
a digest. Two daemons find the differences between their tables by comparing a few
digests at a time. With 256 buckets and 4,500 members a bucket holds 18, so that
resolving a difference costs about 2 KB, and all digests together take 1 KB.
"""

import contextlib
import enum
import math
import zlib
from typing import NamedTuple

from . import messages

BUCKETS = 256


class State(enum.Enum):
    """State of a member, as far as this daemon has received."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


# At the same version a suspicion or eviction supersedes a report that the member
# is alive: only the member itself may refute it, by raising its version.
_PRECEDENCE = {State.ALIVE: 0, State.LEAVING: 0, State.SUSPECT: 1, State.GONE: 2}


class Member(NamedTuple):
    """One daemon of the mesh.

    Attributes:
        endpoint: The daemon and its backend server.
        state: Its most recently received state.
        version: Number raised only by the member itself, when it changes or when
            it refutes a report that it is suspected or gone.
    """

    endpoint: messages.Endpoint
    state: State = State.ALIVE
    version: int = 1


class MemberTable:
    """Index of the members by identifier, by bucket and by service.

    Only one thread may use the table, except that `find_endpoints` may be called
    from any.
    """

    def __init__(self):
        self._buckets = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._members_by_service = {}
        self._endpoints = {}
        self._deferred = None
        self._unreachable_regions = frozenset()
        self._present = 0

    def __len__(self):
        """Count the members that aren't gone."""
        return self._present

    def copy(self):
        """Return an independent copy of the table."""
        copied = MemberTable()
        copied._buckets = [dict(bucket) for bucket in self._buckets]
        copied._digests = list(self._digests)
        copied._members_by_service = {
            name: dict(members) for name, members in self._members_by_service.items()
        }
        copied._endpoints = dict(self._endpoints)
        copied._unreachable_regions = self._unreachable_regions
        copied._present = self._present
        return copied

    def get(self, daemon):
        """Return the member with an identifier, or None if it is unknown."""
        return self._buckets[find_bucket(daemon)].get(daemon)

    def put(self, member):
        """Add a member or replace its previous entry."""
        daemon = member.endpoint.daemon
        bucket = find_bucket(daemon)
        old = self._buckets[bucket].get(daemon)
        self._buckets[bucket][daemon] = member
        self._update_digest(bucket, old, member)
        self._reindex(old, member)

    def remove(self, daemon):
        """Remove a member's entry, also that of a gone member."""
        bucket = find_bucket(daemon)
        old = self._buckets[bucket].pop(daemon, None)
        self._update_digest(bucket, old, None)
        self._reindex(old, None)

    @contextlib.contextmanager
    def defer_publishing(self):
        """Rebuild the endpoints of each changed service once, on leaving the block.

        A rebuild takes time proportional to the service's endpoints, so that
        adding a thousand endpoints of one service would cost a million steps.
        """
        self._deferred = set()
        try:
            yield
        finally:
            deferred, self._deferred = self._deferred, None
            for service in deferred:
                self._publish(service)

    def members(self):
        """Return all members, including those that are gone."""
        return tuple(member for bucket in self._buckets for member in bucket.values())

    def draw(self, random, count):
        """Return about `count` members chosen at random, possibly some gone ones.

        It returns whole buckets, at a cost that doesn't depend on the number of
        members, unlike a shuffle of all of them.

        Args:
            random: A `random.Random`.
            count: Approximate number of members.
        """
        if count >= self._present:
            return self.members()
        bucket_count = math.ceil(BUCKETS * count / self._present)
        chosen = random.sample(self._buckets, min(BUCKETS, bucket_count))
        return tuple(member for bucket in chosen for member in bucket.values())

    def find_bucket_members(self, bucket):
        """Return the members of one bucket, including those that are gone."""
        return tuple(self._buckets[bucket].values())

    def find_digests(self, first, count):
        """Return the digests of `count` buckets from `first` on, wrapping round.

        A digest covers the identifiers and versions of the members that aren't
        gone. Suspicion is not included, because it is either refuted or ends in
        eviction within seconds.
        """
        return tuple(self._digests[(first + i) % BUCKETS] for i in range(count))

    def find_endpoints(self, service):
        """Return the endpoints of a service.

        Endpoints that are suspected or in an unreachable region are excluded
        unless the service has no others. Leaving ones are included, with
        `leaving` set.
        """
        return self._endpoints.get(service, ())

    def exclude_regions(self, regions):
        """Exclude the endpoints of unreachable regions from services with others.

        Args:
            regions: The unreachable regions; they replace those of the last call.
        """
        regions = frozenset(regions)
        if regions == self._unreachable_regions:
            return
        self._unreachable_regions = regions
        for service in tuple(self._members_by_service):
            self._publish(service)

    def _update_digest(self, bucket, old, new):
        for member, step in ((old, -1), (new, 1)):
            if member is not None and member.state is not State.GONE:
                self._digests[bucket] ^= _hash_member(member)
                self._present += step

    def _reindex(self, old, new):
        changed_services = set()
        if old is not None and old.endpoint.service:
            changed_services.add(old.endpoint.service)
            self._find_service_members(old).pop(old.endpoint.daemon, None)
        if new is not None and new.endpoint.service:
            changed_services.add(new.endpoint.service)
            if new.state is not State.GONE:
                self._find_service_members(new)[new.endpoint.daemon] = new
        if self._deferred is not None:
            self._deferred |= changed_services
            return
        for service in changed_services:
            self._publish(service)

    def _find_service_members(self, member):
        return self._members_by_service.setdefault(member.endpoint.service, {})

    def _publish(self, service):
        service_members = self._members_by_service.get(service)
        if not service_members:
            self._members_by_service.pop(service, None)
            self._endpoints.pop(service, None)
            return
        usable = tuple(
            member.endpoint
            for member in service_members.values()
            if self._is_usable(member)
        )
        everything = tuple(member.endpoint for member in service_members.values())
        self._endpoints[service] = usable or everything

    def _is_usable(self, member):
        if member.state is State.SUSPECT:
            return False
        return member.endpoint.region not in self._unreachable_regions


def supersedes(new, old):
    """Return whether one update of a member replaces another."""
    return _find_precedence(new) > _find_precedence(old)


def find_bucket(daemon):
    """Return the bucket of an identifier, the same on every daemon."""
    return zlib.crc32(daemon.encode()) % BUCKETS


def _find_precedence(member):
    return member.version, _PRECEDENCE[member.state]


def _hash_member(member):
    return zlib.crc32(f"{member.endpoint.daemon}:{member.version}".encode())
