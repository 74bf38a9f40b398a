"""Table of the members of the mesh, as one daemon knows them.

The load pattern: 4,500 members change a few times a minute, while every call
asks for the endpoints of one service. So the table is indexed by service, and
each service's endpoints stand ready as an immutable tuple that a request
thread reads without a lock. Without the index each call would scan all
members (about a millisecond); without the tuple a call could see a list that
the event loop is changing.

Members are spread over buckets by a hash of their identifier, and every bucket
has a digest. Two daemons find out what they disagree on by comparing a few
digests instead of their tables. Grounds for `BUCKETS`: at 4,500 members a
bucket holds 18, so that a difference costs about 2 KB to settle, and all
digests together are 1 KB.
"""

import contextlib
import enum
import math
import zlib
from typing import NamedTuple

from . import messages

BUCKETS = 256


class State(enum.Enum):
    """What is known of a member."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


# At the same version, bad news go before good: only the member itself may
# contradict them, by raising its version.
_PRECEDENCE = {State.ALIVE: 0, State.LEAVING: 0, State.SUSPECT: 1, State.GONE: 2}


class Member(NamedTuple):
    """One daemon of the mesh.

    Attributes:
        endpoint: The daemon and its backend server.
        state: What is known of it.
        version: Raised only by the member itself, when it changes or when it
            contradicts a suspicion.
    """

    endpoint: messages.Endpoint
    state: State = State.ALIVE
    version: int = 1


class MemberTable:
    """Members by identifier, by bucket and by service.

    Only one thread changes the table; `find_endpoints` may be called from any.
    """

    def __init__(self):
        self._buckets = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._services = {}
        self._endpoints = {}
        self._deferred = None
        self._cut_regions = frozenset()
        self._present = 0

    def __len__(self):
        """Count the members that aren't gone."""
        return self._present

    def copy(self):
        """Return a table of the same members that changes by itself."""
        copied = MemberTable()
        copied._buckets = [dict(bucket) for bucket in self._buckets]
        copied._digests = list(self._digests)
        copied._services = {name: dict(held) for name, held in self._services.items()}
        copied._endpoints = dict(self._endpoints)
        copied._cut_regions = self._cut_regions
        copied._present = self._present
        return copied

    def get(self, daemon):
        """Return the member of that identifier, or None."""
        return self._buckets[find_bucket(daemon)].get(daemon)

    def put(self, member):
        """Add a member, or replace what was known of it."""
        daemon = member.endpoint.daemon
        bucket = find_bucket(daemon)
        old = self._buckets[bucket].get(daemon)
        self._buckets[bucket][daemon] = member
        self._account(bucket, old, member)
        self._reindex(old, member)

    def remove(self, daemon):
        """Forget a member, also that it is gone."""
        bucket = find_bucket(daemon)
        old = self._buckets[bucket].pop(daemon, None)
        self._account(bucket, old, None)
        self._reindex(old, None)

    @contextlib.contextmanager
    def defer_publishing(self):
        """Publish each service's endpoints once, after many changes.

        Each publication costs as much as the service has endpoints, so that a
        list of a thousand endpoints of one service would cost a million steps.
        """
        self._deferred = set()
        try:
            yield
        finally:
            deferred, self._deferred = self._deferred, None
            for service in deferred:
                self._publish(service)

    def members(self):
        """Return all members, those that are gone too."""
        return tuple(member for bucket in self._buckets for member in bucket.values())

    def draw(self, random, count):
        """Draw members at random, about `count` and possibly some gone ones.

        It takes whole buckets and costs the same however many members there
        are, while shuffling thousands to take a few would not.
        """
        if count >= self._present:
            return self.members()
        wanted = math.ceil(BUCKETS * count / self._present)
        chosen = random.sample(self._buckets, min(BUCKETS, wanted))
        return tuple(member for bucket in chosen for member in bucket.values())

    def find_bucket_members(self, bucket):
        """Return the members of one bucket, those that are gone too."""
        return tuple(self._buckets[bucket].values())

    def find_digests(self, first, count):
        """Return the digests of `count` buckets from `first` on, wrapping round.

        A digest covers who is present at which version. Suspicion is left out,
        because it is either contradicted or settled within seconds.
        """
        return tuple(self._digests[(first + i) % BUCKETS] for i in range(count))

    def find_endpoints(self, service):
        """Return the endpoints of a service.

        Those that are suspect or in a region that is cut off are left out,
        unless no other is left. Those that are leaving are marked so.
        """
        return self._endpoints.get(service, ())

    def hide_regions(self, regions):
        """Leave the endpoints of these regions out while others are left."""
        regions = frozenset(regions)
        if regions == self._cut_regions:
            return
        self._cut_regions = regions
        for service in tuple(self._services):
            self._publish(service)

    def _account(self, bucket, old, new):
        for member, step in ((old, -1), (new, 1)):
            if member is not None and member.state is not State.GONE:
                self._digests[bucket] ^= _hash_member(member)
                self._present += step

    def _reindex(self, old, new):
        touched = set()
        if old is not None and old.endpoint.service:
            touched.add(old.endpoint.service)
            self._find_service(old).pop(old.endpoint.daemon, None)
        if new is not None and new.endpoint.service:
            touched.add(new.endpoint.service)
            if new.state is not State.GONE:
                self._find_service(new)[new.endpoint.daemon] = new
        if self._deferred is not None:
            self._deferred |= touched
            return
        for service in touched:
            self._publish(service)

    def _find_service(self, member):
        return self._services.setdefault(member.endpoint.service, {})

    def _publish(self, service):
        of_service = self._services.get(service)
        if not of_service:
            self._services.pop(service, None)
            self._endpoints.pop(service, None)
            return
        shown = tuple(
            member.endpoint for member in of_service.values() if self._is_shown(member)
        )
        everything = tuple(member.endpoint for member in of_service.values())
        self._endpoints[service] = shown or everything

    def _is_shown(self, member):
        if member.state is State.SUSPECT:
            return False
        return member.endpoint.region not in self._cut_regions


def supersedes(new, old):
    """Tell whether one piece of news of a member replaces another."""
    return _find_precedence(new) > _find_precedence(old)


def find_bucket(daemon):
    """Return the bucket of a daemon's identifier, the same everywhere."""
    return zlib.crc32(daemon.encode()) % BUCKETS


def _find_precedence(member):
    return member.version, _PRECEDENCE[member.state]


def _hash_member(member):
    return zlib.crc32(f"{member.endpoint.daemon}:{member.version}".encode())
