"""Simulates the network, the store and the time around the daemons of one zone.

The daemons run their real exchange of state in one process. Time is virtual: it
advances to the next timer whenever nothing else can run.
"""

import asyncio
import base64
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from unittest import mock

import grpc
import msgspec
from loguru import logger

from camphorgate.application import Application
from camphorgate.kv.errors import KvUnavailable
from camphorgate.kv.records import KvEntry, WatchBatch
from camphorgate_platform.store import CALL_TIMEOUT_SECONDS, MAX_BODY_SECONDS
from camphorgated.serving import daemon
from camphorgated.serving.knowledge import FETCH_TIMEOUT_SECONDS, PeerKnowledge
from camphorgated.serving.members import Member
from camphorgated.serving.messages import FetchResponse
from tests.hosted import build_hosted_settings
from tests.virtual_time import VirtualClock, VirtualTimeLoop

# The smallest links of the users' large deployment (10 Mbit/s) and their delay.
LINK_BYTES_PER_SECOND = 1_250_000
LINK_SECONDS = 0.0005
# Datagrams that would wait longer for a link are dropped.
MAX_LINK_QUEUE_SECONDS = 0.1
# A stream has at most this many bytes on the link at a time.
STREAM_WINDOW_BYTES = 16_384
STORE_SECONDS = 0.004
SMALL_RESPONSE_BYTES = 200
# Datagrams that a lossy link loses.
LOSSY_SHARE = 0.3
# A disconnected instance notices at this interval that its path is back.
RECONNECT_SECONDS = 0.05
CONFIGURATION_KEY = "op/config"


class Link:
    """One direction of an instance's network link, which sends in order."""

    def __init__(self, bytes_per_second: float) -> None:
        """Start with an idle link."""
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    def enqueue(self, size: int, now: float, may_drop: bool) -> float | None:
        """Queue bytes.

        :returns: when the last byte has passed, or ``None`` if they are dropped.
        """
        if may_drop and self._free_at - now > MAX_LINK_QUEUE_SECONDS:
            return None
        self._free_at = max(self._free_at, now) + size / self._bytes_per_second
        return self._free_at


class SimulatedStore:
    """The store as one instance reaches it: values take time on the instance's link."""

    def __init__(self, zone: "SimulatedZone", name: str) -> None:
        """Answer one instance."""
        self._zone = zone
        self._name = name
        self._received_at = float("-inf")
        self.unanswered_calls = 0

    async def watch(self, prefix: str, seconds: Callable[[], float]):
        """Yield every entry with a prefix, then its changes."""
        revision = -1
        while True:
            complete = revision < 0
            timeout = CALL_TIMEOUT_SECONDS if complete else seconds() + 1.0
            try:
                async with asyncio.timeout(timeout + MAX_BODY_SECONDS):
                    await self._zone.store_changed(revision, timeout)
                    changed = self._zone.revision > revision
                    revision, value = self._zone.revision, self._zone.value
                    entries, size = (), SMALL_RESPONSE_BYTES
                    if changed and value and CONFIGURATION_KEY.startswith(prefix):
                        entry = KvEntry(CONFIGURATION_KEY, value, "", 1, revision, 0)
                        entries, size = (entry,), len(base64.b64encode(value))
                    await self._receive(size)
            except TimeoutError:
                raise KvUnavailable("no response from the store") from None
            yield WatchBatch(entries, (), max(0, revision), complete)

    async def check(self, key: str) -> None:
        """Answer a small read."""
        await self._receive(SMALL_RESPONSE_BYTES)

    def receiving(self, seconds: float) -> bool:
        """Return whether part of a response arrived within the last seconds."""
        return self._zone.loop.time() - self._received_at < seconds

    async def _receive(self, size: int) -> None:
        async for _ in self._zone.stream_from_store(self._name, size):
            self._received_at = self._zone.loop.time()
        self._received_at = float("-inf")


class _Transport:
    """Sends the datagrams of one instance."""

    def __init__(self, zone: "SimulatedZone", name: str) -> None:
        self._zone = zone
        self._name = name

    def is_closing(self) -> bool:
        return self._name in self._zone.dead

    def close(self) -> None:
        pass

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._zone.send_datagram(self._name, data, address)


