"""Builds and processes beats, and handles all calls of peers.

A beat is the heartbeat message that linked instances send each other periodically.
"""

import math
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from camphorgate.membership.evidence import PeerEvidence
from camphorgate.peers.exchange import Link
from camphorgate.peers.peers_pb2 import (
    Beat,
    EpochAcknowledgement,
    EpochNotice,
    Hello,
    Packet,
    ServiceDelta,
    SnapshotAnswer,
    UsageAck,
    UsageBatch,
)
from camphorgated.ext.membership.records import (
    member_from_hello,
    member_from_record,
    record_from_member,
)

if TYPE_CHECKING:
    from camphorgated.ext.membership.service import MembershipService

# Limits of one beat. Further records and deltas wait for the next one.
MAX_RECORDS_PER_BEAT = 64
MAX_DELTAS_PER_BEAT = 64

# All records are sent again after this time while the roster digests differ.
RECORD_RESEND_SECONDS = 10.0

# While the newest KV read is younger than this, evidence is sent less often; see
# `evidence.IDLE_REPEAT_SECONDS`.
MAX_RESTING_READ_AGE_SECONDS = 1.8

# A relayed KV read that is newer than the known one by more than this is passed on at
# once, so that it crosses a large system faster than one beat period per hop.
MIN_RELAY_GAIN_SECONDS = 0.7


class VersionSource(Protocol):
    """Interface of the configuration to the beats."""

    highest_known: int
    version: int

    def newest_read(self) -> tuple[int, float]:
        """Return the newest KV read known: its version and when it began."""

    def receive_kv_read(self, version: int, begun_at: float) -> bool:
        """Record a KV read that a peer relayed; return whether it is newer."""

    def receive_versions(self, highest: int, instance_id: str, in_force: int) -> None:
        """Process the versions that a peer knows and runs."""

    def member_version_increased(self) -> None:
        """Process an increase of a member's version."""

    def part(self, digest: bytes) -> bytes | None:
        """Return a part of the configuration, ``None`` if it is not stored."""

    def root(self, above_version: int) -> tuple[int, bytes]:
        """Return the version in force and its root, empty if not above a version."""


class _NullVersionSource:
    """Replaces the configuration while that extension is not loaded."""

    highest_known = 0
    version = 0

    def newest_read(self) -> tuple[int, float]:
        return 0, -math.inf

    def receive_kv_read(self, version: int, begun_at: float) -> bool:
        return False

    def receive_versions(self, highest: int, instance_id: str, in_force: int) -> None:
        pass

    def member_version_increased(self) -> None:
        pass

    def part(self, digest: bytes) -> bytes | None:
        return None

    def root(self, above_version: int) -> tuple[int, bytes]:
        return 0, b""


class _PeerState(msgspec.Struct):
    """State kept about the peer of one link."""

    evidence: PeerEvidence = msgspec.field(default_factory=PeerEvidence)
    deltas_by_workspace: dict[str, float] = {}


