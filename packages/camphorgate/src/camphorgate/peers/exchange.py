"""One Exchange stream: hello, beats in both directions, usage packets."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import grpc

from camphorgate.clock import Clock
from camphorgate.peers.errors import PeerError, ProtocolError
from camphorgate.peers.peers_pb2 import Beat, Hello, Packet, UsageAck, UsageBatch

# Sent beats whose time is remembered for echoes; at two beats a second this covers
# a minute, far longer than the silence that closes a link.
REMEMBERED_BEATS = 128

# Packets that may wait for a slow peer. A full queue makes `Link.send` return false.
QUEUED_PACKETS = 256

Read = Callable[[], Awaitable[Any]]
Write = Callable[[Packet], Awaitable[None]]


class LinkHandler(Protocol):
    """What the owner of the links does with what arrives."""

    def hello(self) -> Hello:
        """Return this instance's own hello."""

    def make_beat(self, link: "Link") -> Beat:
        """Return the next beat for a peer, without sequence and echo."""

    def link_opened(self, link: "Link") -> None:
        """Take note of a peer that said hello."""

    def link_closed(self, link: "Link") -> None:
        """Take note of the end of a link."""

    def beat_received(self, link: "Link", beat: Beat, made_at: float | None) -> None:
        """Take in a beat.

        :param made_at: the beat was made no earlier than this, on the own monotonic
            clock; ``None`` if unknown, then ages in it prove nothing.
        """

    def usage_batch_received(self, link: "Link", batch: UsageBatch) -> None:
        """Take in a usage batch."""

    def usage_ack_received(self, link: "Link", ack: UsageAck) -> None:
        """Take in the acknowledgement of usage batches."""


class Link:
    """A stream to one peer, as its owner sees it."""

    __slots__ = (
        "hello",
        "dialled",
        "opened_at",
        "heard_at",
        "memory",
        "_clock",
        "_reader",
        "_closed",
        "_woken",
        "_beat_due",
        "_outgoing",
        "_sent_at_by_sequence",
        "_sequence",
        "_received",
    )

    def __init__(self, hello: Hello, dialled: bool, clock: Clock) -> None:
        """Describe an open stream.

        :param hello: what the peer said about itself.
        :param dialled: whether this instance opened the stream.
        """
        self.hello = hello
        self.dialled = dialled
        self.opened_at = self.heard_at = clock.monotonic()
        # What the owner remembers about this peer, such as what it told already.
        self.memory: Any = None
        self._clock = clock
        self._reader: asyncio.Task | None = None
        self._closed = False
        self._woken = asyncio.Event()
        self._beat_due = False
        self._outgoing: deque[Packet] = deque()
        self._sent_at_by_sequence: dict[int, float] = {}
        self._sequence = 0
        self._received = 0

    @property
    def instance_id(self) -> str:
        """Return the peer's instance id."""
        return self.hello.instance

    def send(self, packet: Packet) -> bool:
        """Queue a packet.

        :returns: false if the queue is full; the packet is then dropped.
        """
        if len(self._outgoing) >= QUEUED_PACKETS:
            return False
        self._outgoing.append(packet)
        self._woken.set()
        return True

    def beat(self) -> None:
        """Send a beat as soon as the stream takes it."""
        self._beat_due = True
        self._woken.set()

    def close(self) -> None:
        """End the stream."""
        self._closed = True
        if self._reader is not None:
            self._reader.cancel()

    async def run(self, read: Read, write: Write, handler: LinkHandler) -> None:
        """Exchange packets until the stream ends or is closed.

        :raises ProtocolError: if the peer breaks the protocol.
        """
        handler.link_opened(self)
        self.beat()
        self._reader = asyncio.create_task(self._read_packets(read, handler))
        writer = asyncio.create_task(self._write_packets(write, handler))
        tasks = (self._reader, writer)
        if self._closed:
            self._reader.cancel()
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
            self.heard_at = self._clock.monotonic()
            kind = packet.WhichOneof("body")
            if kind == "beat":
                self._take_beat(packet.beat, handler)
            elif kind == "usage_batch":
                handler.usage_batch_received(self, packet.usage_batch)
            elif kind == "usage_ack":
                handler.usage_ack_received(self, packet.usage_ack)
            else:
                raise ProtocolError(f"{self.instance_id} sent {kind} after its hello")

    def _take_beat(self, beat: Beat, handler: LinkHandler) -> None:
        # The peer made the beat after it received the echoed one, which left here at
        # a known time. Time in buffers therefore never makes evidence look younger.
        sent_at = self._sent_at_by_sequence.get(beat.echo)
        made_at = None if sent_at is None else sent_at + beat.echo_held_ms / 1000.0
        self._received = beat.sequence
        handler.beat_received(self, beat, made_at)

    async def _write_packets(self, write: Write, handler: LinkHandler) -> None:
        while True:
            await self._woken.wait()
            self._woken.clear()
            if self._beat_due:
                self._beat_due = False
                await write(Packet(beat=self._next_beat(handler)))
            while self._outgoing:
                await write(self._outgoing.popleft())

    def _next_beat(self, handler: LinkHandler) -> Beat:
        # The times are taken before the ages in the beat, so that a pause in between
        # makes the evidence look older, never younger.
        now = self._clock.monotonic()
        held = now - self.heard_at
        beat = handler.make_beat(self)
        self._sequence += 1
        beat.sequence = self._sequence
        beat.echo = self._received
        if self._received:
            beat.echo_held_ms = max(0, int(held * 1000))
        self._sent_at_by_sequence[self._sequence] = now
        self._sent_at_by_sequence.pop(self._sequence - REMEMBERED_BEATS, None)
        return beat


async def read_hello(read: Read) -> Hello:
    """Read the first packet of a stream.

    :raises PeerError: if the stream ends before it.
    :raises ProtocolError: if it is not a hello that names an instance.
    """
    packet = await read()
    if packet is grpc.aio.EOF:
        raise PeerError("the stream ended before the hello")
    if packet.WhichOneof("body") != "hello" or not packet.hello.instance:
        raise ProtocolError("the first packet is not a hello")
    return packet.hello
