"""Writes responses to callers."""

import math
from collections.abc import Callable

from camphorgate.log import log_event
from camphorgated.serving.http1 import Headers, encode_head
from camphorgated.serving.server_connection import Request, ServerConnection

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
# Statuses that guarantee that the request was not and will not be executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Caller:
    """The response to one request; exactly one is begun, and at most one completed."""

    __slots__ = (
        "request",
        "begun",
        "ended",
        "closing",
        "status",
        "must_complete",
        "_connection",
        "_stopping",
        "_head_only",
    )

    def __init__(
        self,
        connection: ServerConnection,
        request: Request,
        stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare a response.

        :param stopping: called when the response begins; if it returns true, the
            connection is closed after the response to the last request that was read.
        """
        self.request = request
        self.begun = False
        self.ended = False
        self.closing = not request.keep_alive
        self.status = 0
        # Set once a non-idempotent request is sent to an upstream: it continues even if
        # the caller disconnects, as aborting it may leave it half done.
        self.must_complete = False
        self._connection = connection
        self._stopping = stopping
        # A response to HEAD has no body, whatever its headers say of one.
        self._head_only = request.method == "HEAD"

    def refuse(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        """Send an error response that this system generates.

        :param reason: short code for the caller and the log.
        :param retry_after: seconds after which the caller may retry.
        """
        headers: Headers = [(b"content-type", b"application/json")]
        if retry_after is not None:
            seconds = math.ceil(max(0.0, retry_after) * 1000) / 1000
            headers.append((b"retry-after", b"%g" % seconds))
        run = "not_run" if status in NOT_RUN_STATUSES or status < 500 else "unknown"
        body = f'{{"error":{{"code":"{reason}","run":"{run}"}}}}'.encode()
        self.respond(status, headers, body)

    def respond(
        self, status: int, headers: Headers, body: bytes, length: bytes | None = None
    ) -> None:
        """Send a complete response with a body of known length.

        :param length: length that is stated in place of the body's: in a response to
            HEAD, that of the body that GET would get.
        """
        if length is None:
            length = b"%d" % len(body)
        self._begin(status, [*headers, (b"content-length", length)], body)
        self._end()

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Begin a chunked response, whose length is not known."""
        self._begin(status, [*headers, (b"transfer-encoding", b"chunked")], b"")

    def stream(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        if self._head_only:
            return
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self._connection.drain()

    def end_stream(self) -> None:
        """Send the terminating chunk of a complete stream."""
        if not self._head_only:
            self._connection.write(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Reset the connection, so that a begun response cannot appear complete."""
        self.ended = True
        self.closing = True
        self._connection.abort()

    def charge_parts(self, size: int) -> bool:
        """Charge the parsed parts of the request to the memory budget.

        :param size: what they take, in bytes.
        :returns: false if the budget does not allow it.
        """
        return self._connection.charge_parts(size)

    @property
    def disconnected(self) -> bool:
        """Return whether the caller closed its connection."""
        return self._connection.closed

    def _begin(self, status: int, headers: Headers, body: bytes) -> None:
        if self.begun:
            log_event("second_answer", level="ERROR", status=status)
            return
        self.begun = True
        self.status = status
        lines = list(headers)
        if self._stopping() and not self._connection.receiving:
            self.closing = True
        if self.closing:
            lines.append((b"connection", b"close"))
        reason = _REASONS.get(status, b"Answer")
        start = b"HTTP/1.1 %d %b" % (status, reason)
        head = encode_head(start, lines)
        self._connection.write(head if self._head_only else head + body)

    def _end(self) -> None:
        self.ended = True
        if self.closing:
            self._connection.close()
