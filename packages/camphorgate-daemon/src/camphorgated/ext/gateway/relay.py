"""Forwards the bytes of a response as they arrive, without a task switch for each.

A stream of tokens has one small read and one small write per token. Reading it through
a StreamReader wakes the request's task for each of them, which costs more than the rest
of the work. Here the transport's own callback does the work until the task has to
make a decision.
"""

import asyncio
from collections.abc import Callable

import httptools

from camphorgated.ext.gateway.errors import UpstreamFault
from camphorgated.ext.gateway.exchange import READ_BYTES, Exchange

# Handles bytes of the body; returns whether the relay continues.
BodyHandler = Callable[[bytes], bool]


class RelayProtocol(asyncio.Protocol):
    """Feeds received data to the response parser, and the body to a callback."""

    __slots__ = ("done", "_exchange", "_on_body", "_transport", "_previous_protocol")

    def __init__(
        self, exchange: Exchange, on_body: BodyHandler, transport: asyncio.Transport
    ) -> None:
        """Prepare to relay.

        :param on_body: called with the body's bytes as they arrive.
        """
        self.done = asyncio.get_running_loop().create_future()
        self._exchange = exchange
        self._on_body = on_body
        self._transport = transport
        self._previous_protocol = transport.get_protocol()

    def attach(self) -> None:
        """Receive the transport's data."""
        self._transport.set_protocol(self)

    def detach(self) -> None:
        """Restore the transport's previous protocol; idempotent."""
        self._transport.set_protocol(self._previous_protocol)

    def data_received(self, data: bytes) -> None:
        """Relay received data, and finish on completion or failure."""
        response = self._exchange.response
        try:
            if data:
                response.feed(data)
            if response.chunks:
                chunks = response.chunks
                response.chunks = []
                body = chunks[0] if len(chunks) == 1 else b"".join(chunks)
                continues = self._on_body(body) and not response.complete
            else:
                continues = not response.complete
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._exchange.mark_unusable()
            message = f"the answer is malformed: {error!r}"
            self._finish(UpstreamFault(message))
        except Exception as error:
            self._finish(error)
        else:
            if not continues:
                self._finish(None)

    def eof_received(self) -> bool:
        """Fail, as the response is incomplete; the transport closes itself."""
        self._fail("the answer broke off")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail, as the response is incomplete."""
        self._fail(f"the connection broke: {error!r}")

    def _fail(self, message: str) -> None:
        self._finish(self._exchange.make_fault(message))

    def _finish(self, error: Exception | None) -> None:
        """Finish the relay at once, so that later data goes to the reader."""
        self.detach()
        if self.done.done():
            return
        if error is None:
            self.done.set_result(None)
        else:
            self.done.set_exception(error)


async def relay(exchange: Exchange, on_body: BodyHandler) -> None:
    """Relay the body until ``on_body`` returns false or the response is complete.

    The exchange's ``deadline`` applies throughout; ``on_body`` may change it.

    :raises UpstreamFault: if the response is truncated or no data arrives in time.
    """
    connection = exchange.connection
    reader = connection.reader if connection else None
    if reader is None:
        raise exchange.make_fault("the connection is closed")
    protocol = RelayProtocol(exchange, on_body, connection.writer.transport)
    # Data that the parser and the reader have buffered comes first; reading it does not
    # wait.
    if exchange.response.chunks:
        protocol.data_received(b"")
    while reader._buffer and not protocol.done.done():
        protocol.data_received(await reader.read(READ_BYTES))
    if not protocol.done.done() and reader.at_eof():
        protocol.eof_received()
    if protocol.done.done():
        protocol.done.result()
        return
    protocol.attach()
    try:
        await protocol.done
    finally:
        protocol.detach()
