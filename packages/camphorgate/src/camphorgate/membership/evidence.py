"""Evidence about other instances: its encoding in heartbeats, forwarding, counting.

A member entry states how old the last message of an instance is, which version it ran
and whether it was fresh at that time. In a large system, entries stay in a zone, and
summaries of zones are exchanged between zones. An entry is sent on a link only if the
peer does not have equivalent evidence already.
"""

import math
import struct
from collections.abc import Iterator

import msgspec

from camphorgate.membership.roster import Member, MemberState, Roster, hash_name

# Up to this number of instances, each instance keeps entries of all others.
MAX_DETAILED_MEMBERS = 64

# An entry is sent to a peer again once it is newer than the last one by more than
# this.
MIN_REPEAT_SECONDS = 0.4

# While KV reads confirm the root, evidence is needed only for failure detection, and a
# large system sends it only with every fourth heartbeat.
IDLE_REPEAT_SECONDS = 2.0

# A summary covers this share of its zone, the most recently heard members. It is as old
# as the oldest entry that it covers; with the slowest entries it would be too old to
# count within 3 s in other zones.
SUMMARY_SHARE = 0.75

_MEMBER_FORMAT = struct.Struct("<IBB")
_ZONE_FORMAT = struct.Struct("<IBBBB")
_AGE_STEP_SECONDS = 0.1
_MAX_AGE_STEPS = 255
_CONFIRMED_FLAG = 0x80
_MAX_VERSION_LAG = 0x7F
_NEVER = -math.inf


class ZoneSummary(msgspec.Struct, frozen=True):
    """A summary of the evidence about another zone.

    ``live`` members were heard recently and ``current`` of them ran ``version``.
    ``confirmed`` members were heard at ``at`` or later.
    """

    at: float
    version: int
    live: int
    confirmed: int
    current: int


class PeerEvidence(msgspec.Struct):
    """The evidence that a peer has, as far as it was exchanged on the link."""

    heard_at_by_hash: dict[int, float] = {}
    version_by_hash: dict[int, int] = {}
    summaries_by_hash: dict[int, ZoneSummary] = {}
    sent_at: float = _NEVER
    records_revision: int = 0
    resent_at: float = _NEVER


