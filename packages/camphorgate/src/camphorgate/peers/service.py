"""Server side of the peer protocol."""

from typing import Protocol

import grpc

from camphorgate.clock import Clock
from camphorgate.peers.errors import PeerError
from camphorgate.peers.exchange import Link, LinkHandler, read_hello
from camphorgate.peers.peers_pb2 import (
    EpochAcknowledgement,
    EpochNotice,
    Packet,
    Part,
    PartsAnswer,
    PartsRequest,
    ReportAnswer,
    ReportRequest,
    SnapshotAnswer,
    SnapshotRequest,
)
from camphorgate.peers.peers_pb2_grpc import PeersServicer, add_PeersServicer_to_server

# Keeps a PartsAnswer below the default gRPC message size limit of 4 MB.
MAX_PARTS_ANSWER_BYTES = 3_000_000

# No HTTP/2 keep-alives: heartbeats detect a dead connection sooner. The bandwidth probe
# is disabled because it would add a ping to many of the small messages.
CHANNEL_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.optimization_target", "latency"),
)


class PeerHandler(LinkHandler, Protocol):
    """Callbacks that answer the calls of peers."""

    def part(self, digest: bytes) -> bytes | None:
        """Return a part of the configuration, or ``None`` if it is not held."""

    def snapshot(self, above_version: int) -> SnapshotAnswer:
        """Return the newest root in force on this instance, and the known members."""

    async def acknowledge_epoch(self, notice: EpochNotice) -> EpochAcknowledgement:
        """Acknowledge a newer epoch of a duty."""

    def report(self) -> bytes:
        """Return the section that this instance adds to the operators' report."""


class PeerServicer(PeersServicer):
    """gRPC servicer that delegates to a :class:`PeerHandler`."""

    def __init__(self, handler: PeerHandler, clock: Clock) -> None:
        """Create a servicer for a handler."""
        self._handler = handler
        self._clock = clock

    async def Exchange(self, request_iterator, context) -> None:  # noqa: N802
        """Exchange packets on a stream that a peer opened."""
        try:
            hello = await read_hello(context.read)
            await context.write(Packet(hello=self._handler.hello()))
            link = Link(hello, dialled=False, clock=self._clock)
            await link.run(context.read, context.write, self._handler)
        except PeerError as error:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, error.message)

    async def FetchParts(  # noqa: N802
        self, request: PartsRequest, context
    ) -> PartsAnswer:
        """Return those requested parts that are held, as many as fit one message."""
        answer = PartsAnswer()
        size = 0
        for digest in request.digests:
            content = self._handler.part(digest)
            if content is None:
                continue
            size += len(content)
            if answer.parts and size > MAX_PARTS_ANSWER_BYTES:
                break
            answer.parts.append(Part(digest=digest, content=content))
        return answer

    async def AcknowledgeEpoch(  # noqa: N802
        self, request: EpochNotice, context
    ) -> EpochAcknowledgement:
        """Acknowledge a newer epoch of a duty."""
        return await self._handler.acknowledge_epoch(request)

    async def Snapshot(  # noqa: N802
        self, request: SnapshotRequest, context
    ) -> SnapshotAnswer:
        """Return the newest root in force on this instance, and the known members."""
        return self._handler.snapshot(request.above_version)

    async def Report(  # noqa: N802
        self, request: ReportRequest, context
    ) -> ReportAnswer:
        """Return the section that this instance adds to the operators' report."""
        return ReportAnswer(payload=self._handler.report())


def bind_server(
    handler: PeerHandler, address: str, clock: Clock
) -> tuple[grpc.aio.Server, str]:
    """Create a server for peers that is bound to its address but not started.

    :param address: ``host:port``; port 0 selects a free port.
    :returns: the server and the address that it is bound to.
    :raises PeerError: if the address cannot be bound.
    """
    server = grpc.aio.server(options=CHANNEL_OPTIONS)
    add_PeersServicer_to_server(PeerServicer(handler, clock), server)
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise PeerError(f"cannot listen on {address}: {error}") from None
    return server, f"{address.rpartition(':')[0]}:{port}"
