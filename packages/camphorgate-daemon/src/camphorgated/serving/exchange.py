"""One attempt to send a request to one upstream."""

import asyncio
from typing import Protocol

from camphorgate.serving.catalog import Stage, Upstream
from camphorgate.serving.memory_budget import ResponseBuffers
from camphorgated.serving.client_connection import ClientConnection
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.http1 import Headers, encode_head
from camphorgated.serving.permits import NO_LIMIT, Permit
from camphorgated.serving.platform_protocol import PlatformProtocol, ResponseFacts
from camphorgated.serving.pool import Lease, Pool

# Bound on a buffered response of a plain call. It is in memory twice while its pieces
# are joined, and a connection may use 4 MB in total.
MAX_BODY_BYTES = 1_572_864
# What a request to an upstream asks for.
ANSWER = "answer"
PREFILL = "prefill"
# Cause of an attempt that ended because its upstream is shutting down, not failing.
LEAVING = "leaving"
# Cause of an attempt without a valid permit: the limit is new or lower, or the permit
# has expired.
NO_PERMIT = "no_permit"
# Cause of an attempt whose connection ended while the upstream worked on it.
CUT = "cut"
# The same on a connection that carried requests before; its upstream may also have
# closed it for being idle.
STALE = "stale"
# Cause of an attempt that got something else than a response, such as status 000. The
# upstream has not ended, and the request may have run.
INVALID_HEAD = "invalid_head"
# Cause of an attempt whose response could not be buffered beside those of others.
BUFFERS_FULL = "buffers_full"
# Causes that show that the upstream may have ended.
ENDED_CAUSES = frozenset({CUT, STALE})


class Gate(Protocol):
    """Decides whether upstreams accept requests and observes their responses."""

    def takes_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream still accepts new requests."""

    def may_send(self, upstream: Upstream, permit: Permit) -> bool:
        """Return whether a permit is still valid under an upstream's limit."""

    def observe_response(
        self, upstream: Upstream, facts: ResponseFacts, sent_at: float
    ) -> None:
        """Process the state that an upstream reports in a response head.

        :param sent_at: steady clock time at which the request was sent.
        """

    def record_send(self, upstream: Upstream, kind: str) -> float:
        """Record a request that is about to be sent and return the steady clock time.

        :param kind: what it asks for, such as ``answer`` or ``prefill``.
        """


