"""The known instances: who they are, when each was last heard, who is leaving."""

import functools
import math
from collections import defaultdict
from collections.abc import Iterable
from enum import IntEnum

import msgspec
import xxhash

# An instance that the platform lists as gone is believed to be gone only after this
# silence, as the list lags and an address may have been started again.
GONE_SILENCE_SECONDS = 10.0

# An instance that the platform does not list at all is dropped after this silence.
UNLISTED_SILENCE_SECONDS = 60.0

# How long the record of a gone instance is kept, so that a peer that was cut off for
# less cannot bring the instance back.
TOMBSTONE_SECONDS = 3600.0

# Direct evidence comes with every beat. Relayed evidence of a large system travels
# several hops, at rest with every fourth beat only.
LIVE_SECONDS = 3.0
LIVE_SECONDS_RELAYED = 8.0

# Up to this many instances every one hears most others directly.
SMALL_SYSTEM = 16


# Relayed times are lower bounds that lose up to 0.1 s and a round trip at each hop.
_ROUNDING_SECONDS = 1.0


class MemberState(IntEnum):
    """What is known about the presence of an instance."""

    PRESENT = 0
    LEAVING = 1
    GONE = 2


class Member(msgspec.Struct):
    """One instance.

    A record is ordered by incarnation, then by ``state_sequence``; the higher one wins.
    ``heard_at`` is a lower bound, on the own monotonic clock, of the time at which the
    instance ran ``version``; ``confirmed`` tells whether it had been fresh by then.
    """

    instance_id: str
    incarnation: int = 0
    availability_zone: str = ""
    region: str = ""
    peer_address: str = ""
    state: MemberState = MemberState.PRESENT
    state_sequence: int = 0
    revision: int = 0
    changed_at: float = 0.0
    heard_at: float = -math.inf
    version: int = 0
    confirmed: bool = False


@functools.lru_cache(maxsize=4096)
def hash_name(name: str) -> int:
    """Return the 32-bit form of an instance id or a zone in beats."""
    return xxhash.xxh32_intdigest(name.encode())


