"""Exchanges loads, health and usage with the other instances.

Provides ``gossip``. Each instance sends small datagrams to some peers at a steady
period. A later datagram repeats what a lost one held, and there is no connection that
could go silent. State that must arrive complete is fetched, see ``knowledge``.
"""

import asyncio
from collections.abc import Callable

import msgspec

from camphorgate.application import Application
from camphorgate.foreign_data import DECODE_ERRORS
from camphorgate.log import log_event
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.frozen_figures import FrozenPart
from camphorgate.serving.health import HealthTable
from camphorgate.serving.loads import LoadTable
from camphorgate.serving.synchronized_clock import SynchronizedClock
from camphorgate.serving.usage import UsageCounts
from camphorgate.serving.watcher_selection import MAX_WATCHER_SILENCE_SECONDS
from camphorgate.settings import split_address
from camphorgated.errors import ListenError
from camphorgated.serving.messages import (
    FORMAT,
    CatalogPart,
    Changes,
    Counters,
    LimitNews,
    PermitReply,
    PermitRequest,
    PrefillNotice,
    QuarantineNews,
    RoomLoans,
    RoomReply,
    RoomRequest,
    RoomReturn,
    State,
)
from camphorgated.serving.peers import PeerTable, select_in_rotation

TICK_SECONDS = 0.2
# Peers of the own zone that get a message per tick; with more of them, each gets one at
# every second or third tick. This bounds the traffic of an instance for any number of
# instances.
MAX_NEAR_PEERS_PER_TICK = 8
# The same for peers of other zones. A message to them holds the loads of the sender's
# whole zone, so a few messages from any of its instances suffice. All instances
# together send this many per tick, as far as the bounds per instance allow.
FAR_PEERS_PER_TICK_OF_ALL = 64
MIN_FAR_PEERS_PER_TICK = 2
MAX_FAR_PEERS_PER_TICK = 8
# Watchers send to each peer of their zone at this interval, so that two consecutive
# lost datagrams do not count as a loss of contact.
WATCHER_ROUND_TICKS = int(MAX_WATCHER_SILENCE_SECONDS / 3 / TICK_SECONDS) + 1
# The datagrams of a tick are sent in this many batches, as a burst would delay the
# answers on a slow link (5 Mbit/s pass 125 kB in a tick).
PARTS_PER_TICK = 2
MAX_FAILING_UPSTREAMS = 10
# A prompt with at least this many tokens to prefill is announced at once, as several
# instances would otherwise send theirs to the same idle engine between two ticks.
MIN_ANNOUNCED_TOKENS = 1000
# Peers that get an announcement, those of the own zone first, and as many again of the
# engine's zone. This bounds the announcements that an instance receives by the rates of
# its peers, not by their number.
MAX_ANNOUNCEMENT_PEERS = 24
# An instance knows the loads of its zone this long after its start, at the latest.
WARMUP_SECONDS = 2.0
# Unreadable datagrams are logged at most this often.
UNREADABLE_LOG_SECONDS = 1.0

Message = (
    State
    | PrefillNotice
    | Counters
    | Changes
    | CatalogPart
    | QuarantineNews
    | LimitNews
    | FrozenPart
    | PermitRequest
    | PermitReply
    | RoomRequest
    | RoomReply
    | RoomReturn
    | RoomLoans
)


