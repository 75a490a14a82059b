"""Exchanges loads, usage and news with the other instances over gRPC.

Provides ``gossip``. One task per peer sends this instance's state at a steady period;
the answer brings what the sender lacks, if the store does not serve it.
"""

import asyncio

import grpc
import msgspec

from camphorgate.application import Application
from camphorgate.log import log_event
from camphorgate.peers.service import CHANNEL_OPTIONS
from camphorgate.serving.catalog import Upstream
from camphorgate.serving.loads import Load, LoadBook
from camphorgate.serving.true_time import TrueTime
from camphorgate.serving.usage import UsageCounts
from camphorgated.errors import ListenError

SERVICE = "camphorgate.serving.Gossip"
METHOD = f"/{SERVICE}/Exchange"
# Period to each peer with few peers; grows with their number, which bounds the
# messages per second of an instance.
PERIOD_SECONDS = 0.2
PERIOD_PER_PEER_SECONDS = 0.02
CALL_SECONDS = 0.5
LONGEST_RETURN_SECONDS = 2.0
# A peer counts as live this long after it was heard.
LIVE_SECONDS = 3.0
# A new connection for every dial, as a shared one may be the silent one.
_DIAL_OPTIONS = (*CHANNEL_OPTIONS, ("grpc.use_local_subchannel_pool", 1))


class State(msgspec.Struct, omit_defaults=True):
    """What an instance tells a peer.

    ``wall`` is the raw time of day and ``true_now`` the estimate of the true time,
    both in seconds since 1970. ``changing`` are the engines that the sender, as the
    holder of the duty, is about to order to another phase or has just ordered.
    """

    instance: str
    boot: str
    address: str
    wall: float
    true_now: float
    leaving: bool = False
    store_sound: bool = False
    version: int = 0
    revision: int = 0
    digest: str = ""
    usage: dict[int, dict[str, int]] = {}
    loads: dict[str, Load] = {}
    parts: list[tuple[str, str]] = []
    changing: list[str] = []


class Answer(msgspec.Struct, omit_defaults=True):
    """What the receiver has that the sender lacks."""

    instance: str
    boot: str
    version: int = 0
    addresses: list[str] = []
    catalog: bytes = b""
    revision: int = 0
    upstreams: list[Upstream] | None = None


