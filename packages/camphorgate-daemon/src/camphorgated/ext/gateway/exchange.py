"""One request and its response on one upstream connection."""

import asyncio
from collections.abc import AsyncIterator, Callable
from urllib.parse import ParseResult

import httptools
from aiosonic.exceptions import AiosonicError, ConnectTimeout

from camphorgate.clock import Clock
from camphorgated.ext.gateway.connection_pool import (
    UpstreamConnection,
    UpstreamConnector,
)
from camphorgated.ext.gateway.deadline_monitor import NEVER, DeadlineMonitor
from camphorgated.ext.gateway.errors import (
    StaleConnection,
    UpstreamFault,
    UpstreamRefused,
    UpstreamSilent,
    WrongRequestId,
)
from camphorgated.serving.errors import InvalidStatus
from camphorgated.serving.http1 import BODILESS, is_response_status

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536


class RequestHead:
    """Request line and headers of an upstream request."""

    __slots__ = ("method", "target", "headers", "request_id")

    def __init__(
        self,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        request_id: str,
    ) -> None:
        """Store the parts.

        :param target: path and query, as sent on the wire.
        :param headers: without Host and X-Request-Id.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.request_id = request_id

    def encode(self, host: str) -> bytes:
        """Return the bytes to send."""
        lines = [
            b"%s %s HTTP/1.1\r\nhost: %s\r\nx-request-id: %s\r\n"
            % (
                self.method.encode(),
                self.target,
                host.encode(),
                self.request_id.encode(),
            )
        ]
        lines += [b"%s: %s\r\n" % pair for pair in self.headers]
        lines.append(b"\r\n")
        return b"".join(lines)


class Response:
    """Collects what llhttp parses from the bytes of a response."""

    __slots__ = (
        "status",
        "headers",
        "headers_complete",
        "complete",
        "chunks",
        "has_trailing_data",
        "keep_alive",
        "_parser",
        "_is_head_request",
        "_in_interim_response",
    )

    def __init__(self, method: str) -> None:
        """Start before the status line.

        :param method: of the request; the response to HEAD has no body.
        """
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.headers_complete = False
        self.complete = False
        self.chunks: list[bytes] = []
        self.has_trailing_data = False
        self.keep_alive = False
        self._is_head_request = method == "HEAD"
        self._in_interim_response = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises HttpParserError: if they are not a valid response.
        """
        if not (self.complete and self._is_head_request):
            self._parser.feed_data(data)

    def header(self, name: bytes) -> bytes | None:
        """Return the last value of a header, ``None`` without one."""
        found = None
        for key, value in self.headers:
            if key == name:
                found = value
        return found

    def on_message_begin(self) -> None:
        """Detect data that follows the response."""
        self.has_trailing_data = self.has_trailing_data or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self.headers_complete:
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Store the status; an interim (1xx) response is skipped.

        :raises InvalidStatus: if it is no status of a response.
        """
        if self.headers_complete:
            return
        status = self._parser.get_status_code()
        if not is_response_status(status):
            raise InvalidStatus(f"{status} is no status of a response")
        if status < 200:
            self._in_interim_response = True
            self.headers = []
            return
        self.status = status
        self.headers_complete = True
        # llhttp expects a body after the headers of a response to HEAD, so such a
        # connection is never reused.
        self.keep_alive = self._parser.should_keep_alive() and not self._is_head_request
        self.complete = self._is_head_request

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if not self.complete:
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Record the end of the response, or of an interim response."""
        if self._in_interim_response:
            self._in_interim_response = False
        else:
            self.complete = True

    def is_delimited(self) -> bool:
        """Return whether a truncated response can be told from a complete one."""
        if self.complete or self.status in BODILESS:
            return True
        coding = self.header(b"transfer-encoding")
        if coding is not None:
            return coding.lower().rsplit(b",", 1)[-1].strip() == b"chunked"
        return self.header(b"content-length") is not None


