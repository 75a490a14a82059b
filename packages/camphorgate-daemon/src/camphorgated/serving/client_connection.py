"""HTTP/1.1 connections to servers."""

import asyncio
import socket
import struct

import httptools

from camphorgated.serving.errors import InvalidStatus
from camphorgated.serving.http1 import (
    BODILESS,
    MAX_FRAMING_BYTES,
    Headers,
    find_header,
    is_response_status,
    prepare_socket,
    unacknowledged_bytes,
)

# An unacknowledged write closes the connection after this time; the round trip within
# the region is a few ms.
UNACKNOWLEDGED_MS = 1200
# Bound on the head of a response including interim responses; servers send a few
# hundred bytes.
MAX_HEAD_BYTES = 65536
# Body bytes that are received before they are read; no more are received meanwhile.
READ_AHEAD_BYTES = 65536
# Bodies up to this size are sent together with their head.
MAX_JOINED_BYTES = 16_384
# Bytes that are parsed between two checks of the bounds.
SLICE_BYTES = 16384


class ClientConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time."""

    __slots__ = (
        "transport",
        "closed",
        "reset",
        "idle_since",
        "served",
        "status",
        "headers",
        "head_done",
        "complete",
        "framed",
        "keep_alive",
        "must_close",
        "received",
        "bounds_exceeded",
        "head_invalid",
        "_framing_bytes",
        "_parser",
        "_pieces",
        "_paused",
        "_waiter",
        "_head_only",
    )

    def __init__(self) -> None:
        """Start unconnected."""
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.reset = False
        self.idle_since = 0.0
        self.served = 0
        self._waiter: asyncio.Future | None = None
        self._parser = None
        self._begin("GET")

    def _begin(self, method: str) -> None:
        self.status = 0
        self.headers: Headers = []
        self.head_done = False
        self.complete = False
        self.framed = True
        self.keep_alive = False
        self.must_close = False
        self.received = 0
        # Set once the server exceeds the bounds on head or framing bytes.
        self.bounds_exceeded = False
        # Set once the server sends something else than the head of a response.
        self.head_invalid = False
        self._framing_bytes = 0
        self._head_only = method == "HEAD"
        self._pieces = bytearray()
        self._paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport
        prepare_socket(transport, UNACKNOWLEDGED_MS)

    def send(self, method: str, data: bytes, body: bytes = b"") -> None:
        """Send a request and start parsing its response.

        :param data: encoded head, or head and body.
        :param body: body that is sent after it.
        """
        self._begin(method)
        self.served += 1
        self._parser = httptools.HttpResponseParser(self)
        if len(body) <= MAX_JOINED_BYTES:
            self.transport.write(data + body)
        else:
            # A large body is not copied.
            self.transport.write(data)
            self.transport.write(body)

    @property
    def usable(self) -> bool:
        """Return whether the connection is open and received no unexpected bytes."""
        return not (self.closed or self.must_close or self.transport.is_closing())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes outside a response close the connection."""
        if self._parser is None or self.complete:
            self.must_close = True
            self.transport.close()
            return
        try:
            for start in range(0, len(data), SLICE_BYTES):
                self._parse(data[start : start + SLICE_BYTES])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.reset = True
            self.head_invalid = not self.head_done
            self.must_close = True
            self.transport.abort()
        if len(self._pieces) > READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def _parse(self, data: bytes) -> None:
        """Parse a slice and abort the connection if a bound is exceeded.

        :raises httptools.HttpParserError: if the bytes are malformed.
        """
        if self.must_close:
            return
        self.received += len(data)
        self._framing_bytes += len(data)
        self._parser.feed_data(data)
        bound = MAX_FRAMING_BYTES if self.head_done else MAX_HEAD_BYTES
        if not self.complete and self._framing_bytes > bound:
            self.bounds_exceeded = True
            self.reset = True
            self.must_close = True
            self.transport.abort()

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection.

        It is truncated if the server has not received the whole request: one that
        fails during an upload may have sent the beginning of a response.
        """
        if self.head_done and not self.framed and not self.must_close:
            self.complete = not unacknowledged_bytes(self.transport)
        self.must_close = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self.closed = True
        # The parser refers to this object; without it, both are freed at once.
        self._parser = None
        if error is not None:
            self.reset = True
        self._wake()

    def on_message_begin(self) -> None:
        """Mark the connection for closing if bytes follow a complete response."""
        if self.complete:
            self.must_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header of the response."""
        if not self.head_done:
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Store the status; interim responses are skipped.

        :raises InvalidStatus: if it is no status of a response.
        """
        if self.head_done:
            return
        status = self._parser.get_status_code()
        if not is_response_status(status):
            raise InvalidStatus(f"{status} is no status of a response")
        if status < 200:
            self.headers = []
            return
        self.status = status
        self.head_done = True
        self._framing_bytes = 0
        self.keep_alive = self._parser.should_keep_alive() and not self._head_only
        coding = find_header(self.headers, b"transfer-encoding")
        self.framed = (
            status in BODILESS
            or self._head_only
            or coding is not None
            or find_header(self.headers, b"content-length") is not None
        )
        # No body follows, whatever length the head states.
        self.complete = self._head_only

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body."""
        if self.head_done and not self.complete:
            self._framing_bytes = 0
            self._pieces += body

    def on_message_complete(self) -> None:
        """Record the end of a response with explicit framing."""
        if self.head_done and self.framed:
            self.complete = True

    async def read_head(self) -> int:
        """Wait for the head of the response.

        :returns: its status, 0 if the connection ended before.
        """
        while not self.head_done:
            if self.closed or self.must_close:
                return 0
            await self._wait()
        return self.status

    async def read_piece(self) -> bytes | None:
        """Return the next bytes of the body.

        :returns: ``b""`` after a complete response, ``None`` if it was truncated.
        """
        while not self._pieces:
            if self.complete:
                return b""
            if self.closed or self.must_close:
                return None
            await self._wait()
        data = bytes(self._pieces)
        self._pieces = bytearray()
        if self._paused and not self.closed:
            self._paused = False
            self.transport.resume_reading()
        return data

    def finish(self) -> bool:
        """End the exchange and return whether the connection is reusable."""
        reusable = self.complete and self.keep_alive and self.framed
        self._parser = None
        return reusable and self.usable

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None and not self.closed:
            self.transport.abort()

    def discard(self) -> None:
        """Close the connection; what the server has not received is never sent.

        Otherwise the system would send it again for as long as the network is cut off.
        """
        if self.transport is not None and not self.closed:
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.transport.abort()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(host: str, port: int, seconds: float) -> ClientConnection:
    """Open a connection.

    :raises OSError: if it cannot be opened.
    :raises TimeoutError: if it takes too long.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds):
        _, connection = await loop.create_connection(ClientConnection, host, port)
    return connection
