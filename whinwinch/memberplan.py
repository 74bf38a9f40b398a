"""Settings, table changes and instructions of the membership state machine."""

from typing import NamedTuple

from . import messages
from .membertable import Member


class Settings(NamedTuple):
    """Parameters of the membership; times are in seconds, sizes in bytes.

    Attributes:
        probe_interval: Time between two probes. At one a second a dead member is
            detected in about the time in which callers notice it themselves.
        near_partners: Number of partners in this daemon's availability zone.
        region_partners: Number of partners in other zones of its region.
        far_partners: Number of partners in other regions. Eight partners in
            all form a random graph that stays connected when half of the
            members are dead, and five in eight messages stay in the zone.
        rotation_interval: Mean time between two replacements of a partner. The
            chance that nobody probes a given member is e^-8; rotation ends that
            state within minutes.
        helpers: Number of helpers, members that repeat a failed probe.
        suspect_after_misses: Consecutive failed probes before a member is
            suspected when the region has no other member to confirm it, and
            before a contact from the log is dropped.
        suspicion_timeout: Time that a suspected member has to refute the
            suspicion, in a mesh of up to ten members. It grows with the
            logarithm of their number, as the time to spread a rumour does.
        tombstone_ttl: Time for which a gone member is remembered. Longer than
            any rumour is in transit, so that a stale one can't bring the member
            back.
        region_ttl: Time for which the members of a silent region are kept.
            Regions can lose contact with each other for minutes.
        unreachable_after_misses: Members of a region that have failed a probe,
            with no answer from that region since, before its endpoints are
            excluded.
        max_message_bytes: Maximum size of the members in one message: one TCP
            segment.
        rumour_rate: Bytes of members that may be sent per second on average.
        rumour_burst: Bytes of members that may be sent at once. Together with
            the rate it keeps the restart of a whole zone within the 3 KB/s
            that control traffic may use.
        page_rate: Bytes of member list pages per second sent to daemons that
            have just started.
        page_burst: Bytes of member list pages that may be sent at once. A page
            is sent whole or refused, and a refused daemon turns to another one.
        page_members: Number of members at which a page is full.
        max_contacts: Maximum number of daemons remembered from the log as
            contacts for reaching the mesh.
    """

    probe_interval: float = 1.0
    near_partners: int = 5
    region_partners: int = 2
    far_partners: int = 1
    rotation_interval: float = 10.0
    helpers: int = 3
    suspect_after_misses: int = 3
    suspicion_timeout: float = 5.0
    tombstone_ttl: float = 900.0
    region_ttl: float = 3600.0
    unreachable_after_misses: int = 3
    max_message_bytes: int = 1200
    rumour_rate: float = 800.0
    rumour_burst: float = 24_000.0
    page_rate: float = 5_000.0
    page_burst: float = 50_000.0
    page_members: int = 100
    max_contacts: int = 64


class Change(NamedTuple):
    """A change to the member table that other components may react to.

    Attributes:
        member: The member after the change.
        joined: Whether the member was not present before.
    """

    member: Member
    joined: bool


class Digests(NamedTuple):
    """Digests of consecutive buckets.

    Attributes:
        first: Index of the first bucket.
        values: The digests, in bucket order, wrapping round at the end.
    """

    first: int
    values: tuple[int, ...]


class MemberPage(NamedTuple):
    """A part of the member list for a daemon that has just started.

    Attributes:
        members: The members of whole buckets.
        next_bucket: Bucket at which the next page starts. It is the requested
            bucket again when the sender doesn't have the whole list or has sent
            too many pages recently, and `membertable.BUCKETS` after the last
            page.
    """

    members: tuple[Member, ...]
    next_bucket: int


class Probe(NamedTuple):
    """Instruction to send gossip to a daemon and record whether it answers.

    Attributes:
        daemon: Identifier of the daemon to probe.
        address: Its address.
        members: Rumours to send along.
        digests: Digests of some buckets, for the receiver to compare.
    """

    daemon: str
    address: str
    members: tuple[Member, ...]
    digests: Digests


class IndirectProbe(NamedTuple):
    """Instruction to have helpers probe a daemon that didn't answer.

    Attributes:
        daemon: Identifier of the daemon to probe.
        address: Its address.
        helpers: Endpoints of the members that probe it on request.
    """

    daemon: str
    address: str
    helpers: tuple[messages.Endpoint, ...]
