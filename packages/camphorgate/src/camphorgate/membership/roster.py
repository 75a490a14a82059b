"""The known instances, their states and when each was last heard."""

import functools
import math
from collections import defaultdict
from collections.abc import Iterable
from enum import IntEnum

import msgspec
import xxhash

# An instance that the platform lists as gone counts as gone only after this silence,
# because the list lags and an instance may have been started again at its address.
MIN_GONE_SILENCE_SECONDS = 10.0

# An instance that the platform does not list counts as gone after this silence.
MIN_UNLISTED_SILENCE_SECONDS = 60.0

# How long the record of a gone instance is kept, so that a peer that was disconnected
# for less than this can't add the instance again.
TOMBSTONE_RETENTION_SECONDS = 3600.0

# Direct evidence arrives with every heartbeat. In a large system, evidence is relayed
# over several hops, and only with every fourth heartbeat while KV confirms the root.
MAX_LIVE_SILENCE_SECONDS = 3.0
MAX_RELAYED_LIVE_SILENCE_SECONDS = 8.0

# Up to this number of instances, each instance hears most others directly.
MAX_SMALL_SYSTEM_INSTANCES = 16


# Relayed times are lower bounds. Each hop lowers them by up to 0.1 s plus a round trip.
_MAX_ROUNDING_SECONDS = 1.0


class MemberState(IntEnum):
    """Whether an instance is present, leaving or gone."""

    PRESENT = 0
    LEAVING = 1
    GONE = 2


