"""Evidence about other instances: how it is packed into beats, relayed and counted.

A member entry says: the instance was heard this long ago, ran this version, and had
been fresh. In a large system entries stay inside a zone; across zones a summary of each
zone travels. An entry is sent on a link only if the peer does not know as much already.
"""

import math
import struct
from collections.abc import Iterator

import msgspec

from camphorgate.membership.roster import Member, MemberState, Roster, hash_name

# Up to this many instances, every one has entries of all others.
DETAILED_MEMBERS = 64

# An entry is repeated for a peer when it is newer by this much.
REPEAT_SECONDS = 0.4

# While KV reads confirm the root, evidence serves failure detection only, and a large
# system sends it with every fourth beat.
RESTING_SECONDS = 2.0

# A summary speaks for this part of its zone, those heard last. The slowest entries
# would make a summary too old to count within 3 s elsewhere.
SUMMARY_SHARE = 0.75

_MEMBER = struct.Struct("<IBB")
_ZONE = struct.Struct("<IBBBB")
_AGE_STEP = 0.1
_OLDEST_AGE = 255
_CONFIRMED = 0x80
_LARGEST_LAG = 0x7F
_FAR_PAST = -math.inf


class ZoneSummary(msgspec.Struct, frozen=True):
    """What is known of another zone.

    ``live`` members were heard recently and ``current`` of them ran ``version``.
    ``confirmed`` members were heard at ``at`` or later.
    """

    at: float
    version: int
    live: int
    confirmed: int
    current: int


class LinkMemory(msgspec.Struct):
    """What a peer knows, from what it sent and what was sent to it."""

    heard_at_by_hash: dict[int, float] = {}
    version_by_hash: dict[int, int] = {}
    summaries_by_hash: dict[int, ZoneSummary] = {}
    sent_at: float = _FAR_PAST
    records_revision: int = 0
    resent_at: float = _FAR_PAST


