"""HTTP connections that never deliver the response of one request to another.

aiosonic 1.3.3 returns a connection to its pool after a request has timed out or was
cancelled, while the response is still outstanding; the next request on the connection
then reads that response. It also retries PUT and DELETE requests by itself when a
reused connection breaks. :class:`ExclusiveConnection` prevents both.
"""

from aiosonic import HTTPClient
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from camphorgate.foreign_data import DECODE_ERRORS

# What a request, the reading of its response and its decoding can raise.
RESPONSE_ERRORS = (
    AiosonicError,
    OSError,
    EOFError,
    TimeoutError,
    ValueError,
    *DECODE_ERRORS,
)


class ExclusiveConnection(Connection):
    """A connection that is closed after any request that did not complete."""

    @property
    def reused(self) -> bool:
        """Return false, as aiosonic retries requests only on reused connections."""
        return False

    @reused.setter
    def reused(self, value: bool) -> None:
        pass

    async def __aexit__(self, exc_type, exc, tb) -> None:
        """Release the connection, closing it first if the request failed."""
        if exc_type is not None:
            self.keep = False
            self.blocked = False
            self.close()
        await super().__aexit__(exc_type, exc, tb)


def build_http_client(
    connections: int, connect_seconds: float, request_seconds: float
) -> HTTPClient:
    """Create a client that sends each request at most once.

    :param connections: maximum number of open connections.
    :param connect_seconds: timeout for opening a connection.
    :param request_seconds: default timeout of a whole request.
    """
    timeouts = Timeouts(
        sock_connect=connect_seconds,
        sock_read=request_seconds,
        pool_acquire=request_seconds,
        request_timeout=request_seconds,
    )
    connector = TCPConnector(
        pool_configs={":default": PoolConfig(size=connections)},
        timeouts=timeouts,
        connection_cls=ExclusiveConnection,
    )
    return HTTPClient(connector=connector)