class Member(msgspec.Struct):
    """One instance.

    Of two records, the one with the higher incarnation wins; with equal incarnations,
    the one with the higher ``state_sequence``. ``heard_at`` is a lower bound, on the
    local monotonic clock, of the time at which the instance ran ``version``.
    ``confirmed`` tells whether it had been fresh by then.
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
    """Return the 32-bit hash of an instance id or a zone, as used in heartbeats."""
    return xxhash.xxh32_intdigest(name.encode())


class Roster:
    """All members known to this instance."""

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
        """Start with the record of this instance."""
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
        """Return a member, even if it is gone."""
        return self._members_by_id.get(instance_id)

    def member_by_hash(self, number: int) -> Member | None:
        """Return a member by hash, ``None`` if the hash is unknown or ambiguous."""
        instance_id = self._ids_by_hash.get(number)
        return None if instance_id is None else self._members_by_id[instance_id]

    def listed(self) -> list[Member]:
        """Return the members that are not gone, by id; majorities refer to these."""
        self._refresh()
        return self._listed

    def listed_by_zone(self) -> dict[str, list[Member]]:
        """Return the members that are not gone, grouped by zone and sorted by id."""
        self._refresh()
        return self._by_zone

    def digest(self) -> int:
        """Return a digest of the records, for comparing rosters."""
        self._refresh()
        return self._digest

    def max_live_silence_seconds(self) -> float:
        """Return the silence after which an instance no longer counts as live."""
        small = len(self.listed()) <= MAX_SMALL_SYSTEM_INSTANCES
        return MAX_LIVE_SILENCE_SECONDS if small else MAX_RELAYED_LIVE_SILENCE_SECONDS

    def is_live(self, member: Member, now: float) -> bool:
        """Return whether a member was heard recently."""
        if member is self.own:
            return True
        silence = now - member.heard_at
        return (
            member.state != MemberState.GONE
            and silence <= self.max_live_silence_seconds()
        )

    def live(self, now: float) -> list[Member]:
        """Return the recently heard members, including this instance."""
        return [item for item in self.listed() if self.is_live(item, now)]

    def changed_since(self, revision: int) -> list[Member]:
        """Return the records changed since a revision, oldest change first."""
        if revision >= self.revision:
            return []
        changed = [m for m in self._members_by_id.values() if m.revision > revision]
        return sorted(changed, key=lambda member: member.revision)

    def merge(self, record: Member, now: float) -> bool:
        """Merge a record from a peer or from KV if it is newer.

        If the record reports a newer state of this instance, this instance's record
        gets a higher ``state_sequence``, so that its actual state wins. A record with a
        higher incarnation of this instance is ignored, see ``outranked_by``.

        :returns: whether anything changed.
        """
        known = self._members_by_id.get(record.instance_id)
        if record.instance_id == self.own.instance_id:
            return self._reassert_own_record(record, now)
        if known is None:
            self._add(msgspec.structs.replace(record), now)
            return True
        if _sort_key(record) <= _sort_key(known):
            return False
        for name in _RECORD_FIELDS:
            # A record created from the platform's list has no addresses.
            setattr(known, name, getattr(record, name) or getattr(known, name))
        known.incarnation = record.incarnation
        known.state = record.state
        known.state_sequence = record.state_sequence
        self._mark_changed(known, now)
        return True

    def is_superseded_by(self, record: Member) -> bool:
        """Return whether a record has a higher incarnation of this instance.

        This happens if the clock went back between two runs while KV was down.
        """
        own = self.own
        same = record.instance_id == own.instance_id
        return same and record.incarnation > own.incarnation

    def set_state(self, member: Member, state: MemberState, now: float) -> None:
        """Change a member's state so that peers adopt the change."""
        if member.state != state:
            member.state = state
            member.state_sequence += 1
            self._mark_changed(member, now)

    def record_evidence(
        self, member: Member, at: float, version: int, confirmed: bool, now: float
    ) -> bool:
        """Record evidence that a member ran a version at some time.

        Evidence that is not newer than the known evidence is ignored, so the order and
        the number of calls do not matter.

        :param at: the time on the local monotonic clock.
        :returns: whether the evidence was newer.
        """
        if member is self.own:
            return False
        if at <= member.heard_at:
            # Relayed times are rounded, so evidence of a newer version may carry an
            # earlier time. The instance still ran that version.
            if at > member.heard_at - _MAX_ROUNDING_SECONDS:
                member.version = max(member.version, version)
            return False
        member.heard_at = min(at, now)
        member.version = version
        member.confirmed = confirmed
        return True

    def forget_evidence(self) -> None:
        """Drop all evidence, for example after a pause of this process."""
        for member in self._members_by_id.values():
            member.heard_at = -math.inf

    def apply_platform_list(
        self, states_by_id: dict[str, tuple[str, str]], now: float
    ) -> bool:
        """Apply the platform's list of instances.

        :param states_by_id: zone and state (``live``, ``leaving``, ``gone``) by id. An
            empty list is ignored, because it indicates a fault of the platform rather
            than the end of all instances.
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
        silent = (
            now - max(member.heard_at, member.changed_at) > MIN_GONE_SILENCE_SECONDS
        )
        if state == "gone" and silent:
            self.set_state(member, MemberState.GONE, now)
        elif state == "leaving" and member.state == MemberState.PRESENT:
            self.set_state(member, MemberState.LEAVING, now)

    def _drop_unlisted(self, listed_ids: Iterable[str], now: float) -> None:
        for member in list(self._members_by_id.values()):
            if member.instance_id in listed_ids or member is self.own:
                continue
            min_silence = MIN_UNLISTED_SILENCE_SECONDS
            if member.instance_id in self._listed_by_platform:
                min_silence = MIN_GONE_SILENCE_SECONDS
            if now - max(member.heard_at, member.changed_at) > min_silence:
                self.set_state(member, MemberState.GONE, now)

    def _drop_tombstones(self, now: float) -> None:
        for member in list(self._members_by_id.values()):
            age = now - member.changed_at
            if member.state == MemberState.GONE and age > TOMBSTONE_RETENTION_SECONDS:
                del self._members_by_id[member.instance_id]
        self._ids_by_hash = {}
        for instance_id in self._members_by_id:
            self._index_hash(instance_id)

    def _reassert_own_record(self, record: Member, now: float) -> bool:
        own = self.own
        if record.incarnation != own.incarnation or _sort_key(record) <= _sort_key(own):
            return False
        own.state_sequence = record.state_sequence + 1
        self._mark_changed(own, now)
        return True

    def _add(self, member: Member, now: float) -> None:
        self._members_by_id[member.instance_id] = member
        self._index_hash(member.instance_id)
        self._mark_changed(member, now)

    def _index_hash(self, instance_id: str) -> None:
        number = hash_name(instance_id)
        known = self._ids_by_hash.get(number, instance_id)
        self._ids_by_hash[number] = instance_id if known == instance_id else None

    def _mark_changed(self, member: Member, now: float) -> None:
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
            digest.update(f"{member.instance_id}{_sort_key(member)}".encode())
        self._by_zone = dict(by_zone)
        self._digest = digest.intdigest()
        self._cached_revision = self.revision


_RECORD_FIELDS = ("availability_zone", "region", "peer_address")


def _sort_key(member: Member) -> tuple[int, int, int]:
    return member.incarnation, member.state_sequence, int(member.state)
