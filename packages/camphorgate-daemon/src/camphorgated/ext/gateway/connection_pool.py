"""Connections to upstreams: aiosonic's connector and pool, with strict reuse.

aiosonic's own HTTP exchange treats a connection that closes within the headers as the
end of the headers, leaves trailers in the buffer of a pooled connection, and resends
some requests by itself. The classes here keep its connections and pooling, and parse
responses with llhttp (:mod:`httptools`), which determines where a response ends.
"""

import asyncio
import socket
from urllib.parse import ParseResult, urlsplit

from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import ConnectTimeout
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts
from aiosonic.utils import connection_key

# Servers commonly close idle connections after 5 s or more; a shorter time avoids most
# races between reuse and close.
MAX_IDLE_SECONDS = 4.0
MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 64


def _address_info(url: ParseResult) -> dict:
    family = socket.AF_INET6 if ":" in url.hostname else socket.AF_INET
    fields = {"hostname": url.hostname, "host": url.hostname, "port": url.port}
    return {**fields, "family": family, "proto": 0, "flags": 0}


class UpstreamConnection(Connection):
    """A connection that is reused only if it received nothing while it was idle."""

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Return whether the open connection can carry another request."""
        reader = self.reader
        if reader is None or reader.at_eof() or reader.exception() is not None:
            return False
        # Bytes that arrive between two requests belong to neither.
        if reader._buffer or reader._eof:
            return False
        return super().reuse(urlparsed, verify)

    def return_to_pool(self, reusable: bool) -> None:
        """Return the connection to its pool, or close it.

        :param reusable: the response was read to its end and no data followed it.
        """
        if reusable and not self.reader._buffer and not self.reader._eof:
            self.key = self.temp_key
            self.keep_alive()
        else:
            self.key = None
            self.keep = False
        self.release()


class UpstreamPool(BasePool):
    """Pool of idle connections by destination, most recent first; never waits."""

    def _init_pool(self, connection_cls) -> None:
        self._connection_cls = connection_cls
        self._idle_by_key: dict[str, list[Connection]] = {}

    def create_connection(self) -> Connection:
        """Return a new connection that is not connected yet."""
        return self._new_connection(self._connection_cls)

    async def acquire(self, urlparsed: ParseResult | None = None) -> Connection:
        """Return an idle connection to a destination, or a new one."""
        idle = self._idle_by_key.get(connection_key(urlparsed))
        while idle:
            connection = idle.pop()
            if not self._is_connection_idle(connection) and connection.reuse(
                urlparsed, True
            ):
                return connection
            connection.close()
        return self.create_connection()

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not conn.is_connected or conn.key is None:
            conn.close()
            return
        idle = self._idle_by_key.setdefault(conn.key, [])
        if len(idle) < MAX_IDLE_CONNECTIONS_PER_UPSTREAM:
            idle.append(conn)
        else:
            conn.close()

    def close_idle(self) -> None:
        """Close the connections that have been idle for too long."""
        for key, idle in list(self._idle_by_key.items()):
            for connection in idle:
                if self._is_connection_idle(connection):
                    connection.close()
            kept = [connection for connection in idle if connection.is_connected]
            if kept:
                self._idle_by_key[key] = kept
            else:
                del self._idle_by_key[key]

    def free_conns(self) -> int:
        """Return the number of idle connections."""
        return sum(len(idle) for idle in self._idle_by_key.values())

    def is_all_free(self) -> bool:
        """Return whether the pool may be closed; a pool without a limit always may."""
        return True

    async def cleanup(self) -> None:
        """Close the idle connections."""
        for idle in self._idle_by_key.values():
            for connection in idle:
                connection.close()
        self._idle_by_key.clear()


class UpstreamConnector(TCPConnector):
    """Opens connections to upstreams."""

    def __init__(self, connect_seconds: float) -> None:
        """Start without connections.

        :param connect_seconds: how long opening one may take.
        """
        config = PoolConfig(
            max_conn_requests=None, max_conn_idle_ms=int(MAX_IDLE_SECONDS * 1000)
        )
        super().__init__(
            pool_configs={":default": config},
            timeouts=Timeouts(sock_connect=connect_seconds),
            connection_cls=UpstreamConnection,
            pool_cls=UpstreamPool,
        )

    @property
    def pool(self) -> UpstreamPool:
        """Return the pool of every upstream."""
        return self.pools[":default"]

    async def open(self, url: ParseResult, new_connection: bool) -> UpstreamConnection:
        """Return a connected connection.

        :param new_connection: never reuse an idle connection.
        :raises ConnectTimeout: if it cannot be opened in time.
        :raises OSError: if it is refused.
        """
        if not new_connection:
            return await self.acquire(url, True, None, self.timeouts, False)
        connection = self.pool.create_connection()
        return await self.after_acquire(
            url, connection, True, None, self.timeouts, False
        )

    async def after_acquire(self, urlparsed, conn, verify, ssl, timeouts, http2):
        """Connect a connection unless it is open.

        aiosonic waits with ``asyncio.wait_for``, which in Python 3.11 loses a
        cancellation that coincides with the end of the wait, so that the request of a
        disconnected caller would continue. Upstream addresses are IP addresses, so no
        name is resolved.
        """
        if conn.reuse(urlparsed, verify):
            conn.reused = True
            return conn
        try:
            async with asyncio.timeout(timeouts.sock_connect):
                address = _address_info(urlparsed)
                await conn.connect(urlparsed, address, verify, ssl, http2)
        except TimeoutError:
            self.release(conn)
            raise ConnectTimeout from None
        except BaseException:
            self.release(conn)
            raise
        return conn


def parse_address(address: str) -> ParseResult:
    """Return ``host:port`` in the form that connections take."""
    parts = urlsplit(f"http://{address}")
    return ParseResult(parts.scheme, parts.netloc, "", "", "", "")