class EvidenceTable:
    """All evidence that one instance has about the others."""

    __slots__ = ("roster", "summaries_by_hash")

    def __init__(self, roster: Roster) -> None:
        """Start without zone summaries."""
        self.roster = roster
        self.summaries_by_hash: dict[int, ZoneSummary] = {}

    def detailed(self, zone: str) -> bool:
        """Return whether there are entries for individual members of a zone."""
        few = len(self.roster.listed()) <= MAX_DETAILED_MEMBERS
        return few or zone == self.roster.own.availability_zone

    def forget(self) -> None:
        """Drop all evidence, for example after a pause of this process."""
        self.roster.forget_evidence()
        self.summaries_by_hash.clear()

    def count_confirmed(self, now: float, seconds: float) -> int:
        """Return how many confirmed instances count as evidence.

        :param seconds: the bound within which an instance must have been heard.
        :returns: the number of confirmed instances heard within the bound, including
            this instance if it is confirmed.
        """
        own = self.roster.own
        count = 1 if own.confirmed else 0
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                count += sum(
                    1
                    for item in members
                    if item.confirmed and item is not own
                    if now - item.heard_at < seconds
                )
            else:
                summary = self.summaries_by_hash.get(hash_name(zone))
                if summary is not None and now - summary.at < seconds:
                    count += min(summary.confirmed, len(members))
        return count

    def count_current(self, version: int) -> int:
        """Return how many listed instances run at least a version."""
        count = 0
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                count += sum(1 for item in members if item.version >= version)
            else:
                summary = self.summaries_by_hash.get(hash_name(zone))
                if summary is not None and summary.version >= version:
                    count += min(summary.current, len(members))
        return count

    def instances_behind(self, version: int) -> list[str]:
        """Return the listed instances that are not known to run at least a version.

        For a zone without individual entries, ``zone:count`` is returned.
        """
        missing = []
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                missing += [m.instance_id for m in members if m.version < version]
                continue
            summary = self.summaries_by_hash.get(hash_name(zone))
            known = summary is not None and summary.version >= version
            missing_count = len(members) - (summary.current if known else 0)
            if missing_count > 0:
                missing.append(f"{zone}:{missing_count}")
        return missing

    def live_count(self, now: float) -> int:
        """Return how many instances were heard recently, including this one."""
        count = 0
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                count += sum(1 for m in members if self.roster.is_live(m, now))
                continue
            summary = self.summaries_by_hash.get(hash_name(zone))
            if summary and now - summary.at < self.roster.max_live_silence_seconds():
                count += min(summary.live, len(members))
        return count

    def is_repeat_due(self, memory: PeerEvidence, now: float, resting: bool) -> bool:
        """Return whether the next heartbeat includes evidence that is only more recent.

        :param memory: the evidence that the peer has.
        :param resting: whether KV reads confirm the root, so that evidence is needed
            only for failure detection.
        """
        small = len(self.roster.listed()) <= MAX_DETAILED_MEMBERS
        if small or not resting:
            return True
        return now - memory.sent_at >= IDLE_REPEAT_SECONDS

    def pack_members(
        self, peer: Member | None, memory: PeerEvidence, now: float, highest: int, due
    ) -> bytes:
        """Encode the entries that a peer lacks.

        :param peer: the peer's record. In a large system, only peers in the same zone
            get entries.
        :param highest: the highest known version; entries state the lag behind it.
        :param due: whether to repeat entries that are merely newer.
        """
        packed = bytearray()
        for member in self._members_to_send(peer):
            number = hash_name(member.instance_id)
            newer = member.heard_at - memory.heard_at_by_hash.get(number, _NEVER)
            changed = member.version > memory.version_by_hash.get(number, 0)
            age = (now - member.heard_at) / _AGE_STEP_SECONDS
            if age > _MAX_AGE_STEPS or not (
                changed or (due and newer > MIN_REPEAT_SECONDS)
            ):
                continue
            lag = min(_MAX_VERSION_LAG, max(0, highest - member.version))
            flags = lag | (_CONFIRMED_FLAG if member.confirmed else 0)
            packed += _MEMBER_FORMAT.pack(number, max(0, math.ceil(age)), flags)
            memory.heard_at_by_hash[number] = member.heard_at
            memory.version_by_hash[number] = member.version
        return bytes(packed)

    def receive_members(
        self, packed: bytes, memory: PeerEvidence, made_at: float, highest: int, now
    ) -> bool:
        """Process the member entries of a heartbeat.

        :param made_at: a lower bound of the time at which the heartbeat was made.
        :param highest: the highest version known to the sender.
        :returns: whether the known version of any member increased.
        """
        increased = False
        for number, age, flags in _MEMBER_FORMAT.iter_unpack(packed):
            member = self.roster.member_by_hash(number)
            if member is None or member.state == MemberState.GONE:
                continue
            at = made_at - age * _AGE_STEP_SECONDS
            lag = flags & _MAX_VERSION_LAG
            version = 0 if lag == _MAX_VERSION_LAG else highest - lag
            before = member.version
            self.roster.record_evidence(
                member, at, version, bool(flags & _CONFIRMED_FLAG), now
            )
            increased = increased or member.version > before
            memory.heard_at_by_hash[number] = max(
                at, memory.heard_at_by_hash.get(number, _NEVER)
            )
            memory.version_by_hash[number] = version
        return increased

    def pack_zones(
        self, memory: PeerEvidence, now: float, highest: int, due: bool
    ) -> bytes:
        """Encode the summaries that a peer lacks; there are none in a small system."""
        if len(self.roster.listed()) <= MAX_DETAILED_MEMBERS:
            return b""
        packed = bytearray()
        for number, summary in self._all_summaries(now, highest):
            known = memory.summaries_by_hash.get(number)
            if known is not None:
                newer = summary.at - known.at
                progress = (summary.version, summary.current) > (
                    known.version,
                    known.current,
                )
                if not (progress or (due and newer > MIN_REPEAT_SECONDS)):
                    continue
            age = max(0, math.ceil((now - summary.at) / _AGE_STEP_SECONDS))
            if age > _MAX_AGE_STEPS:
                continue
            current = summary.current if summary.version == highest else 0
            counts = (summary.live, summary.confirmed, current)
            packed += _ZONE_FORMAT.pack(
                number, age, *(min(255, count) for count in counts)
            )
            memory.summaries_by_hash[number] = summary
        return bytes(packed)

    def receive_zones(
        self, packed: bytes, memory: PeerEvidence, made_at: float, highest: int
    ) -> bool:
        """Process the zone summaries of a heartbeat.

        :returns: whether more instances of a zone are known to run the newest version.
        """
        progress = False
        own = hash_name(self.roster.own.availability_zone)
        for number, age, live, confirmed, current in _ZONE_FORMAT.iter_unpack(packed):
            summary = ZoneSummary(
                made_at - age * _AGE_STEP_SECONDS, highest, live, confirmed, current
            )
            memory.summaries_by_hash[number] = summary
            known = self.summaries_by_hash.get(number)
            if number == own or (known is not None and not _supersedes(summary, known)):
                continue
            self.summaries_by_hash[number] = summary
            progress = progress or known is None or current > known.current
        return progress

    def _members_to_send(self, peer: Member | None) -> Iterator[Member]:
        own = self.roster.own
        same_zone = peer and peer.availability_zone == own.availability_zone
        if len(self.roster.listed()) > MAX_DETAILED_MEMBERS and not same_zone:
            return
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                yield from (m for m in members if m is not own and m is not peer)

    def _all_summaries(
        self, now: float, highest: int
    ) -> Iterator[tuple[int, ZoneSummary]]:
        own_zone = self.roster.own.availability_zone
        yield hash_name(own_zone), self._summarize_zone(own_zone, now, highest)
        yield from self.summaries_by_hash.items()

    def _summarize_zone(self, zone: str, now: float, highest: int) -> ZoneSummary:
        members = self.roster.listed_by_zone().get(zone, [])
        own = self.roster.own
        heard = sorted(
            (
                now if member is own else member.heard_at
                for member in members
                if member.confirmed
            ),
            reverse=True,
        )
        counted = min(len(heard), math.ceil(SUMMARY_SHARE * len(members)))
        return ZoneSummary(
            at=heard[counted - 1] if counted else now,
            version=highest,
            live=sum(1 for member in members if self.roster.is_live(member, now)),
            confirmed=counted,
            current=sum(1 for member in members if member.version >= highest),
        )


def _supersedes(summary: ZoneSummary, known: ZoneSummary) -> bool:
    """Return whether a summary has a newer version, or the same and a newer time."""
    if summary.version != known.version:
        return summary.version > known.version
    return summary.at > known.at
