"""HTTP/1.1 connections on httptools: one class for each direction.

The libraries' servers and clients hide what the rules need: bytes that follow a whole
answer, an answer without a length, and a caller that left.
"""

import asyncio
import socket
from collections import deque

import httptools

from camphorgated.serving.errors import BadRequest, CallFailed

# An unacknowledged write closes the connection after this time: to callers, and to
# servers within the region, whose round trip is a few ms.
CALLER_UNACKNOWLEDGED_MS = 3000
SERVER_UNACKNOWLEDGED_MS = 1200
# An idle connection is probed after this time, and again, seconds.
PROBE_SECONDS = 1
# Bytes of an answer that may wait for a slow reader.
BUFFERED_BYTES = 262144
BODILESS = frozenset({204, 304})

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header with a lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def _prepare_socket(transport: asyncio.Transport, unacknowledged_ms: int) -> None:
    """Find peers that lost power or are cut off, which send no reset."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)


class ClientConnection(asyncio.Protocol):
    """A connection to a server; carries one request at a time."""

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
        "spoiled",
        "received",
        "_parser",
        "_pieces",
        "_piece_bytes",
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
        self.spoiled = False
        self.received = 0
        self._head_only = method == "HEAD"
        self._pieces: deque[bytes] = deque()
        self._piece_bytes = 0
        self._paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport
        _prepare_socket(transport, SERVER_UNACKNOWLEDGED_MS)

    def send(self, method: str, data: bytes) -> None:
        """Send a request and expect its answer.

        :param data: head and body as they go on the wire.
        """
        self._begin(method)
        self.served += 1
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(data)

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and nothing unexpected came."""
        return not (self.closed or self.spoiled or self.transport.is_closing())

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes outside an answer spoil the connection."""
        if self._parser is None or self.complete:
            self.spoiled = True
            self.transport.close()
            return
        self.received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.reset = True
            self.spoiled = True
            self.transport.abort()
        if self._piece_bytes > BUFFERED_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """End an answer that has no length; close the connection."""
        if self.head_done and not self.framed and not self.spoiled:
            self.complete = True
        self.spoiled = True
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        self.closed = True
        if error is not None:
            self.reset = True
        self._wake()

    def on_message_begin(self) -> None:
        """Note bytes that follow a whole answer."""
        if self.complete:
            self.spoiled = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the answer."""
        if not self.head_done:
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Take the status; an interim answer is passed over."""
        if self.head_done:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self.headers = []
            return
        self.status = status
        self.head_done = True
        self.keep_alive = self._parser.should_keep_alive() and not self._head_only
        coding = find_header(self.headers, b"transfer-encoding")
        self.framed = (
            status in BODILESS
            or self._head_only
            or coding is not None
            or find_header(self.headers, b"content-length") is not None
        )

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if self.head_done and not self.complete:
            self._pieces.append(body)
            self._piece_bytes += len(body)

    def on_message_complete(self) -> None:
        """Note the end of a framed answer."""
        if self.head_done and self.framed:
            self.complete = True

    async def read_head(self) -> int:
        """Wait for the head of the answer.

        :returns: its status, 0 if the connection ended before.
        """
        while not self.head_done:
            if self.closed or self.spoiled:
                return 0
            await self._wait()
        return self.status

    async def read_piece(self) -> bytes | None:
        """Return the next bytes of the body.

        :returns: ``b""`` after a whole answer, ``None`` if it broke off.
        """
        while not self._pieces:
            if self.complete:
                return b""
            if self.closed or self.spoiled:
                return None
            await self._wait()
        data = b"".join(self._pieces) if len(self._pieces) > 1 else self._pieces[0]
        self._pieces.clear()
        self._piece_bytes = 0
        if self._paused and not self.closed:
            self._paused = False
            self.transport.resume_reading()
        return data

    def finish(self) -> bool:
        """Tell whether the connection may carry another request."""
        reusable = self.complete and self.keep_alive and self.framed
        self._parser = None
        return reusable and self.usable

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None and not self.closed:
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


class Request:
    """A whole request of a caller."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive", "read_at")

    def __init__(
        self, method: str, target: bytes, headers: Headers, body: bytes, keep: bool
    ) -> None:
        """Keep the parts.

        :param target: path and query as they were sent.
        :param headers: with lower-case names, in order.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep
        self.read_at = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header with a lower-case name."""
        return find_header(self.headers, name)