class SimulatedZone:
    """The daemons of one zone, or of a few, and the network between them.

    :param instances: how many instances the daemons count in all zones.
    :param link_rates: bytes per second of the instances' links, in turn.
    :param zones: number of zones, which the instances belong to in turn.
    """

    def __init__(
        self,
        size: int,
        instances: int,
        loss: float = 0.0,
        seed: int = 1,
        link_rates: tuple[int, ...] = (LINK_BYTES_PER_SECOND,),
        zones: int = 1,
    ) -> None:
        """Build the daemons without starting them."""
        self._link_rates = link_rates
        self._zones = zones
        self.loss = loss
        self.random = random.Random(seed)
        self.loop = VirtualTimeLoop()
        self.clock = VirtualClock(self.loop)
        self.dead: set[str] = set()
        self.revision, self.value = 0, b""
        self.fetched_bytes = 0
        # How often an instance that did not watch the store began to.
        self.takeovers = 0
        # The versions that came into force at each instance, with their times; a
        # restart adds version 0.
        self.versions: dict[str, list[tuple[float, int]]] = {}
        # Instances without any network, without the store, and with lossy links.
        self.isolated: set[str] = set()
        self.without_store: set[str] = set()
        self.lossy: set[str] = set()
        self._instances = instances
        self.apps: dict[str, Application] = {}
        self._changed: asyncio.Event | None = None
        self._links: dict[tuple[str, str], Link] = {}
        self._names_by_gossip_address: dict[tuple[str, int], str] = {}
        self._names_by_peer_address: dict[str, str] = {}
        for number in range(size):
            self._build(f"entry-{number}", number)
        for app in self.apps.values():
            self._introduce(app)

    def run(self, scenario: Callable[["SimulatedZone"], Awaitable[None]]) -> None:
        """Start the daemons and run a scenario in virtual time."""

        def ask(knowledge: PeerKnowledge, address: str) -> Awaitable[FetchResponse]:
            return self._ask(knowledge, address)

        with mock.patch.object(PeerKnowledge, "_ask", ask):
            self.loop.run_until_complete(self._run(scenario))
        self.loop.close()

    async def _run(self, scenario) -> None:
        self._changed = asyncio.Event()
        for app in self.apps.values():
            await self._start(app)
        try:
            await scenario(self)
        finally:
            for app in self.apps.values():
                await app.stop()

    async def _start(self, app: Application) -> None:
        with logger.contextualize(instance=app.settings.instance_id):
            await app.service("directory").start()
            app.service("gossip").answers_fetches = True
            app.spawn(app.service("gossip")._broadcast_periodically(), "gossip")
            app.spawn(app.service("knowledge")._fetch(), "knowledge of peers")

    def _build(self, name: str, number: int) -> None:
        gossip_address = f"10.0.0.{number + 1}:7780"
        peer_address = f"10.0.0.{number + 1}:7781"
        settings = build_hosted_settings(
            "127.0.0.1:1",
            instance_id=name,
            availability_zone=f"zone-{number % self._zones}",
            gossip_address=gossip_address,
            peer_address=peer_address,
        )
        app = daemon.build(settings, self.clock)
        app.setup_extension("camphorgated.serving.knowledge")
        app.service("gossip")._transport = _Transport(self, name)
        directory = app.service("directory")
        directory.instances = self._instances
        directory.watches._store = SimulatedStore(self, name)
        directory.watches._random = random.Random(self.random.random())
        app.service("knowledge")._random = random.Random(self.random.random())
        app.connect("configuration-changed", lambda: self._record(name))
        app.connect("watching-begun", self._count_takeover)
        self.apps[name] = app
        host, _, port = gossip_address.rpartition(":")
        self._names_by_gossip_address[host, int(port)] = name
        self._names_by_peer_address[peer_address] = name

    def _introduce(self, app: Application) -> None:
        own = app.service("members").own
        others: dict[str, Member] = {
            name: other.service("members").own
            for name, other in self.apps.items()
            if name != own.instance
        }
        app.service("members")._listed_by_instance = others
        watches = app.service("directory").watches
        watches.watcher_selection.set_listed(
            name for name, item in others.items() if item.zone == own.zone
        )
        watches.note_members_listed(
            {item.instance: item.zone for item in (*others.values(), own)}
        )

    def _count_takeover(self) -> None:
        self.takeovers += 1

    def _record(self, name: str) -> None:
        version = self.apps[name].service("directory").configuration.version
        self.versions.setdefault(name, []).append((self.loop.time(), version))

    def configure(self, value: bytes) -> float:
        """Write a configuration to the store and return the time."""
        self.revision += 1
        self.value = value
        self._changed.set()
        self._changed = asyncio.Event()
        return self.loop.time()

    async def store_changed(self, revision: int, timeout: float) -> None:
        """Wait until the store has a newer revision, or for a time."""
        await asyncio.sleep(STORE_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while self.revision <= revision:
                    await self._changed.wait()

    async def stream_from_store(self, name: str, size: int) -> AsyncIterator[None]:
        """Send a response of the store; it waits while the instance is cut off."""
        await asyncio.sleep(STORE_SECONDS)
        async for _ in self.stream(name, "in", size):
            while name in self.dead | self.isolated | self.without_store:
                await asyncio.sleep(RECONNECT_SECONDS)
            yield

    def watchers(self) -> list[str]:
        """Return the names of the live instances that watch the store."""
        return [
            name
            for name, app in self.apps.items()
            if name not in self.dead and app.service("directory").watches.watching
        ]

    def kill(self, name: str) -> None:
        """Cut an instance off for good."""
        self.dead.add(name)

    async def restart(self, name: str) -> None:
        """Stop an instance and start it again at the same addresses."""
        await self.apps[name].stop()
        self.versions.setdefault(name, []).append((self.loop.time(), 0))
        self._build(name, int(name.rpartition("-")[2]))
        self._introduce(self.apps[name])
        await self._start(self.apps[name])

    def in_force_at(self, name: str, version: int) -> float:
        """Return when an instance first had a version or a newer one, or ``inf``."""
        times = [at for at, known in self.versions.get(name, ()) if known >= version]
        return min(times, default=float("inf"))

    def spread_seconds(self, version: int, confirmed_at: float) -> list[float]:
        """Return after how long the live instances had a version, or a newer one."""
        return sorted(
            self.in_force_at(name, version) - confirmed_at
            for name in self.apps
            if name not in self.dead
        )

    def _loss_between(self, sender: str, receiver: str) -> float:
        if {sender, receiver} & (self.dead | self.isolated):
            return 1.0
        return LOSSY_SHARE if {sender, receiver} & self.lossy else self.loss

    def _link(self, name: str, direction: str) -> Link:
        rate = self._link_rates[list(self.apps).index(name) % len(self._link_rates)]
        return self._links.setdefault((name, direction), Link(rate))

    def set_link_rate(self, name: str, bytes_per_second: float) -> None:
        """Replace the links of an instance by idle ones of another rate."""
        for direction in ("in", "out"):
            self._links[name, direction] = Link(bytes_per_second)

    def send_datagram(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after its time on both links, or drop it."""
        receiver = self._names_by_gossip_address[address]
        now = self.loop.time()
        sent_at = self._link(sender, "out").enqueue(len(data), now, may_drop=True)
        if sent_at is None:
            return
        if self.random.random() < self._loss_between(sender, receiver):
            return
        self.loop.call_at(sent_at + LINK_SECONDS, self._arrive, receiver, data)

    def _arrive(self, receiver: str, data: bytes) -> None:
        now = self.loop.time()
        received_at = self._link(receiver, "in").enqueue(len(data), now, may_drop=True)
        if received_at is not None:
            self.loop.call_at(received_at, self._receive, receiver, data)

    def _receive(self, receiver: str, data: bytes) -> None:
        if receiver in self.dead | self.isolated:
            return
        with logger.contextualize(instance=receiver):
            self.apps[receiver].service("gossip")._receive(data)

    async def stream(self, name: str, direction: str, size: int) -> AsyncIterator[None]:
        """Send a stream of bytes beside the others on a link; yield with each piece."""
        link = self._link(name, direction)
        while size > 0:
            piece = min(size, STREAM_WINDOW_BYTES)
            passed_at = link.enqueue(piece, self.loop.time(), may_drop=False)
            size -= piece
            await asyncio.sleep(passed_at - self.loop.time())
            yield

    async def _ask(self, asking: PeerKnowledge, address: str) -> FetchResponse:
        """Fetch from a peer, with the time limit of the real call."""
        name = asking._members.own.instance
        peer = self._names_by_peer_address[address]
        knowledge = self.apps[peer].service("knowledge")
        question = asking.request()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                if {name, peer} & (self.dead | self.isolated):
                    await asyncio.sleep(FETCH_TIMEOUT_SECONDS)
                await asyncio.sleep(4 * LINK_SECONDS)
                data = msgspec.msgpack.encode(await knowledge._answer(question, None))
                self.fetched_bytes += len(data)
                for instance, direction in ((peer, "out"), (name, "in")):
                    async for _ in self.stream(instance, direction, len(data)):
                        pass
        except TimeoutError:
            raise SimulatedDeadlineExceeded from None
        return msgspec.msgpack.decode(data, type=FetchResponse)


class SimulatedDeadlineExceeded(grpc.RpcError):
    """The error of a call that a peer did not answer in time."""

    def code(self) -> grpc.StatusCode:
        """Return the status of the call."""
        return grpc.StatusCode.DEADLINE_EXCEEDED
