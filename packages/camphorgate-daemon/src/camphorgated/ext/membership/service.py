"""The service ``membership``: own record, links, beats and platform lists."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from camphorgate.application import Application
from camphorgate.configuration.freshness import PauseDetector
from camphorgate.kv.errors import KvError
from camphorgate.log import log_event
from camphorgate.membership.evidence import EvidenceTable
from camphorgate.membership.roster import (
    MAX_SMALL_SYSTEM_INSTANCES,
    Member,
    MemberState,
    Roster,
)
from camphorgate.membership.topology import is_watcher
from camphorgate.peers.errors import PeerError
from camphorgate.peers.links import PeerLinks
from camphorgate.peers.peers_pb2 import EpochAcknowledgement, EpochNotice
from camphorgate.peers.service import bind_server
from camphorgated.ext.membership.beats import BeatExchange, VersionSource
from camphorgated.ext.membership.dialling import PeerDialer
from camphorgated.ext.membership.platform import PlatformLists, PlatformUpstream
from camphorgated.ext.membership.records import (
    ROSTER_PREFIX,
    RosterEntry,
    decode_entry,
    member_from_entry,
    member_from_record,
)
from camphorgated.ext.membership.registration import Registration
from camphorgated.ext.membership.views import (
    MemberView,
    Peer,
    seconds_since,
    view_member,
)

# Limit on asking the seeds for this instance's last incarnation while KV is down.
PEER_QUERY_TIMEOUT_SECONDS = 1.5

# While KV reads confirm the root, an instance with several links sends beats half as
# often, as most of the CPU time of the control plane goes into beats. Changes are sent
# at once in any case, and without KV beats return to the full rate before the last read
# expires.
RESTING_PERIOD_FACTOR = 2.0
MIN_RESTING_LINKS = 4

_PERIOD_JITTER = 0.1

EpochHandler = Callable[[str, int], Awaitable[Iterable[str]]]


class MembershipService:
    """Tracks the known instances; see section 9 of the design."""

    def __init__(self, app: Application) -> None:
        """Create the service; ``start`` starts its tasks."""
        settings = app.settings
        self.instance_id: str = settings.instance_id
        self.incarnation = 0
        self.outranked = False
        self.listen_address = ""
        self._app = app
        self._clock = app.clock
        self._random = random.Random(f"{settings.seed}/{settings.instance_id}")
        own = Member(
            settings.instance_id,
            availability_zone=settings.availability_zone,
            region=settings.region,
        )
        self.roster = Roster(own, app.clock.monotonic())
        self.book = EvidenceTable(self.roster)
        self.beats = BeatExchange(self)
        self.links = PeerLinks(self.beats, app.clock, self._random.getrandbits(32))
        self.platform = PlatformLists(
            settings.platform.list_address,
            app.clock,
            self._random,
            self._apply_platform_list,
            self._emit_upstreams_changed,
        )
        self.registration: Registration | None = None
        self._pause = PauseDetector(*self._clock_readings())
        self._epoch_handler: EpochHandler | None = None
        self._server: Any = None
        self._beat_requested = asyncio.Event()
        self._last_beat_at = 0.0
        # Whether KV or the platform has provided the list of instances. Until then, the
        # few known instances must not be taken for all of them.
        self.roster_known = False
        self._dialer = PeerDialer(
            self.roster, self.links, app.clock, app.settings.peers
        )

    # Public interface (section 9 of the design).

    @property
    def leaving(self) -> bool:
        """Return whether this instance has announced that it is leaving."""
        return self.roster.own.state == MemberState.LEAVING

    def members(self) -> list[MemberView]:
        """Return the listed instances, by id."""
        now = self._clock.monotonic()
        return [view_member(self.roster, item, now) for item in self.roster.listed()]

    def live_count(self) -> int:
        """Return how many instances were heard recently, including this one."""
        return self.book.live_count(self._clock.monotonic())

    def announce_leaving(self) -> None:
        """Announce to all instances that this one is leaving."""
        own = self.roster.own
        self.roster.set_state(own, MemberState.LEAVING, self._clock.monotonic())
        self.send_beat_now()

    def peer(self, instance_id: str) -> Peer | None:
        """Return a client for an instance, ``None`` if it is not known."""
        member = self.roster.member(instance_id)
        if member is None:
            return None
        return Peer(instance_id, member.peer_address, self.links)

    def platform_upstreams(self) -> tuple[PlatformUpstream, ...]:
        """Return the platform's list of upstreams as last read."""
        return self.platform.upstreams

    # Used by the extensions for usage and duties.

    def platform_state(self, instance_id: str) -> str | None:
        """Return an instance's state in the platform's list, ``None`` if not listed.

        If this instance does not poll the list, ``gone`` is taken from the records.
        """
        entry = self.platform.instances_by_id.get(instance_id)
        if entry is not None and self._polls_instances():
            return entry.state
        member = self.roster.member(instance_id)
        if member is None:
            return None
        return (
            "live" if member.state == MemberState.PRESENT else member.state.name.lower()
        )

    def linked(self) -> list[MemberView]:
        """Return the instances with an open link."""
        now = self._clock.monotonic()
        members = map(self.roster.member, list(self.links.links_by_id))
        return [
            view_member(self.roster, item, now) for item in members if item is not None
        ]

    def handle_epochs(self, handler: EpochHandler) -> None:
        """Set the handler that acknowledges newer epochs of duties.

        :param handler: called with the duty and the epoch. Once it returns, the
            instance must not act under an older epoch. It returns the orders that may
            be in flight.
        """
        self._epoch_handler = handler

    def handle_usage(self, on_batch: Callable, on_ack: Callable) -> None:
        """Set the handlers of usage packets; both get the peer's id and the packet."""
        self.beats.on_usage_batch = on_batch
        self.beats.on_usage_ack = on_ack

    def send_usage(self, instance_id: str, packet: Any) -> bool:
        """Queue a ``UsageBatch`` or ``UsageAck`` for a linked instance.

        :returns: false if there is no link or its queue is full.
        """
        return self.beats.send_usage(instance_id, packet)

    async def set_copy_holders(self, copy_holders: Iterable[str]) -> None:
        """Record in KV which instances hold copies of the current usage.

        :raises KvError: if the entry cannot be written now.
        """
        await self.registration.set_copy_holders(tuple(copy_holders))

    def set_version_source(self, source: VersionSource) -> None:
        """Set the source of the versions that beats contain."""
        self.beats.versions = source

    def check_pause(self) -> bool:
        """Discard all evidence if the process was paused since the last check.

        :returns: whether it was paused.
        """
        if not self._pause.tick(*self._clock_readings()):
            return False
        log_event("pause_detected", level="WARNING", instance=self.instance_id)
        self.book.forget()
        self._app.emit("pause-detected")
        return True

    def is_watcher(self) -> bool:
        """Return whether this instance is one of those that watch KV."""
        now = self._clock.monotonic()
        zone = self.roster.own.availability_zone
        members = self.roster.listed_by_zone()[zone]
        live = [m.instance_id for m in members if self.roster.is_live(m, now)]
        return is_watcher(self.instance_id, live, len(self.roster.listed()))

    def send_beat_now(self) -> None:
        """Send the next beat without waiting for its period."""
        self._beat_requested.set()

    def relay_beat(self) -> None:
        """Send the next beat at once unless the last one was sent recently.

        Beats that trigger one another spread changes through a system faster than beats
        at independent times, with the same number of beats.
        """
        period = self._app.settings.timing.beat_seconds
        if self._clock.monotonic() - self._last_beat_at > period / 2:
            self.send_beat_now()

    def set_own_version(self, version: int, confirmed: bool) -> None:
        """Announce to all instances which version is in force here."""
        own = self.roster.own
        if (own.version, own.confirmed) != (version, confirmed):
            own.version, own.confirmed = version, confirmed
            self.send_beat_now()

    # Start and stop.

    async def start(self) -> None:
        """Choose the incarnation, listen for peers and start the tasks."""
        settings = self._app.settings
        self._server, self.listen_address = bind_server(
            self.beats, settings.peer_address, self._clock
        )
        own = self.roster.own
        own.peer_address = settings.advertised_peer_address or self.listen_address
        entry = RosterEntry(
            own.instance_id, 0, own.availability_zone, own.region, own.peer_address
        )
        self.registration = Registration(entry, self._app.service("kv"), self._random)
        self.incarnation = await self.registration.start(
            self._clock, self._query_incarnation
        )
        own.incarnation = self.incarnation
        # Peers can connect only from here on, because a hello needs the incarnation.
        await self._server.start()
        self._pause = PauseDetector(*self._clock_readings())
        supervise = self._app.supervise
        supervise(self._run_beats, "membership beats")
        supervise(self.registration.retry_until_registered, "membership registration")
        supervise(self._read_roster, "membership roster")
        supervise(
            lambda: self.platform.poll_instances(self._polls_instances),
            "platform instances",
        )
        supervise(self.platform.poll_upstreams, "platform upstreams")

    async def stop(self) -> None:
        """Close the links and stop listening."""
        await self.links.close()
        if self._server is not None:
            await self._server.stop(0)
        await self.platform.close()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        now = self._clock.monotonic()
        return {
            "instance": self.instance_id,
            "incarnation": self.incarnation,
            "registered": bool(self.registration and self.registration.registered),
            "outranked": self.outranked,
            "listed": len(self.roster.listed()),
            "live": self.live_count(),
            "links": sorted(self.links.links_by_id),
            "connections": self.links.connections,
            "watcher": self.is_watcher(),
            "platform_list_age": seconds_since(self.platform.read_at, now),
            "members": [
                {
                    "instance": item.instance_id,
                    "incarnation": item.incarnation,
                    "zone": item.availability_zone,
                    "state": item.state.name.lower(),
                    "version": item.version,
                    "heard_age": seconds_since(item.heard_at, now),
                }
                for item in self.roster.listed()
                if self.book.detailed(item.availability_zone)
            ],
        }

    # Used by the beats.

    def receive_record(self, record: Member) -> None:
        """Process a record from a peer or from KV."""
        now = self._clock.monotonic()
        if self.roster.is_superseded_by(record) and not self.outranked:
            self.outranked = True
            log_event(
                "incarnation_outranked",
                level="ERROR",
                own=self.incarnation,
                known=record.incarnation,
            )
        if self.roster.merge(record, now):
            self._emit_member_changed()

    async def acknowledge_epoch(self, notice: EpochNotice) -> EpochAcknowledgement:
        """Call the handler of epochs; without one, nothing is acknowledged."""
        answer = EpochAcknowledgement(
            instance=self.instance_id, incarnation=self.incarnation
        )
        if self._epoch_handler is not None:
            orders = await self._epoch_handler(notice.duty, notice.epoch)
            answer.acknowledged = True
            answer.orders_in_flight.extend(orders)
        return answer

    # Tasks.

    def _beat_period(self) -> float:
        period = self._app.settings.timing.beat_seconds
        few_links = len(self.links.links_by_id) < MIN_RESTING_LINKS
        if few_links or not self.beats.resting(self._clock.monotonic()):
            return period
        return period * RESTING_PERIOD_FACTOR

    async def _run_beats(self) -> None:
        while True:
            self.check_pause()
            period = self._beat_period()
            self._dialer.update()
            self.links.close_silent(period)
            self.beats.collect_deltas()
            self.links.broadcast_beat()
            self._last_beat_at = self._clock.monotonic()
            jitter = self._random.uniform(1 - _PERIOD_JITTER, 1 + _PERIOD_JITTER)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period * jitter):
                    await self._beat_requested.wait()
            self._beat_requested.clear()

    async def _read_roster(self) -> None:
        """Read the roster once, so that startup does not depend on the seeds."""
        while True:
            try:
                entries = await self._app.service("kv").get_prefix(ROSTER_PREFIX)
                break
            except KvError:
                await asyncio.sleep(self._random.uniform(2.0, 6.0))
        self.roster_known = True
        for stored in entries:
            entry = decode_entry(stored.value)
            if entry is not None:
                self.receive_record(member_from_entry(entry))

    async def _query_incarnation(self) -> int:
        """Return this instance's highest incarnation that a seed knows, 0 for none."""

        async def query(address: str) -> int:
            answer = await self.links.snapshot(address)
            records = map(member_from_record, answer.records)
            own = [r.incarnation for r in records if r.instance_id == self.instance_id]
            return max(own, default=0)

        seeds = [*self._app.settings.peers][:3]
        known = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_QUERY_TIMEOUT_SECONDS):
                for seed in seeds:
                    with contextlib.suppress(PeerError):
                        known = max(known, await query(seed))
        return known

    def _polls_instances(self) -> bool:
        small_system = len(self.roster.listed()) <= MAX_SMALL_SYSTEM_INSTANCES
        return small_system or self.is_watcher()

    def _apply_platform_list(self) -> None:
        self.roster_known = self.roster_known or bool(self.platform.instances_by_id)
        states = {
            item.id: (item.zone, item.state)
            for item in self.platform.instances_by_id.values()
        }
        if self.roster.apply_platform_list(states, self._clock.monotonic()):
            self._emit_member_changed()

    def _emit_upstreams_changed(self) -> None:
        if self._app.has_service("upstreams"):
            self._app.emit("upstreams-changed")

    def _emit_member_changed(self) -> None:
        self._app.emit("member-changed")

    def _clock_readings(self) -> tuple[float, float]:
        return self._clock.monotonic(), self._clock.now().timestamp()
