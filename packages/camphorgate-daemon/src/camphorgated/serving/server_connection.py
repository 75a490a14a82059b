"""HTTP/1.1 server connections, which read requests from callers."""

import asyncio
from collections import deque
from collections.abc import Callable

import httptools

from camphorgate.serving.catalog import Limits
from camphorgated.serving.errors import BadRequest
from camphorgated.serving.http1 import (
    BUFFERED_BYTES,
    MAX_FRAMING_BYTES,
    Headers,
    encode_head,
    find_header,
    prepare_socket,
)

# An unacknowledged write closes the connection after this time.
UNACKNOWLEDGED_MS = 3000


class Request:
    """A completely received request of a caller."""

    __slots__ = ("method", "target", "headers", "body", "keep_alive", "read_at")

    def __init__(
        self, method: str, target: bytes, headers: Headers, body: bytes, keep: bool
    ) -> None:
        """Initialize the request.

        :param target: path and query as received.
        :param headers: with lower-case names, in order of receipt.
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
    """A connection of a caller; requests are buffered completely and in order."""

    __slots__ = (
        "transport",
        "closed",
        "started_at",
        "_current_limits",
        "_limits",
        "left",
        "_on_made",
        "_parser",
        "_url",
        "_headers",
        "_body",
        "_size",
        "_head_size",
        "_head_done",
        "_framing_bytes",
        "_requests",
        "_error",
        "_waiter",
        "_drained",
        "_clock",
        "_paused",
    )

    def __init__(self, on_made, clock, current_limits: Callable[[], Limits]) -> None:
        """Prepare a connection.

        :param on_made: called with the connection once it is established.
        :param current_limits: returns the limits in force; each request has those of
            its first byte.
        """
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.left: asyncio.Future | None = None
        self.started_at: float | None = None
        self._current_limits = current_limits
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
        prepare_socket(transport, UNACKNOWLEDGED_MS)
        transport.set_write_buffer_limits(high=BUFFERED_BYTES)
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._error is not None:
            return
        if self.started_at is None:
            self.started_at = self._clock.monotonic()
        try:
            if not self._head_done:
                self._head_size += len(data)
                if self._head_size - self._size > self._limits.header_bytes + len(data):
                    raise BadRequest("the head is too large", 431)
            self._framing_bytes += len(data)
            self._parse(data)
            if self._head_done and self._framing_bytes > MAX_FRAMING_BYTES + len(data):
                raise BadRequest("the chunk framing of the body is too large", 400)
        except BadRequest as error:
            self._error = error
        except httptools.HttpParserError as error:
            cause = error.__context__
            known = isinstance(cause, BadRequest)
            self._error = cause if known else BadRequest(f"malformed: {error}", 400)
        if len(self._requests) > 1 and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        if self._error is not None or self._requests:
            self._wake()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes; an offer to upgrade the protocol is ignored.

        :raises BadRequest: if a request is unacceptable.
        :raises httptools.HttpParserError: if the bytes are malformed.
        """
        rest = memoryview(data)
        while True:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as upgrade:
                # The parser ends such a request after its head; its body follows.
                rest = rest[upgrade.args[0] :]
                self._parse_without_upgrade()

    def _parse_without_upgrade(self) -> None:
        """Parse the head of a request again as if it offered no upgrade.

        :raises BadRequest: if it asks for a tunnel.
        """
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise BadRequest("tunnels are not supported", 400)
        version = self._parser.get_http_version().encode()
        start = b"%b %b HTTP/%b" % (method, self._url, version)
        headers = [
            (
                name,
                _without_option(value, b"upgrade") if name == b"connection" else value,
            )
            for name, value in self._headers
            if name != b"upgrade"
        ]
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(encode_head(start, headers))

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the caller disconnected."""
        self.closed = True
        # The parser refers to this object; without it, both are freed at once.
        self._parser = None
        self._body = []
        if not self.left.done():
            self.left.set_result(None)
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._wake()

    def pause_writing(self) -> None:
        """Make writers wait while the write buffer is full."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let waiting writers continue."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._limits = self._current_limits()
        self._url = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._head_done = False
        self._framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self._head_done:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Check the size of the head and the framing of the body."""
        if self._parser.should_upgrade():
            return
        self._head_done = True
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._url) > self._limits.header_bytes:
            raise BadRequest("the head is too large", 431)
        lengths = [value for name, value in self._headers if name == b"content-length"]
        coding = find_header(self._headers, b"transfer-encoding")
        if coding is not None and (lengths or coding.lower() != b"chunked"):
            raise BadRequest(
                "invalid combination of transfer-encoding and content-length", 400
            )
        if len(lengths) > 1:
            raise BadRequest("multiple content-length headers", 400)
        if (
            lengths
            and lengths[0].isdigit()
            and int(lengths[0]) > self._limits.body_bytes
        ):
            raise BadRequest("the body is too large", 413)
        if find_header(self._headers, b"expect") == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body and check the size."""
        self._size += len(body)
        self._framing_bytes = 0
        if self._size > self._limits.body_bytes:
            raise BadRequest("the body is too large", 413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._parser.should_upgrade():
            return
        request = Request(
            self._parser.get_method().decode("latin-1"),
            self._url,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
        )
        # An idle connection keeps nothing of its last request.
        self._body = []
        self._headers = []
        request.read_at = self._clock.monotonic()
        self._requests.append(request)
        self.started_at = None

    @property
    def receiving(self) -> bool:
        """Return whether a request is queued or partly received."""
        return bool(self._requests) or self.started_at is not None

    async def next_request(self, idle_seconds: float) -> Request | None:
        """Return the next complete request.

        :param idle_seconds: how long to wait for a request.
        :returns: ``None`` if the caller disconnected or stayed idle.
        :raises BadRequest: if the request is malformed or unacceptable.
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
        """Send bytes unless the caller disconnected."""
        if not self.closed:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        if self._drained is not None:
            await self._drained

    def close(self) -> None:
        """Close the connection after sending buffered bytes."""
        if not self.closed:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that an open response cannot appear complete."""
        if not self.closed:
            self.transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _without_option(value: bytes, option: bytes) -> bytes:
    """Return a comma-separated header value without one of its options."""
    options = [item.strip() for item in value.split(b",")]
    return b", ".join(item for item in options if item.lower() != option)