class BeatExchange:
    """Builds and processes beats, and answers the calls of peers."""

    def __init__(self, service: "MembershipService") -> None:
        """Create the beat handler of a membership service."""
        self.versions: VersionSource = _NullVersionSource()
        self.on_usage_batch: Any = None
        self.on_usage_ack: Any = None
        self.beats_received = 0
        self._service = service
        self._clock = service._clock
        self._fairness: Any = None

    def hello(self) -> Hello:
        """Return the hello of this instance."""
        own = self._service.roster.own
        return Hello(
            instance=own.instance_id,
            incarnation=own.incarnation,
            availability_zone=own.availability_zone,
            region=own.region,
            peer_address=own.peer_address,
        )

    def link_opened(self, link: Link) -> None:
        """Register a link and the member that its hello describes."""
        link.peer_state = _PeerState()
        link.peer_state.evidence.resent_at = self._clock.monotonic()
        self._service.receive_record(member_from_hello(link.hello))
        self._service.links.register(link)

    def link_closed(self, link: Link) -> None:
        """Unregister a closed link."""
        self._service.links.unregister(link)

    def resting(self, now: float) -> bool:
        """Return whether KV reads confirm the root, so that evidence is not urgent."""
        return now - self.versions.newest_read()[1] < MAX_RESTING_READ_AGE_SECONDS

    def make_beat(self, link: Link) -> Beat:
        """Return the next beat for a peer."""
        roster, book = self._service.roster, self._service.book
        memory: PeerEvidence = link.peer_state.evidence
        versions = self.versions
        read_version, read_at = versions.newest_read()
        # Read last, so that a pause before this line increases every age in the beat.
        now = self._clock.monotonic()
        beat = Beat(
            roster_digest=roster.digest(),
            roster_known=self._service.roster_known,
            highest_version=versions.highest_known,
            version=versions.version,
            confirmed=roster.own.confirmed,
        )
        if now - read_at < 60.0:
            beat.kv_version = read_version
            beat.kv_age_ms = math.ceil((now - read_at) * 1000) + 1
        due = book.is_repeat_due(memory, now, self.resting(now))
        highest = versions.highest_known
        peer = roster.member(link.instance_id)
        beat.members = book.pack_members(peer, memory, now, highest, due)
        beat.zones = book.pack_zones(memory, now, highest, due)
        if due:
            memory.sent_at = now
        self._add_records(beat, memory)
        self._add_deltas(beat, link.peer_state.deltas_by_workspace)
        return beat

    def receive_beat(self, link: Link, beat: Beat, made_at: float | None) -> None:
        """Process a received beat."""
        self.beats_received += 1
        service = self._service
        for record in beat.records:
            service.receive_record(member_from_record(record))
        if beat.deltas and self._fairness is not None:
            deltas = {item.workspace: item.service for item in beat.deltas}
            self._fairness.merge(link.instance_id, deltas)
        self._compare_digest(link.peer_state.evidence, beat)
        self.versions.receive_versions(
            beat.highest_version, link.instance_id, beat.version
        )
        if made_at is not None:
            self._receive_evidence(link, beat, made_at)

    def collect_deltas(self) -> None:
        """Collect the service deltas since the last beat for every linked peer."""
        app = self._service._app
        if self._fairness is None:
            if not app.has_service("fairness"):
                return
            self._fairness = app.service("fairness")
        deltas = self._fairness.take_deltas()
        for link in self._service.links.links_by_id.values():
            pending = link.peer_state.deltas_by_workspace
            for workspace, service in deltas.items():
                pending[workspace] = pending.get(workspace, 0.0) + service

    def receive_usage_batch(self, link: Link, batch: UsageBatch) -> None:
        """Pass a usage batch to its handler."""
        if self.on_usage_batch is not None:
            self.on_usage_batch(link.instance_id, batch)

    def receive_usage_ack(self, link: Link, ack: UsageAck) -> None:
        """Pass an acknowledgement of usage to its handler."""
        if self.on_usage_ack is not None:
            self.on_usage_ack(link.instance_id, ack)

    def send_usage(self, instance_id: str, packet: UsageBatch | UsageAck) -> bool:
        """Queue a usage packet; return false without a link or if its queue is full."""
        link = self._service.links.links_by_id.get(instance_id)
        if link is None:
            return False
        if isinstance(packet, UsageBatch):
            return link.send(Packet(usage_batch=packet))
        return link.send(Packet(usage_ack=packet))

    def part(self, digest: bytes) -> bytes | None:
        """Return a part of the configuration, ``None`` if it is not stored."""
        return self.versions.part(digest)

    def snapshot(self, above_version: int) -> SnapshotAnswer:
        """Return the root in force and the known members."""
        version, root = self.versions.root(above_version)
        members = self._service.roster.listed()
        records = [record_from_member(member) for member in members]
        return SnapshotAnswer(version=version, root=root, records=records)

    async def acknowledge_epoch(self, notice: EpochNotice) -> EpochAcknowledgement:
        """Acknowledge a duty's newer epoch."""
        return await self._service.acknowledge_epoch(notice)

    def report(self) -> bytes:
        """Return this instance's part of the operators' report."""
        app = self._service._app
        if not app.has_service("report"):
            return b""
        return app.service("report").encode_part()

    def _receive_evidence(self, link: Link, beat: Beat, made_at: float) -> None:
        service = self._service
        memory: PeerEvidence = link.peer_state.evidence
        now = self._clock.monotonic()
        member = service.roster.member(link.instance_id)
        if member is None:
            return
        version_before = member.version
        service.roster.record_evidence(
            member, made_at, beat.version, beat.confirmed, now
        )
        version_increased = member.version > version_before
        highest = beat.highest_version
        book = service.book
        version_increased |= book.receive_members(
            beat.members, memory, made_at, highest, now
        )
        version_increased |= book.receive_zones(beat.zones, memory, made_at, highest)
        if version_increased:
            self.versions.member_version_increased()
        if beat.kv_age_ms:
            begun_at = made_at - beat.kv_age_ms / 1000.0
            _, known_at = self.versions.newest_read()
            is_newer = self.versions.receive_kv_read(beat.kv_version, begun_at)
            if is_newer and begun_at - known_at > MIN_RELAY_GAIN_SECONDS:
                service.relay_beat()

    def _compare_digest(self, memory: PeerEvidence, beat: Beat) -> None:
        """Schedule all records again if the digests still differ after a while."""
        roster = self._service.roster
        now = self._clock.monotonic()
        if beat.roster_digest == roster.digest():
            memory.resent_at = now
            memory.records_revision = roster.revision
            if beat.roster_known:
                self._service.roster_known = True
        elif now - memory.resent_at > RECORD_RESEND_SECONDS:
            memory.resent_at = now
            memory.records_revision = 0

    def _add_records(self, beat: Beat, memory: PeerEvidence) -> None:
        changed = self._service.roster.changed_since(memory.records_revision)
        for member in changed[:MAX_RECORDS_PER_BEAT]:
            beat.records.append(record_from_member(member))
            memory.records_revision = member.revision

    def _add_deltas(self, beat: Beat, pending: dict[str, float]) -> None:
        if not pending:
            return
        largest = sorted(pending, key=pending.get, reverse=True)[:MAX_DELTAS_PER_BEAT]
        for workspace in largest:
            service = pending.pop(workspace)
            beat.deltas.append(ServiceDelta(workspace=workspace, service=service))