class Exchange:
    """Sends one request and reads its response on a connection used by nothing else.

    Any error closes the connection. It returns to the pool only after the whole
    response was read and no data followed it.
    """

    __slots__ = (
        "response",
        "deadline",
        "connection",
        "_connector",
        "_deadline_monitor",
        "_clock",
        "_head",
        "_expired",
        "_body_task",
        "_new_connection",
        "_unusable",
        "_reused",
        "_received_bytes",
    )

    def __init__(
        self,
        connector: UpstreamConnector,
        deadline_monitor: DeadlineMonitor,
        clock: Clock,
        head: RequestHead,
        *,
        new_connection: bool,
    ) -> None:
        """Prepare an exchange without connecting.

        :param new_connection: use a new connection and close it afterwards.
        """
        self.response = Response(head.method)
        self.deadline = NEVER
        self.connection: UpstreamConnection | None = None
        self._connector = connector
        self._deadline_monitor = deadline_monitor
        self._clock = clock
        self._head = head
        self._expired = False
        self._body_task: asyncio.Task | None = None
        self._new_connection = new_connection
        self._unusable = False
        self._reused = False
        self._received_bytes = 0

    async def send(
        self,
        url: ParseResult,
        body: bytes | AsyncIterator[bytes] = b"",
        before_send: Callable[[], None] = lambda: None,
    ) -> None:
        """Open a connection and send the request.

        :param body: whole, or parts that are sent while the response is read.
        :param before_send: called once the connection is open.
        :raises UpstreamRefused: if connecting failed; nothing was sent.
        """
        try:
            self.connection = await self._connector.open(url, self._new_connection)
        except ConnectTimeout:
            raise UpstreamRefused("connecting took too long", sent=False) from None
        except OSError as error:
            raise UpstreamRefused(f"cannot connect: {error}", sent=False) from None
        self._reused = self.connection.reused
        self._deadline_monitor.add(self)
        head = self._head.encode(url.netloc)
        before_send()
        try:
            if isinstance(body, bytes):
                self.connection.write(head + body)
            else:
                self.connection.write(head)
                self._body_task = asyncio.create_task(self._send_body(body))
        except AiosonicError as error:
            raise UpstreamFault(f"cannot send: {error!r}") from None

    async def read_head(self, deadline: float) -> Response:
        """Return the response as soon as its headers are read.

        :param deadline: monotonic seconds.
        :raises UpstreamFault: if there is no usable response in time.
        """
        while not self.response.headers_complete:
            await self._read_more(deadline)
            if (
                self._received_bytes > MAX_HEAD_BYTES
                and not self.response.headers_complete
            ):
                raise UpstreamFault("the headers of the answer are too long")
        if not self.response.is_delimited():
            raise UpstreamFault("the answer has neither a length nor chunks")
        return self.response

    def check_request_id(self, required: bool) -> None:
        """Compare the echoed id with the one that was sent.

        :param required: a response without an id is an error as well.
        :raises WrongRequestId: if the response belongs to another request.
        """
        echoed = self.response.header(b"x-request-id")
        if echoed is None and not required:
            return
        if echoed != self._head.request_id.encode():
            self._unusable = True
            raise WrongRequestId("the answer carries the id of another request")

    async def read_body(self, deadline: float) -> bytes:
        """Return the received part of the body, ``b""`` at its end.

        :param deadline: monotonic time by which data must arrive.
        :raises UpstreamFault: if the response is truncated or no data arrives in time.
        """
        response = self.response
        while not response.chunks:
            if response.complete:
                return b""
            await self._read_more(deadline)
        chunks = response.chunks
        response.chunks = []
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def close(self) -> None:
        """Return a reusable connection to the pool, close any other; idempotent."""
        self._deadline_monitor.discard(self)
        connection, self.connection = self.connection, None
        task, self._body_task = self._body_task, None
        body_sent = task is None or (task.done() and not task.cancelled())
        if task is not None and not task.done():
            task.cancel()
        if connection is None:
            return
        response = self.response
        reusable = (
            response.complete and response.keep_alive and not response.has_trailing_data
        )
        reusable = (
            reusable and body_sent and not self._new_connection and not self._unusable
        )
        connection.return_to_pool(reusable and connection.is_connected)

    def expire(self) -> None:
        """Close the connection because its deadline has passed."""
        self._expired = True
        if self.connection is not None:
            self.connection.close()

    def mark_unusable(self) -> None:
        """Prevent reuse of the connection."""
        self._unusable = True

    def make_fault(self, message: str) -> UpstreamFault:
        """Return the error for a connection that ended before the response did.

        :raises Exception: the error of reading the caller's body, if it was the cause.
        """
        task = self._body_task
        if task is not None and task.done() and not task.cancelled():
            error = task.exception()
            if error is not None:
                raise error
        if self._expired:
            return UpstreamSilent("nothing came from the upstream in time")
        if self._reused and not self._received_bytes:
            return StaleConnection(message)
        return UpstreamFault(message)

    async def _send_body(self, body: AsyncIterator[bytes]) -> None:
        chunked = any(name == b"transfer-encoding" for name, _ in self._head.headers)
        try:
            async for chunk in body:
                if not chunk or self.connection is None:
                    continue
                framed = b"%x\r\n%s\r\n" % (len(chunk), chunk) if chunked else chunk
                self.connection.write(framed)
                await self.connection.writer.drain()
            if chunked:
                self.connection.write(b"0\r\n\r\n")
        except (OSError, AiosonicError, AttributeError):
            # The reader sees the same failure, and may still find an early response.
            return
        except BaseException:
            if self.connection is not None:
                self.connection.close()
            raise

    async def _read_more(self, deadline: float) -> None:
        reader = self.connection.reader if self.connection else None
        if reader is None:
            raise self.make_fault("the connection is closed")
        self.deadline = deadline
        try:
            data = await reader.read(READ_BYTES)
        except (OSError, AiosonicError) as error:
            raise self.make_fault(f"the connection broke: {error!r}") from None
        finally:
            self.deadline = NEVER
        if not data:
            raise self.make_fault("the answer broke off")
        try:
            self.response.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._unusable = True
            raise UpstreamFault(f"the answer is malformed: {error!r}") from None
        self._received_bytes += len(data)
