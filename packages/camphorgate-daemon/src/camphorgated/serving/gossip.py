"""Tells the other instances loads and usage, and hears theirs.

Provides ``gossip``. Short datagrams go to every peer at a steady period: they are
small, lose nothing that the next one does not repeat, and have no connection that
could go silent. What must arrive whole is fetched, see ``knowledge``.
"""

import asyncio

import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.serving.health import HealthBook
from camphorgate.serving.loads import LoadBook
from camphorgate.serving.true_time import TrueTime
from camphorgate.serving.usage import UsageCounts
from camphorgate.settings import split_address
from camphorgated.errors import ListenError
from camphorgated.serving.messages import Counters, Reading, State, split_counters

TICK_SECONDS = 0.2
# Peers that are told in one tick, in the own zone and in others; with more of them,
# each hears at every second tick, or third. This bounds what an instance sends and
# receives, however many there are. Bytes between zones are priced, and the loads that
# matter most are those of the own zone, whose upstreams are preferred.
MOST_NEAR_PER_TICK = 12
MOST_FAR_PER_TICK = 8
# The datagrams of a tick leave in so many parts, as a burst would hold up the answers
# on a slow link (5 Mbit/s pass 125 kB in a tick).
PARTS_PER_TICK = 4
# Usage counters that are told in one tick, over all peers. The holder of the duty hears
# them in each tick, other peers in turn, to keep them if this instance is killed.
MOST_COUNTERS_PER_TICK = 400
LEAST_KEEPERS = 2
MOST_FAILING = 10
# A prompt of which at least so many tokens must be read is announced at once, as
# several instances would send theirs to the same idle engine between two ticks.
ANNOUNCED_TOKENS = 1000
# Peers that hear an announcement, those of the own zone first. What an instance hears
# so is bounded by its peers' own rates, not by their number.
MOST_HEARERS = 24
# Counters of incarnations that ended are told while their windows may be reported, so
# many of them in one tick.
ORPHAN_SECONDS = 25.0
MOST_ORPHANS = 6
# A peer counts as live this long after it was heard.
LIVE_SECONDS = 3.0
# Addresses of peers that were not heard are kept this long.
KNOWN_SECONDS = 30.0

Message = State | Reading | Counters


