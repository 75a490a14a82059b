"""Connections to peers, with one task for each peer that this instance dials."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

import grpc

from camphorgate.clock import Clock
from camphorgate.log import log_event
from camphorgate.peers.errors import PeerError
from camphorgate.peers.exchange import Link, LinkHandler, read_hello
from camphorgate.peers.peers_pb2 import (
    EpochAcknowledgement,
    EpochNotice,
    Packet,
    PartsRequest,
    ReportRequest,
    SnapshotAnswer,
    SnapshotRequest,
)
from camphorgate.peers.peers_pb2_grpc import PeersStub
from camphorgate.peers.service import CHANNEL_OPTIONS

# A stream that receives nothing for this many heartbeat intervals, and for at least
# this many seconds, is considered dead and is replaced by a new connection.
MAX_SILENT_BEATS = 4
MIN_SILENCE_TIMEOUT_SECONDS = 2.0

HELLO_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 2.0
INITIAL_RECONNECT_DELAY_SECONDS = 0.2
MAX_RECONNECT_DELAY_SECONDS = 4.0

# Each channel opens its own connection; a shared subchannel would reuse the dead one.
_DIAL_OPTIONS = (*CHANNEL_OPTIONS, ("grpc.use_local_subchannel_pool", 1))


class PeerLinks:
    """Opens, supervises and closes the streams to peers."""

    __slots__ = (
        "links_by_id",
        "connections",
        "_handler",
        "_clock",
        "_rng",
        "resolve",
        "_tasks_by_address",
        "_channels_by_address",
        "_closed",
    )

    def __init__(
        self,
        handler: LinkHandler,
        clock: Clock,
        seed: int | None = None,
        resolve: Callable[[str], str] | None = None,
    ) -> None:
        """Create the object without links.

        :param seed: seed of the jitter.
        :param resolve: maps an advertised address to the address to dial.
        """
        self.links_by_id: dict[str, Link] = {}
        self.connections = 0
        self._handler = handler
        self._clock = clock
        self._rng = random.Random(seed)
        self.resolve = resolve or (lambda address: address)
        self._tasks_by_address: dict[str, asyncio.Task] = {}
        self._channels_by_address: dict[str, grpc.aio.Channel] = {}
        self._closed = False

    def set_dialled_addresses(self, addresses: Iterable[str]) -> None:
        """Keep a link to each of these addresses and stop dialling all others."""
        wanted = set() if self._closed else set(addresses)
        for address in self._tasks_by_address.keys() - wanted:
            self._tasks_by_address.pop(address).cancel()
        for address in wanted - self._tasks_by_address.keys():
            self._tasks_by_address[address] = asyncio.create_task(
                self._keep_link(address), name=f"peer {address}"
            )

    def register(self, link: Link) -> None:
        """Register a link; of two links to one peer the newer one is kept.

        If both sides dial each other at the same time, both keep the link that was
        dialled by the instance with the lower id.
        """
        other = self.links_by_id.get(link.instance_id)
        if other is None or self._supersedes(link, other):
            self.links_by_id[link.instance_id] = link
            if other is not None:
                other.close()
        else:
            link.close()

    def unregister(self, link: Link) -> None:
        """Unregister a link that has ended."""
        if self.links_by_id.get(link.instance_id) is link:
            del self.links_by_id[link.instance_id]

    def broadcast_beat(self) -> None:
        """Send a heartbeat on every link."""
        for link in list(self.links_by_id.values()):
            link.send_beat()

    def close_silent(self, beat_seconds: float) -> None:
        """Close the links on which nothing was received within the silence timeout."""
        timeout = max(MIN_SILENCE_TIMEOUT_SECONDS, MAX_SILENT_BEATS * beat_seconds)
        now = self._clock.monotonic()
        for link in list(self.links_by_id.values()):
            if now - link.last_received_at > timeout:
                log_event("peer_silent", level="WARNING", peer=link.instance_id)
                link.close()

    async def fetch_parts(
        self, address: str, digests: Iterable[bytes]
    ) -> dict[bytes, bytes]:
        """Fetch parts of the configuration from a peer.

        :returns: the parts that the peer holds, possibly fewer than requested.
        :raises PeerError: if the call fails.
        """
        request = PartsRequest(digests=list(digests))
        response = await self._call(address, "FetchParts", request)
        return {part.digest: part.content for part in response.parts}

    async def snapshot(self, address: str, above_version: int = 0) -> SnapshotAnswer:
        """Fetch the configuration root that is in force at a peer.

        :raises PeerError: if the call fails.
        """
        request = SnapshotRequest(above_version=above_version)
        return await self._call(address, "Snapshot", request)

    async def acknowledge_epoch(
        self, address: str, notice: EpochNotice
    ) -> EpochAcknowledgement:
        """Ask an instance to acknowledge a newer epoch.

        :raises PeerError: if the call fails; nothing is acknowledged then.
        """
        return await self._call(address, "AcknowledgeEpoch", notice)

    async def report(self, address: str, timeout: float) -> bytes:
        """Fetch the section that an instance adds to the operators' report.

        :raises PeerError: if the call fails.
        """
        response = await self._call(address, "Report", ReportRequest(), timeout)
        return response.payload

    async def close(self) -> None:
        """Close all links and connections; no new ones are opened afterwards."""
        self._closed = True
        tasks = list(self._tasks_by_address.values())
        self.set_dialled_addresses(())
        for link in list(self.links_by_id.values()):
            link.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        channels = list(self._channels_by_address.values())
        self._channels_by_address.clear()
        for channel in channels:
            await channel.close()

    def _supersedes(self, link: Link, other: Link) -> bool:
        if link.hello.incarnation > other.hello.incarnation:
            return True
        if link.dialled == other.dialled:
            return True
        own_id = self._handler.hello().instance
        return link.dialled == (own_id < link.instance_id)

    async def _keep_link(self, address: str) -> None:
        delay = INITIAL_RECONNECT_DELAY_SECONDS
        # grpc.aio converts the cancellation of a write into an AioRpcError, so this
        # task cannot rely on CancelledError alone to end.
        while self._tasks_by_address.get(address) is asyncio.current_task():
            started_at = self._clock.monotonic()
            with contextlib.suppress(PeerError, grpc.RpcError, TimeoutError):
                await self._run_link(address)
            if self._clock.monotonic() - started_at > MAX_RECONNECT_DELAY_SECONDS:
                delay = INITIAL_RECONNECT_DELAY_SECONDS
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(MAX_RECONNECT_DELAY_SECONDS, delay * 2)

    async def _run_link(self, address: str) -> None:
        self.connections += 1
        channel = grpc.aio.insecure_channel(self.resolve(address), _DIAL_OPTIONS)
        try:
            call = PeersStub(channel).Exchange()
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                await call.write(Packet(hello=self._handler.hello()))
                hello = await read_hello(call.read)
            link = Link(hello, dialled=True, clock=self._clock)
            await link.run(call.read, call.write, self._handler)
        finally:
            await channel.close()

    async def _call(
        self, address: str, method: str, request, timeout: float = CALL_TIMEOUT_SECONDS
    ):
        if not address:
            raise PeerError(f"{method} failed: the address of the peer is unknown")
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(self.resolve(address), _DIAL_OPTIONS)
            self._channels_by_address[address] = channel
        try:
            call = getattr(PeersStub(channel), method)
            return await call(request, timeout=timeout)
        except grpc.RpcError as error:
            # The next call must not reuse a connection that may be dead.
            if self._channels_by_address.get(address) is channel:
                del self._channels_by_address[address]
            await channel.close()
            status = error.code().name.lower()
            raise PeerError(f"{method} at {address} failed: {status}") from None
