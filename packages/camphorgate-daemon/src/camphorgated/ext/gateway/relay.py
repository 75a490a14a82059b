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
Take = Callable[[bytes], bool]


class RelayProtocol(asyncio.Protocol):
    """Feeds what a transport receives to the answer's parser and to a function."""

    __slots__ = ("done", "_exchange", "_take", "_transport", "_usual")

    def __init__(
        self, exchange: Exchange, take: Take, transport: asyncio.Transport
    ) -> None:
        """Prepare to relay.

        :param take: called with the body's bytes as they arrive.
        """
        self.done = asyncio.get_running_loop().create_future()
        self._exchange = exchange
        self._take = take
        self._transport = transport
        self._usual = transport.get_protocol()

    def begin(self) -> None:
        """Take the transport's bytes."""
        self._transport.set_protocol(self)

    def end(self) -> None:
        """Leave the transport's bytes to the reader again; callable twice."""
        self._transport.set_protocol(self._usual)

    def data_received(self, data: bytes) -> None:
        """Relay bytes, and end the relay when it is over or fails."""
        answer = self._exchange.answer
        try:
            if data:
                answer.feed(data)
            if answer.pieces:
                pieces = answer.pieces
                answer.pieces = []
                body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
                goes_on = self._take(body) and not answer.complete
            else:
                goes_on = not answer.complete
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._exchange.spoil()
            message = f"the answer is malformed: {error!r}"
            self._settle(UpstreamFault(message))
        except Exception as error:
            self._settle(error)
        else:
            if not goes_on:
                self._settle(None)

    def eof_received(self) -> bool:
        """Fail, as the answer is not complete; the transport closes itself."""
        self._fail("the answer broke off")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail, as the answer is not complete."""
        self._fail(f"the connection broke: {error!r}")

    def _fail(self, message: str) -> None:
        self._settle(self._exchange.fault(message))

    def _settle(self, error: Exception | None) -> None:
        """End the relay at once, so that what arrives next goes to the reader."""
        self.end()
        if self.done.done():
            return
        if error is None:
            self.done.set_result(None)
        else:
            self.done.set_exception(error)


async def relay(exchange: Exchange, take: Take) -> None:
    """Relay the body until ``take`` returns false or the answer is complete.

    The exchange's ``deadline`` holds throughout; ``take`` may move it.

    :raises UpstreamFault: if the answer breaks off or nothing comes in time.
    """
    connection = exchange.connection
    reader = connection.reader if connection else None
    if reader is None:
        raise exchange.fault("the connection is closed")
    protocol = RelayProtocol(exchange, take, connection.writer.transport)
    # What the reader and the parser hold came first. Reading it does not wait.
    if exchange.answer.pieces:
        protocol.data_received(b"")
    while reader._buffer and not protocol.done.done():
        protocol.data_received(await reader.read(READ_BYTES))
    if not protocol.done.done() and reader.at_eof():
        protocol.eof_received()
    if protocol.done.done():
        protocol.done.result()
        return
    protocol.begin()
    try:
        await protocol.done
    finally:
        protocol.end()
