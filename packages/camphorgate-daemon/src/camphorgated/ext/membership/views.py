"""Views of members and clients of peers for other extensions."""

import math

import msgspec

from camphorgate.membership.roster import Member, MemberState, Roster
from camphorgate.peers.links import PeerLinks
from camphorgate.peers.peers_pb2 import EpochAcknowledgement, EpochNotice


class MemberView(msgspec.Struct, frozen=True):
    """A listed instance as other extensions see it.

    ``state`` is ``live``, ``leaving`` or ``silent``; ``age_seconds`` is the time since
    this instance last heard from it, ``None`` if it never did.
    """

    instance_id: str
    incarnation: int
    availability_zone: str
    region: str
    peer_address: str
    live: bool
    leaving: bool
    version: int
    age_seconds: float | None

    @property
    def zone(self) -> str:
        """Return the availability zone."""
        return self.availability_zone

    @property
    def state(self) -> str:
        """Return the state as a string."""
        if not self.live:
            return "silent"
        return "leaving" if self.leaving else "live"


class Peer(msgspec.Struct, frozen=True):
    """Client for calls to one instance."""

    instance_id: str
    address: str
    links: PeerLinks

    async def acknowledge_epoch(
        self, duty: str, epoch: int, sender: str
    ) -> EpochAcknowledgement:
        """Ask the instance to acknowledge a newer epoch.

        :raises PeerError: if it does not answer; nothing is acknowledged then.
        """
        notice = EpochNotice(duty=duty, epoch=epoch, sender=sender)
        return await self.links.acknowledge_epoch(self.address, notice)

    async def report(self, timeout: float) -> bytes:
        """Return the instance's part of the operators' report.

        :param timeout: timeout of the call in seconds.
        :raises PeerError: if it does not answer.
        """
        return await self.links.report(self.address, timeout)


def view_member(roster: Roster, member: Member, now: float) -> MemberView:
    """Return a member as other extensions see it."""
    own = member is roster.own
    return MemberView(
        member.instance_id,
        member.incarnation,
        member.availability_zone,
        member.region,
        member.peer_address,
        live=roster.is_live(member, now),
        leaving=member.state == MemberState.LEAVING,
        version=member.version,
        age_seconds=0.0 if own else seconds_since(member.heard_at, now),
    )


def seconds_since(since: float | None, now: float) -> float | None:
    """Return the seconds since a point in time, ``None`` if there is none."""
    if since is None or math.isinf(since):
        return None
    return round(now - since, 3)
