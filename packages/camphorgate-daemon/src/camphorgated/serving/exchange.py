"""One try of a request at one upstream."""

import asyncio
from typing import Protocol

from camphorgate.serving.catalog import Stage, Upstream
from camphorgated.serving.errors import ExchangeError
from camphorgated.serving.http1 import Headers, encode_head
from camphorgated.serving.pool import Lease, Pool
from camphorgated.serving.wire import AnswerFacts, Dialect

# A whole answer of a plain call is kept in memory up to this size. It is there twice
# while its pieces are put together, and a connection may take 4 MB in all.
MOST_BODY_BYTES = 1_572_864
# Cause of a try that ended as its upstream left meanwhile; nothing is wrong with it.
LEAVING = "leaving"


class Gate(Protocol):
    """What decides whether upstreams take requests, and learns from their answers."""

    def takes_requests(self, upstream: Upstream) -> bool:
        """Tell whether an upstream still takes new requests."""

    def hear_answer(self, upstream: Upstream, facts: AnswerFacts) -> None:
        """Take what an upstream says of itself in the head of an answer."""


class Exchange:
    """Sends a request and reads its answer; use it as an async context manager.

    Leaving the context before the answer is whole closes the connection, which cancels
    the request at the upstream.
    """

    __slots__ = (
        "upstream",
        "facts",
        "headers",
        "_pool",
        "_dialect",
        "_gate",
        "_lease",
        "_whole",
    )

    def __init__(
        self,
        pool: Pool,
        dialect: Dialect,
        upstream: Upstream,
        gate: Gate,
    ) -> None:
        """Prepare without connecting."""
        self._gate = gate
        self.upstream = upstream
        self.facts: AnswerFacts | None = None
        self.headers: Headers = []
        self._pool = pool
        self._dialect = dialect
        self._lease: Lease | None = None
        self._whole = False

    async def __aenter__(self) -> "Exchange":
        return self

    async def __aexit__(self, *exc_info) -> None:
        lease, self._lease = self._lease, None
        if lease is None:
            return
        if self._whole:
            keep = self.facts.keep_seconds if self.facts else None
            self._pool.give_back(lease, keep)
        else:
            self._pool.discard(lease)

    async def open(self, most: int, sure: bool) -> None:
        """Get a connection.

        :raises ExchangeError: if none can be had, or if the upstream has left since it
            was chosen; nothing was sent.
        """
        self._lease = await self._pool.take(self.upstream, most, sure)
        if not self._gate.takes_requests(self.upstream):
            raise ExchangeError(
                f"{self.upstream.id} takes no more requests", Stage.NOT_SENT, LEAVING
            )

    def send(self, method: str, target: bytes, headers: Headers, body: bytes) -> None:
        """Send the request; from here on it may run."""
        start = b"%b %b HTTP/1.1" % (method.encode("latin-1"), target)
        self._lease.connection.send(method, encode_head(start, headers) + body)

    async def read_head(
        self, attempt: str, seconds: float, named: bool = True
    ) -> AnswerFacts:
        """Wait for the head of the answer and check that it is this request's.

        :param attempt: the id that the answer must carry.
        :param seconds: how long to wait.
        :param named: whether the answer must carry an id at all.
        :raises ExchangeError: without an acceptable head.
        """
        connection = self._lease.connection
        try:
            async with asyncio.timeout(seconds):
                status = await connection.read_head()
        except TimeoutError:
            raise self._error("no answer in time", "silent") from None
        if not status:
            raise self._error(
                "the connection ended before the answer", self._broken_cause()
            )
        self.headers = connection.headers
        facts = self._dialect.read_answer(status, connection.headers)
        if facts.attempt != attempt:
            unnamed = not named or facts.stage is Stage.REFUSED
            if facts.attempt is not None or not unnamed:
                raise self._error("the answer is of another request", "crossed")
        self.facts = facts
        self._gate.hear_answer(self.upstream, facts)
        return facts

    async def read_piece(self, seconds: float) -> bytes:
        """Return the next bytes of the body, ``b""`` at its end.

        :raises ExchangeError: if the answer breaks off or nothing comes in time.
        """
        try:
            async with asyncio.timeout(seconds):
                piece = await self._lease.connection.read_piece()
        except TimeoutError:
            raise self._error("the answer went silent", "silent") from None
        if piece is None:
            raise self._error("the answer broke off", self._broken_cause())
        if not piece:
            self._whole = True
        return piece

    async def read_body(self, seconds: float, most: int = MOST_BODY_BYTES) -> bytes:
        """Return the whole body.

        :param most: bound on its size in bytes.
        :raises ExchangeError: if it is not whole in time, or too large to keep.
        """
        pieces = []
        size = 0
        try:
            async with asyncio.timeout(seconds):
                while piece := await self.read_piece(seconds):
                    size += len(piece)
                    if size > most:
                        raise self._error("the answer is too large", "large")
                    pieces.append(piece)
        except TimeoutError:
            raise self._error("the answer went silent", "silent") from None
        return b"".join(pieces)

    def _broken_cause(self) -> str:
        connection = self._lease.connection
        if connection.endless:
            return "endless"
        return "stale" if self._lease.reused and not connection.received else "cut"

    @property
    def framed(self) -> bool:
        """Tell whether the answer says itself where it ends."""
        return self._lease.connection.framed

    def _error(self, message: str, cause: str) -> ExchangeError:
        return ExchangeError(f"{self.upstream.id}: {message}", Stage.SENT, cause)