class _Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams to the gossip."""

    __slots__ = ("_receive",)

    def __init__(self, take) -> None:
        self._receive = take

    def datagram_received(self, data: bytes, address) -> None:
        self._receive(data)


class Gossip:
    """Holds the states that peers sent, and sends them this instance's state."""

    __slots__ = (
        "loads",
        "health",
        "synchronized_clock",
        "usage",
        "peers",
        "answers_fetches",
        "grants_permits",
        "near",
        "far",
        "_app",
        "_members",
        "_directory",
        "_transport",
        "_decoder",
        "_changing",
        "_turn",
        "_announcement_peers",
        "_far_by_zone",
        "_handlers",
        "_tick_listeners",
        "_peer_listeners",
        "_state_writers",
        "_far_state_writers",
        "_state_listeners",
        "_started_at",
        "_logged_at",
        "_unreadable",
    )

    def __init__(self, app: Application) -> None:
        """Start without peers."""
        self._app = app
        self._members = app.service("members")
        self._directory = app.service("directory")
        self.loads = LoadTable()
        self.health = HealthTable()
        self.synchronized_clock = SynchronizedClock(self._wall(), app.clock.monotonic())
        self.usage = UsageCounts(
            app.settings.times.usage_window_seconds, self._members.own.incarnation
        )
        self.peers = PeerTable(app.clock, self._members, len(app.settings.seeds))
        # Whether this instance listens for the fetch requests of peers.
        self.answers_fetches = False
        # Whether this instance grants permits for upstreams with a limit.
        self.grants_permits = False
        self._changing: frozenset[str] = frozenset()
        self._transport: asyncio.DatagramTransport | None = None
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._turn = 0
        # Addresses as of the last tick: of the peers that get announcements, of all
        # peers in this zone and of all in other zones.
        self._announcement_peers: list[str] = []
        self.near: list[str] = []
        self.far: list[str] = []
        self._far_by_zone: dict[str, list[str]] = {}
        self._handlers = {
            State: self._receive_state,
            PrefillNotice: self._receive_prefill_notice,
        }
        self._tick_listeners: list[Callable[[int], None]] = []
        self._peer_listeners: list[Callable[[str], None]] = []
        self._state_writers: list[Callable[[State], None]] = []
        self._far_state_writers: list[Callable[[State], None]] = []
        self._state_listeners: list[Callable[[State], None]] = []
        self._started_at = app.clock.monotonic()
        self._logged_at = float("-inf")
        self._unreadable = 0

    def _wall(self) -> float:
        return self._app.clock.now().timestamp()

    def synchronized_now(self) -> float:
        """Return the estimate of the true time, seconds since 1970."""
        return self.synchronized_clock.now(self._app.clock.monotonic())

    def live_states(self) -> list[State]:
        """Return the newest states of the peers that sent one lately."""
        return self.peers.live_states()

    def note_addresses(self, gossip_addresses: list[str]) -> None:
        """Add gossip addresses that a peer reported."""
        self.peers.note_addresses(gossip_addresses)

    def live_incarnations(self) -> set[str]:
        """Return the incarnations that are listed, or sent a state lately."""
        return self.peers.live_incarnations()

    def instance_count(self) -> int:
        """Return the estimated number of instances, including this one."""
        return self.peers.instance_count()

    def engines_changing_phase(self) -> set[str]:
        """Return the engines that take no requests while they change their phase."""
        return self._changing | self.peers.changing()

    def broadcast_phase_changes(self, engines: set[str]) -> None:
        """Broadcast at once which engines are about to change their phase."""
        news = frozenset(engines) != self._changing
        self._changing = frozenset(engines)
        if news:
            self.send([self._state(None)], self.near + self.far)

    async def start(self) -> None:
        """Listen for peers and start sending to them.

        :raises ListenError: if an address cannot be used.
        """
        loop = asyncio.get_running_loop()
        try:
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self._receive),
                local_addr=split_address(self._app.settings.gossip_address),
            )
        except OSError as error:
            raise ListenError(f"cannot listen for peers: {error}") from None
        self._app.supervise(self._broadcast_periodically, "gossip")

    async def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def _broadcast_periodically(self) -> None:
        while not self._transport.is_closing():
            now = self._app.clock.monotonic()
            self.synchronized_clock.adjust(self._wall(), now)
            self.usage.forget_before(self.synchronized_now())
            near, far, self._far_by_zone = self.peers.addresses()
            self.near, self.far = near, far
            receivers = select_in_rotation(near, self._turn, MAX_ANNOUNCEMENT_PEERS)
            receivers += select_in_rotation(
                far, self._turn, MAX_ANNOUNCEMENT_PEERS - len(receivers)
            )
            self._announcement_peers = receivers
            near_receivers = select_in_rotation(
                near, self._turn, self._near_peers_per_tick(len(near))
            )
            far_receivers = select_in_rotation(
                far, self._turn, far_peers_per_tick(len(near) + len(far) + 1)
            )
            for listener in self._tick_listeners:
                listener(self._turn)
            self._turn += 1
            for part in range(PARTS_PER_TICK):
                now = self._app.clock.monotonic()
                state = self.state()
                self.send([state], near_receivers[part::PARTS_PER_TICK])
                if far_receivers:
                    state = self._state(self._zone_loads(now))
                    for write in self._far_state_writers:
                        write(state)
                    self.send([state], far_receivers[part::PARTS_PER_TICK])
                await asyncio.sleep(TICK_SECONDS / PARTS_PER_TICK)

    def _near_peers_per_tick(self, near: int) -> int:
        if self._directory.watches.watching:
            return max(MAX_NEAR_PEERS_PER_TICK, -(-near // WATCHER_ROUND_TICKS))
        return MAX_NEAR_PEERS_PER_TICK

    def _zone_loads(self, now: float):
        """Return the loads of this zone, ``None`` if not all can be known yet."""
        if now - self._started_at < WARMUP_SECONDS and self.near:
            return None
        return self.loads.sum_of(self.peers.near_instances(), now)

    def add_handler(self, kind: type, handler: Callable) -> None:
        """Register the handler for messages of a type."""
        self._handlers[kind] = handler

    def add_tick_listener(self, listener: Callable[[int], None]) -> None:
        """Add a listener that gets each tick's number before the states are sent."""
        self._tick_listeners.append(listener)

    def add_peer_listener(self, listener: Callable[[str], None]) -> None:
        """Add a listener that gets the gossip address of each peer that has started."""
        self._peer_listeners.append(listener)

    def add_state_field(
        self,
        write: Callable[[State], None],
        receive: Callable[[State], None],
        far: bool = False,
    ) -> None:
        """Add a field to the states that are sent to peers of the own zone.

        :param write: sets the field of a state that is about to be sent.
        :param receive: gets each state that a peer has sent.
        :param far: whether the field is sent to peers of other zones, too.
        """
        self._state_writers.append(write)
        if far:
            self._far_state_writers.append(write)
        self._state_listeners.append(receive)

    def state(self) -> State:
        """Return the state that is sent to peers of the own zone."""
        state = self._state(self.loads.own_by_id)
        for write in self._state_writers:
            write(state)
        return state

    def send_to_far_watchers(self) -> None:
        """Send the revisions known here to the watchers of other zones at once.

        A watcher whose own watch hangs learns from them that it is behind.
        """
        own = self._members.own
        addresses = [
            state.gossip_address
            for state in self.live_states()
            if state.watching and state.zone != own.zone
        ]
        if addresses:
            state = self._state(None)
            state.parts, state.failing = [], []
            self.send([state], addresses)

    def send(self, messages: list[Message], addresses: list[str]) -> None:
        """Send messages to some addresses, in one datagram each."""
        if not addresses or self._transport is None or self._transport.is_closing():
            return
        datagrams = [encode_datagram(message) for message in messages]
        for address in addresses:
            for datagram in datagrams:
                self.send_datagram(datagram, address)

    def send_datagram(self, datagram: bytes, address: str) -> None:
        """Send an encoded message to an address; one that cannot be used is ignored.

        Peers state addresses, and one that states a malformed one must not end a task.
        """
        if self._transport is None or self._transport.is_closing():
            return
        try:
            receiver = split_address(address)
        except ValueError as error:
            self._record_unreadable(str(error))
            return
        self._transport.sendto(datagram, receiver)

    def broadcast_prefill(self, upstream: Upstream, tokens: int) -> None:
        """Announce the prefill of a prompt to peers at once, if it is a long one.

        Peers of the engine's zone get it, too, as they send prompts to that engine.

        :param tokens: the tokens to prefill, negative when the prefill has ended.
        """
        if abs(tokens) < MIN_ANNOUNCED_TOKENS:
            return
        own = self._members.own
        message = PrefillNotice(own.instance, own.zone, upstream.id, tokens)
        there = self._far_by_zone.get(upstream.zone, [])
        receivers = select_in_rotation(there, self._turn, MAX_ANNOUNCEMENT_PEERS)
        self.send([message], list({*self._announcement_peers, *receivers}))

    def _state(self, loads) -> State:
        now = self._app.clock.monotonic()
        own = self._members.own
        directory = self._directory
        rounds = -(-len(self.near) // MAX_NEAR_PEERS_PER_TICK)
        return State(
            instance=own.instance,
            incarnation=own.incarnation,
            zone=own.zone,
            address=own.peer_address if self.answers_fetches else "",
            gossip_address=own.gossip_address,
            vote=self.synchronized_clock.vote(now),
            watching=directory.watches.watching,
            sound=directory.sound,
            version=directory.configuration.version,
            list_revision=directory.table.revision,
            list_digest=directory.table.digest(),
            doubting=bool(directory.table.doubted_entries()),
            holder=self._members.holder_address(),
            loads=loads,
            parts=self.loads.recent_cached_parts(
                now, 2.5 * max(1, rounds) * TICK_SECONDS
            ),
            changing=list(self._changing),
            failing=self.health.failing(now)[:MAX_FAILING_UPSTREAMS],
            grants_permits=self.grants_permits,
            outcomes=self.health.outcome_counts(now),
        )

    def _receive(self, data: bytes) -> None:
        try:
            if data[:1] != FORMAT:
                raise msgspec.DecodeError(f"format {data[:1].hex()} is not supported")
            message = self._decoder.decode(memoryview(data)[1:])
        except DECODE_ERRORS as error:
            self._record_unreadable(str(error))
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _record_unreadable(self, error: str) -> None:
        """Count an unreadable message, and log it unless one was logged lately."""
        self._unreadable += 1
        now = self._app.clock.monotonic()
        if now - self._logged_at >= UNREADABLE_LOG_SECONDS:
            self._logged_at = now
            log_event(
                "datagram_unreadable",
                level="WARNING",
                error=error,
                unreadable=self._unreadable,
            )

    def _receive_prefill_notice(self, message: PrefillNotice) -> None:
        source = self._load_source(message.instance, message.zone)
        self.loads.receive_prefill_notice(source, message.upstream, message.tokens)

    def _receive_state(self, message: State) -> None:
        now = self._app.clock.monotonic()
        new = self.peers.is_new(message)
        if not self.peers.receive_state(message):
            return
        if new:
            for listener in self._peer_listeners:
                listener(message.gossip_address)
        self.synchronized_clock.receive_vote(message.instance, message.vote, now)
        if message.loads is not None:
            source = self._load_source(message.instance, message.zone)
            self.loads.receive_loads(source, message.loads, now)
        self.loads.receive_cached_parts(message.parts, now)
        for incarnation in message.failing:
            self.health.of(incarnation).record_suspicion(now)
        if message.zone == self._members.own.zone:
            self.health.peer_outcomes.receive(message.instance, message.outcomes, now)
            selection = self._directory.watches.watcher_selection
            selection.receive_state(
                message.instance, message.watching, message.sound, now
            )
            self._members.reported_holder = (
                message.holder or self._members.reported_holder
            )
        if message.watching and message.sound:
            self._directory.compare(message)
        for receive in self._state_listeners:
            receive(message)

    def _load_source(self, instance: str, zone: str) -> str:
        """Return the name under which a peer's loads count."""
        return instance if zone == self._members.own.zone else f"zone/{zone}"

    def dump(self) -> dict:
        """Return the state for the operators."""
        return {
            "true_time": self.synchronized_now(),
            "heard_seconds_ago": self.peers.ages(),
            "unreadable_datagrams": self._unreadable,
        }


def encode_datagram(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return FORMAT + msgspec.msgpack.encode(message)


def far_peers_per_tick(instances: int) -> int:
    """Return how many peers of other zones an instance sends to per tick."""
    share = FAR_PEERS_PER_TICK_OF_ALL // instances
    return min(MAX_FAR_PEERS_PER_TICK, max(MIN_FAR_PEERS_PER_TICK, share))


def setup(app: Application) -> None:
    """Provide the gossip and start it."""
    gossip = Gossip(app)
    app.provide("gossip", gossip)
    app.add_dump_section("gossip", gossip.dump)
    app.on_start(gossip.start)
    app.on_stop(gossip.stop)