class Gossip:
    """Keeps what peers said, and the tasks that talk to them."""

    __slots__ = (
        "loads",
        "true_time",
        "usage",
        "heard_by_boot",
        "changing",
        "_changing_by_instance",
        "_app",
        "_members",
        "_directory",
        "_server",
        "_tasks_by_address",
        "_known_addresses",
        "_news_by_address",
    )

    def __init__(self, app: Application) -> None:
        """Start without peers."""
        self._app = app
        self._members = app.service("members")
        self._directory = app.service("directory")
        self.loads = LoadBook()
        self.true_time = TrueTime(self._wall(), app.clock.monotonic())
        self.usage = UsageCounts(
            app.settings.times.usage_window_seconds, self._members.own.boot
        )
        self.heard_by_boot: dict[str, float] = {}
        self.changing: set[str] = set()
        self._changing_by_instance: dict[str, tuple[float, list[str]]] = {}
        self._server: grpc.aio.Server | None = None
        self._tasks_by_address: dict[str, asyncio.Task] = {}
        self._known_addresses: dict[str, float] = {}
        self._news_by_address: dict[str, list[tuple[str, str]]] = {}

    def _wall(self) -> float:
        return self._app.clock.now().timestamp()

    def true_now(self) -> float:
        """Return the estimate of the true time, seconds since 1970."""
        return self.true_time.now(self._app.clock.monotonic())

    def live_boots(self) -> set[str]:
        """Return the boots that are listed, or were heard of lately."""
        now = self._app.clock.monotonic()
        boots = {member.boot for member in self._members.by_instance().values()}
        heard = {
            boot
            for boot, heard_at in self.heard_by_boot.items()
            if now - heard_at < LIVE_SECONDS
        }
        return boots | heard | {self._members.own.boot}

    def changing_engines(self) -> set[str]:
        """Return the engines that take no requests while they change their phase."""
        now = self._app.clock.monotonic()
        engines = set(self.changing)
        for heard_at, changing in self._changing_by_instance.values():
            if now - heard_at < LIVE_SECONDS:
                engines.update(changing)
        return engines

    def instance_count(self) -> int:
        """Return how many instances there seem to be, this one included."""
        return max(len(self.live_boots()), len(self._app.settings.seeds), 1)

    async def start(self) -> None:
        """Listen for peers and start talking to them.

        :raises ListenError: if the address cannot be used.
        """
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        handler = grpc.unary_unary_rpc_method_handler(
            self._answer,
            request_deserializer=msgspec.msgpack.Decoder(State).decode,
            response_serializer=msgspec.msgpack.encode,
        )
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {"Exchange": handler}),)
        )
        address = self._app.settings.peer_address
        try:
            self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise ListenError(f"cannot listen on {address}: {error}") from None
        await self._server.start()
        self._app.spawn(self._keep_tasks(), "gossip peers")

    async def stop(self) -> None:
        """Stop answering."""
        for task in self._tasks_by_address.values():
            task.cancel()
        if self._server is not None:
            await self._server.stop(0.2)

    def _period(self) -> float:
        return max(
            PERIOD_SECONDS, len(self._tasks_by_address) * PERIOD_PER_PEER_SECONDS
        )

    async def _keep_tasks(self) -> None:
        while True:
            now = self._app.clock.monotonic()
            self.true_time.follow(self._wall(), now)
            self.usage.forget_before(self.true_now())
            self._share_news()
            wanted = set(self._app.settings.seeds)
            for member in self._members.by_instance().values():
                wanted.add(member.peer_address)
            for address, heard_at in list(self._known_addresses.items()):
                if now - heard_at > 10 * LIVE_SECONDS:
                    del self._known_addresses[address]
            wanted |= self._known_addresses.keys()
            wanted.discard(self._app.settings.peer_address)
            for address in self._tasks_by_address.keys() - wanted:
                self._tasks_by_address.pop(address).cancel()
                self._news_by_address.pop(address, None)
            for address in wanted - self._tasks_by_address.keys():
                self._news_by_address[address] = []
                self._tasks_by_address[address] = self._app.spawn(
                    self._talk(address), f"gossip {address}"
                )
            await asyncio.sleep(PERIOD_SECONDS)

    def _share_news(self) -> None:
        news = self.loads.take_news()
        for queue in self._news_by_address.values():
            queue += news
            del queue[:-200]

    def _state(self, address: str) -> State:
        now = self._app.clock.monotonic()
        queue = self._news_by_address.get(address, [])
        parts, queue[:] = list(queue), []
        catalog = self._directory.catalog
        return State(
            instance=self._members.own.instance,
            boot=self._members.own.boot,
            address=self._members.own.peer_address,
            wall=self._wall(),
            true_now=self.true_time.now(now),
            leaving=self._members.leaving,
            store_sound=self._directory.sound,
            version=catalog.version if catalog else 0,
            revision=self._directory.table.revision,
            digest=self._directory.table.digest(),
            usage=self.usage.own_recent(self.true_now()),
            loads=self.loads.own_by_id,
            parts=parts,
            changing=list(self.changing),
        )

    async def _talk(self, address: str) -> None:
        channel = None
        delay = self._period()
        failing = False
        try:
            while True:
                if channel is None:
                    channel = grpc.aio.insecure_channel(address, _DIAL_OPTIONS)
                    call = channel.unary_unary(
                        METHOD,
                        request_serializer=msgspec.msgpack.encode,
                        response_deserializer=msgspec.msgpack.Decoder(Answer).decode,
                    )
                try:
                    answer = await call(self._state(address), timeout=CALL_SECONDS)
                except grpc.RpcError as error:
                    if not failing:
                        log_event(
                            "peer_lost", peer=address, error=error.code().name.lower()
                        )
                    failing = True
                    await channel.close()
                    channel = None
                    delay = min(LONGEST_RETURN_SECONDS, delay * 2)
                else:
                    if failing:
                        log_event("peer_regained", peer=address)
                    failing = False
                    delay = self._period()
                    self._take_answer(answer, address)
                await asyncio.sleep(delay)
        finally:
            if channel is not None:
                await channel.close()

    def _take_answer(self, answer: Answer, address: str) -> None:
        now = self._app.clock.monotonic()
        self._known_addresses[address] = now
        for known in answer.addresses:
            self._known_addresses.setdefault(known, now)
        catalog = self._directory.catalog
        version = catalog.version if catalog else 0
        if answer.catalog:
            self._directory.take_catalog(answer.catalog, answer.instance)
        else:
            self._directory.peer_ahead(answer.version > version)
        if answer.upstreams is not None and not self._directory.sound:
            self._directory.take_peer_upstreams(
                answer.upstreams, answer.revision, answer.instance
            )

    async def _answer(self, state: State, context) -> Answer:
        now = self._app.clock.monotonic()
        self.heard_by_boot[state.boot] = now
        self._known_addresses[state.address] = now
        self.true_time.hear(state.instance, state.wall, now)
        self.usage.merge(state.boot, state.usage, state.true_now)
        self.loads.hear(state.instance, state.loads, now)
        self.loads.hear_parts(state.parts, now)
        self._changing_by_instance[state.instance] = (now, state.changing)
        directory = self._directory
        catalog = directory.catalog
        answer = Answer(
            instance=self._members.own.instance,
            boot=self._members.own.boot,
            version=catalog.version if catalog else 0,
        )
        if state.store_sound:
            return answer
        answer.addresses = list(self._known_addresses)
        if catalog is not None and catalog.version > state.version:
            answer.catalog = catalog.raw
        if directory.sound and directory.table.digest() != state.digest:
            answer.upstreams = list(directory.table.by_id.values())
            answer.revision = directory.table.revision
        return answer

    def dump(self) -> dict:
        """Return the state for the operators."""
        now = self._app.clock.monotonic()
        return {
            "true_time": self.true_now(),
            "peers": sorted(self._tasks_by_address),
            "heard_seconds_ago": {
                boot: now - heard_at for boot, heard_at in self.heard_by_boot.items()
            },
        }


def setup(app: Application) -> None:
    """Provide the gossip and start it."""
    gossip = Gossip(app)
    app.provide("gossip", gossip)
    app.add_dump_section("gossip", gossip.dump)
    app.on_start(gossip.start)
    app.on_stop(gossip.stop)