class _Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams to the gossip."""

    __slots__ = ("_take",)

    def __init__(self, take) -> None:
        self._take = take

    def datagram_received(self, data: bytes, address) -> None:
        self._take(data)


class Peer:
    """What is known of another instance."""

    __slots__ = ("state", "heard_at")

    def __init__(self, state: State, heard_at: float) -> None:
        """Keep its newest state."""
        self.state = state
        self.heard_at = heard_at


class Gossip:
    """Keeps what peers said, and tells them what this instance does."""

    __slots__ = (
        "loads",
        "health",
        "true_time",
        "usage",
        "changing",
        "_app",
        "_members",
        "_directory",
        "_transport",
        "_decoder",
        "_peers_by_instance",
        "_known_addresses",
        "_turn",
        "_hearers",
    )

    def __init__(self, app: Application) -> None:
        """Start without peers."""
        self._app = app
        self._members = app.service("members")
        self._directory = app.service("directory")
        self.loads = LoadBook()
        self.health = HealthBook()
        self.true_time = TrueTime(self._wall(), app.clock.monotonic())
        self.usage = UsageCounts(
            app.settings.times.usage_window_seconds, self._members.own.incarnation
        )
        self.changing: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._peers_by_instance: dict[str, Peer] = {}
        self._known_addresses: dict[str, float] = {}
        self._turn = 0
        # Addresses of peers that hear announcements, as of the last tick.
        self._hearers: list[str] = []

    def _wall(self) -> float:
        return self._app.clock.now().timestamp()

    def true_now(self) -> float:
        """Return the estimate of the true time, seconds since 1970."""
        return self.true_time.now(self._app.clock.monotonic())

    def live_states(self) -> list[State]:
        """Return the newest states of the peers that were heard of lately."""
        now = self._app.clock.monotonic()
        peers = self._peers_by_instance.values()
        return [peer.state for peer in peers if now - peer.heard_at < LIVE_SECONDS]

    def note_addresses(self, gossip_addresses: list[str]) -> None:
        """Talk to instances of which a peer told."""
        now = self._app.clock.monotonic()
        for address in gossip_addresses:
            self._known_addresses.setdefault(address, now)

    def live_incarnations(self) -> set[str]:
        """Return the incarnations that are listed, or were heard of lately."""
        incarnations = {
            member.incarnation for member in self._members.by_instance().values()
        }
        incarnations.update(state.incarnation for state in self.live_states())
        incarnations.add(self._members.own.incarnation)
        return incarnations

    def changing_engines(self) -> set[str]:
        """Return the engines that take no requests while they change their phase."""
        engines = set(self.changing)
        for state in self.live_states():
            engines.update(state.changing)
        return engines

    def instance_count(self) -> int:
        """Return how many instances there seem to be, this one included."""
        return max(len(self.live_incarnations()), len(self._app.settings.seeds), 1)

    async def start(self) -> None:
        """Listen for peers and start talking to them.

        :raises ListenError: if an address cannot be used.
        """
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self._take),
                local_addr=split_address(self._app.settings.gossip_address),
            )
        except OSError as error:
            raise ListenError(f"cannot listen for peers: {error}") from None
        self._app.spawn(self._tell(), "gossip")

    async def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def _tell(self) -> None:
        while not self._transport.is_closing():
            now = self._app.clock.monotonic()
            self.true_time.follow(self._wall(), now)
            self.usage.forget_before(self.true_now())
            self._note_ahead()
            near, far = self._addresses(now)
            hearers = in_turn(near, self._turn, MOST_HEARERS)
            hearers += in_turn(far, self._turn, MOST_HEARERS - len(hearers))
            self._hearers = hearers
            told = in_turn(near, self._turn, MOST_NEAR_PER_TICK)
            told += in_turn(far, self._turn, MOST_FAR_PER_TICK)
            counters = self._counters()
            keepers = self._keepers(near + far, counters)
            news_seconds = (
                2.5 * self.ticks_per_round(len(near), len(far)) * TICK_SECONDS
            )
            self._turn += 1
            for part in range(PARTS_PER_TICK):
                state = self._state(self._app.clock.monotonic(), news_seconds)
                self._send([state], told[part::PARTS_PER_TICK])
                self._send(counters, keepers[part::PARTS_PER_TICK])
                await asyncio.sleep(TICK_SECONDS / PARTS_PER_TICK)

    def _send(self, messages: list[Message], addresses: list[str]) -> None:
        if not addresses or self._transport.is_closing():
            return
        datagrams = [msgspec.msgpack.encode(message) for message in messages]
        for address in map(split_address, addresses):
            for datagram in datagrams:
                self._transport.sendto(datagram, address)

    def _keepers(self, addresses: list[str], counters: list[Counters]) -> list[str]:
        """Return the peers that hear the counters in this tick, the holder first."""
        entries = sum(len(message.counts) for message in counters)
        most = max(LEAST_KEEPERS, MOST_COUNTERS_PER_TICK // max(1, entries))
        keepers = in_turn(addresses, self._turn, most)
        holder = self._members.holder_address()
        if holder in addresses and holder not in keepers:
            keepers.insert(0, holder)
        return keepers

    def announce(self, upstream_id: str, tokens: int) -> None:
        """Tell peers at once of a prompt that is read, if it is a long one.

        :param tokens: that must be read, negative when they have been.
        """
        if abs(tokens) >= ANNOUNCED_TOKENS:
            message = Reading(self._members.own.instance, upstream_id, tokens)
            self._send([message], self._hearers)

    @staticmethod
    def ticks_per_round(near: int, far: int) -> int:
        """Return after how many ticks every peer has been told."""
        return max(-(-near // MOST_NEAR_PER_TICK), -(-far // MOST_FAR_PER_TICK), 1)

    def _addresses(self, now: float) -> tuple[list[str], list[str]]:
        """Return the peers' addresses in a fixed order: the own zone's, and others."""
        for address, known_at in list(self._known_addresses.items()):
            if now - known_at > KNOWN_SECONDS:
                del self._known_addresses[address]
        own = self._members.own
        members = self._members.by_instance().values()
        near = {item.gossip_address for item in members if item.zone == own.zone}
        far = {item.gossip_address for item in members} | self._known_addresses.keys()
        near.discard(own.gossip_address)
        far.discard(own.gossip_address)
        return sorted(near), sorted(far - near)

    def _state(self, now: float, news_seconds: float) -> State:
        true_now = self.true_time.now(now)
        own = self._members.own
        catalog = self._directory.catalog
        return State(
            instance=own.instance,
            incarnation=own.incarnation,
            address=own.peer_address,
            gossip_address=own.gossip_address,
            vote=self.true_time.vote(now),
            true_now=true_now,
            store_sound=self._directory.sound,
            version=catalog.version if catalog else 0,
            totals=self.usage.own_totals(true_now),
            loads=self.loads.own_by_id,
            parts=self.loads.news(now, news_seconds),
            changing=list(self.changing),
            failing=self.health.failing(now)[:MOST_FAILING],
        )

    def _counters(self) -> list[Counters]:
        """Return the own counters, and some of instances that ended."""
        true_now = self.true_now()
        messages = []
        for window, counts in self.usage.own_recent(true_now).items():
            messages += split_counters(self._members.own.incarnation, window, counts)
        return messages + self._orphaned_counters(true_now)

    def _orphaned_counters(self, true_now: float) -> list[Counters]:
        """Return some of the counters of incarnations that ended, in turn."""
        orphans = self.usage.orphans(
            self.live_incarnations(), true_now - ORPHAN_SECONDS
        )
        parts = [part for row in orphans for part in split_counters(*row)]
        first = self._turn * MOST_ORPHANS % len(parts) if parts else 0
        return (parts + parts)[first : first + min(MOST_ORPHANS, len(parts))]

    def _take(self, data: bytes) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            log_event("datagram_unreadable", level="WARNING", error=str(error))
            return
        if isinstance(message, Counters):
            self.usage.merge(message.incarnation, message.window, message.counts)
            return
        if isinstance(message, Reading):
            self.loads.hear_reading(message.instance, message.upstream, message.tokens)
            return
        now = self._app.clock.monotonic()
        known = self._peers_by_instance.get(message.instance)
        if known is None or now - known.heard_at > LIVE_SECONDS:
            log_event(
                "peer_heard", peer=message.instance, incarnation=message.incarnation
            )
        self._peers_by_instance[message.instance] = Peer(message, now)
        self._known_addresses[message.gossip_address] = now
        self.true_time.hear(message.instance, message.vote, now)
        self.usage.hear(message.incarnation, message.true_now, message.totals)
        self.loads.hear(message.instance, message.loads, now)
        self.loads.hear_parts(message.parts, now)
        for incarnation in message.failing:
            self.health.of(incarnation).suspected(now)

    def _note_ahead(self) -> None:
        catalog = self._directory.catalog
        version = catalog.version if catalog else 0
        newest = max((state.version for state in self.live_states()), default=0)
        self._directory.peer_ahead(newest > version)

    def dump(self) -> dict:
        """Return the state for the operators."""
        now = self._app.clock.monotonic()
        return {
            "true_time": self.true_now(),
            "heard_seconds_ago": {
                instance: now - peer.heard_at
                for instance, peer in self._peers_by_instance.items()
            },
        }


def in_turn(addresses: list[str], turn: int, most: int) -> list[str]:
    """Return the addresses whose turn it is, at most so many."""
    if len(addresses) <= most:
        return list(addresses)
    first = turn * most % len(addresses)
    return (addresses + addresses)[first : first + most]


def setup(app: Application) -> None:
    """Provide the gossip and start it."""
    gossip = Gossip(app)
    app.provide("gossip", gossip)
    app.add_dump_section("gossip", gossip.dump)
    app.on_start(gossip.start)
    app.on_stop(gossip.stop)