class ServerConnection(asyncio.Protocol):
    """A connection of a caller; requests are read whole, one after the other."""

    __slots__ = (
        "transport",
        "closed",
        "started_at",
        "header_bytes",
        "body_bytes",
        "left",
        "_on_made",
        "_parser",
        "_url",
        "_headers",
        "_body",
        "_size",
        "_head_size",
        "_head_done",
        "_requests",
        "_error",
        "_waiter",
        "_drained",
        "_clock",
        "_paused",
    )

    def __init__(self, on_made, clock, header_bytes: int, body_bytes: int) -> None:
        """Prepare a connection.

        :param on_made: called with the connection once it is open.
        :param header_bytes: bound on a request's head.
        :param body_bytes: bound on a request's body.
        """
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.left: asyncio.Future | None = None
        self.started_at: float | None = None
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self._clock = clock
        self._on_made = on_made
        self._requests: deque[Request] = deque()
        self._error: BadRequest | None = None
        self._waiter: asyncio.Future | None = None
        self._drained: asyncio.Future | None = None
        self._paused = False
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport and announce the connection."""
        self.transport = transport
        self.left = asyncio.get_running_loop().create_future()
        _prepare_socket(transport, CALLER_UNACKNOWLEDGED_MS)
        transport.set_write_buffer_limits(high=BUFFERED_BYTES)
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._error is not None:
            return
        if self.started_at is None:
            self.started_at = self._clock.monotonic()
        try:
            if not self._head_done:
                self._head_size += len(data)
                if self._head_size - self._size > self.header_bytes + len(data):
                    raise BadRequest("the head is too large", 431)
            self._parser.feed_data(data)
        except BadRequest as error:
            self._error = error
        except httptools.HttpParserUpgrade:
            self._error = BadRequest("upgrades are not supported", 400)
        except httptools.HttpParserError as error:
            cause = error.__context__
            known = isinstance(cause, BadRequest)
            self._error = cause if known else BadRequest(f"malformed: {error}", 400)
        if len(self._requests) > 1 and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        if self._error is not None or self._requests:
            self._wake()

    def eof_received(self) -> bool:
        """Treat the end of the caller's side as its leaving."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the caller left."""
        self.closed = True
        if not self.left.done():
            self.left.set_result(None)
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._wake()

    def pause_writing(self) -> None:
        """Hold back writers while the caller does not read."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._head_done = False

    def on_url(self, url: bytes) -> None:
        """Keep a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if not self._head_done:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Check the size of the head and what frames the body."""
        self._head_done = True
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._url) > self.header_bytes:
            raise BadRequest("the head is too large", 431)
        lengths = [value for name, value in self._headers if name == b"content-length"]
        coding = find_header(self._headers, b"transfer-encoding")
        if coding is not None and (lengths or coding.lower() != b"chunked"):
            raise BadRequest("the body is framed twice", 400)
        if len(lengths) > 1:
            raise BadRequest("the body has two lengths", 400)
        if lengths and lengths[0].isdigit() and int(lengths[0]) > self.body_bytes:
            raise BadRequest("the body is too large", 413)
        if find_header(self._headers, b"expect") == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(body)
        if self._size > self.body_bytes:
            raise BadRequest("the body is too large", 413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the request."""
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._url,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        request.read_at = self._clock.monotonic()
        self._requests.append(request)
        self.started_at = None

    async def next_request(self, idle_seconds: float) -> Request | None:
        """Return the next whole request.

        :param idle_seconds: how long the caller may send nothing.
        :returns: ``None`` if the caller left or stayed idle.
        :raises BadRequest: if the bytes are no acceptable request.
        """
        while not self._requests:
            if self._error is not None:
                raise self._error
            if self.closed:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(idle_seconds):
                    await self._waiter
            except TimeoutError:
                if self.started_at is None:
                    return None
                raise BadRequest("the request took too long", 408) from None
            finally:
                self._waiter = None
        request = self._requests.popleft()
        if self._paused and not self.closed:
            self._paused = False
            self.transport.resume_reading()
        return request

    def write(self, data: bytes) -> None:
        """Send bytes unless the caller left."""
        if not self.closed:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller reads again."""
        if self._drained is not None:
            await self._drained

    def close(self) -> None:
        """Close after what was written is sent."""
        if not self.closed:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that an open answer cannot look complete."""
        if not self.closed:
            self.transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Return a head as it goes on the wire.

    :param start: the request or status line.
    """
    lines = [start]
    lines += [b"%b: %b" % pair for pair in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def connect(host: str, port: int, seconds: float) -> ClientConnection:
    """Open a connection.

    :raises OSError: if it cannot be opened.
    :raises TimeoutError: if it takes too long.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds):
        _, connection = await loop.create_connection(ClientConnection, host, port)
    return connection


class CallClient:
    """Short calls to one address, on kept connections."""

    __slots__ = ("_host", "_port", "_idle", "_timeout")

    # An idle connection is not used again after this time.
    IDLE_SECONDS = 10.0
    MOST_IDLE = 4
    CONNECT_SECONDS = 1.0

    def __init__(self, address: tuple[str, int], timeout_seconds: float) -> None:
        """Prepare without connecting.

        :param timeout_seconds: bound on a call that names none.
        """
        self._host, self._port = address
        self._idle: list[ClientConnection] = []
        self._timeout = timeout_seconds

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a call.

        :param timeout: bound on the call in seconds.
        :returns: status and body.
        :raises CallFailed: without a whole answer in time.
        """
        sent = False
        connection = None
        try:
            async with asyncio.timeout(timeout or self._timeout):
                connection = await self._take()
                lines = [
                    (b"host", f"{self._host}:{self._port}".encode()),
                    (b"content-length", b"%d" % len(body)),
                    *(headers or []),
                ]
                if body:
                    lines.append((b"content-type", b"application/json"))
                start = f"{method} {target} HTTP/1.1".encode()
                sent = True
                connection.send(method, encode_head(start, lines) + body)
                status = await connection.read_head()
                pieces = []
                while piece := await connection.read_piece():
                    pieces.append(piece)
                if not status or piece is None:
                    raise CallFailed(f"{method} {target}: the answer broke off", True)
        except (TimeoutError, OSError) as error:
            if connection is not None:
                connection.close()
            raise CallFailed(f"{method} {target}: {error!r}", sent) from None
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        if connection.finish() and len(self._idle) < self.MOST_IDLE:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()
        return status, b"".join(pieces)

    async def _take(self) -> ClientConnection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now - connection.idle_since < self.IDLE_SECONDS:
                return connection
            connection.close()
        return await connect(self._host, self._port, self.CONNECT_SECONDS)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
