"""What is written back to a caller."""

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
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Caller:
    """The answer to one request; exactly one is begun, and at most one ended."""

    __slots__ = (
        "request",
        "begun",
        "ended",
        "closing",
        "status",
        "sent_once",
        "_connection",
        "_stopping",
    )

    def __init__(
        self,
        connection: ServerConnection,
        request: Request,
        stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare an answer.

        :param stopping: asked when the answer begins; true ends the connection after
            the answer.
        """
        self.request = request
        self.begun = False
        self.ended = False
        self.closing = not request.keep_alive
        self.status = 0
        # Set once a request that must not be repeated is at an upstream: it runs on
        # even if the caller leaves, as breaking it off may leave it half done.
        self.sent_once = False
        self._connection = connection
        self._stopping = stopping

    def refuse(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        """Answer with an error of the system's own.

        :param reason: short code for the caller and the log.
        :param retry_after: seconds after which to come back.
        """
        headers: Headers = [(b"content-type", b"application/json")]
        if retry_after is not None:
            seconds = math.ceil(max(0.0, retry_after) * 1000) / 1000
            headers.append((b"retry-after", b"%g" % seconds))
        run = "not_run" if status in NOT_RUN_STATUSES or status < 500 else "unknown"
        body = f'{{"error":{{"code":"{reason}","run":"{run}"}}}}'.encode()
        self.whole(status, headers, body)

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer with a whole body."""
        self._begin(status, [*headers, (b"content-length", b"%d" % len(body))], body)
        self._end()

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known."""
        self._begin(status, [*headers, (b"transfer-encoding", b"chunked")], b"")

    def stream(self, data: bytes) -> None:
        """Pass on a piece of a stream."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def drain(self) -> None:
        """Wait until the caller reads again."""
        await self._connection.drain()

    def end_stream(self) -> None:
        """End a stream that is whole."""
        self._connection.write(b"0\r\n\r\n")
        self._end()

    def break_off(self) -> None:
        """End a begun answer so that it cannot look complete."""
        self.ended = True
        self.closing = True
        self._connection.abort()

    @property
    def left(self) -> bool:
        """Tell whether the caller closed its connection."""
        return self._connection.closed

    def _begin(self, status: int, headers: Headers, body: bytes) -> None:
        if self.begun:
            log_event("second_answer", level="ERROR", status=status)
            return
        self.begun = True
        self.status = status
        lines = list(headers)
        self.closing = self.closing or self._stopping()
        if self.closing:
            lines.append((b"connection", b"close"))
        reason = _REASONS.get(status, b"Answer")
        start = b"HTTP/1.1 %d %b" % (status, reason)
        self._connection.write(encode_head(start, lines) + body)

    def _end(self) -> None:
        self.ended = True
        if self.closing:
            self._connection.close()