class Exchange:
    """Sends a request and reads its response; use it as an async context manager.

    Leaving the context before the response is complete closes the connection, which
    cancels the request at the upstream.
    """

    __slots__ = (
        "upstream",
        "facts",
        "headers",
        "_pool",
        "_platform",
        "_gate",
        "_lease",
        "_whole",
        "_sent_at",
        "_permit",
        "_buffers",
        "_held_bytes",
    )

    def __init__(
        self,
        pool: Pool,
        dialect: PlatformProtocol,
        upstream: Upstream,
        gate: Gate,
        permit: Permit = NO_LIMIT,
        buffers: ResponseBuffers | None = None,
    ) -> None:
        """Initialize without connecting.

        :param permit: permit to send to an upstream that names a limit.
        :param buffers: what all exchanges may buffer together; by default, this one has
            a budget of its own.
        """
        self._buffers = buffers or ResponseBuffers()
        self._held_bytes = 0
        self._permit = permit
        self._gate = gate
        self.upstream = upstream
        self.facts: ResponseFacts | None = None
        self.headers: Headers = []
        self._pool = pool
        self._platform = dialect
        self._lease: Lease | None = None
        self._whole = False
        self._sent_at = 0.0

    async def __aenter__(self) -> "Exchange":
        return self

    async def __aexit__(self, *exc_info) -> None:
        self.hold(0)
        lease, self._lease = self._lease, None
        if lease is None:
            return
        if self._whole:
            keep = self.facts.keep_seconds if self.facts else None
            self._pool.give_back(lease, keep)
        else:
            self._pool.discard(lease)

    async def open(
        self,
        max_connections: int,
        recently_used: bool,
        carried: set[ClientConnection],
    ) -> None:
        """Acquire a connection.

        :param max_connections: bound on this instance's connections to the upstream.
        :param recently_used: for non-repeatable requests; reuse only recent
            connections.
        :param carried: connections that carried this request before. The acquired one
            is added: the attempt id does not tell a repeated response to an earlier
            send from the response to this one.
        :raises ExchangeError: if none is available, or if the upstream stopped
            accepting requests since it was chosen; nothing was sent.
        """
        self._lease = await self._pool.take(
            self.upstream, max_connections, recently_used, carried
        )
        carried.add(self._lease.connection)
        if not self._gate.takes_requests(self.upstream):
            raise ExchangeError(
                f"{self.upstream.id} accepts no more requests", Stage.NOT_SENT, LEAVING
            )
        if not self._gate.may_send(self.upstream, self._permit):
            raise ExchangeError(
                f"the permit for {self.upstream.id} is not valid",
                Stage.NOT_SENT,
                NO_PERMIT,
            )

    def send(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        kind: str = ANSWER,
    ) -> None:
        """Send the request; from here on the upstream may execute it.

        :param kind: what it asks for.
        """
        self._sent_at = self._gate.record_send(self.upstream, kind)
        start = b"%b %b HTTP/1.1" % (method.encode("latin-1"), target)
        self._lease.connection.send(method, encode_head(start, headers), body)

    async def read_head(
        self, attempt: str, seconds: float, require_id: bool = True
    ) -> ResponseFacts:
        """Wait for the response head and check that it belongs to this request.

        :param attempt: the attempt id that the response must carry.
        :param seconds: how long to wait.
        :param require_id: whether the response must carry an attempt id at all. A
            refusal need not on a new connection, where it can answer nothing else.
        :raises ExchangeError: if no acceptable head arrives in time.
        """
        connection = self._lease.connection
        try:
            async with asyncio.timeout(seconds):
                status = await connection.read_head()
        except TimeoutError:
            raise self._error("no response before the timeout", "silent") from None
        if not status:
            raise self._error(
                "the connection closed before the response", self._broken_cause()
            )
        self.headers = connection.headers
        facts = self._platform.read_answer(status, connection.headers)
        if facts.attempt != attempt:
            refused = facts.stage is Stage.REFUSED and not self._lease.reused
            unnamed = not require_id or refused
            if facts.attempt is not None or not unnamed:
                raise self._error("the response belongs to another request", "crossed")
        self.facts = facts
        self._gate.observe_response(self.upstream, facts, self._sent_at)
        return facts

    async def read_piece(self, seconds: float) -> bytes:
        """Return the next bytes of the body, ``b""`` at its end.

        :raises ExchangeError: if the response is truncated or times out.
        """
        try:
            async with asyncio.timeout(seconds):
                piece = await self._lease.connection.read_piece()
        except TimeoutError:
            raise self._error(
                "timed out while reading the response", "silent"
            ) from None
        if piece is None:
            raise self._error("the response was truncated", self._broken_cause())
        if not piece:
            self._whole = True
        return piece

    async def read_body(self, seconds: float, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body.

        :param max_bytes: bound on its size in bytes.
        :raises ExchangeError: if it is not complete in time, or too large.
        """
        pieces = []
        size = 0
        try:
            async with asyncio.timeout(seconds):
                while piece := await self.read_piece(seconds):
                    size += len(piece)
                    if size > max_bytes:
                        raise self._error("the response is too large", "large")
                    self.hold(size)
                    pieces.append(piece)
        except TimeoutError:
            raise self._error(
                "timed out while reading the response", "silent"
            ) from None
        return b"".join(pieces)

    def hold(self, size: int) -> None:
        """Record how many bytes of the response are buffered.

        :raises ExchangeError: if the exchanges of this instance buffer too much.
        """
        if not self._buffers.try_resize(self._held_bytes, size):
            raise self._error("the buffers of all responses are full", BUFFERS_FULL)
        self._held_bytes = size

    def _broken_cause(self) -> str:
        connection = self._lease.connection
        if connection.bounds_exceeded:
            return "endless"
        if connection.head_invalid:
            return INVALID_HEAD
        return STALE if self._lease.reused and not connection.received else CUT

    @property
    def framed(self) -> bool:
        """Return whether the response has explicit framing."""
        return self._lease.connection.framed

    def _error(self, message: str, cause: str) -> ExchangeError:
        return ExchangeError(f"{self.upstream.id}: {message}", Stage.SENT, cause)