class Roster:
    """All members as this instance knows them."""

    __slots__ = (
        "own",
        "revision",
        "_members_by_id",
        "_ids_by_hash",
        "_listed",
        "_by_zone",
        "_digest",
        "_cached_revision",
        "_listed_by_platform",
    )

    def __init__(self, own: Member, now: float) -> None:
        """Start with the own record."""
        self.own = own
        self.revision = 0
        self._members_by_id: dict[str, Member] = {}
        self._ids_by_hash: dict[int, str | None] = {}
        self._listed: list[Member] = []
        self._by_zone: dict[str, list[Member]] = {}
        self._digest = 0
        self._cached_revision = -1
        self._listed_by_platform: set[str] = set()
        self._add(own, now)

    def member(self, instance_id: str) -> Member | None:
        """Return a member, also a gone one."""
        return self._members_by_id.get(instance_id)

    def member_of_hash(self, number: int) -> Member | None:
        """Return a member by hash; ``None`` if unknown or if two share the hash."""
        instance_id = self._ids_by_hash.get(number)
        return None if instance_id is None else self._members_by_id[instance_id]

    def listed(self) -> list[Member]:
        """Return the members that are not gone, by id; a majority counts these."""
        self._refresh()
        return self._listed

    def listed_by_zone(self) -> dict[str, list[Member]]:
        """Return the members that are not gone, by zone, then id."""
        self._refresh()
        return self._by_zone

    def digest(self) -> int:
        """Return a number that is equal where the records are equal."""
        self._refresh()
        return self._digest

    def live_seconds(self) -> float:
        """Return the silence after which an instance counts as not live."""
        small = len(self.listed()) <= SMALL_SYSTEM
        return LIVE_SECONDS if small else LIVE_SECONDS_RELAYED

    def is_live(self, member: Member, now: float) -> bool:
        """Tell whether a member was heard recently."""
        if member is self.own:
            return True
        silence = now - member.heard_at
        return member.state != MemberState.GONE and silence <= self.live_seconds()

    def live(self, now: float) -> list[Member]:
        """Return the members that were heard recently, and the own one."""
        return [item for item in self.listed() if self.is_live(item, now)]

    def changed_since(self, revision: int) -> list[Member]:
        """Return the records that changed after a revision, oldest change first."""
        if revision >= self.revision:
            return []
        changed = [m for m in self._members_by_id.values() if m.revision > revision]
        return sorted(changed, key=lambda member: member.revision)

    def merge(self, record: Member, now: float) -> bool:
        """Take in a record from a peer or from KV if it is newer.

        A record that calls this instance leaving or gone is answered by a newer own
        record; one with a higher incarnation of this instance is not taken in here,
        see ``outranked_by``.

        :returns: whether anything changed.
        """
        known = self._members_by_id.get(record.instance_id)
        if record.instance_id == self.own.instance_id:
            return self._defend(record, now)
        if known is None:
            self._add(msgspec.structs.replace(record), now)
            return True
        if _rank(record) <= _rank(known):
            return False
        for name in _RECORD_FIELDS:
            # A record made from the platform's list alone lacks the addresses.
            setattr(known, name, getattr(record, name) or getattr(known, name))
        known.incarnation = record.incarnation
        known.state = record.state
        known.state_sequence = record.state_sequence
        self._changed(known, now)
        return True

    def outranked_by(self, record: Member) -> bool:
        """Tell whether a record shows a higher incarnation of this instance.

        This happens if the clock went back between two runs while KV was down.
        """
        own = self.own
        same = record.instance_id == own.instance_id
        return same and record.incarnation > own.incarnation

    def set_state(self, member: Member, state: MemberState, now: float) -> None:
        """Change a member's state, as a new change that peers take over."""
        if member.state != state:
            member.state = state
            member.state_sequence += 1
            self._changed(member, now)

    def hear(
        self, member: Member, at: float, version: int, confirmed: bool, now: float
    ) -> bool:
        """Take in evidence that a member ran a version at some time.

        :param at: when, on the own monotonic clock; evidence that is not newer than
            what is known is ignored, so order and repetition do not matter.
        :returns: whether it was newer.
        """
        if member is self.own:
            return False
        if at <= member.heard_at:
            # Relayed times are rounded, so a newer version may come with an earlier
            # time. That the instance ran it stays true.
            if at > member.heard_at - _ROUNDING_SECONDS:
                member.version = max(member.version, version)
            return False
        member.heard_at = min(at, now)
        member.version = version
        member.confirmed = confirmed
        return True

    def forget_evidence(self) -> None:
        """Drop all evidence, as after a pause of this process."""
        for member in self._members_by_id.values():
            member.heard_at = -math.inf

    def apply_platform_list(
        self, states_by_id: dict[str, tuple[str, str]], now: float
    ) -> bool:
        """Take in the platform's list of instances.

        :param states_by_id: zone and state (``live``, ``leaving``, ``gone``) by id. An
            empty list is ignored: it says more about the platform than about instances.
        :returns: whether anything changed.
        """
        before = self.revision
        if not states_by_id:
            return False
        for instance_id, (zone, state) in states_by_id.items():
            member = self._members_by_id.get(instance_id)
            if member is None:
                if state != "gone":
                    new = Member(instance_id, availability_zone=zone)
                    self._add(new, now)
            else:
                self._apply_listed_state(member, state, now)
        self._drop_unlisted(states_by_id, now)
        self._drop_tombstones(now)
        self._listed_by_platform = set(states_by_id)
        return self.revision != before

    def _apply_listed_state(self, member: Member, state: str, now: float) -> None:
        if member is self.own:
            return
        silent = now - max(member.heard_at, member.changed_at) > GONE_SILENCE_SECONDS
        if state == "gone" and silent:
            self.set_state(member, MemberState.GONE, now)
        elif state == "leaving" and member.state == MemberState.PRESENT:
            self.set_state(member, MemberState.LEAVING, now)

    def _drop_unlisted(self, listed_ids: Iterable[str], now: float) -> None:
        for member in list(self._members_by_id.values()):
            if member.instance_id in listed_ids or member is self.own:
                continue
            bound = UNLISTED_SILENCE_SECONDS
            if member.instance_id in self._listed_by_platform:
                bound = GONE_SILENCE_SECONDS
            if now - max(member.heard_at, member.changed_at) > bound:
                self.set_state(member, MemberState.GONE, now)

    def _drop_tombstones(self, now: float) -> None:
        for member in list(self._members_by_id.values()):
            age = now - member.changed_at
            if member.state == MemberState.GONE and age > TOMBSTONE_SECONDS:
                del self._members_by_id[member.instance_id]
        self._ids_by_hash = {}
        for instance_id in self._members_by_id:
            self._index(instance_id)

    def _defend(self, record: Member, now: float) -> bool:
        own = self.own
        if record.incarnation != own.incarnation or _rank(record) <= _rank(own):
            return False
        own.state_sequence = record.state_sequence + 1
        self._changed(own, now)
        return True

    def _add(self, member: Member, now: float) -> None:
        self._members_by_id[member.instance_id] = member
        self._index(member.instance_id)
        self._changed(member, now)

    def _index(self, instance_id: str) -> None:
        number = hash_name(instance_id)
        known = self._ids_by_hash.get(number, instance_id)
        self._ids_by_hash[number] = instance_id if known == instance_id else None

    def _changed(self, member: Member, now: float) -> None:
        self.revision += 1
        member.revision = self.revision
        member.changed_at = now

    def _refresh(self) -> None:
        if self._cached_revision == self.revision:
            return
        members = sorted(self._members_by_id.items())
        self._listed = [m for _, m in members if m.state != MemberState.GONE]
        by_zone = defaultdict(list)
        digest = xxhash.xxh64()
        for member in self._listed:
            by_zone[member.availability_zone].append(member)
            digest.update(f"{member.instance_id}{_rank(member)}".encode())
        self._by_zone = dict(by_zone)
        self._digest = digest.intdigest()
        self._cached_revision = self.revision


_RECORD_FIELDS = ("availability_zone", "region", "peer_address")


def _rank(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.state_sequence, int(member.state)
