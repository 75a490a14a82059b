"""One request and its answer on one upstream connection."""

import asyncio
from collections.abc import AsyncIterator, Callable
from urllib.parse import ParseResult

import httptools
from aiosonic.exceptions import AiosonicError, ConnectTimeout

from camphorgate.clock import Clock
from camphorgated.ext.gateway.client import UpstreamConnection, UpstreamConnector
from camphorgated.ext.gateway.deadline_monitor import NEVER, DeadlineMonitor
from camphorgated.ext.gateway.errors import (
    StaleConnection,
    UpstreamFault,
    UpstreamRefused,
    UpstreamSilent,
    WrongRequestId,
)
from camphorgated.serving.http1 import BODILESS

READ_BYTES = 65536
MAX_HEAD_BYTES = 65536


class RequestHead:
    """What is sent before the body of an upstream request."""

    __slots__ = ("method", "target", "headers", "request_id")

    def __init__(
        self,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        request_id: str,
    ) -> None:
        """Keep the parts.

        :param target: path and query, as they go on the wire.
        :param headers: without Host and X-Request-Id.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.request_id = request_id

    def encode(self, host: str) -> bytes:
        """Return the bytes that go on the wire."""
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
    """Collects what llhttp finds in the bytes of an answer."""

    __slots__ = (
        "status",
        "headers",
        "headers_complete",
        "complete",
        "pieces",
        "has_trailing_data",
        "keep_alive",
        "_parser",
        "_head_only",
        "_interim",
    )

    def __init__(self, method: str) -> None:
        """Start before the status line.

        :param method: of the request; the answer to HEAD has no body.
        """
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.headers_complete = False
        self.complete = False
        self.pieces: list[bytes] = []
        self.has_trailing_data = False
        self.keep_alive = False
        self._head_only = method == "HEAD"
        self._interim = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes as they arrived.

        :raises HttpParserError: if they are no answer.
        """
        if not (self.complete and self._head_only):
            self._parser.feed_data(data)

    def header(self, name: bytes) -> bytes | None:
        """Return the last value of a header, ``None`` without one."""
        found = None
        for key, value in self.headers:
            if key == name:
                found = value
        return found

    def on_message_begin(self) -> None:
        """Note bytes that follow the answer."""
        self.has_trailing_data = self.has_trailing_data or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if not self.headers_complete:
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Take the status; an interim answer is passed over."""
        if self.headers_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._interim = True
            self.headers = []
            return
        self.status = status
        self.headers_complete = True
        # llhttp expects a body after the head of a HEAD answer, so that such a
        # connection is never reused.
        self.keep_alive = self._parser.should_keep_alive() and not self._head_only
        self.complete = self._head_only

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if not self.complete:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the answer, or of an interim answer."""
        if self._interim:
            self._interim = False
        else:
            self.complete = True

    def is_delimited(self) -> bool:
        """Tell whether a cut answer can be told from a whole one."""
        if self.complete or self.status in BODILESS:
            return True
        coding = self.header(b"transfer-encoding")
        if coding is not None:
            return coding.lower().rsplit(b",", 1)[-1].strip() == b"chunked"
        return self.header(b"content-length") is not None


class Exchange:
    """Sends one request and reads its answer; the connection is its own meanwhile.

    Whatever goes wrong closes the connection. It goes back to the pool only after
    the whole answer was read and nothing followed it.
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
        "_received",
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
        """Prepare an exchange without opening anything.

        :param fresh: use a connection of its own that is not reused afterwards.
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
        self._received = 0

    async def send(
        self,
        url: ParseResult,
        body: bytes | AsyncIterator[bytes] = b"",
        before_send: Callable[[], None] = lambda: None,
    ) -> None:
        """Open a connection and send the request.

        :param body: whole, or pieces that are sent while the answer is read.
        :param before_send: called once the connection is open.
        :raises UpstreamRefused: if no connection could be made; nothing was sent.
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
        """Return the answer as soon as its headers are read.

        :param deadline: monotonic seconds.
        :raises UpstreamFault: if there is no usable answer in time.
        """
        while not self.response.headers_complete:
            await self._read_more(deadline)
            if self._received > MAX_HEAD_BYTES and not self.response.headers_complete:
                raise UpstreamFault("the headers of the answer are too long")
        if not self.response.is_delimited():
            raise UpstreamFault("the answer has neither a length nor chunks")
        return self.response

    def check_request_id(self, required: bool) -> None:
        """Compare the echoed id with the one that was sent.

        :param required: an answer without an id is refused as well.
        :raises WrongRequestId: if the answer belongs to another request.
        """
        echoed = self.response.header(b"x-request-id")
        if echoed is None and not required:
            return
        if echoed != self._head.request_id.encode():
            self._unusable = True
            raise WrongRequestId("the answer carries the id of another request")

    async def read_body(self, deadline: float) -> bytes:
        """Return everything of the body that has arrived, ``b""`` at its end.

        :param deadline: monotonic seconds until which something must arrive.
        :raises UpstreamFault: if the answer breaks off or nothing comes in time.
        """
        response = self.response
        while not response.pieces:
            if response.complete:
                return b""
            await self._read_more(deadline)
        pieces = response.pieces
        response.pieces = []
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def close(self) -> None:
        """Hand the connection back if it is clean, else close it; callable twice."""
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
        """Never use the connection again."""
        self._unusable = True

    def make_fault(self, message: str) -> UpstreamFault:
        """Return the error of a connection that ended before the answer did.

        :raises Exception: that of the caller's body, if that is why it ended.
        """
        task = self._body_task
        if task is not None and task.done() and not task.cancelled():
            error = task.exception()
            if error is not None:
                raise error
        if self._expired:
            return UpstreamSilent("nothing came from the upstream in time")
        if self._reused and not self._received:
            return StaleConnection(message)
        return UpstreamFault(message)

    async def _send_body(self, body: AsyncIterator[bytes]) -> None:
        chunked = any(name == b"transfer-encoding" for name, _ in self._head.headers)
        try:
            async for piece in body:
                if not piece or self.connection is None:
                    continue
                framed = b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece
                self.connection.write(framed)
                await self.connection.writer.drain()
            if chunked:
                self.connection.write(b"0\r\n\r\n")
        except (OSError, AiosonicError, AttributeError):
            # The reader sees the same break, and may still find an early answer.
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
        self._received += len(data)
