"""Simulates the network, the store and the time around the daemons of one zone.

The daemons run their real exchange of state in one process. Time is virtual: it
advances to the next timer whenever nothing else can run.
"""

import asyncio
import base64
import random
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from unittest import mock

import grpc
import msgspec

from camphorgate.application import Application
from camphorgate.kv.records import KvEntry, WatchBatch
from camphorgated.serving import daemon
from camphorgated.serving.knowledge import FETCH_TIMEOUT_SECONDS, PeerKnowledge
from camphorgated.serving.members import Member
from camphorgated.serving.messages import FetchResponse
from tests.hosted import build_hosted_settings

# The smallest links of the users' large deployment (10 Mbit/s) and their delay.
LINK_BYTES_PER_SECOND = 1_250_000
LINK_SECONDS = 0.0005
# Datagrams that would wait longer for a link are dropped.
MAX_LINK_QUEUE_SECONDS = 0.1
# A stream has at most this many bytes on the link at a time.
STREAM_WINDOW_BYTES = 16_384
STORE_SECONDS = 0.004
CONFIGURATION_KEY = "op/config"


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self) -> None:
        """Start the clock at zero."""
        super().__init__()
        self._virtual_now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        super()._run_once()


class VirtualClock:
    """The clock of the daemons, which shows the time of the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read the time of a loop."""
        self._loop = loop

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._loop.time())

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()


class Link:
    """One direction of an instance's network link, which sends in order."""

    def __init__(self) -> None:
        """Start with an idle link."""
        self._free_at = 0.0

    def enqueue(self, size: int, now: float, may_drop: bool) -> float | None:
        """Queue bytes.

        :returns: when the last byte has passed, or ``None`` if they are dropped.
        """
        if may_drop and self._free_at - now > MAX_LINK_QUEUE_SECONDS:
            return None
        self._free_at = max(self._free_at, now) + size / LINK_BYTES_PER_SECOND
        return self._free_at


