"""An Exchange stream between two peers: hello, heartbeats and usage packets.

A heartbeat is the protocol message ``Beat``.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import grpc

from camphorgate.clock import Clock
from camphorgate.peers.errors import PeerError, ProtocolError
from camphorgate.peers.peers_pb2 import Beat, Hello, Packet, UsageAck, UsageBatch

# Number of sent heartbeats whose send time is kept to evaluate echoes. At two a second
# this covers a minute, far longer than the silence that closes a link.
MAX_REMEMBERED_BEATS = 128

# Packets that may be queued for a slow peer; `Link.send` returns false beyond this.
MAX_QUEUED_PACKETS = 256

Read = Callable[[], Awaitable[Any]]
Write = Callable[[Packet], Awaitable[None]]


class LinkHandler(Protocol):
    """Callbacks of a link to its owner."""

    def hello(self) -> Hello:
        """Return the hello of this instance."""

    def make_beat(self, link: "Link") -> Beat:
        """Return the next heartbeat for a peer, without sequence and echo."""

    def link_opened(self, link: "Link") -> None:
        """Register a link whose peer has sent its hello."""

    def link_closed(self, link: "Link") -> None:
        """Unregister a link that has ended."""

    def receive_beat(self, link: "Link", beat: Beat, made_at: float | None) -> None:
        """Process a heartbeat.

        :param made_at: lower bound, on the local monotonic clock, of the time at which
            the peer built the heartbeat; ``None`` if unknown, in which case the ages in
            the heartbeat prove nothing.
        """

    def receive_usage_batch(self, link: "Link", batch: UsageBatch) -> None:
        """Process a usage batch."""

    def receive_usage_ack(self, link: "Link", ack: UsageAck) -> None:
        """Process an acknowledgement of usage batches."""


class Link:
    """An Exchange stream to one peer."""

    __slots__ = (
        "hello",
        "dialled",
        "opened_at",
        "last_received_at",
        "peer_state",
        "_clock",
        "_reader_task",
        "_closed",
        "_write_event",
        "_beat_due",
        "_outgoing",
        "_sent_at_by_sequence",
        "_last_sent_sequence",
        "_last_received_sequence",
    )

    def __init__(self, hello: Hello, dialled: bool, clock: Clock) -> None:
        """Wrap an open stream; ``run`` exchanges packets on it.

        :param hello: hello of the peer.
        :param dialled: whether this instance opened the stream.
        """
        self.hello = hello
        self.dialled = dialled
        self.opened_at = self.last_received_at = clock.monotonic()
        # State that the owner keeps for this peer, such as what was already sent to it.
        self.peer_state: Any = None
        self._clock = clock
        self._reader_task: asyncio.Task | None = None
        self._closed = False
        self._write_event = asyncio.Event()
        self._beat_due = False
        self._outgoing: deque[Packet] = deque()
        self._sent_at_by_sequence: dict[int, float] = {}
        self._last_sent_sequence = 0
        self._last_received_sequence = 0

    @property
    def instance_id(self) -> str:
        """Return the instance id of the peer."""
        return self.hello.instance

    def send(self, packet: Packet) -> bool:
        """Queue a packet for sending.

        :returns: false if the queue is full and the packet was dropped.
        """
        if len(self._outgoing) >= MAX_QUEUED_PACKETS:
            return False
        self._outgoing.append(packet)
        self._write_event.set()
        return True

    def send_beat(self) -> None:
        """Send a heartbeat as soon as the stream accepts one."""
        self._beat_due = True
        self._write_event.set()

    def close(self) -> None:
        """Close the stream."""
        self._closed = True
        if self._reader_task is not None:
            self._reader_task.cancel()

    async def run(self, read: Read, write: Write, handler: LinkHandler) -> None:
        """Exchange packets until the stream ends or is closed.

        :raises ProtocolError: if the peer violates the protocol.
        """
        handler.link_opened(self)
        self.send_beat()
        self._reader_task = asyncio.create_task(self._read_packets(read, handler))
        writer = asyncio.create_task(self._write_packets(write, handler))
        tasks = (self._reader_task, writer)
        if self._closed:
            self._reader_task.cancel()
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            handler.link_closed(self)
            results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, ProtocolError):
                raise result

    async def _read_packets(self, read: Read, handler: LinkHandler) -> None:
        while (packet := await read()) is not grpc.aio.EOF:
            self.last_received_at = self._clock.monotonic()
            kind = packet.WhichOneof("body")
            if kind == "beat":
                self._receive_beat(packet.beat, handler)
            elif kind == "usage_batch":
                handler.receive_usage_batch(self, packet.usage_batch)
            elif kind == "usage_ack":
                handler.receive_usage_ack(self, packet.usage_ack)
            else:
                raise ProtocolError(f"{self.instance_id} sent {kind} after its hello")

    def _receive_beat(self, beat: Beat, handler: LinkHandler) -> None:
        # The peer built this heartbeat after it received the echoed one, whose send
        # time is known. Time in buffers therefore never makes evidence look newer.
        sent_at = self._sent_at_by_sequence.get(beat.echo)
        made_at = None if sent_at is None else sent_at + beat.echo_held_ms / 1000.0
        self._last_received_sequence = beat.sequence
        handler.receive_beat(self, beat, made_at)

    async def _write_packets(self, write: Write, handler: LinkHandler) -> None:
        while True:
            await self._write_event.wait()
            self._write_event.clear()
            if self._beat_due:
                self._beat_due = False
                await write(Packet(beat=self._next_beat(handler)))
            while self._outgoing:
                await write(self._outgoing.popleft())

    def _next_beat(self, handler: LinkHandler) -> Beat:
        # The clock is read before the ages in the heartbeat are computed, so that a
        # pause in between makes the evidence look older, never newer.
        now = self._clock.monotonic()
        echo_held_seconds = now - self.last_received_at
        beat = handler.make_beat(self)
        self._last_sent_sequence += 1
        beat.sequence = self._last_sent_sequence
        beat.echo = self._last_received_sequence
        if self._last_received_sequence:
            beat.echo_held_ms = max(0, int(echo_held_seconds * 1000))
        self._sent_at_by_sequence[self._last_sent_sequence] = now
        self._sent_at_by_sequence.pop(
            self._last_sent_sequence - MAX_REMEMBERED_BEATS, None
        )
        return beat


async def read_hello(read: Read) -> Hello:
    """Read the hello, which is the first packet of a stream.

    :raises PeerError: if the stream ends before the hello.
    :raises ProtocolError: if the packet is not a hello with an instance id.
    """
    packet = await read()
    if packet is grpc.aio.EOF:
        raise PeerError("the stream ended before the hello")
    if packet.WhichOneof("body") != "hello" or not packet.hello.instance:
        raise ProtocolError("the first packet is not a hello")
    return packet.hello