class EvidenceBook:
    """All evidence of one instance."""

    __slots__ = ("roster", "summaries_by_hash")

    def __init__(self, roster: Roster) -> None:
        """Start without summaries."""
        self.roster = roster
        self.summaries_by_hash: dict[int, ZoneSummary] = {}

    def detailed(self, zone: str) -> bool:
        """Tell whether members of a zone are known one by one."""
        few = len(self.roster.listed()) <= DETAILED_MEMBERS
        return few or zone == self.roster.own.availability_zone

    def forget(self) -> None:
        """Drop all evidence, as after a pause of this process."""
        self.roster.forget_evidence()
        self.summaries_by_hash.clear()

    def count_confirmed(self, now: float, seconds: float) -> int:
        """Return how many instances are evidence younger than a bound.

        :returns: confirmed instances heard within the bound; the own one counts if it
            is confirmed.
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
        """Return how many listed instances run a version or a newer one."""
        count = 0
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                count += sum(1 for item in members if item.version >= version)
            else:
                summary = self.summaries_by_hash.get(hash_name(zone))
                if summary is not None and summary.version >= version:
                    count += min(summary.current, len(members))
        return count

    def missing(self, version: int) -> list[str]:
        """Return the listed instances that are not known to run a version.

        Of a zone that is known by its summary only, ``zone:count`` is returned.
        """
        missing = []
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                missing += [m.instance_id for m in members if m.version < version]
                continue
            summary = self.summaries_by_hash.get(hash_name(zone))
            known = summary is not None and summary.version >= version
            lacking = len(members) - (summary.current if known else 0)
            if lacking > 0:
                missing.append(f"{zone}:{lacking}")
        return missing

    def live_count(self, now: float) -> int:
        """Return how many instances were heard recently, the own one included."""
        count = 0
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                count += sum(1 for m in members if self.roster.is_live(m, now))
                continue
            summary = self.summaries_by_hash.get(hash_name(zone))
            if summary and now - summary.at < self.roster.live_seconds():
                count += min(summary.live, len(members))
        return count

    def due(self, memory: LinkMemory, now: float, resting: bool) -> bool:
        """Tell whether a beat to a peer repeats evidence that is merely newer."""
        small = len(self.roster.listed()) <= DETAILED_MEMBERS
        if small or not resting:
            return True
        return now - memory.sent_at >= RESTING_SECONDS

    def pack_members(
        self, peer: Member | None, memory: LinkMemory, now: float, highest: int, due
    ) -> bytes:
        """Return the entries that a peer lacks.

        :param peer: the peer's record; entries of its own zone or of a small system.
        :param highest: highest version known, from which lags count.
        :param due: whether to repeat entries that are merely newer.
        """
        packed = bytearray()
        for member in self._members_for(peer):
            number = hash_name(member.instance_id)
            newer = member.heard_at - memory.heard_at_by_hash.get(number, _FAR_PAST)
            changed = member.version > memory.version_by_hash.get(number, 0)
            age = (now - member.heard_at) / _AGE_STEP
            if age > _OLDEST_AGE or not (changed or (due and newer > REPEAT_SECONDS)):
                continue
            lag = min(_LARGEST_LAG, max(0, highest - member.version))
            flags = lag | (_CONFIRMED if member.confirmed else 0)
            packed += _MEMBER.pack(number, max(0, math.ceil(age)), flags)
            memory.heard_at_by_hash[number] = member.heard_at
            memory.version_by_hash[number] = member.version
        return bytes(packed)

    def take_members(
        self, packed: bytes, memory: LinkMemory, made_at: float, highest: int, now
    ) -> bool:
        """Take in entries of a beat.

        :param made_at: the beat was made no earlier than this.
        :param highest: highest version known to the sender.
        :returns: whether the version of a member rose.
        """
        rose = False
        for number, age, flags in _MEMBER.iter_unpack(packed):
            member = self.roster.member_of_hash(number)
            if member is None or member.state == MemberState.GONE:
                continue
            at = made_at - age * _AGE_STEP
            lag = flags & _LARGEST_LAG
            version = 0 if lag == _LARGEST_LAG else highest - lag
            before = member.version
            self.roster.hear(member, at, version, bool(flags & _CONFIRMED), now)
            rose = rose or member.version > before
            memory.heard_at_by_hash[number] = max(
                at, memory.heard_at_by_hash.get(number, _FAR_PAST)
            )
            memory.version_by_hash[number] = version
        return rose

    def pack_zones(
        self, memory: LinkMemory, now: float, highest: int, due: bool
    ) -> bytes:
        """Return the summaries that a peer lacks; none in a small system."""
        if len(self.roster.listed()) <= DETAILED_MEMBERS:
            return b""
        packed = bytearray()
        for number, summary in self._summaries(now, highest):
            known = memory.summaries_by_hash.get(number)
            if known is not None:
                newer = summary.at - known.at
                progress = (summary.version, summary.current) > (
                    known.version,
                    known.current,
                )
                if not (progress or (due and newer > REPEAT_SECONDS)):
                    continue
            age = max(0, math.ceil((now - summary.at) / _AGE_STEP))
            if age > _OLDEST_AGE:
                continue
            current = summary.current if summary.version == highest else 0
            counts = (summary.live, summary.confirmed, current)
            packed += _ZONE.pack(number, age, *(min(255, count) for count in counts))
            memory.summaries_by_hash[number] = summary
        return bytes(packed)

    def take_zones(
        self, packed: bytes, memory: LinkMemory, made_at: float, highest: int
    ) -> bool:
        """Take in summaries of a beat.

        :returns: whether more instances of a zone run the newest version.
        """
        progress = False
        own = hash_name(self.roster.own.availability_zone)
        for number, age, live, confirmed, current in _ZONE.iter_unpack(packed):
            summary = ZoneSummary(
                made_at - age * _AGE_STEP, highest, live, confirmed, current
            )
            memory.summaries_by_hash[number] = summary
            known = self.summaries_by_hash.get(number)
            if number == own or (known is not None and not _better(summary, known)):
                continue
            self.summaries_by_hash[number] = summary
            progress = progress or known is None or current > known.current
        return progress

    def _members_for(self, peer: Member | None) -> Iterator[Member]:
        own = self.roster.own
        same_zone = peer and peer.availability_zone == own.availability_zone
        if len(self.roster.listed()) > DETAILED_MEMBERS and not same_zone:
            return
        for zone, members in self.roster.listed_by_zone().items():
            if self.detailed(zone):
                yield from (m for m in members if m is not own and m is not peer)

    def _summaries(self, now: float, highest: int) -> Iterator[tuple[int, ZoneSummary]]:
        own_zone = self.roster.own.availability_zone
        yield hash_name(own_zone), self._summarise(own_zone, now, highest)
        yield from self.summaries_by_hash.items()

    def _summarise(self, zone: str, now: float, highest: int) -> ZoneSummary:
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


def _better(summary: ZoneSummary, known: ZoneSummary) -> bool:
    """Tell whether a summary replaces a known one: newer version, then newer time."""
    if summary.version != known.version:
        return summary.version > known.version
    return summary.at > known.at