class SimulatedStore:
    """The store as one instance reaches it: values take time on the instance's link."""

    def __init__(self, zone: "SimulatedZone", name: str) -> None:
        """Answer one instance."""
        self._zone = zone
        self._name = name

    async def watch(self, prefix: str, seconds: Callable[[], float]):
        """Yield every entry with a prefix, then its changes."""
        revision = -1
        while True:
            complete = revision < 0
            await self._zone.store_changed(revision)
            revision, value = self._zone.revision, self._zone.value
            entries = ()
            if CONFIGURATION_KEY.startswith(prefix) and value:
                await self._zone.receive_from_store(
                    self._name, len(base64.b64encode(value))
                )
                entries = (KvEntry(CONFIGURATION_KEY, value, "", 1, revision, 0),)
            yield WatchBatch(entries, (), max(0, revision), complete)

    async def check(self, key: str) -> None:
        """Answer a small read."""
        await self._zone.receive_from_store(self._name, 200)


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
    """The daemons of one zone and the network between them.

    :param instances: how many instances the daemons count in all zones.
    """

    def __init__(
        self, size: int, instances: int, loss: float = 0.0, seed: int = 1
    ) -> None:
        """Build the daemons without starting them."""
        self.loss = loss
        self.random = random.Random(seed)
        self.loop = VirtualTimeLoop()
        self.clock = VirtualClock(self.loop)
        self.dead: set[str] = set()
        self.revision, self.value = 0, b""
        self.fetched_bytes = 0
        self.in_force_at: dict[tuple[str, int], float] = {}
        self.apps: dict[str, Application] = {}
        self._changed: asyncio.Event | None = None
        self._links: dict[tuple[str, str], Link] = {}
        self._names_by_gossip_address: dict[tuple[str, int], str] = {}
        self._names_by_peer_address: dict[str, str] = {}
        for number in range(size):
            self._build(f"entry-{number}", number, instances)
        members = {name: app.service("members").own for name, app in self.apps.items()}
        for app in self.apps.values():
            self._introduce(app, members)

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
            await app.service("directory").start()
            app.spawn(app.service("gossip")._broadcast_periodically(), "gossip")
            app.spawn(app.service("knowledge")._fetch(), "knowledge of peers")
        try:
            await scenario(self)
        finally:
            for app in self.apps.values():
                await app.stop()

    def _build(self, name: str, number: int, instances: int) -> None:
        gossip_address = f"10.0.0.{number + 1}:7780"
        peer_address = f"10.0.0.{number + 1}:7781"
        settings = build_hosted_settings(
            "127.0.0.1:1",
            instance_id=name,
            gossip_address=gossip_address,
            peer_address=peer_address,
        )
        app = daemon.build(settings, self.clock)
        app.setup_extension("camphorgated.serving.knowledge")
        app.service("gossip")._transport = _Transport(self, name)
        directory = app.service("directory")
        directory.instances = instances
        directory.watches._store = SimulatedStore(self, name)
        directory.watches._random = random.Random(self.random.random())
        app.service("knowledge")._random = random.Random(self.random.random())
        app.connect("configuration-changed", lambda: self._record(name))
        self.apps[name] = app
        host, _, port = gossip_address.rpartition(":")
        self._names_by_gossip_address[host, int(port)] = name
        self._names_by_peer_address[peer_address] = name

    def _introduce(self, app: Application, members: dict[str, Member]) -> None:
        own = app.service("members").own.instance
        others = {name: item for name, item in members.items() if name != own}
        app.service("members")._listed_by_instance = others
        watches = app.service("directory").watches
        watches.watcher_selection.set_listed(others)
        watches.note_members_listed()

    def _record(self, name: str) -> None:
        version = self.apps[name].service("directory").catalog.version
        self.in_force_at.setdefault((name, version), self.loop.time())

    def configure(self, value: bytes) -> float:
        """Write a configuration to the store and return the time."""
        self.revision += 1
        self.value = value
        self._changed.set()
        self._changed = asyncio.Event()
        return self.loop.time()

    async def store_changed(self, revision: int) -> None:
        """Wait until the store has a newer revision."""
        await asyncio.sleep(STORE_SECONDS)
        while self.revision <= revision:
            await self._changed.wait()

    async def receive_from_store(self, name: str, size: int) -> None:
        """Wait until an instance has received an answer of the store."""
        await asyncio.sleep(STORE_SECONDS)
        await self._transfer_on(self._link(name, "in"), size)

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

    def spread_seconds(self, version: int, confirmed_at: float) -> list[float]:
        """Return when the live instances had a version, ``inf`` for those without."""
        return sorted(
            self.in_force_at.get((name, version), float("inf")) - confirmed_at
            for name in self.apps
            if name not in self.dead
        )

    def _link(self, name: str, direction: str) -> Link:
        return self._links.setdefault((name, direction), Link())

    def send_datagram(self, sender: str, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram after its time on both links, or drop it."""
        receiver = self._names_by_gossip_address[address]
        now = self.loop.time()
        sent_at = self._link(sender, "out").enqueue(len(data), now, may_drop=True)
        if sent_at is None or sender in self.dead or self.random.random() < self.loss:
            return
        self.loop.call_at(sent_at + LINK_SECONDS, self._arrive, receiver, data)

    def _arrive(self, receiver: str, data: bytes) -> None:
        now = self.loop.time()
        received_at = self._link(receiver, "in").enqueue(len(data), now, may_drop=True)
        if received_at is not None:
            self.loop.call_at(received_at, self._receive, receiver, data)

    def _receive(self, receiver: str, data: bytes) -> None:
        if receiver not in self.dead:
            self.apps[receiver].service("gossip")._receive(data)

    async def _transfer_on(self, link: Link, size: int) -> None:
        """Send a stream of bytes, beside the other streams on the link."""
        while size > 0:
            passed_at = link.enqueue(
                min(size, STREAM_WINDOW_BYTES), self.loop.time(), may_drop=False
            )
            size -= STREAM_WINDOW_BYTES
            await asyncio.sleep(passed_at - self.loop.time())

    async def _ask(self, asking: PeerKnowledge, address: str) -> FetchResponse:
        """Fetch from a peer, with the time limit of the real call."""
        name = asking._members.own.instance
        peer = self._names_by_peer_address[address]
        knowledge = self.apps[peer].service("knowledge")
        question = asking.request()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                if peer in self.dead:
                    await asyncio.sleep(FETCH_TIMEOUT_SECONDS)
                await asyncio.sleep(4 * LINK_SECONDS)
                data = msgspec.msgpack.encode(await knowledge._answer(question, None))
                self.fetched_bytes += len(data)
                await self._transfer_on(self._link(peer, "out"), len(data))
                await self._transfer_on(self._link(name, "in"), len(data))
        except TimeoutError:
            raise SimulatedDeadlineExceeded from None
        return msgspec.msgpack.decode(data, type=FetchResponse)


class SimulatedDeadlineExceeded(grpc.RpcError):
    """The error of a call that a peer did not answer in time."""

    def code(self) -> grpc.StatusCode:
        """Return the status of the call."""
        return grpc.StatusCode.DEADLINE_EXCEEDED
