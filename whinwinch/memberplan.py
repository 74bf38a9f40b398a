"""What the membership is set to, tells, and has done by others."""

from typing import NamedTuple

from . import messages
from .membertable import Member


class Settings(NamedTuple):
    """Figures of the membership; times are in seconds, sizes in bytes.

    Attributes:
        interval: Between two probes. One a second finds a dead member in about
            the time that callers need to notice by themselves.
        near_partners: Partners in the own zone.
        region_partners: Partners in other zones of the region.
        far_partners: Partners in other regions. Eight partners in all make a
            random graph that stays connected when half of the members are
            dead, and five in eight messages stay in the zone.
        rotation: Between two exchanges of a partner. The chance that nobody
            probes a member is e^-8; exchange ends that state within minutes.
        helpers: Members asked to repeat a failed probe.
        direct_misses: Failed probes in a row before a member is suspected
            where nobody else is in the region to help.
        suspicion: Time to contradict a suspicion, for ten members; grows with
            the logarithm of their number, as the way of a rumour does.
        tombstone: How long it is remembered that a member is gone. Longer than
            any rumour is on the way, so that an old one can't bring it back.
        region_time: How long the members of a region are kept of which nothing
            is heard. Regions lose each other for minutes.
        cut_misses: Failed probes of a region without an answer from it before
            its endpoints are left out.
        message_bytes: Most bytes of members in one message: one TCP segment.
        rumour_rate: Bytes of members a second that are sent on average, and
            `rumour_burst` at once. They keep a restart of a whole zone within
            the 3 KB/s that control may use.
        page_rate: Bytes a second of pages given to daemons that have just
            started, and `page_burst` at once. A page is answered or refused
            whole, and who is refused asks another.
        page_members: Members on one page.
        contacts: Members remembered from the log, to reach the mesh through.
    """

    interval: float = 1.0
    near_partners: int = 5
    region_partners: int = 2
    far_partners: int = 1
    rotation: float = 10.0
    helpers: int = 3
    direct_misses: int = 3
    suspicion: float = 5.0
    tombstone: float = 900.0
    region_time: float = 3600.0
    cut_misses: int = 3
    message_bytes: int = 1200
    rumour_rate: float = 800.0
    rumour_burst: float = 24_000.0
    page_rate: float = 5_000.0
    page_burst: float = 50_000.0
    page_members: int = 100
    contacts: int = 64


class Change(NamedTuple):
    """A change of the table that others may want to act on.

    Attributes:
        member: What is now known.
        joined: Whether the member was not present before.
    """

    member: Member
    joined: bool


class Digests(NamedTuple):
    """Digests of neighbouring buckets, from bucket `first` on."""

    first: int
    values: tuple[int, ...]


class MemberPage(NamedTuple):
    """A part of the member list for a daemon that has just started.

    Attributes:
        members: The members of whole buckets.
        next_bucket: Where the next page starts; unchanged when this daemon has
            given too many pages lately, and `membertable.BUCKETS` at the end.
    """

    members: tuple[Member, ...]
    next_bucket: int


class Probe(NamedTuple):
    """Instruction: send gossip to a daemon and see whether it answers."""

    daemon: str
    address: str
    members: tuple[Member, ...]
    digests: Digests


class ProbeVia(NamedTuple):
    """Instruction: let helpers probe a daemon that didn't answer.

    Attributes:
        daemon: The daemon in doubt.
        address: Its address.
        helpers: Endpoints of the members to ask.
    """

    daemon: str
    address: str
    helpers: tuple[messages.Endpoint, ...]
