"""HTTP client for short calls to one external address."""

import asyncio
from collections.abc import Callable

from camphorgated.serving.client_connection import ClientConnection, connect
from camphorgated.serving.errors import CallFailed
from camphorgated.serving.http1 import Headers, encode_head

# The largest response of the store is a page of about 1 MB encoded in base64.
MAX_RESPONSE_BYTES = 2_097_152


class CallClient:
    """Makes short calls to one address over pooled keep-alive connections."""

    __slots__ = (
        "_host",
        "_port",
        "_idle",
        "_timeout",
        "_max_body_seconds",
        "_received_at_by_connection",
    )

    # An idle connection is not reused after this time.
    IDLE_SECONDS = 10.0
    MAX_IDLE_CONNECTIONS = 4
    CONNECT_SECONDS = 1.0

    def __init__(
        self,
        address: tuple[str, int],
        timeout_seconds: float,
        max_body_seconds: float = 0.0,
    ) -> None:
        """Prepare without connecting.

        :param timeout_seconds: default timeout of a call.
        :param max_body_seconds: how much longer a response may take whose body arrives
            without a pause of that length or of the timeout.
        """
        self._host, self._port = address
        self._idle: list[ClientConnection] = []
        self._timeout = timeout_seconds
        self._max_body_seconds = max_body_seconds
        # When the last bytes of each response arrived that is not complete yet.
        self._received_at_by_connection: dict[ClientConnection, float] = {}

    def receiving(self, seconds: float) -> bool:
        """Return whether part of a response arrived within the last seconds."""
        now = asyncio.get_running_loop().time()
        return any(
            now - received_at < seconds
            for received_at in self._received_at_by_connection.values()
        )

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout: float | None = None,
        on_head: Callable[[int, Headers], None] | None = None,
    ) -> tuple[int, bytes]:
        """Send a call.

        :param timeout: timeout of the call in seconds.
        :param on_head: called with status and headers before the body is read.
        :returns: status and body.
        :raises CallFailed: if no complete response arrives in time.
        """
        sent = False
        connection = None
        timeout = timeout or self._timeout
        last = asyncio.get_running_loop().time() + timeout + self._max_body_seconds
        try:
            async with asyncio.timeout(timeout) as limit:
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
                if status and on_head is not None:
                    on_head(status, connection.headers)
                pieces = []
                size = 0
                while piece := await connection.read_piece():
                    size += len(piece)
                    if size > MAX_RESPONSE_BYTES:
                        raise CallFailed(
                            f"{method} {target}: the response is too large", True
                        )
                    pieces.append(piece)
                    now = asyncio.get_running_loop().time()
                    self._received_at_by_connection[connection] = now
                    if self._max_body_seconds:
                        pause = min(timeout, self._max_body_seconds)
                        limit.reschedule(min(last, now + pause))
                if not status or piece is None:
                    raise CallFailed(
                        f"{method} {target}: the response was truncated", True
                    )
        except (TimeoutError, OSError) as error:
            if connection is not None:
                connection.discard()
            raise CallFailed(f"{method} {target}: {error!r}", sent) from None
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        finally:
            self._received_at_by_connection.pop(connection, None)
        if connection.finish() and len(self._idle) < self.MAX_IDLE_CONNECTIONS:
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
