"""Passes the bytes of an answer on as they arrive, without a task switch for each.

A stream of tokens has one small read and one small write per token. Reading it through
a StreamReader wakes the request's task for each of them, which costs more than the rest
of the work. Here the transport's own callback does the work until something happens
that the task must decide.
"""

import asyncio
from collections.abc import Callable

import httptools

from camphorgated.ext.gateway.errors import UpstreamFault
from camphorgated.ext.gateway.exchange import READ_BYTES, Exchange

# Takes bytes of the body; returns whether the relay goes on.
BodyHandler = Callable[[bytes], bool]


class RelayProtocol(asyncio.Protocol):
    """Feeds what a transport receives to the answer's parser and to a function."""

    __slots__ = ("done", "_exchange", "_on_body", "_transport", "_previous_protocol")

    def __init__(
        self, exchange: Exchange, on_body: BodyHandler, transport: asyncio.Transport
    ) -> None:
        """Prepare to relay.

        :param take: called with the body's bytes as they arrive.
        """
        self.done = asyncio.get_running_loop().create_future()
        self._exchange = exchange
        self._on_body = on_body
        self._transport = transport
        self._previous_protocol = transport.get_protocol()

    def attach(self) -> None:
        """Take the transport's bytes."""
        self._transport.set_protocol(self)

    def detach(self) -> None:
        """Leave the transport's bytes to the reader again; callable twice."""
        self._transport.set_protocol(self._previous_protocol)

    def data_received(self, data: bytes) -> None:
        """Relay bytes, and end the relay when it is over or fails."""
        response = self._exchange.response
        try:
            if data:
                response.feed(data)
            if response.pieces:
                pieces = response.pieces
                response.pieces = []
                body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
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
        """Fail, as the answer is not complete; the transport closes itself."""
        self._fail("the answer broke off")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail, as the answer is not complete."""
        self._fail(f"the connection broke: {error!r}")

    def _fail(self, message: str) -> None:
        self._finish(self._exchange.make_fault(message))

    def _finish(self, error: Exception | None) -> None:
        """End the relay at once, so that what arrives next goes to the reader."""
        self.detach()
        if self.done.done():
            return
        if error is None:
            self.done.set_result(None)
        else:
            self.done.set_exception(error)


async def relay(exchange: Exchange, on_body: BodyHandler) -> None:
    """Relay the body until ``take`` returns false or the answer is complete.

    The exchange's ``deadline`` holds throughout; ``take`` may move it.

    :raises UpstreamFault: if the answer breaks off or nothing comes in time.
    """
    connection = exchange.connection
    reader = connection.reader if connection else None
    if reader is None:
        raise exchange.make_fault("the connection is closed")
    protocol = RelayProtocol(exchange, on_body, connection.writer.transport)
    # What the reader and the parser hold came first. Reading it does not wait.
    if exchange.response.pieces:
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
